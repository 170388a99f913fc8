"""Recent demand by tier; determines reserved slots and the use of other failure domains."""

from __future__ import annotations

import math

from mulberrygate.schedule.endpoint import LOCAL, OTHER_DOMAIN, OTHER_REGION
from mulberrygate.tables.model import TIERS

# No slots are reserved for a tier that sent nothing for this long.
RECENT_S = 60.0
# Time constant of the rates.
MEMORY_S = 10.0
# Weight of one grant in the mean run time, and the mean before the first grant.
RUN_GAIN = 0.05
INITIAL_RUN_S = 1.0
# At most this share of the local slots is reserved, rounded down: none of fewer than four.
LARGEST_RESERVED_SHARE = 1 / 4
# Slots reserved if upper tiers sent all requests; in proportion if they send a part. Free slots on
# several endpoints let urgent requests reach one that has their prefix. In four of the runs of
# bench/policy.py, 64 and a sixth of the slots wasted 757k tokens of prefill at a total goodput of
# 84.2%, and 128 and a quarter 616k at 83.3%.
RESERVED_PER_SHARE = 128
# Expected wait, in seconds, from which a request may go to another failure domain or region.
# Traffic to other domains is charged by volume, so a shorter wait doesn't justify it.
DOMAIN_WAIT_S = 0.25
REGION_WAIT_S = 2.0


class Demand:
    """Rates of asks by tier and of grants.

    Parameters
    ==========
    memory_s : float
        Time constant of the rates.
    tiers : int
        Number of tiers.

    Examples
    ========
    >>> from mulberrygate.schedule.demand import Demand
    >>> demand = Demand()
    >>> demand.count_ask(0, now=5.0)
    >>> demand.top_tier(now=6.0)
    0
    >>> demand.reserved(slots=24, now=6.0)
    [0, 6, 6, 6]
    """

    def __init__(self, memory_s: float = MEMORY_S, tiers: int = TIERS):
        self.memory_s = memory_s
        self.tiers = tiers
        self.last_ask = [-math.inf] * tiers
        self.asks = [0.0] * tiers
        self.grants = 0.0
        self.mean_run_s = INITIAL_RUN_S
        self.updated_at = -math.inf

    def count_ask(self, tier: int, now: float) -> None:
        """Count an ask."""
        self._decay(now)
        self.last_ask[tier] = now
        self.asks[tier] += 1.0

    def count_grant(self, run_s: float, now: float) -> None:
        """Count a grant and its predicted seconds."""
        self._decay(now)
        self.grants += 1.0
        self.mean_run_s += RUN_GAIN * (run_s - self.mean_run_s)

    def _decay(self, now: float) -> None:
        if now - self.updated_at < 0.1:
            return
        keep = math.exp(-(now - self.updated_at) / self.memory_s)
        self.asks = [count * keep for count in self.asks]
        self.grants *= keep
        self.updated_at = now

    def top_tier(self, now: float) -> int:
        """Return the most urgent tier that sent a request recently, else the least urgent one."""
        for tier in range(self.tiers):
            if now - self.last_ask[tier] <= RECENT_S:
                return tier
        return self.tiers - 1

    def reserved(self, slots: int, now: float) -> list[int]:
        """Return by tier how many free local slots it has to leave to the tiers above it.

        Explanation
        ===========
        The reserve follows the upper tiers' share of the grants, so that a tier that sends little
        keeps few slots idle; it is at least one slot.
        """
        most = int(slots * LARGEST_RESERVED_SHARE)
        reserved, upper, is_recent = [], 0.0, False
        for tier in range(self.tiers):
            wanted = (
                max(1, math.ceil(RESERVED_PER_SHARE * upper / max(self.grants, 1.0)))
                if is_recent
                else 0
            )
            reserved.append(min(most, wanted))
            upper += self.asks[tier]
            is_recent = is_recent or now - self.last_ask[tier] <= RECENT_S
        return reserved

    def expected_wait_s(self, waiting: int, slots: int) -> float:
        """Return the seconds until that many requests have been granted.

        Explanation
        ===========
        The rate of grants is low while there is little to grant, so it is at least the rate at
        which the local slots become free.
        """
        rate = self.service_rate(slots)
        return waiting / rate if rate > 0 else math.inf

    def service_rate(self, slots: int) -> float:
        """Return the requests a second that the slots can take."""
        return max(self.grants / self.memory_s, slots / self.mean_run_s)

    def tier_wait_s(self, waiting: int, tier: int, slots: int) -> float:
        """Return the seconds until a tier has been granted that many requests.

        Explanation
        ===========
        The rate at which upper tiers ask is not available to this tier.
        """
        upper = sum(self.asks[:tier]) / self.memory_s
        rate = self.service_rate(slots) - upper
        return waiting / rate if rate > 0 else math.inf

    def max_distance(self, waiting: int, slots: int) -> int:
        """Return the largest distance that the backlog justifies."""
        wait_s = self.expected_wait_s(waiting, slots) if waiting else 0.0
        if wait_s > REGION_WAIT_S:
            return OTHER_REGION
        return OTHER_DOMAIN if wait_s > DOMAIN_WAIT_S else LOCAL
