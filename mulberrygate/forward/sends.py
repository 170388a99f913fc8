"""Sends of a call to endpoints, and the grants on which they are made."""

from __future__ import annotations

import math

import attrs

from mulberrygate.core.memory_budget import Holder
from mulberrygate.forward.request import Call
from mulberrygate.forward.unanswered import RunningSend
from mulberrygate.schedule.messages import Done, Grant, Ticket


@attrs.frozen
class Turn:
    """Grant of an endpoint to which a call may be sent now."""

    ticket: Ticket
    grant: Grant


class Send:
    """One send of a call to one endpoint, with its times and token counts.

    Parameters
    ==========
    running : RunningSend
        Description of this send for the detection of crashes.

    Attributes
    ==========
    first_at : float
        Monotonic time of the first token, or of the answer's head; 0 before.
    first_tokens : int
        Number of tokens that arrived together first.
    fault : str
        Kind of fault to report to the scheduler, empty for none.
    slowdown : float
        Time that work takes relative to the usual time, as the head of the answer states.
    slowdown_at : float
        Monotonic time of that head, infinitely long ago if it states nothing.
    is_redundant : bool
        Whether it was cancelled because another copy of the call has answered.
    holder : Holder or None
        Memory of its answer, ``None`` for that of the call.
    """

    def __init__(self, ticket: Ticket, grant: Grant, running: RunningSend):
        self.ticket = ticket
        self.grant = grant
        self.running = running
        self.sent_at = running.sent_at
        self.first_at = 0.0
        self.tokens = 0
        self.first_tokens = 1
        self.fault = ""
        self.slowdown = 1.0
        self.slowdown_at = -math.inf
        self.is_cancelled = False
        self.is_redundant = False
        self.holder: Holder | None = None

    def cancel_as_redundant(self) -> None:
        """Cancel this send, because another copy of the call has answered."""
        self.is_redundant = True
        self.running.cancel()

    def as_done(self, call: Call, now: float) -> Done:
        """Return the report of the end of this send to the scheduler."""
        first_s = (self.first_at or now) - self.sent_at
        return Done(
            pool=call.pool.name,
            request=self.ticket.request,
            endpoint=self.grant.endpoint,
            version=self.grant.version,
            route=call.route.name,
            prompt_tokens=self.ticket.prompt_tokens,
            output_tokens=max(1, self.tokens),
            first_token_s=first_s,
            total_s=now - self.sent_at,
            fault=self.fault,
            cancelled=self.is_cancelled,
            first_tokens=self.first_tokens,
            slowdown=self.slowdown,
            slowdown_age_s=now - self.slowdown_at,
        )
