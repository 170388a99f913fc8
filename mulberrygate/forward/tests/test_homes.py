"""Tests of calls that only the endpoints of some regions may get, at one entry."""

from __future__ import annotations

import asyncio
import unittest

import aiohttp
import attrs

from mulberrygate.forward import codes
from mulberrygate.forward.explain import PlacementExplainer
from mulberrygate.forward.tests.support import Endpoint, document, stream, whole
from mulberrygate.forward.tests.test_endpoint_notices import NoticeTestCase, slowly, with_lines
from mulberrygate.schedule.codes import NO_HOME_ENDPOINT
from mulberrygate.schedule.messages import Ask
from mulberrygate.sync.messages import ExplainPlacement

# Failure domains "a" and "b" of the stand-ins lie in these regions.
HOME, ELSEWHERE = "r", "b"


class TestHomes(NoticeTestCase):
    """An endpoint at home and one in another region, of a plain service and of an engine pool."""

    async def start_pool(self, homes=(HOME,), at_home=None, elsewhere=None, pool="booking"):
        """Start the endpoints and an entry whose routes have home regions."""
        self.at_home = Endpoint("home", at_home or whole())
        self.elsewhere = Endpoint("elsewhere", elsewhere or whole())
        await self.start(document(allowedRegions=list(homes)))
        await self.add(self.at_home, pool)
        await self.elsewhere.start()
        self.entry.endpoints.append(self.elsewhere)
        registration = self.elsewhere.registration(pool)
        self.register(attrs.evolve(registration, failure_domain="b"))

    def ignore_homes(self):
        """Let the scheduler ignore home regions, as an owner of an earlier release does."""
        peers = self.entry.placement.host.peers
        ask = peers.handlers[Ask]
        peers.on(
            Ask,
            lambda message, sender: ask(Ask(attrs.evolve(message.ticket, home_regions=())), sender),
        )

    async def test_calls_stay_at_home(self):
        """Guards against calls that are sent to a region outside their homes."""
        await self.start_pool()
        statuses = await asyncio.gather(*(self.call() for _ in range(20)))
        self.assertEqual({status for status, *_ in statuses}, {200})
        self.assertEqual(len(self.at_home.requests), 20)
        self.assertEqual(self.elsewhere.requests, [])

    async def test_owner_of_an_earlier_release(self):
        """Guards against an entry that uses a grant of an owner which ignores home regions."""
        await self.start_pool()
        self.ignore_homes()
        statuses = await asyncio.gather(*(self.call() for _ in range(20)))
        self.assertEqual({status for status, *_ in statuses}, {200})
        self.assertEqual(self.elsewhere.requests, [])
        self.assertTrue(self.entry.lines.of("grant.outside_homes"))
        scheduler = self.entry.placement.host.hosted["booking"].scheduler
        self.assertFalse(scheduler.running, "returned grants hold no slots")

    async def test_no_endpoint_at_home(self):
        """Guards against a call that waits in vain, or is served elsewhere."""
        await self.start_pool(["nowhere"])
        before = self.entry.timers.now()
        status, code, retry_after = await self.call()
        self.assertEqual((status, code), (503, NO_HOME_ENDPOINT.number))
        self.assertGreater(float(retry_after), 0.0)
        self.assertLess(self.entry.timers.now() - before, 0.3)
        self.assertEqual(self.at_home.requests + self.elsewhere.requests, [])

    async def test_explanation(self):
        """Guards against an explanation with endpoints that the call would not be sent to."""
        await self.start_pool()
        explainer = PlacementExplainer(self.entry.forwarder, None)
        question = ExplainPlacement("a.example", "/read/1")
        found = await explainer.explain(question)
        self.assertEqual(found["placement"]["endpoint"], "home")
        obstacles = {row["endpoint"]: row["obstacle"] for row in found["placement"]["endpoints"]}
        self.assertTrue(obstacles["elsewhere"], obstacles)
        self.entry.put(document(allowedRegions=["nowhere"]))
        self.assertEqual((await explainer.explain(question))["code"], NO_HOME_ENDPOINT.number)

    async def test_route_and_account_without_a_common_region(self):
        """Guards against an empty set of homes that counts as any region, and a useless hint."""
        await self.start_pool()
        fields = document(allowedRegions=[HOME])
        fields["tenants"] = [{"name": "x", "apiKeys": ["k"], "allowedRegions": [ELSEWHERE]}]
        self.entry.put(fields)
        headers = {"Authorization": "Bearer k"}
        async with self.entry.request("/read/1", **headers) as answer:
            fields = await answer.json()
            self.assertEqual((answer.status, fields["code"]), (503, codes.NO_HOME_REGION.number))
            self.assertNotIn("Retry-After", answer.headers)
        self.assertEqual(self.at_home.requests + self.elsewhere.requests, [])

    async def test_retry_stays_at_home(self):
        """Guards against a retry that goes to another region after a failure at home."""
        await self.start_pool(at_home=whole(500))
        status, _, _ = await self.call()
        self.assertEqual(status, 500)
        self.assertEqual(self.elsewhere.requests, [])

    async def test_resumed_stream_stays_at_home(self):
        """Guards against a broken stream that is resumed in another region."""
        await self.start_pool(at_home=stream(3, end=False), elsewhere=stream(3), pool="care")
        fields = document(allowedRegions=[HOME], resumable=True)
        self.entry.put(fields)
        with self.assertRaises(aiohttp.ClientError):
            await self.call("/stream/1")
        self.assertTrue(self.at_home.requests)
        self.assertEqual(self.elsewhere.requests, [])

    async def test_new_homes_bind_calls_that_wait(self):
        """Guards against a call that is sent by the homes of the catalog at its arrival."""
        await self.start_pool([HOME, ELSEWHERE], slowly(whole(), 0.4), slowly(whole(), 0.4))
        calls = [asyncio.ensure_future(self.call()) for _ in range(24)]
        await asyncio.wait_for(self.elsewhere.asked.wait(), 5.0)
        await asyncio.sleep(0.05)
        self.entry.put({**document(allowedRegions=[HOME]), "version": 2})
        before = len(self.elsewhere.requests)
        results = await asyncio.gather(*calls)
        self.assertEqual({status for status, *_ in results}, {200})
        self.assertEqual(len(self.elsewhere.requests), before)

    async def test_all_endpoints_at_home_are_paused(self):
        """Guards against a call that waits since endpoints that it may not use take calls."""
        pause = with_lines(whole(503), b"Retry-After: 5", b"X-Mulberrygate-Not-Executed: 1")
        await self.start_pool(at_home=pause)
        await self.call()
        status, code, retry_after = await self.call()
        self.assertEqual((status, code), (503, codes.ENDPOINTS_PAUSED.number))
        self.assertGreater(float(retry_after), 3.0)
        self.assertEqual(self.elsewhere.requests, [])


if __name__ == "__main__":
    unittest.main()
