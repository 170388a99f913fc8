"""Handling of a reused key: attach to the running stream, or replay the stored answer."""

from __future__ import annotations

from aiohttp import web

from mulberrygate.core.outcome import Execution, Refusal
from mulberrygate.entry.codes import ANSWER_NOT_KEPT
from mulberrygate.entry.context import EntryParts, RequestContext, attempt_stream_id
from mulberrygate.entry.relay import (
    StreamDelivery,
    completion_response,
    open_reader,
    start_stream,
    unpack_service_answer,
)
from mulberrygate.entry.stream import EVENT_END, AnswerText
from mulberrygate.ledger import Record

MAX_OFFSET_DIGITS = 9


async def attach_stream(
    parts: EntryParts, request: RequestContext, record: Record
) -> web.StreamResponse | Refusal:
    """Relay the stream of an earlier attempt from the engine that runs it."""
    if not request.is_model:
        return Refusal(ANSWER_NOT_KEPT, execution=Execution.COMPLETED)
    stream = attempt_stream_id(record.attempt)
    request.dispatched_at = parts.timers.now()
    follower = open_reader(parts, record.address, stream, wanted_offset(request, stream))
    follower.start(None)
    try:
        outcome = await StreamDelivery(parts, request, follower).run()
    finally:
        follower.close()
    if isinstance(outcome, Refusal) and record.has_run():
        return Refusal(ANSWER_NOT_KEPT, execution=Execution.COMPLETED)
    return outcome


def wanted_offset(request: RequestContext, stream: str) -> int:
    """Return the offset of the first event that the caller has not received.

    Explanation
    ===========
    It is 0 unless ``Last-Event-ID`` names an event of this stream.
    """
    name, _, offset = request.http.headers.get("Last-Event-ID", "").rpartition(":")
    is_number = offset.isascii() and offset.isdigit() and len(offset) <= MAX_OFFSET_DIGITS
    if request.wants_stream and name == stream and is_number:
        return int(offset) + 1
    return 0


async def replay(request: RequestContext, answer: bytes) -> web.StreamResponse | Refusal:
    """Return the response made from an answer that the ledger stored."""
    if not request.is_model:
        return unpack_service_answer(answer, request)
    if not request.wants_stream:
        text = AnswerText()
        text.add(answer)
        events = answer.count(EVENT_END) - 2
        return completion_response(request, text, max(0, events))
    response = await start_stream(request)
    first_line = answer[: answer.find(b"\n")].decode()
    skipped = wanted_offset(request, first_line.removeprefix("id: ").rpartition(":")[0])
    events = answer.split(EVENT_END)[:-1]
    for event in events[skipped:]:
        await response.write(event + EVENT_END)
    await response.write_eof()
    return response
