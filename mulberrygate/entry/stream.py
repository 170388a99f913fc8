"""Parsing, validation and assembly of the events of an answer stream."""

from __future__ import annotations

import json

import attrs

EVENT_END = b"\n\n"
END_LINE = b"\ndata: [DONE]\n\n"
# An event of a model engine holds one or a few tokens; more bytes than this are malformed.
MAX_EVENT_BYTES = 1 << 20


class StreamError(ValueError):
    """An answer violates the endpoint protocol."""


@attrs.frozen
class Events:
    """Validated events that arrived together.

    Parameters
    ==========
    raw : bytes
        The events as the engine sent them.
    count : int
        Number of events in ``raw``.
    is_end : bool
        Whether the last one is the end marker.
    has_gap : bool
        Whether an offset is missing after ``raw``, so that the stream has to be resumed.
    """

    raw: bytes
    count: int
    is_end: bool
    has_gap: bool


class EventReader:
    """Parser that splits an answer into events and drops those that don't belong to it.

    Explanation
    ===========
    The id of an event is ``<request>:<offset>``. An event of another request or with an offset
    that was seen before is dropped, so late, repeated and unrelated events never reach the caller.

    Parameters
    ==========
    request : str
        Identifier that the answer's events must carry.
    offset : int
        Offset of the first event to return.

    Examples
    ========
    >>> from mulberrygate.entry.stream import EventReader
    >>> reader = EventReader("r1", 0)
    >>> first, other = b"id: r1:0\\ndata: {}\\n\\n", b"id: r2:1\\ndata: {}\\n\\n"
    >>> reader.feed(first + other + first).raw == first
    True
    >>> reader.dropped
    2
    """

    def __init__(self, request: str, offset: int):
        self.id_prefix = b"id: " + request.encode() + b":"
        self.offset = offset
        self.dropped = 0
        self.buffer = b""

    def restart(self) -> None:
        """Discard the incomplete event of a broken connection."""
        self.buffer = b""

    def feed(self, data: bytes) -> Events:
        """Add bytes and return the events that they complete.

        Raises
        ======
        StreamError
            An event is too large or its id is malformed.
        """
        buffer = self.buffer + data if self.buffer else data
        kept: list[bytes] = []
        is_end = has_gap = False
        start = 0
        while not is_end and not has_gap:
            end = buffer.find(EVENT_END, start)
            if end < 0:
                break
            event = buffer[start : end + 2]
            start = end + 2
            offset = self._offset(event)
            if offset < 0 or offset < self.offset:
                self.dropped += offset != -2
            elif offset > self.offset:
                has_gap = True
            else:
                self.offset += 1
                kept.append(event)
                is_end = event.endswith(END_LINE)
        self.buffer = buffer[start:]
        if len(self.buffer) > MAX_EVENT_BYTES:
            raise StreamError("an event is larger than 1 MiB")
        return Events(b"".join(kept), len(kept), is_end, has_gap)

    def _offset(self, event: bytes) -> int:
        """Return the offset of an event, -1 for one of another request, -2 for a comment."""
        if event.startswith(b":"):
            return -2
        if not event.startswith(self.id_prefix):
            return -1
        line_end = event.find(b"\n")
        try:
            return int(event[len(self.id_prefix) : line_end])
        except ValueError:
            raise StreamError("the offset of an event is not a number") from None


class AnswerText:
    """Assembler of the text of a complete answer from its events."""

    def __init__(self):
        self.parts: list[str] = []
        self.finish_reason: str | None = None

    def add(self, raw: bytes) -> None:
        """Append the text of some events."""
        for event in raw.split(EVENT_END):
            _, _, data = event.partition(b"data: ")
            if not data or data == b"[DONE]":
                continue
            choice = _first_choice(data)
            delta = choice.get("delta")
            content = delta.get("content") if isinstance(delta, dict) else None
            self.parts.append(content if isinstance(content, str) else "")
            finish_reason = choice.get("finish_reason")
            if isinstance(finish_reason, str):
                self.finish_reason = finish_reason

    def completion(self, request: str, model: str, prompt_tokens: int, tokens: int) -> dict:
        """Return the chat completion object."""
        return {
            "id": request,
            "object": "chat.completion",
            "model": model,
            "choices": [
                {
                    "index": 0,
                    "message": {"role": "assistant", "content": "".join(self.parts)},
                    "finish_reason": self.finish_reason or "stop",
                }
            ],
            "usage": {
                "prompt_tokens": prompt_tokens,
                "completion_tokens": tokens,
                "total_tokens": prompt_tokens + tokens,
            },
        }


def _first_choice(data: bytes) -> dict:
    """Return the first choice of a chunk, empty if the chunk has no valid one."""
    try:
        choice = json.loads(data)["choices"][0]
    except (ValueError, KeyError, IndexError, TypeError, RecursionError):
        return {}
    return choice if isinstance(choice, dict) else {}
