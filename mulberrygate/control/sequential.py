"""Sequential test of a new version against the previous one, in one segment of requests.

Explanation
===========
The test works on increments of sums, so that the guard can feed it single requests and the leader's
controller can feed it the sums of a message. For each segment (all requests, a route, a load
bucket, a route in a load bucket) and each of a few fault sizes it accumulates the logarithm of a
likelihood ratio of "this fault" against "half of the smallest fault". The null hypothesis lies
between the previous version and the smallest fault, so that a version that is worse by less than
half of the smallest fault is not withdrawn by any amount of data.

A sum that falls below `RESTART_BELOW` starts again at 0, since otherwise a fault that begins late
would first have to outweigh all the good evidence before it. Under the null hypothesis the
exponential of each such run is a supermartingale that starts at 1, so the probability that it ever
reaches ``1 / a`` is at most ``a`` (Ville's inequality). Run number ``r`` gets the part
``1 / (2.11 (r+1) ln²(r+1))`` of its segment's budget; these parts add up to at most 1. The error
rate and the mean time of the previous version are estimates. A margin (for the rate) and a larger
variance (for times) allow for their error, which makes the bound approximate. ``bench/moves.py``
measures how well it holds.
"""

from __future__ import annotations

import math

import attrs

from mulberrygate.core.sums import RequestSums
from mulberrygate.tables.model import Move

RESTART_BELOW = -2.0
RUN_WEIGHT_SUM = 2.11
# Requests of the new version are compared in batches with those of the previous version in the same
# period, so that a slowdown or an outage of both versions doesn't count as a fault of the new one.
# A batch has at least this many requests of the previous version.
MIN_BATCH = 5.0
# Largest increment of one batch towards a fault, in nats. At least three batches must agree, since
# a few requests of the previous version may escape a common outage by chance.
MAX_STEP = 6.0
# Weight of the previous version's recent mean time, in requests of the batch. A larger weight makes
# the test faster but more likely to take a common slowdown for a fault.
DRIFT_COUNT = 4.0
# Half-life of the previous version's recent sums, and shortest time between two decays of them.
HALF_LIFE_S = 40.0
DECAY_STEP_S = 0.5
# Weight, in requests, of the long-run error rate in the recent one, for segments with few requests.
BLEND_COUNT = 60.0
# Prior for a segment with few requests of the previous version: 1% errors with the weight of 10
# requests, and a standard deviation of 0.5 for the logarithm of time.
PRIOR_COUNT = 10.0
PRIOR_ERRORS = 0.1
PRIOR_VARIANCE = 0.25
MIN_VARIANCE = 0.01
# Factor on the variance, since times have heavier tails than the normal distribution of the test.
VARIANCE_MARGIN = 1.3
# Fault sizes that are tested for: multiples of the smallest excess of errors, one fixed error rate,
# and multiples of the logarithm of the smallest slowdown.
ERROR_SIZES = (1.5, 5.0)
ERROR_RATE = 0.5
TIME_SIZES = (1.25, 3.0)
# Logarithm of the number of runs in a segment, which share the segment's budget.
LOG_RUN_COUNT = math.log(len(ERROR_SIZES) + 1 + len(TIME_SIZES))
# Requests of the previous version that a segment needs as a baseline before batches are compared.
MIN_BASELINE = 20.0
# Excess of errors of versions that count as good, as fractions of the smallest fault, and their
# weights. A version without excess is the likeliest: equal weights would cost it ln(1.8) nats,
# which is about 30 requests without error at an excess of 2%.
GOOD_SIZES = (0.0, 0.25, 0.5)
GOOD_WEIGHTS = (0.6, 0.2, 0.2)
# Floor of the sums of evidence for the new version; lets later evidence outweigh a bad period.
ACCEPT_FLOOR = -5.0


