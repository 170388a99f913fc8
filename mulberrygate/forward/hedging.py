"""Decisions about hedged requests: when a second copy may be sent, and how many.

Explanation
===========
A copy of a request that may be repeated is sent to another endpoint once the first is slower than a
quantile of its route's recent response times. See ``docs/design/hedged-requests.md``.
"""

from __future__ import annotations

import attrs
from hdrh.histogram import HdrHistogram

from mulberrygate.settings.product import HedgeSettings

# Response times are recorded in units of 0.1 ms up to ten minutes with one significant digit, which
# makes a histogram of 320 counters.
UNITS_PER_S = 10_000
HIGHEST_UNITS = 6_000_000
DIGITS = 1
# Each response time counts for one to two of these periods.
PERIOD_S = 20.0
# Time for which a computed quantile is used again; computing it takes about 50 us.
QUANTILE_AGE_S = 0.5
# Allowance of a pool, in first sends: after a time without slow answers, a burst of them gets at
# most one copy and the share of this many first sends.
BURST_SENDS = 50
MEDIAN = 0.5
# A process whose timers are later than this is slow itself, and reads answers late.
MAX_TIMER_DELAY_S = 0.03


class RecentTimes:
    """Quantiles of the response times of the last 20 to 40 seconds.

    Explanation
    ===========
    Two histograms record all times, and one of them begins anew each period; the older is read.

    Attributes
    ==========
    known : dict[float, tuple[float, float]]
        Last computed value of each quantile in seconds, and the time at which it was computed.

    Examples
    ========
    >>> from mulberrygate.forward.hedging import RecentTimes
    >>> times = RecentTimes(now=0.0)
    >>> for number in range(100):
    ...     times.record(0.01 * (number + 1), now=1.0)
    >>> round(times.quantile_s(0.95, now=1.0), 1), times.count(now=1.0)
    (1.0, 100)
    >>> times.count(now=60.0)
    0
    """

    def __init__(self, now: float):
        self.older, self.newer = self._new(), self._new()
        self.period = int(now // PERIOD_S)
        self.known: dict[float, tuple[float, float]] = {}

    @staticmethod
    def _new() -> HdrHistogram:
        return HdrHistogram(1, HIGHEST_UNITS, DIGITS)

    def _forget_old(self, now: float) -> None:
        period = int(now // PERIOD_S)
        if period == self.period:
            return
        self.older = self.newer if period == self.period + 1 else self._new()
        self.newer = self._new()
        self.period = period
        self.known.clear()

    def record(self, seconds: float, now: float) -> None:
        """Record a response time."""
        self._forget_old(now)
        units = min(HIGHEST_UNITS, max(1, int(seconds * UNITS_PER_S)))
        self.older.record_value(units)
        self.newer.record_value(units)

    def count(self, now: float) -> int:
        """Return the number of recent response times."""
        self._forget_old(now)
        return self.older.get_total_count()

    def quantile_s(self, quantile: float, now: float) -> float:
        """Return a quantile in seconds, rounded up by at most a tenth, 0 if there are no times."""
        self._forget_old(now)
        value, at = self.known.get(quantile, (0.0, now - QUANTILE_AGE_S))
        if now - at >= QUANTILE_AGE_S:
            value = self.older.get_value_at_percentile(100.0 * quantile) / UNITS_PER_S
            self.known[quantile] = value, now
        return value


class CopyAllowance:
    """Token bucket that limits the copies to a share of a pool's first sends.

    Attributes
    ==========
    limit, level : float
        Most copies that may be sent at once, and those that may be sent now, with fractions.

    Examples
    ========
    >>> from mulberrygate.forward.hedging import CopyAllowance
    >>> allowance = CopyAllowance(0.02)
    >>> taken = 0
    >>> for _ in range(1000):
    ...     allowance.count_first_send()
    ...     if allowance.has_copy():
    ...         allowance.take()
    ...         taken += 1
    >>> taken
    20
    """

    def __init__(self, share: float):
        self.share = share
        self.limit = 1.0 + BURST_SENDS * share
        # It begins empty, so that a process that restarts often sends no more copies than others.
        self.level = 0.0

    def count_first_send(self) -> None:
        """Add the share of one first send."""
        self.level = min(self.limit, self.level + self.share)

    def has_copy(self) -> bool:
        """Return whether a copy may be sent."""
        # Sums of shares are rounded, and 50 times 0.02 must allow a copy.
        return self.level >= 1.0 - 1e-9

    def take(self) -> None:
        """Take a copy, which `has_copy` must allow."""
        self.level = max(0.0, self.level - 1.0)


@attrs.frozen
class HedgeState:
    """State of a call whose first send is slow, on which the decision about its copy depends.

    Parameters
    ==========
    left_s : float
        Seconds until the call's deadline.
    is_stopping : bool
        Whether this process stops.
    is_suspected : bool
        Whether the call, or a part of its prompt, may crash endpoints, or it is sent as a trial.
    has_head : bool
        Whether the answer to the first send has begun to arrive.
    is_paused : bool
        Whether an endpoint of the pool wants no calls of this instance.
    may_retry : bool
        Whether the retry budget of the pool has a retry to spare.
    timer_delay_s : float
        Seconds by which the decision is later than it was due.
    """

    left_s: float
    is_stopping: bool = False
    is_suspected: bool = False
    has_head: bool = False
    is_paused: bool = False
    may_retry: bool = True
    timer_delay_s: float = 0.0


class Hedging:
    """Decides when a second copy of a request may be sent.

    Parameters
    ==========
    settings : HedgeSettings
        Limits that the operators have set.

    Attributes
    ==========
    times : dict[str, RecentTimes]
        Recent response times by route.
    allowances : dict[str, CopyAllowance]
        Copies that may be sent to each pool.
    """

    def __init__(self, settings: HedgeSettings):
        self.settings = settings
        self.times: dict[str, RecentTimes] = {}
        self.allowances: dict[str, CopyAllowance] = {}

    def retain(self, routes: set[str], pools: set[str]) -> None:
        """Forget routes and pools that are no longer in force."""
        self.times = {name: item for name, item in self.times.items() if name in routes}
        self.allowances = {name: item for name, item in self.allowances.items() if name in pools}

    def allowance(self, pool: str) -> CopyAllowance:
        """Return the allowance of a pool."""
        found = self.allowances.get(pool)
        if found is None:
            found = self.allowances[pool] = CopyAllowance(self.settings.share)
        return found

    def record(self, route: str, seconds: float, now: float) -> None:
        """Record the time of a first send of a route from the send to the whole answer.

        Explanation
        ===========
        A send that was cancelled because its copy answered first counts with its time until then.
        That is at least the delay, so the quantile stays right. Times of copies aren't recorded:
        otherwise the slow answers would vanish from the times, and ever faster ones get a copy.
        """
        times = self.times.get(route)
        if times is None:
            times = self.times[route] = RecentTimes(now)
        times.record(seconds, now)

    def count_times(self, route: str, now: float) -> int:
        """Return the number of recent response times of a route."""
        times = self.times.get(route)
        return times.count(now) if times is not None else 0

    def delay_s(self, route: str, now: float) -> float | None:
        """Return the seconds after which a copy may be sent, ``None`` if there is none.

        Explanation
        ===========
        With fewer than ``min_samples`` recent times it is ``initial_delay_s`` of the settings,
        which is ``None`` unless the operators have set it.
        """
        settings, times = self.settings, self.times.get(route)
        if times is None or times.count(now) < settings.min_samples:
            return settings.initial_delay_s
        return max(settings.min_delay_s, times.quantile_s(settings.quantile, now))

    def denial(self, route: str, pool: str, state: HedgeState, now: float) -> str:
        """Return why a slow request gets no copy, empty if it may get one.

        Explanation
        ===========
        The reasons are labels of the metric ``hedges_denied_total``; see ``docs/OPERATIONS.md``.
        """
        if state.is_stopping:
            return "stopping"
        if state.is_suspected:
            return "suspected"
        if state.has_head:
            return "answering"
        if state.is_paused:
            return "paused"
        if state.timer_delay_s > MAX_TIMER_DELAY_S:
            return "entry_busy"
        times = self.times.get(route)
        if state.left_s <= (times.quantile_s(MEDIAN, now) if times is not None else 0.0):
            return "no_time"
        if not self.allowance(pool).has_copy():
            return "share"
        return "" if state.may_retry else "retry_budget"
