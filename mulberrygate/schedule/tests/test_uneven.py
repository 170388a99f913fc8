"""Tests of pools whose engines differ in speed and place, and of requests of uncertain length.

The load is that for which the rules are designed: bursts beyond the capacity of the fast engines,
with answers of up to ten times the mean length that callers estimate badly; and regions whose
traffic rises and falls against each other.
"""

from __future__ import annotations

import math
import statistics
import unittest
from unittest import mock

import attrs

from mulberrygate.core.invariant import InvariantError, invariant
from mulberrygate.schedule import choose, selection
from mulberrygate.schedule.codes import LOWER_TIER_ADMITTED
from mulberrygate.schedule.endpoint import LOCAL, OTHER_DOMAIN, OTHER_REGION
from mulberrygate.schedule.near import distance, distance_cost_s
from mulberrygate.schedule.tests.support import make_ticket, make_view
from mulberrygate.schedule.tests.test_slowdown import SharedMachines

SLOW_FACTOR = 4.5
# Standard deviations of the logarithms of lengths, and of estimates over lengths.
LENGTH_SPREAD = 1.5
ESTIMATE_SPREAD = 0.5
REGIONS = ("r0", "r1", "r2")


@attrs.frozen
class Kind:
    """Kind of request: tier, share of the requests, median length, and time limits in seconds."""

    tier: int
    share: float
    median_tokens: int
    max_tokens: int
    first_by_s: float
    deadline_s: float


KINDS = (
    Kind(0, 0.3, 110, 3600, 1.0, 12.0),
    Kind(1, 0.25, 80, 2700, 1.0, 12.0),
    Kind(2, 0.45, 15, 220, 2.0, 3.0),
)


class UncertainLengths(SharedMachines):
    """A third of the engines is slow, and callers estimate the lengths of answers badly."""

    def __init__(self, engines=12, seed=1):
        factors = [SLOW_FACTOR if number % 3 == 0 else 1.0 for number in range(engines)]
        self.kinds = {}
        self.in_time = set()
        super().__init__(factors, slots=6, tells=False, is_noisy=False, seed=seed)

    def ask_one(self, name, _output):
        kind = self.rng.choices(KINDS, [kind.share for kind in KINDS])[0]
        self.kinds[name] = kind
        length = self.rng.lognormvariate(math.log(kind.median_tokens), LENGTH_SPREAD)
        self.outputs[name] = max(1, min(kind.max_tokens, int(length)))
        estimate = max(1, int(self.outputs[name] * self.rng.lognormvariate(0.0, ESTIMATE_SPREAD)))
        self.ask(
            name,
            tier=kind.tier,
            account=f"a{self.rng.randrange(8)}",
            route=f"route{kind.tier}",
            prompt=1000,
            tokens=estimate,
            deadline=kind.deadline_s,
            first_by_s=kind.first_by_s,
            start_by_s=0.4 * kind.deadline_s,
        )

    def leaves_at(self, name):
        return self.asked_at[name] + self.kinds[name].deadline_s

    def end(self, argument):
        name = argument[0]
        if self.now < self.leaves_at(name):
            self.in_time.add(name)
        super().end(argument)

    def served_share(self):
        """Return the share of the requests that ended in time."""
        return len(self.in_time) / len(self.asked_at)


class TestUncertainLengths(unittest.TestCase):
    """What callers get when fast engines don't suffice."""

    def play(self, seed):
        pool = UncertainLengths(seed=seed)
        pool.simulate(15.0, rate=170.0)
        return pool

    def test_long_requests_leave_slow_engines_to_short_ones(self):
        """Long requests held slots of slow engines for seconds while short ones waited."""
        seeds = range(1, 4)
        served = statistics.mean(self.play(seed).served_share() for seed in seeds)
        margin = choose.SLOW_RUN_MARGIN
        for module in (choose, selection):
            module.SLOW_RUN_MARGIN = choose.PREDICTION_TOLERANCE
            self.addCleanup(setattr, module, "SLOW_RUN_MARGIN", margin)
        served_without = statistics.mean(self.play(seed).served_share() for seed in seeds)
        self.assertGreater(served, 1.01 * served_without)

    def test_margin_returns_after_a_violated_invariant(self):
        """Guards against a margin that is lost for good when the second pass raises."""
        scheduler = UncertainLengths().scheduler
        chooser = scheduler.chooser

        def dispatch(now):
            chooser.was_margin_missed = True
            invariant(chooser.slow_run_margin == choose.SLOW_RUN_MARGIN, LOWER_TIER_ADMITTED)
            return []

        with mock.patch.object(scheduler, "_dispatch_once", dispatch):
            self.assertRaises(InvariantError, scheduler.ask, make_ticket("r"), 0.0)
        self.assertEqual(chooser.slow_run_margin, choose.SLOW_RUN_MARGIN)


