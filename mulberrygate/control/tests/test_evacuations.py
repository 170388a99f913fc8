"""Tests of the record of evacuated failure domains, next to catalogs in the same log."""

from __future__ import annotations

import unittest

import msgpack
from hypothesis import given, settings
from hypothesis import strategies as st

from mulberrygate.control.catalogs import (
    CatalogStateMachine,
    PutCatalog,
    PutEvacuation,
    PutLeaving,
    encode_command,
)
from mulberrygate.control.evacuations import MAX_FAILURE_DOMAINS, Evacuation
from mulberrygate.sync.evacuations import KnownEvacuations

DOMAINS = ("a", "b", "c")
REPLICAS = 3
ORDERS = st.one_of(
    st.builds(PutCatalog, st.integers(0, 6), st.just(b"document")),
    # The clocks of control processes differ, so the times are in any order.
    st.builds(PutEvacuation, st.sampled_from(DOMAINS), st.booleans(), st.floats(0.0, 9.0)),
)
STEPS = st.one_of(
    st.tuples(st.just("send"), ORDERS),
    st.tuples(st.just("send again"), st.integers(0, 9)),
    st.tuples(st.just("commit"), st.integers(0, 9)),
    st.tuples(st.just("lose leader"), st.integers(0, 9)),
    st.tuples(st.sampled_from(["apply", "inform"]), st.integers(0, REPLICAS - 1)),
    st.tuples(st.sampled_from(["apply", "inform"]), st.integers(0, REPLICAS - 1)),
    st.tuples(st.sampled_from(["restart", "replace"]), st.integers(0, REPLICAS - 1)),
)


def apply(machine, index, command):
    """Apply a command at a log index and return whether it changed the state."""
    return machine.apply(index, encode_command(command))


def last_orders(commands):
    """Return the failure domains that a list of commands leaves evacuated."""
    state = {}
    for command in commands:
        if isinstance(command, PutEvacuation):
            state[command.failure_domain] = command.is_evacuated
    return {name for name, is_evacuated in state.items() if is_evacuated}


class Group:
    """Control processes that apply a common log, and an entry that asks any of them.

    Explanation
    ===========
    An order that is sent is pending at the leader until it is committed. A lost leader loses some
    of the pending ones. Orders that are sent again are pending more than once.
    """

    def __init__(self):
        self.sent = []
        self.pending = []
        self.log = []
        self.machines = [CatalogStateMachine() for _ in range(REPLICAS)]
        self.applied = [0] * REPLICAS
        self.entry = KnownEvacuations()

    def run(self, kind, value):
        """Take one step."""
        if kind == "send":
            self.sent.append(value)
            self.pending.append(value)
        elif kind == "send again" and self.sent:
            self.pending.append(self.sent[value % len(self.sent)])
        elif kind == "commit" and self.pending:
            self.log.append(self.pending.pop(value % len(self.pending)))
        elif kind == "lose leader":
            self.pending = self.pending[: value % (len(self.pending) + 1)]
        elif kind == "apply" and self.applied[value] < len(self.log):
            self.apply_next(value)
        elif kind == "restart":
            self.machines[value] = self.restored(value)
        elif kind == "replace":
            source = (value + 1) % REPLICAS
            if self.applied[source] >= self.applied[value]:
                self.machines[value] = self.restored(source)
                self.applied[value] = self.applied[source]
        elif kind == "inform":
            self.inform_entry(value)

    def apply_next(self, replica):
        """Apply the next command of the log at a control process."""
        self.applied[replica] += 1
        index = self.applied[replica]
        apply(self.machines[replica], index, self.log[index - 1])

    def restored(self, replica):
        """Return a state machine from a snapshot of a control process."""
        machine = CatalogStateMachine()
        machine.restore(self.machines[replica].snapshot())
        return machine

    def inform_entry(self, replica):
        """Let the entry take over what a control process knows; its answers arrive at once."""
        evacuations = self.machines[replica].evacuations
        self.entry.update(evacuations.number, evacuations.evacuated, (), True, now=0.0)

    def check(self, test):
        """Check each control process and the entry against the log."""
        for machine, applied in zip(self.machines, self.applied, strict=True):
            prefix = self.log[:applied]
            test.assertEqual(set(machine.evacuations.evacuated), last_orders(prefix))
            versions = [c.version for c in prefix if isinstance(c, PutCatalog)]
            test.assertEqual(machine.version, max(versions, default=-1))
        test.assertEqual(set(self.entry.evacuated), last_orders(self.log[: self.entry.number]))


