"""Filter: claim the idempotency key, or answer from an earlier attempt with the same key."""

from __future__ import annotations

import asyncio
import hashlib

from aiohttp import web

from mulberrygate.core.outcome import Execution, Refusal
from mulberrygate.entry.attach import attach_stream, replay
from mulberrygate.entry.codes import (
    ENDPOINT_ERROR,
)
from mulberrygate.entry.context import EntryParts, RequestContext
from mulberrygate.ledger import (
    Claimed,
    Conflicting,
    Finished,
    InProgress,
    Phase,
    Record,
    Uncertain,
)
from mulberrygate.ledger.codes import CONFLICTING, UNAVAILABLE, UNCERTAIN
from mulberrygate.ledger.keys import is_minted

# A shard without a majority within this time is treated as unavailable, so that the caller gets a
# prompt refusal.
CLAIM_TIMEOUT_S = 3.0
# Interval at which the ledger is polled for the result of a call that runs at another entry.
POLL_INTERVAL_S = 0.2


class Claim:
    """Claim the key of a request that may run at most once.

    Explanation
    ===========
    Keys are scoped to the client account, so equal keys of two accounts do not collide. A request
    without a key gets a minted one that no other entry can know; claiming it needs no message.
    """

    def __init__(self, parts: EntryParts):
        self.parts = parts

    async def __call__(self, request: RequestContext, proceed):
        if request.is_idempotent:
            return await proceed()
        self._assign_key(request)
        while True:
            outcome = await self._claim(request)
            if isinstance(outcome, Claimed):
                return await self._run_claimed(request, outcome, proceed)
            if isinstance(outcome, Finished):
                return await self._replay(request, outcome.record)
            if isinstance(outcome, InProgress):
                if outcome.record.phase is Phase.RUNNING:
                    return await self._attach(request, outcome.record)
                if request.remaining_s(self.parts.timers.now()) > 0:
                    continue
                return Refusal(UNCERTAIN, "an earlier attempt waits", Execution.UNKNOWN, 1.0)
            if isinstance(outcome, Uncertain) and outcome.record and request.is_model:
                return await attach_stream(self.parts, request, outcome.record)
            return self._refuse(outcome)

    def _assign_key(self, request: RequestContext) -> None:
        """Set the key in the ledger, its home failure domain and the fingerprint of the claim."""
        parts = self.parts
        domain = parts.settings.failure_domain
        content = f"{request.account_name}\0{request.fingerprint}".encode()
        request.claim_fingerprint = hashlib.blake2b(content, digest_size=16).digest()
        if not request.has_caller_key:
            request.key = request.ledger_key = parts.coordinator.mint_key(domain)
            request.home = domain
            return
        request.home = parts.coordinator.home_domain(
            request.key, request.account.home, domain, parts.known_domains()
        )
        request.ledger_key = request.key
        if not is_minted(request.key):
            # Account names and keys contain no space, so the joined key is unique to the pair.
            request.ledger_key = f"{request.account_name} {request.key}"

    async def _claim(self, request: RequestContext):
        coordinator = self.parts.coordinator
        key, fingerprint = request.ledger_key, request.claim_fingerprint
        if not request.has_caller_key:
            return coordinator.claim_minted(key, fingerprint)
        left = max(0.1, request.remaining_s(self.parts.timers.now()))
        return await coordinator.claim(key, fingerprint, min(CLAIM_TIMEOUT_S, left), request.home)

    async def _run_claimed(self, request: RequestContext, claimed: Claimed, proceed):
        request.attempt = claimed.attempt
        if not request.outlives_caller:
            return await self._proceed_and_release(request, proceed)
        task = self.parts.background.spawn(self._proceed_and_release(request, proceed))
        request.detached = task
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            # A request that is being sent runs to its end, so that its outcome is known. One that
            # still waits is of no use without its caller.
            if not request.is_dispatching:
                task.cancel()
            raise

    async def _proceed_and_release(self, request: RequestContext, proceed):
        try:
            return await proceed()
        finally:
            if not request.was_sent:
                self.parts.background.spawn(self.parts.coordinator.release(request.attempt))

    async def _replay(self, request: RequestContext, record: Record):
        self.parts.metrics.count("replayed_total")
        if record.answer:
            return await replay(request, record.answer)
        if record.has_run() and record.outcome == Execution.COMPLETED.value:
            return await attach_stream(self.parts, request, record)
        if record.outcome == Execution.NOT_RUN.value:
            return Refusal(UNAVAILABLE, "the key is spent; use another one")
        return Refusal(ENDPOINT_ERROR, "an earlier attempt failed", Execution.UNKNOWN)

    async def _attach(self, request: RequestContext, record: Record):
        """Wait for the answer of a running attempt, whichever entry dispatched it."""
        parts = self.parts
        parts.metrics.count("attached_total")
        parts.events.add("entry.attached", request=request.request_id, endpoint=record.endpoint)
        if request.is_model:
            return await attach_stream(parts, request, record)
        while request.remaining_s(parts.timers.now()) > 0:
            found = await parts.coordinator.lookup(request.ledger_key, request.home)
            if isinstance(found, Finished):
                return await self._replay(request, found.record)
            attempt = record.attempt
            if not parts.is_alive(attempt.instance, attempt.incarnation):
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        return Refusal(UNCERTAIN, "an earlier attempt runs or ran", Execution.UNKNOWN, 1.0)

    @staticmethod
    def _refuse(outcome) -> Refusal | web.StreamResponse:
        if isinstance(outcome, Conflicting):
            return Refusal(CONFLICTING)
        if isinstance(outcome, Uncertain):
            return Refusal(UNCERTAIN, outcome.detail, outcome.execution)
        return Refusal(UNAVAILABLE, outcome.detail, retry_after_s=1.0)
