"""Tests of the search for endpoints that ended behind silent connections."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from mulberrygate.core.timers import TimerService
from mulberrygate.forward.exchange import ProbeResult
from mulberrygate.forward.probes import SharedProbes
from mulberrygate.forward.silence import SilenceMonitor
from mulberrygate.forward.tests.test_crash_detection import ADDRESS, Endpoints
from mulberrygate.forward.tests.test_suspects import call
from mulberrygate.forward.unanswered import RunningSend

STEP_TIMEOUT_S = 10.0


class TestSilenceMonitor(unittest.IsolatedAsyncioTestCase):
    """Running sends to one endpoint, whose probes have given results."""

    async def asyncSetUp(self):
        self.timers = TimerService(lambda name, error: None)
        self.addAsyncCleanup(self.timers.close)
        self.probes = 0
        self.ends = []
        self.restarted = False
        for name, value in (("SILENT_AFTER_S", 0.1), ("WATCH_INTERVAL_S", 0.02)):
            patch = mock.patch(f"mulberrygate.forward.silence.{name}", value)
            patch.start()
            self.addCleanup(patch.stop)
        patch = mock.patch("mulberrygate.forward.silence.PROBE_PAUSE_S", 0.0)
        patch.start()
        self.addCleanup(patch.stop)

    def watch(self, *results, sends=1):
        """Start a monitor with running sends, and return it."""
        endpoints = Endpoints(*results, on_probe=self.count_probe)
        monitor = SilenceMonitor(
            SharedProbes(endpoints, self.timers),
            self.timers,
            lambda send: self.restarted,
            lambda send, reason: self.ends.append(reason),
        )
        now = self.timers.now()
        monitor.sends = {
            RunningSend(call(path=f"/plain/{n}"), "e1", 1, ADDRESS, now) for n in range(sends)
        }
        return monitor

    def count_probe(self):
        """Count a probe."""
        self.probes += 1

    async def until(self, condition):
        """Wait until a condition holds."""
        async with asyncio.timeout(STEP_TIMEOUT_S):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    async def test_endpoint_that_is_unreachable(self):
        """Guards against missing the loss of a machine while its calls run."""
        self.watch(ProbeResult.SILENT)
        await self.until(lambda: self.ends)
        self.assertEqual((self.ends, self.probes), (["unreachable"], 2))

    async def test_lost_packet(self):
        """Guards against taking one unanswered connection for the end of an endpoint."""
        self.watch(ProbeResult.SILENT, ProbeResult.LISTENS)
        await self.until(lambda: self.probes == 2)
        await asyncio.sleep(0.1)
        self.assertEqual(self.ends, [])

    async def test_sends_of_one_endpoint_share_a_probe(self):
        """Guards against one connection for each of the calls that a slow endpoint runs."""
        self.watch(ProbeResult.LISTENS, sends=20)
        await self.until(lambda: self.probes)
        await asyncio.sleep(0.3)
        self.assertEqual((self.ends, self.probes), ([], 1))

    async def test_send_that_is_heard_during_the_probe(self):
        """Guards against counting a send whose answer arrives while its endpoint is probed."""
        monitor = self.watch(ProbeResult.REFUSES, sends=2)
        heard, silent = monitor.sends
        heard.heard_at = self.timers.now() + 60.0
        await self.until(lambda: self.ends)
        self.assertEqual((heard.is_counted, silent.is_counted), (False, True))

    async def test_restart_needs_no_probe(self):
        """Guards against a restarted endpoint that accepts connections and counts as running."""
        self.restarted = True
        self.watch(ProbeResult.LISTENS)
        await self.until(lambda: self.ends)
        self.assertEqual((self.ends, self.probes), (["restarted"], 0))


if __name__ == "__main__":
    unittest.main()
