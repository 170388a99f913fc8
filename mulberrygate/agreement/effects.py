"""Records to persist, and effects of `AgreementNode` beside those of `core`."""

from __future__ import annotations

import enum

import attrs

from mulberrygate.agreement.messages import Entry, Snapshot
from mulberrygate.core.effects import Effect


class Role(enum.Enum):
    """Role of a voter."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"
    STOPPED = "stopped"


@attrs.frozen
class JoinRecord:
    """The disk belongs to this cluster from now on."""

    cluster: str


@attrs.frozen
class TermRecord:
    """Current term, and the disk that got the vote in it."""

    term: int
    voted_for: str


@attrs.frozen
class EntryRecord:
    """A log entry; it replaces the entry at its index and all after it."""

    entry: Entry


@attrs.frozen
class Apply(Effect):
    """Apply a committed command."""

    index: int
    term: int
    command: bytes


@attrs.frozen
class CaughtUp(Effect):
    """What the effects before this one applied is everything that was committed at a time."""

    at: float


@attrs.frozen
class InternalEntryCommitted(Effect):
    """The committed entry at this index holds no command."""

    index: int
    term: int


@attrs.frozen
class TakeSnapshot(Effect):
    """Take a snapshot of the machine and pass it to `AgreementNode.snapshot_taken`."""

    index: int


@attrs.frozen
class SaveSnapshot(Effect):
    """Save a snapshot durably and drop the log up to ``base_index``."""

    snapshot: Snapshot
    base_index: int
    base_term: int


@attrs.frozen
class InstallSnapshot(Effect):
    """Replace the state of the machine."""

    snapshot: Snapshot


@attrs.frozen
class RoleChanged(Effect):
    """This voter has another role or term."""

    role: Role
    term: int


@attrs.frozen
class ReadReady(Effect):
    """A read may be answered: all entries up to ``index`` are applied."""

    number: int
    index: int


@attrs.frozen
class ReadFailed(Effect):
    """A read can't be answered here; this voter no longer leads."""

    number: int
