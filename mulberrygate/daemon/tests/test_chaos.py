"""Long random run of several processes with kills, freezes, cuts and restarts.

The choices are seeded. What the operating system makes of them is not, so the checks hold whatever
the order of events: each key runs at most once, answers to one key agree, and "not run" is true.
``MULBERRYGATE_CHAOS_S`` and ``MULBERRYGATE_CHAOS_SEED`` make a longer or another run.
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
    """Callers that send everything again until it is answered, while processes fail."""

    places = {
        "a1": ("west", "a"),
        "a2": ("west", "a"),
        "b1": ("west", "b"),
        "b2": ("west", "b"),
        "c1": ("east", "c"),
    }
    voters = ("a1", "b1", "c1")

    def endpoints(self):
        for domain in ("a", "b"):
            self.system.add_endpoint("service", f"booking-{domain}", "booking", domain)
            self.system.add_endpoint(
                "engine", f"engine-{domain}", "diagnosis", domain, decode_tokens_s=300
            )

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.rng = random.Random(SEED)
        self.answers: dict[str, set[str]] = {}
        self.last: dict[str, str] = {}
        self.is_over = False
        self.version = 1

    async def caller(self, number: int) -> None:
        """Send bookings, each one again at another entry until it is answered or given up."""
        rng = random.Random(SEED * 1000 + number)
        serial = 0
        while not self.is_over:
            serial += 1
            key = f"{rng.choice('ab')}/{number}-{serial}"
            body = {"booking": key}
            for _ in range(rng.randint(1, 6)):
                status, answer = await self.try_booking(rng.choice(list(self.places)), key, body)
                if status == 200:
                    self.answers.setdefault(key, set()).add(str(answer))
                    if rng.random() < 0.7:
                        break
                self.last[key] = answer.get("outcome", "broken" if not status else "answered")
            await asyncio.sleep(rng.uniform(0, 0.1))

    async def try_booking(self, entry: str, key: str, body: dict) -> tuple[int, dict]:
        """Send a booking, with the patience of a person at a counter."""
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
                    entry = rng.choice(list(self.places))
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
                    status, _ = await self.system.apply(rng.choice(list(self.places)), table)
                    self.version += status == 200
            except (TimeoutError, aiohttp.ClientError, ValueError):
                pass
            await asyncio.sleep(0.5)

    async def disturb(self) -> None:
        """Let one thing after the other go wrong, never two voters at a time."""
        loop = asyncio.get_running_loop()
        end = loop.time() + SECONDS
        while loop.time() < end:
            fault = self.rng.choice([self.kill, self.freeze, self.cut, self.restart, self.engine])
            await fault(self.rng.choice(list(self.places)))
            await asyncio.sleep(self.rng.uniform(0.5, 2.0))

    async def kill(self, name: str) -> None:
        """Kill an instance and start it again."""
        await self.system.kill(name)
        await asyncio.sleep(self.rng.uniform(0.1, 3.0))
        self.system.start_daemon(name)
        await self.system.wait_ready(name)

    async def freeze(self, name: str) -> None:
        """Stop an instance for a while."""
        self.system.freeze(name)
        await asyncio.sleep(self.rng.uniform(0.2, 4.0))
        self.system.thaw(name)

    async def cut(self, _name: str) -> None:
        """Cut the failure domains off from each other for a while."""
        groups = [["a1", "a2"], ["b1", "b2"], ["c1"]]
        first = groups.pop(self.rng.randrange(3))
        await self.system.partition([first, [n for group in groups for n in group]])
        await asyncio.sleep(self.rng.uniform(0.5, 4.0))
        await self.system.partition([list(self.places)])

    async def restart(self, name: str) -> None:
        """Stop an instance gracefully and start it again."""
        self.system.terminate(name)
        await self.system.wait_ended(name)
        self.system.start_daemon(name)
        await self.system.wait_ready(name)

    async def engine(self, _name: str) -> None:
        """Kill an engine and start it again."""
        name = self.rng.choice(["engine-a", "engine-b"])
        await self.system.kill(name)
        self.system.start_endpoint(name)

    async def test_no_key_runs_twice_and_refusals_are_true(self):
        """Guards against doubled, lost or contradicting bookings under any order of failures."""
        work = [asyncio.ensure_future(self.caller(n)) for n in range(CALLERS)]
        work += [asyncio.ensure_future(self.model_caller()), asyncio.ensure_future(self.operator())]
        try:
            await self.disturb()
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
        for key, outcome in self.last.items():
            ran = f'{{"booking": "{key}"}}' in runs
            if key in self.answers:
                self.assertTrue(ran, f"{key} was answered and did not run")
            elif outcome == NOT_RUN:
                self.assertFalse(ran, f"{key} ran and its last refusal said that it did not")
        self.assertGreater(len(self.answers), 20)
        await self.settle()

    async def settle(self) -> None:
        """Check that the newest accepted table is in force everywhere at the end."""
        table = routes_table(self.version + 1, ACCOUNTS, self.routes())
        status, answer = await self.system.apply("a1", table)
        if status == 409:
            # The answer to the last accepted version was lost.
            table = routes_table(self.version + 2, ACCOUNTS, self.routes())
        answer = await self.system.apply_and_wait("a1", table)
        await self.system.wait_in_force(answer["revision"])


if __name__ == "__main__":
    unittest.main()
