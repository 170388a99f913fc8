"""Budget of retries, so that retries can't multiply the load on failing endpoints."""

from __future__ import annotations

# Retries may add a tenth to the calls, and a few at once after a quiet time.
EARNED_PER_CALL = 0.1
MAX_SAVED = 20.0


class RetryBudget:
    """Tokens that calls earn and retries spend.

    Examples
    ========
    >>> from mulberrygate.entry.retry import RetryBudget
    >>> budget = RetryBudget(saved=1.0)
    >>> budget.spend(), budget.spend()
    (True, False)
    """

    def __init__(self, saved: float = MAX_SAVED):
        self.saved = saved

    def earn(self) -> None:
        """Count a call."""
        self.saved = min(MAX_SAVED, self.saved + EARNED_PER_CALL)

    def spend(self) -> bool:
        """Return whether a retry is within the budget, and count it."""
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True
