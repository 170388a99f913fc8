"""Units of client accounts that an entry may spend."""

from __future__ import annotations

import math

import attrs

# Units in advance are spent within this time or not at all.
HELD_S = 2.0
# Without an answer of the leader an entry goes on with a part of its former use: more while a
# leader is replaced, and less after it, since a new leader may give out the whole limit by then.
ALONE_S = 4.0
ALONE_PART = 0.6
LONG_ALONE_PART = 0.2
LONGEST_ALONE_S = 30.0


@attrs.define
class Held:
    """What an entry holds of one account.

    Parameters
    ==========
    units : float
        Units given in advance, until ``valid_until``.
    share : float
        The entry's part of the account's use, as the leader last said at ``told_at``.
    alone : float
        Level of the bucket that is spent without a leader.
    """

    units: float = 0.0
    valid_until: float = -math.inf
    share: float = 0.0
    told_at: float = -math.inf
    alone: float = 0.0
    alone_at: float = -math.inf


class LocalUnits:
    """Spend units that the leader gave, and a bounded part of the limit without a leader.

    Explanation
    ===========
    ``now`` must count the time in which the instance was suspended, else units would outlive their
    validity.
    """

    def __init__(self):
        self.held: dict[str, Held] = {}

    def get(self, account: str) -> Held:
        """Return what is held of an account."""
        found = self.held.get(account)
        if found is None:
            found = self.held[account] = Held()
        return found

    def available(self, account: str, now: float) -> float:
        """Return the units in advance that are still valid."""
        held = self.get(account)
        return held.units if now < held.valid_until else 0.0

    def take(self, account: str, units: float, now: float) -> bool:
        """Spend units given in advance; return whether there were enough."""
        if self.available(account, now) < units:
            return False
        self.get(account).units -= units
        return True

    def give(self, account: str, units: float, share: float, most: float, now: float) -> None:
        """Take units from the leader, of which at most ``most`` are kept in advance."""
        held = self.get(account)
        held.units = min(self.available(account, now) + units, most)
        held.valid_until = now + HELD_S
        held.share = share
        held.told_at = now
        held.alone_at = -math.inf

    def give_back(self, account: str, units: float, most: float, now: float) -> None:
        """Return the units of a request that did not run."""
        held = self.get(account)
        if now < held.valid_until:
            held.units = min(held.units + units, most)

    def take_alone(self, account: str, units: float, rate: float, now: float) -> bool:
        """Spend units without a leader; return whether that is allowed.

        Parameters
        ==========
        rate : float
            Limit of the account in units a second.
        """
        held = self.get(account)
        alone_s = now - held.told_at
        if alone_s > LONGEST_ALONE_S:
            return False
        part = ALONE_PART if alone_s < ALONE_S else LONG_ALONE_PART
        allowed = part * held.share * rate
        if held.alone_at == -math.inf:
            held.alone = allowed
        else:
            held.alone = min(allowed, held.alone + allowed * (now - held.alone_at))
        held.alone_at = now
        if held.alone <= 0:
            return False
        held.alone -= units
        return True
