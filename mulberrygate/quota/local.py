"""Units of client accounts that an entry may spend."""

from __future__ import annotations

import math

import attrs

# Units in advance are spent within this time or not at all.
ADVANCE_VALID_S = 2.0
# Without an answer of the leader an entry goes on with a part of its former use: more while a
# leader is replaced, and less after it, since a new leader may give out the whole limit by then.
LEADER_CHANGE_S = 4.0
LEADERLESS_FRACTION = 0.6
LONG_LEADERLESS_FRACTION = 0.2
MAX_LEADERLESS_S = 30.0


@attrs.define
class AccountUnits:
    """What an entry holds of one account.

    Parameters
    ==========
    units : float
        Units given in advance, until ``valid_until``.
    share : float
        The entry's part of the account's use, as the leader last said at ``granted_at``.
    alone : float
        Level of the bucket that is spent without a leader.
    """

    units: float = 0.0
    valid_until: float = -math.inf
    share: float = 0.0
    granted_at: float = -math.inf
    leaderless_units: float = 0.0
    leaderless_updated_at: float = -math.inf


class LocalUnits:
    """Spend units that the leader gave, and a bounded part of the limit without a leader.

    Explanation
    ===========
    ``now`` must count the time in which the instance was suspended, else units would outlive their
    validity.
    """

    def __init__(self):
        self.held: dict[str, AccountUnits] = {}

    def get(self, account: str) -> AccountUnits:
        """Return what is held of an account."""
        found = self.held.get(account)
        if found is None:
            found = self.held[account] = AccountUnits()
        return found

    def available(self, account: str, now: float) -> float:
        """Return the units in advance that are still valid."""
        held = self.get(account)
        return held.units if now < held.valid_until else 0.0

    def spend(self, account: str, units: float, now: float) -> bool:
        """Spend units given in advance; return whether there were enough."""
        if self.available(account, now) < units:
            return False
        self.get(account).units -= units
        return True

    def add_grant(
        self, account: str, units: float, share: float, max_units: float, now: float
    ) -> None:
        """Take units from the leader, of which at most ``most`` are kept in advance."""
        held = self.get(account)
        held.units = min(self.available(account, now) + units, max_units)
        held.valid_until = now + ADVANCE_VALID_S
        held.share = share
        held.granted_at = now
        held.leaderless_updated_at = -math.inf

    def refund(self, account: str, units: float, max_units: float, now: float) -> None:
        """Return the units of a request that did not run."""
        held = self.get(account)
        if now < held.valid_until:
            held.units = min(held.units + units, max_units)

    def spend_without_leader(self, account: str, units: float, rate: float, now: float) -> bool:
        """Spend units without a leader; return whether that is allowed.

        Parameters
        ==========
        rate : float
            Limit of the account in units a second.
        """
        held = self.get(account)
        leaderless_s = now - held.granted_at
        if leaderless_s > MAX_LEADERLESS_S:
            return False
        fraction = (
            LEADERLESS_FRACTION if leaderless_s < LEADER_CHANGE_S else LONG_LEADERLESS_FRACTION
        )
        allowed = fraction * held.share * rate
        if held.leaderless_updated_at == -math.inf:
            held.leaderless_units = allowed
        else:
            held.leaderless_units = min(
                allowed, held.leaderless_units + allowed * (now - held.leaderless_updated_at)
            )
        held.leaderless_updated_at = now
        if held.leaderless_units <= 0:
            return False
        held.leaderless_units -= units
        return True
