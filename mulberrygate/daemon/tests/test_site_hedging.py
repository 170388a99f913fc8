"""Tests of hedged requests in a deployment on loopback, and of the setting that allows them."""

from __future__ import annotations

import asyncio
import contextlib
import io
import json
import os
import tempfile
import unittest
from unittest import mock

from mulberrygate.daemon import site
from mulberrygate.daemon.sockets import Listeners
from mulberrygate.daemon.tests.site_support import ENTRY, OTHER_ENTRY, SiteTestCase
from mulberrygate.forward.tests.support import REQUEST_ID, whole
from mulberrygate.platform.listen import FILE_VARIABLE as NODE_VARIABLE
from mulberrygate.settings.product import FILE_VARIABLE, HedgeSettings, ProductSettings

NODE = {
    "node": "entry-1",
    "ip": "127.0.0.1",
    "zone": "a",
    "region": "r",
    "zones": {"a": "r"},
    "listen": {"frontend": "127.0.0.1:1", "readiness": "127.0.0.1:2"},
    "internalPorts": [7600, 7615],
    "seeds": [],
}


class TestStart(unittest.TestCase):
    """Start of a process with product settings."""

    def start(self, text):
        """Return the exit code, the message and the product settings with which a process ran."""
        served = []

        async def serve(*arguments):
            served.append(arguments[-1])

        with tempfile.TemporaryDirectory() as folder:
            paths = {}
            for variable, content in ((NODE_VARIABLE, json.dumps(NODE)), (FILE_VARIABLE, text)):
                paths[variable] = os.path.join(folder, f"{variable}.json")
                with open(paths[variable], "w", encoding="utf-8") as file:
                    file.write(content)
            message = io.StringIO()
            with (
                mock.patch.dict(os.environ, paths),
                mock.patch.object(site, "serve", serve),
                mock.patch("mulberrygate.observe.jsonlines.JsonHandler.push_application"),
                contextlib.redirect_stderr(message),
            ):
                code = site.run(paths[NODE_VARIABLE], site.Signals(), 0.0, Listeners(()))
        return code, message.getvalue(), served

    def test_product_settings_reach_the_process(self):
        """Guards against a setting that is accepted and then ignored."""
        code, _, served = self.start("{hedging: {share: 0.02}}")
        self.assertEqual((code, served), (0, [ProductSettings(HedgeSettings(0.02))]))

    def test_wrong_settings_refuse_the_start(self):
        """Guards against a process that runs with other limits than its operators wrote."""
        code, message, served = self.start("{hedging: {share: 3}}")
        self.assertEqual((code, served), (site.EXIT_BAD_SETTINGS, []))
        self.assertIn("7102", message)
        self.assertIn("share must be a number from 0 to 0.2, not 3", message)


class TestHedgingDeployment(SiteTestCase):
    """A deployment with one entry that hedges and one that doesn't."""

    async def test_slow_endpoint(self):
        """Guards against a setting that has no effect, or that has one where it isn't set.

        The endpoint that gets the call `slow` first takes half a second for it.
        """
        # A busy machine stops the test's event loop for longer.
        limit = mock.patch("mulberrygate.forward.hedging.MAX_TIMER_DELAY_S", 9.0)
        limit.start()
        self.addCleanup(limit.stop)
        sends = []

        async def answer(endpoint, reader, writer, head):
            if b": slow" in head:
                sends.append(endpoint.name)
                await asyncio.sleep(0.5 if len(sends) == 1 else 0.0)
            await whole()(endpoint, reader, writer, head)

        deployment = self.deployment
        product = ProductSettings(HedgeSettings(0.2, 0.9, min_delay_s=0.02, min_samples=20))
        hedging_entry = await deployment.start_entry(OTHER_ENTRY, product)
        await deployment.put_document(1)
        for number in range(3):
            await self.start_endpoint(name=f"e{number}", answer=answer)
        entries = {ENTRY: deployment.entry_node, OTHER_ENTRY: hedging_entry}
        hedging = hedging_entry.forwarder.hedging
        # A busy machine may make any answer slow; only the call `slow` has a copy.
        hedging.allowance("booking").level = -1e6
        seconds = {}
        for entry, node in entries.items():
            await deployment.until(lambda node=node: len(node.roster.rows) == 3 and node.is_ready)
            for number in range(60):
                await deployment.send_request("/read/1", entry, **{REQUEST_ID: f"w{number}"})
            for state in node.placement.host.scheduler("booking").states.values():
                state.last_answer_at = node.timers.now()
            sends.clear()
            hedging.allowance("booking").level = 2.0 if node is hedging_entry else -1e6
            began = node.timers.now()
            sent = deployment.send_request("/read/1", entry, **{REQUEST_ID: "slow"})
            self.assertEqual(await sent, (200, b"done"))
            seconds[entry] = node.timers.now() - began
            # The metrics tell why a copy was denied.
            counted = node.forwarder.metrics.counters
            self.assertEqual(len(set(sends)), 2 if node is hedging_entry else 1, counted)
        self.assertIsNone(deployment.entry_node.forwarder.hedging)
        metrics = hedging_entry.forwarder.metrics
        self.assertEqual(metrics.value("hedges_total", result="won"), 1)
        self.assertEqual(len(hedging_entry.lines.of("request.hedged")), 1)
        hedging_entry._log_hedges()
        self.assertEqual(hedging_entry.lines.of("hedges.state")[-1]["counts"]["won"], 1)
        self.assertGreater(seconds[ENTRY], 0.45)
        self.assertLess(seconds[OTHER_ENTRY], 0.45)


if __name__ == "__main__":
    unittest.main()
