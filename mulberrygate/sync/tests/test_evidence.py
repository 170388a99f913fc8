"""Tests of the evidence that processes report on version moves."""

from __future__ import annotations

import random
import unittest

from mulberrygate.control.catalogs import DONE, ROLLED_BACK, RUNNING, Move
from mulberrygate.control.rollouts import RolloutEvaluator
from mulberrygate.endpoints.roster import Registration, Roster
from mulberrygate.schedule.effects import ObservedRequest
from mulberrygate.sync.evidence import EvidenceReports
from mulberrygate.sync.messages import MoveShare

# Two of the six endpoints of each version are several times slower than the others.
ENDPOINTS = 6
SLOW_HARDWARE = 4.5


def hardware(number):
    """Return the duration of an endpoint relative to a fast one."""
    return SLOW_HARDWARE if number >= ENDPOINTS - 2 else 1.0


class TestEvidence(unittest.TestCase):
    """A move on endpoints of unequal speed, of which the fast ones get most requests."""

    def setUp(self):
        self.now = 0.0
        self.rng = random.Random(1)
        self.roster = Roster()
        for version in ("v1", "v2"):
            for number in range(ENDPOINTS):
                name = f"{version}-{number}"
                known = Registration(name, 1, 1, "care", f"{name}:1", "a", version)
                self.roster.record_report(known, 0.0)
        self.reports = EvidenceReports(self.roster, lambda: self.now)
        self.reports.set_moves((MoveShare("care", "v2", 0.08),))
        self.reports.shares("care")

    def answer(self, version, number, factor=1.0, fault=""):
        """Let an endpoint answer a request."""
        total_s = hardware(number) * factor * self.rng.lognormvariate(0.0, 0.3)
        name = f"{version}-{number}"
        effect = ObservedRequest("note", version, name, "", 1.0, 1.0, total_s, 0.1, fault)
        self.reports.observe("care", effect)

    def run_move(self, factor):
        """Simulate a move of 10 s; return the verdict."""
        judge = RolloutEvaluator(0.1)
        move = Move("v2", RUNNING, 0.0, 10.0)
        trial = 0
        for tenth in range(100):
            self.now = tenth / 10
            for _ in range(5):
                is_fast = self.rng.random() < 0.9
                number = self.rng.randrange(4) if is_fast else self.rng.randrange(4, 6)
                self.answer("v1", number)
            if tenth % 3 == 0:
                self.answer("v2", trial % ENDPOINTS, factor)
                trial += 1
            for report in self.reports.take_reports("e", 1):
                judge.observe(report, self.now)
            verdict, _ = judge.verdict("care", move, self.now)
            if verdict:
                return verdict
        return ""

    def test_good_version_on_unlike_endpoints_takes_over(self):
        """Guards against withdrawing a good version whose canary also hits slow endpoints."""
        self.assertEqual(self.run_move(factor=1.0), DONE)

    def test_slow_version_on_unlike_endpoints_is_withdrawn(self):
        """Guards against a slow version whose fast endpoints match the former slow ones."""
        self.assertEqual(self.run_move(factor=5.0), ROLLED_BACK)

    def test_answers_of_cold_endpoints_do_not_count(self):
        """Guards against judging a version by its answers while its endpoints warm up."""
        known = Registration("v2-0", 1, 2, "care", "v2-0:1", "a", "v2", warmup_s=3.0)
        self.roster.record_report(known, 0.0)
        self.reports.shares("care")
        self.now = 2.0
        self.answer("v2", 0)
        self.assertEqual(self.reports.take_reports("e", 1), [])
        self.now = 10.0
        self.answer("v2", 0)
        self.assertEqual(len(self.reports.take_reports("e", 1)), 1)

    def test_callers_that_left_early_do_not_count(self):
        """Guards against counting requests that are no evidence on the version."""
        self.answer("v2", 0, fault="cancelled")
        self.answer("v2", 0, fault="refused")
        self.assertEqual(self.reports.take_reports("e", 1), [])


if __name__ == "__main__":
    unittest.main()
