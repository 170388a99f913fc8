"""Tests of the limit of cold endpoints over all instances that grant them, at virtual time."""

from __future__ import annotations

import heapq
import random
import unittest
from types import SimpleNamespace
from unittest import mock

import attrs

from mulberrygate.daemon.pool_host import TICK_S, PoolHost
from mulberrygate.members.rendezvous import rank
from mulberrygate.schedule.messages import Ask, Done, Grant, Ticket
from mulberrygate.schedule.tests.support import make_view
from mulberrygate.schedule.tests.test_cold import ALLOWED, RATE, most_in_a_second
from mulberrygate.tables.model import MODEL, SERVICE, Pool

ENTRIES = [f"10.0.0.{number}" for number in range(12)]
# Enough that a token of each exceeds the bound.
MANY_ENTRIES = [f"10.0.0.{number}" for number in range(57)]
LEADERS = ["10.1.0.1", "10.1.0.2"]
ENDPOINTS = ["e1", "e2", "e3"]
STEP_S = 0.01
# Grants and requests are on their way for so long, at most.
DELAY_S = 0.1
RUN_S = 0.05
TICKET = Ticket("r", "e", "care", "route", "account", 1.0, 0, 10, 10, (), 1.0)


class Fleet:
    """Pool hosts of two control processes and all entries, over endpoints that stay cold.

    Attributes
    ==========
    owner : str
        Instance that takes itself for the owner of an engine pool; others know it.
    targets : dict[str, str]
        Instance that each entry asks for grants.
    arrivals : dict[str, list[float]]
        Times at which requests arrive at each endpoint.
    """

    def __init__(self, seed, kind=MODEL, entries=ENTRIES):
        self.entries = entries
        self.rng = random.Random(seed)
        self.now = self.ticked_at = 0.0
        self.kind = kind
        self.owners = {LEADERS[0]}
        self.targets = dict.fromkeys(entries, LEADERS[0])
        self.arrivals = {name: [] for name in ENDPOINTS}
        self.ends = []
        self.number = 0
        self.views = [
            make_view(name, slots=7, hardware="", cold_s=60.0, cold_rate=RATE) for name in ENDPOINTS
        ]
        self.hosts = {name: self.make_host(name) for name in (*LEADERS, *entries)}

    def make_host(self, name):
        """Return the pool host of an instance."""
        is_service = self.kind == SERVICE
        view = SimpleNamespace(
            owner=lambda *_: name if is_service or name in self.owners else "",
            in_domain=lambda _domain: self.entries,
        )
        peers = mock.Mock()
        peers.send = lambda to, message: self.deliver(name, message)
        return PoolHost(
            SimpleNamespace(instance=name, failure_domain="a", region="r1"),
            peers,
            lambda: view,
            mock.Mock(views=lambda pool, now: [attrs.evolve(v) for v in self.views]),
            SimpleNamespace(pools={"care": Pool(kind=self.kind)}),
            mock.Mock(now=lambda: self.now),
            mock.Mock(),
            mock.Mock(),
            random.Random(name),
            is_wide=True,
            list_owners=lambda _pool: self.entries if is_service else [],
        )

    def deliver(self, granter, message):
        """Send the request of a grant, which arrives and ends some time later."""
        if isinstance(message, Grant):
            arrival = self.now + self.rng.uniform(0.0, DELAY_S)
            self.arrivals[message.endpoint].append(arrival)
            heapq.heappush(self.ends, (arrival + RUN_S, message.request, granter, message))

    def run(self, seconds, asks_per_s):
        """Let all entries ask at a steady rate in total."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            if self.now >= self.ticked_at + TICK_S:
                self.ticked_at = self.now
                for host in self.hosts.values():
                    host.move_monitor = None
                    host.tick()
            while self.ends and self.ends[0][0] <= self.now:
                _, request, granter, grant = heapq.heappop(self.ends)
                done = Done("care", request, grant.endpoint, "v1", "route", 10, 10, 0.01, RUN_S)
                self.hosts[granter].on_done(done, "")
            for _ in range(int(asks_per_s * STEP_S + self.rng.random())):
                self.number += 1
                entry = self.rng.choice(self.entries)
                ticket = attrs.evolve(TICKET, request=f"r{self.number}", entry=entry)
                self.hosts[self.targets[entry]].on_ask(Ask(ticket), entry)

    def turn_to(self, choose, seconds=0.5, asks_per_s=150.0, share=1.0):
        """Let a share of the entries turn to others, one after the other."""
        turning = [name for name in self.entries if self.rng.random() < share]
        self.rng.shuffle(turning)
        for name in turning:
            self.run(seconds / len(turning), asks_per_s)
            self.targets[name] = choose(name)


def deputy_of(_name):
    """Return the deputy that an entry asks."""
    return rank("deputy", ENTRIES)[0]


class TestColdFleet(unittest.TestCase):
    """Requests of all instances together to endpoints that are cold all the time."""

    def check(self, fleet, least=0, allowed=ALLOWED):
        """Check that no endpoint got too many requests in any second, and that some got any."""
        for name, times in fleet.arrivals.items():
            with self.subTest(endpoint=name):
                self.assertLessEqual(most_in_a_second(times), allowed)
        self.assertGreaterEqual(sum(map(len, fleet.arrivals.values())), least)

    def test_owner(self):
        """Guards against an owner that exceeds the limit, or leaves most of it unused."""
        fleet = Fleet(1)
        fleet.run(6.0, 150.0)
        self.check(fleet, least=0.7 * 6.0 * RATE * len(ENDPOINTS))

    def test_change_of_the_owner(self):
        """Guards against two owners that use the whole limit in the same second."""
        for seed in range(8):
            fleet = Fleet(seed)
            fleet.run(2.0 + fleet.rng.random(), 150.0)
            # The former owner doesn't know for a while that it is replaced.
            fleet.owners.add(LEADERS[1])
            fleet.turn_to(lambda _name: LEADERS[1], fleet.rng.uniform(0.1, 1.0))
            fleet.owners.discard(LEADERS[0])
            fleet.run(3.0, 150.0)
            self.check(fleet)

    def test_no_owner(self):
        """Guards against entries alone that each use a token of every endpoint."""
        fleet = Fleet(2, entries=MANY_ENTRIES)
        fleet.owners.clear()
        fleet.targets = {name: name for name in MANY_ENTRIES}
        # After a quiet time all of them may have a token left.
        fleet.run(3.0, 60.0)
        fleet.run(12.0, 1.0)
        fleet.run(2.0, 900.0)
        # An owner may serve other entries at the same time.
        self.check(fleet, least=10, allowed=ALLOWED / 2)

    def test_some_entries_are_cut_off(self):
        """Guards against the sum of the owner, a deputy and entries alone."""
        for seed, (share, choose) in enumerate(
            [(0.5, lambda n: n), (0.5, deputy_of), (0.9, lambda n: n), (0.9, deputy_of)]
        ):
            fleet = Fleet(seed)
            fleet.run(2.0, 200.0)
            fleet.turn_to(choose, 0.5, 200.0, share)
            fleet.run(3.0, 200.0)
            self.check(fleet)

    def test_random_losses(self):
        """Guards against some order of losses and returns of owners that exceeds the limit."""
        for seed in range(10):
            fleet = Fleet(seed)
            for phase in range(6):
                fleet.run(fleet.rng.uniform(0.2, 2.5), 150.0)
                leader = LEADERS[phase % 2]
                alone = fleet.rng.random() < 0.5
                if fleet.rng.random() < 0.5:
                    fleet.owners.clear()
                    fleet.turn_to(lambda n, own=alone: n if own else deputy_of(n))
                    continue
                former, fleet.owners = fleet.owners, {leader}
                fleet.owners |= former
                fleet.turn_to(lambda _name, new=leader: new, fleet.rng.uniform(0.05, 0.6))
                fleet.owners = {leader}
            self.check(fleet)

    def test_service_of_all_entries(self):
        """Guards against a plain service whose limit each entry uses in full."""
        fleet = Fleet(4, SERVICE, MANY_ENTRIES)
        fleet.targets = {name: name for name in MANY_ENTRIES}
        fleet.run(3.0, 60.0)
        fleet.run(12.0, 1.0)
        fleet.run(2.0, 900.0)
        self.check(fleet, least=20)


if __name__ == "__main__":
    unittest.main()
