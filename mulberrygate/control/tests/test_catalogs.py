"""Tests of the replicated state of a deployment and of verdicts on version moves."""

from __future__ import annotations

import math
import random
import unittest

from mulberrygate.control.catalogs import (
    DONE,
    ROLLED_BACK,
    RUNNING,
    CatalogStateMachine,
    Move,
    PutCatalog,
    PutLeaving,
    PutMove,
    encode_command,
)
from mulberrygate.control.rollouts import RolloutEvaluator
from mulberrygate.core.invariant import InvariantError
from mulberrygate.core.sums import RequestSums, request_sums
from mulberrygate.sync.messages import VersionEvidence


def apply(machine, command):
    """Apply a command and return whether it changed the state."""
    return machine.apply(0, encode_command(command))


class TestCatalogs(unittest.TestCase):
    """Versions, leaving endpoints and moves in the log."""

    def test_highest_version_counts_in_any_order(self):
        """Guards against an older catalog that arrives late and comes into force."""
        for seed in range(20):
            machine = CatalogStateMachine()
            versions = [random.Random(seed).randrange(30) for _ in range(20)]
            for version in versions:
                apply(machine, PutCatalog(version, b"%d" % version))
            self.assertEqual(machine.version, max(versions))
            self.assertEqual(machine.document, b"%d" % max(versions))

    def test_other_content_under_the_same_version(self):
        """Guards against a second document of the same version that replaces the first."""
        machine = CatalogStateMachine()
        self.assertTrue(apply(machine, PutCatalog(3, b"first")))
        self.assertFalse(apply(machine, PutCatalog(3, b"second")))
        self.assertEqual(machine.document, b"first")

    def test_snapshot_holds_everything(self):
        """Guards against using an endpoint that left again after a restart from a snapshot."""
        machine, restored = CatalogStateMachine(), CatalogStateMachine()
        apply(machine, PutCatalog(3, b"document"))
        apply(machine, PutLeaving("e1", 5))
        apply(machine, PutMove("care", "v2", RUNNING, 1.0, 11.0))
        restored.restore(machine.snapshot())
        self.assertEqual(restored.leaving, {"e1": 5})
        self.assertEqual(restored.moves, {"care": Move("v2", RUNNING, 1.0, 11.0)})
        self.assertFalse(apply(restored, PutLeaving("e1", 4)))

    def test_snapshot_of_an_older_state(self):
        """Guards against replacing a state by an older one."""
        machine, old = CatalogStateMachine(), CatalogStateMachine()
        apply(machine, PutCatalog(3, b"document"))
        with self.assertRaises(InvariantError):
            machine.restore(old.snapshot())

    def test_verdict_is_final(self):
        """Guards against a repeated order that restarts a withdrawn move."""
        machine = CatalogStateMachine()
        apply(machine, PutMove("care", "v2", RUNNING, 1.0, 11.0))
        apply(machine, PutMove("care", "v2", ROLLED_BACK))
        self.assertFalse(apply(machine, PutMove("care", "v2", RUNNING, 2.0, 12.0)))
        self.assertFalse(apply(machine, PutMove("care", "v2", DONE)))
        self.assertEqual(machine.moves["care"].state, ROLLED_BACK)


