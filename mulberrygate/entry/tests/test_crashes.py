"""Tests of the search for contents that crash endpoints."""

import unittest

from mulberrygate.entry.crashes import (
    ISOLATION_CRASHES,
    QUARANTINE_CRASHES,
    REPORT_WINDOW_S,
    Cleared,
    CrashTracker,
)


class CrashTrackerTest(unittest.TestCase):
    """Charges of contents by endpoint deaths."""

    def setUp(self):
        self.tracker = CrashTracker()
        self.now = 0.0

    def die(self, *contents: str, endpoint: str = "e") -> None:
        """Let an endpoint die with contents running on it."""
        for content in contents:
            self.tracker.record_start(content, endpoint)
        for content in contents:
            self.tracker.record_end(content, endpoint, "gone", False, self.now)
        self.now += 2 * REPORT_WINDOW_S
        self.tracker.tick(self.now)
        self.now += 2 * REPORT_WINDOW_S
        self.tracker.tick(self.now)

    def complete(self, content: str) -> None:
        """Let a content complete."""
        self.tracker.record_start(content, "other")
        self.tracker.record_end(content, "other", "", True, self.now)

    def is_quarantined(self, content: str) -> bool:
        """Return whether a content is refused now."""
        return self.tracker.is_quarantined(content, self.now)

    def test_content_that_dies_alone_is_refused_at_the_limit(self):
        """Guards against a content that takes down one endpoint after the other."""
        for _ in range(QUARANTINE_CRASHES - 1):
            self.die("bad")
        self.assertFalse(self.is_quarantined("bad"))
        self.die("bad")
        self.assertTrue(self.is_quarantined("bad"))

    def test_ordinary_content_on_the_endpoint_is_not_refused(self):
        """Guards against ordinary requests that are refused for their neighbour's crashes."""
        for number in range(QUARANTINE_CRASHES + 2):
            self.die("bad", f"other-{number}")
        self.assertTrue(self.is_quarantined("bad"))
        for number in range(QUARANTINE_CRASHES + 2):
            self.assertFalse(self.is_quarantined(f"other-{number}"))

    def test_content_always_on_the_endpoint_with_the_bad_one_is_kept_apart(self):
        """Guards against a pair that always runs together, where neither is ever alone."""
        for _ in range(QUARANTINE_CRASHES + 2):
            self.die("bad", "good")
        self.assertFalse(self.is_quarantined("good"))
        self.tracker.record_start("bad", "e")
        self.assertTrue(self.tracker.must_isolate("good", "e"))
        self.assertFalse(self.tracker.must_isolate("good", "f"))

    def test_contents_of_one_death_are_not_kept_apart(self):
        """Guards against the requests of a dead endpoint waiting for each other."""
        self.die("first", "second")
        self.tracker.record_start("first", "e")
        self.assertLess(1, ISOLATION_CRASHES)
        self.assertFalse(self.tracker.must_isolate("second", "e"))

    def test_completion_clears_a_content_and_is_told_to_others(self):
        """Guards against crashes that add up over hours for a sound request."""
        self.die("good")
        self.complete("good")
        self.assertEqual(self.tracker.take_cleared(), Cleared(("good",)))
        for _ in range(QUARANTINE_CRASHES - 1):
            self.die("good")
        self.assertFalse(self.is_quarantined("good"))

    def test_reports_of_two_entries_count_as_one_death(self):
        """Guards against two crashes for one death that two entries saw."""
        other = CrashTracker()
        for tracker in (self.tracker, other):
            tracker.record_start("bad", "e")
            tracker.record_death("e", self.now)
        for report in other.take_reports():
            self.tracker.add_report(report, self.now + REPORT_WINDOW_S / 2)
        self.tracker.tick(self.now + REPORT_WINDOW_S)
        self.assertEqual(self.tracker.suspects["bad"].crashes, 1)


if __name__ == "__main__":
    unittest.main()
