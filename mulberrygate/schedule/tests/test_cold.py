"""Tests of the limit of cold endpoints, at virtual time."""

from __future__ import annotations

import unittest
from unittest import mock

import attrs

from mulberrygate.members.rendezvous import rank
from mulberrygate.schedule.cold import RAMP_S, SUSPECT_S, ColdLimit, most_cold_owners
from mulberrygate.schedule.messages import Present, Running
from mulberrygate.schedule.rate_limit import rate_part
from mulberrygate.schedule.tests.support import make_ticket, make_view
from mulberrygate.schedule.tests.test_wide import WideBench

RATE = 11.0
# The users' bound for any second.
ALLOWED = 1.5 * RATE + 5
# Margin for grants that are delayed on their way to the entries.
MARGIN = 0.75


def most_in_a_second(times):
    """Return the most of some times in any second."""
    return max((sum(at <= other < at + 1.0 for other in times) for at in times), default=0)


class ColdBench(WideBench):
    """A scheduler under a steady load that records the times of grants by endpoint."""

    def __init__(self, views):
        super().__init__(views)
        self.times = {view.endpoint: [] for view in views}
        self.tiers = {view.endpoint: [] for view in views}
        self.ends, self.number = {}, 0

    def run(self, seconds, asks_per_step, run_s=0.1, step_s=0.02, tiers=(2,), **ticket):
        """Ask at a steady rate, and report the end of each granted request."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now += step_s
            if round(self.now / step_s) % 5 == 0:
                self.call("tick")
            for name in [name for name, at in self.ends.items() if at <= self.now]:
                del self.ends[name]
                self.done(name, total_s=run_s, first_s=0.01)
            for _ in range(asks_per_step):
                self.number += 1
                tier = tiers[self.number % len(tiers)]
                self.ask(f"{tier}-{self.number}", tier=tier, deadline=1.0, **ticket)
            self.collect(run_s)

    def collect(self, run_s):
        """Record new grants."""
        for name, grant in self.grants.items():
            self.times.setdefault(grant.endpoint, []).append(self.now)
            self.tiers.setdefault(grant.endpoint, []).append(int(name.partition("-")[0]))
            self.ends[name] = self.now + run_s
        self.granted = getattr(self, "granted", {}) | self.grants
        self.grants = {}

    def endpoint_of(self, name):
        """Return the endpoint that a request was granted."""
        return (self.grants.get(name) or self.granted[name]).endpoint

    def done(self, name, **more):
        """Report the end of a request."""
        self.grants[name] = self.granted[name]
        super().done(name, **more)
        self.grants.pop(name)

    def report(self, *views):
        """Replace the endpoints."""
        self.call("set_endpoints", list(views))


def cold(name="e1", cold_s=3.0, **more):
    """Return an endpoint of a pool whose cold endpoints are limited."""
    more = {"slots": 7, "hardware": "", **more}
    return make_view(name, cold_s=cold_s, cold_rate=RATE, **more)


class TestColdLimit(unittest.TestCase):
    """The bucket alone."""

    def test_report_ends_a_suspicion(self):
        """Guards against an endpoint that stays limited although it has said that it is warm."""
        limit = ColdLimit()
        limit.report(0.0, RATE, reported_at=0.0, now=0.0)
        limit.suspect(10.0)
        limit.report(0.0, RATE, reported_at=9.0, now=11.0)
        self.assertEqual(limit.suspected_until, 10.0 + SUSPECT_S)
        self.assertTrue(limit.is_limited)
        limit.report(0.0, RATE, reported_at=11.5, now=11.6)
        self.assertEqual(limit.suspected_until, 11.6)
        self.assertLessEqual(limit.cold_until, 11.6)
        limit.refresh(11.6 + RAMP_S)
        self.assertFalse(limit.is_limited)

    def test_endpoint_that_is_warm_is_not_limited(self):
        """Guards against a limit of endpoints that are not cold, or of pools without one."""
        for rate, cold_s in ((RATE, 0.0), (0.0, 5.0)):
            limit = ColdLimit()
            limit.report(cold_s, rate, reported_at=0.0, now=1.0)
            limit.suspect(1.0) if not rate else None
            self.assertFalse(limit.is_limited)
            self.assertTrue(limit.has_token(1.0))

    def test_owners_fit_into_the_slack(self):
        """Guards against so many owners of a pool that a token of each exceeds the bound."""
        for rate in (0.1, 1.0, 3.0, 11.0, 50.0, 200.0):
            owners = most_cold_owners(rate)
            burst = max(owners, rate * 0.25)
            self.assertLessEqual(1.25 * rate + burst, 1.5 * rate + 5)

    def test_owners_of_an_endpoint_are_ranked_once(self):
        """Guards against an entry that ranks all others for each endpoint at each refresh.

        With 100 cold endpoints and 360 entries that took a quarter of a core.
        """
        owners = [f"owner-{number}" for number in range(40)]
        target = "mulberrygate.schedule.rate_limit.rank"
        with mock.patch(target, wraps=rank) as ranked:
            for _ in range(10):
                parts = [rate_part("ranked-once", RATE, name, list(owners), 3) for name in owners]
                self.assertAlmostEqual(sum(parts), 1.0)
        self.assertEqual(ranked.call_count, 1)


class TestColdEndpoints(unittest.TestCase):
    """Endpoints of wide pools that are cold or were until lately."""

    def test_cold_endpoint_gets_few_requests(self):
        """Guards against an idle endpoint that attracts every request while it is cold."""
        bench = ColdBench([cold(), make_view("warm", slots=7, cold_rate=RATE, hardware="")])
        bench.run(3.0, 3)
        self.assertLessEqual(most_in_a_second(bench.times["e1"]), MARGIN * ALLOWED)
        self.assertGreaterEqual(len(bench.times["e1"]), 0.9 * 3.0 * RATE - 2)
        self.assertGreater(len(bench.times["warm"]), 3 * 40)

    def test_rate_rises_after_the_cold_time(self):
        """Guards against a burst at the moment at which an endpoint is warm, or none ever."""
        bench = ColdBench([cold(cold_s=1.0)])
        bench.run(1.0, 3)
        view = cold(cold_s=0.0)
        bench.report(view)
        bench.run(0.5, 3)
        self.assertLessEqual(most_in_a_second(bench.times["e1"]), ALLOWED)
        bench.run(RAMP_S, 3)
        before = len(bench.times["e1"])
        bench.run(1.0, 3)
        self.assertGreater(len(bench.times["e1"]) - before, 2 * ALLOWED)

    def test_endpoint_becomes_cold_again(self):
        """Guards against an endpoint that is limited only after its start."""
        bench = ColdBench([cold(cold_s=0.0)])
        bench.run(1.0, 3)
        self.assertGreater(len(bench.times["e1"]), ALLOWED)
        bench.times["e1"].clear()
        bench.report(cold())
        bench.run(2.0, 3)
        self.assertLessEqual(most_in_a_second(bench.times["e1"]), MARGIN * ALLOWED)

    def test_new_incarnation_begins_without_a_burst(self):
        """Guards against a bucket of the incarnation before that adds to the one of the new."""
        bench = ColdBench([cold()])
        bench.run(1.0, 3)
        bench.report(cold(incarnation=2))
        bench.run(1.0, 3)
        self.assertLessEqual(most_in_a_second(bench.times["e1"]), MARGIN * ALLOWED)

    def test_endpoint_that_answers_again_may_be_cold(self):
        """Guards against full load on an endpoint that has started again before its report."""
        bench = ColdBench([cold(cold_s=0.0)])
        for number in range(3):
            bench.ask(f"2-x{number}")
            bench.collect(99.0)
            bench.done(f"2-x{number}", fault="refused")
            bench.ends.clear()
            bench.advance(1.1)
        bench.times["e1"].clear()
        bench.run(1.0, 1, run_s=0.04)
        bench.times["e1"].clear()
        bench.run(1.5, 3)
        self.assertLessEqual(most_in_a_second(bench.times["e1"]), MARGIN * ALLOWED)
        # Its next report says that it is warm.
        bench.report(attrs.evolve(cold(cold_s=0.0), report_age_s=0.0))
        bench.run(RAMP_S, 3)
        bench.times["e1"].clear()
        bench.run(1.0, 3)
        self.assertGreater(len(bench.times["e1"]), ALLOWED)

    def test_returned_grant_is_not_counted(self):
        """Guards against a bucket that is emptied by grants on which nothing was sent."""
        bench = ColdBench([cold(cold_s=60.0)])
        bench.advance(0.1)
        for number in range(40):
            name = f"r{number}"
            bench.ask(name)
            bench.advance(0.01)
            self.assertIn(name, bench.grants)
            bench.call("withdraw", name)

    def test_grant_from_before_the_cold_time_returns_no_token(self):
        """Guards against tokens for requests that took none."""
        bench = ColdBench([cold(cold_s=0.0)])
        for number in range(7):
            bench.ask(f"r{number}")
        bench.report(cold())
        for number in range(7):
            bench.call("withdraw", f"r{number}")
        bench.ask("next")
        self.assertNotIn("next", bench.grants)

    def test_grant_of_a_former_owner_returns_no_token(self):
        """Guards against tokens from this owner's bucket for requests that another one granted."""
        bench = ColdBench([cold(cold_s=60.0)])
        names = [f"r{number}" for number in range(7)]
        running = tuple(Running(make_ticket(name), "e1", "v1", 0) for name in names)
        bench.call("present", Present("care", (), running), "entry-1")
        for name in names:
            bench.call("withdraw", name)
        bench.call("tick")
        bench.ask("next")
        self.assertNotIn("next", bench.grants)

    def test_urgent_requests_get_the_few_places(self):
        """Guards against the few places of cold endpoints used up by short requests of low worth.

        The load: a failure domain returns cold while the others still have free slots for the less
        urgent tiers, of which there are far more requests.
        """
        warm = make_view("warm", slots=40, cold_rate=RATE, hardware="")
        # Both speeds are learned before, since an endpoint of unknown speed attracts little.
        bench = ColdBench([cold(cold_s=0.0), attrs.evolve(warm, slots=7)])
        bench.run(2.0, 3)
        bench.report(cold(cold_s=60.0), warm)
        bench.tiers["e1"].clear()
        bench.run(4.0, 3, tiers=(0, 5, 5, 5, 5, 5))
        tiers = bench.tiers["e1"]
        self.assertGreater(len(tiers), 20)
        self.assertGreater(tiers.count(0), 0.9 * len(tiers))
        # With the others full, they go to whoever waits.
        bench = ColdBench([cold(cold_s=60.0), attrs.evolve(warm, slots=1)])
        bench.run(4.0, 3, tiers=(5,))
        self.assertGreater(len(bench.tiers["e1"]), 30)


if __name__ == "__main__":
    unittest.main()
