"""Tests of what endpoints have said to entries, as schedulers apply it, at virtual time."""

from __future__ import annotations

import math
import random
import unittest

import attrs

from mulberrygate.schedule import PoolScheduler
from mulberrygate.schedule.messages import EndpointNotice
from mulberrygate.schedule.rate_limit import rate_part
from mulberrygate.schedule.tests.support import make_ticket, make_view
from mulberrygate.schedule.tests.test_wide import WideBench
from mulberrygate.tables.model import SERVICE, Pool

# Bound of the users on the requests to an endpoint that names a limit.
WINDOW_S = 4.0
OVERAGE = 1.5
SLACK = 5
STEP_S = 0.02


def limit(rate, endpoint="e1", age_s=0.0, incarnation=1):
    """Return the notice of an endpoint that names a limit, or none with an infinite one."""
    return EndpointNotice(endpoint, incarnation, rate=rate, rate_age_s=age_s)


def largest_window(times):
    """Return the most requests in any span of `WINDOW_S`."""
    return max((sum(at <= other < at + WINDOW_S for other in times) for at in times), default=0)


def allowed(rate):
    """Return the requests that an endpoint may get in `WINDOW_S`."""
    return OVERAGE * rate * WINDOW_S + SLACK


class TestRateLimits(unittest.TestCase):
    """Endpoints that name the requests a second that they take from all entries."""

    def run_load(self, bench, seconds, per_step, notices=(), run_s=0.2):
        """Ask at a steady rate and return the times of grants by endpoint."""
        grants, ends = {}, self.ends
        end = bench.now + seconds
        while bench.now < end:
            bench.now += STEP_S
            if round(bench.now / STEP_S) % 5 == 0:
                bench.call("tick")
            for name in [name for name, at in ends.items() if at <= bench.now]:
                del ends[name]
                bench.done(name, total_s=run_s, first_s=0.01, tokens=1, prompt=1)
            for number in range(per_step):
                bench.ask(f"r{bench.now:.2f}-{number}", tokens=1, deadline=2.0, notices=notices)
            for name in bench.grants.keys() - ends.keys() - self.seen:
                self.seen.add(name)
                ends[name] = bench.now + run_s
                grants.setdefault(bench.endpoint_of(name), []).append(bench.now)
        return grants

    def make_bench(self, names=("e1", "e2"), slots=15):
        """Return a scheduler of a wide pool."""
        self.seen, self.ends = set(), {}
        return WideBench([make_view(name, hardware="", slots=slots) for name in names])

    def test_endpoint_gets_no_more_than_it_names(self):
        """Guards against an endpoint in need that gets requests as if it had named no limit."""
        for rate in (0.0, 0.5, 3.1, 4.7, 20.0):
            with self.subTest(rate):
                times = self.run_load(self.make_bench(), 20.0, 2, (limit(rate),))
                self.assertLessEqual(largest_window(times["e1"]), allowed(rate))
                # Callers still get what the endpoint takes, and the rest goes elsewhere.
                self.assertGreaterEqual(len(times["e1"]), 0.9 * rate * 20.0 - 1)
                self.assertGreater(len(times["e2"]), 1000)

    def test_pool_of_which_all_endpoints_name_a_limit(self):
        """Guards against a limit that is given up when no endpoint without one is left."""
        notices = (limit(4.0), limit(8.0, "e2"))
        times = self.run_load(self.make_bench(), 20.0, 2, notices)
        for endpoint, rate in (("e1", 4.0), ("e2", 8.0)):
            self.assertLessEqual(largest_window(times[endpoint]), allowed(rate))
            self.assertGreaterEqual(len(times[endpoint]), 0.9 * rate * 20.0 - 1)

    def test_limit_ends_with_an_answer_without_one(self):
        """Guards against an endpoint that is spared for ever after it has recovered."""
        bench = self.make_bench(("e1",))
        self.run_load(bench, 2.0, 2, (limit(2.0),))
        times = self.run_load(bench, 4.0, 2, (limit(math.inf),))
        self.assertGreater(len(times["e1"]), allowed(2.0))

    def test_latest_answer_counts(self):
        """Guards against an old notice of one entry that replaces the newer one of another."""
        for first, second in ((2.0, math.inf), (math.inf, 2.0)):
            bench = self.make_bench(("e1",))
            bench.ask("a", notices=(limit(first),))
            bench.now += 1.0
            bench.ask("b", notices=(limit(second, age_s=5.0),))
            state = bench.scheduler.states["e1"]
            self.assertEqual(state.rate_limit.rate, first)
            bench.ask("c", notices=(limit(second, age_s=0.5),))
            self.assertEqual(state.rate_limit.rate, second)

    def test_later_incarnation_has_no_limit(self):
        """Guards against the limit of an endpoint that has started again since."""
        bench = self.make_bench(("e1",))
        bench.ask("a", notices=(limit(1.0),))
        bench.call("set_endpoints", [make_view("e1", incarnation=2, slots=15)])
        bench.ask("b", notices=(limit(1.0),))
        self.assertFalse(bench.scheduler.states["e1"].rate_limit.is_limited)

    def test_returned_grant_is_not_counted(self):
        """Guards against a limit that is used up by grants on which nothing was sent."""
        bench = self.make_bench(("e1",))
        for number in range(20):
            bench.ask(f"r{number}", notices=(limit(1.0),))
            bench.advance(1.1)
            self.assertIn(f"r{number}", bench.grants)
            bench.call("withdraw", f"r{number}")
            bench.ask(f"s{number}", notices=(limit(1.0),))
            self.assertIn(f"s{number}", bench.grants)
            bench.done(f"s{number}")

    def test_grant_tells_that_the_endpoint_is_limited(self):
        """Guards against an owner that is never told of the end of a limit.

        The entry that gets the answer without one may not have known of the limit.
        """
        bench = self.make_bench(("e1",))
        bench.ask("a", notices=(limit(1.0),))
        bench.advance(1.1)
        self.assertTrue(bench.grants["a"].is_rate_limited)

    def run_entries(self, entries, rate, asks_per_s, seconds=40.0):
        """Run as many schedulers as entries over one endpoint; return the times of grants."""
        names = [f"10.0.0.{number}" for number in range(entries)]
        view = make_view("e1", hardware="", slots=6)
        pool, rng, times = Pool(kind=SERVICE), random.Random(3), []
        schedulers = {}
        for name in names:
            scheduler = PoolScheduler("d1", "r1", pool, random.Random(name), is_wide=True)
            scheduler.find_rate_part = lambda endpoint, rate, name=name: rate_part(
                endpoint, rate, name, names
            )
            scheduler.set_endpoints([view], 0.0)
            schedulers[name] = scheduler
        now, number = 0.0, 0
        while now < seconds:
            now += STEP_S
            # After a quiet time all entries may have a token left.
            load = asks_per_s if now > seconds / 2 else asks_per_s / 50
            name = rng.choice(names)
            scheduler = schedulers[name]
            effects = scheduler.tick(now)
            if rng.random() < load * STEP_S:
                number += 1
                ticket = make_ticket(f"r{number}", tokens=1, deadline=1.0, notices=(limit(rate),))
                effects += scheduler.ask(ticket, now)
            for effect in effects:
                message = getattr(effect, "message", None)
                if hasattr(message, "endpoint"):
                    times.append(now)
                    scheduler.withdraw(message.request, now)
                    scheduler.states["e1"].rate_limit.take(now)
        return times

    def test_entries_that_all_schedule_a_pool_share_the_limit(self):
        """Guards against a limit that each entry of a fleet uses in full, or keeps in reserve."""
        for entries, rate in ((7, 4.3), (80, 4.3), (80, 0.5), (194, 20.0)):
            with self.subTest(entries=entries, rate=rate):
                times = self.run_entries(entries, rate, 49.0)
                self.assertLessEqual(largest_window(times), allowed(rate))
                self.assertGreater(len(times), 0)

    def test_owner_that_knows_only_the_number_of_owners(self):
        """Guards against an entry of a fleet of two releases that may never use an endpoint."""
        numbers = [str(number) for number in range(80)]
        self.assertEqual(rate_part("e1", 4.0, "10.0.0.1", numbers), 1 / 80)


