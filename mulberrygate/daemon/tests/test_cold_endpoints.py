"""Integration tests of the limit of cold endpoints over entries and owners."""

from __future__ import annotations

import asyncio

from mulberrygate.daemon.tests.site_support import (
    ENTRY,
    OTHER_ENTRY,
    STEP_TIMEOUT_S,
    SiteTestCase,
)
from mulberrygate.forward.tests.support import REQUEST_ID, Endpoint, document, stream, whole
from mulberrygate.forward.tests.test_endpoint_notices import slowly
from mulberrygate.schedule.tests.test_cold import most_in_a_second

PATHS = {"booking": "/read/1", "care": "/stream/1"}
RATE = 4.0
# The users' bound for any second.
ALLOWED = 1.5 * RATE + 5
LOAD_S = 4.0
# Part of the rate that the endpoint gets at least; a new owner begins with half of it.
LEAST_PART = 0.5
# An endpoint that stays cold longer than a test.
LONG_MS = 60_000
# Time within which a heartbeat reaches the owner.
NEWS_S = 0.5


class TestColdEndpoints(SiteTestCase):
    """A cold endpoint and a warm one, known to two entries."""

    async def start_pool(self, pool, cold_ms):
        """Start the endpoints; the first is cold."""
        self.arrivals = []
        sound = slowly(stream(3) if pool == "care" else whole(), 0.1)

        async def record(*arguments):
            self.arrivals.append(asyncio.get_running_loop().time())
            await sound(*arguments)

        self.cold = await Endpoint("e1", record).start()
        self.warm = await Endpoint("e2", sound).start()
        await self.put_limits()
        nodes = [self.deployment.entry_node, await self.deployment.start_entry(OTHER_ENTRY)]
        # The warm endpoint alone can't take the load, so the cold one is used as far as it may.
        for endpoint, left_ms, slots in ((self.cold, cold_ms, 12), (self.warm, 0, 2)):
            self.addAsyncCleanup(endpoint.close)
            await self.register(endpoint, pool, coldRemainingMs=left_ms, slots=slots)
        for node in nodes:
            await self.deployment.until(lambda node=node: node.is_ready)
            await self.deployment.until(lambda node=node: len(node.roster.rows) == 2)
        await self.deployment.find_leader()

    async def put_limits(self):
        """Send a configuration that limits cold endpoints until it is acknowledged."""
        fields = document()
        for service in fields["services"]:
            service.update(coldStartS=3.0, coldPerS=RATE)
        async with asyncio.timeout(STEP_TIMEOUT_S):
            while True:
                if (await self.deployment.call_control("PUT", "/config", fields))[0] == 200:
                    return
                await asyncio.sleep(0.05)

    async def send_load(self, pool, seconds):
        """Send calls through both entries at a steady rate, until the end."""
        loop = asyncio.get_running_loop()
        calls, end = [], loop.time() + seconds
        while loop.time() < end:
            for entry in (ENTRY, OTHER_ENTRY):
                headers = {REQUEST_ID: f"call-{loop.time()}-{len(calls)}"}
                call = self.deployment.send_request(PATHS[pool], entry, **headers)
                calls.append(asyncio.ensure_future(call))
            await asyncio.sleep(0.02)
        await asyncio.gather(*calls)

    async def test_engine_of_two_entries(self):
        """Guards against a cold engine that gets the load of a warm one."""
        await self.start_pool("care", LONG_MS)
        await self.send_load("care", LOAD_S)
        self.assertLessEqual(most_in_a_second(self.arrivals), ALLOWED)
        self.assertGreater(len(self.arrivals), LEAST_PART * RATE * LOAD_S)

    async def test_service_of_two_entries(self):
        """Guards against a limit that each of two entries uses in full for a plain service."""
        await self.start_pool("booking", LONG_MS)
        await self.send_load("booking", LOAD_S)
        self.assertLessEqual(most_in_a_second(self.arrivals), ALLOWED)
        self.assertGreater(len(self.arrivals), LEAST_PART * RATE * LOAD_S)

    async def test_change_of_the_leader(self):
        """Guards against two leaders that each use the limit in the same second."""
        await self.start_pool("care", LONG_MS)
        load = asyncio.ensure_future(self.send_load("care", 6.0))
        await asyncio.sleep(2.0)
        await self.deployment.crash(await self.deployment.find_leader())
        await load
        self.assertLessEqual(most_in_a_second(self.arrivals), ALLOWED)

    async def test_endpoint_becomes_cold_and_warm_again(self):
        """Guards against a heartbeat that reaches the owner only with the next change."""
        await self.start_pool("care", 0)
        await self.send_load("care", 1.5)
        self.assertGreater(most_in_a_second(self.arrivals), ALLOWED)
        await self.register(self.cold, "care", sequence=2, coldRemainingMs=LONG_MS, slots=12)
        await asyncio.sleep(NEWS_S)
        self.arrivals.clear()
        await self.send_load("care", 2.5)
        self.assertLessEqual(most_in_a_second(self.arrivals), ALLOWED)
        await self.register(self.cold, "care", sequence=3, coldRemainingMs=0, slots=12)
        self.arrivals.clear()
        await self.send_load("care", 4.0)
        self.assertGreater(most_in_a_second(self.arrivals), ALLOWED)


if __name__ == "__main__":
    import unittest

    unittest.main()
