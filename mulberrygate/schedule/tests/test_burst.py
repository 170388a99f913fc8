"""Simulated bursts on engines of different speed: the owner's work and the served shares."""

from __future__ import annotations

import heapq
import random
import unittest

from mulberrygate.schedule.tests.support import make_view
from mulberrygate.schedule.tests.test_wide import WideBench

# One owner is expected to schedule 2,500 requests a second in two years. A comparison of a request
# with an endpoint takes about a microsecond, and half of a core is available for them.
MAX_COMPARISONS_PER_REQUEST = 200
TICK_S = 0.1
# Users require every kind of request to be served at least a quarter as often as all requests.
MIN_RATIO_TO_ALL = 0.25


class Kind:
    """Kind of request: tier, prompt and mean output tokens, time limits and frequency."""

    def __init__(self, tier, prompt, output, first_by_s, start_by_s, frequency):
        self.tier = tier
        self.prompt = prompt
        self.output = output
        self.first_by_s = first_by_s
        self.start_by_s = start_by_s
        self.frequency = frequency


LONG = Kind(0, 6600, 380, 0.5, 1.7, 168)
SHORT = Kind(1, 630, 290, 0.25, 1.6, 125)
TAG = Kind(2, 1800, 20, 0.3, 1.6, 396)
KINDS = (LONG, SHORT, TAG)


class Burst(WideBench):
    """Simulated engines, a third of them slow, with requests beyond their capacity.

    Parameters
    ==========
    engines, slots : int
        Number of engines, and of slots of each.
    rate : float
        Requests a second.
    upper : float
        Share of the requests that come from accounts with the more urgent tiers.
    """

    SLOW_FACTOR = 4.5
    TOKEN_S = 0.003
    PREFILL_S = 1.0 / 157_000

    def __init__(self, engines, slots, rate, upper=0.2, seed=1):
        names = [f"e{number}" for number in range(engines)]
        self.factor = {
            name: self.SLOW_FACTOR if number % 3 == 0 else 1.0 for number, name in enumerate(names)
        }
        self.engines = [make_view(name, hardware="", slots=slots) for name in names]
        self.rate = rate
        self.upper = upper
        self.rng = random.Random(seed)
        self.kinds = {}
        self.ends = []
        self.started = set()
        super().__init__(self.engines, engine_queue=1)

    def simulate(self, seconds, watch=lambda: None):
        """Simulate requests for a time; ``watch`` is called ten times a second."""
        end = self.now + seconds
        arrival = self.now + self.rng.expovariate(self.rate)
        tick = self.now + TICK_S
        while self.now < end:
            self.now = min(arrival, tick, self.ends[0][0] if self.ends else end)
            if self.now == arrival:
                self._arrive()
                arrival += self.rng.expovariate(self.rate)
            elif self.now == tick:
                tick += TICK_S
                self.call("set_endpoints", self.engines)
                self.call("tick")
                watch()
            elif self.ends:
                self._end()
            self._start()

    def _arrive(self):
        kind = self.rng.choices(KINDS, [kind.frequency for kind in KINDS])[0]
        name = f"r{len(self.kinds)}"
        self.kinds[name] = kind
        self.ask(
            name,
            tier=kind.tier + 3 * (self.rng.random() >= self.upper),
            account=f"a{self.rng.randrange(16)}",
            route=f"route{kind.tier}",
            prompt=kind.prompt,
            tokens=max(1, int(self.rng.expovariate(1.0) * kind.output)),
            deadline=10.0,
            first_by_s=kind.first_by_s,
            start_by_s=kind.start_by_s,
        )

    def _start(self):
        for name in self.grants.keys() - self.started:
            self.started.add(name)
            factor = self.factor[self.endpoint_of(name)]
            first_s = 0.03 + 2 * self.kinds[name].prompt * self.PREFILL_S * factor
            output = self.scheduler.running[name].ticket.output_tokens
            total_s = first_s + output * self.TOKEN_S * factor
            heapq.heappush(self.ends, (self.now + total_s, name, first_s, total_s, output))

    def _end(self):
        _, name, first_s, total_s, output = heapq.heappop(self.ends)
        kind = self.kinds[name]
        route = f"route{kind.tier}"
        self.done(name, total_s, first_s, tokens=output, prompt=kind.prompt, route=route)


class TestBurst(unittest.TestCase):
    """One owner in a burst; 45 engines get half more requests than they can take."""

    def test_owner_work_for_a_request_is_bounded_in_a_burst(self):
        """The owner compared all waiting requests with all engines at each message, and stalled."""
        burst = Burst(engines=45, slots=8, rate=1100.0)
        burst.simulate(3.0)
        comparisons = burst.scheduler.chooser.comparison_count
        self.assertLess(comparisons / len(burst.kinds), MAX_COMPARISONS_PER_REQUEST)

    def test_slots_that_upper_tiers_leave_are_used_by_lower_ones(self):
        """More than 32 requests waiting for fast engines kept all others from slow ones."""
        burst = Burst(engines=45, slots=8, rate=1100.0)
        idle = []

        def watch():
            scheduler = burst.scheduler
            if burst.now > 1.5 and scheduler.queue.tiers[5].count > 10:
                idle.append(scheduler.capacity.free_slots[0])

        burst.simulate(4.0, watch)
        self.assertGreater(len(idle), 10)
        self.assertLess(sum(idle) / len(idle), 0.02 * 45 * 8)

    def test_least_urgent_kind_is_served_a_quarter_as_often_as_all(self):
        """Late requests of upper tiers took all slots, and the lowest kind was hardly served."""
        burst = Burst(engines=6, slots=15, rate=300.0, upper=0.0)
        burst.simulate(15.0)
        shares = {}
        for kind in (*KINDS, None):
            asked = [name for name, found in burst.kinds.items() if kind in (found, None)]
            shares[kind] = sum(name in burst.grants for name in asked) / len(asked)
        self.assertGreaterEqual(min(shares.values()), MIN_RATIO_TO_ALL * shares[None])


if __name__ == "__main__":
    unittest.main()
