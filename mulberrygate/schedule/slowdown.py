"""Slowdown of endpoints on machines that they share with other work."""

from __future__ import annotations

import collections
import math
import statistics

# Time constant with which a reported figure returns to the endpoint's usual one, since the load of
# a shared machine changes several times a second.
DECAY_S = 0.25
# Number of the latest reports whose median is the usual figure. Most of the time a machine isn't
# disturbed, and a change of more than half of these is one of the endpoint itself.
USUAL_REPORTS = 9
# Least time between two of these, since many answers may state the same disturbance.
SAMPLE_S = 0.4
# Figures that are assumed before the first report, so that one or two of a moment at which the
# machine is disturbed don't count as the endpoint's speed.
ASSUMED_FIGURES = (1.0, 1.0)
# Time constant of the means of the figures, and the largest weight of one report in them.
MEAN_S = 10.0
MAX_MEAN_GAIN = 0.1
# Bounds of a figure; others are reported in error.
SMALLEST_FIGURE, LARGEST_FIGURE = 0.1, 20.0
# Smaller deviations from the usual figure aren't kept.
NEGLIGIBLE = 0.01
# Relative change of an endpoint's figure from which an entry reports it at once rather than at the
# end of a request.
URGENT_CHANGE = 0.25


def is_urgent(figure: float, known: float) -> bool:
    """Return whether a figure has to reach the owner of the pool before it is outdated.

    Parameters
    ==========
    known : float
        Figure that the entry heard before from the endpoint, 1 if none.
    """
    return abs(figure - known) >= URGENT_CHANGE * known


def _weight_of(seconds: float) -> float:
    """Return the seconds for which a deviation counts within the next ``seconds``."""
    return DECAY_S * -math.expm1(-seconds / DECAY_S)


class Slowdown:
    """Time that work takes at one endpoint, from the figures that it states.

    Explanation
    ===========
    The usual figure of an endpoint tells its speed among those of its pool. The deviation of the
    last figure from the usual one decays exponentially, so what is not confirmed is soon forgotten.
    Observed times are divided by the mean figure during a run before a speed is learned from them.

    Attributes
    ==========
    figures : collections.deque[float]
        The latest figures.
    usual : float
        Median of the latest figures; 1 without a report.
    mean_ratio : float
        Mean of the figures relative to the usual one, as it is included in learned speeds.
    excess : float
        Decayed deviation of the last figure from the mean, relative to it; 0 without a report.
    spread : float
        Mean deviation of the reported figures from the usual one, relative to it. What isn't known
        of the machine between two reports is of this size.
    integral : float
        Integral of ``excess`` over time, until the last update.

    Examples
    ========
    >>> from mulberrygate.schedule.slowdown import Slowdown
    >>> slowdown = Slowdown()
    >>> slowdown.delay_s(2.0)
    0.0
    >>> slowdown.report(1.0, heard_at=0.0, now=0.0)
    >>> slowdown.report(3.0, heard_at=0.5, now=0.5)
    >>> slowdown.usual, slowdown.excess, round(slowdown.delay_s(2.0), 2)
    (1.0, 2.0, 0.5)
    >>> slowdown.advance(3.0)
    >>> slowdown.excess
    0.0
    """

    __slots__ = (
        "figures",
        "usual",
        "mean_ratio",
        "excess",
        "spread",
        "integral",
        "sampled_at",
        "updated_at",
        "heard_at",
    )

    def __init__(self):
        self.figures = collections.deque(ASSUMED_FIGURES, USUAL_REPORTS)
        self.usual = self.mean_ratio = 1.0
        self.excess = 0.0
        self.spread = 0.0
        self.integral = 0.0
        self.updated_at = self.heard_at = self.sampled_at = -math.inf

    @property
    def is_stated(self) -> bool:
        """Whether the endpoint states figures."""
        return self.heard_at > -math.inf

    def report(self, figure: float, heard_at: float, now: float) -> None:
        """Take over a figure, unless a later one is known.

        Parameters
        ==========
        figure : float
            Time that work takes, relative to what is usual for the endpoint's service.
        heard_at : float
            Monotonic time in seconds of the answer that stated it.
        """
        if heard_at <= self.heard_at:
            return
        figure = min(LARGEST_FIGURE, max(SMALLEST_FIGURE, figure))
        self.advance(now)
        if heard_at >= self.sampled_at + SAMPLE_S:
            self.sampled_at = heard_at
            self.figures.append(figure)
            self.usual = statistics.median(self.figures)
        gain = min(MAX_MEAN_GAIN, -math.expm1((self.heard_at - heard_at) / MEAN_S))
        if len(self.figures) > 2 * len(ASSUMED_FIGURES):
            self.mean_ratio += gain * (figure / self.usual - self.mean_ratio)
        self.heard_at = heard_at
        deviation = figure / self.usual / self.mean_ratio - 1.0
        self.spread += gain * (abs(deviation) - self.spread)
        self.excess = deviation * math.exp(min(0.0, heard_at - now) / DECAY_S)
        self._drop_negligible()

    def advance(self, now: float) -> None:
        """Let the deviation decay until now."""
        if now <= self.updated_at:
            return
        if self.excess:
            seconds = now - self.updated_at
            self.integral += self.excess * _weight_of(seconds)
            self.excess *= math.exp(-seconds / DECAY_S)
            self._drop_negligible()
        self.updated_at = now

    def integral_at(self, now: float) -> float:
        """Return what the integral will be at a time if no figure comes before."""
        return self.integral + self.excess * _weight_of(max(0.0, now - self.updated_at))

    def _drop_negligible(self) -> None:
        if abs(self.excess) < NEGLIGIBLE:
            self.excess = 0.0

    def delay_s(self, seconds: float) -> float:
        """Return how much longer work takes that usually takes some seconds and starts now."""
        return self.excess * _weight_of(seconds) if self.excess else 0.0

    def mean_since(self, integral: float, seconds: float) -> float:
        """Return the mean figure over the last seconds.

        Parameters
        ==========
        integral : float
            Value of ``integral`` at the beginning of these seconds.
        """
        if seconds <= 0:
            return self.usual * (1.0 + self.excess)
        return self.usual * max(SMALLEST_FIGURE, 1.0 + (self.integral - integral) / seconds)

    def mean_before(self, figure: float, seconds: float) -> float:
        """Return the mean figure over the seconds before one was stated."""
        figure = min(LARGEST_FIGURE, max(SMALLEST_FIGURE, figure))
        excess = figure / self.usual / self.mean_ratio - 1.0
        weight = _weight_of(seconds) / seconds if seconds > 0 else 1.0
        return self.usual * (1.0 + excess * weight)