@attrs.frozen
class Baseline:
    """Error rate and times that the previous version predicts for a segment.

    Parameters
    ==========
    error_rate, rate_error : float
        Error rate and its standard error.
    mean, variance : float
        Mean and variance of the logarithm of normalised time.
    """

    error_rate: float
    rate_error: float
    mean: float
    variance: float


@attrs.frozen
class Acceptance:
    """Logarithms of likelihood ratios of a good version against one with the smallest fault.

    Parameters
    ==========
    errors : tuple[float, ...]
        Evidence from errors, for each of `GOOD_SIZES`.
    time : float
        Evidence from times.
    """

    errors: tuple[float, ...] = (0.0,) * len(GOOD_SIZES)
    time: float = 0.0

    def since(self, start: Acceptance) -> float:
        """Return the weaker of the two kinds of evidence since an earlier time, in nats.

        Explanation
        ===========
        The weighted mean over `GOOD_SIZES` is a likelihood ratio too. If only a version without
        excess counted as good, two chance errors more than expected would cost hundreds of
        requests.
        """
        gains = [now - then for now, then in zip(self.errors, start.errors, strict=True)]
        most = max(gains)
        terms = (w * math.exp(g - most) for w, g in zip(GOOD_WEIGHTS, gains, strict=True))
        return min(most + math.log(sum(terms)), self.time - start.time)


@attrs.define
class Run:
    """Sum of logarithms of a likelihood ratio since its last restart, as in a CUSUM test."""

    value: float = 0.0
    number: int = 1

    def add(self, increment: float) -> None:
        """Add an increment; restart at 0 if the sum falls below `RESTART_BELOW`."""
        self.value += increment
        if self.value < RESTART_BELOW:
            self.value = 0.0
            self.number += 1

    def penalty(self) -> float:
        """Return the amount that the run's number adds to its threshold."""
        position = self.number + 1
        return math.log(RUN_WEIGHT_SUM * position) + 2 * math.log(math.log(position))


