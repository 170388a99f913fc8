"""What endpoints say of themselves in their answers to this instance."""

from __future__ import annotations

import math
import random
from collections.abc import Callable

import attrs

from mulberrygate.endpoints.roster import Roster, Row
from mulberrygate.forward.request import AnswerHead
from mulberrygate.schedule.messages import EndpointNotice, Grant

# Time for which an endpoint that has left the roster is remembered, in case it is reported again.
REMEMBER_S = 300.0
# Bounds the size of a ticket. The latest notices are those that an owner may not know yet.
MAX_TICKET_NOTICES = 64
# The roster may lack an endpoint that an owner grants; its notice is told for this time.
UNLISTED_S = 10.0
# Longest pause that an endpoint can ask for, and the pause if it asks for more or can't be read.
MAX_PAUSE_S = 600.0
DEFAULT_PAUSE_S = 5.0
# Time for which owners are told that a limit is over.
RATE_END_TOLD_S = 10.0
# Random part by which a pause is extended, so that the entries don't all return at its end.
PAUSE_JITTER = 0.1
MAX_PAUSE_JITTER_S = 0.5


@attrs.define
class Known:
    """What one incarnation of an endpoint has said.

    Parameters
    ==========
    heard_at : float
        Monotonic time of the last answer that said something.
    paused_until : float
        Monotonic time until which it wants no call of this instance.
    rate : float
        Requests a second that it takes from all instances, infinite without a limit.
    rate_heard_at : float
        Monotonic time of the last answer that named a limit, or none after one.
    """

    pool: str
    incarnation: int
    is_leaving: bool = False
    heard_at: float = -math.inf
    paused_until: float = -math.inf
    rate: float = math.inf
    rate_heard_at: float = -math.inf

    def take_rate(self, rate: float, now: float) -> bool:
        """Take over the limit that an answer names; return whether it is another one."""
        is_change = rate != self.rate
        self.rate = rate
        self.rate_heard_at = now
        return is_change

    def is_rate_told(self, now: float) -> bool:
        """Return whether owners have to know the limit, or that it is over."""
        return self.rate < math.inf or now - self.rate_heard_at <= RATE_END_TOLD_S


