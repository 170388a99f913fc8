"""Simulated fleet of 200 entries that orders engine requests while no leader answers."""

from __future__ import annotations

import heapq
import itertools
import random
import unittest
from types import SimpleNamespace
from unittest import mock

import attrs

from mulberrygate.daemon.pool_host import TICK_S, PoolHost
from mulberrygate.members.deputies import Deputies
from mulberrygate.schedule.messages import Ask, Done, Grant, Ticket, pool_subject
from mulberrygate.schedule.tests.support import make_view
from mulberrygate.tables.model import MODEL, Pool

ENTRIES = tuple(f"10.{number // 50}.0.{number % 50}" for number in range(200))
ENGINES, SLOTS = 50, 7
# A third of the engines takes this many times as long.
SLOW_FACTOR = 4.5
FIRST_S, TOKEN_S = 0.05, 0.004
FIRST_BY_S, START_BY_S = 0.6, 2.0
TOKENS = (25, 120, 380)
# Requests of all entries in a second: about three fifths of what the engines can take.
RATE = 320.0
SECONDS = 3.0
# The users' target for large fleets is that 0.78 of what is asked for is served.
TARGET = 0.78


@attrs.define
class Engine:
    """Engine that runs as many requests as it has slots, in order of arrival."""

    factor: float
    free_at: list[float] = attrs.field(factory=lambda: [0.0] * SLOTS)

    def start(self, now):
        """Return when a request that arrives now begins."""
        return max(now, heapq.heappop(self.free_at))


class Fleet:
    """Entries that ask a deputy, or schedule alone.

    Parameters
    ==========
    has_deputies : bool
        Whether entries ask deputies; otherwise each asks itself.
    """

    def __init__(self, seed, has_deputies):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.number = itertools.count()
        self.events = []
        self.engines = {f"e{n}": Engine(SLOW_FACTOR if n % 3 == 0 else 1.0) for n in range(ENGINES)}
        self.views = [make_view(name, hardware="", slots=SLOTS) for name in self.engines]
        self.asked_of = {}
        for name in ENTRIES:
            deputies = Deputies(name)
            deputies.set_entries(ENTRIES)
            first = deputies.for_pool(pool_subject("care"))[0]
            self.asked_of[name] = first if has_deputies else name
        self.hosts = {name: self.make_host(name) for name in sorted(set(self.asked_of.values()))}
        # Time and tokens of each request.
        self.asked_at: dict[str, tuple[float, int]] = {}
        self.asked = self.on_time = 0

    def make_host(self, instance):
        """Return the pool host of an entry, which never owns the pool."""
        view = mock.Mock(owner=lambda *_: "", in_domain=lambda _: list(ENTRIES))
        peers = SimpleNamespace(
            on=lambda *_: None, send=lambda _to, message: self.receive(instance, message)
        )
        timers = SimpleNamespace(
            now=lambda: self.now,
            every=lambda *_: None,
            after=lambda seconds, call, _name: self.at(self.now + seconds, call),
        )
        return PoolHost(
            SimpleNamespace(instance=instance, failure_domain="a", region="west"),
            peers,
            lambda: view,
            mock.Mock(views=lambda pool, now: self.views),
            SimpleNamespace(pools={"care": Pool(kind=MODEL, engine_queue=1)}),
            timers,
            mock.Mock(),
            mock.Mock(),
            self.rng,
            is_wide=True,
        )

    def at(self, when, call):
        """Call a function at a time."""
        heapq.heappush(self.events, (when, next(self.number), call))

    def run(self):
        """Simulate until all requests have ended or were given up."""
        self.at(0.0, self.ask)
        self.at(0.0, self.tick)
        while self.events:
            self.now, _, call = heapq.heappop(self.events)
            call()

    def tick(self):
        """Run the periodic work of all hosts."""
        for host in self.hosts.values():
            host.tick()
        if self.now < SECONDS + START_BY_S:
            self.at(self.now + TICK_S, self.tick)

    def ask(self):
        """Let a random entry ask for a grant, and plan the next request."""
        entry = self.rng.choice(ENTRIES)
        tokens = self.rng.choice(TOKENS)
        ticket = Ticket(
            f"r{self.asked}", entry, "care", "route", "account", 1.0, 0, 10, tokens, (), 12.0,
            first_by_s=FIRST_BY_S, start_by_s=START_BY_S,
        )  # fmt: skip
        self.asked += 1
        self.asked_at[ticket.request] = (self.now, tokens)
        self.hosts[self.asked_of[entry]].on_ask(Ask(ticket), entry)
        if self.now < SECONDS:
            self.at(self.now + self.rng.expovariate(RATE), self.ask)

    def receive(self, host, message):
        """Send a granted request to its engine."""
        if not isinstance(message, Grant):
            return
        asked_at, tokens = self.asked_at[message.request]
        engine = self.engines[message.endpoint]
        granted_at, start = self.now, engine.start(self.now)
        first_at = start + FIRST_S * engine.factor
        end = first_at + tokens * TOKEN_S * engine.factor
        heapq.heappush(engine.free_at, end)
        self.on_time += first_at <= asked_at + FIRST_BY_S
        done = Done(
            "care", message.request, message.endpoint, message.version, "route", 10, tokens,
            first_at - granted_at, end - granted_at,
        )  # fmt: skip
        self.at(end, lambda: self.hosts[host].on_done(done, host))


class TestFleet(unittest.TestCase):
    """Grants of a fleet without a leader."""

    def on_time_share(self, has_deputies):
        """Return the share of requests whose first token was on time."""
        fleet = Fleet(1, has_deputies)
        fleet.run()
        return fleet.on_time / fleet.asked

    def test_requests_are_on_time_without_a_leader(self):
        """Requests waited for the one or two slots of their entry beside free engines."""
        self.assertGreater(self.on_time_share(has_deputies=True), TARGET)
        self.assertLess(self.on_time_share(has_deputies=False), TARGET)


if __name__ == "__main__":
    unittest.main()
