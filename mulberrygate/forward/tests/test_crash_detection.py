"""Tests of the recognition of endpoints that ended while they ran a call."""

from __future__ import annotations

import unittest
from unittest import mock

from mulberrygate.endpoints.roster import Registration, Roster
from mulberrygate.forward.crash_detection import BrokenExchange, CrashDetector
from mulberrygate.forward.exchange import ProbeResult
from mulberrygate.forward.suspects import Suspects
from mulberrygate.forward.tests.support import Lines
from mulberrygate.forward.tests.test_suspects import call

ADDRESS = "10.0.0.1:80"


class Endpoints:
    """Addresses that behave as told, the last behaviour for good."""

    def __init__(self, *results, on_probe):
        self.results = list(results)
        self.on_probe = on_probe

    async def probe(self, _address):
        """Return what came of a connection."""
        self.on_probe()
        return self.results.pop(0) if len(self.results) > 1 else self.results[0]


def registration(name="e1", incarnation=1, address=ADDRESS, sequence=1, **more):
    """Return an endpoint's report."""
    return Registration(name, incarnation, sequence, "care", address, "a", **more)


class TestCrashDetector(unittest.IsolatedAsyncioTestCase):
    """One broken exchange, and what is seen of its endpoint afterwards."""

    async def asyncSetUp(self):
        self.roster = Roster()
        self.roster.hear(registration(), 0.0)
        self.crashes = []
        for name in ("FIRST_CHECK_DELAY_S", "CHECK_INTERVAL_S"):
            patch = mock.patch(f"mulberrygate.forward.crash_detection.{name}", 0.0)
            patch.start()
            self.addCleanup(patch.stop)

    async def check(self, *results, on_probe=lambda: None):
        """Return the crashes that are reported."""
        endpoints = Endpoints(*results, on_probe=on_probe)
        suspects = Suspects(self.crashes.append, lambda: None)
        detector = CrashDetector(self.roster, endpoints, suspects, Lines())
        broken = BrokenExchange(call(), "e1", detector.incarnation("e1"), ADDRESS)
        await detector.check(broken)
        return [(crash.endpoint, crash.incarnation) for crash in self.crashes]

    async def test_refused_connection(self):
        """The end of an endpoint was not noticed."""
        self.assertEqual(await self.check(ProbeResult.REFUSES), [("e1", 1)])

    async def test_endpoint_that_listens_on(self):
        """A broken answer of an endpoint that lives on counted as its end."""
        self.assertEqual(await self.check(ProbeResult.LISTENS), [])

    async def test_endpoint_that_is_restarted_before_the_first_check(self):
        """An endpoint that had crashed and was back already counted as one that had not."""
        restart = registration("e1", 2)
        crashes = await self.check(
            ProbeResult.LISTENS, on_probe=lambda: self.roster.hear(restart, 1.0)
        )
        self.assertEqual(crashes, [("e1", 1)])

    async def test_endpoint_that_is_back_under_another_name(self):
        """An endpoint that came back with a new name at its address was not seen to have ended."""
        restart = registration("e9", 2)
        crashes = await self.check(
            ProbeResult.LISTENS, on_probe=lambda: self.roster.hear(restart, 1.0)
        )
        self.assertEqual(crashes, [("e1", 1)])

    async def test_replaced_endpoint_that_had_said_that_it_leaves(self):
        """The planned end of an endpoint counted as a crash."""
        self.roster.leave("e1", 1)
        restart = registration("e9", 2)
        crashes = await self.check(
            ProbeResult.LISTENS, on_probe=lambda: self.roster.hear(restart, 1.0)
        )
        self.assertEqual(crashes, [])

    async def test_endpoint_that_went_dark(self):
        """An endpoint whose machine was gone refused nothing, and its end was not noticed."""
        self.assertEqual(await self.check(ProbeResult.SILENT), [("e1", 1)])

    async def test_lost_packet_is_no_crash(self):
        """One connection that took too long counted as the end of an endpoint."""
        self.assertEqual(await self.check(ProbeResult.SILENT, ProbeResult.LISTENS), [])


if __name__ == "__main__":
    unittest.main()
