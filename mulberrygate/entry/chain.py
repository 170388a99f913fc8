"""Filter chain that takes one request from its caller to an endpoint and back."""

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
    the filters after it and may be called again to retry.
    """

    def __init__(self, parts: EntryParts): ...

    async def __call__(self, request: RequestContext, proceed: Proceed) -> Outcome: ...


# Filters in the order in which they run.
FILTERS: tuple[type[Filter], ...] = (
    Authenticate,  # bearer token -> client account; idempotency key
    ReadBody,  # read the body up to the size limit
    Quarantine,  # refuse content that crashes endpoints
    ChooseRoute,  # route, pool and estimates of length
    ChooseTier,  # tier and deadline
    Claim,  # claim the key, or attach to or replay an earlier attempt
    Schedule,  # wait for a grant of the pool's scheduler
    Dispatch,  # record the begin in the ledger, then send
    Relay,  # relay the whole answer to the caller
    RecordResult,  # report the result to ledger, scheduler and metrics
)


class Chain:
    """Run requests through the filters in order."""

    def __init__(self, parts: EntryParts):
        self.filters = [kind(parts) for kind in FILTERS]

    async def run(self, request: RequestContext) -> Outcome:
        """Run a request through all filters and return its outcome."""
        return await self._call(0, request)

    def _call(self, index: int, request: RequestContext) -> Awaitable[Outcome]:
        """Return the coroutine of a filter.

        Explanation
        ===========
        The coroutines are nested, so each wake-up resumes one frame for each filter.
        """
        proceed = partial(self._call, index + 1, request)
        return self.filters[index](request, proceed)
