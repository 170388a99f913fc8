"""Units that an entry was granted lately, from which a new leader restores the levels of limits."""

from __future__ import annotations

import math
from collections.abc import Iterable

import attrs

from mulberrygate.quota.limit import Limit

# Units older than this are forgotten. A burst that takes longer to refill counts as refilled.
HISTORY_S = 60.0
# Grants within this time are recorded as one.
RESOLUTION_S = 0.25
# Ages from which a report merges records into steps of this length, which bounds its size.
COARSE_FROM_S = 4.0
COARSE_STEP_S = 4.0


@attrs.define
class GrantRecord:
    """Grants of one leadership within a short time.

    Parameters
    ==========
    since, at : float
        Times of the first and the latest grant.
    """

    since: float
    at: float
    units: float
    epoch: int


class GrantHistory:
    """Units that leaders granted to this entry, by client account.

    Explanation
    ===========
    A report states the age of the latest grant of each record, so that a leader never assumes more
    time for the refill than there was, and the leadership, so that a leader doesn't count its own
    grants twice.

    Examples
    ========
    >>> from mulberrygate.quota.history import GrantHistory
    >>> history = GrantHistory()
    >>> history.add("salons", 30.0, epoch=7, now=1.0)
    >>> history.add("salons", 20.0, epoch=7, now=1.1)
    >>> history.add("salons", -5.0, epoch=7, now=2.0)
    >>> history.report(now=3.0)
    {'salons': ((1.9, 50.0, 7), (1.0, -5.0, 7))}
    """

    def __init__(self):
        self.records: dict[str, list[GrantRecord]] = {}

    def add(self, account: str, units: float, epoch: int, now: float) -> None:
        """Record granted units, or returned ones as a negative number."""
        records = self.records.setdefault(account, [])
        last = records[-1] if records else None
        if last is not None and last.epoch == epoch and now - last.since < RESOLUTION_S:
            last.at, last.units = now, last.units + units
        else:
            records.append(GrantRecord(now, now, units, epoch))
        if now - records[0].at > HISTORY_S:
            self.records[account] = [item for item in records if now - item.at <= HISTORY_S]

    def report(self, now: float) -> dict[str, tuple[tuple[float, float, int], ...]]:
        """Return by account the ages in seconds, units and epochs of its records, oldest first."""
        found = ((name, self._merge(records, now)) for name, records in self.records.items())
        return {name: merged for name, merged in found if merged}

    def _merge(
        self, records: list[GrantRecord], now: float
    ) -> tuple[tuple[float, float, int], ...]:
        """Return the records of an account, old ones merged."""
        merged: dict[tuple[float, int], tuple[float, float, int]] = {}
        for record in records:
            age_s = max(0.0, now - record.at)
            if age_s > HISTORY_S:
                continue
            step = age_s if age_s < COARSE_FROM_S else -math.floor(age_s / COARSE_STEP_S)
            before = merged.get((step, record.epoch), (age_s, 0.0, record.epoch))
            units = before[1] + record.units
            merged[step, record.epoch] = (min(before[0], age_s), units, record.epoch)
        return tuple((round(age_s, 3), units, epoch) for age_s, units, epoch in merged.values())


def restore_level(limit: Limit, spent: Iterable[tuple[float, float]], now: float) -> float:
    """Return the level of a token bucket after grants, if it was full before the first one.

    Parameters
    ==========
    spent : Iterable[tuple[float, float]]
        Times and units of the grants; one after ``now`` counts as if it were at ``now``.

    Examples
    ========
    >>> from mulberrygate.quota.history import restore_level
    >>> from mulberrygate.quota.limit import Limit
    >>> restore_level(Limit(rate=10.0, burst=100.0), [(1.0, 60.0), (3.0, 30.0)], now=4.0)
    40.0
    """
    level, updated_at = limit.burst, -math.inf
    for at, units in sorted(spent):
        at = min(at, now)
        if updated_at > -math.inf:
            level = min(limit.burst, level + limit.rate * (at - updated_at))
        level, updated_at = min(limit.burst, level - units), at
    if updated_at == -math.inf:
        return level
    return min(limit.burst, level + limit.rate * (now - updated_at))
