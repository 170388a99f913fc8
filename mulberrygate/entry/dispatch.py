"""Filter: record the begin in the ledger, then send the request to its endpoint."""

from __future__ import annotations

import asyncio
import json

import attrs

from mulberrygate.core.outcome import Execution, Refusal
from mulberrygate.entry.codes import (
    ENDPOINT_ERROR,
)
from mulberrygate.entry.context import EntryParts, RequestContext, Result, RetryElsewhere
from mulberrygate.entry.record import record_result, report_dispatch
from mulberrygate.entry.service_call import PASSED_HEADERS, service_target
from mulberrygate.entry.upstream import Broken, Connected, NotSent
from mulberrygate.ledger.codes import SUPERSEDED, UNAVAILABLE, UNCERTAIN
from mulberrygate.ledger.coordinator import Begun, Superseded, Uncertain

# Time for sending the request and receiving the response headers; an engine may send them only with
# the first token.
HEAD_TIMEOUT_S = 30.0
# An idempotent call times out earlier, so that another endpoint has time to answer.
REPEATABLE_HEAD_TIMEOUT_S = 5.0


class Dispatch:
    """Send a granted request to its endpoint.

    Explanation
    ===========
    First the endpoint is checked to still accept work, then a majority of the ledger accepts the
    begin, then the first byte is sent. From then on a request that is not idempotent never goes to
    another endpoint.
    """

    def __init__(self, parts: EntryParts):
        self.parts = parts

    async def __call__(self, request: RequestContext, proceed):
        request.is_dispatching = True
        outcome = await self._run(request, proceed)
        request.is_dispatching = not isinstance(outcome, RetryElsewhere)
        return outcome

    async def _run(self, request: RequestContext, proceed):
        parts = self.parts
        parts.retries.earn()
        if not self._check_grant(request):
            return RetryElsewhere("the endpoint takes no new work")
        if request.attempt is not None:
            refusal = await self._begin(request)
            if refusal is not None:
                parts.scheduler.return_grant(request.grant.request)
                return refusal
            # The endpoint may have started to drain while the begin was replicated.
            if not self._check_grant(request):
                return RetryElsewhere("the endpoint takes no new work")
        try:
            return await self._send(request, proceed)
        except asyncio.CancelledError:
            if not request.result.is_cancelled:
                self._record_cancellation(request)
            raise

    def _check_grant(self, request: RequestContext) -> bool:
        """Return whether the granted endpoint may take the request; if not, return the grant."""
        grant = request.grant
        parts = self.parts
        is_open = parts.directory.accepts_work(
            grant.endpoint, parts.timers.now(), grant.failure_domain
        )
        if is_open and not parts.crashes.must_isolate(request.fingerprint, grant.endpoint):
            return True
        parts.scheduler.return_grant(grant.request)
        return False

    async def _begin(self, request: RequestContext) -> Refusal | None:
        """Record the begin of the attempt in the ledger; return why that failed.

        Explanation
        ===========
        The caller has to make sure that no byte was sent under the attempt before.
        """
        grant = request.grant
        if request.attempt.is_used:
            # No byte was sent after the earlier begin of this attempt, so it may begin again.
            request.attempt = attrs.evolve(request.attempt, is_used=False)
        outcome = await self.parts.coordinator.begin(request.attempt, grant.endpoint, grant.address)
        if isinstance(outcome, Begun) and outcome.may_dispatch(self.parts.timers.now()):
            return None
        if isinstance(outcome, Superseded):
            return Refusal(SUPERSEDED, retry_after_s=1.0)
        if isinstance(outcome, Uncertain):
            return Refusal(UNAVAILABLE, "the begin was not confirmed; use another key")
        return Refusal(UNAVAILABLE, "the begin was not accepted", retry_after_s=1.0)

    async def _send(self, request: RequestContext, proceed):
        parts = self.parts
        was_sent, request.was_sent = request.was_sent, True
        request.dispatched_at = parts.timers.now()
        parts.events.add(
            "entry.dispatched", request=request.request_id, endpoint=request.grant.endpoint
        )
        parts.crashes.record_start(request.fingerprint, request.grant.endpoint)
        limit = REPEATABLE_HEAD_TIMEOUT_S if request.is_idempotent else HEAD_TIMEOUT_S
        opened = await parts.upstream.open(
            self._method(request),
            self._url(request),
            self._headers(request),
            self._body(request),
            min(limit, max(0.1, request.remaining_s(request.dispatched_at))),
        )
        if isinstance(opened, NotSent):
            request.was_sent = was_sent
            return self._retry_elsewhere(request, "refused", opened.reason)
        if isinstance(opened, Connected):
            if request.is_model and opened.response.status != 200:
                return await self._fail(request, opened.response)
            request.upstream = opened.response
            return await proceed()
        return await self._handle_broken(request, opened, proceed)

    async def _handle_broken(self, request: RequestContext, broken: Broken, proceed):
        """Handle a connection that failed after bytes may have been sent."""
        if request.is_model:
            # The relay filter resumes the stream over a new connection.
            return await proceed()
        if request.is_idempotent and self.parts.retries.spend():
            return self._retry_elsewhere(request, "cut", broken.reason)
        request.result.fault = "cut"
        await self.parts.background.wait_shielded(record_result(self.parts, request))
        return Refusal(UNCERTAIN, broken.reason, Execution.UNKNOWN)

    async def _fail(self, request: RequestContext, response) -> Refusal:
        status = response.status
        response.close()
        request.result.fault = "error"
        await self.parts.background.wait_shielded(record_result(self.parts, request))
        return Refusal(ENDPOINT_ERROR, f"the endpoint answered {status}", Execution.UNKNOWN)

    def _retry_elsewhere(self, request: RequestContext, fault: str, reason: str) -> RetryElsewhere:
        """Report a failed dispatch and reset the result for the next one."""
        request.result.fault = fault
        report_dispatch(self.parts, request)
        request.result = Result()
        return RetryElsewhere(reason)

    def _record_cancellation(self, request: RequestContext) -> None:
        """Cancel and record a request whose caller disconnected before the answer began."""
        request.result.is_cancelled = True
        grant = request.grant
        if request.is_model:
            self.parts.background.spawn(
                self.parts.upstream.cancel(grant.address, request.stream_id)
            )
        self.parts.background.spawn(record_result(self.parts, request))

    @staticmethod
    def _method(request: RequestContext) -> str:
        return "POST" if request.is_model else request.http.method

    @staticmethod
    def _url(request: RequestContext) -> str:
        address = request.grant.address
        if request.is_model:
            return f"http://{address}/v1/chat/completions"
        return f"http://{address}{service_target(request.http.rel_url)}"

    @staticmethod
    def _body(request: RequestContext) -> bytes | None:
        """Return the body for the endpoint; an engine is always asked for a stream."""
        if not request.is_model:
            return request.body or None
        payload = request.payload
        if payload.get("stream") is True and payload.get("max_tokens") == request.output_tokens:
            return request.body
        changed = {**payload, "stream": True, "max_tokens": request.output_tokens}
        return json.dumps(changed).encode()

    @staticmethod
    def _headers(request: RequestContext) -> dict[str, str]:
        headers = {"X-Request-Id": request.stream_id}
        if request.is_model:
            headers["Content-Type"] = "application/json"
            headers["Accept"] = "text/event-stream"
            return headers
        for name in PASSED_HEADERS:
            if name in request.http.headers:
                headers[name] = request.http.headers[name]
        return headers
