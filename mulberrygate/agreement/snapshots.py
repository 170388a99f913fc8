"""Taking snapshots, and transferring them to members that are far behind."""

from __future__ import annotations

from mulberrygate.agreement import codes
from mulberrygate.agreement.base import NodeBase, Progress
from mulberrygate.agreement.effects import InstallSnapshot, Role, SaveSnapshot
from mulberrygate.agreement.log import Log
from mulberrygate.agreement.messages import (
    Member,
    Snapshot,
    SnapshotPart,
    SnapshotReply,
)
from mulberrygate.core.effects import Effect, Reply, Send
from mulberrygate.core.invariant import invariant


class Snapshots(NodeBase):
    """Mixin of `AgreementNode` that handles snapshots."""

    def set_up(self) -> None:
        """Initialise the snapshot that is being received: leader disk, index, size, and data."""
        super().set_up()
        self.incoming_key: tuple[str, int, int] = ("", 0, 0)
        self.incoming = b""

    def snapshot_taken(self, index: int, data: bytes) -> list[Effect]:
        """Store the state machine's state after the entry at ``index``, and compact the log."""
        self.effects = []
        self.snapshot_pending = False
        term = self.log.term_at(index)
        if term is None or (self.snapshot and index <= self.snapshot.index):
            return self.effects
        self.snapshot = Snapshot(index, term, self.members_at(index), data)
        base = max(self.log.base_index, index - self.settings.keep_entries)
        self.log.compact(base)
        self.effects.append(SaveSnapshot(self.snapshot, base, self.log.base_term))
        return self.effects

    def send_snapshot(self, member: Member, progress: Progress, now: float) -> None:
        """Send the next part of the snapshot to a member."""
        snapshot = self.snapshot
        start = progress.snapshot_offset
        if start > len(snapshot.data):
            start = 0
        # A member that does not answer gets a part without data, which is as small as a heartbeat.
        size = self.settings.batch_bytes if self.is_answering(progress, now) else 0
        part = SnapshotPart(
            self.cluster,
            self.term,
            self.disk,
            member.disk,
            snapshot.index,
            snapshot.term,
            snapshot.members,
            start,
            len(snapshot.data),
            snapshot.data[start : start + size],
            self.round,
            now,
        )
        self.effects.append(Send(member.name, part))

    def on_snapshot_part(self, part: SnapshotPart, sender: str, now: float) -> None:
        """Append a part to the incoming snapshot, and install it when it is complete."""
        if not self.accept_leader_message(part, sender, now):
            return
        if self.is_known_committed(part.index):
            self.reply_snapshot(part, part.size, True)
            return
        key = (part.disk, part.index, part.size)
        if key != self.incoming_key:
            self.incoming_key, self.incoming = key, b""
        if part.offset == len(self.incoming):
            self.incoming += part.data
        is_done = len(self.incoming) == part.size
        if is_done:
            self.install_snapshot(
                Snapshot(part.index, part.index_term, part.members, self.incoming)
            )
            self.incoming_key, self.incoming = ("", 0, 0), b""
        self.reply_snapshot(part, part.size if is_done else len(self.incoming), is_done)

    def is_known_committed(self, index: int) -> bool:
        """Return whether the entry at an index is committed, as far as this voter knows."""
        return index <= self.commit

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the state, and the log up to the snapshot's index, by a snapshot."""
        is_newer = snapshot.index > self.commit
        invariant(is_newer, codes.SNAPSHOT_STALE, f"{snapshot.index}, commit {self.commit}")
        if self.log.term_at(snapshot.index) == snapshot.term:
            self.log.compact(snapshot.index)
        else:
            self.log = Log(snapshot.index, snapshot.term, ())
        self.snapshot = snapshot
        self.commit = self.applied = snapshot.index
        self.reload_members()
        self.report_members()
        self.effects.append(SaveSnapshot(snapshot, snapshot.index, snapshot.term))
        self.effects.append(InstallSnapshot(snapshot))

    def reply_snapshot(self, part: SnapshotPart, offset: int, is_done: bool) -> None:
        """Reply to the leader with the next byte to send."""
        reply = SnapshotReply(
            self.cluster,
            self.term,
            self.disk,
            part.index,
            offset,
            is_done,
            part.round,
            part.sent_at,
        )
        self.effects.append(Reply(reply))

    def on_snapshot_reply(self, reply: SnapshotReply, sender: str, now: float) -> None:
        """Update a member's progress from its reply, and send it the entries after the snapshot."""
        progress = self.record_reply(reply, now)
        if progress is None:
            return
        if reply.is_done:
            progress.match = max(progress.match, reply.index)
            progress.acked_next = progress.match + 1
            progress.next = max(progress.next, progress.acked_next)
            progress.snapshot_offset = 0
        elif self.snapshot and reply.index == self.snapshot.index:
            progress.snapshot_offset = reply.offset
        else:
            progress.snapshot_offset = 0
        self.update_majority_state(now)
        member = self.members.by_disk(reply.disk)
        if self.role is Role.LEADER and member and progress.next <= self.log.last_index:
            self.send_append(member, progress, now)