class TestLeavingAndPausedEndpoints(unittest.TestCase):
    """Endpoints that an entry may not use, and the others that may."""

    def test_entry_gets_another_endpoint(self):
        """Guards against a grant that the entry may not use, though another endpoint is free."""
        for said in ({"is_leaving": True}, {"pause_s": 9.0}):
            bench = WideBench([make_view("e1", slots=9), make_view("e2", slots=9)])
            for number in range(9):
                bench.ask(f"r{number}", notices=(EndpointNotice("e1", 1, **said),))
            self.assertEqual({bench.endpoint_of(name) for name in bench.grants}, {"e2"})

    def test_request_waits_until_the_pause_is_over(self):
        """Guards against a request that is granted during a pause, or never after it."""
        bench = WideBench([make_view("e1")])
        bench.ask("a", notices=(EndpointNotice("e1", 1, pause_s=1.0),))
        bench.advance(0.5)
        self.assertEqual(bench.grants, {})
        bench.ask("b", entry="entry-2")
        self.assertEqual(set(bench.grants), {"b"})
        bench.done("b")
        bench.advance(0.6)
        self.assertEqual(set(bench.grants), {"a", "b"})

    def test_others_leave_it_alone_until_its_next_report(self):
        """Guards against a sound endpoint lost for good by a mistaken notice of one entry."""
        view = make_view("e1", slots=9)
        bench = WideBench([view])
        bench.now = 10.0
        bench.call("set_endpoints", [attrs.evolve(view, report_age_s=1.0)])
        bench.ask("a", notices=(EndpointNotice("e1", 1, is_leaving=True, age_s=0.5),))
        bench.ask("b")
        self.assertEqual(bench.grants, {})
        bench.call("set_endpoints", [attrs.evolve(view, report_age_s=0.2)])
        self.assertEqual(set(bench.grants), {"b"})


if __name__ == "__main__":
    unittest.main()
