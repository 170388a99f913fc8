"""Choice of the endpoint: shares, speed, prefixes, distance, faults."""

from __future__ import annotations

import unittest

from mulberrygate.schedule.detect import SlownessDetector
from mulberrygate.schedule.shares import VersionShares
from mulberrygate.schedule.speed import GenerationSpeed, Prior
from mulberrygate.schedule.tests.support import Bench, make_view
from mulberrygate.tables.model import Move, Pool

MOVING = Pool(version="v2", move=Move(previous="v1"), engine_queue=0)


class ShareTest(unittest.TestCase):
    def test_share_holds_when_the_old_version_is_full(self):
        """Guards against a new version that exceeds its share when the old one has no free slot."""
        views = [make_view("old", "v1", slots=10), make_view("new", "v2", slots=50)]
        bench = Bench(views, MOVING)
        bench.call("set_shares", {"v1": 0.9, "v2": 0.1})
        for number in range(40):
            bench.ask(f"q{number}")
        versions = [grant.version for grant in bench.grants.values()]
        self.assertLessEqual(versions.count("v2"), len(versions) // 10)

    def test_share_is_reached(self):
        """Guards against a new version that gets too little traffic for evidence."""
        views = [make_view("old", "v1", slots=400), make_view("new", "v2", slots=400)]
        bench = Bench(views, MOVING)
        bench.call("set_shares", {"v1": 0.8, "v2": 0.2})
        for number in range(100):
            bench.ask(f"q{number}", route="note" if number % 2 else "quick")
        self.assertEqual([grant.version for grant in bench.grants.values()].count("v2"), 20)

    def test_credit_is_bounded(self):
        """Guards against a run of requests to a version whose endpoints return after an absence."""
        shares = VersionShares()
        shares.set({"v1": 0.9, "v2": 0.1}, base="v1")
        for _ in range(500):
            shares.count("note", "v1")
        taken = 0
        while shares.is_allowed("note", "v2"):
            shares.count("note", "v2")
            taken += 1
        self.assertLessEqual(taken, 3)

    def test_withdrawn_grant_of_earlier_shares_is_not_taken_back(self):
        """Guards against subtracting grants that the counts never included."""
        bench = Bench([make_view("old", "v1", slots=50), make_view("new", "v2", slots=50)], MOVING)
        for number in range(15):
            bench.ask(f"early-{number}")
        bench.call("set_shares", {"v1": 0.9, "v2": 0.1})
        for number in range(9):
            bench.ask(f"q{number}")
        for number in range(15):
            bench.call("withdraw", f"early-{number}")
        bench.ask("q9")
        self.assertEqual(bench.grants["q9"].version, "v2")

    def test_top_tier_queues_when_only_the_limited_version_has_slots(self):
        """Guards against urgent requests that wait while the old version has a queue position."""
        pool = Pool(version="v2", move=Move(previous="v1"), engine_queue=1)
        views = [make_view(f"new-{number}", "v2") for number in range(20)]
        bench = Bench([make_view("old", "v1"), *views], pool)
        bench.call("set_shares", {"v1": 0.95, "v2": 0.05})
        bench.ask("q0", tier=0)
        bench.ask("q1", tier=0)
        self.assertEqual([grant.version for grant in bench.grants.values()], ["v1", "v1"])

    def test_version_without_share_gets_nothing(self):
        """Guards against traffic to a version that was withdrawn."""
        bench = Bench([make_view("new", "v2", slots=5)], MOVING)
        bench.call("set_shares", {"v1": 1.0, "v2": 0.0})
        bench.ask("q")
        self.assertEqual(bench.grants, {})


class SpeedTest(unittest.TestCase):
    def test_slow_endpoint_is_learned(self):
        """Guards against choosing an endpoint by its free slots alone."""
        bench = Bench([make_view("fast", slots=2), make_view("slow", slots=2)])
        for number in range(20):
            bench.ask(f"q{number}")
            name = bench.endpoint_of(f"q{number}")
            bench.now += 3.0
            bench.done(f"q{number}", total_s=10.0 if name == "slow" else 1.5)
        bench.ask("last")
        self.assertEqual(bench.endpoint_of("last"), "fast")

    def test_generation_speed_converges_and_ignores_outliers(self):
        """Guards against predictions distorted by one stalled request."""
        speed = GenerationSpeed(Prior())
        for number in range(200):
            load = number % 10
            speed.learn_decode(0.03 + 0.001 * load, load, 1.0)
        before = speed.per_token_s(5)
        speed.learn_decode(5.0, 5, 1.0)
        self.assertAlmostEqual(before, 0.035, delta=0.002)
        self.assertAlmostEqual(speed.per_token_s(5), before, delta=0.004)

    def test_version_under_a_move_does_not_shift_the_expectation(self):
        """Guards against a slow new version that is compared with itself."""
        bench = Bench([make_view("new", "v2", slots=1)], MOVING)
        for number in range(60):
            bench.ask(f"q{number}")
            bench.now += 10.0
            bench.done(f"q{number}", total_s=10.0)
        first, last = bench.observed[0], bench.observed[-1]
        self.assertAlmostEqual(first.expected_s, last.expected_s, delta=0.05 * first.expected_s)

    def test_detector_recovers(self):
        """Guards against an endpoint that counts as slow for ever."""
        detector = SlownessDetector()
        for _ in range(10):
            detector.observe(3.0)
        self.assertTrue(detector.is_slow)
        for _ in range(20):
            detector.observe(1.0)
        self.assertFalse(detector.is_slow)

    def test_one_extreme_request_is_no_alarm(self):
        """Guards against an alarm on one stalled request."""
        detector = SlownessDetector()
        detector.observe(1000.0)
        self.assertFalse(detector.is_slow)


class PlacementTest(unittest.TestCase):
    def test_shared_prefix_goes_to_the_same_endpoint(self):
        """Guards against computing a long prefix on every endpoint."""
        bench = Bench([make_view(name, slots=8) for name in "abcd"])
        prefixes = tuple(f"p{number}" for number in range(8))
        for number in range(4):
            bench.ask(f"q{number}", prompt=2100, prefixes=prefixes)
        self.assertEqual(len({grant.endpoint for grant in bench.grants.values()}), 1)

    def test_reported_prefix_attracts(self):
        """Guards against ignoring cache events."""
        views = [make_view("a", slots=4), make_view("b", slots=4, prefixes=frozenset({"p"}))]
        bench = Bench(views)
        bench.ask("q", prompt=300, prefixes=("p",))
        self.assertEqual(bench.endpoint_of("q"), "b")

    def test_other_region_only_under_backlog(self):
        """Guards against needless paid traffic, and against waiting although a region is free."""
        views = [make_view("near"), make_view("far", domain="d3", region="r2", slots=4)]
        bench = Bench(views)
        bench.ask("q0")
        bench.ask("q1")
        self.assertEqual([grant.endpoint for grant in bench.grants.values()], ["near"])
        for number in range(2, 6):
            bench.ask(f"q{number}")
        bench.now = 3.0
        bench.call("tick")
        self.assertIn("far", {grant.endpoint for grant in bench.grants.values()})

    def test_avoided_endpoint_is_used_only_if_there_is_no_other(self):
        """Guards against a retry at the endpoint that failed, and against no retry at all."""
        bench = Bench([make_view("a", slots=4), make_view("b", slots=4)])
        bench.ask("q", avoid=("a",))
        self.assertEqual(bench.endpoint_of("q"), "b")
        bench.ask("r", avoid=("a", "b"))
        self.assertIn("r", bench.grants)

    def test_leaving_endpoint_gets_nothing(self):
        """Guards against sending requests to a leaving endpoint (P7)."""
        bench = Bench([make_view("a", accepts_work=False), make_view("b", slots=2)])
        for number in range(3):
            bench.ask(f"q{number}")
        self.assertEqual({grant.endpoint for grant in bench.grants.values()}, {"b"})

    def test_load_of_others_is_counted(self):
        """Guards against overloading an endpoint that other schedulers use too."""
        bench = Bench([make_view("a", slots=4, load=3)])
        for number in range(4):
            bench.ask(f"q{number}")
        self.assertEqual(len(bench.grants), 1)

    def test_failing_endpoint_is_probed_at_intervals(self):
        """Guards against an endpoint that fails at once and attracts all requests."""
        bench = Bench([make_view("a", slots=8)])
        for number in range(3):
            bench.ask(f"q{number}")
        for number in range(3):
            bench.done(f"q{number}", fault="refused")
        bench.ask("next")
        self.assertNotIn("next", bench.grants)
        bench.now = 2.0
        bench.call("tick")
        self.assertIn("next", bench.grants)


if __name__ == "__main__":
    unittest.main()
