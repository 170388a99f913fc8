"""Endpoints that fail a larger part of their requests than others of their pool."""

from __future__ import annotations

# Weight of one request in the share.
GAIN = 0.12
# Share of failed requests from which an endpoint is given fewer requests, and the least ratio of
# this share to the mean of the other endpoints. If requests fail at all endpoints, the requests are
# the cause, and limiting the endpoints wouldn't help.
MIN_FAILURE_SHARE = 0.2
MIN_FAILURE_RATIO = 2.0


class FailureShare:
    """Share of an endpoint's latest requests that failed.

    Examples
    ========
    >>> from mulberrygate.schedule.failures import FailureShare, is_failing
    >>> bad, good = FailureShare(), FailureShare()
    >>> for number in range(20):
    ...     bad.observe(number % 2 == 0)
    ...     good.observe(number % 20 == 0)
    >>> is_failing(bad, good.share, 1), is_failing(good, bad.share, 1)
    (True, False)
    >>> is_failing(bad, 2 * bad.share, 2)
    False
    """

    __slots__ = ("share",)

    def __init__(self):
        self.share = 0.0

    def observe(self, has_failed: bool) -> None:
        """Update the share with the result of a request."""
        self.share += GAIN * (has_failed - self.share)


def is_failing(state: FailureShare, shares_of_others: float, others: int) -> bool:
    """Return whether an endpoint fails more of its requests than the others of its pool.

    Parameters
    ==========
    shares_of_others : float
        Sum of the shares of the other endpoints.
    others : int
        Number of the other endpoints.
    """
    if state.share < MIN_FAILURE_SHARE or not others:
        return False
    return state.share > MIN_FAILURE_RATIO * shares_of_others / others
