"""Exhaustive search of the model of fenced orders."""

import unittest

from minicheck import Protocol, check_safety

from mulberrygate.control.fence_model import (
    FAULTS,
    FIELDS,
    INITIAL,
    is_ordered,
    make_transitions,
)


def search(fault=""):
    model = Protocol(
        name="orders to an endpoint that ignores fencing numbers",
        candidate=False,
        fields=FIELDS,
        initial=INITIAL,
        transitions=make_transitions(fault),
        invariants={"orders_arrive_in_the_order_of_leaders": is_ordered},
    )
    return check_safety(model)


class FenceModelTest(unittest.TestCase):
    def test_orders_of_two_leaders_do_not_interleave(self):
        """Guards against rules that let an old order arrive after a new one."""
        result = search()
        print(f"fence model: {result['reachable_states']} states, complete search")
        self.assertTrue(result["exhaustive"])
        self.assertIs(result["properties"]["orders_arrive_in_the_order_of_leaders"]["holds"], True)

    def test_each_rule_is_needed(self):
        """Guards against a model that would hold without the rules."""
        for fault in FAULTS:
            found = search(fault)["properties"]["orders_arrive_in_the_order_of_leaders"]
            self.assertIs(found["holds"], False, fault)
            print(f"fence model without a rule ({fault}): {len(found['counterexample'])} steps")
