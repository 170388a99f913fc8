"""Spending of leased rates at an entry."""

from __future__ import annotations

import math

import attrs

# Time constant in seconds of the measured demand.
DEMAND_S = 1.0
# Part of the burst that an entry's share may use at once when it starts.
FIRST_FILL = 0.5
SHORTEST_RETRY_S = 0.2
LONGEST_RETRY_S = 5.0


@attrs.define
class Bucket:
    """Token bucket of one client account; the level may go below 0 by one request."""

    rate: float = 0.0
    burst: float = 0.0
    level: float = 0.0
    updated_at: float = 0.0
    valid_until: float = -math.inf
    demand: float = 0.0
    demand_at: float = 0.0
    is_filled: bool = False


class AccountBuckets:
    """Shares of client accounts' limits that this entry may spend.

    Explanation
    ===========
    A share is spent only while its lease is valid. ``now`` must count the time in which the
    instance was suspended, else a lease would outlive its end. A request may take the level below
    0, since a share can be smaller than one large request.
    """

    def __init__(self):
        self.buckets: dict[str, Bucket] = {}

    def bucket(self, account: str) -> Bucket:
        """Return the bucket of an account."""
        found = self.buckets.get(account)
        if found is None:
            found = self.buckets[account] = Bucket()
        return found

    def grant(
        self, account: str, rate: float, limit: float, burst: float, valid_until: float, now: float
    ) -> None:
        """Take a leased rate.

        Parameters
        ==========
        rate : float
            Units a second that this entry may spend.
        limit, burst : float
            Rate and burst of the account over all entries; the burst is shared like the rate.
        """
        bucket = self.bucket(account)
        self._refill(bucket, now)
        bucket.rate = rate
        bucket.burst = burst * min(1.0, rate / limit) if limit > 0 else burst
        if not bucket.is_filled:
            bucket.level = bucket.burst * FIRST_FILL
            bucket.is_filled = True
        bucket.level = min(bucket.level, bucket.burst)
        bucket.valid_until = valid_until

    def take(self, account: str, units: float, now: float) -> bool:
        """Spend units; return whether the account's share allows it."""
        bucket = self.bucket(account)
        self._count_demand(bucket, units, now)
        self._refill(bucket, now)
        if now >= bucket.valid_until or bucket.level <= 0:
            return False
        bucket.level -= units
        return True

    def give_back(self, account: str, units: float) -> None:
        """Return the units of a request that did not run."""
        bucket = self.bucket(account)
        bucket.level = min(bucket.burst, bucket.level + units)

    def is_valid(self, account: str, now: float) -> bool:
        """Return whether the share of an account may be spent."""
        return now < self.bucket(account).valid_until

    def retry_after_s(self, account: str, now: float) -> float:
        """Return the seconds until the account's share allows a request again."""
        bucket = self.bucket(account)
        if bucket.rate <= 0 or now >= bucket.valid_until:
            return 1.0
        wait_s = -bucket.level / bucket.rate
        return min(LONGEST_RETRY_S, max(SHORTEST_RETRY_S, wait_s))

    def demand(self, now: float) -> dict[str, float]:
        """Return the units a second that were lately asked for, by account."""
        return {
            name: bucket.demand * math.exp(-(now - bucket.demand_at) / DEMAND_S)
            for name, bucket in self.buckets.items()
            if now - bucket.demand_at < 5 * DEMAND_S
        }

    def held(self, now: float) -> dict[str, float]:
        """Return the valid rates by account."""
        return {
            name: bucket.rate
            for name, bucket in self.buckets.items()
            if now < bucket.valid_until and bucket.rate > 0
        }

    def _refill(self, bucket: Bucket, now: float) -> None:
        spent_until = min(now, bucket.valid_until)
        if spent_until > bucket.updated_at:
            seconds = spent_until - bucket.updated_at
            bucket.level = min(bucket.burst, bucket.level + bucket.rate * seconds)
        bucket.updated_at = now

    def _count_demand(self, bucket: Bucket, units: float, now: float) -> None:
        keep = math.exp(-(now - bucket.demand_at) / DEMAND_S)
        bucket.demand = bucket.demand * keep + units / DEMAND_S
        bucket.demand_at = now
