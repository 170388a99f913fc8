"""Process tests of the ledger when its replicas restart and are lost."""

import asyncio
import unittest

from mulberrygate.daemon.tests.base import SystemTest
from mulberrygate.standin.local import wait_for

KEYS = 20


class ReplicaLossTest(SystemTest):
    """Claims of domain a, whose replicas are a1, a2 and one of domain b."""

    async def revision(self, name: str) -> int:
        """Return the revision in force on an instance."""
        status = await self.system.json(name, "/admin/status")
        return status.get("instances", {}).get(name, {}).get("revision", 0)

    async def book_all(self, entry: str) -> list[tuple[int, dict]]:
        """Send the same bookings under the same keys."""
        calls = (self.book(entry, f"a/visit-{n}", body={"n": n}) for n in range(KEYS))
        return list(await asyncio.gather(*calls))

    async def wait_repaired(self, entry: str, restarted: str = "", after: int = 0) -> None:
        """Wait until all shards have three live replicas, some of them on an instance if named."""

        async def is_repaired() -> bool:
            status = await self.system.json(entry, "/admin/status")
            state = status.get("instances", {}).get(entry, {})
            shards = state.get("shards", {})
            replicas = shards.get("replicas", {})
            # Until the restart is detected, the views still look complete.
            if state.get("revision", 0) <= after:
                return False
            is_whole = sum(replicas.values()) == 3 * shards.get("number", 0) > 0
            placed = replicas.get(restarted, 0) if restarted else 1
            return shards.get("preparing") == 0 and is_whole and placed > 0

        await wait_for(is_repaired, f"all shards have their replicas {restarted}")

    async def test_second_loss_right_after_a_repair_loses_no_claim(self):
        """Guards against duplicate bookings when two replicas are lost, one after the other."""
        first = await self.book_all("a1")
        self.assertEqual({status for status, _ in first}, {200})
        before = await self.revision("b1")
        await self.system.kill("a2")
        self.system.start_daemon("a2")
        await self.system.wait_ready("a2")
        await self.wait_repaired("b1", "a2", before)
        await self.system.kill("a1")
        again = await self.book_all("a2")
        self.assertEqual(again, first)
        self.assertEqual(await self.bookings(), KEYS)

    async def test_claims_survive_a_rolling_restart(self):
        """Guards against duplicate bookings after all instances were restarted in turn."""
        first = await self.book_all("a1")
        for name in self.instances:
            self.system.terminate(name)
            self.assertEqual(await self.system.wait_ended(name), 0)
            self.system.start_daemon(name)
            await self.system.wait_ready(name)
            other = "b2" if name != "b2" else "a1"
            await self.wait_repaired(other)
        again = await self.book_all("b2")
        self.assertEqual(again, first)
        self.assertEqual(await self.bookings(), KEYS)

    async def test_two_replicas_lost_at_once_answer_unknown_and_run_nothing_twice(self):
        """Guards against a second run of keys whose claims were lost with both replicas."""
        first = await self.book_all("a1")
        self.assertEqual({status for status, _ in first}, {200})
        before = await self.revision("b1")
        for name in ("a1", "a2"):
            await self.system.kill(name)
        for name in ("a1", "a2"):
            self.system.start_daemon(name)
        await self.system.wait_ready("a1", "a2")
        await self.wait_repaired("b1", "a2", before)
        await self.system.wait_endpoints("a2", "booking-a")
        again = await self.book_all("a2")
        self.assertEqual(await self.bookings(), KEYS)
        for (status, answer), (_, before) in zip(again, first, strict=True):
            if status == 200:
                self.assertEqual(answer, before)
            else:
                self.assertEqual(answer["outcome"], "unknown", answer)


if __name__ == "__main__":
    unittest.main()
