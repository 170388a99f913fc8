"""Units of client accounts that an entry may spend, with and without a control leader."""

from __future__ import annotations

import math

import attrs

# Units that were granted in advance expire after this time.
ADVANCE_VALID_S = 2.0
# Without answers of the leader an entry continues with a fraction of its former share of the limit:
# a larger one until `LEADER_CHANGE_S`, while a leader is being replaced, then a smaller one, since
# a new leader may grant the whole limit to other entries by then. After the maximum time it stops.
LEADER_CHANGE_S = 4.0
LEADERLESS_FRACTION = 0.6
LONG_LEADERLESS_FRACTION = 0.2
MAX_LEADERLESS_S = 30.0


def leaderless_fraction(leaderless_s: float) -> float:
    """Return the fraction of a limit that may be used this many seconds after the last leader."""
    if leaderless_s > MAX_LEADERLESS_S:
        return 0.0
    return LEADERLESS_FRACTION if leaderless_s < LEADER_CHANGE_S else LONG_LEADERLESS_FRACTION


@attrs.define
class UnitsReceipt:
    """Units that a request has spent.

    Parameters
    ==========
    epoch : int
        Identifier of the leadership that granted them, 0 if none did.
    """

    units: float = 0.0
    epoch: int = 0


@attrs.define
class LeaderlessTime:
    """Estimate of the time since which an entry gets no answer of a leader.

    Parameters
    ==========
    answered_at : float or None
        Time of the last answer, ``None`` before the first.
    since : float or None
        Estimated time of the loss, ``None`` after an answer. The loss lies between the last answer
        and the first failed question; the middle is right on average.

    Examples
    ========
    >>> from mulberrygate.quota.local import LeaderlessTime
    >>> leaderless = LeaderlessTime()
    >>> leaderless.record_answer(10.0)
    >>> leaderless.record_failure(12.0), leaderless.record_failure(13.0)
    (1.0, 2.0)
    """

    answered_at: float | None = None
    since: float | None = None

    def record_answer(self, now: float) -> None:
        """Record an answer of a leader."""
        self.answered_at, self.since = now, None

    def record_failure(self, now: float) -> float:
        """Record a question without an answer; return the seconds since the loss."""
        if self.since is None:
            self.since = now if self.answered_at is None else (self.answered_at + now) / 2
        return now - self.since


@attrs.define
class AccountUnits:
    """Units and share that an entry holds of one account.

    Parameters
    ==========
    units : float
        Units granted in advance, valid until ``valid_until``.
    share : float
        The entry's share of the account's usage in the leader's last answer.
    granted_at : float
        Time of that answer.
    leaderless_units : float
        Level of the token bucket that is spent without a leader.
    leaderless_updated_at : float
        Time at which that level was last computed; minus infinity while there is a leader.
    """

    units: float = 0.0
    valid_until: float = -math.inf
    share: float = 0.0
    granted_at: float = -math.inf
    leaderless_units: float = 0.0
    leaderless_updated_at: float = -math.inf


class LocalUnits:
    """Spends units that the leader granted, or a bounded part of the limit without a leader.

    Explanation
    ===========
    The clock of ``now`` must include time during which the instance was suspended, or units would
    be spent after they have expired.
    """

    def __init__(self):
        self.held: dict[str, AccountUnits] = {}

    def get(self, account: str) -> AccountUnits:
        """Return the units and share of an account; create an empty entry for a new account."""
        found = self.held.get(account)
        if found is None:
            found = self.held[account] = AccountUnits()
        return found

    def available(self, account: str, now: float) -> float:
        """Return the advance units that are still valid."""
        held = self.get(account)
        return held.units if now < held.valid_until else 0.0

    def spend(self, account: str, units: float, now: float) -> bool:
        """Spend advance units; return whether there were enough."""
        if self.available(account, now) < units:
            return False
        self.get(account).units -= units
        return True

    def add_grant(
        self, account: str, units: float, share: float, max_units: float, now: float
    ) -> None:
        """Add units granted by the leader; at most ``max_units`` are held in advance."""
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
        fraction = leaderless_fraction(now - held.granted_at)
        if not fraction:
            return False
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
