"""Model of elections, commitment and disk replacement for the model checker `minicheck`.

Explanation
===========
Three voters, one log position, a bounded number of terms, one lost disk. A state holds for each
name its term, its vote, whether it is a candidate or leader, the term of its entry (0 for none),
and the disks whose votes and acknowledgements it has. Votes and acknowledgements that a disk gave
before it was lost still count. An entry that a majority holds is called accepted.

A change of the voters is one atomic step with a majority of the new voters, as if its entry were
committed at once. Voters with different views of the members are not modelled; the randomised runs
cover them.
"""

from __future__ import annotations

from collections.abc import Iterator

import attrs
from minicheck import Protocol

SIZE = 3
FOLLOWER, CANDIDATE, LEADER = 0, 1, 2
# Phases of the replacement of a lost disk.
INTACT, LOST, ADDED, REPLACED = 0, 1, 2, 3


@attrs.frozen
class Voter:
    """State of the process with one name; ``votes`` and ``acks`` are bit sets of disks."""

    term: int = 0
    voted_for: int = -1
    role: int = FOLLOWER
    entry: int = 0
    votes: int = 0
    acks: int = 0


@attrs.frozen
class Group:
    """State of the group.

    Parameters
    ==========
    voters : tuple[Voter, ...]
    lost : int
        Name whose disk was lost, -1 for none. Bit ``SIZE`` stands for its new disk.
    phase : int
        Phase of the replacement.
    accepted : int
        Term of the accepted entry, 0 for none.
    leaders : tuple[int, ...]
        Disk that led each term, -1 for none.
    has_one_leader_per_term : bool
        Whether no term had two leaders.
    """

    voters: tuple[Voter, ...]
    lost: int = -1
    phase: int = INTACT
    accepted: int = 0
    leaders: tuple[int, ...] = ()
    has_one_leader_per_term: bool = True


