"""Rate limits of client accounts, enforced by an entry while the control leader doesn't answer."""

from __future__ import annotations

import attrs

from mulberrygate.quota.central import (
    INITIAL_FILL_FRACTION,
    MAX_WAIT_S,
    CentralLimits,
    GrantedUnits,
    Limit,
)
from mulberrygate.quota.local import LEADERLESS_FRACTION, leaderless_fraction

# An entry counts as one that reaches no leader for this time after it has asked.
ASKER_MEMORY_S = 3.0


@attrs.define
class Asker:
    """Entry that reaches no leader.

    Parameters
    ==========
    since, last_at : float
        Times of its first request, and of its latest one.
    """

    since: float
    last_at: float


class DeputyLimits:
    """Grants units of client accounts in place of the leader.

    Explanation
    ===========
    The load that this answers: a fleet in which each entry sees a request of an account now and
    then, so that hardly any entry knows a share of the limit that it could spend alone.

    The leader may still answer other entries. So each entry that asks here adds its part of the
    limits, as large as the part of an entry that spends alone.

    Attributes
    ==========
    askers : dict[str, Asker]
        Entries that asked within `ASKER_MEMORY_S`.
    largest_part : float
        Largest part of the live entries that asked at a time, since there were none.

    Examples
    ========
    >>> from mulberrygate.quota import DeputyLimits, Limit
    >>> limits = DeputyLimits()
    >>> limits.set_limits({"salons": Limit(rate=100.0, burst=200.0)})
    >>> limits.grant("entry-1", "salons", need=40.0, entries=2, now=0.0).units
    40.0
    >>> limits.grant("entry-2", "salons", need=40.0, entries=2, now=0.0).units
    40.0
    >>> limits.grant("entry-2", "salons", need=40.0, entries=2, now=0.0).units
    0.0
    """

    def __init__(self):
        self.limits: dict[str, Limit] = {}
        self.central = CentralLimits()
        self.askers: dict[str, Asker] = {}
        self.largest_part = 0.0

    def set_limits(self, limits: dict[str, Limit]) -> None:
        """Replace the limits of the accounts."""
        self.limits = limits
        self.central.remove_others(limits)

    def grant(self, entry: str, name: str, need: float, entries: int, now: float) -> GrantedUnits:
        """Grant the units that a waiting request of an entry needs, or none.

        Parameters
        ==========
        entries : int
            Number of live entries.
        """
        limit = self.limits.get(name)
        if limit is None:
            return GrantedUnits(0.0, MAX_WAIT_S, 0.0)
        self._record_asker(entry, now)
        entries = max(entries, len(self.askers))
        self.largest_part = max(self.largest_part, len(self.askers) / entries)
        fractions = (leaderless_fraction(now - asker.since) for asker in self.askers.values())
        part = Limit(
            rate=limit.rate * sum(fractions) / entries,
            burst=limit.burst * LEADERLESS_FRACTION * self.largest_part,
        )
        self.central.set_limit(name, part, now, INITIAL_FILL_FRACTION)
        return self.central.grant(entry, name, need, 0.0, now)

    def count_askers(self, now: float) -> int:
        """Forget the entries that have stopped asking, and return the number of the others."""
        limit = now - ASKER_MEMORY_S
        for name in [name for name, asker in self.askers.items() if asker.last_at < limit]:
            del self.askers[name]
        return len(self.askers)

    def _record_asker(self, entry: str, now: float) -> None:
        if not self.count_askers(now):
            self.largest_part = 0.0
        self.askers.setdefault(entry, Asker(now, now)).last_at = now
