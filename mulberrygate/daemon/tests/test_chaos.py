"""Random fault injection into several processes: kills, freezes, partitions and restarts.

The choices are seeded, the scheduling by the operating system is not. The checks therefore hold for
any order of events: each key runs at most once, all answers to a key agree, and a request that was
refused as "not run" did not run. ``MULBERRYGATE_CHAOS_S`` and ``MULBERRYGATE_CHAOS_SEED`` set the
duration and the seed.
"""

import asyncio
import os
import random
import unittest

import aiohttp

from mulberrygate.daemon.tests.base import ACCOUNTS, SystemTest
from mulberrygate.standin.local import routes_table

SECONDS = float(os.environ.get("MULBERRYGATE_CHAOS_S", "40"))
SEED = int(os.environ.get("MULBERRYGATE_CHAOS_SEED", "1"))
CALLERS = 6
NOT_RUN = "not_run"


class ChaosTest(SystemTest):
    """Callers that retry their requests while processes fail."""

    instances = {
        "a1": ("west", "a"),
        "a2": ("west", "a"),
        "b1": ("west", "b"),
        "b2": ("west", "b"),
        "c1": ("east", "c"),
    }
    voters = ("a1", "b1", "c1")

    def add_endpoints(self):
        for domain in ("a", "b"):
            self.system.add_endpoint("service", f"booking-{domain}", "booking", domain)
            self.system.add_endpoint(
                "engine", f"engine-{domain}", "diagnosis", domain, decode_tokens_s=300
            )

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.rng = random.Random(SEED)
        self.answers: dict[str, set[str]] = {}
        self.last_outcomes: dict[str, str] = {}
        self.is_over = False
        self.version = 1

    async def caller(self, number: int) -> None:
        """Send bookings, and retry each at random entries until it is answered or given up."""
        rng = random.Random(SEED * 1000 + number)
        serial = 0
        while not self.is_over:
            serial += 1
            key = f"{rng.choice('ab')}/{number}-{serial}"
            body = {"booking": key}
            for _ in range(rng.randint(1, 6)):
                status, answer = await self.try_booking(rng.choice(list(self.instances)), key, body)
                if status == 200:
                    self.answers.setdefault(key, set()).add(str(answer))
                    if rng.random() < 0.7:
                        break
                self.last_outcomes[key] = answer.get(
                    "outcome", "broken" if not status else "answered"
                )
            await asyncio.sleep(rng.uniform(0, 0.1))

    async def try_booking(self, entry: str, key: str, body: dict) -> tuple[int, dict]:
        """Send a booking and give up after 8 s."""
        try:
            async with asyncio.timeout(8):
                return await self.book(entry, key, body=body)
        except (TimeoutError, aiohttp.ClientError, ValueError):
            return 0, {}

    async def model_caller(self) -> None:
        """Send model requests without a key."""
        rng = random.Random(SEED + 7)
        while not self.is_over:
            try:
                async with asyncio.timeout(10):
                    entry = rng.choice(list(self.instances))
                    status, answer = await self.complete(entry, "question", rng.randint(1, 60))
                    if status == 200:
                        self.assertTrue(answer["choices"][0]["message"]["content"])
            except (TimeoutError, aiohttp.ClientError, ValueError):
                pass
            await asyncio.sleep(0.05)

    async def operator(self) -> None:
        """Apply the next version of the routes table again and again."""
        rng = random.Random(SEED + 8)
        while not self.is_over:
            table = routes_table(self.version + 1, ACCOUNTS, self.routes())
            try:
                async with asyncio.timeout(10):
                    status, _ = await self.system.apply(rng.choice(list(self.instances)), table)
                    self.version += status == 200
            except (TimeoutError, aiohttp.ClientError, ValueError):
                pass
            await asyncio.sleep(0.5)

    async def inject_faults(self) -> None:
        """Inject random faults one after the other, never in two voters at a time."""
        loop = asyncio.get_running_loop()
        end = loop.time() + SECONDS
        while loop.time() < end:
            fault = self.rng.choice(
                [self.kill, self.freeze, self.partition, self.restart, self.restart_engine]
            )
            await fault(self.rng.choice(list(self.instances)))
            await asyncio.sleep(self.rng.uniform(0.5, 2.0))

    async def kill(self, name: str) -> None:
        """Kill an instance and start it again."""
        await self.system.kill(name)
        await asyncio.sleep(self.rng.uniform(0.1, 3.0))
        self.system.start_daemon(name)
        await self.system.wait_ready(name)

    async def freeze(self, name: str) -> None:
        """Suspend an instance for a while."""
        self.system.freeze(name)
        await asyncio.sleep(self.rng.uniform(0.2, 4.0))
        self.system.thaw(name)

    async def partition(self, _name: str) -> None:
        """Cut one failure domain off from the others for a while."""
        groups = [["a1", "a2"], ["b1", "b2"], ["c1"]]
        first = groups.pop(self.rng.randrange(3))
        await self.system.partition([first, [n for group in groups for n in group]])
        await asyncio.sleep(self.rng.uniform(0.5, 4.0))
        await self.system.partition([list(self.instances)])

    async def restart(self, name: str) -> None:
        """Stop an instance gracefully and start it again."""
        self.system.terminate(name)
        await self.system.wait_ended(name)
        self.system.start_daemon(name)
        await self.system.wait_ready(name)

    async def restart_engine(self, _name: str) -> None:
        """Kill an engine and start it again."""
        name = self.rng.choice(["engine-a", "engine-b"])
        await self.system.kill(name)
        self.system.start_endpoint(name)

    async def test_no_key_runs_twice_and_refusals_are_true(self):
        """Guards against duplicate, lost or contradictory bookings under any order of failures."""
        work = [asyncio.ensure_future(self.caller(n)) for n in range(CALLERS)]
        work += [asyncio.ensure_future(self.model_caller()), asyncio.ensure_future(self.operator())]
        try:
            await self.inject_faults()
        finally:
            self.is_over = True
            results = await asyncio.gather(*work, return_exceptions=True)
        self.assertEqual([r for r in results if r is not None], [])
        await self.system.wait_ready()
        runs: dict[str, int] = {}
        for endpoint in ("booking-a", "booking-b"):
            for booking in (await self.system.json(endpoint, "/standin"))["bookings"]:
                runs[booking["body"]] = runs.get(booking["body"], 0) + 1
        twice = {body: count for body, count in runs.items() if count > 1}
        self.assertEqual(twice, {})
        self.assertEqual({k: a for k, a in self.answers.items() if len(a) > 1}, {})
        for key, outcome in self.last_outcomes.items():
            ran = f'{{"booking": "{key}"}}' in runs
            if key in self.answers:
                self.assertTrue(ran, f"{key} was answered and did not run")
            elif outcome == NOT_RUN:
                self.assertFalse(ran, f"{key} ran and its last refusal said that it did not")
        self.assertGreater(len(self.answers), 20)
        await self.check_newest_table()

    async def check_newest_table(self) -> None:
        """Apply another table, and check that it comes into force on all instances."""
        table = routes_table(self.version + 1, ACCOUNTS, self.routes())
        status, answer = await self.system.apply("a1", table)
        if status == 409:
            # The answer to the last accepted version was lost.
            table = routes_table(self.version + 2, ACCOUNTS, self.routes())
        answer = await self.system.apply_and_wait("a1", table)
        await self.system.wait_in_force(answer["revision"])


if __name__ == "__main__":
    unittest.main()
