"""Ends of endpoint processes as one entry has observed them."""

from __future__ import annotations

import collections

import attrs

from mulberrygate.forward.unanswered import RunningSend, UnansweredSend

# Remembered ends of one endpoint, and endpoints with remembered ends.
MAX_ENDS = 8
MAX_ENDPOINTS = 1024


@attrs.frozen
class ObservedEnd:
    """End of a process, at the latest at a monotonic time."""

    at: float
    incarnation: int


class ObservedEnds:
    """Ends of the processes that ran under the names of endpoints.

    Explanation
    ===========
    An endpoint may run calls again before its new registration is known here. The incarnation of
    such a process is unknown, but higher than that of the process that has ended before it. It is
    numbered accordingly, so that each process that ends has an incarnation of its own.

    Examples
    ========
    >>> from mulberrygate.forward.observed_ends import ObservedEnds
    >>> from mulberrygate.forward.unanswered import UnansweredSend
    >>> ends = ObservedEnds()
    >>> def send(sent_at, ended_at):
    ...     return UnansweredSend("call", "id", "e1", 7, "10.0.0.1:80", sent_at, ended_at, True)
    >>> ends.add(send(1.0, 2.0)), ends.add(send(1.5, 2.0)), ends.add(send(3.0, 4.0))
    (7, 7, 8)
    """

    def __init__(self):
        self.ends: collections.OrderedDict[str, collections.deque[ObservedEnd]] = (
            collections.OrderedDict()
        )

    def add(self, send: UnansweredSend) -> int:
        """Record that the process has ended that got a send; return its incarnation."""
        ends = self.ends.setdefault(send.endpoint, collections.deque(maxlen=MAX_ENDS))
        self.ends.move_to_end(send.endpoint)
        while len(self.ends) > MAX_ENDPOINTS:
            self.ends.popitem(last=False)
        for end in ends:
            if send.sent_at <= end.at and send.incarnation <= end.incarnation:
                return end.incarnation
        incarnation = send.incarnation
        if ends:
            incarnation = max(incarnation, ends[-1].incarnation + 1)
        ends.append(ObservedEnd(send.ended_at, incarnation))
        return incarnation

    def is_to_unknown_process(self, send: UnansweredSend | RunningSend) -> bool:
        """Return whether the process known at the send had ended before it."""
        ends = self.ends.get(send.endpoint, ())
        return any(end.at < send.sent_at and end.incarnation >= send.incarnation for end in ends)
