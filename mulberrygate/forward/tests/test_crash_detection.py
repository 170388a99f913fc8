"""Tests of the detection of endpoints that crashed while they ran a call."""

from __future__ import annotations

import random
import unittest
from unittest import mock

from mulberrygate.core.timers import TimerService
from mulberrygate.endpoints.roster import Registration, Roster
from mulberrygate.forward.crash_detection import CrashDetector
from mulberrygate.forward.exchange import ProbeResult
from mulberrygate.forward.notices import EndpointNotices
from mulberrygate.forward.suspects import Suspects
from mulberrygate.forward.tests.support import Lines
from mulberrygate.forward.tests.test_suspects import call
from mulberrygate.forward.unanswered import UnansweredSend

ADDRESS = "10.0.0.1:80"


class Endpoints:
    """Endpoint client that returns given probe results, the last one again and again."""

    def __init__(self, *results, on_probe):
        self.results = list(results)
        self.on_probe = on_probe

    async def probe(self, _address):
        """Return the next probe result."""
        self.on_probe()
        return self.results.pop(0) if len(self.results) > 1 else self.results[0]


def registration(name="e1", incarnation=1, address=ADDRESS, sequence=1, **more):
    """Return a registration of an endpoint."""
    return Registration(name, incarnation, sequence, "care", address, "a", **more)


class TestCrashDetector(unittest.IsolatedAsyncioTestCase):
    """Checks of the endpoint after one broken exchange."""

    async def asyncSetUp(self):
        self.roster = Roster()
        self.roster.record_report(registration(), 0.0)
        self.crashes = []
        for name in ("BROKEN_CHECK_DELAY_S", "CHECK_INTERVAL_S"):
            patch = mock.patch(f"mulberrygate.forward.crash_detection.{name}", 0.0)
            patch.start()
            self.addCleanup(patch.stop)

    async def check(self, *results, on_probe=lambda: None):
        """Run the detector and return the reported crashes."""
        endpoints = Endpoints(*results, on_probe=on_probe)
        suspects = Suspects(self.crashes.append, lambda: None)
        timers = TimerService(lambda name, error: None)
        self.addAsyncCleanup(timers.close)
        detector = CrashDetector(
            self.roster,
            endpoints,
            suspects,
            EndpointNotices(self.roster, random.Random(1)),
            timers,
            Lines(),
        )
        now = timers.now()
        send = UnansweredSend(
            call().fingerprint, "id-1", "e1", detector.incarnation("e1"), ADDRESS, now, now, True
        )
        await detector.check(send)
        return [(crash.endpoint, crash.incarnation) for crash in self.crashes]

    async def test_refused_connection(self):
        """Guards against missing the end of an endpoint that refuses connections."""
        self.assertEqual(await self.check(ProbeResult.REFUSES), [("e1", 1)])

    async def test_endpoint_that_still_listens(self):
        """Guards against taking a broken answer of a live endpoint for its end."""
        self.assertEqual(await self.check(ProbeResult.LISTENS), [])

    async def test_endpoint_that_is_restarted_before_the_first_check(self):
        """Guards against missing the crash of an endpoint that has already restarted."""
        restart = registration("e1", 2)
        crashes = await self.check(
            ProbeResult.LISTENS, on_probe=lambda: self.roster.record_report(restart, 1.0)
        )
        self.assertEqual(crashes, [("e1", 1)])

    async def test_endpoint_that_restarted_under_another_name(self):
        """Guards against missing a restart with a new name at the same address."""
        restart = registration("e9", 2)
        crashes = await self.check(
            ProbeResult.LISTENS, on_probe=lambda: self.roster.record_report(restart, 1.0)
        )
        self.assertEqual(crashes, [("e1", 1)])

    async def test_endpoint_whose_listening_socket_closes_last(self):
        """Guards against missing a crash when one more connection is accepted after it."""
        crashes = await self.check(ProbeResult.LISTENS, ProbeResult.REFUSES)
        self.assertEqual(crashes, [("e1", 1)])

    async def test_restart_of_a_leaving_endpoint(self):
        """Guards against taking the planned stop of an endpoint for a crash."""
        self.roster.mark_leaving("e1", 1)
        restart = registration("e9", 2)
        crashes = await self.check(
            ProbeResult.LISTENS, on_probe=lambda: self.roster.record_report(restart, 1.0)
        )
        self.assertEqual(crashes, [])

    async def test_endpoint_that_is_unreachable(self):
        """Guards against missing the loss of a machine, which refuses no connection."""
        self.assertEqual(await self.check(ProbeResult.SILENT), [("e1", 1)])

    async def test_lost_packet_is_no_crash(self):
        """Guards against taking one connection timeout for the end of an endpoint."""
        self.assertEqual(await self.check(ProbeResult.SILENT, ProbeResult.LISTENS), [])


if __name__ == "__main__":
    unittest.main()
