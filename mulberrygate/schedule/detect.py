"""Detection of slow endpoints from observed against predicted time."""

from __future__ import annotations

import math


class SlownessDetector:
    """Cumulative sum of the logarithm of observed over predicted time of one endpoint.

    Explanation
    ===========
    The prediction takes the request's length into account, so a run of long requests doesn't look
    like a fault. The idea is from the workload-aware detector of the ResiHP paper. It outperforms
    raw latency on the same traces (``bench/detect.py``). Single extreme ratios are clipped, so one
    request can't raise the alarm.

    Examples
    ========
    >>> from mulberrygate.schedule.detect import SlownessDetector
    >>> detector = SlownessDetector()
    >>> for _ in range(20):
    ...     detector.observe(1.0)
    >>> detector.is_slow
    False
    >>> for _ in range(8):
    ...     detector.observe(3.0)
    >>> detector.is_slow
    True
    """

    # Ratios up to about 1.28 count as normal variation.
    ALLOWANCE = 0.25
    # Sums from which an endpoint counts as slow, and up to which it has recovered.
    ALARM = 2.5
    RECOVERED = 0.5
    LARGEST_SUM = 4.0
    # Largest absolute logarithm of one ratio.
    CLIP = 0.9

    __slots__ = ("sum", "is_slow")

    def __init__(self):
        self.sum = 0.0
        self.is_slow = False

    def observe(self, ratio: float) -> None:
        """Add a completed request's ratio of observed to predicted time."""
        value = max(-self.CLIP, min(self.CLIP, math.log(max(ratio, 1e-3))))
        self.sum = min(self.LARGEST_SUM, max(0.0, self.sum + value - self.ALLOWANCE))
        if self.sum >= self.ALARM:
            self.is_slow = True
        elif self.sum <= self.RECOVERED:
            self.is_slow = False
