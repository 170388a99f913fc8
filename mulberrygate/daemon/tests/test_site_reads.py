"""Integration tests of reads of the configuration while control processes are lost."""

from __future__ import annotations

import unittest

from mulberrygate.daemon.tests.site_support import CONTROLS, SiteTestCase


class TestReads(SiteTestCase):
    """Reads through any control process."""

    async def test_failed_read_is_logged_with_its_reason(self):
        """Guards against a read that fails without a line that tells why."""
        await self.deployment.put_document(1)
        await self.deployment.crash(CONTROLS[1])
        await self.deployment.crash(CONTROLS[2])
        status, _ = await self.deployment.call_control("GET", "/config", name=CONTROLS[0])
        self.assertEqual(status, 503)
        line = self.deployment.nodes[CONTROLS[0]].controller.lines.of("catalog.unread")[0]
        self.assertTrue(line["reason"])
        self.assertEqual(len(line["voters"]), 3)

    async def test_changed_seeds_reach_the_voter(self):
        """Guards against a voter that asks only the seeds of its start to be taken in."""
        node = self.deployment.nodes[CONTROLS[0]]
        node.set_seeds(("127.0.0.99",))
        self.assertIn("127.0.0.99", node.controller.log.service.node.contacts)


if __name__ == "__main__":
    unittest.main()
