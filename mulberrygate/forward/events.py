"""Splitting of event streams at event boundaries."""

from __future__ import annotations

import re

ID_LINE = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)
BOUNDARY = re.compile(rb"\r?\n\r?\n")
MAX_EVENT_BYTES = 256 << 10


class EventTooLong(Exception):
    """An event has no end within the largest size."""


class EventSplitter:
    """Return whole events of a stream, so that a broken one can be taken up after the last.

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
        """Take bytes and return those that end with a whole event.

        Raises
        ======
        EventTooLong
            What came after the last whole event is longer than an event may be.
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
        """Forget an event that was cut off."""
        self.incomplete = b""

    def _record_event(self, event: bytes) -> None:
        found = ID_LINE.search(event)
        if found:
            self.last_id = found[1].decode("ascii", "replace").strip()
        self.count += 1
