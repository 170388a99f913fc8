"""Model of a catalog, the configuration document of a deployment."""

from __future__ import annotations

import enum

import attrs

# Callers abandon a stream that pauses for this time or for several times its targets, whichever is
# longer.
MIN_EVENT_TIMEOUT_S = 2.0


class RetryPolicy(enum.Enum):
    """Which requests of a route may be sent again.

    ``IDEMPOTENT`` requests may run more than once, ``ONCE`` requests may not. The answer to a
    ``STREAM`` request is an event stream, which may go on at another endpoint if the route is
    resumable.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@attrs.frozen
class WeightedPool:
    """Pool of a route and its weight in the split of the route's requests."""

    pool: str
    weight: float


@attrs.frozen
class RouteRule:
    """Rule for the requests with one host and path prefix.

    Parameters
    ==========
    path_prefix : str
        Begins and ends with a slash; the longest prefix that matches a path is selected.
    retry_policy : RetryPolicy
        Whether requests may be sent again.
    max_attempts : int
        Largest number of endpoints on which one request may run.
    timeout_s : float
        Seconds within which the caller gets a final answer.
    target_first_s : float
        Target in seconds for the answer, or for the first event of a stream.
    target_gap_s : float
        Target in seconds for the longest pause between two events of a stream.
    tier : int
        Priority class of the requests; 0 is the most urgent.
    is_resumable : bool
        Whether a broken stream may be resumed at another endpoint.
    home_regions : tuple[str, ...]
        Regions in which its requests may be served, none for any.
    """

    name: str
    host: str
    path_prefix: str
    retry_policy: RetryPolicy
    pools: tuple[WeightedPool, ...]
    timeout_s: float
    max_attempts: int = 1
    target_first_s: float = 1.0
    target_gap_s: float = 1.0
    tier: int = 2
    is_anonymous: bool = False
    is_resumable: bool = False
    home_regions: tuple[str, ...] = ()

    @property
    def event_timeout_s(self) -> float:
        """Seconds without an event after which a caller abandons a stream.

        It applies to the first event and to each pause between events.
        """
        return max(MIN_EVENT_TIMEOUT_S, 4 * self.target_first_s, 8 * self.target_gap_s)

    @property
    def may_retry(self) -> bool:
        """Whether a request may run at a second endpoint."""
        return self.retry_policy is RetryPolicy.IDEMPOTENT or self.is_resumable


@attrs.frozen
class BackendPool:
    """Pool of endpoints.

    Parameters
    ==========
    is_engine : bool
        Whether its endpoints are model engines, which batch requests.
    slots : int
        Requests that one engine runs in a batch; 0 if the endpoints report it themselves.
    kv_tokens : int
        Size of one engine's KV cache in tokens.
    tokens_per_event : int
        Output tokens in one event of a stream.
    cold_start_s : float
        Seconds for which an endpoint is cold after its start; 0 if it never is.
    cold_rate : float
        Requests a second that a cold endpoint takes from all entries together; 0 for no limit.
    """

    name: str
    is_engine: bool = False
    slots: int = 0
    kv_tokens: int = 0
    tokens_per_event: int = 1
    cold_start_s: float = 0.0
    cold_rate: float = 0.0


@attrs.frozen
class ClientAccount:
    """Client account with its API keys and its rate limit.

    Parameters
    ==========
    tier : int or None
        Tier of its requests, which takes precedence over the route's.
    rate : float
        Units per second over all entries together; 0 for no limit.
    burst : float
        Units that may be used beyond the rate in any window.
    counts_tokens : bool
        Whether a unit is a token; otherwise it is a request.
    default_tokens : int
        Tokens charged for a request that states no token count.
    home_regions : tuple[str, ...]
        Regions in which its requests may be served, none for any.
    """

    name: str
    keys: tuple[str, ...]
    tier: int | None = None
    rate: float = 0.0
    burst: float = 0.0
    counts_tokens: bool = False
    default_tokens: int = 1
    home_regions: tuple[str, ...] = ()


@attrs.frozen
class RequestLimits:
    """Limits on what a caller may send and how long it may take or stay idle."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 << 20
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 15.0


@attrs.frozen
class Catalog:
    """Complete configuration that operators apply; the highest version is in force."""

    version: int
    routes: tuple[RouteRule, ...] = ()
    pools: tuple[BackendPool, ...] = ()
    accounts: tuple[ClientAccount, ...] = ()
    limits: RequestLimits = RequestLimits()
