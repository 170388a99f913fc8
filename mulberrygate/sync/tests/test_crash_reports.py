"""Tests of the delivery of crash reports to the control log."""

import asyncio
import unittest

from mulberrygate.core.timers import TimerService
from mulberrygate.forward.suspects import Suspects
from mulberrygate.forward.tests.test_suspects import call, ended
from mulberrygate.peers.client import Unreachable
from mulberrygate.sync.crash_reports import CrashReporter
from mulberrygate.sync.messages import CrashReportResult


class Client:
    """Client of control processes that return the given answers in sequence."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.asked = []
        self.is_done = asyncio.Event()

    async def call(self, instance, message, _timeout_s):
        """Return the next answer."""
        self.asked.append((instance, message))
        answer = self.answers.pop(0)
        if not self.answers:
            self.is_done.set()
        return answer


class TestCrashReporter(unittest.IsolatedAsyncioTestCase):
    """Reports of one entry."""

    async def test_report_is_repeated_until_a_process_has_it_in_the_log(self):
        """Guards against losing a report that was not answered or could not be committed."""
        client = Client(
            Unreachable("c1", "test"), CrashReportResult(False), CrashReportResult(True, 1)
        )
        timers = TimerService(lambda name, error: None)
        self.addAsyncCleanup(timers.close)
        suspects = Suspects(lambda crash: None, lambda: reporter.wake())
        reporter = CrashReporter(client, suspects, timers, lambda: ["c1", "c2"])
        suspects.record_crash(ended(call()), 1)
        suspects.record_crash(ended(call(path="/plain/2")), 1)
        await asyncio.wait_for(client.is_done.wait(), 10)
        self.assertEqual([instance for instance, _ in client.asked], ["c1", "c2", "c1"])
        self.assertEqual([len(message.crashes) for _, message in client.asked], [2, 2, 2])

    async def test_report_waits_until_a_control_process_is_known(self):
        """Guards against a report that is dropped while no control process is known."""
        client = Client(CrashReportResult(True, 1))
        errors = []
        timers = TimerService(lambda name, error: errors.append(error))
        self.addAsyncCleanup(timers.close)
        suspects = Suspects(lambda crash: None, lambda: reporter.wake())
        known = iter([[], []])
        reporter = CrashReporter(client, suspects, timers, lambda: next(known, ["c1"]))
        suspects.record_crash(ended(call()), 1)
        await asyncio.wait_for(client.is_done.wait(), 10)
        self.assertEqual((len(client.asked), errors), (1, []))


if __name__ == "__main__":
    unittest.main()
