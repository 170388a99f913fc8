"""Records that a voter persists, and the effects specific to `AgreementNode`."""

from __future__ import annotations

import enum

import attrs

from mulberrygate.agreement.messages import Entry, Members, Snapshot
from mulberrygate.core.effects import Effect


class Role(enum.Enum):
    """Role of a voter; a stopped voter answers nothing."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"
    STOPPED = "stopped"


@attrs.frozen
class JoinRecord:
    """Binds the disk to a cluster for good."""

    cluster: str


@attrs.frozen
class TermRecord:
    """Current term, and the disk that this voter voted for in it (empty for none)."""

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
    """Every entry that was committed at time ``at`` has been applied by the earlier effects."""

    at: float


@attrs.frozen
class InternalEntryCommitted(Effect):
    """The entry at this index is committed; it holds no command to apply."""

    index: int
    term: int


@attrs.frozen
class TakeSnapshot(Effect):
    """Take a snapshot of the state machine and pass it to `AgreementNode.snapshot_taken`."""

    index: int


@attrs.frozen
class SaveSnapshot(Effect):
    """Save a snapshot durably and drop the log up to ``base_index``."""

    snapshot: Snapshot
    base_index: int
    base_term: int


@attrs.frozen
class InstallSnapshot(Effect):
    """Replace the state of the state machine."""

    snapshot: Snapshot


@attrs.frozen
class RoleChanged(Effect):
    """This voter has changed its role, or has become leader of a new term."""

    role: Role
    term: int


@attrs.frozen
class MembersChanged(Effect):
    """This voter goes by other members from the entry, or the snapshot, at ``index`` on."""

    index: int
    members: Members


@attrs.frozen
class JoinAsked(Effect):
    """This voter has asked instances to be taken into the group."""

    names: tuple[str, ...]


@attrs.frozen
class ReadReady(Effect):
    """A read may be answered: all entries up to ``index`` are applied."""

    number: int
    index: int


@attrs.frozen
class ReadFailed(Effect):
    """A read can't be answered here, because this voter no longer leads."""

    number: int
