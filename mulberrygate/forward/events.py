"""Splitting of server-sent event streams at event boundaries."""

from __future__ import annotations

import re

ID_LINE = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)
BOUNDARY = re.compile(rb"\r?\n\r?\n")
MAX_EVENT_BYTES = 256 << 10


class EventTooLong(Exception):
    """An event is larger than `MAX_EVENT_BYTES`."""


class EventSplitter:
    """Splitter that returns complete events, so that a broken stream can be resumed after them.

    Attributes
    ==========
    incomplete : bytes
        Begin of an event whose end has not arrived.
    last_id : str
        Identifier of the last event that had one.
    count : int
        Number of complete events.

    Examples
    ========
    >>> from mulberrygate.forward.events import EventSplitter
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    b'id: 1\\ndata: a\\n\\n'
    >>> splitter.last_id, splitter.count, splitter.incomplete
    ('1', 1, b'id: 2\\nda')
    """

    def __init__(self):
        self.incomplete = b""
        self.last_id = ""
        self.count = 0

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the complete events.

        Raises
        ======
        EventTooLong
            The incomplete event at the end exceeds the size limit.
        """
        buffer = self.incomplete + data if self.incomplete else data
        end = 0
        for boundary in BOUNDARY.finditer(buffer):
            self._record_event(buffer[end : boundary.start()])
            end = boundary.end()
        self.incomplete = buffer[end:]
        if len(self.incomplete) > MAX_EVENT_BYTES:
            raise EventTooLong(f"{len(self.incomplete)} bytes without the end of an event")
        return buffer[:end]

    def drop_incomplete(self) -> None:
        """Discard the incomplete event of a broken stream."""
        self.incomplete = b""

    def _record_event(self, event: bytes) -> None:
        found = ID_LINE.search(event)
        if found:
            self.last_id = found[1].decode("ascii", "replace").strip()
        self.count += 1
