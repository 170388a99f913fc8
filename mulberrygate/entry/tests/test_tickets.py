"""Tests of the scheduler client with a peer client that loses messages."""

import asyncio
import unittest
import unittest.mock

import attrs

from mulberrygate.core import Refusal, TimerService
from mulberrygate.core.wire import Ack
from mulberrygate.entry import tickets
from mulberrygate.entry.codes import DEADLINE_PASSED, STOPPING
from mulberrygate.entry.tickets import SchedulerClient
from mulberrygate.peers.client import Unreachable
from mulberrygate.schedule.codes import QUEUE_FULL
from mulberrygate.schedule.messages import (
    Done,
    Grant,
    NotHosted,
    Present,
    Progress,
    Refuse,
    Ticket,
    Withdraw,
)

TICKET = Ticket("r", "me", "pool", "route", "account", 1.0, 0, 10, 10, (), 5.0)
LIMIT_S = 60.0


class Peers:
    """Peer client that records messages; ``on_ask`` is called for each ask."""

    def __init__(self):
        self.sent = []
        self.asked = []
        self.handlers = {}
        self.unreachable = set()
        self.answers = {}
        self.on_ask = lambda owner, count: None

    def on(self, cls, handler):
        """Register a handler."""
        self.handlers[cls] = handler

    def send(self, instance, message):
        """Record a message."""
        self.sent.append((instance, message))

    async def call(self, instance, message, timeout_s):
        """Record an ask and answer it."""
        self.asked.append(instance)
        if instance in self.unreachable:
            return Unreachable(instance, "test")
        self.on_ask(instance, len(self.asked))
        return self.answers.get(instance, Ack())

    def sent_to(self, instance, kind) -> int:
        """Return the number of messages of a kind that were sent to an instance."""
        return sum(1 for to, message in self.sent if to == instance and isinstance(message, kind))


class View:
    """Membership view whose owner and deputies a test sets."""

    name = "one"
    deputies = ()

    def owners(self, domain, subject):
        """Return the owner of each pool, and its deputies."""
        return (self.name, *self.deputies)


