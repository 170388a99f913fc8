"""Integration tests of calls that crash endpoints, through control processes and entries."""

from __future__ import annotations

import unittest

from mulberrygate.daemon.tests.site_support import CONTROLS, OTHER_ENTRY, SiteTestCase
from mulberrygate.forward.tests.support import crash


class TestSiteQuarantine(SiteTestCase):
    """Calls that crash the endpoints that run them, and innocent ones."""

    async def test_crashing_call_is_refused_after_a_restart_of_all_control_processes(self):
        """Guards against a quarantine that is lost when all control processes restart.

        New entries would then send calls again that crash endpoints.
        """
        await self.deployment.put_document(1)
        suspects = self.deployment.entry_node.suspects
        for number in range(1, 4):
            endpoint = await self.start_endpoint(answer=crash(), name=f"e{number}")
            await self.send_until_received(endpoint)
        await self.deployment.until(lambda: suspects.quarantined)
        for name in CONTROLS:
            await self.deployment.crash(name)
        for name in CONTROLS:
            await self.deployment.start_control(name, is_first=False)
        other = await self.deployment.start_entry(OTHER_ENTRY)
        await self.deployment.until(lambda: other.suspects.quarantined)
        sound = await self.start_endpoint(name="e4")
        await self.deployment.until(lambda: "e4" in other.roster.rows)
        self.assertEqual((await self.deployment.send_request("/plain/1", OTHER_ENTRY))[0], 503)
        self.assertEqual(sound.requests, [])


if __name__ == "__main__":
    unittest.main()
