"""Tests of committing crash reports to the control log."""

from __future__ import annotations

import asyncio
import unittest

from mulberrygate.control.blame import Candidate
from mulberrygate.control.catalogs import CatalogStateMachine, encode_command
from mulberrygate.control.quarantine import CrashEvidence
from mulberrygate.core.timers import TimerService
from mulberrygate.daemon.command_gate import EARLIER_RELEASE_WINDOW_S
from mulberrygate.daemon.crash_committer import CrashCommitter
from mulberrygate.daemon.log_clock import LogClock
from mulberrygate.forward.tests.support import Lines
from mulberrygate.sync.messages import Answered, Crash, CrashReport


class TestCrashCommitter(unittest.IsolatedAsyncioTestCase):
    """Reports of many entries to a control process whose commits may fail."""

    async def asyncSetUp(self):
        self.timers = TimerService(lambda name, error: None)
        self.addAsyncCleanup(self.timers.close)
        self.machine = CatalogStateMachine()
        self.commands = []
        self.is_committed = True
        clock = LogClock(lambda: self.machine.quarantine.clock)
        self.lines = Lines()
        self.committer = CrashCommitter(
            lambda: self.machine, self.commit, clock, self.timers, self.lines
        )

    async def commit(self, command):
        """Record a command instead of committing it."""
        self.commands.append(command)
        return self.is_committed

    async def report(self, number):
        """Report a crash of a call that no other report names."""
        crash = Crash(f"c{number}", "e1", 1)
        return await asyncio.wait_for(self.committer.on_report(CrashReport((crash,)), "entry"), 10)

    async def test_reports_of_many_entries_share_a_command(self):
        """Guards against one command, and so one disk sync, per report of a lost endpoint."""
        answers = await asyncio.gather(*(self.report(number) for number in range(40)))
        self.assertEqual(len(self.commands), 1)
        self.assertEqual(len(self.commands[0].crashes), 40)
        self.assertTrue(all(answer.is_committed for answer in answers))

    async def test_report_that_could_not_be_committed_is_not_acknowledged(self):
        """Guards against an entry that drops a report which was not committed."""
        self.is_committed = False
        self.assertFalse((await self.report(1)).is_committed)
        self.is_committed = True
        self.assertTrue((await self.report(1)).is_committed)

    async def test_nothing_is_committed_beside_an_earlier_release(self):
        """Guards against a voter of an earlier release that stops at an unknown command."""
        self.committer.gate.record_earlier_release(self.timers.now())
        self.assertFalse((await self.report(1)).is_committed)
        self.assertEqual(self.commands, [])
        earlier = self.timers.now() - EARLIER_RELEASE_WINDOW_S - 1.0
        self.committer.gate.record_earlier_release(earlier)
        self.assertTrue((await self.report(1)).is_committed)

    async def test_verdict_is_logged_with_its_evidence(self):
        """Guards against a refused part whose crashes nobody can find."""
        for number in range(2):
            crash = Crash(
                f"c{number}", f"e{number}", 1, ("part-aa", "part-bad"), True, 9.0 - number
            )
            answers = (Answered("part-aa", 5.0),)
            await self.committer.on_report(CrashReport((crash,), (), answers), "entry")
            self.machine.apply(number, encode_command(self.commands[-1]))
            self.committer.log_quarantine_changes()
        (line,) = self.lines.of("quarantine.added")
        self.assertEqual((line["identity"], line["endpoints"]), ("part-bad", "e0,e1"))
        self.assertEqual([round(age_s) for age_s in line["ages_s"]], [9, 8])
        self.assertEqual((line["eliminated"], line["calls"]), ("part-aa", 2))

    async def test_old_records_are_forgotten_by_a_command(self):
        """Guards against lists that differ because each process expires by its own clock."""
        self.machine.quarantine.put([CrashEvidence(Candidate("c1"), "e1", 1)], at=0.0)
        await self.committer.expire_records()
        self.assertEqual([command.crashes for command in self.commands], [()])
        self.machine.quarantine.put(at=self.commands[0].at)
        await self.committer.expire_records()
        self.assertEqual(len(self.commands), 1)


if __name__ == "__main__":
    unittest.main()