class TestRecordInTheLog(unittest.TestCase):
    """Orders that are sent again, reordered and lost, and control processes that are replaced."""

    @settings(max_examples=400, derandomize=True, deadline=None)
    @given(st.lists(STEPS, min_size=30, max_size=60))
    def test_last_committed_order_counts(self, steps):
        """Guards against an evacuation that differs among processes or that one of them forgets.

        The entry must never go back to an earlier state, whichever process it asks.
        """
        group = Group()
        number = 0
        for kind, value in steps:
            group.run(kind, value)
            group.check(self)
            self.assertGreaterEqual(group.entry.number, number)
            number = group.entry.number


class TestRecord(unittest.TestCase):
    """The record alone."""

    def test_order_that_is_sent_again_changes_nothing(self):
        """Guards against followers that are woken, or an age that begins anew, for nothing."""
        machine = CatalogStateMachine()
        self.assertTrue(apply(machine, 4, PutEvacuation("a", True, 100.0)))
        self.assertFalse(apply(machine, 5, PutEvacuation("a", True, 101.0)))
        self.assertEqual(machine.evacuations.domains, {"a": Evacuation(True, 100.0)})
        self.assertEqual((machine.evacuations.number, machine.revision), (4, 4))
        self.assertTrue(apply(machine, 6, PutEvacuation("a", False, 110.0)))
        self.assertFalse(apply(machine, 7, PutEvacuation("a", False, 111.0)))
        self.assertEqual(machine.evacuations.domains, {"a": Evacuation(False, 100.0, 110.0)})

    def test_withdrawal_of_what_is_not_evacuated(self):
        """Guards against a record of a failure domain that was never evacuated."""
        machine = CatalogStateMachine()
        self.assertFalse(apply(machine, 1, PutEvacuation("a", False, 1.0)))
        self.assertEqual(machine.evacuations.domains, {})

    def test_later_order_with_an_earlier_time(self):
        """Guards against an order that is ignored because a control process's clock is behind."""
        machine = CatalogStateMachine()
        apply(machine, 1, PutEvacuation("a", True, 100.0))
        self.assertTrue(apply(machine, 2, PutEvacuation("a", False, 90.0)))
        self.assertEqual(machine.evacuations.evacuated, ())
        self.assertEqual(machine.evacuations.clock, 100.0)

    def test_snapshot_of_an_earlier_release(self):
        """Guards against a control process that can't start from its disk after an upgrade."""
        machine = CatalogStateMachine()
        apply(machine, 1, PutEvacuation("a", True, 1.0))
        old = CatalogStateMachine()
        apply(old, 2, PutLeaving("e1", 3))
        machine.restore(old.snapshot())
        self.assertEqual(machine.evacuations.evacuated, ())

    def test_snapshot_that_an_earlier_release_reads(self):
        """Guards against a snapshot that stops voters of an earlier release in a rolling upgrade.

        They read six fields, and no evacuation is proposed while one of them runs.
        """
        machine = CatalogStateMachine()
        self.assertEqual(len(msgpack.unpackb(machine.snapshot())), 6)

    def test_number_of_failure_domains_is_bounded(self):
        """Guards against a snapshot that grows with each failure domain that was ever evacuated."""
        machine = CatalogStateMachine()
        apply(machine, 1, PutEvacuation("kept", True, 1.0))
        for number in range(2 * MAX_FAILURE_DOMAINS):
            apply(machine, 2, PutEvacuation(f"d{number}", True, 1.0))
            apply(machine, 3, PutEvacuation(f"d{number}", False, 1.0))
        self.assertEqual(len(machine.evacuations.domains), MAX_FAILURE_DOMAINS)
        self.assertEqual(machine.evacuations.evacuated, ("kept",))


if __name__ == "__main__":
    unittest.main()
