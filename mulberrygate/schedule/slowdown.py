"""Slowdown of endpoints on machines that they share with other work."""

from __future__ import annotations

import math

# Time constant with which a reported figure returns to the endpoint's usual one, since the load of
# a shared machine changes several times a second.
DECAY_S = 0.25
# Time constant of the usual figure, and the largest weight of one report in it. A slowdown that
# lasts becomes usual within some seconds, and is then learned as the endpoint's own speed.
USUAL_S = 10.0
MAX_USUAL_GAIN = 0.1
# Bounds of a figure; others are reported in error.
SMALLEST_FIGURE, LARGEST_FIGURE = 0.1, 20.0
# Smaller deviations from the usual figure aren't kept.
NEGLIGIBLE = 0.01
# Deviation from 1 from which an entry reports a figure at once rather than at the end of a request.
URGENT_DEVIATION = 0.25


def is_urgent(figure: float) -> bool:
    """Return whether a figure has to reach the owner of the pool before it is outdated."""
    return abs(figure - 1.0) >= URGENT_DEVIATION


def _weight_of(seconds: float) -> float:
    """Return the seconds for which a deviation counts within the next ``seconds``."""
    return DECAY_S * -math.expm1(-seconds / DECAY_S)


class Slowdown:
    """Present time of work at one endpoint relative to its usual time, from reports.

    Explanation
    ===========
    The deviation of the last report from the usual figure decays exponentially, so what is not
    confirmed is soon forgotten. Its integral gives the mean over a request's run, by which
    observed times are divided before a speed is learned from them.

    Attributes
    ==========
    usual : float
        Mean of the reported figures.
    excess : float
        Decayed deviation from the usual figure, relative to it; 0 without a report.
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
    >>> slowdown.report(3.0, heard_at=0.0, now=0.0)
    >>> round(slowdown.usual, 2), round(slowdown.excess, 2), round(slowdown.delay_s(2.0), 2)
    (1.2, 1.5, 0.37)
    >>> slowdown.advance(3.0)
    >>> slowdown.excess
    0.0
    """

    __slots__ = ("usual", "excess", "spread", "integral", "updated_at", "heard_at")

    def __init__(self):
        self.usual = 1.0
        self.excess = 0.0
        self.spread = 0.0
        self.integral = 0.0
        self.updated_at = self.heard_at = -math.inf

    def report(self, figure: float, heard_at: float, now: float) -> None:
        """Take over a figure, unless a later one is known.

        Parameters
        ==========
        figure : float
            Time of work relative to an idle machine.
        heard_at : float
            Monotonic time in seconds of the answer that stated it.
        """
        if heard_at <= self.heard_at:
            return
        figure = min(LARGEST_FIGURE, max(SMALLEST_FIGURE, figure))
        self.advance(now)
        gain = min(MAX_USUAL_GAIN, -math.expm1((self.heard_at - heard_at) / USUAL_S))
        self.usual += gain * (figure - self.usual)
        self.heard_at = heard_at
        deviation = figure / self.usual - 1.0
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
        """Return the mean time of work relative to the usual one over the last seconds.

        Parameters
        ==========
        integral : float
            Value of ``integral`` at the beginning of these seconds.
        """
        if seconds <= 0:
            return 1.0 + self.excess
        return max(SMALLEST_FIGURE, 1.0 + (self.integral - integral) / seconds)

    def mean_before(self, figure: float, seconds: float) -> float:
        """Return the mean relative time over the seconds before a figure was stated."""
        excess = min(LARGEST_FIGURE, max(SMALLEST_FIGURE, figure)) / self.usual - 1.0
        return 1.0 + excess * (_weight_of(seconds) / seconds if seconds > 0 else 1.0)
