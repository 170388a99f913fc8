"""What a new leader learns of the units that its predecessors granted."""

from __future__ import annotations

from mulberrygate.quota.history import HISTORY_S, restore_level
from mulberrygate.quota.limit import Limit

# Fraction of the burst, and of the units of a second, that an account has before entries have
# reported. The second bounds what a change of leader adds to a limit with a large burst.
INITIAL_FILL_FRACTION = 0.5
INITIAL_FILL_S = 1.0


def initial_level(limit: Limit) -> float:
    """Return the level of a bucket of which nothing is known.

    Examples
    ========
    >>> from mulberrygate.quota.limit import Limit
    >>> from mulberrygate.quota.takeover import initial_level
    >>> initial_level(Limit(100.0, 80.0)), initial_level(Limit(100.0, 6000.0))
    (40.0, 50.0)
    """
    return INITIAL_FILL_FRACTION * min(limit.burst, limit.rate * INITIAL_FILL_S)


class Takeover:
    """Restores the levels of the limits from reports of entries after a change of leader.

    Explanation
    ===========
    Each entry reports what it was granted. An entry without a report, or one that has started too
    late to know of grants that still count, is taken to have used its equal part of the limit. So
    all leaders together grant in ``t`` seconds at most ``rate * t + burst``, what entries without a
    report spent beyond their parts, and `initial_level` at each change.

    Parameters
    ==========
    began_at : float
        Time at which the leader began to grant units.

    Attributes
    ==========
    started_at : dict[str, float]
        Time since which each entry that has reported runs.
    spent : dict[str, list[tuple[float, float]]]
        Times and units of the reported grants, by account.
    """

    def __init__(self, epoch: int, began_at: float):
        self.epoch = epoch
        self.began_at = began_at
        self.started_at: dict[str, float] = {}
        self.spent: dict[str, list[tuple[float, float]]] = {}

    def record(
        self,
        entry: str,
        spent: dict[str, list[tuple[float, float, int]]],
        up_s: float,
        now: float,
    ) -> bool:
        """Record the first report of an entry; return whether it is the first.

        Parameters
        ==========
        spent : dict[str, list[tuple[float, float, int]]]
            Ages in seconds, units and epochs of the entry's grants, by account.
        up_s : float
            Seconds since the entry started.
        """
        if entry in self.started_at:
            return False
        self.started_at[entry] = now - up_s
        for name, items in spent.items():
            times = [(now - age_s, units) for age_s, units, epoch in items if epoch != self.epoch]
            self.spent.setdefault(name, []).extend(times)
        return True

    def restored_level(self, name: str, limit: Limit, entries: int) -> float:
        """Return the level that a bucket had when the leader began.

        Parameters
        ==========
        entries : int
            Number of live entries.
        """
        known_since = self.began_at - min(limit.refill_s, HISTORY_S)
        informed = sum(started_at <= known_since for started_at in self.started_at.values())
        part = min(1.0, informed / max(1, entries))
        # The other entries are assumed to have used their equal part of the rate and the burst.
        part_limit = Limit(limit.rate * part, limit.burst * part)
        return max(
            initial_level(limit), restore_level(part_limit, self.spent.get(name, ()), self.began_at)
        )
