"""Integration tests of evacuated failure domains, through control processes and entries."""

from __future__ import annotations

import asyncio
import unittest

from mulberrygate.daemon.tests.site_support import (
    CONTROLS,
    ENTRY,
    OTHER_ENTRY,
    STEP_TIMEOUT_S,
    SiteTestCase,
)
from mulberrygate.forward.tests.support import REQUEST_ID, Endpoint, stream, whole

CALLS = 12
PATHS = {"booking": "/read/1", "care": "/stream/1"}


class TestEvacuations(SiteTestCase):
    """Endpoints in the failure domains a and b, of which b is evacuated."""

    async def start_pool(self, pool):
        """Start an endpoint in each failure domain, known to the entry."""
        sound = stream(3) if pool == "care" else whole()
        await self.deployment.put_document(1)
        self.endpoints = {}
        for zone in ("a", "b"):
            endpoint = await Endpoint(f"e-{zone}", sound).start()
            self.addAsyncCleanup(endpoint.close)
            await self.register(endpoint, pool, zone=zone)
            self.endpoints[zone] = endpoint
        await self.until_known(self.deployment.entry_node)

    async def until_known(self, node):
        """Wait until an entry serves and knows both endpoints."""
        await self.deployment.until(lambda: node.is_ready and len(node.roster.rows) == 2)

    async def order(self, zone, method="POST", name=None):
        """Send an order until it is acknowledged."""
        async with asyncio.timeout(STEP_TIMEOUT_S):
            while True:
                status, _ = await self.deployment.call_control(
                    method, f"/evacuate/{zone}", name=name
                )
                if status == 200:
                    return
                self.assertEqual(status, 503)
                await asyncio.sleep(0.05)

    async def until_in_force(self, zones, node=None):
        """Wait until exactly some failure domains are evacuated at an entry."""
        known = (node or self.deployment.entry_node).evacuations
        await self.deployment.until(lambda: known.evacuated == frozenset(zones))

    async def call_many(self, pool, entry=ENTRY, prefix="id"):
        """Send more calls at a time than an endpoint has slots; return their statuses."""
        answers = await asyncio.gather(
            *(
                self.deployment.send_request(PATHS[pool], entry, **{REQUEST_ID: f"{prefix}-{n}"})
                for n in range(CALLS)
            )
        )
        return [status for status, _ in answers]

    def count(self, zone):
        """Return the number of requests that the endpoint of a failure domain has received."""
        return len(self.endpoints[zone].requests)

    async def test_nothing_is_sent_to_an_evacuated_domain(self):
        """Guards against requests that go on to reach an evacuated failure domain."""
        await self.start_pool("booking")
        await self.assert_evacuated("booking")

    async def test_no_stream_is_sent_to_an_evacuated_domain(self):
        """Guards against grants of the leader, which queues streams, of evacuated endpoints."""
        await self.start_pool("care")
        await self.deployment.find_leader()
        await self.assert_evacuated("care")

    async def assert_evacuated(self, pool):
        """Evacuate b and check that calls are served, none of them there."""
        await self.order("b")
        await self.until_in_force("b")
        before = self.count("b")
        self.assertEqual(await self.call_many(pool), [200] * CALLS)
        self.assertEqual(self.count("b"), before)

    async def test_domain_is_used_again_after_the_withdrawal(self):
        """Guards against a failure domain that stays unused after the end of its evacuation."""
        await self.start_pool("booking")
        await self.order("b")
        await self.until_in_force("b")
        await self.order("b", "DELETE")
        await self.until_in_force("")
        async with asyncio.timeout(STEP_TIMEOUT_S):
            number = 0
            while not self.count("b"):
                number += 1
                await self.call_many("booking", prefix=f"again-{number}")

    async def test_no_endpoint_left(self):
        """Guards against callers that wait for their timeout for endpoints that get nothing."""
        await self.start_pool("care")
        for zone in ("a", "b"):
            await self.order(zone)
        await self.until_in_force("ab")
        started = asyncio.get_running_loop().time()
        status, body = await self.deployment.send_request(PATHS["care"])
        self.assertEqual(status, 503)
        self.assertIn(b'"code": 2205', body)
        self.assertLess(asyncio.get_running_loop().time() - started, 1.0)

    async def test_unknown_domain(self):
        """Guards against an order for a misspelt failure domain that looks accepted."""
        await self.start_pool("booking")
        for name in CONTROLS:
            # A process that has just started may not know all endpoints, so it can't tell.
            self.deployment.nodes[name].controller.started_at -= 60.0
        for name in ("c", "%ff", "%00", "%ed%a0%80", 1000 * "b"):
            for method in ("POST", "DELETE"):
                path = f"/evacuate/{name}"
                status, fields = await self.deployment.call_control(method, path)
                self.assertEqual(status, 422, name)
                self.assertIn("unknown zone", fields["error"])

    async def test_evacuation_outlives_a_restart_of_all_processes(self):
        """Guards against an acknowledged evacuation that is lost with the memory of all processes.

        One of the control processes has lost its disk as well, and a new entry starts.
        """
        await self.start_pool("booking")
        await self.order("b")
        for name in CONTROLS:
            await self.deployment.crash(name)
        self.deployment.erase_disk(CONTROLS[0])
        for name in CONTROLS:
            await self.deployment.start_control(name, is_first=False)
        other = await self.deployment.start_entry(OTHER_ENTRY)
        for endpoint in self.endpoints.values():
            await self.register(endpoint, "booking", zone=endpoint.name[-1], sequence=2)
        await self.until_known(other)
        before = self.count("b")
        self.assertEqual(await self.call_many("booking", OTHER_ENTRY), [200] * CALLS)
        self.assertEqual(self.count("b"), before)

    async def test_order_while_the_leader_is_lost(self):
        """Guards against an acknowledged order that a new leader doesn't have."""
        await self.start_pool("care")
        leader = await self.deployment.find_leader()
        other = next(name for name in CONTROLS if name != leader)
        await asyncio.gather(self.order("b", name=other), self.deployment.crash(leader))
        await self.order("b", name=other)
        await self.until_in_force("b")
        before = self.count("b")
        await self.deployment.find_leader()
        self.assertEqual(await self.call_many("care"), [200] * CALLS)
        self.assertEqual(self.count("b"), before)

    async def test_entries_without_control_processes(self):
        """Guards against entries and deputies that forget an evacuation with the control group."""
        await self.start_pool("care")
        other = await self.deployment.start_entry(OTHER_ENTRY)
        await self.until_known(other)
        await self.order("b")
        for node in (self.deployment.entry_node, other):
            await self.until_in_force("b", node)
        for name in CONTROLS:
            await self.deployment.crash(name)
        before = self.count("b")
        for entry in (ENTRY, OTHER_ENTRY):
            statuses = await self.call_many("care", entry, prefix=entry)
            self.assertEqual(statuses, [200] * CALLS)
        self.assertEqual(self.count("b"), before)

    async def test_list_of_evacuations(self):
        """Guards against an operator who can't see whether a failure domain is empty."""
        await self.start_pool("booking")
        hold = asyncio.Event()
        sound = self.endpoints["a"].answer

        async def slow(*arguments):
            await hold.wait()
            return await sound(*arguments)

        for endpoint in self.endpoints.values():
            endpoint.answer = slow
        calls = asyncio.create_task(self.call_many("booking"))
        await self.deployment.until(lambda: self.count("b"))
        await self.order("b")
        for name in CONTROLS:
            await self.until_running(name, self.count("b"))
        hold.set()
        self.assertEqual(await calls, [200] * CALLS)
        for name in CONTROLS:
            await self.until_running(name, 0)

    async def until_running(self, name, count):
        """Wait until a control process says how many requests run in the failure domain b."""
        async with asyncio.timeout(STEP_TIMEOUT_S):
            while True:
                if await self.read_running(name) == count:
                    return
                await asyncio.sleep(0.05)

    async def read_running(self, name):
        """Return how many requests a control process says still run in the failure domain b."""
        status, fields = await self.deployment.call_control("GET", "/evacuate", name=name)
        if status != 200:
            return -1
        (row,) = fields["evacuated"]
        self.assertEqual(row["failure_domain"], "b")
        return row["running"]


if __name__ == "__main__":
    unittest.main()
