"""State of a voter, and the operations that the mixins of `AgreementNode` share."""

from __future__ import annotations

import random

import attrs

from mulberrygate.agreement import codes
from mulberrygate.agreement.effects import (
    Apply,
    EntryRecord,
    InternalEntryCommitted,
    MembersChanged,
    ReadFailed,
    ReadReady,
    Role,
    RoleChanged,
    TakeSnapshot,
    TermRecord,
)
from mulberrygate.agreement.log import Log
from mulberrygate.agreement.messages import Entry, EntryKind, Members
from mulberrygate.agreement.settings import AgreementSettings
from mulberrygate.agreement.state import StorageState
from mulberrygate.core.effects import Effect, Persist
from mulberrygate.core.invariant import invariant
from mulberrygate.core.wire import converter

NEVER = float("-inf")
# Random range of the first election time of voters that start together, as a share of the
# election timeout.
FIRST_ELECTION_JITTER = 0.3


@attrs.define
class Progress:
    """Replication progress of a member, as the leader knows it.

    Parameters
    ==========
    match : int
        Index of the last entry that the member is known to hold.
    next : int
        Index of the next entry to send. It advances when entries are sent, before the reply.
    last_contact_at : float
        Time of the member's last reply in this leadership, on the leader's monotonic clock.
    acked_next : int
        Value of ``next`` according to replies alone; each heartbeat resumes there.
    acked_sent_at : float
        Latest send time among the messages that the member has answered. It extends the lease.
    acked_round : int
        Highest broadcast that the member has answered. It confirms reads.
    snapshot_offset : int
        Next byte of the snapshot to send.
    """

    match: int = 0
    next: int = 1
    last_contact_at: float = NEVER
    acked_next: int = 1
    acked_sent_at: float = NEVER
    acked_round: int = 0
    snapshot_offset: int = 0


@attrs.define
class Read:
    """Pending read: a majority has to answer broadcast ``round``, and ``index`` to be applied."""

    number: int
    round: int
    index: int


