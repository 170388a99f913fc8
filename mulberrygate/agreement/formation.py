"""Formation of the group from empty disks, exactly once.

Explanation
===========
The first voters are named in the settings. Only the founder, the first of them in order of name,
may form the group, and only after **every** first voter has answered that its disk never belonged
to a group. It then writes the first log entry, with all names and disk identifiers, and sends it to
the others. A disk that belongs to a group never forms or joins another.

A founder that lost its disk can't form a second group, because the others answer that they belong
to one. If it lost its disk before any of them received the first entry, it forms a new group; a
voter that receives the old first entry late is then in a group in which the lost disk is a voter.
Each of the n - 1 other disks joins only one of the two groups, and majorities of both would need n
of them, so at most one group ever has a majority. The unanimous answer costs no availability in
operation: it is needed once, before any state exists.

Two assumptions remain. Only one process runs under a name at a time. And the first voters of the
settings are not all replaced by instances with empty disks: once every voter has moved to another
instance, the settings must name the present voters, else the former ones could form a new group.
"""

from __future__ import annotations

from mulberrygate.agreement.base import NodeBase
from mulberrygate.agreement.messages import (
    Entry,
    EntryKind,
    FirstEntry,
    Member,
    Members,
    Probe,
    ProbeReply,
)
from mulberrygate.core.effects import Reply, Send
from mulberrygate.core.wire import converter

# Term of the first entry. No voter ever leads in it.
FIRST_TERM = 1


class Formation(NodeBase):
    """Mixin of `AgreementNode` that forms the group."""

    def set_up(self) -> None:
        """Initialise the empty disks that the founder knows, by voter name."""
        super().set_up()
        self.empty_disks: dict[str, str] = {}
        self.probe_due = float("-inf")
        self.is_group_known = False

    @property
    def is_founder(self) -> bool:
        """Whether this voter may form the group."""
        if not self.settings.may_form or not self.first_voters:
            return False
        return self.voter == min(self.first_voters)

    def try_to_form(self, now: float) -> None:
        """Probe the other first voters, and form the group when all their disks are empty."""
        if self.cluster or not self.is_founder or self.is_group_known:
            return
        self.empty_disks[self.voter] = self.disk
        if set(self.empty_disks) >= set(self.first_voters):
            self.form_group()
        elif now >= self.probe_due:
            self.probe_due = now + self.settings.election_timeout_s
            others = [name for name in sorted(self.first_voters) if name != self.voter]
            self.effects.extend(Send(name, Probe(self.disk)) for name in others)

    def on_probe(self, probe: Probe, sender: str, now: float) -> None:
        """Reply to the founder with the cluster of this disk, empty for none."""
        self.effects.append(Reply(ProbeReply(probe.disk, self.voter, self.disk, self.cluster)))

    def on_probe_reply(self, reply: ProbeReply, sender: str, now: float) -> None:
        """Record that a disk is empty, or that a group exists already."""
        if reply.for_disk != self.disk or reply.name not in self.first_voters:
            return
        if reply.cluster:
            self.is_group_known = True
        else:
            self.empty_disks[reply.name] = reply.disk
        self.try_to_form(now)

    def form_group(self) -> None:
        """Write the first entry and send it to the other first voters."""
        members = Members(
            tuple(
                Member(name, self.first_voters[name], self.empty_disks[name], True)
                for name in sorted(self.first_voters)
            )
        )
        self.start_log(f"{self.rng.getrandbits(48):012x}", members)
        for member in members.members:
            if member.disk != self.disk:
                self.effects.append(
                    Send(member.name, FirstEntry(self.cluster, member.disk, members))
                )

    def on_first_entry(self, found: FirstEntry, sender: str, now: float) -> None:
        """Join the group of a first entry, if this disk is in no group and addressed by it."""
        if self.may_join() and found.to_disk == self.disk:
            self.start_log(found.cluster, found.members)

    def may_join(self) -> bool:
        """Return whether this disk belongs to no group."""
        return not self.cluster

    def start_log(self, cluster: str, members: Members) -> None:
        """Join a new group and write its first entry."""
        self.join_cluster(cluster)
        self.set_term(FIRST_TERM, "")
        self.add_entries((Entry(1, FIRST_TERM, EntryKind.MEMBERS, converter.dumps(members)),))
