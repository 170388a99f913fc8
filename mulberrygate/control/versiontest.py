"""Sequential test of a new version against the previous one, over all segments of requests.

Explanation
===========
A segment is a pair of a route and a load bucket; either can be "all".
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from mulberrygate.control.evidence import MAX_RUNS, Cell, StrongRun
from mulberrygate.control.sequential import SequentialTest
from mulberrygate.core.sums import RequestSums
from mulberrygate.tables.model import Move

# The budget is split over at least this many segments besides that of all requests, so that the
# split changes little while routes and load buckets appear one after the other.
MIN_SEGMENTS = 16
# Runs of at least this value, in nats, are reported; smaller ones come and go by chance.
MIN_STRONG_RUN = 2.0

Segment = tuple[str, int]
ALL_ROUTES = ""
ALL_LOADS = -1
POOLED: Segment = (ALL_ROUTES, ALL_LOADS)


class VersionTest:
    """Sequential test of a new version over all segments.

    Parameters
    ==========
    move : Move
        Definition of a fault.
    budget : float
        Probability with which a good version may be called faulty. All requests together get half
        of it; the other segments share the rest.
    """

    def __init__(self, move: Move, budget: float):
        self.move = move
        self.budget = budget
        self.segments: dict[Segment, SequentialTest] = {POOLED: SequentialTest(move)}
        self.updated: set[Segment] = set()

    def add(self, increments: Iterable[tuple[Cell, RequestSums]], now: float) -> None:
        """Add increments; those of the previous version are added first."""
        ordered = sorted(increments, key=lambda item: (item[0][1], item[0]))
        for (route, is_new, bucket), sums in ordered:
            for segment in _segments_of(route, bucket):
                test = self._test(segment)
                if (test.add_new if is_new else test.add_previous)(sums, now):
                    self.updated.add(segment)

    def add_history(self, increments: Iterable[tuple[Cell, RequestSums]]) -> None:
        """Add sums of an earlier period as background only.

        Explanation
        ===========
        The share of the new version changed during that period, so that the two versions' sums stem
        from different times and a slowdown of the whole pool would look like a difference.
        """
        for (route, is_new, bucket), sums in increments:
            for segment in _segments_of(route, bucket):
                self._test(segment).add_history(sums, is_new)

    def strong_runs(self) -> list[StrongRun]:
        """Return the strongest runs, strongest first, at most `MAX_RUNS`."""
        found = [
            (route, bucket, kind, run.value, run.number)
            for (route, bucket), test in self.segments.items()
            for kind, run in enumerate(test.runs())
            if run.value >= MIN_STRONG_RUN
        ]
        return sorted(found, key=lambda run: -run[3])[:MAX_RUNS]

    def add_runs(self, runs: Iterable[StrongRun]) -> None:
        """Add the runs of a test on other requests.

        Explanation
        ===========
        Tests on disjoint requests are independent, so that the product of their likelihood ratios
        is a likelihood ratio too. The numbers of restarts add up.
        """
        for route, bucket, kind, value, number in runs:
            tests = self._test((route, bucket)).runs()
            if 0 <= kind < len(tests):
                tests[kind].value = max(tests[kind].value, 0.0) + value
                tests[kind].number += number
                self.updated.add((route, bucket))

    def _test(self, segment: Segment) -> SequentialTest:
        test = self.segments.get(segment)
        if test is None:
            test = self.segments[segment] = SequentialTest(self.move)
        return test

    def pooled(self) -> SequentialTest:
        """Return the test of all requests."""
        return self.segments[POOLED]

    def routes(self) -> dict[str, SequentialTest]:
        """Return the tests by route."""
        return {
            route: test
            for (route, bucket), test in self.segments.items()
            if route != ALL_ROUTES and bucket == ALL_LOADS
        }

    def loads(self) -> dict[int, SequentialTest]:
        """Return the tests by load bucket."""
        return {
            bucket: test
            for (route, bucket), test in self.segments.items()
            if route == ALL_ROUTES and bucket != ALL_LOADS
        }

    def strongest(self) -> tuple[float, str]:
        """Return the strongest evidence as a fraction of its threshold, and a description of it."""
        return max(
            (self._threshold_fraction(segment) for segment in self.segments), default=(0.0, "")
        )

    def detect_fault(self) -> str:
        """Return the fault shown by increments since the last call, or an empty text."""
        if not self.updated:
            return ""
        updated, self.updated = self.updated, set()
        strength, text = max(
            (self._threshold_fraction(segment) for segment in updated), default=(0.0, "")
        )
        return text if strength >= 1 else ""

    def _threshold_fraction(self, segment: Segment) -> tuple[float, str]:
        others = max(len(self.segments) - 1, MIN_SEGMENTS)
        parts = 2 if segment == POOLED else 2 * others
        strength, kind = self.segments[segment].threshold_fraction(math.log(parts / self.budget))
        return strength, f"{kind} {_describe(segment)}"


def _segments_of(route: str, bucket: int) -> tuple[Segment, ...]:
    return (POOLED, (route, ALL_LOADS), (ALL_ROUTES, bucket), (route, bucket))


def _describe(segment: Segment) -> str:
    route, bucket = segment
    place = f"on route {route}" if route else "on all routes"
    return place if bucket == ALL_LOADS else f"{place} at load level {bucket}"
