"""Sums of requests' outcomes and times, from which versions are compared."""

from __future__ import annotations

import math

import attrs

# Logarithms of normalised time are cut here (a factor of 20), so that one extreme request can't
# decide a test.
MAX_LOG_TIME = 3.0


@attrs.define
class Sums:
    """Sums of requests.

    Parameters
    ==========
    count, errors : float
        Requests, and those of them that failed.
    total, square : float
        Sum and sum of squares of the logarithm of normalised time of the others.
    """

    count: float = 0.0
    errors: float = 0.0
    total: float = 0.0
    square: float = 0.0

    def timed(self) -> float:
        """Return the number of requests that have a time."""
        return self.count - self.errors

    def variance(self) -> float:
        """Return the variance of the logarithm of normalised time; 0 for fewer than two times."""
        timed = self.timed()
        if timed < 2:
            return 0.0
        return max(0.0, self.square - self.total**2 / timed) / (timed - 1.0)

    def add(self, other: Sums) -> None:
        """Add other sums."""
        self.count += other.count
        self.errors += other.errors
        self.total += other.total
        self.square += other.square

    def decay(self, factor: float) -> None:
        """Multiply all sums."""
        self.count *= factor
        self.errors *= factor
        self.total *= factor
        self.square *= factor


def sums_of(expected_s: float, total_s: float, is_error: bool) -> Sums:
    """Return the sums of one request."""
    if is_error:
        return Sums(1.0, 1.0)
    ratio = math.log(max(total_s, 1e-6) / max(expected_s, 1e-6))
    value = min(max(ratio, -MAX_LOG_TIME), MAX_LOG_TIME)
    return Sums(1.0, 0.0, value, value * value)
