"""Messages between instances for operators' requests and reports."""

from __future__ import annotations

import attrs

from mulberrygate.core.wire import message
from mulberrygate.observe.events import StampedEvent


@message("control.apply_request")
@attrs.frozen
class ApplyRequest:
    """Request of an entry to the leader: put a version of a table in force.

    Parameters
    ==========
    table : str
        ``routes`` or ``pools``.
    content : bytes
        Text of the table file.
    operator : str
        Name of the operator, for the timeline.
    """

    table: str
    content: bytes
    operator: str


@message("control.evacuation_request")
@attrs.frozen
class EvacuationRequest:
    """Request of an entry to the leader: evacuate a failure domain, or withdraw that.

    Parameters
    ==========
    operator : str
        Name of the operator, for the timeline.
    """

    failure_domain: str
    is_evacuated: bool
    operator: str


@message("control.answer")
@attrs.frozen
class ControlAnswer:
    """Answer of the leader to an entry: result of a request, or the name of the leader.

    Parameters
    ==========
    is_leader : bool
        Whether the answer comes from the leader; if not, ``leader`` names it if it is known.
    code : int
        0 for success, else the number of a result code.
    revision : int
        Revision at which an accepted change is in force.
    """

    is_leader: bool
    leader: str = ""
    code: int = 0
    revision: int = 0
    detail: str = ""


@message("control.find_leader")
@attrs.frozen
class FindLeader:
    """Request to a voter for the name of the leader."""


@message("control.read_table")
@attrs.frozen
class ReadTable:
    """Request of an entry to the leader for the text of a table, confirmed by a majority."""

    table: str


@message("control.table_text")
@attrs.frozen
class TableText:
    """Answer of the leader to an entry: text of a table in force."""

    is_leader: bool
    leader: str = ""
    code: int = 0
    detail: str = ""
    version: int = 0
    content: bytes = b""


@message("control.events_query")
@attrs.frozen
class EventsQuery:
    """Request to an instance for the newest events of its timeline."""

    subjects: dict[str, str]
    limit: int


@message("control.events_answer")
@attrs.frozen
class EventsAnswer:
    """Newest events of an instance's timeline, oldest first."""

    entries: tuple[StampedEvent, ...]


@message("control.status_query")
@attrs.frozen
class StatusQuery:
    """Request to an instance for its status."""


@message("control.status_answer")
@attrs.frozen
class StatusAnswer:
    """Status of an instance, as JSON text."""

    text: str
