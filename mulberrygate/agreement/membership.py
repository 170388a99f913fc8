"""Membership changes, one voter at a time; new members start as learners."""

from __future__ import annotations

import attrs

from mulberrygate.agreement.base import NodeBase
from mulberrygate.agreement.effects import JoinAsked, Role
from mulberrygate.agreement.messages import EntryKind, JoinRequest, Member, Members
from mulberrygate.agreement.outcomes import ChangeRefused, NotProposed, Proposed
from mulberrygate.core.effects import Send
from mulberrygate.core.wire import converter

# More voters would make each command more expensive without tolerating a failure that users
# require.
MAX_VOTERS = 7


class MembershipChanges(NodeBase):
    """Mixin of `AgreementNode` that changes the members."""

    def set_up(self) -> None:
        """Initialise the join requests, by instance name."""
        super().set_up()
        self.join_requests: dict[str, JoinRequest] = {}
        self.join_due = float("-inf")

    def can_change_members(self) -> bool:
        """Return whether the previous change and an entry of this term are committed."""
        is_previous_committed = self.members_index <= self.commit
        return is_previous_committed and self.commit >= self.term_start_index

    def propose_members(self, members: Members, now: float) -> int:
        """Append an entry with the new members and broadcast it; return its index."""
        entry = self.create_entry(EntryKind.MEMBERS, converter.dumps(members))
        self.update_majority_state(now)
        if self.role is Role.LEADER:
            self.broadcast(now)
        return entry.index

    def add_voter(self, name: str, now: float) -> Proposed | NotProposed | ChangeRefused:
        """Add an instance that has asked to join as a learner; it is promoted when caught up."""
        refusal = self.begin_change(now)
        if refusal is not None:
            return refusal
        request = self.join_requests.get(name)
        if request is None:
            return ChangeRefused(f"instance {name} has not asked to join", self.effects)
        if self.members.by_disk(request.disk) is not None:
            return ChangeRefused(f"instance {name} is already a member", self.effects)
        names = {member.name for member in self.members.members}
        if len(names | {name}) > MAX_VOTERS:
            return ChangeRefused(f"the group already has {MAX_VOTERS} members", self.effects)
        index = self.propose_learner(request, now)
        return Proposed(index, self.term, self.effects)

    def remove_voter(self, name: str, now: float) -> Proposed | NotProposed | ChangeRefused:
        """Remove a voter or a learner."""
        refusal = self.begin_change(now)
        if refusal is not None:
            return refusal
        found = [member for member in self.members.members if member.name == name]
        if not found:
            return ChangeRefused(f"instance {name} is not a member", self.effects)
        # Of a learner and a voter with this name the learner is removed first, so that a change
        # removes at most one voter.
        target = min(found, key=lambda member: member.is_voter)
        if target.is_voter and len(self.members.voters()) == 1:
            return ChangeRefused("the last voter can't be removed", self.effects)
        members = self.members.without(target.disk)
        if not self.has_live_majority(members, now):
            return ChangeRefused("a majority of the remaining voters does not answer", self.effects)
        self.join_requests.pop(name, None)
        index = self.propose_members(members, now)
        return Proposed(index, self.term, self.effects)

    def begin_change(self, now: float) -> NotProposed | ChangeRefused | None:
        """Start a step that changes the members; return a refusal if it is not possible now."""
        self.begin_step(now)
        if self.role is not Role.LEADER:
            return NotProposed(self.leader, self.effects)
        self.check_lease(now)
        if not self.can_change_members():
            return ChangeRefused("another voter change is not committed yet", self.effects)
        return None

    def propose_learner(self, request: JoinRequest, now: float) -> int:
        """Add a learner; remove earlier learners of the same name and those that are lost."""
        kept = [m for m in self.lasting_members(now) if m.is_voter or m.name != request.name]
        learner = Member(request.name, request.address, request.disk, False)
        self.heard_at[request.disk] = now
        return self.propose_members(Members((*kept, learner)), now)

    def lasting_members(self, now: float) -> list[Member]:
        """Return the members without the learners that are lost."""
        return [m for m in self.members.members if m.is_voter or not self.is_lost(m, now)]

    def is_lost(self, member: Member, now: float) -> bool:
        """Return whether a member has not answered for long enough to be replaced.

        Explanation
        ===========
        A new leader waits an election timeout, in which each member can answer it.
        """
        if now < self.leader_since + self.settings.election_timeout_s:
            return False
        return now - self.last_heard_at(member.disk) > self.settings.lost_after_s

    def on_join(self, request: JoinRequest, sender: str, now: float) -> None:
        """Store a join request; add its sender as a learner at once where that is automatic.

        Explanation
        ===========
        A voter that lost its disk is replaced without an operator: its new disk becomes a learner
        at once, unless the former disk of that name still answers. An instance with a new name
        becomes a learner at once only if ``wanted_voters`` is set and the group is not full.
        """
        if self.role is not Role.LEADER:
            self.pass_join_on(request, sender)
            return
        if self.members.by_disk(request.disk) is not None:
            return
        self.join_requests[request.name] = request
        former = [m for m in self.members.members if m.name == request.name]
        is_answering = any(
            m.disk in self.progress and self.is_answering(self.progress[m.disk], now)
            for m in former
        )
        has_room = len(self.lasting_members(now)) < MAX_VOTERS
        may_fill = self.settings.wanted_voters > 0 and has_room
        is_wanted = not is_answering if former else may_fill
        if is_wanted and self.can_change_members():
            self.propose_learner(request, now)

    def pass_join_on(self, request: JoinRequest, sender: str) -> None:
        """Pass a join request on to the leader, once.

        Explanation
        ===========
        A process with an empty disk knows only the instances of its settings, and the leader need
        not be one of them.
        """
        if sender == request.name and self.leader not in ("", self.voter, request.name):
            self.effects.append(Send(self.leader, request))

    def advance_members(self, now: float) -> None:
        """Propose the next step of replacing a voter by a learner that has caught up.

        Explanation
        ===========
        The learner becomes a voter first, and then the voter that it replaces is removed: swapping
        them in one step would allow two majorities that do not overlap. In the other order the
        group would be a voter short in between, and a crash of all could keep it so: a voter that
        was only frozen is no member any more, and two lost disks are half of four.
        """
        if not self.can_change_members():
            return
        surplus = self.find_surplus_voter(now)
        if surplus is not None:
            steps = [self.members.without(surplus.disk)]
        else:
            steps = [
                self.promote(learner)
                for learner in self.members.learners()
                if self.is_caught_up(learner, now) and self.is_promotion_due(learner, now)
            ]
        for members in steps:
            if self.has_live_majority(members, now):
                self.propose_members(members, now)
                return

    def promote(self, learner: Member) -> Members:
        """Return the members with a learner as a voter."""
        return self.members.plus(attrs.evolve(learner, is_voter=True))

    def is_promotion_due(self, learner: Member, now: float) -> bool:
        """Return whether a learner is to become a voter, in the place of another or as one more."""
        wanted = self.settings.wanted_voters
        if not 0 < wanted <= len(self.members.voters()):
            return True
        if self.members.voter_named(learner.name) is not None:
            return True
        return self.find_lost_voter(now) is not None

    def find_surplus_voter(self, now: float) -> Member | None:
        """Return a voter that is to be removed now, ``None`` if there are not too many.

        Explanation
        ===========
        A disk whose instance votes with another one is lost. Otherwise it is the voter that has
        been silent for longest; it need not be silent any more.
        """
        others = [member for member in self.members.voters() if member.disk != self.disk]
        replaced = [member for member in others if self.is_replaced(member, now)]
        is_over = 0 < self.settings.wanted_voters < len(others) + 1
        is_known = now >= self.leader_since + self.settings.election_timeout_s
        candidates = replaced or (others if is_over and is_known else [])
        return min(candidates, key=lambda m: (self.last_heard_at(m.disk), m.disk), default=None)

    def is_replaced(self, member: Member, now: float) -> bool:
        """Return whether a silent voter's instance votes with another disk that answers."""
        return not self.is_answering(self.progress[member.disk], now) and any(
            other.disk == self.disk or self.is_answering(self.progress[other.disk], now)
            for other in self.members.voters()
            if other.name == member.name and other.disk != member.disk
        )

    def find_lost_voter(self, now: float) -> Member | None:
        """Return the voter that has not answered for longest, if that counts as lost."""
        lost = [
            member
            for member in self.members.voters()
            if member.disk != self.disk and self.is_lost(member, now)
        ]
        return min(lost, key=lambda m: (self.last_heard_at(m.disk), m.disk), default=None)

    def has_live_majority(self, members: Members, now: float) -> bool:
        """Return whether a majority of the voters in ``members`` answers.

        Explanation
        ===========
        A change of the members takes effect when it is in the log. Without this check, removing a
        healthy voter while others have lost their disks leaves a leader that can't commit the
        change and whose longer log keeps the other voters from being elected.
        """
        answering = sum(
            voter.disk == self.disk or self.is_answering(self.progress[voter.disk], now)
            for voter in members.voters()
        )
        return answering >= members.majority()

    def is_caught_up(self, learner: Member, now: float) -> bool:
        """Return whether a learner answers and holds all committed entries."""
        progress = self.progress.get(learner.disk)
        if progress is None or not self.is_answering(progress, now):
            return False
        return progress.match >= self.commit

    def ask_to_join(self, now: float) -> None:
        """Send a join request to the known instances if no leader has sent anything for some time.

        Explanation
        ===========
        A learner asks too, because the entry that added it may have been replaced by another
        leader's. A voter asks after a longer time, because it may have been removed without having
        received that entry.
        """
        limit = (5 if self.is_voter else 2) * self.settings.election_timeout_s
        if now < self.join_due or now < self.last_contact_at + limit:
            return
        self.join_due = now + limit
        names = {*self.first_voters, *self.contacts, *(m.name for m in self.members.members)}
        request = JoinRequest(self.voter, self.address, self.disk)
        others = tuple(name for name in sorted(names) if name != self.voter)
        self.effects.append(JoinAsked(others))
        self.effects.extend(Send(name, request) for name in others)
