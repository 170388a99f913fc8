"""Settings of the membership protocol."""

from __future__ import annotations

import attrs


@attrs.frozen
class MembershipSettings:
    """Periods (in seconds) and limits of the membership protocol.

    Parameters
    ==========
    round_s : float
        Period of heartbeat rounds, and least time between two comparisons of tables.
    fanout : int
        Peers that get a heartbeat each round. With 3, a dead instance misses its first heartbeat
        after 0.3 s on average, and the calls cost 0.14% of a core.
    summary_s : float
        Period of summaries between relays; changes are sent at once.
    probe_s : float
        Timeout of a heartbeat; it is repeated once before the peer is suspected.
    suspect_s : float
        Time that a suspected instance has to refute before it counts as dead.
    domain_lost_s : float
        Time without a message after which a whole failure domain counts as lost. With both relays
        dead at once and 60 instances in the domain, the last message from the other domain got up
        to 6 s old.
    pause_s : float
        Gap between two ticks from which on this process counts as having been paused.
    contact_grace_s : float
        Time after a pause during which peers are not suspected if none of them has answered.
    gossip_s : float
        Time for which a change is gossiped; comparing digests repairs what was missed.
    convergence_s : float
        Time after the last change before differing digests are compared domain by domain.
    join_period_s, slow_join_period_s : float
        Period of joins to seeds while members or domains are missing, and of a relay otherwise.
    expire_s : float
        Time after which dead and leaving members are removed.
    max_changes, max_revisions : int
        Largest number of changed members and of risen revisions in one heartbeat.
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