class SchedulerClientTest(unittest.IsolatedAsyncioTestCase):
    """Waiting requests."""

    async def asyncSetUp(self):
        repeat = tickets.REPEAT_S
        tickets.REPEAT_S = 0.02
        self.addCleanup(setattr, tickets, "REPEAT_S", repeat)
        self.peers, self.view = Peers(), View()
        self.errors = []
        self.timers = TimerService(lambda name, error: self.errors.append(error))
        self.addAsyncCleanup(self.timers.close)
        self.client = SchedulerClient("me", "a", self.peers, lambda: self.view, self.timers)

    def grant(self, sender: str, endpoint: str = "e") -> None:
        """Deliver a grant."""
        self.client.on_grant(Grant("pool", "r", endpoint, "x:1", "v1", "west"), sender)

    def reports(self, owner: str = "one") -> list[Progress]:
        """Return the progress reports to an owner."""
        return [m for to, m in self.peers.sent if to == owner and isinstance(m, Progress)]

    async def acquire(self, seconds: float = LIMIT_S) -> Grant | Refusal:
        """Wait for a grant."""
        return await self.client.acquire(TICKET, self.timers.now() + seconds)

    async def test_lost_end_is_corrected_by_the_next_report(self):
        """A slot stayed occupied for half a minute after the only report of an end was lost."""
        waiting = asyncio.ensure_future(self.acquire())
        await asyncio.sleep(0)
        self.client.report_progress()
        self.grant("one")
        await waiting
        self.client.report_progress()
        self.assertEqual([report.held for report in self.reports()], [("r",)])
        self.client.report_done(Done("pool", "r", "e", "v1", "route", 1, 1, 0.1, 0.2))
        self.client.report_progress()
        self.assertEqual(self.reports()[-1].held, ())
        self.assertTrue(self.reports()[-1].is_whole)

    async def test_lost_end_of_a_request_that_ends_between_two_reports(self):
        """Guards against a slot that stays occupied because its request was in no report."""
        self.peers.on_ask = lambda owner, count: self.grant(owner)
        await self.acquire()
        done = Done("pool", "r", "e", "v1", "route", 1, 1, 0.01, 0.02)
        self.client.report_done(done)
        self.client.report_progress()
        self.assertEqual([report.held for report in self.reports()], [()])

    async def test_slowed_endpoint_is_reported_at_once(self):
        """Guards against an owner that learns of a slowed machine after it has recovered."""
        self.peers.on_ask = lambda owner, count: self.grant(owner)
        await self.acquire()
        self.client.report_slowdown("r", 1.0)
        self.client.report_slowdown("unknown", 3.0)
        self.assertEqual(self.reports(), [])
        self.client.report_slowdown("r", 3.0)
        self.assertEqual([report.slowdowns for report in self.reports()], [{"e": 3.0}])
        self.assertFalse(self.reports()[0].is_whole)

    async def test_unchanged_slowdown_is_reported_with_the_end(self):
        """Guards against a message for each answer of an engine that is always slow."""
        self.peers.on_ask = lambda owner, count: self.grant(owner)
        await self.acquire()
        for slowdown in (3.0, 3.0, 3.1, 2.9, 1.0):
            self.client.report_slowdown("r", slowdown)
        found = [report.slowdowns for report in self.reports()]
        self.assertEqual(found, [{"e": 3.0}, {"e": 1.0}])

    async def test_lost_withdrawal_is_corrected_by_the_next_report(self):
        """Guards against a slot that is kept by a request whose wait ended before the grant."""
        await self.acquire(0.01)
        self.client.report_progress()
        self.assertEqual([report.held for report in self.reports()], [()])

    async def test_waiting_request_is_in_the_report(self):
        """Guards against an owner that takes back a grant which is still under way."""
        self.client.active_at["one", "pool"] = self.timers.now()
        waiting = asyncio.ensure_future(self.acquire())
        await asyncio.sleep(0)
        self.client.report_progress()
        self.assertEqual(self.reports()[-1].held, ("r",))
        self.grant("one")
        await waiting

    async def test_grant_for_a_disconnected_caller_is_withdrawn(self):
        """Guards against a slot occupied by a grant that arrives as the caller disconnects."""
        loop = asyncio.get_running_loop()
        was_asked = asyncio.Event()
        self.peers.on_ask = lambda owner, count: was_asked.set()
        wait = asyncio.ensure_future(self.client.acquire(TICKET, loop.time() + LIMIT_S))
        await was_asked.wait()
        self.grant("one")
        wait.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await wait
        self.assertEqual(self.peers.sent_to("one", Withdraw), 1)

    async def test_waits_end_at_a_stop(self):
        """Guards against a request that a stop cuts off, and against its ticket staying queued."""
        wait = asyncio.ensure_future(self.acquire())
        await asyncio.sleep(0)
        self.client.end_waits()
        self.assertEqual((await wait).code, STOPPING)
        self.assertEqual((await self.acquire()).code, STOPPING)
        self.assertEqual(self.peers.sent_to("one", Withdraw), 1)
        self.assertEqual((self.client.waiting, self.errors), ({}, []))

    async def test_lost_grant_is_asked_for_again(self):
        """Guards against a request that waits for ever after its grant was lost."""
        self.peers.on_ask = lambda owner, count: count >= 3 and self.grant(owner)
        answer = await self.acquire()
        self.assertEqual(answer.endpoint, "e")
        self.assertEqual(self.peers.sent_to("one", Withdraw), 0)

    async def test_owner_change_presents_and_withdraws(self):
        """Guards against a ticket that stays at the old owner and occupies a slot there."""

        def change(owner, count):
            self.view.name = "two"
            if owner == "two":
                self.grant("two")

        self.peers.on_ask = change
        self.assertEqual((await self.acquire()).endpoint, "e")
        self.assertEqual(self.peers.sent_to("two", Present), 1)
        self.assertEqual(self.peers.sent_to("one", Withdraw), 1)
        self.assertEqual(self.peers.sent_to("two", Withdraw), 0)

    async def test_deputies_are_asked_in_turn_while_the_owner_is_unreachable(self):
        """Guards against entries that each order their requests alone while there is no owner."""
        self.peers.unreachable = {"one", "first"}
        self.view.deputies = ("first", "second")
        self.peers.on_ask = lambda owner, count: self.grant(owner)
        self.assertEqual((await self.acquire()).endpoint, "e")
        self.assertEqual(self.peers.asked, ["one", "first", "second"])
        self.assertEqual(self.client.granted_by("r"), "second")

    async def test_deputy_that_does_not_know_the_pool_is_passed_over(self):
        """Guards against a request that waits at an entry which has just started."""
        self.view.name = "one"
        self.view.deputies = ("two",)
        self.peers.answers["one"] = NotHosted("pool")
        self.peers.on_ask = lambda owner, count: owner == "two" and self.grant(owner)
        self.assertEqual((await self.acquire()).endpoint, "e")
        self.assertEqual(self.peers.asked, ["one", "two"])

    async def test_unreachable_owner_is_avoided(self):
        """Guards against a request that waits for an owner which does not answer."""
        self.peers.unreachable = {"one"}
        self.peers.on_ask = lambda owner, count: self.grant(owner)
        self.assertEqual((await self.acquire()).endpoint, "e")
        self.assertEqual(self.peers.asked[:2], ["one", "me"])
        self.assertEqual(self.client.running["r"].granted_by, "me")

    async def test_owner_gets_the_deadline_and_not_the_wait_limit(self):
        """Guards against not using endpoints that would finish after the wait limit."""
        now = self.timers.now()
        ticket = attrs.evolve(TICKET, first_by_s=0.5, start_by_s=1.5)
        wait = asyncio.ensure_future(self.client.acquire(ticket, now + LIMIT_S, now + 1.6))
        await asyncio.sleep(0)
        sent = self.client.waiting["r"].updated_ticket(now + 1.0)
        self.assertAlmostEqual(sent.deadline_s, LIMIT_S - 1.0, places=1)
        self.assertAlmostEqual(sent.start_by_s, 0.5, places=1)
        self.assertEqual(sent.first_by_s, 0.0)
        wait.cancel()

    async def test_late_grant_is_withdrawn(self):
        """Guards against a slot occupied by a request that has timed out."""
        answer = await self.acquire(0.01)
        self.assertEqual(answer.code, DEADLINE_PASSED)
        withdrawn = self.peers.sent_to("one", Withdraw)
        self.grant("one")
        self.assertEqual(self.peers.sent_to("one", Withdraw), withdrawn + 1)
        self.assertEqual((self.client.waiting, self.client.running), ({}, {}))

    async def test_same_grant_twice_is_kept(self):
        """Guards against a grant that is both used and withdrawn."""

        def twice(owner, count):
            self.grant(owner)
            self.grant(owner)

        self.peers.on_ask = twice
        await self.acquire()
        self.grant("one")
        self.assertEqual(self.peers.sent_to("one", Withdraw), 0)
        self.grant("two", "other")
        self.assertEqual(self.peers.sent_to("two", Withdraw), 1)

    async def test_answered_ticket_keeps_its_owner(self):
        """Guards against reporting an end to an owner that did not make the grant."""

        def grant_and_change(owner, count):
            self.grant(owner)
            self.view.name = "two"
            self.client.ask_again()

        self.peers.on_ask = grant_and_change
        await self.acquire()
        self.assertEqual(self.client.running["r"].granted_by, "one")
        self.assertEqual(self.peers.sent_to("one", Withdraw), 0)

    async def test_new_owner_gets_the_emission_time_of_a_request(self):
        """Guards against a new owner that can't distinguish slow endpoints from fast ones."""
        self.peers.on_ask = lambda owner, count: self.grant(owner)
        await self.acquire()
        with unittest.mock.patch.object(self.client.timers, "now", side_effect=(5.0, 6.5)):
            self.client.record_emitted("r", 6)
            self.client.record_emitted("r", 60)
        running = self.client.running["r"].as_running(self.timers.now())
        self.assertEqual((running.emitted_tokens, running.emitting_s), (60, 1.5))

    async def test_end_is_reported_to_both_owners(self):
        """Guards against an owner that counts an ended request for ever."""
        self.peers.on_ask = lambda owner, count: self.grant(owner)
        await self.acquire()
        self.client.ask_again()
        self.view.name = "two"
        self.client.ask_again()
        self.client.report_done(Done("pool", "r", "e", "v1", "route", 1, 1, 1.0, 1.0, ""))
        self.assertEqual([self.peers.sent_to(o, Done) for o in ("one", "two")], [1, 1])

    async def test_refusal_of_an_earlier_owner_is_ignored(self):
        """Guards against accepting a refusal by an instance that is no longer the owner."""

        def refuse(owner, count):
            self.client.on_refuse(Refuse("pool", "r", QUEUE_FULL.number, 2.0), "other")
            if count >= 2:
                self.client.on_refuse(Refuse("pool", "r", QUEUE_FULL.number, 2.0), owner)

        self.peers.on_ask = refuse
        answer = await self.acquire()
        self.assertEqual((answer.code, answer.retry_after_s), (QUEUE_FULL, 2.0))
        self.assertGreaterEqual(len(self.peers.asked), 2)

    async def test_cancelled_wait_is_withdrawn(self):
        """Guards against a slot that is granted to a caller that has disconnected."""
        asked = asyncio.Event()
        self.peers.on_ask = lambda owner, count: asked.set()
        task = asyncio.ensure_future(self.acquire())
        await asyncio.wait_for(asked.wait(), LIMIT_S)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.assertEqual(self.peers.sent_to("one", Withdraw), 1)
        self.assertEqual(self.errors, [])


if __name__ == "__main__":
    unittest.main()
