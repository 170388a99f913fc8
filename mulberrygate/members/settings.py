"""Periods and limits of the membership."""

from __future__ import annotations

import attrs


@attrs.frozen
class MembershipSettings:
    """Periods in seconds and limits of the membership.

    Parameters
    ==========
    fanout : int
        Peers that get a heartbeat each round. With 3, a dead instance misses its first heartbeat
        after 0.3 s on average, and the calls cost 0.14% of a core.
    summary_s : float
        Period of summaries between relays; changes are sent at once.
    probe_s : float
        Time for the answer to a heartbeat; it is repeated once before the peer is suspected.
    suspect_s : float
        Time in which a suspected instance can refute.
    domain_lost_s : float
        Silence after which a whole failure domain counts as lost. With both relays dead at once
        and 60 instances in the domain, news of the other domain got up to 6 s old.
    pause_s : float
        Gap between ticks after which this process was itself paused.
    contact_grace_s : float
        Time after a pause in which silence of all peers is not held against them.
    join_period_s, slow_join_period_s : float
        Period of joins at a seed while something is missing, and of a relay otherwise.
    gossip_s : float
        Time for which a change is passed on; the digests bring what was missed.
    """

    round_s: float = 1.0
    fanout: int = 3
    summary_s: float = 2.0
    probe_s: float = 0.5
    suspect_s: float = 1.5
    domain_lost_s: float = 10.0
    pause_s: float = 1.5
    contact_grace_s: float = 10.0
    gossip_s: float = 2.5
    convergence_s: float = 2.0
    join_period_s: float = 3.0
    slow_join_period_s: float = 10.0
    expire_s: float = 600.0
    max_changes: int = 24
    max_revisions: int = 12
