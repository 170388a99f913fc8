"""Filter: relay the whole answer of an endpoint to the caller."""

from __future__ import annotations

import asyncio
import json

import aiohttp
import msgpack
from aiohttp import hdrs, web

from mulberrygate.core.memory_budget import SMALL_BYTES
from mulberrygate.core.memory_gate import GrowingHold
from mulberrygate.core.outcome import Execution, Refusal
from mulberrygate.core.paced_response import whole_response, write_stream
from mulberrygate.core.promises import keeps_promise, promises_not_run
from mulberrygate.entry.answers import problem_event
from mulberrygate.entry.codes import AMBIGUOUS_ANSWER, ANSWER_TOO_LARGE
from mulberrygate.entry.context import EntryParts, RequestContext, Result, RetryElsewhere
from mulberrygate.entry.record import report_dispatch
from mulberrygate.entry.resuming_reader import ResumingReader, StreamFailure
from mulberrygate.entry.stream import AnswerText, Events
from mulberrygate.ledger.codes import UNCERTAIN

# Answers up to this size are stored in the ledger for callers that send the request again.
KEPT_ANSWER_BYTES = 16 << 10
MAX_SERVICE_ANSWER_BYTES = 32 << 20
# A connection to a service that is silent for this time is treated as lost, and so is one on which
# the answer has not ended this long after the request's deadline.
SERVICE_SILENCE_S = 30.0
# A caller that doesn't read blocks the relay by flow control no longer than this.
CALLER_STALL_S = 30.0
# With this many unsent bytes in the write buffer, a write gets a timeout; a timeout around each
# write would cost more than the write itself.
UNREAD_BYTES = 32 << 10
SERVICE_HEADERS = ("Content-Type", "Content-Encoding", "Location", "ETag", "Last-Modified")


class Relay:
    """Relay the answer, which ends either complete or with an explicit error."""

    def __init__(self, parts: EntryParts):
        self.parts = parts

    async def __call__(self, request: RequestContext, proceed):
        if request.is_model:
            return await self._relay_stream(request, proceed)
        return await self._relay_response(request, proceed)

    async def _relay_stream(self, request: RequestContext, proceed):
        grant = request.grant
        follower = open_reader(self.parts, grant.address, request.stream_id)
        follower.start(request.upstream)
        delivery = StreamDelivery(self.parts, request, follower)
        try:
            # In a task of its own, each event does not resume the coroutine frames of all filters.
            outcome = await asyncio.ensure_future(delivery.run())
        except asyncio.CancelledError:
            request.result.is_cancelled = True
            self.parts.background.spawn(
                self.parts.upstream.cancel(grant.address, request.stream_id)
            )
            self.parts.background.spawn(proceed())
            raise
        finally:
            follower.close()
        await self.parts.background.wait_shielded(proceed())
        return outcome

    async def _relay_response(self, request: RequestContext, proceed):
        response = request.upstream
        try:
            left_s = max(0.0, request.remaining_s(self.parts.timers.now()))
            async with asyncio.timeout(left_s + SERVICE_SILENCE_S):
                hold = GrowingHold(self.parts.gate, request.answer_holder)
                body = await self._read_body(response, hold)
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return await self._handle_broken(request, type(error).__name__, proceed)
        finally:
            response.release()
        result = request.result
        result.received_bytes = len(body)
        if len(body) > MAX_SERVICE_ANSWER_BYTES:
            result.fault = "error"
            await self.parts.background.wait_shielded(proceed())
            return Refusal(ANSWER_TOO_LARGE, execution=Execution.COMPLETED)
        headers = {n: response.headers[n] for n in SERVICE_HEADERS if n in response.headers}
        result.is_complete = True
        result.fault = "error" if response.status >= 500 else ""
        result.answer = pack_service_answer(response.status, headers, body)
        if promises_not_run(response.status):
            self._record_ambiguous(request, response.status)
        may_repeat = request.is_idempotent and is_worth_repeating(response.status)
        if may_repeat and self.parts.retries.spend():
            report_dispatch(self.parts, request)
            request.result = Result()
            return RetryElsewhere(f"the endpoint answered {response.status}")
        await self.parts.background.wait_shielded(proceed())
        return service_response(request, response.status, headers, body)

    def _record_ambiguous(self, request: RequestContext, status: int) -> None:
        self.parts.metrics.count("ambiguous_rejections_total", status=str(status))
        self.parts.events.add(
            "entry.ambiguous",
            f"the service answered {status}; the call may have run",
            request=request.request_id,
            endpoint=request.grant.endpoint,
        )

    @staticmethod
    async def _read_body(response: aiohttp.ClientResponse, hold: GrowingHold) -> bytes:
        # The length of an answer to HEAD is that of a body which doesn't come.
        length = None if response.method == hdrs.METH_HEAD else response.content_length
        await hold.cover(SMALL_BYTES if length is None else min(length, MAX_SERVICE_ANSWER_BYTES))
        body = bytearray()
        while len(body) <= MAX_SERVICE_ANSWER_BYTES:
            async with asyncio.timeout(SERVICE_SILENCE_S):
                data = await response.content.readany()
            if not data:
                break
            await hold.cover(len(body) + len(data))
            body += data
        return bytes(body)

    async def _handle_broken(self, request: RequestContext, reason: str, proceed):
        request.result.fault = "cut"
        if request.is_idempotent and self.parts.retries.spend():
            report_dispatch(self.parts, request)
            request.result = Result()
            return RetryElsewhere(reason)
        await self.parts.background.wait_shielded(proceed())
        return Refusal(UNCERTAIN, reason, Execution.UNKNOWN)


