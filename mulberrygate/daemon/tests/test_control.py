"""Process tests of configuration and control under failures."""

import asyncio
import os
import shutil
import unittest

import aiohttp

from mulberrygate.daemon.tests.base import ACCOUNTS, SystemTest
from mulberrygate.standin.local import pools_table, routes_table, wait_for

CONFLICT = 4020
OLD_VERSION = 4021


class TablesTest(SystemTest):
    """Shared helpers of the tests of tables."""

    def add_endpoints(self):
        self.system.add_endpoint("service", "booking-a", "booking", "a")

    def table(self, version: int, deadline_s: float) -> dict:
        """Return a routes table whose content differs by a deadline."""
        routes = self.routes()
        routes["booking"] = {**routes["booking"], "deadline_s": deadline_s}
        return routes_table(version, ACCOUNTS, routes)

    async def state(self, name: str) -> dict:
        """Return the status that an instance reports of itself."""
        status = await self.system.json(name, "/admin/status")
        return status.get("instances", {}).get(name, {})

    async def leader(self, *names: str) -> str:
        """Wait for a leader among the voters and return it."""

        async def find() -> str:
            for name in names or self.voters:
                if (await self.state(name)).get("control") == "leader":
                    return name
            return ""

        return await wait_for(find, "a leader")

    async def versions(self, *names: str) -> set[float]:
        """Return the versions of the routes table in force on instances."""
        return {
            (await self.state(name))["tables"]["routes"]["version"]
            for name in names or tuple(self.instances)
        }


class ControlTest(TablesTest):
    """Tables under failures of the control group."""

    async def test_racing_operators_get_one_winner(self):
        """Guards against two contents of one version being accepted."""
        tables = [self.table(2, 10 + i) for i in range(8)]
        entries = list(self.instances) * 2
        answers = await asyncio.gather(
            *(self.system.apply(e, t) for e, t in zip(entries, tables, strict=True))
        )
        winners = [answer for status, answer in answers if status == 200]
        losers = {answer["code"] for status, answer in answers if status != 200}
        self.assertEqual(len(winners), 1)
        self.assertEqual(losers, {CONFLICT})
        await self.system.wait_in_force(winners[0]["revision"])
        self.assertEqual(await self.versions(), {2})

    async def test_resent_version_reverts_nothing(self):
        """Guards against a late copy of an old change that takes effect again."""
        first = await self.system.apply_and_wait("a1", self.table(2, 11))
        await self.system.apply_and_wait("a2", self.table(3, 12))
        status, again = await self.system.apply("b1", self.table(2, 11))
        self.assertEqual((status, again["revision"]), (200, first["revision"]))
        status, other = await self.system.apply("b2", self.table(2, 99))
        self.assertEqual((status, other["code"]), (409, OLD_VERSION))
        self.assertEqual(await self.versions(), {3})

    async def test_leader_killed_during_apply_loses_no_accepted_change(self):
        """Guards against an accepted change that is lost with its leader."""
        leader = await self.leader()
        entry = next(name for name in self.instances if name not in self.voters)
        version, accepted = 1, 1
        killer = asyncio.ensure_future(self.kill_later(leader))
        for _ in range(200):
            version += 1
            try:
                status, answer = await self.system.apply(entry, self.table(version, version))
            except aiohttp.ClientError:
                status, answer = 0, {}
            if status == 200:
                accepted = version
                if killer.done() and accepted > 5:
                    break
            else:
                # The change may be in force; it is sent again with the same content.
                self.assertIn(answer.get("code"), (5001, 5002, 5003, None), answer)
                version -= 1
                await asyncio.sleep(0.1)
        await killer
        answer = await self.system.apply_and_wait(entry, self.table(accepted + 1, 500))
        live = [name for name in self.instances if name != leader]
        self.assertEqual(await self.versions(*live), {accepted + 1})
        self.system.start_daemon(leader)
        await self.system.wait_ready(leader)
        await self.system.wait_in_force(answer["revision"], leader)

    async def kill_later(self, name: str) -> None:
        """Kill an instance while changes are under way."""
        await asyncio.sleep(0.4)
        await self.system.kill(name)

    async def test_frozen_leader_accepts_nothing_when_it_wakes(self):
        """Guards against a stale leader that accepts a change or returns an old table."""
        leader = await self.leader()
        rest = [name for name in self.voters if name != leader]
        self.system.freeze(leader)
        await self.leader(*rest)
        live = [name for name in self.instances if name != leader]
        answer = await self.system.apply_and_wait(rest[0], self.table(2, 12), *live)
        self.system.thaw(leader)
        status, late = await self.system.apply(leader, self.table(2, 99))
        self.assertEqual((status, late.get("code")), (409, CONFLICT))
        await self.system.wait_in_force(answer["revision"], leader)
        status, text, _ = await self.system.call(leader, "GET", "/admin/tables/routes")
        self.assertIn(b'"version": 2', text)

    async def test_restart_after_many_changes_is_current_before_it_is_ready(self):
        """Guards against a restarted entry that serves with an old table."""
        await self.system.kill("b2")
        for version in range(2, 502):
            status, answer = await self.system.apply("a1", self.table(version, version))
            self.assertEqual(status, 200, answer)
        self.system.start_daemon("b2")

        async def first_ready_version() -> int:
            state = await self.state("b2")
            return state["tables"]["routes"]["version"] if state.get("ready") else 0

        self.assertEqual(await wait_for(first_ready_version, "b2 is ready"), 501)

    async def test_lost_disk_and_a_second_loss_after_the_repair(self):
        """Guards against accepted changes that are lost with two voters, one after the other."""
        leader = await self.leader()
        first, second = [name for name in self.voters if name != leader]
        await self.system.apply_and_wait("b2", self.table(2, 12))
        await self.system.kill(first)
        shutil.rmtree(os.path.join(self.folder.name, f"data-{first}"))
        self.system.start_daemon(first)

        async def is_repaired() -> bool:
            disk = (await self.state(first)).get("voter", {}).get("disk")
            voters = (await self.state(leader)).get("voter", {}).get("voters", {})
            return disk in voters and len(voters) == len(self.voters)

        await wait_for(is_repaired, "the emptied voter is a voter again")
        await self.system.kill(second)
        answer = await self.system.apply_and_wait("b2", self.table(3, 13))
        self.assertGreater(answer["revision"], 0)
        self.assertEqual(await self.versions("b2", first, leader), {3})

    async def test_route_may_not_name_a_missing_pool_in_either_order(self):
        """Guards against a table of pools that removes what a route in force needs."""
        status, answer = await self.system.apply("a1", pools_table(2, {"diagnosis": {}}))
        self.assertEqual((status, answer["code"]), (409, 4010))
        routes = {"extra": {"pool": "no-such-pool"}}
        status, answer = await self.system.apply("a1", routes_table(2, ACCOUNTS, routes))
        self.assertEqual((status, answer["code"]), (409, 4010))


