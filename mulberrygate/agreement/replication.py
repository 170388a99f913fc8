"""Log replication, commitment, leader lease and linearizable reads."""

from __future__ import annotations

from mulberrygate.agreement import codes
from mulberrygate.agreement.base import NodeBase, Progress, Read
from mulberrygate.agreement.effects import CaughtUp, JoinRecord, Role
from mulberrygate.agreement.messages import Append, AppendReply, Entry, EntryKind, Member
from mulberrygate.agreement.outcomes import NotProposed, Proposed, ReadStarted
from mulberrygate.core.effects import Persist, Reply, Send
from mulberrygate.core.invariant import invariant


class Replication(NodeBase):
    """Mixin of `AgreementNode` that replicates the log."""

    def propose(self, command: bytes, now: float) -> Proposed | NotProposed:
        """Append a command to the log, if this voter is the leader."""
        self.begin_step(now)
        if self.role is not Role.LEADER:
            return NotProposed(self.leader, self.effects)
        self.check_lease(now)
        entry = self.create_entry(EntryKind.COMMAND, command)
        self.update_majority_state(now)
        self.replicate(now)
        return Proposed(entry.index, entry.term, self.effects)

    def read_index(self, now: float) -> ReadStarted | NotProposed:
        """Start a read that will see every entry committed before this call.

        Explanation
        ===========
        A read is confirmed by the replies to a broadcast that starts after it, not by the lease, so
        its correctness does not depend on any clock.
        """
        self.begin_step(now)
        if self.role is not Role.LEADER:
            return NotProposed(self.leader, self.effects)
        self.check_lease(now)
        self.read_number += 1
        index = max(self.commit, self.term_start_index)
        self.reads.append(Read(self.read_number, self.round + 1, index))
        self.broadcast(now)
        self.release_reads()
        return ReadStarted(self.read_number, self.effects)

    def broadcast(self, now: float) -> None:
        """Send a heartbeat to all other members, with the entries that they lack."""
        self.round += 1
        self.heartbeat_due = now + self.settings.heartbeat_s
        for member in self.members.members:
            if member.disk != self.disk:
                # Entries that were sent but not acknowledged are sent again.
                progress = self.progress[member.disk]
                progress.next = progress.acked_next
                self.send_append(member, progress, now)

    def replicate(self, now: float) -> None:
        """Send new entries to the members that have answered recently."""
        for member in self.members.members:
            progress = self.progress[member.disk]
            if member.disk != self.disk and self.is_answering(progress, now):
                self.send_append(member, progress, now)

    def is_answering(self, progress: Progress, now: float) -> bool:
        """Return whether a member has answered within the last election timeout."""
        return now - progress.last_contact_at < self.settings.election_timeout_s

    def send_append(self, member: Member, progress: Progress, now: float) -> None:
        """Send entries to a member, or only a heartbeat if it does not answer."""
        if progress.next <= self.log.base_index:
            self.send_snapshot(member, progress, now)
            return
        entries: tuple[Entry, ...] = ()
        if self.is_answering(progress, now):
            entries = self.log.batch(progress.next, self.settings.batch_bytes)
        prev = progress.next - 1
        message = Append(
            self.cluster,
            self.term,
            self.disk,
            member.disk,
            prev,
            self.log.term_at(prev),
            self.commit,
            self.round,
            now,
            entries,
            self.list_silent(now),
        )
        progress.next += len(entries)
        self.effects.append(Send(member.name, message))

    def list_silent(self, now: float) -> tuple[tuple[str, float], ...]:
        """Return the disks of voters that do not answer, and for how many seconds."""
        return tuple(
            (member.disk, round(now - self.last_heard_at(member.disk), 3))
            for member in self.members.voters()
            if member.disk != self.disk and not self.is_answering(self.progress[member.disk], now)
        )

    def record_silent(self, message: Append, now: float) -> None:
        """Record for how long the leader has not heard from the other voters.

        Explanation
        ===========
        Its successor goes on from there. If each leader waited anew, a lost voter would stay in the
        group for as long as leaders change.
        """
        silent_s = dict(message.silent)
        self.heard_at = {
            member.disk: now - silent_s.get(member.disk, 0.0) for member in self.members.voters()
        }
        self.heard_reported_at = now

    def on_append(self, message: Append, sender: str, now: float) -> None:
        """Handle entries or a heartbeat from the leader."""
        if not self.accept_leader_message(message, sender, now):
            return
        self.record_silent(message, now)
        # Entries up to the base index are committed, so they match the leader's.
        is_held = message.prev_index >= self.log.base_index
        if is_held and self.log.term_at(message.prev_index) != message.prev_term:
            self.reply_append(message, False, self.conflict_hint(message.prev_index))
            return
        new = self.select_new(message.entries)
        if new:
            self.truncate_conflicting(new[0].index)
            self.add_entries(new)
        match = message.prev_index + len(message.entries)
        self.reply_append(message, True, match)
        self.set_commit(max(self.commit, self.known_commit(message, match)))
        self.report_caught_up(message, now)

    def report_caught_up(self, message: Append, now: float) -> None:
        """Report that this log holds all committed entries, if the message shows it.

        Explanation
        ===========
        A new leader may not know yet what its predecessor committed. It knows once an entry of its
        own term is committed.
        """
        leader_knows_commit = self.log.term_at(message.commit) == message.term
        if self.commit >= message.commit and leader_knows_commit:
            self.effects.append(CaughtUp(now))

    def report_leader_caught_up(self, now: float) -> None:
        """Report, under a valid lease, that no other voter can have committed anything newer."""
        if now < self.lease_until and self.commit >= self.term_start_index:
            self.effects.append(CaughtUp(now))

    def known_commit(self, message: Append, match: int) -> int:
        """Return the last committed index up to which this log matches the leader's."""
        return min(message.commit, match)

    def accept_leader_message(self, message, sender: str, now: float) -> bool:
        """Follow the sender of a leader's message; return whether it leads the current term."""
        if message.to_disk != self.disk:
            # The leader goes by a disk that this instance has lost, so it can take in the new one.
            self.contacts.add(sender)
            return False
        if not self.cluster:
            self.join_cluster(message.cluster)
        if message.cluster != self.cluster:
            return False
        if message.term < self.term:
            self.reply_append(message, False, self.log.last_index)
            return False
        is_leading = self.role is Role.LEADER and message.term == self.term
        invariant(not is_leading, codes.TWO_LEADERS, f"term {self.term}: {message.disk}")
        self.become_follower(message.term, message.disk, now)
        self.last_contact_at = now
        self.reset_election_timer(now)
        return True

    def join_cluster(self, cluster: str) -> None:
        """Bind this disk to a cluster for good."""
        invariant(not self.cluster, codes.FORMED_TWICE, f"{self.cluster} and {cluster}")
        self.cluster = cluster
        self.effects.append(Persist((JoinRecord(cluster),)))

    def select_new(self, entries: tuple[Entry, ...]) -> tuple[Entry, ...]:
        """Return the received entries, from the first one that this log lacks."""
        for position, entry in enumerate(entries):
            if entry.index <= self.log.base_index:
                continue
            if self.log.term_at(entry.index) != entry.term:
                return entries[position:]
        return ()

    def truncate_conflicting(self, first: int) -> None:
        """Drop the entries from ``first`` on, which conflict with the leader's."""
        if first > self.log.last_index:
            return
        invariant(first > self.commit, codes.COMMITTED_CUT, f"{first}, commit {self.commit}")
        self.log.truncate(first)
        if self.members_index >= first:
            self.reload_members()
            self.report_members()

    def conflict_hint(self, prev_index: int) -> int:
        """Return the index that the leader should compare next after a mismatch.

        Explanation
        ===========
        It skips the entries of the conflicting term, so each round trip resolves one term
        instead of one entry.
        """
        if prev_index > self.log.last_index:
            return self.log.last_index
        term = self.log.term_at(prev_index)
        hint = prev_index - 1
        while hint > self.log.base_index and self.log.term_at(hint) == term:
            hint -= 1
        return max(hint, self.commit)

    def reply_append(self, message, is_ok: bool, index: int) -> None:
        """Reply to an `Append`, or to a leader of an earlier term."""
        reply = AppendReply(
            self.cluster, self.term, self.disk, is_ok, index, message.round, message.sent_at
        )
        self.effects.append(Reply(reply))

    def on_append_reply(self, reply: AppendReply, sender: str, now: float) -> None:
        """Update the progress of a member from its reply."""
        progress = self.record_reply(reply, now)
        if progress is None:
            return
        if reply.is_ok:
            progress.match = max(progress.match, reply.index)
            progress.acked_next = progress.match + 1
            progress.next = max(progress.next, progress.acked_next)
        else:
            progress.next = max(progress.match, min(progress.next - 1, reply.index)) + 1
            progress.acked_next = progress.next
        self.update_majority_state(now)
        member = self.members.by_disk(reply.disk)
        if self.role is Role.LEADER and member and progress.next <= self.log.last_index:
            self.send_append(member, progress, now)

    def record_reply(self, reply, now: float) -> Progress | None:
        """Record the contact with a member; return its progress if the reply is of this term."""
        if reply.cluster != self.cluster:
            return None
        if reply.term > self.term:
            self.become_follower(reply.term, "", now)
        progress = self.progress.get(reply.disk)
        if self.role is not Role.LEADER or reply.term != self.term or progress is None:
            return None
        progress.last_contact_at = now
        progress.acked_round = max(progress.acked_round, reply.round)
        progress.acked_sent_at = max(progress.acked_sent_at, reply.sent_at)
        return progress

    def update_majority_state(self, now: float) -> None:
        """Update what depends on a majority's replies: lease, commit index and pending reads."""
        self.extend_lease(now)
        index = self.majority_index()
        if index > self.commit and self.is_committable(index):
            self.commit_as_leader(index)
            # This lets members apply the entries before the next heartbeat.
            self.replicate(now)
        self.release_reads()
        self.step_down_if_removed(now)

    def is_committable(self, index: int) -> bool:
        """Return whether an entry may be committed by counting replicas: if it is of this term."""
        return self.log.term_at(index) == self.term

    def majority_index(self) -> int:
        """Return the highest index that a majority of voters holds."""
        matches = sorted(
            self.log.last_index if m.disk == self.disk else self.progress[m.disk].match
            for m in self.members.voters()
        )
        return matches[-self.members.majority()]

    def commit_as_leader(self, index: int) -> None:
        """Commit entries that a majority holds."""
        is_own = self.log.term_at(index) == self.term
        invariant(is_own, codes.COMMIT_TERM, f"{index} in term {self.term}")
        self.set_commit(index)

    def extend_lease(self, now: float) -> None:
        """Extend the lease, counted from the send time of messages that a majority answered."""
        start = self.majority_sent_at(now)
        confirmed = sum(
            m.disk == self.disk or self.progress[m.disk].acked_sent_at >= start
            for m in self.members.voters()
        )
        has_majority = confirmed >= self.members.majority() and start <= now
        invariant(has_majority, codes.LEASE_RANGE, f"{start} at {now}")
        self.lease_until = max(self.lease_until, start + self.settings.lease_s)

    def majority_sent_at(self, now: float) -> float:
        """Return the latest time such that a majority answered messages sent then or later."""
        times = sorted(
            now if m.disk == self.disk else self.progress[m.disk].acked_sent_at
            for m in self.members.voters()
        )
        return times[-self.members.majority()]

    def step_down_if_removed(self, now: float) -> None:
        """Step down once the entry that removes this leader is committed."""
        if self.role is Role.LEADER and not self.is_voter and self.members_index <= self.commit:
            self.become_follower(self.term, "", now)
