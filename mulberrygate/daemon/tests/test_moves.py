"""Process tests of version moves and of orders to endpoints."""

import asyncio
import unittest

import aiohttp

from mulberrygate.daemon.tests.base import SystemTest
from mulberrygate.standin.local import pools_table, token_of, wait_for

CALLERS = 12


class MoveTest(SystemTest):
    """A pool under load that moves to another version."""

    def add_endpoints(self):
        for domain in ("a", "b"):
            self.system.add_endpoint("service", f"old-{domain}", "booking", domain, delay_s=0.02)
            self.system.add_endpoint(
                "service", f"new-{domain}", "booking", domain, delay_s=0.02, version="v2"
            )

    def pools(self):
        return {"diagnosis": {}, "booking": {"kind": "service", "version": "v1"}}

    def pools_with_move(self) -> dict:
        """Return the table of pools that declares the move."""
        move = {"previous": "v1", "deadline_s": 120, "largest_early_share": 0.25, "watch_s": 5}
        booking = {"kind": "service", "version": "v2", "move": move}
        return pools_table(2, {"diagnosis": {}, "booking": booking})

    async def read_stock(self, entry: str) -> None:
        """Send reads of the stock, one after the other, until cancelled."""
        while True:
            try:
                await self.system.call(
                    entry, "GET", "/services/booking/stock", token_of("field"), timeout_s=30
                )
            except (TimeoutError, aiohttp.ClientError):
                pass

    async def asyncSetUp(self):
        await super().asyncSetUp()
        entries = list(self.instances)
        self.callers = [
            asyncio.ensure_future(self.read_stock(entries[n % len(entries)]))
            for n in range(CALLERS)
        ]
        self.addAsyncCleanup(self.stop_callers)

    async def stop_callers(self) -> None:
        """Cancel the callers."""
        for task in self.callers:
            task.cancel()
        await asyncio.gather(*self.callers, return_exceptions=True)

    async def move_state(self) -> dict:
        """Return the state of the move."""
        status = await self.system.json("a1", "/admin/status")
        return status.get("summary", {}).get("moves", {}).get("booking", {})

    async def wait_verdict(self) -> str:
        """Wait for the verdict."""

        async def find() -> str:
            return (await self.move_state()).get("verdict", "")

        return await wait_for(find, "a verdict", 150)

    async def runs(self, endpoint: str) -> int:
        """Return how many calls an endpoint ran."""
        return (await self.system.json(endpoint, "/standin"))["runs"].get("total", 0)

    async def wait_old_version_serves(self) -> None:
        """Wait until the previous version has served some more calls."""
        old = await self.runs("old-a")

        async def has_served() -> bool:
            return await self.runs("old-a") > old + 50

        await wait_for(has_served, "the previous version serves")

    async def test_version_without_fault_takes_over(self):
        """Guards against a good version that is withdrawn or doesn't finish in time."""
        await self.system.apply_and_wait("a1", self.pools_with_move())
        self.assertEqual(await self.wait_verdict(), "done")

        async def has_all() -> bool:
            return (await self.move_state())["share"] == 1.0

        await wait_for(has_all, "all traffic is on the new version")

    async def test_failing_version_is_withdrawn_and_gets_no_more_requests(self):
        """Guards against a bad version that keeps its traffic."""
        for endpoint in ("new-a", "new-b"):
            await self.set_behaviour(endpoint, fail_every=2)
        await self.system.apply_and_wait("a1", self.pools_with_move())
        self.assertEqual(await self.wait_verdict(), "withdrawn")
        # Schedulers apply the shares of a verdict at their next tick.
        await self.wait_old_version_serves()
        before = [await self.runs(e) for e in ("new-a", "new-b")]
        await self.wait_old_version_serves()
        self.assertEqual([await self.runs(e) for e in ("new-a", "new-b")], before)
        status, answer = await self.system.apply("b1", self.pools_with_move())
        self.assertEqual(status, 200, answer)
        self.assertEqual((await self.move_state())["verdict"], "withdrawn")


class OrderTest(SystemTest):
    """Orders to endpoints when the leader dies."""

    def add_endpoints(self):
        for name, checks in (("engine-a", True), ("engine-b", False)):
            domain = name[-1]
            self.system.add_endpoint("engine", name, "diagnosis", domain, checks_fence=checks)

    def pools(self):
        pool = {"version": "v1", "load": {"share": 1.0, "weight_bytes": 1000}}
        return {"diagnosis": pool, "booking": {"kind": "service"}}

    async def orders(self, engine: str) -> list[dict]:
        """Return the orders that an engine took."""
        return (await self.engine_state(engine))["orders"]

    async def change_version(self, version: str, table_version: int, entry: str) -> None:
        """Change the pool's version and wait until both engines took the order."""
        pools = self.pools()
        pools["diagnosis"]["version"] = version
        await self.system.apply_and_wait(entry, pools_table(table_version, pools))

        async def has_order(engine: str) -> bool:
            return any(order["version"] == version for order in await self.orders(engine))

        for engine in ("engine-a", "engine-b"):
            await wait_for(lambda engine=engine: has_order(engine), f"{engine} loads {version}")

    async def test_new_leader_orders_with_a_higher_number(self):
        """Guards against a new leader whose orders look older than those of the dead one."""
        await self.change_version("v2", 2, "b2")

        async def leader() -> str:
            for name in self.voters:
                status = await self.system.json(name, "/admin/status")
                if status.get("instances", {}).get(name, {}).get("control") == "leader":
                    return name
            return ""

        await self.system.kill(await wait_for(leader, "a leader"))
        await self.change_version("v3", 3, "b2")
        for engine in ("engine-a", "engine-b"):
            fences = [order["fence"] for order in await self.orders(engine)]
            self.assertEqual(fences, sorted(fences))
            self.assertLess(fences[0], fences[-1])


if __name__ == "__main__":
    unittest.main()
