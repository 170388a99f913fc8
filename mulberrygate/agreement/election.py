"""Elections: pre-vote, vote and leadership transfer."""

from __future__ import annotations

import attrs

from mulberrygate.agreement.base import NEVER, NodeBase
from mulberrygate.agreement.effects import Role
from mulberrygate.agreement.messages import (
    EntryKind,
    FirstEntry,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from mulberrygate.core.effects import Effect, Reply, Send
from mulberrygate.core.wire import converter


class Election(NodeBase):
    """Mixin of `AgreementNode` that elects leaders."""

    def campaign(self, now: float, is_pre: bool, is_transfer: bool = False) -> None:
        """Start a pre-vote or an election."""
        self.reset_election_timer(now)
        if not self.may_campaign():
            return
        self.is_pre = is_pre
        self.is_transfer = is_transfer
        if not is_pre:
            self.set_term(self.term + 1, self.disk)
        self.set_role(Role.CANDIDATE)
        self.votes = {self.disk}  # `count_votes` ignores it if this disk is no voter.
        self.count_votes(now)
        if self.role is Role.CANDIDATE:
            self.request_votes()

    def may_campaign(self) -> bool:
        """Return whether this disk is a voter, or may hold the only copy of its own removal.

        Explanation
        ===========
        A leader that removed itself and lost its leadership before that entry was committed may
        have a longer log than all voters, so that none of them can be elected. It then has to be
        elected once more to commit the entry.
        """
        if self.is_voter:
            return True
        if self.members_index <= max(self.commit, self.log.base_index):
            return False
        before = self.members_at(self.members_index - 1).by_disk(self.disk)
        return before is not None and before.is_voter

    def request_votes(self) -> None:
        """Send a vote request to each other voter."""
        for member in self.members.voters():
            if member.disk == self.disk:
                continue
            request = VoteRequest(
                self.cluster,
                self.term + self.is_pre,
                self.disk,
                member.disk,
                self.log.last_index,
                self.log.last_term,
                self.is_pre,
                self.is_transfer,
            )
            self.effects.append(Send(member.name, request))

    def count_votes(self, now: float) -> None:
        """After a majority of votes, follow a pre-vote with the election, or become leader."""
        voters = {member.disk for member in self.members.voters()}
        if len(self.votes & voters) < self.members.majority():
            return
        if self.is_pre:
            self.campaign(now, is_pre=False)
        else:
            self.become_leader(now)

    def become_leader(self, now: float) -> None:
        """Become the leader of the current term."""
        self.record_leader(self.disk)
        self.leader_since = now
        self.take_contacts(now)
        self.lease_until = NEVER
        self.progress = {member.disk: self.new_progress() for member in self.members.members}
        self.set_role(Role.LEADER)
        # Entries of earlier terms are committed only through an entry of this term (Raft, 5.4.2).
        self.term_start_index = self.create_entry(EntryKind.NOTHING, b"").index
        self.update_majority_state(now)
        self.broadcast(now)

    def on_vote_request(self, request: VoteRequest, sender: str, now: float) -> None:
        """Answer a vote or pre-vote request."""
        if not self.is_for_this_disk(request):
            if request.to_disk == self.disk and not self.cluster:
                self.reply_not_in_group(request)
            return
        # The leader's lease relies on followers refusing votes for one election timeout after its
        # last message. A leadership transfer is exempt: the leader has given up its lease.
        has_recent_leader = now < self.last_contact_at + self.settings.election_timeout_s
        if (has_recent_leader or self.role is Role.LEADER) and not request.is_transfer:
            self.reply_vote(request, False)
            return
        if request.is_pre:
            self.reply_vote(request, request.term > self.term and self.is_up_to_date(request))
            return
        if request.term > self.term:
            self.become_follower(request.term, "", now)
        can_vote = request.term == self.term and self.voted_for in ("", request.disk)
        is_granted = can_vote and self.is_up_to_date(request)
        if is_granted:
            self.set_term(self.term, request.disk)
            self.reset_election_timer(now)
        self.reply_vote(request, is_granted)

    def is_up_to_date(self, request: VoteRequest) -> bool:
        """Return whether the candidate's log is at least as up to date as this log."""
        own = (self.log.last_term, self.log.last_index)
        return (request.last_term, request.last_index) >= own

    def reply_vote(self, request: VoteRequest, is_granted: bool) -> None:
        """Reply to a vote request; a granted pre-vote carries the term of the request."""
        term = request.term if is_granted else self.term
        reply = VoteReply(self.cluster, term, self.disk, request.is_pre, is_granted)
        self.effects.append(Reply(reply))

    def reply_not_in_group(self, request: VoteRequest) -> None:
        """Reply to a candidate that this first voter has not received the first entry yet."""
        reply = VoteReply("", 0, self.disk, request.is_pre, False)
        self.effects.append(Reply(reply))

    def on_vote_reply(self, reply: VoteReply, sender: str, now: float) -> None:
        """Count a vote, or resend the first entry to a first voter that missed it."""
        if not reply.cluster and self.members.by_disk(reply.disk) and self.log.base_index == 0:
            self.resend_first_entry(reply.disk)
            return
        if reply.cluster != self.cluster:
            return
        if reply.term > self.term and not reply.is_granted:
            self.become_follower(reply.term, "", now)
            return
        is_current = (
            self.role is Role.CANDIDATE
            and reply.is_pre == self.is_pre
            and reply.term == self.term + self.is_pre
        )
        if is_current and reply.is_granted:
            self.votes.add(reply.disk)
            self.count_votes(now)

    def resend_first_entry(self, disk: str) -> None:
        """Send the first entry again to a first voter that missed it."""
        first = self.log.entry_at(1) if self.log.last_index else None
        if first is None or first.kind is not EntryKind.MEMBERS:
            return
        members = converter.loads(first.body, type(self.members))
        member = members.by_disk(disk)
        if member is not None:
            self.effects.append(Send(member.name, FirstEntry(self.cluster, disk, members)))

    def transfer_leadership(self, now: float) -> list[Effect]:
        """Transfer leadership to the voter with the most entries, before a planned stop.

        Explanation
        ===========
        The leader steps down before it sends `TimeoutNow`, so it holds no lease when the other
        voter starts an election without waiting for the timeout.
        """
        self.begin_step(now)
        others = [m for m in self.members.voters() if m.disk != self.disk]
        if self.role is Role.LEADER and others:
            target = max(others, key=lambda m: (self.progress[m.disk].match, m.name))
            order = TimeoutNow(self.cluster, self.term, self.disk, target.disk)
            self.become_follower(self.term, "", now)
            self.effects.append(Send(target.name, order))
        return self.effects

    def on_timeout_now(self, order: TimeoutNow, sender: str, now: float) -> None:
        """Start an election at once, on the order of the former leader."""
        if (
            self.is_for_this_disk(order)
            and order.term == self.term
            and self.role is not Role.LEADER
        ):
            self.campaign(now, is_pre=False, is_transfer=True)

    def is_for_this_disk(self, message: attrs.AttrsInstance) -> bool:
        """Return whether a message is addressed to this cluster and this disk."""
        return message.cluster == self.cluster and message.to_disk == self.disk
