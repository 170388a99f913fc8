"""Tests of events, metrics and log lines."""

import unittest

import logbook

from mulberrygate.core import HybridClock
from mulberrygate.observe import EventRing, Metrics, logger


class EventsTest(unittest.TestCase):
    """Ring buffer of events."""

    def setUp(self):
        self.ring = EventRing("a", HybridClock(lambda: 1), size=6)
        for number in range(8):
            self.ring.add("t.e", str(number), request=f"r{number % 2}", endpoint="e")

    def details(self, limit: int, **subjects: str) -> list[str]:
        """Return the details of the events that match."""
        return [entry.event.detail for entry in self.ring.select(subjects, limit)]

    def test_newest_events_that_match_all_subjects(self):
        """Guards against a time line that shows old events, or those of other requests."""
        self.assertEqual(self.details(9), ["2", "3", "4", "5", "6", "7"])
        self.assertEqual(self.details(2, request="r1"), ["5", "7"])
        self.assertEqual(self.details(9, request="r0", endpoint="e"), ["2", "4", "6"])
        self.assertEqual(self.details(9, request="r0", endpoint="f"), [])
        self.assertEqual(self.details(9, move=""), [])
        self.assertEqual(self.details(0), [])


class MetricsTest(unittest.TestCase):
    """Text form of metrics."""

    def test_label_values_are_escaped(self):
        """Guards against a label value that ends its line and forges another metric."""
        metrics = Metrics()
        metrics.count("faults_total", endpoint='a"} 9\nb\\')
        line = metrics.text().splitlines()[1]
        self.assertEqual(line, 'mulberrygate_faults_total{endpoint="a\\"} 9\\nb\\\\"} 1')

    def test_large_counters_keep_all_digits(self):
        """Guards against rounding that hides the growth of a large byte counter."""
        metrics = Metrics()
        metrics.count("bytes_total", 123_456_789)
        metrics.count("bytes_total", 1)
        metrics.count("share_total", 0.25)
        metrics.gauge("depth", lambda: 12_345_678)
        lines = metrics.text().splitlines()
        self.assertIn("mulberrygate_bytes_total 123456790", lines)
        self.assertIn("mulberrygate_share_total 0.25", lines)
        self.assertIn("mulberrygate_depth 12345678", lines)

    def test_histogram_of_extreme_values(self):
        """Guards against an exception for a duration outside the histogram's range."""
        metrics = Metrics()
        for seconds in (-1.0, 0.0, 0.5, 1e9):
            metrics.observe("wait_seconds", seconds, tier="0")
        self.assertIn('mulberrygate_wait_seconds_count{tier="0"} 4', metrics.text().splitlines())


class LogTest(unittest.TestCase):
    """Log lines."""

    def test_value_with_a_line_break_stays_on_its_line(self):
        """Guards against a value from another system that forges a log line."""
        handler = logbook.TestHandler()
        with handler.applicationbound():
            logger("web").info("A test.", name="a\nweb: Forged.\x1b[0m", other="é")
        (record,) = handler.records
        self.assertEqual(record.message, "web: A test. name=a\\nweb: Forged.\\x1b[0m other=é")


if __name__ == "__main__":
    unittest.main()
