"""Tests of the recognition of endpoints that ended while they ran a call."""

from __future__ import annotations

import unittest
from unittest import mock

from mulberrygate.endpoints.roster import Registration, Roster
from mulberrygate.forward.crashwatch import BrokenExchange, CrashWatch
from mulberrygate.forward.exchange import Reach
from mulberrygate.forward.suspects import Suspects
from mulberrygate.forward.tests.support import Lines
from mulberrygate.forward.tests.test_suspects import call

ADDRESS = "10.0.0.1:80"


class Endpoints:
    """Addresses that behave as told, the last behaviour for good."""

    def __init__(self, *reaches, on_probe):
        self.reaches = list(reaches)
        self.on_probe = on_probe

    async def probe(self, _address):
        """Return what came of a connection."""
        self.on_probe()
        return self.reaches.pop(0) if len(self.reaches) > 1 else self.reaches[0]


def registration(name="e1", incarnation=1, address=ADDRESS, sequence=1, **more):
    """Return an endpoint's report."""
    return Registration(name, incarnation, sequence, "care", address, "a", **more)


class TestCrashWatch(unittest.IsolatedAsyncioTestCase):
    """One broken exchange, and what is seen of its endpoint afterwards."""

    async def asyncSetUp(self):
        self.roster = Roster()
        self.roster.hear(registration(), 0.0)
        self.crashes = []
        for name in ("FIRST_LOOK_S", "LOOK_AGAIN_S"):
            patch = mock.patch(f"mulberrygate.forward.crashwatch.{name}", 0.0)
            patch.start()
            self.addCleanup(patch.stop)

    async def look(self, *reaches, on_probe=lambda: None):
        """Return the crashes that are reported."""
        endpoints = Endpoints(*reaches, on_probe=on_probe)
        suspects = Suspects(self.crashes.append, lambda: None)
        watch = CrashWatch(self.roster, endpoints, suspects, Lines())
        broken = BrokenExchange(call(), "e1", watch.incarnation("e1"), ADDRESS)
        await watch.look(broken)
        return [(crash.endpoint, crash.incarnation) for crash in self.crashes]

    async def test_refused_connection(self):
        """The end of an endpoint was not noticed."""
        self.assertEqual(await self.look(Reach.REFUSES), [("e1", 1)])

    async def test_endpoint_that_listens_on(self):
        """A broken answer of an endpoint that lives on counted as its end."""
        self.assertEqual(await self.look(Reach.LISTENS), [])

    async def test_endpoint_that_is_up_again_at_the_first_look(self):
        """An endpoint that had crashed and was back already counted as one that had not."""
        restart = registration("e1", 2)
        crashes = await self.look(Reach.LISTENS, on_probe=lambda: self.roster.hear(restart, 1.0))
        self.assertEqual(crashes, [("e1", 1)])

    async def test_endpoint_that_is_back_under_another_name(self):
        """An endpoint that came back with a new name at its address was not seen to have ended."""
        restart = registration("e9", 2)
        crashes = await self.look(Reach.LISTENS, on_probe=lambda: self.roster.hear(restart, 1.0))
        self.assertEqual(crashes, [("e1", 1)])

    async def test_replaced_endpoint_that_had_said_that_it_leaves(self):
        """The planned end of an endpoint counted as a crash."""
        self.roster.leave("e1", 1)
        restart = registration("e9", 2)
        crashes = await self.look(Reach.LISTENS, on_probe=lambda: self.roster.hear(restart, 1.0))
        self.assertEqual(crashes, [])

    async def test_endpoint_that_went_dark(self):
        """An endpoint whose machine was gone refused nothing, and its end was not noticed."""
        self.assertEqual(await self.look(Reach.SILENT), [("e1", 1)])

    async def test_lost_packet_is_no_crash(self):
        """One connection that took too long counted as the end of an endpoint."""
        self.assertEqual(await self.look(Reach.SILENT, Reach.LISTENS), [])


if __name__ == "__main__":
    unittest.main()
