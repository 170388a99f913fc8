"""Division of client accounts' limits among entries, by the leader of the control group."""

from __future__ import annotations

import math

import attrs

# Seconds for which a share may be spent. Entries go on with their shares while the control group
# elects a leader, and a share of an entry that died is free again after this time.
LEASE_S = 4.0
# An entry without demand keeps this part of an equal share, so that its first requests pass.
IDLE_PART = 0.15
# A share that has just been lowered may be spent in full until the entry hears of it.
HANDOVER_S = 0.5


@attrs.define
class Lease:
    """Share of one entry in one account's limit."""

    incarnation: int
    rate: float
    demand: float
    expires: float
    # Former, higher rate that the entry may have used until then.
    former: float = 0.0
    former_until: float = -math.inf

    def counted(self, now: float) -> float:
        """Return the rate that the entry may be using."""
        return max(self.rate, self.former) if now < self.former_until else self.rate


class RateAllocator:
    """Lease rates of client accounts to entries, never more in all than the limits.

    Explanation
    ===========
    A new leader doesn't know the leases of the one before. Until they have all run out it renews
    what entries present, and gives no entry more than that.

    Parameters
    ==========
    now : float
        Start of leadership, in seconds on a clock that counts suspended time.
    is_first : bool
        Whether no leader can have given a lease before.
    """

    lease_s = LEASE_S

    def __init__(self, now: float, is_first: bool = False):
        self.full_from = now if is_first else now + LEASE_S
        self.limits: dict[str, float] = {}
        self.leases: dict[str, dict[str, Lease]] = {}

    def set_limits(self, limits: dict[str, float]) -> None:
        """Replace the limits, in units a second by account."""
        self.limits = dict(limits)
        for account in [name for name in self.leases if name not in limits]:
            del self.leases[account]

    def ask(
        self,
        entry: str,
        incarnation: int,
        demand: dict[str, float],
        held: dict[str, float],
        now: float,
    ) -> dict[str, float]:
        """Return the rates that an entry may spend for `LEASE_S`."""
        return {
            account: self._ask(
                account, entry, incarnation, demand.get(account, 0.0), held.get(account, 0.0), now
            )
            for account in self.limits
        }

    def _ask(
        self, account: str, entry: str, incarnation: int, demand: float, held: float, now: float
    ) -> float:
        limit = self.limits[account]
        leases = self.leases.setdefault(account, {})
        for name in [name for name, lease in leases.items() if lease.expires <= now]:
            del leases[name]
        lease = leases.get(entry)
        if lease is None or lease.incarnation != incarnation:
            lease = leases[entry] = Lease(incarnation, held, demand, now + LEASE_S)
        others = sum(item.counted(now) for name, item in leases.items() if name != entry)
        lease.demand = demand
        wanted = self._fair_share(leases, entry, limit)
        if now < self.full_from:
            wanted = min(wanted, lease.rate)
        rate = max(0.0, min(wanted, limit - others))
        if rate < lease.rate:
            lease.former = lease.counted(now)
            lease.former_until = now + HANDOVER_S
        lease.rate = rate
        lease.expires = now + LEASE_S
        return rate

    def _fair_share(self, leases: dict[str, Lease], entry: str, limit: float) -> float:
        """Return the part of a limit that fits an entry's part of the demand."""
        floor = IDLE_PART * limit / len(leases)
        total = sum(lease.demand for lease in leases.values()) + floor * len(leases)
        if total <= 0:
            return limit / len(leases)
        return limit * (leases[entry].demand + floor) / total
