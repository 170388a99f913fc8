"""Process tests of evacuated failure domains on the product's own daemons."""

from __future__ import annotations

import asyncio
import json
import unittest

from mulberrygate.daemon.tests.base import SystemTest
from mulberrygate.standin.local import wait_for

BOOKINGS = 8


class EvacuationTest(SystemTest):
    """A service and an engine in each of the failure domains a and b, of which b is evacuated."""

    def add_endpoints(self):
        for domain in ("a", "b"):
            name = f"engine-{domain}"
            self.system.add_endpoint("engine", name, "diagnosis", domain, decode_tokens_s=200)
            self.system.add_endpoint("service", f"booking-{domain}", "booking", domain)

    async def order(self, name, entry="a1", method="POST"):
        """Send an order as an operator; return status and answer."""
        status, body, _ = await self.system.call(entry, method, f"/admin/evacuations/{name}")
        return status, json.loads(body)

    async def until_in_force(self, names, instances=4):
        """Wait until exactly some failure domains are evacuated on all instances."""

        async def is_in_force():
            status = await self.system.json("a1", "/admin/status")
            found = status["summary"]["evacuations"]
            return found.keys() == set(names) and all(
                row["in_force_on"] == instances for row in found.values()
            )

        await wait_for(is_in_force, "the evacuations")

    async def test_requests_go_to_another_failure_domain(self):
        """Guards against requests that reach an evacuated failure domain, and a lost withdrawal."""
        self.assertEqual((await self.order("b"))[0], 200)
        await self.until_in_force("b")
        _, text, _ = await self.system.call("b1", "GET", "/metrics")
        self.assertIn(b"\nmulberrygate_evacuated_failure_domains 1\n", text)
        for _ in range(BOOKINGS):
            self.assertEqual((await self.book("b1"))[0], 200)
            self.assertEqual((await self.complete("b2"))[0], 200)
        self.assertEqual(await self.bookings("booking-b"), 0)
        self.assertEqual((await self.order("b", "b2", "DELETE"))[0], 200)
        await self.until_in_force("")

        async def is_used():
            await self.book("b1")
            return await self.bookings("booking-b")

        await wait_for(is_used, "a booking in the failure domain")

    async def test_lost_leader(self):
        """Guards against an accepted order that a new leader doesn't have."""
        self.assertEqual((await self.order("b"))[0], 200)

        async def find_leader():
            for name in self.voters:
                state = await self.system.json(name, "/admin/status")
                if state["instances"][name]["control"] == "leader":
                    return name
            return ""

        leader = await wait_for(find_leader, "a leader")
        await self.system.kill(leader)
        await asyncio.sleep(1.0)
        other = next(name for name in ("b2", "a2") if name != leader)

        async def is_accepted():
            return (await self.order("b", other))[0] == 200

        await wait_for(is_accepted, "the repeated order")
        self.assertEqual((await self.book("b2"))[0], 200)
        self.assertEqual(await self.bookings("booking-b"), 0)

    async def test_no_endpoint_left(self):
        """Guards against callers that wait for their timeout when everything is evacuated."""
        for name in ("a", "b"):
            self.assertEqual((await self.order(name))[0], 200)
        await self.until_in_force("ab")
        async with asyncio.timeout(10.0):
            status, answer = await self.book("b1")
        self.assertEqual((status, answer["code"], answer["outcome"]), (503, 2004, "not_run"))

    async def test_unknown_failure_domain_and_operator(self):
        """Guards against an accepted order for a misspelt failure domain, or without the token."""
        for name in ("c", "%ff", "%00", "%ed%a0%80", 1000 * "b"):
            status, answer = await self.order(name)
            self.assertEqual((status, answer["code"]), (422, 4025), name)
        status, _, _ = await self.system.call("a1", "POST", "/admin/evacuations/b", "wrong")
        self.assertEqual(status, 401)


if __name__ == "__main__":
    unittest.main()