class TestRollouts(unittest.TestCase):
    """Verdicts from evidence on a move from 0 s to 10 s."""

    def setUp(self):
        self.evaluator = RolloutEvaluator(0.1)
        self.rng = random.Random(1)
        self.number = 0

    def answers(self, count, is_new, bad=0.0, slow=0.0, factor=5.0, route="note", spread=0.5):
        """Return the cell of answers, a part of which fail or take ``factor`` times as long."""
        sums = RequestSums()
        for _ in range(count):
            seconds = math.exp(self.rng.gauss(0.0, spread))
            seconds *= factor if self.rng.random() < slow else 1.0
            sums.add(request_sums(1.0, seconds, self.rng.random() < bad))
        return (route, is_new, sums.count, sums.errors, sums.log_sum, sums.log_square_sum)

    def run_move(self, old=50, new=4, until=10.0, common=0.0, **fault):
        """Run a move second by second; return the verdict and its time."""
        for second in range(1, int(until) + 1):
            cells = (
                self.answers(old, False, slow=common),
                self.answers(new, True, **({"slow": common} | fault)),
            )
            self.number += 1
            report = VersionEvidence("e", 1, self.number, "care", "v2", cells)
            self.evaluator.observe(report, float(second))
            move = Move("v2", RUNNING, 0.0, 10.0)
            for tenth in range(10):
                verdict, _ = self.evaluator.verdict("care", move, second + tenth / 10)
                if verdict:
                    return verdict, second + tenth / 10
        return "", until

    def test_good_version_is_done_before_the_deadline(self):
        """Guards against a good version that is not done by its deadline."""
        verdict, second = self.run_move()
        self.assertEqual(verdict, DONE)
        self.assertLess(second, 9.5)

    def test_good_version_is_done_during_a_common_slowdown(self):
        """Guards against withdrawing a good version while the whole pool is slow."""
        self.assertEqual(self.run_move(common=0.6)[0], DONE)

    def test_slow_version_is_withdrawn_though_nothing_fails(self):
        """Guards against a version that is several times slower but has no failures."""
        for factor in (4.0, 5.0, 8.0):
            self.setUp()
            verdict, second = self.run_move(slow=1.0, factor=factor)
            self.assertEqual(verdict, ROLLED_BACK)
            self.assertLess(second, 9.5)

    def test_version_slow_in_part_does_not_take_over(self):
        """Guards against a version of which half of the answers are slow."""
        for seed in range(10):
            self.setUp()
            self.rng = random.Random(seed)
            self.assertEqual(self.run_move(slow=0.5, factor=6.0)[0], ROLLED_BACK)

    def test_version_slow_in_three_of_ten_answers_does_not_take_over(self):
        """Guards against a version whose slow answers hardly change its mean time."""
        verdicts = []
        for seed in range(40):
            self.setUp()
            self.rng = random.Random(seed)
            verdicts.append(self.run_move(slow=0.3, factor=6.0)[0])
        self.assertNotIn(DONE, verdicts)

    def test_version_slow_in_part_is_withdrawn_soon_under_much_traffic(self):
        """Guards against a partly slow version that keeps its share until near the end."""
        verdict, second = self.run_move(old=400, new=32, slow=0.5, factor=6.0)
        self.assertEqual(verdict, ROLLED_BACK)
        self.assertLess(second, 4.0)

    def test_version_without_answers_does_not_take_over(self):
        """Guards against completing a move without any answer of the new version."""
        self.assertEqual(self.run_move(new=0)[0], ROLLED_BACK)

    def test_failing_version_is_withdrawn_at_once(self):
        """Guards against completing a move to a version that fails part of its requests."""
        verdict, second = self.run_move(bad=0.5, new=8)
        self.assertEqual(verdict, ROLLED_BACK)
        self.assertLess(second, 7.0)

    def verdict_on(self, now, previous, new):
        """Return the verdict after one report of answers and failures of either version."""
        cells = []
        for is_new, (count, bad) in ((False, previous), (True, new)):
            cells.append(("note", is_new, float(count), float(bad), 0.0, 0.25 * (count - bad)))
        evaluator = RolloutEvaluator(0.1)
        evaluator.observe(VersionEvidence("e", 1, 1, "care", "v2", tuple(cells)), 1.0)
        return evaluator.verdict("care", Move("v2", RUNNING, 0.0, 10.0), now)[0]

    def test_one_report_of_a_good_version(self):
        """Guards against a good version that is not done by its deadline."""
        self.assertEqual(self.verdict_on(2.0, (300, 3), (20, 0)), "")
        self.assertEqual(self.verdict_on(8.6, (300, 3), (20, 0)), DONE)

    def test_one_report_of_a_bad_version(self):
        """Guards against completing a move to a version that fails part of its requests."""
        self.assertEqual(self.verdict_on(2.0, (300, 3), (20, 8)), ROLLED_BACK)

    def test_one_report_of_failures_of_both_versions(self):
        """Guards against withdrawing a version for failures that both versions have."""
        self.assertEqual(self.verdict_on(2.0, (300, 120), (20, 8)), "")

    def test_good_versions_are_seldom_withdrawn(self):
        """Guards against a test that is fast at the cost of false alarms."""
        verdicts = []
        for seed in range(60):
            self.setUp()
            self.rng = random.Random(seed)
            verdicts.append(self.run_move(bad=0.02)[0])
        self.assertGreaterEqual(verdicts.count(DONE), 57)

    def test_failures_of_both_versions(self):
        """Guards against withdrawing a version for failures that both versions have."""
        for second in range(1, 8):
            cells = (self.answers(50, False, bad=0.4), self.answers(4, True, bad=0.4))
            report = VersionEvidence("e", 1, second, "care", "v2", cells)
            self.evaluator.observe(report, float(second))
            move = Move("v2", RUNNING, 0.0, 10.0)
            self.assertEqual(self.evaluator.verdict("care", move, float(second))[0], "")

    def test_report_that_comes_twice(self):
        """Guards against counting a repeated report twice."""
        cells = (self.answers(50, False), self.answers(4, True))
        for _ in range(5):
            self.evaluator.observe(VersionEvidence("e", 1, 1, "care", "v2", cells), 1.0)
        track = self.evaluator.tracks["care", "v2"]
        self.assertEqual(track.test.pooled().previous.count, 50)


if __name__ == "__main__":
    unittest.main()
