"""Tests of the reports of spent units to new leaders."""

from __future__ import annotations

import unittest
from unittest import mock

from mulberrygate.quota.history import GrantHistory
from mulberrygate.sync.messages import SpentUnitsResult
from mulberrygate.sync.spent_units import CHECK_INTERVAL_S, MAX_PAUSE_S, SpentUnitsReporter


class TestSpentUnitsReporter(unittest.IsolatedAsyncioTestCase):
    """One entry whose leaders answer or not."""

    def setUp(self):
        self.now = 100.0
        self.leader = "control-1"
        self.answer = None
        self.sent_at = []
        self.reporter = SpentUnitsReporter(
            "entry-1",
            self,
            GrantHistory(),
            mock.Mock(),
            lambda: self.leader,
            lambda: 0,
            lambda: self.now,
        )

    async def call(self, leader, _report, _timeout_s):
        """Record a report, in place of the client for messages."""
        self.sent_at.append((self.now, leader))
        return self.answer

    async def run_for(self, seconds):
        """Call the reporter as the timer does."""
        for _ in range(round(seconds / CHECK_INTERVAL_S)):
            self.now += CHECK_INTERVAL_S
            await self.reporter.report()

    async def test_leader_of_an_earlier_release(self):
        """Guards against ten reports a second to a leader that doesn't know the message."""
        await self.run_for(60.0)
        self.assertLess(len(self.sent_at), 60.0 / MAX_PAUSE_S + 8)
        self.answer = SpentUnitsResult(7)
        await self.run_for(MAX_PAUSE_S + CHECK_INTERVAL_S)
        self.assertEqual(self.reporter.informed, ("control-1", 7))

    async def test_new_leader_hears_at_once(self):
        """Guards against a new leader that waits for the pause after failures of the former one."""
        await self.run_for(60.0)
        self.leader, self.answer = "control-2", SpentUnitsResult(8)
        await self.run_for(CHECK_INTERVAL_S)
        self.assertEqual(self.reporter.informed, ("control-2", 8))

    async def test_leader_that_is_not_ready_hears_soon(self):
        """Guards against a long pause after the first answers of a leader that begins."""
        self.answer = SpentUnitsResult(0)
        await self.run_for(0.3)
        self.answer = SpentUnitsResult(9)
        await self.run_for(0.5)
        self.assertEqual(self.reporter.informed, ("control-1", 9))
        sent = len(self.sent_at)
        await self.run_for(10.0)
        self.assertEqual(len(self.sent_at), sent)


if __name__ == "__main__":
    unittest.main()
