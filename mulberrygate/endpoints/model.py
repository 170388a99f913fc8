"""Announcements of endpoints, and the view of an endpoint that the scheduler gets."""

from __future__ import annotations

import attrs

from mulberrygate.core.wire import message


@message("endpoints.announcement")
@attrs.frozen
class Announcement:
    """State that an endpoint announces about itself, about once a second.

    Parameters
    ==========
    endpoint : str
        Name of the endpoint.
    incarnation : int
        Increases with each start of the endpoint.
    sequence : int
        Increases with each announcement of one incarnation.
    address : str
        ``host:port`` of its HTTP server.
    slots : int
        Requests that it runs at the same time; further ones wait in its own queue.
    kv_tokens : int
        Capacity of the KV cache in tokens; 0 for plain services.
    checks_fence : bool
        Whether it refuses orders of control processes that carry an outdated fencing number.
    lease_s : float
        Duration of the lease that the announcement renews.
    load : int
        Requests running and waiting at the endpoint, as of ``load_at``.
    load_at : float
        Unix time of the load figure in seconds.
    cached_prefixes, evicted_prefixes : tuple[str, ...]
        Cache events since the previous announcement, as prefix hashes; may have gaps.
    cache_sequence : int
        Number of the last cache event. It increases by one with each cached or evicted prefix, so
        a gap means that events were lost.
    leaving : bool
        Whether the endpoint is leaving and must get no new work.
    """

    endpoint: str
    incarnation: int
    sequence: int
    address: str
    pool: str
    failure_domain: str
    region: str
    model: str = ""
    version: str = ""
    hardware: str = ""
    slots: int = 1
    kv_tokens: int = 0
    checks_fence: bool = False
    lease_s: float = 3.0
    load: int = 0
    load_at: float = 0.0
    cached_prefixes: tuple[str, ...] = ()
    evicted_prefixes: tuple[str, ...] = ()
    cache_sequence: int = 0
    leaving: bool = False


@message("endpoints.view")
@attrs.frozen
class EndpointView:
    """An endpoint as the scheduler sees it.

    Parameters
    ==========
    accepts_work : bool
        Whether its lease is valid and it is not leaving.
    load_age_s : float
        Age of the reported load in seconds.
    prefixes : frozenset[str]
        Prefix hashes that are probably cached.
    report_age_s : float
        Seconds since the endpoint last reported to any process, as far as known.
    cold_s : float
        Seconds for which the endpoint is still cold, as far as known.
    cold_rate : float
        Requests a second that a cold endpoint of the pool takes from all instances, 0 for any.
    """

    endpoint: str
    incarnation: int
    address: str
    pool: str
    failure_domain: str
    region: str
    version: str
    hardware: str
    slots: int
    kv_tokens: int
    accepts_work: bool
    load: int = 0
    load_age_s: float = 0.0
    prefixes: frozenset[str] = frozenset()
    report_age_s: float = 0.0
    cold_s: float = 0.0
    cold_rate: float = 0.0
