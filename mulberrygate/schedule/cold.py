"""Limit of the requests a second that a cold endpoint gets, as the configuration names it.

Explanation
===========
In this module, an *owner* is an instance that schedules a pool. *Away* are the instances that
schedule without the pool's owner, since they don't reach it: deputies, and entries on their own.
See ``docs/design/homes-and-cold-endpoints.md``.
"""

from __future__ import annotations

import functools
import math

from mulberrygate.members.rendezvous import rank
from mulberrygate.schedule.rate_limit import EndpointRateLimit

# After the cold time the rate rises for this time, to this multiple, before it is unlimited. All
# endpoints of a failure domain may warm up at once, and an idle one attracts every request.
RAMP_S = 2.0
RAMP_RATIO = 4.0
# Time for which an endpoint that answers again after it was blocked or silent counts as cold,
# unless it reports. It may have started again under its name, and entries reach it before its
# first report.
SUSPECT_S = 3.0
# Instances that all own a pool have a token each at worst, beside the rate. So many may use one
# endpoint: a fixed number and one for each so many requests a second.
COLD_OWNERS = 2
RATE_PER_COLD_OWNER = 6.0
# Part of the rate for instances that schedule without the owner, all together. They may serve other
# entries at the same time as the owner.
AWAY_PART = 0.5
# Entries without any owner that may use one endpoint.
AWAY_OWNERS = 2
# Part of the rate for a new owner, and the time for which it is new. The former owner's requests of
# the last second still count, and it may not know yet that it is replaced.
NEW_OWNER_PART = 0.5
NEW_OWNER_S = 2.0


def most_cold_owners(rate: float) -> int:
    """Return how many of the instances that all own a pool may use one cold endpoint.

    Examples
    ========
    >>> most_cold_owners(0.5), most_cold_owners(11.0)
    (2, 3)
    """
    return COLD_OWNERS + int(rate / RATE_PER_COLD_OWNER)


@functools.lru_cache(maxsize=4096)
def choose_away_owners(endpoint: str, entries: tuple[str, ...]) -> frozenset[str]:
    """Return the entries that may use a cold endpoint without an owner.

    Explanation
    ===========
    They are those with the lowest weights, since these also have a share of the endpoint's slots.
    Ranking all entries for each endpoint ten times a second would take several percent of a core.
    """
    return frozenset(rank(endpoint, entries)[-AWAY_OWNERS:])


class ColdLimit(EndpointRateLimit):
    """Token bucket of an endpoint that limits it while it is cold, and a while longer.

    Explanation
    ===========
    It begins empty, so that a new owner, or several at once, add no burst of their own. The rate of
    the bucket is `cold_rate` while the endpoint is cold, rises after that, and is infinite later.

    Attributes
    ==========
    cold_rate : float
        Requests a second that the endpoint takes from all instances while it is cold, 0 for any.
    cold_until, suspected_until : float
        Times until which it is cold by its reports, and until which it may be.
    suspected_at : float
        Time of the last sign that it may be cold. All three times are monotonic, in seconds.

    Examples
    ========
    >>> from mulberrygate.schedule.cold import ColdLimit
    >>> limit = ColdLimit()
    >>> limit.report(cold_s=3.0, cold_rate=10.0, reported_at=0.0, now=0.0)
    >>> limit.is_limited, limit.has_token(0.05), limit.has_token(0.15)
    (True, False, True)
    >>> limit.refresh(4.0)
    >>> limit.rate
    25.0
    >>> limit.refresh(5.0)
    >>> limit.is_limited
    False
    """

    __slots__ = ("cold_rate", "cold_until", "suspected_until", "suspected_at")

    def __init__(self):
        super().__init__()
        self.cold_rate = 0.0
        self.cold_until = self.suspected_until = self.suspected_at = -math.inf

    def report(self, cold_s: float, cold_rate: float, reported_at: float, now: float) -> None:
        """Take over how long the endpoint is still cold by its latest report.

        Parameters
        ==========
        cold_s : float
            Seconds for which it is still cold, 0 if it is warm.
        cold_rate : float
            Requests a second that a cold endpoint of its pool takes, 0 for any.
        reported_at : float
            Time of the report; one after a sign that the endpoint may be cold settles that.
        """
        self.cold_rate = cold_rate
        self.cold_until = now + cold_s if cold_s > 0 else min(self.cold_until, now)
        if reported_at > self.suspected_at:
            self.suspected_until = min(self.suspected_until, now)
        self.refresh(now)

    def suspect(self, now: float) -> None:
        """Take over a sign that the endpoint may have started again."""
        if self.cold_rate > 0:
            self.suspected_at = now
            self.suspected_until = now + SUSPECT_S
            self.refresh(now)

    def refresh(self, now: float) -> None:
        """Set the rate as it is at a time: that of a cold endpoint, rising, or none."""
        rate = math.inf
        if self.cold_rate > 0:
            warm_s = now - max(self.cold_until, self.suspected_until)
            if warm_s <= 0:
                rate = self.cold_rate
            elif warm_s < RAMP_S:
                rate = self.cold_rate * (1.0 + (RAMP_RATIO - 1.0) * warm_s / RAMP_S)
        self.set_rate(rate, now)