def open_reader(parts: EntryParts, address: str, stream: str, offset: int = 0) -> ResumingReader:
    """Return a reader of an engine's stream that reports silent connections."""

    def on_silence() -> None:
        parts.metrics.count("silent_connections_total")
        parts.events.add("entry.silent", "the connection was silent", request=stream)

    return ResumingReader(parts.upstream, address, stream, offset, on_silence)


class StreamDelivery:
    """Deliver the events of one engine stream to the caller.

    Explanation
    ===========
    A caller that asked for server-sent events gets them as they arrive; others get one JSON object
    at the end. A request that may be sent again under its key goes on after its caller disconnects.
    """

    def __init__(self, parts: EntryParts, request: RequestContext, follower: ResumingReader):
        self.parts = parts
        self.request = request
        self.follower = follower
        self.text = None if request.wants_stream else AnswerText()
        self.text_hold = GrowingHold(parts.gate, request.answer_holder)
        self.kept: list[bytes] = []
        self.kept_bytes = 0
        self.is_caller_connected = True

    async def run(self) -> web.StreamResponse | Refusal:
        """Return the response to the caller after the end marker or a failure."""
        while True:
            events = await self.follower.read()
            if isinstance(events, StreamFailure):
                return await self._fail(events)
            self._record_events(events)
            if self.text is not None:
                await self.text_hold.cover(self.request.result.received_bytes)
                self.text.add(events.raw)
            elif self.is_caller_connected:
                await self._write(events.raw)
            if events.is_end:
                return await self._complete()

    def _record_events(self, events: Events) -> None:
        result = self.request.result
        now = self.parts.timers.now()
        if not result.first_token_s:
            result.first_token_s = now - self.request.dispatched_at
        result.output_tokens += events.count - (2 if events.is_end else 0)
        result.received_bytes += len(events.raw)
        if self.request.grant is not None:
            self.parts.scheduler.record_emitted(self.request.grant.request, result.output_tokens)
        self.kept_bytes += len(events.raw)
        if self.kept_bytes <= KEPT_ANSWER_BYTES:
            self.kept.append(events.raw)

    async def _write(self, raw: bytes) -> None:
        """Write to the caller, with a timeout if it does not read fast enough."""
        try:
            if self.request.response is None:
                self.request.response = await start_stream(self.request)
            transport = self.request.http.transport
            if transport is None:
                raise ConnectionResetError("the caller has gone")
            write = write_stream(
                self.parts.gate,
                self.request.answer_holder,
                self.request.http,
                self.request.response,
                raw,
            )
            if transport.get_write_buffer_size() < UNREAD_BYTES:
                await write
            else:
                await asyncio.wait_for(write, CALLER_STALL_S)
        except (TimeoutError, ConnectionError):
            self.is_caller_connected = False
            self.request.result.is_cancelled = True
            if not self.request.outlives_caller:
                raise asyncio.CancelledError from None

    async def _complete(self) -> web.StreamResponse:
        request = self.request
        result = request.result
        result.is_complete = True
        result.output_tokens = max(0, result.output_tokens)
        result.total_s = self.parts.timers.now() - request.dispatched_at
        if self.kept_bytes <= KEPT_ANSWER_BYTES:
            result.answer = b"".join(self.kept)
        if self.text is not None:
            return completion_response(request, self.text, result.output_tokens)
        if self.is_caller_connected:
            await self._end_stream()
        return request.response

    async def _end_stream(self) -> None:
        try:
            await asyncio.wait_for(self.request.response.write_eof(), CALLER_STALL_S)
        except (TimeoutError, ConnectionError):
            self.request.result.is_cancelled = True

    async def _fail(self, failed: StreamFailure) -> web.StreamResponse | Refusal:
        request = self.request
        request.result.fault = failed.fault
        refusal = Refusal(failed.code, failed.detail, Execution.UNKNOWN)
        if request.response is None:
            return refusal
        if self.is_caller_connected:
            await self._write(problem_event(refusal, request.request_id))
            await self._end_stream()
        return request.response


