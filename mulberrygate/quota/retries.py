"""Budget of sends beyond the first, kept by each entry for itself."""

from __future__ import annotations

# The bound counts in windows whose edges entries don't know, and a send may arrive late.
SAFETY_FACTOR = 0.75


class RetryBudget:
    """Sends beyond the first that an entry may make to one pool.

    Explanation
    ===========
    Each first send adds the ratio to the budget, and each further one takes 1. What is saved up is
    at most the entry's part of the slack. In any window an entry therefore makes at most its part
    of the slack plus the ratio of its own requests, and the sum over all entries keeps the bound
    without any message between them.

    Parameters
    ==========
    ratio : float
        Further sends allowed for each first one, over all entries.
    slack : float
        Further sends allowed besides, over all entries.

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
        """Take note of the number of entries that share the slack."""
        self.limit = self.slack / max(entries, 1)
        self.level = min(self.level, self.limit)

    def count_first_send(self) -> None:
        """Count a first send."""
        # At least one send can be saved up, or an entry among many could never send again.
        self.level = min(max(self.limit, 1.0), self.level + self.ratio)

    def take(self) -> bool:
        """Take one further send from the budget; return whether there was one."""
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True
