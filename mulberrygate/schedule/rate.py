"""Rate of events, with exponential forgetting."""

from __future__ import annotations

import math


class Rate:
    """Events per second, with recent events weighted most.

    Parameters
    ==========
    memory_s : float
        Time constant in seconds.

    Examples
    ========
    >>> from mulberrygate.schedule.rate import Rate
    >>> rate = Rate(memory_s=1.0)
    >>> for number in range(400):
    ...     rate.add(now=number / 40)
    >>> round(rate.per_second(now=10.0))
    40
    """

    __slots__ = ("memory_s", "count", "counted_at")

    def __init__(self, memory_s: float):
        self.memory_s = memory_s
        self.count = 0.0
        self.counted_at = -math.inf

    def add(self, now: float) -> None:
        """Count an event."""
        self._decay(now)
        self.count += 1.0

    def per_second(self, now: float) -> float:
        """Return the current rate."""
        self._decay(now)
        return self.count / self.memory_s

    def _decay(self, now: float) -> None:
        if now > self.counted_at:
            self.count *= math.exp((self.counted_at - now) / self.memory_s)
            self.counted_at = now
