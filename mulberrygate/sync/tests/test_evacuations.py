"""Tests of what an entry takes over of the evacuations that control processes tell."""

from __future__ import annotations

import unittest

from mulberrygate.sync.evacuations import OLDER_STATE_AFTER_S, KnownEvacuations
from mulberrygate.sync.running_counts import REPORT_AGE_S, RunningCounts


class TestKnownEvacuations(unittest.TestCase):
    """Answers of control processes with newer and older states."""

    def setUp(self):
        self.known = KnownEvacuations()
        self.known.update(7, ("a",), (), is_current=True, now=100.0)

    def test_process_that_has_lost_its_group(self):
        """Guards against an entry that forgets an evacuation, however long ago it learned it."""
        self.known.update(5, (), (), is_current=False, now=1000.0)
        self.assertTrue(self.known.is_evacuated("a"))

    def test_newer_state_of_a_process_that_has_lost_its_group(self):
        """Guards against ignoring a committed order because the process is not current."""
        self.assertTrue(self.known.update(9, ("a", "b"), (), is_current=False, now=100.1))
        self.assertTrue(self.known.is_evacuated("b"))

    def test_process_that_is_slightly_behind(self):
        """Guards against a process that counts as current but lacks the last orders."""
        now = 100.0 + OLDER_STATE_AFTER_S
        self.assertFalse(self.known.update(5, (), (), is_current=True, now=now))
        self.assertTrue(self.known.is_evacuated("a"))

    def test_group_with_a_new_log(self):
        """Guards against an evacuation that no order can end once the group has lost its log."""
        now = 100.1 + OLDER_STATE_AFTER_S
        self.assertTrue(self.known.update(2, (), (), is_current=True, now=now))
        self.assertFalse(self.known.is_evacuated("a"))

    def test_process_of_an_earlier_release(self):
        """Guards against an evacuation that ends at entries which follow an earlier release."""
        self.assertFalse(self.known.update(-1, (), (), is_current=True, now=1000.0))
        self.assertTrue(self.known.is_evacuated("a"))

    def test_age_of_a_withdrawal(self):
        """Guards against endpoints that count as warm since the clocks of processes differ."""
        self.assertTrue(self.known.update(8, (), (("a", 50.0), ("b", 4.0)), True, now=110.0))
        self.assertEqual(self.known.ended_s("a", 111.0), 1.0)
        self.assertEqual(self.known.ended_s("b", 111.0), 5.0)
        self.assertEqual(self.known.ended_s("c", 111.0), float("inf"))


class TestRunningCounts(unittest.TestCase):
    """Sums over entries that report to different control processes."""

    def test_entry_that_follows_another_process(self):
        """Guards against counting an entry twice for ever after it has changed its process."""
        counts = RunningCounts()
        counts.record_poll("entry-1", (("a", 2),), now=0.0)
        counts.record_update("control-2", (("a", 2),), now=1.5)
        self.assertEqual(counts.totals(REPORT_AGE_S + 0.1), {"a": 2})
        self.assertEqual(counts.own(REPORT_AGE_S + 0.1), ())

    def test_requests_that_have_ended(self):
        """Guards against a failure domain that never looks empty."""
        counts = RunningCounts()
        counts.record_poll("entry-1", (("a", 2),), now=0.0)
        counts.record_poll("entry-1", (), now=0.1)
        self.assertEqual(counts.totals(0.1), {})


if __name__ == "__main__":
    unittest.main()
