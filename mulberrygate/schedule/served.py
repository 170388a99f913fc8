"""Share of each tier's requests that was granted recently."""

from __future__ import annotations

import attrs

from mulberrygate.schedule.rate import Rate

# Time constant of the shares. A burst lasts a few seconds, so grants from before it must not count
# for long.
SHARE_MEMORY_S = 10.0
# Requests that are assumed to have been asked and granted, so that the first ones change a share
# only a little.
PRIOR_REQUESTS = 5.0


@attrs.define
class TierCounts:
    """Requests of each tier since the last report.

    Parameters
    ==========
    asked, granted, refused : list[int]
    late : list[int]
        Granted requests that could not be on time any more.
    """

    asked: list[int]
    granted: list[int]
    late: list[int]
    refused: list[int]

    @classmethod
    def zeros(cls, tiers: int) -> TierCounts:
        """Return counts that are all zero."""
        return cls([0] * tiers, [0] * tiers, [0] * tiers, [0] * tiers)


class ServedShares:
    """Share of each tier's requests that was granted recently, and counts for the log.

    Explanation
    ===========
    A request counts as asked when it arrives, so waiting requests count as not served.

    Examples
    ========
    >>> from mulberrygate.schedule.served import ServedShares
    >>> served = ServedShares(tiers=2)
    >>> for number in range(15):
    ...     served.count_ask(1, now=1.0)
    >>> served.share(1, now=1.0)
    0.25
    >>> served.share(0, now=1.0)
    1.0
    """

    def __init__(self, tiers: int):
        self.tiers = tiers
        self.asks = [Rate(SHARE_MEMORY_S) for _ in range(tiers)]
        self.grants = [Rate(SHARE_MEMORY_S) for _ in range(tiers)]
        self.counts = TierCounts.zeros(tiers)

    def count_ask(self, tier: int, now: float) -> None:
        """Count a request that arrived."""
        self.asks[tier].add(now)
        self.counts.asked[tier] += 1

    def count_grant(self, tier: int, is_late: bool, now: float) -> None:
        """Count a grant."""
        self.grants[tier].add(now)
        self.counts.granted[tier] += 1
        self.counts.late[tier] += is_late

    def count_refusal(self, tier: int) -> None:
        """Count a refusal."""
        self.counts.refused[tier] += 1

    def share(self, tier: int, now: float) -> float:
        """Return the share of a tier's requests that was granted."""
        prior = PRIOR_REQUESTS / SHARE_MEMORY_S
        granted = self.grants[tier].per_second(now) + prior
        return min(1.0, granted / (self.asks[tier].per_second(now) + prior))

    def share_of_all(self, now: float) -> float:
        """Return the share of all requests that was granted."""
        prior = PRIOR_REQUESTS / SHARE_MEMORY_S
        granted = sum(rate.per_second(now) for rate in self.grants) + prior
        return min(1.0, granted / (sum(rate.per_second(now) for rate in self.asks) + prior))

    def take_counts(self) -> TierCounts:
        """Return the counts since the last call."""
        counts, self.counts = self.counts, TierCounts.zeros(self.tiers)
        return counts
