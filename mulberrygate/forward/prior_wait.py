"""How long a caller has waited before an attempt, judged by the patience that it has left."""

from __future__ import annotations

# Share of the longest deadline by which callers of one route differ at their first attempt.
DEADLINE_SPREAD = 0.15


class PriorWaitEstimator:
    """Patience that callers of each route have at their first attempt.

    Explanation
    ===========
    A caller that was refused and comes back has clearly less time left than the others. It answers
    bursts: who can't be on time any more goes behind those who can.

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
        """Return the least seconds that a caller must have waited before this attempt.

        Parameters
        ==========
        timeout_s : float or None
            Seconds that the caller waits from now on, ``None`` if it didn't say.
        """
        if timeout_s is None:
            return 0.0
        longest_timeout_s = max(self.longest_timeout_s.get(route, 0.0), timeout_s)
        self.longest_timeout_s[route] = longest_timeout_s
        return max(0.0, (1.0 - DEADLINE_SPREAD) * longest_timeout_s - timeout_s)
