"""Tests of granting trials of quarantined calls."""

from __future__ import annotations

import asyncio
import math
import time
import unittest

from mulberrygate.control.blame import Candidate
from mulberrygate.control.catalogs import CatalogStateMachine, encode_command
from mulberrygate.control.quarantine import CrashEvidence
from mulberrygate.core.timers import TimerService
from mulberrygate.daemon.log_clock import LogClock
from mulberrygate.daemon.trial_granter import TrialGranter
from mulberrygate.forward.tests.support import Lines
from mulberrygate.sync.messages import TrialRequest


class TestTrialGranter(unittest.IsolatedAsyncioTestCase):
    """Requests of entries to the leader of a control group."""

    async def asyncSetUp(self):
        self.timers = TimerService(lambda name, error: None)
        self.addAsyncCleanup(self.timers.close)
        self.machine = CatalogStateMachine()
        self.is_leader = True
        self.commands = []
        self.granter = TrialGranter(
            lambda: self.machine,
            lambda: self.is_leader,
            self.commit,
            LogClock(lambda: self.machine.quarantine.clock),
            self.timers,
            Lines(),
        )
        for number in range(3):
            evidence = CrashEvidence(Candidate("a"), f"e{number}", 1)
            self.machine.quarantine.put([evidence], at=time.time() - 10.0 + number)

    async def commit(self, command):
        """Apply a command as if it were committed, after other tasks have run."""
        self.commands.append(command)
        await asyncio.sleep(0)
        self.machine.apply(len(self.commands), encode_command(command))
        return True

    async def request(self, holder, call="a"):
        """Return the answer to a request for a trial."""
        return await self.granter.on_request(TrialRequest(call, holder), "entry")

    async def test_one_of_two_requests_is_granted(self):
        """Guards against two entries that both get the only trial that is due."""
        answers = await asyncio.gather(self.request("first"), self.request("second"))
        self.assertEqual([answer.is_granted for answer in answers], [True, False])

    async def test_entry_is_told_when_to_ask_again(self):
        """Guards against entries that ask again and again before a trial is due."""
        await self.request("first")
        self.assertGreater((await self.request("second")).wait_s, 0.0)
        self.machine.quarantine.trials["a"].count = 100
        self.assertEqual((await self.request("third")).wait_s, math.inf)
        self.assertEqual(len(self.commands), 1)

    async def test_only_the_leader_grants(self):
        """Guards against a former leader that grants from an old state."""
        self.is_leader = False
        self.assertFalse((await self.request("first")).is_granted)

    async def test_no_trial_beside_an_earlier_release(self):
        """Guards against a voter of an earlier release that stops at an unknown command."""
        self.granter.gate.record_earlier_release(self.timers.now())
        self.assertFalse((await self.request("first")).is_granted)
        self.assertEqual(self.commands, [])

    async def test_call_that_is_not_quarantined(self):
        """Guards against trials of calls that the leader's state doesn't list."""
        self.assertFalse((await self.request("first", "b")).is_granted)
        self.assertEqual(self.commands, [])


if __name__ == "__main__":
    unittest.main()
