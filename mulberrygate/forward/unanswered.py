"""Sends of calls that have no complete answer yet, or that ended without one."""

from __future__ import annotations

import asyncio
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
    parts : tuple[str, ...]
        Identities of the shared parts of the call's prompt.
    has_head : bool
        Whether the head of an answer had arrived.
    events : int
        Events of a stream that had arrived.
    """

    call: str
    request: str
    endpoint: str
    incarnation: int
    address: str
    sent_at: float
    ended_at: float
    is_broken: bool
    parts: tuple[str, ...] = ()
    has_head: bool = False
    events: int = 0


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
    is_connected : bool
        Whether a connection to the endpoint was made; nothing can have been sent before.
    is_counted : bool
        Whether its endpoint has been found to have ended.
    has_head, events
        As in `UnansweredSend`, up to now.
    limit : asyncio.Timeout or None
        Context of the send, through which it can be cancelled.
    """

    call: Call
    endpoint: str
    incarnation: int
    address: str
    sent_at: float
    heard_at: float = -math.inf
    is_connected: bool = True
    is_counted: bool = False
    has_head: bool = False
    events: int = 0
    limit: asyncio.Timeout | None = None

    def cancel(self) -> None:
        """Cancel the send, which closes its connection, unless it is cancelled already."""
        if self.limit is not None and self.limit.when() is None:
            self.limit.reschedule(asyncio.get_running_loop().time())

    def connect(self) -> None:
        """Record that a connection to the endpoint was made."""
        self.is_connected = True

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
            self.call.parts,
            self.has_head,
            self.events,
        )
