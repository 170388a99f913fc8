"""Randomised runs of entries, replicas and the planner, and mutants that they must catch."""

import collections
import os
import unittest
from unittest import mock

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from mulberrygate.ledger.tests.simulation import World

NODES = {"a": "d", "b": "d", "c": "d", "x": "e", "y": "e"}
KEYS = [f"d/{number}" for number in range(3)]
EXAMPLES = int(os.environ.get("LEDGER_EXAMPLES", "60"))

nodes = st.sampled_from(sorted(NODES))
totals: collections.Counter = collections.Counter()


class LedgerMachine(RuleBasedStateMachine):
    """Requests and failures in any order; the invariants are inside the program."""

    @initialize(seed=st.integers(0, 2**20), loss=st.sampled_from([0.0, 0.02, 0.2]))
    def begin(self, seed, loss):
        self.world = World(seed, NODES)
        self.world.run(2)
        self.world.loss = loss

    @rule(node=nodes, key=st.sampled_from(KEYS), wait=st.sampled_from([0, 0, 1, 5]))
    def send(self, node, key, wait):
        self.world.request(node, key, wait_s=wait, is_finished=wait != 1)

    @rule(key=st.sampled_from(KEYS))
    def send_everywhere(self, key):
        for node in NODES:
            self.world.request(node, key)

    @rule(seconds=st.sampled_from([0.01, 0.03, 0.1, 0.5, 3, 30]))
    def run(self, seconds):
        self.world.run(seconds)

    @rule(node=nodes)
    def restart(self, node):
        self.world.nodes[node].start()

    @rule(node=nodes)
    def freeze(self, node):
        self.world.nodes[node].running.clear()

    @rule()
    def thaw(self):
        for node in self.world.nodes.values():
            node.running.set()

    @rule(node=nodes)
    def declare_dead(self, node):
        self.world.declared_dead.add(node)

    @rule(node=nodes)
    def hold_configuration(self, node):
        self.world.nodes[node].is_config_held = True

    @rule()
    def heal(self):
        self.world.declared_dead.clear()
        self.world.cut.clear()
        for node in self.world.nodes.values():
            node.is_config_held = False

    @rule(one=nodes, other=nodes)
    def cut(self, one, other):
        if one != other:
            self.world.cut.add(frozenset((one, other)))

    @rule()
    def cut_domains(self):
        pairs = [(a, b) for a in NODES for b in NODES if NODES[a] != NODES[b]]
        self.world.cut.update(map(frozenset, pairs))

    @rule(slow=st.sampled_from([0.0, 0.1, 0.4]))
    def slow_down(self, slow):
        self.world.slow = slow

    @rule()
    def age(self):
        self.world.run(3700)

    @invariant()
    def no_violation(self):
        if hasattr(self, "world"):
            assert not self.world.violations, self.world.violations[0]

    def teardown(self):
        if not hasattr(self, "world"):
            return
        totals["examples"] += 1
        totals["views"] += self.world.views
        totals["dispatches"] += len(self.world.audit.dispatches)
        for outcome in self.world.outcomes:
            totals[type(outcome).__name__] += 1
        self.world.close()


def run_machine(examples, steps=40):
    """Run the machine with one shard a domain, so that keys and failures meet."""
    options = settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=examples,
        stateful_step_count=steps,
        suppress_health_check=list(HealthCheck),
        phases=[Phase.generate],
        report_multiple_bugs=False,
    )
    with (
        mock.patch("mulberrygate.ledger.views.SHARDS_PER_DOMAIN", 1),
        mock.patch("mulberrygate.control.views.SHARDS_PER_DOMAIN", 1),
    ):
        run_state_machine_as_test(LedgerMachine, settings=options)


class SimulationTest(unittest.TestCase):
    """The guarantee holds in randomised runs."""

    def test_no_invariant_breaks(self):
        """A key ran twice, or a repair lost a claim, under any mixture of failures."""
        totals.clear()
        run_machine(EXAMPLES)
        print(dict(totals))
        self.assertGreater(totals["views"], EXAMPLES)
        self.assertGreater(totals["Begun"], EXAMPLES)


if __name__ == "__main__":
    unittest.main()
