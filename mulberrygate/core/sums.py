"""Sums over requests' outcomes and times, which version tests compare."""

from __future__ import annotations

import math

import attrs

# Logarithms of normalised time are clipped to this value (a factor of 20), so that one extreme
# request can't decide a version test.
MAX_LOG_TIME = 3.0


@attrs.define
class RequestSums:
    """Sums over a set of requests.

    The normalised time of a request is its total time divided by its expected time.

    Parameters
    ==========
    count, errors : float
        Number of requests, and of failed ones among them.
    log_sum, log_square_sum : float
        Sum, and sum of squares, of the logarithm of normalised time of requests that did not fail.
    """

    count: float = 0.0
    errors: float = 0.0
    log_sum: float = 0.0
    log_square_sum: float = 0.0

    def timed_count(self) -> float:
        """Return the number of requests that have a time, which are those that did not fail."""
        return self.count - self.errors

    def variance(self) -> float:
        """Return the variance of the logarithm of normalised time; 0 for fewer than two times."""
        count = self.timed_count()
        if count < 2:
            return 0.0
        return max(0.0, self.log_square_sum - self.log_sum**2 / count) / (count - 1.0)

    def add(self, other: RequestSums) -> None:
        """Add the sums over other requests."""
        self.count += other.count
        self.errors += other.errors
        self.log_sum += other.log_sum
        self.log_square_sum += other.log_square_sum

    def decay(self, factor: float) -> None:
        """Multiply all sums by a factor, so that older requests count less."""
        self.count *= factor
        self.errors *= factor
        self.log_sum *= factor
        self.log_square_sum *= factor


def request_sums(expected_s: float, total_s: float, is_error: bool) -> RequestSums:
    """Return the sums of one request."""
    if is_error:
        return RequestSums(1.0, 1.0)
    ratio = math.log(max(total_s, 1e-6) / max(expected_s, 1e-6))
    value = min(max(ratio, -MAX_LOG_TIME), MAX_LOG_TIME)
    return RequestSums(1.0, 0.0, value, value * value)
