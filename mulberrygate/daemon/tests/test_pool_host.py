"""Tests of the host of pool schedulers."""

import random
import unittest
from types import SimpleNamespace
from unittest import mock

import attrs

from mulberrygate.daemon.pool_host import ASKER_MEMORY_S, PoolHost
from mulberrygate.schedule.cold import NEW_OWNER_PART, NEW_OWNER_S
from mulberrygate.schedule.messages import Ask, NotHosted, Ticket
from mulberrygate.schedule.tests.support import make_view
from mulberrygate.tables.model import Move, Pool

TICKET = Ticket("r", "me", "pool", "route", "account", 1.0, 0, 10, 10, (), 60.0)


class PoolHostTest(unittest.TestCase):
    """Schedulers of the pools in force."""

    def setUp(self):
        view = mock.Mock(owner=lambda *_: "me", in_domain=lambda _: ["me"])
        self.in_force = SimpleNamespace(pools={"pool": Pool(version="v1")})
        self.host = PoolHost(
            SimpleNamespace(instance="me", failure_domain="a", region="west"),
            mock.Mock(),
            lambda: view,
            mock.Mock(views=lambda pool, now: []),
            self.in_force,
            mock.Mock(now=lambda: 1.0),
            mock.Mock(),
            mock.Mock(),
            random.Random(1),
        )

    def test_changed_pool_reaches_its_scheduler(self):
        """Guards against a scheduler that keeps the settings of its first request."""
        self.host.on_ask(Ask(TICKET), "me")
        changed = Pool(version="v2", move=Move("v1"), max_waiting=7, engine_queue=3)
        self.in_force.pools["pool"] = changed
        self.host.tick()
        self.assertEqual(self.host.scheduler("pool").pool, changed)

    def host_without_owner(self, number, entries, views):
        """Return the host of an entry that does not own the pool and schedules a request of it."""
        names = [str(name) for name in range(entries)]
        view = mock.Mock(owner=lambda *_: "", in_domain=lambda _: names)
        host = PoolHost(
            SimpleNamespace(instance=f"10.0.0.{number}", failure_domain="a", region="west"),
            mock.Mock(),
            lambda: view,
            mock.Mock(views=lambda pool, now: views),
            self.in_force,
            mock.Mock(now=lambda: 1.0),
            mock.Mock(),
            mock.Mock(),
            random.Random(1),
            is_wide=True,
        )
        host.on_ask(Ask(TICKET), "me")
        return host

    def test_entries_without_an_owner_take_no_more_slots_than_there_are(self):
        """Guards against overload without an owner.

        80 entries each used a slot of each engine, ten times the slots that there were.
        """
        views = [make_view(f"e{number}", slots=8) for number in range(45)]
        hosts = [self.host_without_owner(number, 80, views) for number in range(80)]
        taken = [self.count_slots(host) for host in hosts]
        self.assertLess(sum(taken), 1.2 * 45 * 8)
        self.assertGreater(sum(taken), 0.8 * 45 * 8)
        self.assertGreater(min(taken), 0)

    def test_each_region_keeps_an_endpoint_without_an_owner(self):
        """Guards against requests bound to a region of which an entry's share has no endpoint."""
        views = [make_view(f"e{n}", slots=2, region=f"r{n % 3}") for n in range(9)]
        for number in range(80):
            states = self.host_without_owner(number, 80, views).hosted["pool"].scheduler.states
            regions = {state.view.region for state in states.values() if state.accepts_work}
            self.assertEqual(regions, {"r0", "r1", "r2"})

    def test_deputy_uses_the_shares_of_the_entries_that_ask_it(self):
        """Guards against a deputy that takes the slots of entries which still ask the owner."""
        views = [make_view(f"e{number}", slots=8) for number in range(45)]
        host = self.host_without_owner(1, 80, views)
        for number in range(39):
            ticket = attrs.evolve(TICKET, request=f"r{number}")
            host.on_ask(Ask(ticket), f"10.0.0.{number}")
        host.tick()
        self.assertLess(abs(self.count_slots(host) / (0.5 * 45 * 8) - 1.0), 0.1)
        host.timers.now = lambda: 1.0 + ASKER_MEMORY_S + 0.1
        host.tick()
        self.assertLess(self.count_slots(host), 0.1 * 45 * 8)

    def count_slots(self, host):
        """Return the slots that a host uses."""
        return sum(state.slots for state in host.scheduler("pool").states.values())

    def test_deputy_uses_no_evacuated_endpoint(self):
        """Guards against a small share whose only slot is at an endpoint that accepts no work."""
        views = [make_view(f"e{number}", slots=1, accepts_work=number > 2) for number in range(5)]
        for number in range(80):
            states = self.host_without_owner(number, 80, views).scheduler("pool").states
            used = {name for name, state in states.items() if state.slots}
            self.assertTrue(used <= {"e3", "e4"})
            self.assertTrue(used)
        views = [attrs.evolve(view, accepts_work=False) for view in views]
        self.assertEqual(self.count_slots(self.host_without_owner(1, 80, views)), 0)

    def test_load_of_others_leaves_a_deputy_its_share(self):
        """Requests were refused as the slots that others used were taken off a small share."""
        views = [make_view("e", slots=8, load=6, load_age_s=0.0)]
        host = self.host_without_owner(1, 4, views)
        self.assertEqual(len(host.scheduler("pool").running), 1)

    def test_last_endpoint_of_a_region_is_shared_like_others(self):
        """Guards against a region's last endpoint that has no free slot for an entry without an
        owner, since others use it, and of which each entry may fill the whole memory.
        """
        views = [make_view("e", slots=8, load=6, load_age_s=0.0)]
        for number in range(80):
            host = self.host_without_owner(number, 80, views)
            state = host.scheduler("pool").states["e"]
            self.assertEqual(len(state.running), 1)
            self.assertEqual(state.view.kv_tokens, views[0].kv_tokens // 8)

    def test_unknown_pool_is_no_silent_wait(self):
        """Guards against requests that wait at an instance which has no catalog yet."""
        ticket = attrs.evolve(TICKET, pool="other")
        self.assertEqual(self.host.on_ask(Ask(ticket), "me"), NotHosted("other"))

    def test_former_owner_forgets_what_others_take_over(self):
        """Guards against a former owner that counts ended requests as running.

        An owner that lost and regained the pool counted hundreds of them.
        """
        views = [make_view("e", slots=8)]
        host = self.host_without_owner(1, 1, views)
        self.assertEqual(len(host.scheduler("pool").running), 1)
        owners = iter(["10.0.0.1", "other", "other"])
        owner = next(owners)
        host.view().owner = lambda *_: owner
        host.tick()
        self.assertEqual(len(host.scheduler("pool").running), 1)
        owner = next(owners)
        host.tick()
        self.assertEqual(len(host.scheduler("pool").running), 0)

    def test_owner_that_returns_is_a_new_owner(self):
        """Guards against the whole rate of a cold endpoint for an owner that was replaced before.

        Until the first tick after its return it counted as the owner of long ago.
        """
        host = self.host_without_owner(1, 1, [make_view("e", cold_s=60.0, cold_rate=11.0)])
        owner = "10.0.0.1"
        host.view().owner = lambda *_: owner
        host.list_owners = lambda _pool: []
        host.tick()
        host.timers.now = lambda: 1.0 + NEW_OWNER_S
        self.assertEqual(host._cold_part("pool", "e", 11.0), 1.0)
        owner = "other"
        host.tick()
        owner = "10.0.0.1"
        self.assertEqual(host._cold_part("pool", "e", 11.0), NEW_OWNER_PART)


if __name__ == "__main__":
    unittest.main()
