"""Tests of the entry's side of scheduling with a peer client that loses messages."""

import asyncio
import unittest
import unittest.mock

import attrs

from mulberrygate.core import Refusal, TimerService
from mulberrygate.core.wire import Ack
from mulberrygate.entry import tickets
from mulberrygate.entry.codes import DEADLINE_PASSED
from mulberrygate.entry.tickets import SchedulerClient
from mulberrygate.peers.client import Unreachable
from mulberrygate.schedule.codes import QUEUE_FULL
from mulberrygate.schedule.messages import Done, Grant, Present, Progress, Refuse, Ticket, Withdraw

TICKET = Ticket("r", "me", "pool", "route", "account", 1.0, 0, 10, 10, (), 5.0)
LIMIT_S = 60.0


class Peers:
    """Peer client that notes messages; ``on_ask`` says what becomes of an ask."""

    def __init__(self):
        self.sent = []
        self.asked = []
        self.handlers = {}
        self.unreachable = set()
        self.on_ask = lambda owner, count: None

    def on(self, cls, handler):
        """Register a handler."""
        self.handlers[cls] = handler

    def send(self, instance, message):
        """Note a message."""
        self.sent.append((instance, message))

    async def call(self, instance, message, timeout_s):
        """Note an ask and answer it."""
        self.asked.append(instance)
        if instance in self.unreachable:
            return Unreachable(instance, "test")
        self.on_ask(instance, len(self.asked))
        return Ack()

    def sent_to(self, instance, kind) -> int:
        """Return how many messages of a kind went to an instance."""
        return sum(1 for to, message in self.sent if to == instance and isinstance(message, kind))


