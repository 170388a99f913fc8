"""Tests of the question where a request would go now, in a deployment on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import io
import json
import unittest

from mulberrygate.cli.command import OK, REFUSED
from mulberrygate.cli.main import main
from mulberrygate.daemon.tests.site_support import ENTRY, SiteTestCase
from mulberrygate.forward.suspects import Finding, Standing
from mulberrygate.forward.tests.support import document, stream


class TestPlacement(SiteTestCase):
    """Operators' questions to a control process about one entry."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        deployment = self.deployment
        fields = {
            **document(),
            "tenants": [
                {"name": "wool", "apiKeys": ["key-of-wool"], "ratePerS": 10, "burst": 20},
                {"name": "silk", "apiKeys": ["key-of-silk"]},
            ],
        }
        async with asyncio.timeout(60):
            while True:
                status, _ = await deployment.call_control("PUT", "/config", fields)
                if status == 200:
                    break
                await asyncio.sleep(0.05)
        self.plain = await self.start_endpoint(name="e1")
        self.model = await self.start_endpoint("care", stream(3), "e2")
        self.entry = deployment.entry_node
        await deployment.until(lambda: len(self.entry.roster.rows) == 2 and self.entry.is_ready)
        leader = deployment.nodes[await deployment.find_leader()].controller
        await deployment.until(lambda: leader.placement.in_force.pools and leader.roster.rows)

    async def ask(self, name=None, **query):
        """Return the status and the answer to a question."""
        query = {"host": "a.example", "account": "silk", **query}
        text = "&".join(f"{name}={value}" for name, value in query.items())
        return await self.deployment.call_control("GET", f"/placement?{text}", name=name)

    async def run_command(self, *arguments):
        """Return the exit code and the output of the operators' command."""
        control = f"{next(iter(self.deployment.nodes))}:{self.deployment.control_port}"
        words = ["explain-placement", "--control", control, "--host", "a.example", *arguments]
        output = io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
            code = await asyncio.to_thread(main, words)
        return code, output.getvalue()

    async def test_request_that_the_entry_places_itself(self):
        """Guards against an explanation that sends the request or spends units of its account."""
        status, found = await self.ask(path="/read/1", account="wool")
        self.assertEqual((status, found["entry"]), (200, ENTRY))
        self.assertEqual(found["route"]["name"], "read")
        self.assertEqual(found["account"]["limit"], {"rate": 10, "burst": 20})
        placement = found["placement"]
        self.assertEqual((placement["scheduler"], placement["endpoint"]), (ENTRY, "e1"))
        self.assertEqual(found["outcome"], "It would be granted e1 at once.")
        self.assertEqual(self.plain.requests, [])
        self.assertEqual(self.entry.limits.units.held, {})
        self.assertEqual(self.entry.placement.host.hosted, {})
        scheduler = self.entry.forwarder.scheduler
        self.assertEqual((scheduler.waiting, scheduler.running), ({}, {}))

    async def test_request_whose_owner_is_another_process(self):
        """Guards against an explanation from an entry that doesn't place the request."""
        leader = await self.deployment.find_leader()
        controller = self.deployment.nodes[leader].controller
        for name in self.deployment.nodes:
            status, found = await self.ask(
                name, path="/stream/1", prompt_tokens="500", output_tokens="80", entry=ENTRY
            )
            self.assertEqual(status, 200)
            placement = found["placement"]
            self.assertEqual((placement["scheduler"], placement["endpoint"]), (leader, "e2"))
            self.assertTrue(placement["is_owner"])
            self.assertEqual(placement["endpoints"][0]["slots"], 4)
        self.assertEqual(self.model.requests, [])
        self.assertEqual(controller.placement.host.hosted, {})

    async def test_refusals(self):
        """Guards against a choice for a request that would be refused before it."""
        for query, code in (
            ({"path": "/none/1"}, 1202),
            ({"path": "/read/1", "account": "linen"}, 1203),
            ({"path": "/read/1", "account": ""}, 1203),
        ):
            _, found = await self.ask(**query)
            self.assertEqual(found["code"], code)
            self.assertNotIn("placement", found)
        suspects = self.entry.suspects
        suspects.find = lambda call: Finding(Standing.QUARANTINED, ("part-1",))
        _, found = await self.ask(path="/read/1")
        self.assertEqual((found["code"], found["quarantine"]["identities"]), (1208, ["part-1"]))

    async def test_questions_that_cannot_be_answered(self):
        """Guards against a traceback, or the answer of another entry, for a wrong question."""
        self.assertEqual((await self.ask(path="read"))[0], 400)
        self.assertEqual((await self.ask(path="/read/1", timeout_s="x"))[0], 400)
        self.assertEqual((await self.ask(path="/read/1", entry="127.0.0.99"))[0], 404)

    async def test_callers_cannot_ask(self):
        """Guards against callers who learn of endpoints and accounts at the entry's own address."""
        status, body = await self.deployment.send_request(
            "/placement?host=a.example&path=/read/1", method="GET"
        )
        self.assertEqual(status, 404)
        self.assertNotIn(b"e1", body)

    async def test_command(self):
        """Guards against a command that fails on an answer or shows a key."""
        code, text = await self.run_command("--path", "/read/1", "--account", "wool")
        self.assertEqual(code, OK, text)
        self.assertIn("e1", text)
        self.assertIn("chosen", text)
        self.assertTrue(text.rstrip().endswith("It would be granted e1 at once."))
        self.assertNotIn("key-of-wool", text)
        code, text = await self.run_command(
            "--path", "/stream/1", "--account", "silk", "--tokens", "500,80", "--format", "json"
        )
        self.assertEqual((code, json.loads(text)["placement"]["endpoint"]), (OK, "e2"))
        code, text = await self.run_command("--path", "/read/1", "--entry", "127.0.0.99")
        self.assertEqual((code, text), (REFUSED, "no explanation: no such live entry\n"))

    async def test_owner_that_does_not_answer(self):
        """Guards against a question that fails while the owner of the pool is lost."""
        leader = await self.deployment.find_leader()
        await self.deployment.crash(leader)
        other = next(iter(self.deployment.nodes))
        status, found = await self.ask(other, path="/stream/1", entry=ENTRY)
        self.assertEqual(status, 200)
        self.assertTrue(found["outcome"])
        self.assertEqual(self.model.requests, [])


if __name__ == "__main__":
    unittest.main()
