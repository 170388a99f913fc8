"""Tests of operators' orders at a control process, without a network."""

from __future__ import annotations

import unittest
from types import SimpleNamespace

from mulberrygate.control.catalogs import CatalogStateMachine, encode_command
from mulberrygate.control.evacuations import OrderResult
from mulberrygate.daemon.command_gate import EARLIER_RELEASE_WINDOW_S
from mulberrygate.daemon.controller import Controller
from mulberrygate.daemon.evacuation_orders import WITHDRAWAL_TOLD_S, EvacuationOrders
from mulberrygate.endpoints.roster import Registration, Roster
from mulberrygate.forward.tests.support import Lines
from mulberrygate.sync.evacuations import KnownEvacuations
from mulberrygate.sync.messages import Follow


class TestEvacuationOrders(unittest.IsolatedAsyncioTestCase):
    """A control process whose settings name the failure domain a, with an endpoint in b."""

    def setUp(self):
        self.now = 1000.0
        self.is_complete = True
        self.is_accepted = True
        self.index = 0
        self.machine = CatalogStateMachine()
        self.lines = Lines()
        self.roster = Roster()
        self.roster.record_report(Registration("e1", 1, 1, "care", "10.0.0.1:1", "b"), 0.0)
        clock = SimpleNamespace(now=lambda: self.now)
        self.orders = EvacuationOrders(
            lambda: self.machine,
            self.roster,
            lambda: {"a"},
            lambda: self.is_complete,
            self.commit,
            clock,
            clock,
            self.lines,
        )

    async def commit(self, command):
        """Apply a command, unless the test has no majority."""
        if self.is_accepted:
            self.index += 1
            self.machine.apply(self.index, encode_command(command))
        return self.is_accepted

    async def test_known_failure_domains(self):
        """Guards against refusing a failure domain that only endpoints or the record name."""
        self.assertIs(await self.orders.put("a", True), OrderResult.COMMITTED)
        self.assertIs(await self.orders.put("b", True), OrderResult.COMMITTED)
        self.roster.rows.clear()
        self.assertIs(await self.orders.put("b", False), OrderResult.COMMITTED)
        self.assertIs(await self.orders.put("c", True), OrderResult.UNKNOWN_DOMAIN)
        self.assertEqual(self.machine.evacuations.evacuated, ("a",))

    async def test_unknown_failure_domain_at_a_new_process(self):
        """Guards against a final refusal by a process that doesn't know all endpoints yet."""
        self.is_complete = False
        self.assertIs(await self.orders.put("c", True), OrderResult.NOT_CERTAIN)

    async def test_order_without_a_majority(self):
        """Guards against an acknowledgement of an order that is not committed."""
        self.is_accepted = False
        self.assertIs(await self.orders.put("a", True), OrderResult.NOT_CERTAIN)
        self.assertFalse(self.lines.of("evacuation.put")[0]["is_committed"])

    async def test_repeated_order_is_committed_again(self):
        """Guards against acknowledging from a copy of the log that lacks a later withdrawal."""
        await self.orders.put("a", True)
        self.is_accepted = False
        self.assertIs(await self.orders.put("a", True), OrderResult.NOT_CERTAIN)

    async def test_process_of_an_earlier_release(self):
        """Guards against a command that stops the voters of an earlier release."""
        self.orders.gate.record_earlier_release(self.now)
        self.assertIs(await self.orders.put("a", True), OrderResult.NOT_CERTAIN)
        self.assertEqual(self.index, 0)
        self.now += EARLIER_RELEASE_WINDOW_S
        self.assertIs(await self.orders.put("a", True), OrderResult.COMMITTED)

    async def test_ages(self):
        """Guards against entries that are told of a withdrawal for ever, or not at all."""
        await self.orders.put("a", True)
        await self.orders.put("b", True)
        self.now += 5.0
        await self.orders.put("b", False)
        self.now += 2.0
        ages = self.orders.ages()
        self.assertEqual((ages.number, ages.evacuated, ages.evacuated_s), (3, ("a",), (7.0,)))
        self.assertEqual(ages.withdrawn, (("b", 2.0),))
        self.now += WITHDRAWAL_TOLD_S
        self.assertEqual(self.orders.ages().withdrawn, ())

    async def test_replayed_log(self):
        """Guards against a voter that is reopened and grants evacuated endpoints meanwhile."""
        known = KnownEvacuations()
        await self.orders.put("a", True)
        self.assertTrue(self.orders.apply_to(known))
        self.now += 100.0
        self.machine = CatalogStateMachine()
        self.assertFalse(self.orders.apply_to(known))
        self.assertTrue(known.is_evacuated("a"))

    async def test_pool_without_another_failure_domain(self):
        """Guards against an operator who is not told that a pool has no endpoint left."""
        await self.orders.put("a", True)
        self.orders.log_changes()
        self.assertEqual(self.lines.of("evacuation.no_endpoint_left"), [])
        await self.orders.put("b", True)
        self.orders.log_changes()
        self.assertEqual(self.lines.of("evacuation.no_endpoint_left"), [{"pool": "care"}])
        self.assertEqual(
            self.lines.of("evacuation.in_force"),
            [{"failure_domain": name, "age_s": 0.0} for name in ("a", "b")],
        )
        self.orders.running.record_poll("entry", (("b", 3),), self.now)
        self.assertEqual(
            self.orders.describe(),
            {
                "evacuated": [
                    {"failure_domain": "a", "age_s": 0.0, "running": 0},
                    {"failure_domain": "b", "age_s": 0.0, "running": 3},
                ],
                "pools_without_endpoint": ["care"],
            },
        )


class TestWakingOfEntries(unittest.TestCase):
    """Polls of entries, which are answered at once if there are changes for them."""

    def has_changes(self, number):
        """Return whether a poll of an entry that knows this number is answered at once."""
        controller = SimpleNamespace(
            incarnation=1,
            machine=SimpleNamespace(
                version=1,
                quarantine=SimpleNamespace(number=0),
                evacuations=SimpleNamespace(number=5),
            ),
            roster=SimpleNamespace(changes=0),
        )
        message = Follow("entry", 1, 1, 1, 0, evacuations=number)
        return Controller._has_changes_for(controller, message)

    def test_entry_that_knows_less(self):
        """Guards against an evacuation that is in force only after the wait of a poll."""
        self.assertTrue(self.has_changes(4))

    def test_entry_that_knows_as_much_or_more(self):
        """Guards against polls that are all answered at once, fifty a second."""
        self.assertFalse(self.has_changes(5))
        self.assertFalse(self.has_changes(6))

    def test_entry_of_an_earlier_release(self):
        """Guards against such polls of entries that never tell a number."""
        self.assertFalse(self.has_changes(-1))


if __name__ == "__main__":
    unittest.main()