class SequentialTest:
    """Sequential test of one segment.

    Parameters
    ==========
    move : Move
        Definition of a fault.
    """

    def __init__(self, move: Move):
        self.excess = move.max_error_excess
        self.slowdown = math.log(move.max_slowdown)
        self.previous = RequestSums()
        self.previous_recent = RequestSums()
        self.previous_batch = RequestSums()
        self.new = RequestSums()
        self.new_batch = RequestSums()
        self.decayed_at: float | None = None
        self.error_runs = [Run() for _ in (*ERROR_SIZES, ERROR_RATE)]
        self.time_runs = [Run() for _ in TIME_SIZES]
        self.accept_errors = [0.0 for _ in GOOD_SIZES]
        self.accept_time = 0.0

    def add_previous(self, sums: RequestSums, now: float) -> bool:
        """Add requests of the previous version; return whether a batch was compared."""
        self._decay(now)
        self.previous.add(sums)
        self.previous_batch.add(sums)
        return self._compare_batch()

    def add_new(self, sums: RequestSums, now: float) -> bool:
        """Add requests of the new version; return whether a batch was compared."""
        self._decay(now)
        self.new.add(sums)
        self.new_batch.add(sums)
        return self._compare_batch()

    def add_history(self, sums: RequestSums, is_new: bool) -> None:
        """Add requests of an unknown earlier period, which are not compared."""
        (self.new if is_new else self.previous).add(sums)

    def _compare_batch(self) -> bool:
        """Compare both versions' requests since the last batch, if there are enough."""
        old, new = self.previous_batch, self.new_batch
        if old.count < MIN_BATCH or new.count == 0:
            return False
        if self.previous.count >= MIN_BASELINE:
            baseline = self.baseline()
            self._add_errors(new, baseline)
            if new.timed_count() > 0:
                self._add_times(new, baseline)
        self.previous_recent.add(old)
        self.previous_batch, self.new_batch = RequestSums(), RequestSums()
        return True

    def baseline(self) -> Baseline:
        """Return the previous version's prediction for the current batch."""
        recent, whole, batch = self.previous_recent, self.previous, self.previous_batch
        long_rate = (whole.errors + PRIOR_ERRORS) / (whole.count + PRIOR_COUNT)
        weight = recent.count + batch.count + BLEND_COUNT
        rate = (recent.errors + batch.errors + BLEND_COUNT * long_rate) / weight
        rate_error = math.sqrt(rate * (1 - rate) / weight)
        timed = max(whole.timed_count(), 1.0)
        long_mean = whole.log_sum / timed
        spread = max(whole.log_square_sum - timed * long_mean * long_mean, 0.0)
        variance = (spread + PRIOR_COUNT * PRIOR_VARIANCE) / (timed + PRIOR_COUNT)
        recent_mean = (recent.log_sum + long_mean) / (recent.timed_count() + 1.0)
        mean = (batch.log_sum + DRIFT_COUNT * recent_mean) / (batch.timed_count() + DRIFT_COUNT)
        noise = 1 + self.new_batch.timed_count() / (batch.timed_count() + DRIFT_COUNT)
        return Baseline(
            max(rate, batch.errors / batch.count),
            rate_error,
            mean,
            max(variance, MIN_VARIANCE) * VARIANCE_MARGIN * noise,
        )

    def _decay(self, now: float) -> None:
        if self.decayed_at is None:
            self.decayed_at = now
        elif now >= self.decayed_at + DECAY_STEP_S:
            self.previous_recent.decay(0.5 ** ((now - self.decayed_at) / HALF_LIFE_S))
            self.decayed_at = now

    def _add_errors(self, sums: RequestSums, baseline: Baseline) -> None:
        rate = baseline.error_rate
        null = min(rate + self.excess / 2 + baseline.rate_error, 0.8)
        sizes = [rate + size * self.excess for size in ERROR_SIZES] + [ERROR_RATE]
        for run, size in zip(self.error_runs, sizes, strict=True):
            if size > null * 1.1:
                run.add(min(_error_ratio(sums, min(size, 0.95), null), MAX_STEP))
        fault = min(rate + self.excess, 0.99)
        for number, size in enumerate(GOOD_SIZES):
            good = min(max(rate + size * self.excess, 1e-4), 0.98)
            value = self.accept_errors[number] + _error_ratio(sums, good, fault)
            self.accept_errors[number] = max(value, ACCEPT_FLOOR)

    def _add_times(self, sums: RequestSums, baseline: Baseline) -> None:
        null = baseline.mean + self.slowdown / 2
        for run, size in zip(self.time_runs, TIME_SIZES, strict=True):
            fault = baseline.mean + size * self.slowdown
            run.add(min(_time_ratio(sums, fault, null, baseline.variance), MAX_STEP))
        slow = baseline.mean + self.slowdown
        ratio = _time_ratio(sums, baseline.mean, slow, baseline.variance)
        self.accept_time = max(self.accept_time + ratio, ACCEPT_FLOOR)

    def acceptance(self) -> Acceptance:
        """Return the evidence for the new version so far."""
        return Acceptance(tuple(self.accept_errors), self.accept_time)

    def runs(self) -> list[Run]:
        """Return all runs, those of errors first."""
        return self.error_runs + self.time_runs

    def threshold_fraction(self, threshold: float) -> tuple[float, str]:
        """Return the strongest run as a fraction of its threshold (1 is a fault), and its kind."""
        limit = threshold + LOG_RUN_COUNT
        error = max(run.value / (limit + run.penalty()) for run in self.error_runs)
        time = max(run.value / (limit + run.penalty()) for run in self.time_runs)
        return max((error, "errors"), (time, "time"))


def _error_ratio(sums: RequestSums, rate: float, against: float) -> float:
    return sums.errors * math.log(rate / against) + sums.timed_count() * math.log(
        (1 - rate) / (1 - against)
    )


def _time_ratio(sums: RequestSums, mean: float, against: float, variance: float) -> float:
    return (mean - against) / variance * (sums.log_sum - sums.timed_count() * (mean + against) / 2)
