"""Tests of requests that only the endpoints of some regions may get, at virtual time."""

from __future__ import annotations

import random
import unittest

from mulberrygate.schedule.codes import NO_HOME_ENDPOINT
from mulberrygate.schedule.scheduler import NO_HOME_WAIT_S
from mulberrygate.schedule.tests.support import make_view
from mulberrygate.schedule.tests.test_wide import WideBench


def make_views(names="abc", slots=1, **more):
    """Return endpoints, each in a region of its own name."""
    return [make_view(name, region=name, slots=slots, **more) for name in names]


class TestHomeRegions(unittest.TestCase):
    """Requests with home regions in wide pools."""

    def test_request_gets_an_endpoint_at_home(self):
        """Guards against a request that is sent to a region outside its homes."""
        bench = WideBench(make_views("abcdefghijklmnop"))
        for number, home in enumerate("pcb"):
            bench.ask(f"r{number}", home_regions=(home,))
            self.assertEqual(bench.endpoint_of(f"r{number}"), home)
        bench.ask("again", home_regions=("p",))
        self.assertNotIn("again", bench.grants)
        bench.done("r0")
        self.assertEqual(bench.endpoint_of("again"), "p")

    def test_failed_endpoint_is_used_again_if_it_is_the_only_one_at_home(self):
        """Guards against a retry that finds no endpoint, since the only others are elsewhere."""
        bench = WideBench(make_views())
        bench.ask("r", home_regions=("a",), avoid=("a",))
        self.assertEqual(bench.endpoint_of("r"), "a")

    def test_request_does_not_wait_for_a_fast_endpoint_elsewhere(self):
        """Guards against a request that waits for fast endpoints that it may not use."""
        views = [
            make_view("fast", region="f", hardware="x"),
            make_view("slow", region="s", hardware="y"),
        ]
        bench = WideBench(views)
        bench.learn_two_speeds()
        bench.ask("busy")
        self.assertEqual(bench.endpoint_of("busy"), "fast")
        bench.ask("waits", first_by_s=5.0)
        self.assertNotIn("waits", bench.grants)
        bench.ask("homed", first_by_s=5.0, home_regions=("s",))
        self.assertEqual(bench.endpoint_of("homed"), "slow")

    def test_lower_tier_uses_what_the_upper_one_may_not(self):
        """Guards against idle endpoints of other regions while an upper tier waits for its own.

        The shed of the upper request afterwards must not count as one before a lower tier.
        """
        bench = WideBench(make_views("ab"))
        bench.ask("first", tier=0, home_regions=("a",))
        bench.ask("upper", tier=0, home_regions=("a",), start_by_s=1.0, first_by_s=0.5)
        bench.ask("lower", tier=3)
        self.assertEqual(bench.endpoint_of("lower"), "b")
        bench.advance(1.5)
        self.assertIn("upper", bench.refused)

    def test_request_without_an_endpoint_at_home_is_refused_soon(self):
        """Guards against a request that waits for its whole deadline in vain."""
        bench = WideBench(make_views("ab"))
        bench.ask("r", home_regions=("c",), start_by_s=8.0)
        bench.ask("other")
        self.assertEqual(bench.refused, {})
        bench.advance(NO_HOME_WAIT_S + 0.15)
        self.assertEqual(bench.refused, {"r": NO_HOME_ENDPOINT.number})
        self.assertIn("other", bench.grants)

    def test_new_owner_that_knows_no_endpoint_yet(self):
        """Guards against a refusal before the first reports of endpoints have arrived."""
        bench = WideBench([])
        bench.ask("r", home_regions=("a",), start_by_s=8.0)
        bench.advance(NO_HOME_WAIT_S + 0.5)
        self.assertEqual(bench.refused, {})
        bench.call("set_endpoints", make_views("ab"))
        self.assertEqual(bench.endpoint_of("r"), "a")

    def test_request_is_refused_when_its_last_endpoint_leaves(self):
        """Guards against a request that waits on although its region has lost its endpoints."""
        bench = WideBench(make_views("ab"))
        bench.ask("running", home_regions=("a",))
        bench.ask("r", home_regions=("a",))
        bench.advance(1.0)
        self.assertEqual(bench.refused, {})
        bench.call("set_endpoints", make_views("b"))
        bench.advance(0.15)
        self.assertEqual(bench.refused, {"r": NO_HOME_ENDPOINT.number})

    def test_random_load(self):
        """Guards against grants outside the homes, and against violations of the order of tiers."""
        for seed in range(6):
            with self.subTest(seed=seed):
                self.run_random_load(random.Random(seed))

    def run_random_load(self, rng):
        """Send a random load with and without homes over endpoints that come and go."""
        bench = WideBench(make_views("abc", slots=2))
        homes, ends, seen = {}, {}, set()
        for step in range(400):
            bench.advance(0.02)
            for name in [name for name, at in ends.items() if at <= bench.now]:
                del ends[name]
                bench.done(name, total_s=0.3)
            if rng.random() < 0.05:
                present = [name for name in "abc" if rng.random() < 0.8]
                bench.call("set_endpoints", make_views(present, slots=2))
            for number in range(rng.randrange(2)):
                name = f"r{step}-{number}"
                homes[name] = tuple(rng.sample("abcd", rng.choice((0, 1, 2))))
                more = {"first_by_s": 0.5, "start_by_s": rng.choice((1.0, 3.0))}
                bench.ask(name, tier=rng.randrange(4), home_regions=homes[name], **more)
            for name in bench.grants.keys() - seen:
                seen.add(name)
                ends[name] = bench.now + rng.uniform(0.1, 0.6)
                self.assertIn(bench.endpoint_of(name), homes[name] or "abc")
        self.assertGreater(len(seen), 50)


if __name__ == "__main__":
    unittest.main()
