"""Retry budget, which keeps retries from multiplying the load on failing endpoints."""

from __future__ import annotations

# Retries may add a tenth to the number of calls, and a few at once after a time without retries.
EARNED_PER_CALL = 0.1
MAX_BALANCE = 20.0


class RetryBudget:
    """Limits the retries of one entry over all pools, by a token bucket with a fixed ratio.

    Explanation
    ===========
    Each call adds a fraction of a token, and each retry takes one.
    `mulberrygate.quota.RetryBudget`, which `mulberrygate.forward` uses, limits the retries to one
    pool instead and divides a configured slack among all entries.

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
        """Add the share of one call to the balance."""
        self.balance = min(MAX_BALANCE, self.balance + EARNED_PER_CALL)

    def spend(self) -> bool:
        """Take a retry from the balance; return whether it was sufficient."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True
