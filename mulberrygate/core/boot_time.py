"""Clock that goes on while the machine is suspended."""

from __future__ import annotations

import time


def seconds_since_boot() -> float:
    """Return seconds since the machine booted, including the time it was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