class View:
    """Membership in which a test names the owner."""

    name = "one"

    def owner(self, domain, subject):
        """Return the owner of each pool."""
        return self.name


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
        """Return what an owner was told of the entry's requests."""
        return [m for to, m in self.peers.sent if to == owner and isinstance(m, Progress)]

    async def acquire(self, seconds: float = LIMIT_S) -> Grant | Refusal:
        """Wait for a grant."""
        return await self.client.acquire(TICKET, self.timers.now() + seconds)

    async def test_end_that_was_lost_is_told_by_the_next_report(self):
        """A slot stayed taken for half a minute, since the end of its request was told once."""
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

    async def test_waiting_request_is_held(self):
        """A grant that was under way was taken back at its owner."""
        self.client.active_at["one", "pool"] = self.timers.now()
        waiting = asyncio.ensure_future(self.acquire())
        await asyncio.sleep(0)
        self.client.report_progress()
        self.assertEqual(self.reports()[-1].held, ("r",))
        self.grant("one")
        await waiting

    async def test_grant_for_a_caller_that_goes_away_is_handed_back(self):
        """Guards against a slot held by a grant that came together with the caller's end."""
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

    async def test_lost_grant_is_asked_for_again(self):
        """Guards against a request that waits for a grant which the network lost."""
        self.peers.on_ask = lambda owner, count: count >= 3 and self.grant(owner)
        answer = await self.acquire()
        self.assertEqual(answer.endpoint, "e")
        self.assertEqual(self.peers.sent_to("one", Withdraw), 0)

    async def test_owner_change_presents_and_withdraws(self):
        """Guards against a ticket that stays at the old owner and takes a slot there."""

        def change(owner, count):
            self.view.name = "two"
            if owner == "two":
                self.grant("two")

        self.peers.on_ask = change
        self.assertEqual((await self.acquire()).endpoint, "e")
        self.assertEqual(self.peers.sent_to("two", Present), 1)
        self.assertEqual(self.peers.sent_to("one", Withdraw), 1)
        self.assertEqual(self.peers.sent_to("two", Withdraw), 0)

    async def test_unreachable_owner_is_passed_over(self):
        """Guards against a request that waits for an owner which does not answer."""
        self.peers.unreachable = {"one"}
        self.peers.on_ask = lambda owner, count: self.grant(owner)
        self.assertEqual((await self.acquire()).endpoint, "e")
        self.assertEqual(self.peers.asked[:2], ["one", "me"])
        self.assertEqual(self.client.running["r"].granted_by, "me")

    async def test_owner_is_told_the_deadline_and_not_the_patience(self):
        """Guards against requests kept from endpoints that finish after the wait would end."""
        now = self.timers.now()
        ticket = attrs.evolve(TICKET, first_by_s=0.5, start_by_s=1.5)
        wait = asyncio.ensure_future(self.client.acquire(ticket, now + LIMIT_S, now + 1.6))
        await asyncio.sleep(0)
        sent = self.client.waiting["r"].updated_ticket(now + 1.0)
        self.assertAlmostEqual(sent.deadline_s, LIMIT_S - 1.0, places=1)
        self.assertAlmostEqual(sent.start_by_s, 0.5, places=1)
        self.assertEqual(sent.first_by_s, 0.0)
        wait.cancel()

    async def test_late_grant_is_handed_back(self):
        """Guards against a slot that stays taken by a request which has given up."""
        answer = await self.acquire(0.01)
        self.assertEqual(answer.code, DEADLINE_PASSED)
        withdrawn = self.peers.sent_to("one", Withdraw)
        self.grant("one")
        self.assertEqual(self.peers.sent_to("one", Withdraw), withdrawn + 1)
        self.assertEqual((self.client.waiting, self.client.running), ({}, {}))

    async def test_same_grant_twice_is_kept(self):
        """Guards against a grant that is used and handed back at the same time."""

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
        """Guards against an end that is reported to an owner which never made the grant."""

        def grant_and_change(owner, count):
            self.grant(owner)
            self.view.name = "two"
            self.client.ask_again()

        self.peers.on_ask = grant_and_change
        await self.acquire()
        self.assertEqual(self.client.running["r"].granted_by, "one")
        self.assertEqual(self.peers.sent_to("one", Withdraw), 0)

    async def test_new_owner_is_told_for_how_long_a_request_emits(self):
        """Guards against a new owner that can't tell a slow endpoint from a fast one."""
        self.peers.on_ask = lambda owner, count: self.grant(owner)
        await self.acquire()
        with unittest.mock.patch.object(self.client.timers, "now", side_effect=(5.0, 6.5)):
            self.client.record_emitted("r", 6)
            self.client.record_emitted("r", 60)
        running = self.client.running["r"].as_running()
        self.assertEqual((running.emitted_tokens, running.emitting_s), (60, 1.5))

    async def test_end_is_told_to_both_owners(self):
        """Guards against an owner that counts a request for ever."""
        self.peers.on_ask = lambda owner, count: self.grant(owner)
        await self.acquire()
        self.client.ask_again()
        self.view.name = "two"
        self.client.ask_again()
        self.client.report_done(Done("pool", "r", "e", "v1", "route", 1, 1, 1.0, 1.0, ""))
        self.assertEqual([self.peers.sent_to(o, Done) for o in ("one", "two")], [1, 1])

    async def test_refusal_of_an_earlier_owner_is_ignored(self):
        """Guards against a request that is refused by an instance which no longer decides."""

        def refuse(owner, count):
            self.client.on_refuse(Refuse("pool", "r", QUEUE_FULL.number, 2.0), "other")
            if count >= 2:
                self.client.on_refuse(Refuse("pool", "r", QUEUE_FULL.number, 2.0), owner)

        self.peers.on_ask = refuse
        answer = await self.acquire()
        self.assertEqual((answer.code, answer.retry_after_s), (QUEUE_FULL, 2.0))
        self.assertGreaterEqual(len(self.peers.asked), 2)

    async def test_cancelled_wait_is_withdrawn(self):
        """Guards against a slot for a caller that has gone."""
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
