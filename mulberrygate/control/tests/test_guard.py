"""Tests of the sequential test of a version and of the guard on a scheduler's owner."""

import random
import unittest

import attrs

from mulberrygate.control.commands import MoveState
from mulberrygate.control.guard import LEADER_BUDGET, VersionGuard
from mulberrygate.control.versiontest import VersionTest
from mulberrygate.core.sums import request_sums
from mulberrygate.tables import Move

MOVE = Move(previous="a")


def feed(test, rng, requests, share=0.3, errors=0.0, slowdown=1.0, route="", both=1.0):
    """Feed requests; return how many the new version had until a fault was found, or 0."""
    new = 0
    for number in range(requests):
        is_new = rng.random() < share
        name = rng.choice(("care", "lookup", "tags"))
        is_hit = is_new and route in ("", name)
        total = rng.lognormvariate(0, 0.4) * both * (slowdown if is_hit else 1.0)
        is_error = rng.random() < 0.003 + (errors if is_hit else 0.0)
        new += is_new
        test.add(
            [((name, is_new, number // 7 % 3), request_sums(1.0, total, is_error))], number / 20
        )
        if test.detect_fault():
            return new
    return 0


class VersionTestCase(unittest.TestCase):
    def test_good_versions_are_not_called_faulty(self):
        """Guards against false withdrawals beyond the budget."""
        alarms = 0
        for seed in range(20):
            alarms += feed(VersionTest(MOVE, LEADER_BUDGET), random.Random(seed), 3000) > 0
        self.assertEqual(alarms, 0)

    def test_tolerable_version_is_not_called_faulty(self):
        """Guards against withdrawing a version that is worse by less than half a fault."""
        for seed in range(10):
            test = VersionTest(MOVE, LEADER_BUDGET)
            self.assertEqual(feed(test, random.Random(seed), 4000, slowdown=1.1, errors=0.005), 0)

    def test_faults_are_found(self):
        """Guards against a test that needs too many requests to find a fault."""
        cases = (
            ({"errors": 0.5}, 60),
            ({"errors": 0.1}, 400),
            ({"slowdown": 3.0}, 60),
            ({"slowdown": 1.6}, 400),
            ({"errors": 0.4, "route": "tags"}, 400),
        )
        for fault, most in cases:
            for seed in range(5):
                found = feed(VersionTest(MOVE, LEADER_BUDGET), random.Random(seed), 4000, **fault)
                self.assertTrue(0 < found <= most, (fault, seed, found))

    def test_late_fault_is_found_after_much_good_evidence(self):
        """Guards against old good evidence that hides a new fault."""
        rng = random.Random(3)
        test = VersionTest(MOVE, LEADER_BUDGET)
        self.assertEqual(feed(test, rng, 6000), 0)
        self.assertTrue(0 < feed(test, rng, 1500, errors=0.2) < 200)

    def test_common_slowdown_is_not_a_fault(self):
        """Guards against blaming the new version for a burst that slows everything down."""
        for seed in range(10):
            rng = random.Random(seed)
            test = VersionTest(MOVE, LEADER_BUDGET)
            for both in (1.0, 2.0, 1.0, 3.0):
                self.assertEqual(feed(test, rng, 700, share=0.9, both=both), 0, seed)

    def test_runs_of_other_tests_add_up(self):
        """Guards against a new leader that loses the evidence of the guards."""
        part = VersionTest(MOVE, LEADER_BUDGET)
        part.pooled().error_runs[0].value = 4.0
        whole = VersionTest(MOVE, LEADER_BUDGET)
        for count in (1, 2, 3):
            whole.add_runs(part.strong_runs())
            self.assertEqual(whole.pooled().error_runs[0].value, 4.0 * count)
            self.assertEqual(bool(whole.detect_fault()), count == 3)


class GuardTest(unittest.TestCase):
    def setUp(self):
        self.guard = VersionGuard("lamp", "i1", 1)
        self.state = MoveState("lamp", 2, "a", "b", stage=1, share=0.05)
        self.guard.set_move(self.state, MOVE)

    def observe(self, version, is_error, count):
        stops = 0
        for number in range(count):
            stops += self.guard.observe("care", version, 0.2, 1.0, 1.0, is_error, float(number))
        return stops

    def test_stops_at_once_and_for_good(self):
        """Guards against new requests to a faulty version while the leader does not answer."""
        self.observe("a", False, 200)
        for _ in range(40):
            self.observe("a", False, 10)
            self.observe("b", True, 1)
        self.assertEqual(self.guard.shares(), {"b": 0.0, "a": 1.0})
        self.assertIn("errors", self.guard.evidence().stopped)
        self.guard.set_move(attrs.evolve(self.state, stage=2, share=0.25), MOVE)
        self.assertEqual(self.guard.shares()["b"], 0.0)
        self.guard.set_move(attrs.evolve(self.state, table_version=3), MOVE)
        self.assertEqual(self.guard.shares()["b"], 0.05)

    def test_share_does_not_rise_without_control(self):
        """Guards against a share that rises in an isolated failure domain."""
        self.guard.set_control_reachable(False)
        self.guard.set_move(attrs.evolve(self.state, stage=2, share=0.25), MOVE)
        self.assertEqual(self.guard.shares()["b"], 0.05)
        self.guard.set_move(attrs.evolve(self.state, verdict="withdrawn", share=0.0), MOVE)
        self.assertEqual(self.guard.shares()["b"], 0.0)
        self.guard.set_move(attrs.evolve(self.state, stage=2, share=0.25), MOVE)
        self.guard.set_control_reachable(True)
        self.assertEqual(self.guard.shares()["b"], 0.25)

    def test_other_versions_do_not_count(self):
        """Guards against evidence from endpoints outside the move."""
        self.observe("c", True, 100)
        self.assertEqual(self.guard.evidence().cells, ())

    def test_without_a_move(self):
        """Guards against shares that remain when a move has been removed."""
        self.guard.set_move(None, None)
        self.assertEqual((self.guard.shares(), self.guard.evidence()), ({}, None))