class NodeBase:
    """State and shared operations; see `mulberrygate.agreement.node.AgreementNode`.

    Attributes
    ==========
    disk, cluster : str
        Identifiers of this disk and of its group; the latter is empty before it joins one.
    commit, applied : int
        Index of the last committed entry, and of the last one that was passed on to be applied.
    members_index : int
        Index of the entry, or of the snapshot, from which ``members`` comes.
    leader_disk : str
        Disk of the leader that this voter follows, empty if it is not known.
    term_leader : str
        Disk of the only leader of this term. It is kept when that leader is lost.
    round : int
        Number of the last broadcast of this leader.
    lease_until : float
        Time at which this leader's lease expires.
    term_start_index : int
        Index of the first entry of this leader's term.
    last_contact_at : float
        Time of the last message from a leader.
    heard_at : dict[str, float]
        Time at which a leader, this voter or a former one, last heard from a member's disk.
    heard_reported_at : float
        Time for which ``heard_at`` was right: that of the last heartbeat, or of the end of this
        voter's own leadership.
    contacts : set[str]
        Instances that may know the group, besides the first voters and the members.
    votes : set[str]
        Disks that granted the current pre-vote (``is_pre``) or vote.
    effects : list[Effect]
        Effects of the current step, in order.
    """

    def __init__(
        self,
        voter: str,
        peers: dict[str, str],
        state: StorageState,
        rng: random.Random,
        settings: AgreementSettings | None = None,
        address: str = "",
        silent_since: float | None = None,
    ):
        self.voter = voter
        self.first_voters = dict(peers)
        self.address = address or peers.get(voter, "")
        self.rng = rng
        self.settings = settings or AgreementSettings()
        self.disk = state.identity.disk
        self.cluster = state.identity.cluster
        self.term = state.term
        self.voted_for = state.voted_for
        self.log = Log(state.base_index, state.base_term, state.entries)
        self.snapshot = state.snapshot
        self.commit = self.applied = state.snapshot.index if state.snapshot else 0
        self.members = Members()
        self.members_index = 0
        self.reload_members()
        self.role = Role.FOLLOWER
        self.leader_disk = ""
        self.term_leader = ""
        self.progress: dict[str, Progress] = {}
        self.reads: list[Read] = []
        self.read_number = 0
        self.round = 0
        self.lease_until = NEVER
        self.leader_since = NEVER
        self.term_start_index = 0
        self.started_at: float | None = None
        self.silent_since = silent_since
        self.last_contact_at = NEVER
        self.election_due = NEVER
        self.heartbeat_due = NEVER
        self.heard_at: dict[str, float] = {}
        self.heard_reported_at = NEVER
        self.contacts: set[str] = set()
        self.votes: set[str] = set()
        self.is_pre = False
        self.is_transfer = False
        self.snapshot_pending = False
        self.effects: list[Effect] = []
        self.set_up()

    def set_up(self) -> None:
        """Initialise the state of the mixins, which extend this method."""

    @property
    def leader(self) -> str:
        """Name of the leader, empty if it is not known."""
        member = self.members.by_disk(self.leader_disk)
        return member.name if member else ""

    @property
    def is_voter(self) -> bool:
        """Whether this disk counts towards a majority, as far as this voter knows."""
        member = self.members.by_disk(self.disk)
        return member is not None and member.is_voter

    def begin_step(self, now: float) -> None:
        """Start a step with no effects yet; a leader whose lease has expired steps down."""
        self.effects = []
        if self.started_at is None:
            # The former process may have confirmed a leader's lease just before it ended, so a
            # restarted voter grants no vote for one election timeout after that.
            self.started_at = self.last_contact_at = now
            if self.silent_since is None:
                self.reset_election_timer(now)
            else:
                self.last_contact_at = min(now, self.silent_since)
                self.set_first_election_timer(now)
        if self.role is Role.LEADER and self.is_lease_expired(now):
            self.become_follower(self.term, "", now)

    def is_lease_expired(self, now: float) -> bool:
        """Return whether this leader's lease has expired.

        Explanation
        ===========
        A new leader has one election timeout to get its first lease.
        """
        grace_until = self.leader_since + self.settings.election_timeout_s
        return now >= max(self.lease_until, grace_until)

    def check_lease(self, now: float) -> None:
        """Check the invariant that a leader acts only under a lease, or in its first timeout."""
        grace_until = self.leader_since + self.settings.election_timeout_s
        invariant(
            now < max(self.lease_until, grace_until), codes.STALE_LEADER, f"{self.disk} at {now}"
        )

    def reset_election_timer(self, now: float) -> None:
        """Set the time of the next election at random, between one and two election timeouts."""
        self.election_due = now + self.settings.election_timeout_s * (1 + self.rng.random())

    def set_first_election_timer(self, now: float) -> None:
        """Set the time of the first election of a process whose start is known.

        Explanation
        ===========
        When the whole group restarts there is no leader, and callers wait for the first one. The
        random range only has to be longer than an election takes. While a leader is alive, the
        pre-vote is refused and does no harm.
        """
        timeout_s = self.settings.election_timeout_s
        earliest = max(now, self.last_contact_at + timeout_s)
        self.election_due = earliest + timeout_s * FIRST_ELECTION_JITTER * self.rng.random()

    def set_role(self, role: Role) -> None:
        """Change the role and report it; a new leadership is always reported."""
        if role is not self.role or role is Role.LEADER:
            self.role = role
            self.effects.append(RoleChanged(role, self.term))

    def set_term(self, term: int, voted_for: str) -> None:
        """Change the term and the vote, and persist them."""
        if (term, voted_for) == (self.term, self.voted_for):
            return
        is_new = term > self.term or (term == self.term and not self.voted_for)
        invariant(is_new, codes.VOTED_TWICE, f"term {self.term} for {self.voted_for!r}")
        if term > self.term:
            self.leader_disk = self.term_leader = ""
        self.term = term
        self.voted_for = voted_for
        self.effects.append(Persist((TermRecord(term, voted_for),)))

    def become_follower(self, term: int, leader_disk: str, now: float) -> None:
        """Become or stay a follower, and fail the pending reads."""
        if self.role is Role.LEADER:
            self.keep_contacts(now)
            self.reset_election_timer(now)
            self.leader_disk = ""
        if term > self.term:
            self.set_term(term, "")
        self.lease_until = NEVER
        self.votes = set()
        self.set_role(Role.FOLLOWER)
        self.effects.extend(ReadFailed(read.number) for read in self.reads)
        self.reads = []
        if leader_disk:
            self.record_leader(leader_disk)

    def keep_contacts(self, now: float) -> None:
        """Keep what this leader knows of the members, for its next leadership."""
        self.heard_at = {disk: self.last_heard_at(disk) for disk in self.progress}
        self.heard_reported_at = now

    def last_heard_at(self, disk: str) -> float:
        """Return when this leader, or the one before it, last heard from a member."""
        known = self.heard_at.get(disk, self.leader_since)
        return max(self.progress[disk].last_contact_at, known)

    def take_contacts(self, now: float) -> None:
        """Take over, as a new leader, when the former one last heard from the members.

        Explanation
        ===========
        Nobody listened between its last report and now, so that time doesn't count as silence.
        """
        gap_s = max(0.0, now - self.heard_reported_at)
        self.heard_at = {disk: at + gap_s for disk, at in self.heard_at.items()}

    def record_leader(self, disk: str) -> None:
        """Record the leader of the current term, and check that the term has no other."""
        known = self.term_leader or disk
        invariant(known == disk, codes.TWO_LEADERS, f"term {self.term}: {known} and {disk}")
        self.leader_disk = self.term_leader = disk

    def create_entry(self, kind: EntryKind, body: bytes) -> Entry:
        """Create an entry of the current term and append it to the log."""
        entry = Entry(self.log.last_index + 1, self.term, kind, body)
        self.add_entries((entry,))
        return entry

    def add_entries(self, entries: tuple[Entry, ...]) -> None:
        """Append entries, persist them, and adopt a change of the members at once."""
        for entry in entries:
            self.log.append(entry)
            if entry.kind is EntryKind.MEMBERS:
                self.set_members(entry)
        if entries:
            self.effects.append(Persist(tuple(EntryRecord(entry) for entry in entries)))

    def set_members(self, entry: Entry) -> None:
        """Adopt the members of a log entry; they count even before the entry is committed."""
        members = converter.loads(entry.body, Members)
        before = {member.disk for member in self.members.voters()}
        after = {member.disk for member in members.voters()}
        is_small = not before or len(before ^ after) <= 1
        invariant(is_small, codes.CHANGE_STEP, f"entry {entry.index}: {before} to {after}")
        self.members = members
        self.members_index = entry.index
        self.report_members()
        for member in members.members:
            self.progress.setdefault(member.disk, self.new_progress())

    def report_members(self) -> None:
        """Report the members by which this voter goes now."""
        self.effects.append(MembersChanged(self.members_index, self.members))

    def new_progress(self) -> Progress:
        """Return the initial progress of a member."""
        next_index = self.log.last_index + 1
        return Progress(next=next_index, acked_next=next_index)

    def reload_members(self) -> None:
        """Set the members from their newest entry in the log, else from the snapshot."""
        for entry in reversed(self.log.entries):
            if entry.kind is EntryKind.MEMBERS:
                self.members = converter.loads(entry.body, Members)
                self.members_index = entry.index
                return
        self.members = self.snapshot.members if self.snapshot else Members()
        self.members_index = self.snapshot.index if self.snapshot else 0

    def members_at(self, index: int) -> Members:
        """Return the members in force after the entry at an index."""
        for position in range(index, self.log.base_index, -1):
            entry = self.log.entry_at(position)
            if entry.kind is EntryKind.MEMBERS:
                return converter.loads(entry.body, Members)
        return self.snapshot.members if self.snapshot else Members()

    def set_commit(self, index: int) -> None:
        """Raise the commit index and apply the newly committed entries."""
        in_range = self.commit <= index <= self.log.last_index
        invariant(in_range, codes.COMMIT_RANGE, f"{self.commit} to {index}")
        self.commit = index
        while self.applied < self.commit:
            self.apply_next(self.log.entry_at(self.applied + 1))
        self.request_snapshot()

    def apply_next(self, entry: Entry) -> None:
        """Apply one committed entry."""
        invariant(entry.index == self.applied + 1, codes.APPLY_ORDER, f"{entry.index}")
        self.applied = entry.index
        if entry.kind is EntryKind.COMMAND:
            self.effects.append(Apply(entry.index, entry.term, entry.body))
        else:
            self.effects.append(InternalEntryCommitted(entry.index, entry.term))

    def request_snapshot(self) -> None:
        """Request a snapshot if the log since the last one exceeds a limit of the settings."""
        last = self.snapshot.index if self.snapshot else 0
        if self.snapshot_pending or self.applied == last:
            return
        size = self.log.bytes_between(last + 1, self.applied)
        if self.applied - last >= self.settings.snapshot_entries or (
            size >= self.settings.snapshot_bytes
        ):
            self.snapshot_pending = True
            self.effects.append(TakeSnapshot(self.applied))

    def release_reads(self) -> None:
        """Release the reads that a majority has confirmed and whose entries are applied."""
        waiting = []
        for read in self.reads:
            if self.is_confirmed(read.round) and self.applied >= read.index:
                self.check_read(read)
                self.effects.append(ReadReady(read.number, read.index))
            else:
                waiting.append(read)
        self.reads = waiting

    def is_confirmed(self, number: int) -> bool:
        """Return whether a majority has answered broadcast ``number`` or a later one."""
        return self.count_confirmations(number) >= self.members.majority()

    def count_confirmations(self, number: int) -> int:
        """Return how many voters have answered broadcast ``number`` or a later one."""
        voters = [member.disk for member in self.members.voters()]
        return sum(
            disk == self.disk or self.progress[disk].acked_round >= number for disk in voters
        )

    def check_read(self, read: Read) -> None:
        """Check the invariant that a released read is confirmed and applied."""
        has_majority = self.count_confirmations(read.round) >= self.members.majority()
        is_current = self.role is Role.LEADER and has_majority and self.applied >= read.index
        invariant(is_current, codes.READ_UNCONFIRMED, f"read {read.number} in term {self.term}")
