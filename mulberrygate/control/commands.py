"""Commands of the replicated control log and their results."""

from __future__ import annotations

import attrs

from mulberrygate.core.wire import message
from mulberrygate.ledger.views import Shard


@message("control.apply_table")
@attrs.frozen
class ApplyTable:
    """Put a version of a table in force.

    Parameters
    ==========
    table : str
        ``routes`` or ``pools``.
    version : int
        Version that the table names.
    content : bytes
        Text of the table file.
    digest : str
        SHA-256 of the table's values, so that comments and white space don't count.
    operator : str
        Name of the operator, for the timeline.
    at : float
        Unix time in seconds at which the leader received the table.
    """

    table: str
    version: int
    content: bytes
    digest: str
    operator: str
    at: float


@message("control.put_shards")
@attrs.frozen
class PutShards:
    """Replace shards whose view numbers still match ``expected``; skip the others.

    Parameters
    ==========
    shards : tuple[Shard, ...]
        New states.
    expected : tuple[tuple[int, int], ...]
        For each shard, the numbers that its active and its preparing view must have; 0 for none.
    """

    shards: tuple[Shard, ...]
    expected: tuple[tuple[int, int], ...]


@message("control.advance_move")
@attrs.frozen
class AdvanceMove:
    """Set the stage, share and verdict of a version move.

    Parameters
    ==========
    pool : str
    table_version : int
        Version of the pools table that declared the move.
    stage : int
        Stage of the move; it never falls before the verdict.
    share : float
        Share of the traffic that the new version gets, 0 to 1.
    verdict : str
        Empty, ``done``, ``withdrawn`` or ``late``.
    reason : str
        One short sentence.
    """

    pool: str
    table_version: int
    stage: int
    share: float
    verdict: str = ""
    reason: str = ""


@message("control.take_fence")
@attrs.frozen
class TakeFence:
    """Take the next fencing number for a leader's term.

    Parameters
    ==========
    leader : str
    term : int
    """

    leader: str
    term: int


@message("control.set_evacuation")
@attrs.frozen
class SetEvacuation:
    """Evacuate a failure domain, or withdraw its evacuation.

    Parameters
    ==========
    operator : str
        Name of the operator, for the timeline.
    at : float
        Unix time in seconds at which the leader received the order.
    """

    failure_domain: str
    is_evacuated: bool
    operator: str
    at: float


@message("control.evacuation_state")
@attrs.frozen
class EvacuationState:
    """Evacuated failure domain in the configuration (section ``evacuations``).

    Parameters
    ==========
    operator, at
        As in `SetEvacuation`.
    """

    failure_domain: str
    operator: str
    at: float


@message("control.result")
@attrs.frozen
class CommandResult:
    """Result of a command.

    Parameters
    ==========
    code : int
        0 for success, else the number of a result code.
    revision : int
        Revision at which the accepted state is in force.
    detail : str
        One sentence; on a conflict, the version that is in force.
    value : int
        Fencing number for `TakeFence`, number of changed shards for `PutShards`; else 0.
    """

    code: int = 0
    revision: int = 0
    detail: str = ""
    value: int = 0


@message("control.entry")
@attrs.frozen
class ConfigEntry:
    """Entry of the configuration that is delivered to every instance.

    Parameters
    ==========
    section : str
        ``routes``, ``accounts``, ``pools``, ``tables``, ``shards``, ``moves`` or ``evacuations``.
    name : str
    revision : int
        Log index of the command that last changed it.
    body : bytes
        Encoded value; empty for an entry that was removed.
    """

    section: str
    name: str
    revision: int
    body: bytes


@message("control.move_state")
@attrs.frozen
class MoveState:
    """State of a version move in the configuration (section ``moves``).

    Parameters
    ==========
    pool : str
    table_version : int
        Version of the pools table that declared the move.
    previous, version : str
        Previous and new version.
    stage, share, verdict, reason
        As in `AdvanceMove`.
    started_at : float
        Unix time in seconds at which the move started.
    """

    pool: str
    table_version: int
    previous: str
    version: str
    stage: int = 0
    share: float = 0.0
    verdict: str = ""
    reason: str = ""
    started_at: float = 0.0


@message("control.table_state")
@attrs.frozen
class TableState:
    """Version of a table in force (section ``tables``); fields as in `ApplyTable`."""

    table: str
    version: int
    digest: str
    operator: str
    at: float
