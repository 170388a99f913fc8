"""Sequential test of a new version against the previous one, over all strata of requests."""

from __future__ import annotations

import math
from collections.abc import Iterable

from mulberrygate.control.evidence import MAX_RUNS, Cell, StrongRun
from mulberrygate.control.stratum import StratumTest
from mulberrygate.core.sums import Sums
from mulberrygate.tables.model import Move

# The budget is split over at least this many strata besides that of all requests, so that the split
# changes little while routes and load buckets appear one after the other.
MIN_STRATA = 16
# Runs of at least this value are reported; smaller ones come and go by chance.
STRONG = 2.0

Stratum = tuple[str, int]
ALL_ROUTES = ""
ALL_LOADS = -1
POOLED: Stratum = (ALL_ROUTES, ALL_LOADS)


class VersionTest:
    """Sequential test of a new version over all strata.

    Parameters
    ==========
    move : Move
        Definition of a fault.
    budget : float
        Probability with which a good version may be called faulty. All requests together get half
        of it; the other strata share the rest.
    """

    def __init__(self, move: Move, budget: float):
        self.move = move
        self.budget = budget
        self.strata: dict[Stratum, StratumTest] = {POOLED: StratumTest(move)}
        self.touched: set[Stratum] = set()

    def add(self, increments: Iterable[tuple[Cell, Sums]], now: float) -> None:
        """Add increments; those of the previous version count first."""
        ordered = sorted(increments, key=lambda item: (item[0][1], item[0]))
        for (route, is_new, bucket), sums in ordered:
            for stratum in _strata_of(route, bucket):
                test = self._test(stratum)
                if (test.add_new if is_new else test.add_previous)(sums, now):
                    self.touched.add(stratum)

    def add_history(self, increments: Iterable[tuple[Cell, Sums]]) -> None:
        """Add sums of an earlier period as background only.

        Explanation
        ===========
        The share of the new version changed during that period, so that the two versions' sums stem
        from different times and a slowdown of the whole pool would look like a difference.
        """
        for (route, is_new, bucket), sums in increments:
            for stratum in _strata_of(route, bucket):
                self._test(stratum).add_history(sums, is_new)

    def strong_runs(self) -> list[StrongRun]:
        """Return the strongest runs."""
        found = [
            (route, bucket, kind, run.value, run.number)
            for (route, bucket), test in self.strata.items()
            for kind, run in enumerate(test.runs())
            if run.value >= STRONG
        ]
        return sorted(found, key=lambda run: -run[3])[:MAX_RUNS]

    def add_runs(self, runs: Iterable[StrongRun]) -> None:
        """Add the runs of a test on other requests.

        Explanation
        ===========
        Tests on disjoint requests are independent, so that the product of their likelihood ratios
        is one again; its number of restarts is the sum of theirs.
        """
        for route, bucket, kind, value, number in runs:
            tests = self._test((route, bucket)).runs()
            if 0 <= kind < len(tests):
                tests[kind].value = max(tests[kind].value, 0.0) + value
                tests[kind].number += number
                self.touched.add((route, bucket))

    def _test(self, stratum: Stratum) -> StratumTest:
        test = self.strata.get(stratum)
        if test is None:
            test = self.strata[stratum] = StratumTest(self.move)
        return test

    def pooled(self) -> StratumTest:
        """Return the test of all requests."""
        return self.strata[POOLED]

    def routes(self) -> dict[str, StratumTest]:
        """Return the tests by route."""
        return {
            route: test
            for (route, bucket), test in self.strata.items()
            if route != ALL_ROUTES and bucket == ALL_LOADS
        }

    def loads(self) -> dict[int, StratumTest]:
        """Return the tests by load bucket."""
        return {
            bucket: test
            for (route, bucket), test in self.strata.items()
            if route == ALL_ROUTES and bucket != ALL_LOADS
        }

    def strongest(self) -> tuple[float, str]:
        """Return the strongest evidence as a part of its threshold, and where it is."""
        return max((self._strength(stratum) for stratum in self.strata), default=(0.0, ""))

    def fault(self) -> str:
        """Return a fault that increments since the last call have shown, or an empty text."""
        if not self.touched:
            return ""
        touched, self.touched = self.touched, set()
        strength, text = max((self._strength(stratum) for stratum in touched), default=(0.0, ""))
        return text if strength >= 1 else ""

    def _strength(self, stratum: Stratum) -> tuple[float, str]:
        others = max(len(self.strata) - 1, MIN_STRATA)
        parts = 2 if stratum == POOLED else 2 * others
        strength, kind = self.strata[stratum].strength(math.log(parts / self.budget))
        return strength, f"{kind} {_describe(stratum)}"


def _strata_of(route: str, bucket: int) -> tuple[Stratum, ...]:
    return (POOLED, (route, ALL_LOADS), (ALL_ROUTES, bucket), (route, bucket))


def _describe(stratum: Stratum) -> str:
    route, bucket = stratum
    place = f"on route {route}" if route else "on all routes"
    return place if bucket == ALL_LOADS else f"{place} at load level {bucket}"
