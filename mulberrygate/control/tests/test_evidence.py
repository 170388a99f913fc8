"""Tests of evidence messages and their increments."""

import unittest

from mulberrygate.control.evidence import (
    EvidenceCollector,
    EvidenceIncrements,
    runs_of,
)
from mulberrygate.core.sums import RequestSums, request_sums
from mulberrygate.core.wire import decode, encode


class EvidenceTest(unittest.TestCase):
    def setUp(self):
        self.collector = EvidenceCollector("lamp", 2, "i1", 1)
        self.evidence = EvidenceIncrements()

    def test_increments_survive_loss_and_repetition(self):
        """Guards against requests that are counted twice or never."""
        cell = ("care", True, 1)
        self.collector.add(cell, request_sums(1.0, 2.0, False))
        first = self.collector.message()
        self.collector.add(cell, request_sums(1.0, 1.0, True))
        self.collector.message()
        self.collector.add(cell, request_sums(1.0, 1.0, False))
        last = self.collector.message()
        self.assertEqual(self.evidence.increments(first)[cell].count, 1)
        found = self.evidence.increments(last)[cell]
        self.assertEqual((found.count, found.errors), (2, 1))
        self.assertEqual(self.evidence.increments(last), {})
        self.assertEqual(self.evidence.increments(first), {})

    def test_first_sums_are_separate(self):
        """Guards against a new leader that treats sums of several stages as one period."""
        cell = ("care", False, 0)
        self.collector.add(cell, request_sums(1, 1, False))
        found, first = self.evidence.split_first(self.collector.message())
        self.assertEqual(found, first)
        self.collector.add(cell, request_sums(1, 1, False))
        found, first = self.evidence.split_first(self.collector.message())
        self.assertEqual((found[cell].count, first), (1, {}))

    def test_message_is_small_and_all_cells_arrive(self):
        """Guards against a message that grows with the number of routes, and lost cells."""
        for number in range(60):
            for is_new in (False, True):
                cell = (f"route-with-a-long-name-{number}", is_new, number % 3)
                self.collector.add(cell, RequestSums(9999, 99, -3000.0, 9000.0))
        runs = [("route-with-a-long-name-1", 2, 1, 12.5, 3)] * 4
        seen = set()
        for _ in range(60):
            message = self.collector.message("errors on all routes" * 9, runs)
            self.assertLess(len(encode(message)[1]), 800)
            self.assertEqual(decode(*encode(message)), message)
            seen |= self.evidence.increments(message).keys()
        self.assertEqual(len(seen), 120)

    def test_both_versions_travel_together(self):
        """Guards against a comparison of different periods at the leader."""
        for number in range(30):
            for is_new in (False, True):
                self.collector.add((f"r{number}", is_new, 0), RequestSums(1.0 + number))
        cells = [(cell[0], cell[2]) for cell in self.collector.message().cells]
        self.assertTrue(all(cells.count(cell) == 2 for cell in cells))

    def test_runs(self):
        """Guards against runs that are changed by encoding and decoding them."""
        run = ("care", -1, 2, 7.25, 4)
        message = self.collector.message("", [run, ("", -1, 0, 3.0, 1)])
        self.assertEqual(runs_of(message), [run, ("", -1, 0, 3.0, 1)])

    def test_malformed_cells_are_left_out(self):
        """Guards against a malformed message that stops the leader."""
        message = self.collector.message()
        for cells in (((5, 1, 1, 1, 0, 0, 0),), ((0,),)):
            broken = type(message)("lamp", 2, "i1", 1, 9, ("care",), cells)
            self.assertEqual(self.evidence.increments(broken), {})
