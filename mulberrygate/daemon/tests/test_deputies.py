"""Integration tests of entries that serve callers while no control process answers."""

from __future__ import annotations

import unittest

from mulberrygate.daemon.tests.site_support import CONTROLS, ENTRY, OTHER_ENTRY, SiteTestCase
from mulberrygate.forward.tests.support import REQUEST_ID, document, stream
from mulberrygate.members.deputies import Deputies
from mulberrygate.quota.local import LEADERLESS_FRACTION
from mulberrygate.schedule.messages import pool_subject

THIRD_ENTRY = "127.0.0.23"
ENTRIES = (ENTRY, OTHER_ENTRY, THIRD_ENTRY)
KEY = {"Authorization": "Bearer key"}
RATE = 1000.0


class TestDeputies(SiteTestCase):
    """Three entries whose control processes are all lost."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.entries = [self.deployment.entry_node]
        self.entries += [await self.deployment.start_entry(name) for name in ENTRIES[1:]]
        account = {"name": "hule", "apiKeys": ["key"], "ratePerS": RATE, "burst": RATE}
        fields = {**document(), "tenants": [{**account, "unit": "requests"}]}
        status, _ = await self.deployment.call_control("PUT", "/config", fields)
        while status != 200:
            status, _ = await self.deployment.call_control("PUT", "/config", fields)
        await self.start_endpoint()
        await self.start_endpoint("care", stream(3), "e2")
        await self.deployment.until(self.is_informed)

    def is_informed(self):
        """Return whether the entries know the catalog, the endpoints and each other."""
        return all(
            entry.is_ready and len(entry.roster.rows) == 2 and len(entry.deputies.entries) == 3
            for entry in self.entries
        )

    async def lose_control(self):
        """Stop all control processes abruptly."""
        for name in CONTROLS:
            await self.deployment.crash(name)

    async def send_request(self, path, entry):
        """Send a request of the account to an entry and return the status."""
        headers = {**KEY, REQUEST_ID: f"{entry}{path}"}
        status, _ = await self.deployment.send_request(path, entry, **headers)
        return status

    async def test_entry_without_a_share_serves_accounts_within_their_limits(self):
        """Requests at entries without a share of the limit were refused once control was lost."""
        await self.lose_control()
        for name in ENTRIES:
            for path in ("/plain/1", "/stream/1"):
                self.assertEqual(await self.send_request(path, name), 200, f"{path} at {name}")

    async def test_one_deputy_orders_the_requests_of_all_entries(self):
        """Guards against entries that each order engine requests alone while control is lost."""
        await self.lose_control()
        subject = pool_subject("care")
        expected = Deputies(ENTRY)
        expected.set_entries(ENTRIES)
        for entry, name in zip(self.entries, ENTRIES, strict=True):
            self.assertEqual(await self.send_request("/stream/1", name), 200)
            answered = entry.lines.of("request.answered")[-1]
            self.assertEqual(answered["granted_by"], expected.for_pool(subject)[0])

    async def test_limit_binds_without_control(self):
        """Guards against an account that may send without a limit while control is lost."""
        await self.lose_control()
        deputy = next(e for e in self.entries if e.site.instance == e.deputies.for_limits()[0])
        spent = 0
        while (await deputy.limits.spend(self.account(deputy), 100.0)) is None:
            spent += 100
        self.assertLess(spent, LEADERLESS_FRACTION * 2 * RATE)

    def account(self, entry):
        """Return the account as the entry's catalog has it."""
        return entry.forwarder.index.accounts["hule"]


if __name__ == "__main__":
    unittest.main()
