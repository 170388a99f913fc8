"""Splitting of server-sent event streams at event boundaries."""

from __future__ import annotations

import re

ID_LINE = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)
BOUNDARY = re.compile(rb"\r?\n\r?\n")
LONGEST_BOUNDARY = 4
MAX_EVENT_BYTES = 256 << 10
MAX_NUMBER_DIGITS = 18


class EventTooLong(Exception):
    """An event is larger than `MAX_EVENT_BYTES`."""


class NotContinued(Exception):
    """A stream that was resumed doesn't go on after the last event that was passed on."""


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
    can_resume : bool
        Whether the last event had an identifier after which another endpoint can go on.
    must_continue : bool
        Whether the next event has to follow the last one, since another endpoint sends it.

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
        self.can_resume = False
        self.must_continue = False

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the complete events.

        Raises
        ======
        EventTooLong
            The incomplete event at the end exceeds the size limit.
        NotContinued
            The first event from another endpoint doesn't state that it follows the last one.
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

    def begin_run(self) -> None:
        """Discard the incomplete event of a broken stream; the next bytes are another answer's."""
        self.incomplete = b""
        self.must_continue = self.count > 0

    def _record_event(self, event: bytes) -> None:
        found = ID_LINE.search(event)
        identifier = found[1].decode("ascii", "replace").strip() if found else ""
        if self.must_continue and not does_follow(identifier, self.last_id):
            raise NotContinued(f"event {identifier!r} does not follow event {self.last_id!r}")
        self.must_continue = False
        self.can_resume = is_event_number(identifier)
        self.last_id = identifier or self.last_id
        self.count += 1


class TextPasser(EventSplitter):
    """Passes text of the type of events on as it arrives.

    It is for answers that are no streams by their route. They are never resumed, and need not end
    with a whole event. The event that has begun counts as well.

    Examples
    ========
    >>> from mulberrygate.forward.events import TextPasser
    >>> passer = TextPasser()
    >>> passer.feed(b"data: a\\n"), passer.feed(b"\\ndata: b"), passer.count
    (b'data: a\\n', b'\\ndata: b', 2)
    """

    def __init__(self):
        super().__init__()
        self.tail = b""

    def feed(self, data: bytes) -> bytes:
        """Return the bytes as they are."""
        text = self.tail + data
        ends = [match.end() for match in BOUNDARY.finditer(text)]
        self.count = max(1, self.count) + sum(end > len(self.tail) for end in ends)
        self.tail = text[-LONGEST_BOUNDARY + 1 :]
        return data


def is_event_number(identifier: str) -> bool:
    """Return whether an event's identifier is a number, so that its order is known."""
    is_number = identifier.isascii() and identifier.isdigit()
    return is_number and len(identifier) <= MAX_NUMBER_DIGITS


def does_follow(identifier: str, earlier: str) -> bool:
    """Return whether an event comes after another one by their identifiers.

    Examples
    ========
    >>> from mulberrygate.forward.events import does_follow
    >>> does_follow("10", "9"), does_follow("1", "9"), does_follow("", "9")
    (True, False, False)
    """
    are_numbers = is_event_number(identifier) and is_event_number(earlier)
    return are_numbers and int(identifier) > int(earlier)
