"""A voter of the replicated control log, as a synchronous class without I/O."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from mulberrygate.agreement.effects import Role
from mulberrygate.agreement.election import Election
from mulberrygate.agreement.formation import Formation
from mulberrygate.agreement.membership import MembershipChanges
from mulberrygate.agreement.messages import (
    Append,
    AppendReply,
    FirstEntry,
    JoinRequest,
    Probe,
    ProbeReply,
    SnapshotPart,
    SnapshotReply,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from mulberrygate.agreement.replication import Replication
from mulberrygate.agreement.snapshots import Snapshots
from mulberrygate.core.effects import Effect

# Messages that arrive unsolicited, and the replies to them.
REQUESTS = (Append, FirstEntry, JoinRequest, Probe, SnapshotPart, TimeoutNow, VoteRequest)
REPLIES = (AppendReply, ProbeReply, SnapshotReply, VoteReply)


class AgreementNode(Election, Replication, Snapshots, MembershipChanges, Formation):
    """Voter of the replicated log.

    Explanation
    ===========
    The methods return effects, which the caller carries out in order. When a `Persist` or
    `SaveSnapshot` fails, no later effect may be carried out, and `stop` ends this voter. ``now`` is
    the monotonic clock in seconds and may jump ahead after the process was frozen, so every entry
    point first steps down from a leadership whose lease has expired.

    Parameters
    ==========
    voter : str
        Name of this instance.
    peers : dict[str, str]
        First voters of the settings, name to peer address.
    state : StorageState
        Durable state, as read from the disk.
    rng : random.Random
        Source of random election times and of the identifier of a new group.
    settings : AgreementSettings
        Times and sizes.
    address : str
        Peer address of this instance, required if it is no first voter.
    silent_since : float or None
        Monotonic time since which no process has acted for this disk: the start of this process if
        it opens the disk for the first time. ``None`` stands for the time of the first step.

    See Also
    ========
    mulberrygate.agreement.service.AgreementService
    """

    def tick(self, now: float) -> list[Effect]:
        """Carry out what is due: heartbeats, elections, formation and membership changes."""
        self.begin_step(now)
        if self.role is Role.STOPPED:
            return self.effects
        if self.role is Role.LEADER:
            self.update_majority_state(now)
            self.advance_members(now)
            self.report_leader_caught_up(now)
            if self.role is Role.LEADER and now >= self.heartbeat_due:
                self.broadcast(now)
        else:
            self.try_to_form(now)
            self.ask_to_join(now)
            if now >= self.election_due:
                self.leader_disk = ""
                self.campaign(now, is_pre=True)
        return self.effects

    def handle(self, message: Any, sender: str, now: float) -> list[Effect]:
        """Handle a message from another instance."""
        self.begin_step(now)
        if self.role is not Role.STOPPED:
            handler = self.handlers().get(type(message))
            if handler is not None:
                handler(message, sender, now)
        return self.effects

    def handlers(self) -> dict[type, Callable[[Any, str, float], None]]:
        """Return the handlers by message class."""
        return {
            Append: self.on_append,
            AppendReply: self.on_append_reply,
            FirstEntry: self.on_first_entry,
            JoinRequest: self.on_join,
            Probe: self.on_probe,
            ProbeReply: self.on_probe_reply,
            SnapshotPart: self.on_snapshot_part,
            SnapshotReply: self.on_snapshot_reply,
            TimeoutNow: self.on_timeout_now,
            VoteReply: self.on_vote_reply,
            VoteRequest: self.on_vote_request,
        }

    def stop(self, now: float) -> list[Effect]:
        """Stop this voter for good, because its disk is not usable."""
        self.begin_step(now)
        self.become_follower(self.term, "", now)
        self.set_role(Role.STOPPED)
        return self.effects

    def addresses(self) -> dict[str, str]:
        """Return the peer addresses of the first voters and of the members."""
        known = dict(self.first_voters)
        known.update({m.name: m.address for m in self.members.members if m.address})
        return known