class Regions(SharedMachines):
    """Engines of equal speed in three regions whose traffic rises and falls against each other.

    Parameters
    ==========
    tells_place : bool
        Whether tickets state the place of their entry.
    shares : tuple[float, ...]
        Shares of the regions in the traffic.
    """

    def __init__(self, tells_place, shares=(1.0, 1.0, 1.0), seed=1):
        super().__init__([1.0] * 12, slots=4, tells=False, is_noisy=False, seed=seed)
        self.tells_place = tells_place
        self.shares = shares
        self.regions = {}
        self.engines = [
            attrs.evolve(view, region=REGIONS[number % 3], failure_domain=f"d{number % 6}")
            for number, view in enumerate(self.engines)
        ]
        self.scheduler.failure_domain, self.scheduler.region = "d0", "r0"
        self.call("set_endpoints", [])
        self.call("set_endpoints", self.engines)

    def ask_one(self, name, output):
        number = self.rng.choices(range(3), self.shares)[0]
        self.regions[name] = REGIONS[number]
        place = {"failure_domain": f"d{number}", "region": REGIONS[number]}
        place = place if self.tells_place else {}
        self.ask(name, prompt=1000, tokens=output, deadline=30.0, **place)
        self.outputs[name] = output

    def own_region_share(self):
        """Return the share of the requests that ran in the region of their entry."""
        views = {view.endpoint: view for view in self.engines}
        own = [views[self.endpoint_of(name)].region == at for name, at in self.regions.items()]
        return statistics.mean(own)

    def mean_total_s(self):
        """Return the mean time to the end of a request."""
        return statistics.mean(self.total_s.values())


class TestRegions(unittest.TestCase):
    """Where requests go when several regions have free engines."""

    def test_requests_stay_in_their_region_while_it_is_as_good(self):
        """Two thirds of the prompts crossed regions though engines nearby were as fast."""
        near, anywhere = Regions(tells_place=True), Regions(tells_place=False)
        for pool in (near, anywhere):
            pool.simulate(20.0, rate=50.0)
        self.assertGreater(near.own_region_share(), 0.6)
        self.assertLess(anywhere.own_region_share(), 0.45)
        self.assertLess(near.mean_total_s(), 1.03 * anywhere.mean_total_s())

    def test_busy_region_uses_the_others(self):
        """Guards against callers who wait for their own region while others are idle."""
        near = Regions(tells_place=True, shares=(6.0, 1.0, 1.0))
        anywhere = Regions(tells_place=False, shares=(6.0, 1.0, 1.0))
        for pool in (near, anywhere):
            pool.simulate(20.0, rate=70.0)
            self.assertFalse(pool.refused)
        self.assertLess(near.mean_first_s(), 1.1 * anywhere.mean_first_s())

    def test_distance_is_that_from_the_entry(self):
        """Guards against preferring the region of the owner to that of the entry."""
        ticket = make_ticket("r", failure_domain="d1", region="r1")
        places = (("d1", "r1", LOCAL), ("d2", "r1", OTHER_DOMAIN), ("d3", "r2", OTHER_REGION))
        costs = []
        for domain, region, expected in places:
            view = make_view(domain=domain, region=region)
            self.assertEqual(distance(ticket, view), expected)
            costs.append(distance_cost_s(ticket, view, 2.0))
        self.assertEqual(costs, sorted(costs))
        self.assertLess(costs[-1], 0.2 * 2.0)
        self.assertTrue(math.isfinite(costs[-1]))


if __name__ == "__main__":
    unittest.main()