class EndpointNotices:
    """What endpoints have said in answers, and which of them may get calls of this instance.

    Explanation
    ===========
    Endpoints tell control processes that they leave, but an instance that reaches none of them
    learns it only from their answers. What was said holds for the incarnation that said it and is
    told to the owners of pools with each ticket, so a new owner or a deputy knows it at once.

    Parameters
    ==========
    rng : random.Random
        Spreads the ends of pauses.

    Examples
    ========
    >>> import random
    >>> from mulberrygate.endpoints.roster import Roster
    >>> from mulberrygate.forward.notices import EndpointNotices
    >>> from mulberrygate.forward.request import AnswerHead
    >>> notices = EndpointNotices(Roster(), random.Random(1))
    >>> head = AnswerHead(200, is_turned_down=False, is_genuine=True, is_leaving=True)
    >>> notices.record("e1", 3, "care", head, now=0.0)
    True
    >>> notices.is_leaving("e1", 3), notices.is_leaving("e1", 4)
    (True, False)
    """

    def __init__(self, roster: Roster, rng: random.Random):
        self.roster = roster
        self.rng = rng
        self.known: dict[str, Known] = {}
        self.last_pause_end = -math.inf

    def record(
        self,
        endpoint: str,
        incarnation: int,
        pool: str,
        head: AnswerHead,
        now: float,
        is_rate_limited: bool = False,
    ) -> bool:
        """Record what an answer says; return whether that changes what is known.

        Parameters
        ==========
        incarnation : int
            Incarnation that was known when the call was sent. The answer may be of a later one,
            but not of an earlier one.
        is_rate_limited : bool
            Whether the owner of the pool knows a limit of the endpoint.
        """
        known = self.known.get(endpoint)
        if known is not None and known.incarnation > incarnation:
            return False
        if known is None or known.incarnation < incarnation:
            known = Known(pool, incarnation)
        is_rate_told = head.rate is not None and (
            is_rate_limited or min(head.rate, known.rate) < math.inf
        )
        if not (head.is_leaving or head.pause_s is not None or is_rate_told):
            return False
        is_change = is_rate_told and known.take_rate(head.rate, now)
        if head.is_leaving:
            is_change = is_change or not known.is_leaving
            known.is_leaving = True
        if head.pause_s is not None:
            is_change = is_change or known.paused_until <= now
            known.paused_until = max(known.paused_until, now + self._choose_pause_s(head.pause_s))
            self.last_pause_end = max(self.last_pause_end, known.paused_until)
        known.heard_at = now
        if is_change:
            self._forget_old(now)
        # The latest notices come last.
        self.known.pop(endpoint, None)
        self.known[endpoint] = known
        return is_change

    def _choose_pause_s(self, asked_s: float) -> float:
        """Return the length of a pause that an endpoint has asked for."""
        pause_s = asked_s if asked_s <= MAX_PAUSE_S else DEFAULT_PAUSE_S
        return pause_s + self.rng.random() * min(PAUSE_JITTER * pause_s, MAX_PAUSE_JITTER_S)

    def _forget_old(self, now: float) -> None:
        """Forget endpoints that have left the roster long ago."""
        for endpoint, known in list(self.known.items()):
            if endpoint not in self.roster.rows and now - known.heard_at > REMEMBER_S:
                del self.known[endpoint]

    def is_leaving(self, endpoint: str, incarnation: int) -> bool:
        """Return whether an incarnation of an endpoint has said that it leaves."""
        known = self.known.get(endpoint)
        return known is not None and known.is_leaving and incarnation <= known.incarnation

    def pause_left_s(self, endpoint: str, incarnation: int, now: float) -> float:
        """Return for how long an endpoint wants no call of this instance, 0 if it takes some."""
        known = self.known.get(endpoint)
        if known is None or incarnation > known.incarnation:
            return 0.0
        return max(0.0, known.paused_until - now)

    def pool_pause_s(
        self, pool: str, now: float, may_get: Callable[[Row], bool] = lambda _row: True
    ) -> float:
        """Return the seconds until the first endpoint of a pool takes calls of this instance.

        Parameters
        ==========
        may_get : Callable[[Row], bool]
            Whether an endpoint may get the call that waits.

        Returns
        =======
        float
            0 if one takes calls now, or if none has asked for a pause.
        """
        if now >= self.last_pause_end:
            return 0.0
        pauses = [
            self.pause_left_s(registration.endpoint, registration.incarnation, now)
            for registration in (
                row.registration for row in self.roster.usable(pool) if may_get(row)
            )
            if not self.is_leaving(registration.endpoint, registration.incarnation)
        ]
        return min(pauses, default=0.0)

    def has_paused(self, pool: str, now: float) -> bool:
        """Return whether an endpoint of a pool wants no calls of this instance at present."""
        if now >= self.last_pause_end:
            return False
        return any(k.pool == pool and k.paused_until > now for k in self.known.values())

    def may_use(self, grant: Grant, now: float) -> bool:
        """Return whether a call may be sent on a grant."""
        incarnation = self._incarnation(grant)
        if self.is_leaving(grant.endpoint, incarnation):
            return False
        return not self.pause_left_s(grant.endpoint, incarnation, now)

    def _incarnation(self, grant: Grant) -> int:
        # Owners of earlier releases don't tell it.
        return grant.incarnation or self.roster.incarnation(grant.endpoint)

    def for_ticket(self, pool: str, now: float) -> tuple[EndpointNotice, ...]:
        """Return the notices that the owner of a pool has to know, the latest first."""
        found = []
        for endpoint, known in reversed(self.known.items()):
            if known.pool == pool and self._is_news(endpoint, known, now):
                age_s = max(0.0, now - known.heard_at)
                pause_s = max(0.0, known.paused_until - now)
                is_rate_told = known.is_rate_told(now)
                found.append(
                    EndpointNotice(
                        endpoint,
                        known.incarnation,
                        known.is_leaving,
                        age_s=age_s,
                        pause_s=pause_s,
                        rate=known.rate,
                        rate_age_s=now - known.rate_heard_at if is_rate_told else math.inf,
                    )
                )
            if len(found) == MAX_TICKET_NOTICES:
                break
        return tuple(found)

    def _is_news(self, endpoint: str, known: Known, now: float) -> bool:
        """Return whether an owner has to know what an endpoint has said, and may not know it."""
        if not (known.is_leaving or known.paused_until > now or known.is_rate_told(now)):
            return False
        row = self.roster.rows.get(endpoint)
        if row is None:
            return now - known.heard_at <= UNLISTED_S
        return not row.is_leaving and row.registration.incarnation <= known.incarnation

    def count_paused(self, now: float) -> int:
        """Return the number of endpoints that want no call of this instance at present."""
        return sum(known.paused_until > now for known in self.known.values())

    def count_rate_limited(self) -> int:
        """Return the number of endpoints that name a limit of requests a second."""
        known = self.known.items()
        return sum(item.rate < math.inf and name in self.roster.rows for name, item in known)

    def count_leaving(self) -> int:
        """Return the number of endpoints in the roster that have said that they leave."""
        return sum(
            self.is_leaving(name, row.registration.incarnation)
            for name, row in self.roster.rows.items()
        )
