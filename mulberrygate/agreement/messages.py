"""Messages between voters, and the types of their fields.

Explanation
===========
Voters are identified by the random identifier of their disk, not by their name. A message to a
voter names the disk that it is addressed to, so a voter that restarts with another disk does not
answer messages to its former identity. In all messages ``disk`` is the disk of the sender,
``to_disk`` that of the receiver, and ``cluster`` the identifier of the group.
"""

from __future__ import annotations

import enum

import attrs
from cattrs.gen import make_dict_structure_fn, make_dict_unstructure_fn, override

from mulberrygate.core.wire import converter, message


class EntryKind(enum.IntEnum):
    """Contents of a log entry; ``NOTHING`` is the first entry of a new leader's term."""

    COMMAND = 0
    MEMBERS = 1
    NOTHING = 2


@attrs.frozen
class Entry:
    """Entry of the replicated log."""

    index: int
    term: int
    kind: EntryKind
    body: bytes = b""


@attrs.frozen
class Member:
    """Voter or learner of the group.

    Parameters
    ==========
    name : str
        Instance name.
    address : str
        Peer address, ``host:port``.
    disk : str
        Random identifier of its disk.
    is_voter : bool
        Whether it counts towards a majority.
    """

    name: str
    address: str
    disk: str
    is_voter: bool


@attrs.frozen
class Members:
    """Voters and learners of the group, as stored in a log entry."""

    members: tuple[Member, ...] = ()

    def voters(self) -> tuple[Member, ...]:
        """Return the members that count towards a majority."""
        return tuple(member for member in self.members if member.is_voter)

    def learners(self) -> tuple[Member, ...]:
        """Return the members that receive the log but do not vote."""
        return tuple(member for member in self.members if not member.is_voter)

    def majority(self) -> int:
        """Return the number of voters that make a majority."""
        return len(self.voters()) // 2 + 1

    def by_disk(self, disk: str) -> Member | None:
        """Return the member with this disk, ``None`` if there is none."""
        return next((member for member in self.members if member.disk == disk), None)

    def voter_named(self, name: str) -> Member | None:
        """Return the voter with this name, ``None`` if there is none."""
        return next((member for member in self.voters() if member.name == name), None)

    def without(self, disk: str) -> Members:
        """Return the members without one disk."""
        return Members(tuple(member for member in self.members if member.disk != disk))

    def plus(self, member: Member) -> Members:
        """Return the members with one added or replaced."""
        return Members((*self.without(member.disk).members, member))


@attrs.frozen
class Snapshot:
    """State of the state machine, and the members, after the entry at ``index``."""

    index: int
    term: int
    members: Members
    data: bytes


@message("agreement.append")
@attrs.frozen
class Append:
    """Log entries from the leader, or a heartbeat without entries.

    Parameters
    ==========
    prev_index, prev_term : int
        Index and term of the entry before ``entries``.
    commit : int
        The leader's commit index.
    round : int
        Number of the leader's broadcast, returned in the reply; it confirms reads.
    sent_at : float
        Leader's monotonic clock in seconds, returned in the reply; it extends the lease.
    silent : tuple[tuple[str, float], ...]
        Disks of voters that do not answer, and for how many seconds they have not.
    """

    cluster: str
    term: int
    disk: str
    to_disk: str
    prev_index: int
    prev_term: int
    commit: int
    round: int
    sent_at: float
    entries: tuple[Entry, ...] = ()
    silent: tuple[tuple[str, float], ...] = ()


@message("agreement.append_reply")
@attrs.frozen
class AppendReply:
    """Reply to `Append`; ``index`` is the last matching index, or where to compare next."""

    cluster: str
    term: int
    disk: str
    is_ok: bool
    index: int
    round: int
    sent_at: float


@message("agreement.vote")
@attrs.frozen
class VoteRequest:
    """Request for a vote, or for a pre-vote (``is_pre``)."""

    cluster: str
    term: int
    disk: str
    to_disk: str
    last_index: int
    last_term: int
    is_pre: bool
    is_transfer: bool = False


@message("agreement.vote_reply")
@attrs.frozen
class VoteReply:
    """Reply to `VoteRequest`."""

    cluster: str
    term: int
    disk: str
    is_pre: bool
    is_granted: bool


@message("agreement.snapshot_part")
@attrs.frozen
class SnapshotPart:
    """Part of a snapshot, for a member whose next entry is no longer in the leader's log.

    Parameters
    ==========
    index, index_term : int
        Index and term of the last entry that the snapshot covers.
    offset : int
        Position of ``data`` in the snapshot.
    size : int
        Size of the whole snapshot in bytes.
    round, sent_at
        As in `Append`.
    """

    cluster: str
    term: int
    disk: str
    to_disk: str
    index: int
    index_term: int
    members: Members
    offset: int
    size: int
    data: bytes
    round: int
    sent_at: float


@message("agreement.snapshot_reply")
@attrs.frozen
class SnapshotReply:
    """Reply to `SnapshotPart`; ``offset`` is the next byte to send."""

    cluster: str
    term: int
    disk: str
    index: int
    offset: int
    is_done: bool
    round: int
    sent_at: float


@message("agreement.timeout_now")
@attrs.frozen
class TimeoutNow:
    """Order to start an election without delay, from a leader that has stepped down."""

    cluster: str
    term: int
    disk: str
    to_disk: str


@message("agreement.probe")
@attrs.frozen
class Probe:
    """Question whether a first voter is in a group; the founder asks it with an empty disk."""

    disk: str


@message("agreement.probe_reply")
@attrs.frozen
class ProbeReply:
    """Reply to `Probe`; ``cluster`` is empty if the disk never was in a group."""

    for_disk: str
    name: str
    disk: str
    cluster: str


@message("agreement.found")
@attrs.frozen
class FirstEntry:
    """First entry of the log, for a first voter that is in no group yet."""

    cluster: str
    to_disk: str
    members: Members


@message("agreement.join")
@attrs.frozen
class JoinRequest:
    """Request of an instance to be added to the group with its present disk."""

    name: str
    address: str
    disk: str


def shorten(cls: type, names: dict[str, str]) -> None:
    """Set short wire names for the fields of a message, and omit fields with default values."""
    overrides = {name: override(rename=short) for name, short in names.items()}
    structure = make_dict_structure_fn(cls, converter, **overrides)
    converter.register_structure_hook(cls, structure)
    unstructure = make_dict_unstructure_fn(
        cls, converter, _cattrs_omit_if_default=True, **overrides
    )
    converter.register_unstructure_hook(cls, unstructure)


# Heartbeats and their replies are nearly all the traffic of an idle group, and full field names
# took over a third of their bodies.
HEARTBEAT_NAMES = {"cluster": "c", "term": "t", "disk": "d", "round": "r", "sent_at": "s"}
shorten(
    Append,
    {
        **HEARTBEAT_NAMES,
        "to_disk": "to",
        "prev_index": "pi",
        "prev_term": "pt",
        "commit": "ci",
        "entries": "e",
        "silent": "si",
    },
)
shorten(AppendReply, {**HEARTBEAT_NAMES, "is_ok": "ok", "index": "i"})
