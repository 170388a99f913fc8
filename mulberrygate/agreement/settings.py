"""Timing and size settings of the agreement group."""

from __future__ import annotations

import attrs


@attrs.frozen
class AgreementSettings:
    """Settings that all voters of a group share.

    Parameters
    ==========
    election_timeout_s : float
        Shortest time in seconds without a leader before an election; the longest is twice that.
    heartbeat_s : float
        Seconds between heartbeats of the leader. With 5 voters, 0.3 s cost the leader 3.3 KB/s and
        1.1% of a core, and 0.15 s cost 6.6 KB/s and 1.6%; the budget for all control traffic is
        8 KB/s.
    tick_s : float
        Seconds between ticks of the service.
    lease_share : float
        Lease as a share of the election timeout. The rest is a margin for clock drift: the
        difference in rate between the monotonic clocks of two instances.
    snapshot_entries : int
        Entries after which a snapshot is taken; this bounds the duration of a restart.
    snapshot_bytes : int
        Bytes of commands after which a snapshot is taken.
    keep_entries : int
        Entries before a snapshot that stay in the log, for followers that are slightly behind.
    batch_bytes : int
        Largest size in bytes of the commands, or of the part of a snapshot, in one message.
    wanted_voters : int
        Number of voters up to which instances that ask to join become voters automatically. A
        further instance stays a learner and replaces a voter that is lost. With 0, operators add
        and remove voters.
    lost_after_s : float
        Seconds without a reply after which a voter counts as lost, if a learner can replace it.
    may_form : bool
        Whether this voter may form a new group.
    """

    election_timeout_s: float = 1.0
    heartbeat_s: float = 0.3
    tick_s: float = 0.05
    lease_share: float = 0.9
    snapshot_entries: int = 256
    snapshot_bytes: int = 8 << 20
    keep_entries: int = 64
    batch_bytes: int = 256 << 10
    wanted_voters: int = 0
    lost_after_s: float = 3.0
    may_form: bool = True

    @property
    def lease_s(self) -> float:
        """Length of the leader's lease in seconds."""
        return self.election_timeout_s * self.lease_share
