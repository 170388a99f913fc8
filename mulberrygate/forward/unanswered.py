"""Sends of calls that have no complete answer yet, or that ended without one."""

from __future__ import annotations

import math

import attrs

from mulberrygate.forward.request import Call


@attrs.frozen
class UnansweredSend:
    """Send of a call that ended without a complete answer.

    Parameters
    ==========
    call : str
        Fingerprint of the call.
    request : str
        Identifier of the caller's attempt.
    incarnation : int
        Incarnation of the endpoint known at the time of the send, 0 if it was unknown.
    sent_at, ended_at : float
        Monotonic times.
    is_broken : bool
        Whether the connection broke, as opposed to a deadline or a caller that left.
    """

    call: str
    request: str
    endpoint: str
    incarnation: int
    address: str
    sent_at: float
    ended_at: float
    is_broken: bool


@attrs.define(eq=False)
class RunningSend:
    """Send of a call that waits for its answer or the rest of it.

    Parameters
    ==========
    call : Call
        Call that was sent; its fingerprint is computed only when it is needed.
    endpoint, incarnation, address, sent_at
        As in `UnansweredSend`.
    heard_at : float
        Monotonic time of the last bytes of the answer, minus infinity before.
    is_counted : bool
        Whether its endpoint has been found to have ended.
    """

    call: Call
    endpoint: str
    incarnation: int
    address: str
    sent_at: float
    heard_at: float = -math.inf
    is_counted: bool = False

    @property
    def silent_since(self) -> float:
        """Monotonic time since which nothing has been received."""
        return max(self.sent_at, self.heard_at)

    def end(self, at: float, is_broken: bool) -> UnansweredSend:
        """Return the description of this send if it ended at a monotonic time."""
        return UnansweredSend(
            self.call.fingerprint,
            self.call.head.request,
            self.endpoint,
            self.incarnation,
            self.address,
            self.sent_at,
            at,
            is_broken,
        )
