"""Hybrid logical clock, which orders events of several processes."""

from __future__ import annotations

from collections.abc import Callable

import attrs


@attrs.frozen(order=True)
class Stamp:
    """Hybrid timestamp.

    Parameters
    ==========
    wall_ms : int
        Milliseconds since the Unix epoch, not less than in any stamp received before.
    count : int
        Orders stamps within one millisecond.
    """

    wall_ms: int
    count: int

    def __str__(self) -> str:
        return f"{self.wall_ms}.{self.count:04d}"


class HybridClock:
    """Issue hybrid timestamps that increase with every event and every message received.

    Parameters
    ==========
    wall_ms : Callable[[], int]
        Wall clock in milliseconds.

    Examples
    ========
    >>> from mulberrygate.core.clock import HybridClock, Stamp
    >>> clock = HybridClock(lambda: 100)
    >>> clock.now() < clock.now()
    True
    >>> clock.receive(Stamp(500, 2))
    >>> clock.now()
    Stamp(wall_ms=500, count=3)
    """

    # Stamps further ahead of the local wall clock are ignored, so that one wrong clock does not
    # shift the time line of all processes.
    MAX_AHEAD_MS = 60_000

    def __init__(self, wall_ms: Callable[[], int]):
        self.wall_ms = wall_ms
        self.last = Stamp(0, 0)

    def now(self) -> Stamp:
        """Return the next stamp."""
        wall = self.wall_ms()
        if wall > self.last.wall_ms:
            self.last = Stamp(wall, 0)
        else:
            self.last = Stamp(self.last.wall_ms, self.last.count + 1)
        return self.last

    def receive(self, stamp: Stamp) -> None:
        """Advance the clock to the stamp of a received message.

        A stamp that is too far ahead of the wall clock is ignored.
        """
        if stamp.wall_ms > self.wall_ms() + self.MAX_AHEAD_MS:
            return
        self.last = max(self.last, stamp)
