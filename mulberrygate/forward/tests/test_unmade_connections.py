"""Tests of calls whose time ends while a connection to their endpoint is still being made."""

from __future__ import annotations

import asyncio
import unittest

from mulberrygate.forward.tests.support import CutLinks, Endpoint, Entry, whole

DEADLINE = "X-Mulberrygate-Request-Deadline"
# A crash check takes two probes of 0.4 s, with pauses.
CHECK_S = 2.0


class TestUnmadeConnections(unittest.IsolatedAsyncioTestCase):
    """Calls of an entry whose connections to endpoints are never established."""

    async def asyncSetUp(self):
        self.entry = await Entry().start(booking=[Endpoint("e1", whole())])
        self.addAsyncCleanup(self.entry.close)
        self.addCleanup(CutLinks(self.entry.forwarder, self.entry.endpoints, True).heal)

    async def test_call_has_not_run(self):
        """Guards against a call that counts as run though no connection was made for it."""
        async with self.entry.request("/plain/1", **{DEADLINE: "300"}) as answer:
            self.assertEqual(answer.status, 503)

    async def test_call_is_not_blamed(self):
        """Guards against a call taken to crash an endpoint that it has never reached."""
        async with self.entry.request("/plain/1", **{DEADLINE: "300"}):
            pass
        await asyncio.sleep(CHECK_S)
        self.assertEqual(self.entry.crashes, [])

    async def test_caller_that_leaves(self):
        """Guards against blame for a call whose caller left before there was a connection."""
        request = asyncio.create_task(self.entry.request("/plain/1").__aenter__())
        await asyncio.sleep(0.2)
        request.cancel()
        await asyncio.sleep(CHECK_S)
        self.assertEqual(self.entry.crashes, [])


if __name__ == "__main__":
    unittest.main()
