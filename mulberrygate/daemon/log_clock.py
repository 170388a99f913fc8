"""Clock for the times in commands of the control log."""

from __future__ import annotations

import time
from collections.abc import Callable

from mulberrygate.core.boot_time import seconds_since_boot


class LogClock:
    """Unix time that runs steadily and is never behind the times in the control log.

    Explanation
    ===========
    The time of day may be set while a process runs, and differs between processes. Crashes that a
    process reports after a step back would otherwise seem to have happened together.

    Parameters
    ==========
    recorded_at : Callable[[], float]
        Returns the latest time in the log.
    boot_time, unix_time : Callable[[], float]
        Clocks in seconds.

    Examples
    ========
    >>> from mulberrygate.daemon.log_clock import LogClock
    >>> clock = LogClock(lambda: 500.0, iter([1.0, 3.0]).__next__, iter([400.0]).__next__)
    >>> clock.now(), clock.now()
    (500.0, 502.0)
    """

    def __init__(
        self,
        recorded_at: Callable[[], float],
        boot_time: Callable[[], float] = seconds_since_boot,
        unix_time: Callable[[], float] = time.time,
    ):
        self.recorded_at = recorded_at
        self.boot_time = boot_time
        self.unix_time = unix_time
        self.offset: float | None = None

    def now(self) -> float:
        """Return the time in seconds."""
        boot = self.boot_time()
        if self.offset is None:
            self.offset = self.unix_time() - boot
        self.offset = max(self.offset, self.recorded_at() - boot)
        return boot + self.offset
