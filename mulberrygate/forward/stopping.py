"""Limits that a planned stop sets on the calls in progress."""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import AsyncIterator


class StopLimits:
    """Timeouts of the calls in progress, which a planned stop shortens.

    Explanation
    ===========
    At the end of a stop all connections are closed. A call that has not been sent by then would be
    cut off although nothing ran, and its caller could not know that it may try again. So waits
    before a send end while there is still time to answer "not run", and calls that were sent are
    answered as far as their outcome is known.

    Attributes
    ==========
    send_until : float
        Monotonic time until which calls may wait to be sent, infinite before a stop.
    answer_until : float
        Monotonic time until which calls may wait for their answers, infinite before a stop.
    """

    def __init__(self):
        self.send_until = math.inf
        self.answer_until = math.inf
        self.sends: set[asyncio.Timeout] = set()
        self.answers: set[asyncio.Timeout] = set()

    def begin(self, send_until: float, answer_until: float) -> None:
        """Set the limits of all calls, of those in progress and of later ones."""
        self.send_until, self.answer_until = send_until, answer_until
        for limits, end in ((self.sends, send_until), (self.answers, answer_until)):
            for limit in limits:
                if not limit.expired():
                    limit.reschedule(earlier(limit.when(), end))

    def before_send(self) -> contextlib.AbstractAsyncContextManager[asyncio.Timeout]:
        """Return a context that ends with `TimeoutError` at `send_until`."""
        return self._limit(self.sends, earlier(None, self.send_until))

    def until_answer(
        self, deadline_at: float
    ) -> contextlib.AbstractAsyncContextManager[asyncio.Timeout]:
        """Return a context that ends with `TimeoutError` at a deadline or at `answer_until`."""
        return self._limit(self.answers, earlier(deadline_at, self.answer_until))

    @staticmethod
    @contextlib.asynccontextmanager
    async def _limit(
        limits: set[asyncio.Timeout], when: float | None
    ) -> AsyncIterator[asyncio.Timeout]:
        async with asyncio.timeout_at(when) as limit:
            limits.add(limit)
            try:
                yield limit
            finally:
                limits.discard(limit)


def earlier(first: float | None, second: float) -> float | None:
    """Return the earlier of two times, ``None`` if there is no end.

    Examples
    ========
    >>> earlier(None, 3.0), earlier(2.0, math.inf), earlier(None, math.inf)
    (3.0, 2.0, None)
    """
    end = min(math.inf if first is None else first, second)
    return None if end == math.inf else end