async def start_stream(request: RequestContext) -> web.StreamResponse:
    """Send the response headers to a caller that asked for server-sent events."""
    headers = {"Content-Type": "text/event-stream", "Cache-Control": "no-cache"}
    headers.update(request_id_headers(request))
    response = web.StreamResponse(headers=headers)
    await response.prepare(request.http)
    return response


def request_id_headers(request: RequestContext) -> dict[str, str]:
    """Return the headers with the request's identifier and its idempotency key."""
    headers = {"X-Request-Id": request.request_id}
    if request.key:
        headers["Idempotency-Key"] = request.key
    return headers


def completion_response(
    request: RequestContext, text: AnswerText, tokens: int
) -> web.StreamResponse:
    """Return the response to a caller that asked for one JSON object."""
    completion = text.completion(
        request.request_id, request.route_name, request.prompt_tokens, tokens
    )
    headers = {"Content-Type": "application/json; charset=utf-8", **request_id_headers(request)}
    return whole_response(200, list(headers.items()), json.dumps(completion).encode())


def pack_service_answer(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Encode a service's answer for the ledger; return no bytes if it is too large."""
    packed = msgpack.packb([status, headers, body])
    return packed if len(packed) <= KEPT_ANSWER_BYTES else b""


def unpack_service_answer(packed: bytes, request: RequestContext) -> web.StreamResponse | Refusal:
    """Return the response made from a service's answer that the ledger stored."""
    status, headers, body = msgpack.unpackb(packed)
    return service_response(request, status, headers, body)


def service_response(
    request: RequestContext, status: int, headers: dict[str, str], body: bytes
) -> web.StreamResponse | Refusal:
    """Return the response to the caller that is made from a service's answer.

    Explanation
    ===========
    It is a refusal if the status promises "not run": the protocol of services has no statement of
    that, so the call may have run.
    """
    if not keeps_promise(status, Execution.UNKNOWN):
        detail = f"the service answered {status}; the call may have run"
        return Refusal(AMBIGUOUS_ANSWER, detail, Execution.UNKNOWN)
    headers = {**headers, **request_id_headers(request)}
    return whole_response(status, list(headers.items()), body)


def is_worth_repeating(status: int) -> bool:
    """Return whether another service instance may answer an idempotent call better."""
    return promises_not_run(status) or status in (502, 504)
