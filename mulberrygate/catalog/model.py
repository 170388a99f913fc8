"""Model of a catalog: what a deployment's operators put in force as one document."""

from __future__ import annotations

import enum

import attrs

# Callers leave a stream that pauses for this time, or for several times its targets.
MIN_EVENT_TIMEOUT_S = 2.0


class RetryPolicy(enum.Enum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@attrs.frozen
class WeightedPool:
    """Pool with its share of a route's requests, relative to the route's other pools."""

    pool: str
    weight: float


@attrs.frozen
class RouteRule:
    """Route that is selected by host and path.

    Parameters
    ==========
    path_prefix : str
        Begins and ends with a slash; the longest one that begins a path is selected.
    retry_policy : RetryPolicy
        What may be repeated.
    max_attempts : int
        Endpoints to which one request may be sent.
    timeout_s : float
        Seconds after which the caller gets a final answer.
    target_first_s : float
        Seconds within which the answer, or the first event of a stream, is on time.
    target_gap_s : float
        Longest pause in seconds between events of a stream that is on time.
    tier : int
        0 is the most urgent.
    is_resumable : bool
        Whether a broken stream may go on at another endpoint.
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

    @property
    def event_timeout_s(self) -> float:
        """Seconds for which a caller waits for the first event of a stream, or between events."""
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
        Whether its endpoints are model engines that batch.
    slots : int
        Requests that an engine batches at once; 0 if the endpoints tell it themselves.
    kv_tokens : int
        KV cache of an engine in tokens.
    tokens_per_event : int
        Output tokens in one event of a stream.
    """

    name: str
    is_engine: bool = False
    slots: int = 0
    kv_tokens: int = 0
    tokens_per_event: int = 1


@attrs.frozen
class ClientAccount:
    """Client account with its keys and its limit.

    Parameters
    ==========
    tier : int or None
        Tier of its requests, which goes before the route's.
    rate : float
        Units a second over all entries together; 0 for no limit.
    burst : float
        Units beyond the rate in any window.
    counts_tokens : bool
        Whether a unit is a token; otherwise it is a request.
    default_tokens : int
        Tokens counted for a request that states none.
    """

    name: str
    keys: tuple[str, ...]
    tier: int | None = None
    rate: float = 0.0
    burst: float = 0.0
    counts_tokens: bool = False
    default_tokens: int = 1


@attrs.frozen
class RequestLimits:
    """Limits on what a caller may send and how long it may take or stay idle."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 << 20
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 15.0


@attrs.frozen
class Catalog:
    """Everything that operators put in force; the highest version counts."""

    version: int
    routes: tuple[RouteRule, ...] = ()
    pools: tuple[BackendPool, ...] = ()
    accounts: tuple[ClientAccount, ...] = ()
    limits: RequestLimits = RequestLimits()