class Specification:
    """State transitions of the group.

    Parameters
    ==========
    terms : int
        Highest term that is explored.
    keeps_identity : bool
        Injected fault: an empty disk answers under its former identity.
    swaps_empty : bool
        Injected fault: the new disk replaces the lost one in one step, before it has caught up.
    """

    def __init__(self, terms: int, keeps_identity: bool = False, swaps_empty: bool = False):
        self.terms = terms
        self.keeps_identity = keeps_identity
        self.swaps_empty = swaps_empty

    def initial(self) -> Group:
        """Return the group after its formation."""
        return Group(tuple(Voter() for _ in range(SIZE)), leaders=(-1,) * (self.terms + 1))

    def disk(self, group: Group, name: int) -> int:
        """Return the disk whose identity a name uses."""
        return SIZE if name == group.lost and not self.keeps_identity else name

    def members(self, group: Group) -> int:
        """Return the disks that count towards a majority, as a bit set."""
        all_disks = (1 << SIZE) - 1
        if group.phase in (INTACT, LOST):
            return all_disks
        with_new = all_disks | 1 << SIZE
        return with_new if group.phase == ADDED else with_new & ~(1 << group.lost)

    def is_member(self, group: Group, name: int) -> bool:
        """Return whether the disk of a name counts towards a majority."""
        return bool(self.members(group) >> self.disk(group, name) & 1)

    def is_majority(self, group: Group, disks: int) -> bool:
        """Return whether a set of disks holds a majority."""
        members = self.members(group)
        return (disks & members).bit_count() > members.bit_count() // 2

    def with_voter(self, group: Group, name: int, **changes) -> Group:
        """Return the group with changed fields of one voter."""
        voters = list(group.voters)
        voters[name] = attrs.evolve(voters[name], **changes)
        return attrs.evolve(group, voters=tuple(voters))

    def steps(self, group: Group) -> Iterator[tuple[str, Group]]:
        """Yield all transitions from a state, with their labels."""
        for name in range(SIZE):
            voter = group.voters[name]
            yield from self.own_steps(group, name, voter)
            for other in range(SIZE):
                if other != name:
                    yield from self.shared_steps(group, name, voter, other)
        if group.phase == INTACT:
            for name in range(SIZE):
                yield f"lose disk {name}", self.lose(group, name)

    def own_steps(self, group: Group, name: int, voter: Voter) -> Iterator[tuple[str, Group]]:
        """Yield the steps that one voter takes alone."""
        disk = 1 << self.disk(group, name)
        if voter.term < self.terms and self.is_member(group, name):
            changes = {"term": voter.term + 1, "voted_for": name, "role": CANDIDATE}
            yield f"{name} campaigns", self.with_voter(group, name, **changes, votes=disk, acks=0)
        if voter.role == CANDIDATE and self.is_majority(group, voter.votes):
            yield f"{name} leads", self.elect(group, name, voter)
        if voter.role == LEADER:
            if voter.entry != voter.term and not voter.entry:
                yield f"{name} proposes", self.with_voter(group, name, entry=voter.term, acks=disk)
            is_own = voter.entry == voter.term and not group.accepted
            if is_own and self.is_majority(group, voter.acks):
                yield f"{name} accepts", attrs.evolve(group, accepted=voter.term)
            yield from self.change_steps(group, name, voter)

    def elect(self, group: Group, name: int, voter: Voter) -> Group:
        """Return the group after an election."""
        disk = self.disk(group, name)
        known = group.leaders[voter.term]
        leaders = tuple(disk if term == voter.term else d for term, d in enumerate(group.leaders))
        group = self.with_voter(group, name, role=LEADER, acks=0)
        return attrs.evolve(
            group,
            leaders=leaders,
            has_one_leader_per_term=group.has_one_leader_per_term and known in (-1, disk),
        )

    def shared_steps(
        self, group: Group, name: int, voter: Voter, other: int
    ) -> Iterator[tuple[str, Group]]:
        """Yield the steps in which ``other`` answers ``name``."""
        peer = group.voters[other]
        disk = 1 << self.disk(group, other)
        can_vote = peer.term < voter.term or (peer.term == voter.term and peer.voted_for == -1)
        is_vote = voter.role == CANDIDATE and not voter.votes & disk and peer.entry <= voter.entry
        if is_vote and can_vote and self.is_member(group, other):
            after = self.with_voter(
                group, other, term=voter.term, voted_for=name, role=FOLLOWER, votes=0, acks=0
            )
            yield f"{other} votes for {name}", self.with_voter(
                after, name, votes=voter.votes | disk
            )
        if voter.role == LEADER and peer.term <= voter.term and voter.entry:
            changes = {"term": voter.term, "role": FOLLOWER, "entry": voter.entry}
            if peer.term < voter.term:
                changes["voted_for"] = -1
            after = self.with_voter(group, other, **changes, votes=0, acks=0)
            yield f"{name} sends to {other}", self.with_voter(after, name, acks=voter.acks | disk)

    def lose(self, group: Group, name: int) -> Group:
        """Return the group after a name lost its disk and got an empty one."""
        group = attrs.evolve(group, lost=name, phase=LOST)
        return self.with_voter(group, name, **attrs.asdict(Voter()))

    def change_steps(self, group: Group, name: int, voter: Voter) -> Iterator[tuple[str, Group]]:
        """Yield the steps of a leader that replaces the lost disk."""
        if group.phase not in (LOST, ADDED) or not voter.entry or name == group.lost:
            return
        after = attrs.evolve(group, phase=REPLACED if self.swaps_empty else group.phase + 1)
        # The entry that changes the members follows the leader's own entry, so the voters that
        # accept it now are in the leader's term and hold that entry too.
        accepting_disks = self.accepting_disks(group, voter)
        is_caught_up = accepting_disks >> SIZE & 1
        if is_caught_up and voter.entry == voter.term and self.is_majority(after, accepting_disks):
            yield f"{name} makes replacement step {after.phase}", after

    def accepting_disks(self, group: Group, voter: Voter) -> int:
        """Return the disks that would accept another entry of a leader now, as a bit set."""
        accepting_disks = 1 << SIZE if self.swaps_empty else 0
        for name, peer in enumerate(group.voters):
            if peer.term == voter.term and peer.entry == voter.entry:
                accepting_disks |= 1 << self.disk(group, name)
        return accepting_disks


def protocol(terms: int, **faults: bool) -> Protocol:
    """Return the model for `minicheck.check_safety`."""
    specification = Specification(terms, **faults)

    def holds_accepted(d: dict) -> bool:
        """Return whether leaders of later terms hold the accepted entry."""
        group = d["group"]
        return not group.accepted or all(
            voter.entry == group.accepted
            for voter in group.voters
            if voter.role == LEADER and voter.term > group.accepted
        )

    return Protocol(
        name="agreement",
        candidate=False,
        fields=("group",),
        initial=(specification.initial(),),
        transitions=lambda state: [(label, (g,)) for label, g in specification.steps(state[0])],
        invariants={
            "one_leader_a_term": lambda d: d["group"].has_one_leader_per_term,
            "accepted_is_kept": holds_accepted,
        },
    )
