"""Estimate of how long a caller waited before this attempt, from its remaining timeout."""

from __future__ import annotations

# Fraction of the longest timeout by which callers of one route differ at their first attempt.
DEADLINE_SPREAD = 0.15


class PriorWaitEstimator:
    """Estimator of earlier waits, by the longest timeout seen for each route.

    Explanation
    ===========
    A caller that retries after a refusal has clearly less time left than others have at their first
    attempt. In a burst, requests that can no longer be on time are queued behind those that can.

    Examples
    ========
    >>> from mulberrygate.forward.prior_wait import PriorWaitEstimator
    >>> estimator = PriorWaitEstimator()
    >>> [estimator.estimate_s("note", timeout_s) for timeout_s in (10.0, 8.7, 6.5)]
    [0.0, 0.0, 2.0]
    """

    def __init__(self):
        self.longest_timeout_s: dict[str, float] = {}

    def estimate_s(self, route: str, timeout_s: float | None) -> float:
        """Return a lower bound of the seconds that a caller waited before this attempt.

        Parameters
        ==========
        timeout_s : float or None
            Seconds that the caller will wait from now on, ``None`` if it gave no timeout.
        """
        if timeout_s is None:
            return 0.0
        longest_timeout_s = max(self.longest_timeout_s.get(route, 0.0), timeout_s)
        self.longest_timeout_s[route] = longest_timeout_s
        return max(0.0, (1.0 - DEADLINE_SPREAD) * longest_timeout_s - timeout_s)
