"""Retry budget for one pool, which each entry keeps locally."""

from __future__ import annotations

# Ratio and slack are reduced by this factor, because the bound applies to time windows whose edges
# the entries don't know, and because a send may arrive late.
SAFETY_FACTOR = 0.75


class RetryBudget:
    """Limits the retries of one entry to one pool, within a bound over all entries.

    Explanation
    ===========
    Each first send adds the ratio to the level, and each retry takes 1 from it. The level is at
    most the entry's part of the slack. In any window an entry thus makes at most as many
    retries as its part of the slack plus the ratio times its first sends, so the sum over all
    entries keeps the bound without messages between them.

    `mulberrygate.entry.retry.RetryBudget`, which `mulberrygate.entry` uses, has a fixed ratio and
    covers all pools of one entry instead.

    Parameters
    ==========
    ratio : float
        Retries allowed for each first send, over all entries.
    slack : float
        Additional retries allowed, over all entries.

    Examples
    ========
    >>> from mulberrygate.quota import RetryBudget
    >>> budget = RetryBudget(ratio=0.2, slack=16, entries=6)
    >>> [budget.take() for _ in range(3)]
    [True, True, False]
    """

    def __init__(self, ratio: float, slack: float, entries: int = 1):
        self.ratio = ratio * SAFETY_FACTOR
        self.slack = slack * SAFETY_FACTOR
        self.level = self.limit = self.slack / max(entries, 1)

    def set_entries(self, entries: int) -> None:
        """Set the number of entries that share the slack."""
        self.limit = self.slack / max(entries, 1)
        self.level = min(self.level, self.limit)

    def count_first_send(self) -> None:
        """Add the ratio to the level for a first send."""
        # The level may always reach 1, or an entry among many could never retry.
        self.level = min(max(self.limit, 1.0), self.level + self.ratio)

    def has_spare(self) -> bool:
        """Return whether a retry that could be done without may be taken.

        Explanation
        ===========
        Half of the budget is kept for requests that have failed. Copies of slow requests use the
        rest, so that an endpoint that begins to fail finds some of it left.
        """
        return self.level >= max(1.0, self.limit / 2.0)

    def take(self) -> bool:
        """Take one retry from the budget; return whether there was one."""
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True
