"""Tests of the exchange of endpoint registrations among control processes."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

import attrs

from mulberrygate.daemon.roster_sharing import RosterSharing
from mulberrygate.endpoints.roster import Registration, Roster
from mulberrygate.peers.client import Unreachable
from mulberrygate.sync.messages import PeerUpdate

FIRST = Registration("e1", 1, 1, "care", "10.0.0.1:80", "a")


class TestRosterSharing(unittest.TestCase):
    """Two control processes whose messages may be lost."""

    def make_sharing(self):
        """Return a process's roster and its exchange, which keeps what it sends in ``sent``."""
        sharing = RosterSharing(
            Roster(),
            mock.Mock(send=lambda _to, update: self.sent.append(update)),
            mock.Mock(now=lambda: self.now),
            lambda: ["other"],
            tuple,
        )
        sharing._send_renewals = lambda _to, update: self.sent.append(update)
        return sharing

    def setUp(self):
        self.now = 10.0
        self.sent: list[PeerUpdate] = []
        self.here, self.there = self.make_sharing(), self.make_sharing()

    def record(self, sequence, warmup_s):
        """Record a heartbeat here."""
        registration = attrs.evolve(FIRST, sequence=sequence, warmup_s=warmup_s)
        if self.here.roster.record_report(registration, self.now):
            self.here.share_change("e1")
        self.here.renewed.add("e1")

    def deliver(self):
        """Deliver what was sent; return whether it changed the roster there."""
        sent, self.sent = self.sent, []
        return any([self.there.merge(update, self.now)[0] for update in sent])

    def test_lost_news_of_a_cold_endpoint(self):
        """Guards against an owner that never hears that an endpoint has become cold."""
        self.record(1, 0.0)
        self.assertTrue(self.deliver())
        self.record(2, 3.0)
        self.sent.clear()
        self.now += 0.4
        self.here.share_renewals()
        self.assertTrue(self.deliver())
        cold_s = self.there.roster.rows["e1"].cold_s(0.0, self.now)
        self.assertAlmostEqual(cold_s, 2.6)
        self.record(3, 2.6)
        self.here.share_renewals()
        self.assertFalse(self.deliver(), "nothing is new")

    def test_warm_endpoints_are_only_renewed(self):
        """Guards against whole registrations in each message, which cost bytes between zones."""
        self.record(1, 0.0)
        self.sent.clear()
        self.here.share_renewals()
        self.assertEqual([update.heard for update in self.sent], [()])


class TestLostMessages(unittest.IsolatedAsyncioTestCase):
    """A control process whose first messages to another one are lost."""

    async def test_endpoint_is_known_after_its_first_messages_are_lost(self):
        """Guards against an endpoint that others learn of only by its next heartbeat."""
        there = RosterSharing(Roster(), mock.Mock(), mock.Mock(now=lambda: 10.0), list, tuple)
        answers = [Unreachable("other", "busy")]

        async def call(_to, update, _timeout_s):
            return answers.pop() if answers else there.merge(update, 10.0)[1]

        tasks = []
        here = RosterSharing(
            Roster(),
            mock.Mock(call=call, send=lambda _to, update: there.merge(update, 10.0)),
            mock.Mock(now=lambda: 10.0, spawn=lambda c: tasks.append(asyncio.ensure_future(c))),
            lambda: ["other"],
            tuple,
        )
        here.roster.record_report(FIRST, 10.0)
        here.renewed.add("e1")
        for _ in range(3):
            here.share_renewals()
            await asyncio.gather(*tasks)
        self.assertIn("e1", there.roster.rows)
        self.assertEqual(here.missed, {"other": set()})


if __name__ == "__main__":
    unittest.main()
