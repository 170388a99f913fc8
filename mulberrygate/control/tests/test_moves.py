"""Tests of the controller of version moves."""

import unittest

import attrs

from mulberrygate.control.commands import AdvanceMove, MoveState
from mulberrygate.control.evidence import EvidenceCollector
from mulberrygate.control.moves import MoveController
from mulberrygate.core.sums import RequestSums
from mulberrygate.tables import Move, Pool

MOVE = Move(previous="a", deadline_s=600, watch_s=100)
START = MoveState("lamp", 2, "a", "b", started_at=1000.0)


class MoveControllerTest(unittest.TestCase):
    def setUp(self):
        self.controller = MoveController()
        self.state = START
        self.collector = EvidenceCollector("lamp", 2, "i1", 1)
        self.now = 0.0
        self.update()

    def update(self, **changes):
        self.state = attrs.evolve(self.state, **changes)
        pool = Pool(version="b", move=MOVE)
        moves = {"lamp": self.state}
        self.controller.update(moves, {"lamp": pool}, self.now, 1000 + self.now)

    def run_until(self, end, new=5, errors=0, slowness=0.0, bucket=1):
        """Run with ``new`` requests a second on the new version; apply and return all steps."""
        steps = []
        while self.now < end:
            self.now += 1
            self.collector.add(("care", False, bucket), RequestSums(20, 0, 0.0, 2.0))
            good = new - errors
            times = RequestSums(new, errors, slowness * good, good * (0.1 + slowness**2))
            self.collector.add(("care", True, bucket), times)
            self.controller.observe(self.collector.message(), self.now)
            for step in self.controller.tick(self.now):
                steps.append(step)
                self.update(
                    stage=step.stage, share=step.share, verdict=step.verdict, reason=step.reason
                )
        return steps

    def test_good_version_passes_all_stages(self):
        """Guards against a good version that does not finish in time."""
        steps = self.run_until(600)
        self.assertEqual([step.stage for step in steps], [0, 1, 2, 3, 4, 4, 4])
        self.assertEqual([step.share for step in steps], [0.0125, 0.05, 0.25, 0.5, 0.9, 0.9, 1.0])
        self.assertEqual(self.state.verdict, "done")

    def test_bad_version_is_withdrawn_at_the_early_share(self):
        """Guards against a faulty version that gets more than the early share."""
        for fault in ({"errors": 2}, {"slowness": 0.9}):
            self.setUp()
            steps = self.run_until(300, **fault)
            self.assertEqual((steps[-1].verdict, steps[-1].share), ("withdrawn", 0.0))
            self.assertLessEqual(max(step.share for step in steps), 0.05)

    def test_thin_load_is_late_at_the_early_share(self):
        """Guards against completion without evidence."""
        self.run_until(640, new=0)
        self.assertEqual((self.state.verdict, self.state.share), ("late", 0.05))

    def test_late_version_with_signs_of_a_fault_loses_its_traffic(self):
        """Guards against keeping a share for a version that the evidence speaks against."""
        self.run_until(100)
        self.run_until(590, new=0)
        self.controller.tracks["lamp"].test.pooled().error_runs[0].value = 6.0
        self.run_until(640, new=0)
        self.assertEqual((self.state.verdict, self.state.share), ("late", 0.0))

    def test_share_waits_for_real_load(self):
        """Guards against completion before the version has run under load."""
        for second in range(0, 300, 10):
            self.run_until(second + 10, new=0 if second % 20 else 9, bucket=1 if second % 20 else 0)
        self.assertEqual((self.state.stage, self.state.verdict), (4, ""))
        self.run_until(self.now + 30, new=9, bucket=1)
        self.assertEqual(self.state.verdict, "done")

    def test_late_fault_returns_the_traffic_and_keeps_the_verdict(self):
        """Guards against a faulty version that keeps its traffic in the watch period."""
        while self.state.verdict != "done":
            self.run_until(self.now + 1)
        self.run_until(self.now + 60, new=18, errors=6)
        self.assertEqual((self.state.verdict, self.state.share), ("done", 0.0))
        self.assertIn("traffic withdrawn", self.state.reason)

    def test_guard_that_stopped_leads_to_withdrawal(self):
        """Guards against a local stop that does not reach the other failure domains."""
        self.run_until(10)
        self.controller.observe(self.collector.message("errors on all routes"), self.now)
        step = self.controller.tick(self.now)[0]
        self.assertEqual((step.verdict, step.share), ("withdrawn", 0.0))

    def test_new_leader_goes_on(self):
        """Guards against a move that starts again, or forgets its deadline, with a new leader."""
        while self.state.stage < 3:
            self.run_until(self.now + 1)
        self.controller = MoveController()
        self.update()
        steps = self.run_until(600)
        self.assertEqual([step.stage for step in steps], [4, 4, 4])
        self.assertEqual(self.state.verdict, "done")

    def test_new_leader_asks_for_real_load_of_its_own(self):
        """Guards against counting requests of the early stages as requests under real load."""
        while self.state.stage < 4:
            self.run_until(self.now + 1)
        self.controller = MoveController()
        self.update()
        self.run_until(self.now + 1)
        self.run_until(self.now + 40, new=18, bucket=0)
        self.assertEqual(self.state.verdict, "")
        self.run_until(self.now + 10, new=18)
        self.assertEqual(self.state.verdict, "done")

    def test_deadline_survives_a_leader_change(self):
        """Guards against a deadline that restarts with each leader."""
        self.run_until(599, new=0)
        self.controller = MoveController()
        self.update()
        self.run_until(601, new=0)
        self.assertEqual(self.state.verdict, "late")

    def test_step_is_not_repeated_at_once(self):
        """Guards against one proposal per message while a commit is pending."""
        self.assertEqual(len(self.controller.tick(1.0)), 1)
        self.assertEqual(self.controller.tick(1.5), [])
        expected = AdvanceMove("lamp", 2, 0, 0.0125, "", "first requests")
        self.assertEqual(self.controller.tick(2.5), [expected])

    def test_evidence_of_another_move_does_not_count(self):
        """Guards against evidence of an earlier move of the same pool."""
        other = EvidenceCollector("lamp", 1, "i1", 1)
        other.add(("care", True, 0), RequestSums(100, 100))
        self.controller.observe(other.message("errors"), 1.0)
        self.assertEqual(self.controller.tick(1.0)[0].verdict, "")
