"""Sends of calls that ended without a complete answer."""

from __future__ import annotations

import attrs


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
