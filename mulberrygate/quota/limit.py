"""Rate limit of a client account."""

from __future__ import annotations

import attrs


@attrs.frozen
class Limit:
    """Limit of one account: ``rate`` in units per second, and ``burst`` in units."""

    rate: float
    burst: float

    @property
    def refill_s(self) -> float:
        """Seconds in which an empty bucket is full again, 0 without a rate."""
        return self.burst / self.rate if self.rate > 0 else 0.0
