"""Tests of the detection of contents that crash endpoints."""

import unittest

from mulberrygate.control.blame import CRASHES_TO_SUSPECT
from mulberrygate.control.blame import CRASHES_WITHOUT_HEAD as QUARANTINE_CRASHES
from mulberrygate.entry.crashes import (
    REPORT_WINDOW_S,
    UNANSWERED_S,
    Cleared,
    CrashTracker,
)


class CrashTrackerTest(unittest.TestCase):
    """Attribution of endpoint deaths to contents."""

    def setUp(self):
        self.tracker = CrashTracker()
        self.now = 0.0

    def crash(self, *contents: str, endpoint: str = "e") -> None:
        """Simulate the death of an endpoint that runs these contents."""
        for content in contents:
            self.tracker.record_start(content, endpoint)
        for content in contents:
            self.tracker.record_end(content, endpoint, "gone", False, self.now)
        self.now += 2 * REPORT_WINDOW_S
        self.tracker.tick(self.now)
        self.now += 2 * REPORT_WINDOW_S
        self.tracker.tick(self.now)

    def complete(self, content: str) -> None:
        """Simulate the completion of a content."""
        self.tracker.record_start(content, "other")
        self.tracker.record_end(content, "other", "", True, self.now)

    def is_quarantined(self, content: str) -> bool:
        """Return whether a content is refused at present."""
        return self.tracker.is_quarantined(content, self.now)

    def test_sole_suspect_is_refused_at_the_limit(self):
        """Guards against a content that crashes one endpoint after the other."""
        for _ in range(QUARANTINE_CRASHES - 1):
            self.crash("bad")
        self.assertFalse(self.is_quarantined("bad"))
        self.crash("bad")
        self.assertTrue(self.is_quarantined("bad"))

    def abandon(self, content: str, endpoint: str) -> None:
        """Simulate a request whose caller leaves before it is answered."""
        self.tracker.record_start(content, endpoint)
        self.tracker.record_end(content, endpoint, "", False, self.now)

    def test_content_whose_caller_leaves_before_the_death_is_known(self):
        """Guards against a crash that is not counted because its caller left first."""
        for number in range(QUARANTINE_CRASHES):
            self.abandon("bad", f"e{number}")
            self.now += 1.0
            self.tracker.record_death(f"e{number}", self.now)
            self.now += 2 * REPORT_WINDOW_S
            self.tracker.tick(self.now)
        self.assertTrue(self.is_quarantined("bad"))

    def test_endpoint_that_has_answered_since(self):
        """Guards against blaming an abandoned content for a later death of its endpoint."""
        for number in range(QUARANTINE_CRASHES):
            self.abandon("good", f"e{number}")
            self.tracker.record_start("other", f"e{number}")
            self.tracker.record_end("other", f"e{number}", "", True, self.now)
            self.tracker.record_death(f"e{number}", self.now)
            self.now += 2 * REPORT_WINDOW_S
            self.tracker.tick(self.now)
        self.assertFalse(self.is_quarantined("good"))

    def test_content_that_was_abandoned_long_before_the_death(self):
        """Guards against blaming a content for a death long after its request has ended."""
        for number in range(QUARANTINE_CRASHES):
            self.abandon("good", f"e{number}")
            self.now += 2 * UNANSWERED_S
            self.tracker.tick(self.now)
            self.tracker.record_death(f"e{number}", self.now)
            self.now += 2 * REPORT_WINDOW_S
            self.tracker.tick(self.now)
        self.assertFalse(self.is_quarantined("good"))

    def test_ordinary_content_on_the_endpoint_is_not_refused(self):
        """Guards against refusing ordinary requests for crashes that another one caused."""
        for number in range(QUARANTINE_CRASHES + 2):
            self.crash("bad", f"other-{number}")
        self.assertTrue(self.is_quarantined("bad"))
        for number in range(QUARANTINE_CRASHES + 2):
            self.assertFalse(self.is_quarantined(f"other-{number}"))

    def test_content_that_always_runs_beside_a_crashing_one_is_isolated(self):
        """Guards against a pair that always runs together, so that neither is the sole suspect."""
        for _ in range(QUARANTINE_CRASHES + 2):
            self.crash("bad", "good")
        self.assertFalse(self.is_quarantined("good"))
        self.tracker.record_start("bad", "e")
        self.assertTrue(self.tracker.must_isolate("good", "e"))
        self.assertFalse(self.tracker.must_isolate("good", "f"))

    def test_contents_of_one_death_are_not_isolated(self):
        """Guards against isolating all requests of one dead endpoint from each other."""
        self.crash("first", "second")
        self.tracker.record_start("first", "e")
        self.assertLess(1, CRASHES_TO_SUSPECT)
        self.assertFalse(self.tracker.must_isolate("second", "e"))

    def test_completion_clears_a_content_and_is_reported(self):
        """Guards against crashes that add up over hours for a request that completes."""
        self.crash("good")
        self.complete("good")
        self.assertEqual(self.tracker.take_cleared(), Cleared(("good",)))
        for _ in range(QUARANTINE_CRASHES - 1):
            self.crash("good")
        self.assertFalse(self.is_quarantined("good"))

    def test_reports_of_two_entries_count_as_one_death(self):
        """Guards against counting one death twice because two entries reported it."""
        other = CrashTracker()
        for tracker in (self.tracker, other):
            tracker.record_start("bad", "e")
            tracker.record_death("e", self.now)
        for report in other.take_reports():
            self.tracker.add_report(report, self.now + REPORT_WINDOW_S / 2)
        self.tracker.tick(self.now + REPORT_WINDOW_S)
        self.assertEqual(len(self.tracker.state.crashes), 1)


if __name__ == "__main__":
    unittest.main()
