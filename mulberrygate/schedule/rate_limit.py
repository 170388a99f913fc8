"""Limit of the requests a second that an endpoint takes.

Explanation
===========
An endpoint names the limit in its answers, or has one while it is cold; see
`mulberrygate.schedule.cold`.
"""

from __future__ import annotations

import functools
import math
from collections.abc import Collection

from mulberrygate.members.rendezvous import rank

# Time over which requests that were not sent may be sent later, at most.
BURST_S = 0.25
# Least requests a second to an endpoint, whatever it names: only answers show that a limit is over.
MIN_RATE = 0.2
# Owners of a pool for each request a second that an endpoint takes, at most. Each of them may have
# one token left, and all may use it at the same time.
OWNERS_PER_RATE = 2.0


class EndpointRateLimit:
    """Token bucket of one endpoint; without a limit it always has a token.

    Attributes
    ==========
    rate : float
        Requests a second that the endpoint takes from all instances, infinite without a limit.
    stated_at : float
        Time of the answer that is the latest known to name a limit or none.
    part : float
        Part of the limit that this scheduler may use.
    tokens : float
        Requests that may be sent, as of `filled_at`.
    limited_since : float
        Time since which the endpoint has been limited.

    Examples
    ========
    >>> from mulberrygate.schedule.rate_limit import EndpointRateLimit
    >>> limit = EndpointRateLimit()
    >>> limit.update(rate=4.0, stated_at=10.0, now=10.0)
    True
    >>> limit.has_token(10.1), limit.has_token(10.25)
    (False, True)
    >>> limit.take(10.25)
    >>> limit.has_token(10.25)
    False
    >>> limit.update(rate=8.0, stated_at=9.0, now=10.3)
    False
    """

    __slots__ = ("rate", "stated_at", "part", "tokens", "filled_at", "limited_since")

    def __init__(self):
        self.rate = math.inf
        self.stated_at = -math.inf
        self.part = 1.0
        self.tokens = 0.0
        self.filled_at = self.limited_since = -math.inf

    @property
    def is_limited(self) -> bool:
        """Whether the endpoint has a limit at present."""
        return self.rate < math.inf

    def update(self, rate: float, stated_at: float, now: float) -> bool:
        """Take over what an answer names; return whether that changes the limit.

        Parameters
        ==========
        rate : float
            Requests a second, infinite if the answer names no limit.
        stated_at : float
            Time of the answer; what an earlier one than the latest known names is ignored.
        """
        if stated_at <= self.stated_at:
            return False
        self.stated_at = stated_at
        return self.set_rate(rate, now)

    def set_rate(self, rate: float, now: float) -> bool:
        """Set the limit; return whether that changes it."""
        if rate == self.rate:
            return False
        if self.is_limited:
            self._fill(now)
        else:
            self.tokens, self.filled_at = 0.0, now
            self.limited_since = now
        self.rate = rate
        return True

    def set_part(self, part: float, now: float) -> None:
        """Set the part of the limit that this scheduler may use."""
        if part != self.part:
            self._fill(now)
            self.part = part

    def _fill(self, now: float) -> None:
        """Add the tokens of the time since the last call."""
        if not self.is_limited:
            return
        rate = max(self.rate, MIN_RATE) * self.part
        most = max(1.0, rate * BURST_S)
        self.tokens = min(most, self.tokens + rate * max(0.0, now - self.filled_at))
        self.filled_at = now

    def has_token(self, now: float) -> bool:
        """Return whether the endpoint may get a request now."""
        self._fill(now)
        return not self.is_limited or self.tokens >= 1.0

    def take(self, now: float) -> None:
        """Count a request."""
        if self.is_limited:
            self._fill(now)
            self.tokens -= 1.0

    def put_back(self, taken_at: float) -> None:
        """Return the token of a request that was not sent, if it took one."""
        if self.is_limited and taken_at >= self.limited_since:
            self.tokens += 1.0


def rate_part(
    endpoint: str,
    rate: float,
    instance: str,
    owners: Collection[str],
    max_owners: int | None = None,
) -> float:
    """Return the part of an endpoint's limit for one of several instances that all own its pool.

    Explanation
    ===========
    If there are more owners than `OWNERS_PER_RATE` allows, rendezvous hashing chooses those that
    may use the endpoint. An instance that doesn't know the names of the others uses an equal part.

    Parameters
    ==========
    max_owners : int or None
        Most owners that may use the endpoint, ``None`` for what `OWNERS_PER_RATE` allows.

    Examples
    ========
    >>> from mulberrygate.schedule.rate_limit import rate_part
    >>> owners = [str(number) for number in range(80)]
    >>> parts = [rate_part("e1", 4.0, name, owners) for name in owners]
    >>> sorted(parts)[-9:], sum(parts)
    ([0.0, 0.125, 0.125, 0.125, 0.125, 0.125, 0.125, 0.125, 0.125], 1.0)
    """
    if max_owners is None:
        max_owners = int(rate * OWNERS_PER_RATE)
    most = max(1, min(max_owners, len(owners)))
    if len(owners) <= most or instance not in owners:
        return 1.0 / max(1, len(owners))
    return 1.0 / most if instance in _choose_owners(endpoint, tuple(owners), most) else 0.0


@functools.lru_cache(maxsize=4096)
def _choose_owners(endpoint: str, owners: tuple[str, ...], most: int) -> frozenset[str]:
    """Return the owners that may use an endpoint.

    Explanation
    ===========
    Each owner asks ten times a second for each limited endpoint. While a failure domain warms up,
    ranking all owners each time would take a large part of a core.
    """
    return frozenset(rank(endpoint, owners)[:most])
