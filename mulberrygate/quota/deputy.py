"""Rate limits of client accounts, enforced by an entry while the control leader doesn't answer."""

from __future__ import annotations

import attrs

from mulberrygate.quota.central import MAX_WAIT_S, AccountBucket, CentralLimits, GrantedUnits
from mulberrygate.quota.limit import Limit
from mulberrygate.quota.local import LEADERLESS_FRACTION, leaderless_fraction

# An entry counts as one that reaches no leader for this time after it has asked, and is credited
# for this time before its first question at most.
ASKER_MEMORY_S = 3.0


@attrs.define
class Asker:
    """Entry that reaches no leader.

    Parameters
    ==========
    since : float
        Time from which it has had no answer of a leader, as far as known.
    last_at : float
        Time of its latest request.
    """

    since: float
    last_at: float


class CreditedLimits(CentralLimits):
    """Limits whose token buckets are filled by explicit credit instead of by time."""

    def credit(self, name: str, units: float) -> None:
        """Add units to the bucket of an account, up to its burst."""
        account = self.accounts.get(name)
        if account is not None:
            account.level = min(account.limit.burst, account.level + units)
            account.expected = max(0.0, account.expected - units)

    def _refill(self, account: AccountBucket, now: float) -> None:
        account.updated_at = now


class DeputyLimits:
    """Grants units of client accounts in place of the leader.

    Explanation
    ===========
    The load that this answers: a fleet in which each entry sees a request of an account now and
    then, so that hardly any entry knows a share of the limit that it could spend alone.

    The leader may still answer other entries. So each entry that asks here adds its part of the
    limits, as large as the part of an entry that spends alone, for the time that it has been
    without a leader. Entries that lose and find the leader by turns add nothing for the time in
    between, in which they use the leader's units.

    While a part ``p`` of the entries is without a leader, the units granted here in ``t`` seconds
    are at most ``LEADERLESS_FRACTION * p * rate * (t + 0.5)`` and one request.

    Attributes
    ==========
    askers : dict[str, Asker]
        Entries that asked within `ASKER_MEMORY_S`.
    credited_s : float
        Seconds of the limits of all accounts that the askers have added so far.
    seen_credit_s : dict[str, float]
        Value of ``credited_s`` up to which the bucket of an account has been filled.
    largest_part : float
        Largest part of the live entries that asked at a time, since there were none.

    Examples
    ========
    >>> from mulberrygate.quota import DeputyLimits, Limit
    >>> limits = DeputyLimits()
    >>> limits.set_limits({"salons": Limit(rate=100.0, burst=200.0)})
    >>> limits.grant("entry-1", "salons", need=20.0, entries=2, now=0.0).units
    20.0
    >>> limits.grant("entry-2", "salons", need=20.0, entries=2, now=0.0).units
    20.0
    >>> limits.grant("entry-2", "salons", need=20.0, entries=2, now=0.0).units
    0.0
    """

    def __init__(self):
        self.limits: dict[str, Limit] = {}
        self.central = CreditedLimits()
        self.askers: dict[str, Asker] = {}
        self.credited_s = 0.0
        self.seen_credit_s: dict[str, float] = {}
        self.largest_part = 0.0

    def set_limits(self, limits: dict[str, Limit]) -> None:
        """Replace the limits of the accounts."""
        self.limits = limits
        self.central.remove_others(limits)
        self.seen_credit_s = {n: s for n, s in self.seen_credit_s.items() if n in limits}

    def grant(
        self,
        entry: str,
        name: str,
        need: float,
        entries: int,
        now: float,
        leaderless_s: float | None = None,
    ) -> GrantedUnits:
        """Grant the units that a waiting request of an entry needs, or none.

        Parameters
        ==========
        entries : int
            Number of live entries.
        leaderless_s : float or None
            Seconds for which the entry has had no answer of a leader; ``None`` if it doesn't tell.
        """
        limit = self.limits.get(name)
        if limit is None:
            return GrantedUnits(0.0, MAX_WAIT_S, 0.0)
        self._record_asker(entry, now, entries, leaderless_s)
        entries = max(entries, len(self.askers))
        self.largest_part = max(self.largest_part, len(self.askers) / entries)
        fractions = (leaderless_fraction(now - asker.since) for asker in self.askers.values())
        part = Limit(
            rate=limit.rate * sum(fractions) / entries,
            burst=limit.burst * LEADERLESS_FRACTION * self.largest_part,
        )
        self.central.set_limit(name, part, now, fills_increase=True)
        credit_s = self.credited_s - self.seen_credit_s.get(name, self.credited_s)
        self.seen_credit_s[name] = self.credited_s
        self.central.credit(name, limit.rate * credit_s)
        return self.central.grant(entry, name, need, 0.0, now)

    def count_askers(self, now: float) -> int:
        """Forget the entries that have stopped asking, and return the number of the others."""
        limit = now - ASKER_MEMORY_S
        for name in [name for name, asker in self.askers.items() if asker.last_at < limit]:
            del self.askers[name]
        return len(self.askers)

    def _record_asker(
        self, entry: str, now: float, entries: int, leaderless_s: float | None
    ) -> None:
        """Record a question, and credit the entry for its time without a leader since the last."""
        if not self.count_askers(now):
            self.largest_part = 0.0
        asker = self.askers.get(entry)
        since = now - leaderless_s if leaderless_s is not None else None
        if asker is None:
            asker = self.askers[entry] = Asker(now if since is None else since, now)
            uncredited_s = min(now - asker.since, ASKER_MEMORY_S)
        else:
            if since is not None and since > asker.last_at:
                asker.since = since
            uncredited_s = now - max(asker.last_at, asker.since)
        fraction = leaderless_fraction(now - asker.since)
        self.credited_s += fraction * uncredited_s / max(entries, len(self.askers))
        asker.last_at = now
