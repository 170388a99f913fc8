"""Budget of retries, so that retries can't multiply the load on failing endpoints."""

from __future__ import annotations

# Retries may add a tenth to the calls, and a few at once after a quiet time.
EARNED_PER_CALL = 0.1
MAX_BALANCE = 20.0


class RetryBudget:
    """Tokens that calls earn and retries spend.

    Examples
    ========
    >>> from mulberrygate.entry.retry import RetryBudget
    >>> budget = RetryBudget(balance=1.0)
    >>> budget.spend(), budget.spend()
    (True, False)
    """

    def __init__(self, balance: float = MAX_BALANCE):
        self.balance = balance

    def earn(self) -> None:
        """Count a call."""
        self.balance = min(MAX_BALANCE, self.balance + EARNED_PER_CALL)

    def spend(self) -> bool:
        """Return whether a retry is within the budget, and count it."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True
