"""Integration tests of routes and accounts whose requests may be served in some regions only."""

from __future__ import annotations

import asyncio
import itertools

from mulberrygate.daemon.tests.site_support import (
    CONTROLS,
    ENTRY,
    OTHER_ENTRY,
    STEP_TIMEOUT_S,
    SiteTestCase,
)
from mulberrygate.forward.tests.support import REQUEST_ID, Endpoint, stream, whole
from mulberrygate.forward.tests.test_endpoint_notices import slowly

CALLS = 16
PATHS = {"booking": "/read/1", "care": "/stream/1"}


class TestHomeRegions(SiteTestCase):
    """An endpoint in a home region and one outside, known to two entries."""

    async def start_pool(self, pool):
        """Start the endpoints; failure domain "b" lies in region "b"."""
        self.numbers = itertools.count()
        sound = slowly(stream(3) if pool == "care" else whole(), 0.05)
        self.at_home = await Endpoint("e1", sound).start()
        self.outside = await Endpoint("e2", sound).start()
        await self.deployment.put_document(1, allowedRegions=["r"])
        nodes = [self.deployment.entry_node, await self.deployment.start_entry(OTHER_ENTRY)]
        for endpoint, zone in ((self.at_home, "a"), (self.outside, "b")):
            self.addAsyncCleanup(endpoint.close)
            await self.register(endpoint, pool, zone=zone)
        for node in nodes:
            await self.deployment.until(lambda node=node: node.is_ready)
            await self.deployment.until(lambda node=node: len(node.roster.rows) == 2)
        await self.deployment.find_leader()

    async def call(self, pool, entry):
        """Send a call and return its status."""
        headers = {REQUEST_ID: f"{entry}-{next(self.numbers)}"}
        return (await self.deployment.send_request(PATHS[pool], entry, **headers))[0]

    async def call_often(self, pool):
        """Send more calls at a time than the endpoint at home has slots; return the statuses."""
        entries = itertools.islice(itertools.cycle((ENTRY, OTHER_ENTRY)), CALLS)
        return await asyncio.gather(*(self.call(pool, entry) for entry in entries))

    async def assert_at_home(self, pool):
        """Check that calls are served, none of them outside."""
        before = len(self.at_home.requests)
        self.assertEqual(await self.call_often(pool), [200] * CALLS)
        self.assertEqual(len(self.at_home.requests), before + CALLS)
        self.assertEqual(self.outside.requests, [])

    async def test_engine(self):
        """Guards against an engine outside the homes that the leader or a deputy grants."""
        await self.start_pool("care")
        await self.assert_at_home("care")
        for name in CONTROLS:
            await self.deployment.crash(name)
        await self.assert_at_home("care")

    async def test_service(self):
        """Guards against a plain service outside the homes that an entry chooses itself."""
        await self.start_pool("booking")
        await self.assert_at_home("booking")

    async def test_change_of_homes(self):
        """Guards against homes of an earlier configuration that stay in force."""
        await self.start_pool("care")
        await self.assert_at_home("care")
        await self.deployment.put_document(2, allowedRegions=["b"])
        nodes = self.deployment.entry_nodes
        for node in nodes:
            await self.deployment.until(lambda node=node: node.forwarder.index.version == 2)
        before = len(self.at_home.requests)
        async with asyncio.timeout(STEP_TIMEOUT_S):
            self.assertEqual(await self.call_often("care"), [200] * CALLS)
        self.assertEqual(len(self.at_home.requests), before)
        self.assertEqual(len(self.outside.requests), CALLS)


if __name__ == "__main__":
    import unittest

    unittest.main()
