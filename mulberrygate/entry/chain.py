"""Filter chain of the entry: one request from its caller to an endpoint and back."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from functools import partial
from typing import Protocol

from aiohttp import web

from mulberrygate.core.outcome import Refusal
from mulberrygate.entry.authenticate import Authenticate
from mulberrygate.entry.claim import Claim
from mulberrygate.entry.context import EntryParts, RequestContext
from mulberrygate.entry.dispatch import Dispatch
from mulberrygate.entry.quarantine import Quarantine
from mulberrygate.entry.read_body import ReadBody
from mulberrygate.entry.record import RecordResult
from mulberrygate.entry.relay import Relay
from mulberrygate.entry.route import ChooseRoute
from mulberrygate.entry.schedule import Schedule
from mulberrygate.entry.tier import ChooseTier

Outcome = web.StreamResponse | Refusal
Proceed = Callable[[], Awaitable[Outcome]]


class Filter(Protocol):
    """One step of the chain.

    Explanation
    ===========
    A filter returns a `Refusal` to end the request, or the outcome of ``proceed()``, which runs
    the filters after it and may be called again for another try.
    """

    def __init__(self, parts: EntryParts): ...

    async def __call__(self, request: RequestContext, proceed: Proceed) -> Outcome: ...


# In this order.
FILTERS: tuple[type[Filter], ...] = (
    Authenticate,  # bearer token -> client account
    ReadBody,  # read the body, bounded
    Quarantine,  # refuse content that crashes endpoints
    ChooseRoute,  # route, pool and estimates of length
    ChooseTier,  # tier and deadline
    Claim,  # ledger: attach to or answer from an earlier attempt
    Schedule,  # wait for a grant of the pool's scheduler
    Dispatch,  # begin in the ledger, then send
    Relay,  # whole answer to the caller
    RecordResult,  # ledger, scheduler, metrics
)


class Chain:
    """Run requests through the filters in order."""

    def __init__(self, parts: EntryParts):
        self.filters = [kind(parts) for kind in FILTERS]

    async def run(self, request: RequestContext) -> Outcome:
        """Return the outcome of a request."""
        return await self._call(0, request)

    def _call(self, index: int, request: RequestContext) -> Awaitable[Outcome]:
        """Return the coroutine of a filter; one frame for each filter is resumed at each wake."""
        proceed = partial(self._call, index + 1, request)
        return self.filters[index](request, proceed)
