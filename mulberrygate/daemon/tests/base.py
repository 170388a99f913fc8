"""Shared set-up of tests that run several processes on loopback."""

from __future__ import annotations

import json
import tempfile
import unittest

import aiohttp

from mulberrygate.standin.local import LocalSystem, pools_table, routes_table, token_of

ACCOUNTS = {"field": "a", "salons": "b"}
INSTANCES = {"a1": ("west", "a"), "a2": ("west", "a"), "b1": ("west", "b"), "b2": ("west", "b")}
VOTERS = ("a1", "a2", "b1")


class SystemTest(unittest.IsolatedAsyncioTestCase):
    """Start daemons and endpoints before each test and end them after it."""

    # Region and failure domain of each instance.
    instances = INSTANCES
    voters = VOTERS
    # Settings of all daemons that differ from the usual ones.
    settings: dict[str, object] = {}

    def add_endpoints(self) -> None:
        """Add the endpoints; subclasses may add others."""
        self.system.add_endpoint("engine", "engine-a", "diagnosis", "a", decode_tokens_s=200)
        self.system.add_endpoint("service", "booking-a", "booking", "a")

    def pools(self) -> dict[str, dict]:
        """Return the pools in force at the start."""
        return {"diagnosis": {"version": "v1"}, "booking": {"kind": "service"}}

    def routes(self) -> dict[str, dict]:
        """Return the routes in force at the start."""
        return {
            "write-up": {"pool": "diagnosis", "tier": 0, "max_output_tokens": 4000},
            "lookup": {"pool": "diagnosis", "tier": 3, "max_output_tokens": 4000},
            "booking": {"pool": "booking", "tier": 0, "deadline_s": 30},
        }

    async def asyncSetUp(self):
        self.folder = tempfile.TemporaryDirectory(prefix="mulberrygate-test-")
        self.addCleanup(self.folder.cleanup)
        self.system = LocalSystem(self.folder.name)
        self.system.add_daemons(self.instances, self.voters, **self.settings)
        self.add_endpoints()
        self.addAsyncCleanup(self.system.close)
        await self.system.start()
        first = next(iter(self.instances))
        await self.system.apply_and_wait(first, pools_table(1, self.pools()))
        await self.system.apply_and_wait(first, routes_table(1, ACCOUNTS, self.routes()))
        await self.system.wait_ready()
        for name, (_, domain) in self.instances.items():
            local_endpoints = [
                e.name
                for e in self.system.endpoints.values()
                if e.options["failure_domain"] == domain
            ]
            if local_endpoints:
                await self.system.wait_endpoints(name, *local_endpoints)

    async def asyncTearDown(self):
        """Check that no invariant broke and no part failed in any process that still runs."""
        for name, daemon in self.system.daemons.items():
            if daemon.process is None or daemon.process.poll() is not None:
                continue
            _, text, _ = await self.system.call(name, "GET", "/metrics")
            broken = [
                line
                for line in text.decode().splitlines()
                if line.startswith(("mulberrygate_invariant", "mulberrygate_internal"))
            ]
            self.assertEqual(broken, [], name)
        for name, daemon in self.system.daemons.items():
            with open(daemon.log, encoding="utf-8") as file:
                errors = [line for line in file if " ERROR " in line or "Traceback" in line]
            self.assertEqual(errors, [], name)

    async def complete(
        self,
        entry: str,
        text: str = "hello",
        tokens: int = 20,
        key: str = "",
        route: str = "write-up",
        **headers: str,
    ) -> tuple[int, dict]:
        """Send a chat completion and return status and answer."""
        body = {
            "model": route,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": text}],
        }
        if key:
            headers["Idempotency-Key"] = key
        status, answer, _ = await self.system.call(
            entry, "POST", "/v1/chat/completions", token_of("field"), headers, body
        )
        return status, json.loads(answer)

    async def book(
        self, entry: str, key: str = "", path: str = "visits", body: dict | None = None
    ) -> tuple[int, dict]:
        """Send a booking and return status and answer; status 0 for a broken connection."""
        headers = {"Idempotency-Key": key} if key else {}
        try:
            status, answer, _ = await self.system.call(
                entry,
                "POST",
                f"/services/booking/{path}",
                token_of("field"),
                headers,
                body or {"salon": "Ngor"},
            )
        except (TimeoutError, aiohttp.ClientError):
            return 0, {}
        return status, json.loads(answer)

    async def bookings(self, endpoint: str = "booking-a") -> int:
        """Return how many bookings an endpoint ran."""
        return len((await self.system.json(endpoint, "/standin"))["bookings"])

    async def engine_state(self, name: str = "engine-a") -> dict:
        """Return the counters of an engine."""
        return await self.system.json(name, "/standin")

    async def set_behaviour(self, endpoint: str, **values) -> None:
        """Change the behaviour of a stand-in endpoint."""
        await self.system.call(endpoint, "POST", "/standin", body=values)

    async def has_stream(self, engine: str = "engine-a") -> bool:
        """Return whether an engine generates a stream."""
        return bool((await self.engine_state(engine)).get("streams"))