# Time limit, with a wide margin, for moving shards that were placed before all instances lived.
PLACEMENT_TIMEOUT_S = 180.0


class PartitionTest(TablesTest):
    """A failure domain that is cut off and healed."""

    def add_endpoints(self):
        self.system.add_endpoint("service", "booking-a", "booking", "a")
        self.system.add_endpoint("service", "booking-b", "booking", "b")

    async def test_cut_off_domain_serves_its_own_keys_and_merges(self):
        """Guards against a cut-off domain that stops serving, or that keeps an old table."""
        await self.wait_shards_active()
        await self.system.partition([["a1", "a2"], ["b1", "b2"]])
        status, _ = await self.book("b1", "b/visit-1")
        self.assertEqual(status, 200)
        status, _ = await self.book("b2", "b/visit-1")
        self.assertEqual(status, 200)
        self.assertEqual(await self.bookings("booking-b"), self.bookings_before + 1)
        status, answer = await self.book("b1", "a/visit-2")
        self.assertEqual((status, answer.get("outcome")), (503, "not_run"), answer)
        await self.system.apply_and_wait("a1", self.table(2, 12), "a1", "a2")
        self.assertEqual(await self.versions("b1", "b2"), {1})

        async def reports_cut_off() -> bool:
            return (await self.state("b1"))["cut_off"] == "a"

        await wait_for(reports_cut_off, "the cut-off domain reports the missing one")
        await self.system.partition([list(self.instances)])

        async def is_merged() -> bool:
            return await self.versions() == {2}

        await wait_for(is_merged, "the cut-off domain has the new table")
        status, _ = await self.book("b1", "a/visit-2")
        self.assertEqual(status, 200)

    async def wait_shards_active(self) -> None:
        """Wait until the ledger shards of both domains serve and are on all instances."""

        async def are_placed() -> bool:
            first, _ = await self.book("b1", f"b/warm-{os.urandom(4).hex()}")
            second, _ = await self.book("a1", f"a/warm-{os.urandom(4).hex()}")
            self.consecutive_successes = (
                getattr(self, "consecutive_successes", 0) + 1
                if (first, second) == (200, 200)
                else 0
            )
            return self.consecutive_successes >= 5

        async def are_everywhere() -> bool:
            shards = (await self.state("b1"))["shards"]
            return not shards["preparing"] and set(shards["replicas"]) == set(self.instances)

        await wait_for(are_placed, "the shards of both domains serve")
        # Shards that were placed before all instances were alive are moved a minute later.
        await wait_for(are_everywhere, "all instances hold shards", PLACEMENT_TIMEOUT_S)
        self.bookings_before = await self.bookings("booking-b")


if __name__ == "__main__":
    unittest.main()
