"""The two tables that operators edit: routes and pools."""

from __future__ import annotations

import attrs

TIERS = 4
MODEL = "model"
SERVICE = "service"


def _at_least(minimum: float):
    def check(instance, attribute, value) -> None:
        if value < minimum:
            raise ValueError(f"{attribute.name} must be at least {minimum:g}, not {value:g}")

    return check


def _between(low: float, high: float):
    def check(instance, attribute, value) -> None:
        if not low <= value <= high:
            raise ValueError(f"{attribute.name} must be from {low:g} to {high:g}, not {value:g}")

    return check


def _one_of(*choices: str):
    def check(instance, attribute, value) -> None:
        if value not in choices:
            raise ValueError(f"{attribute.name} must be one of {', '.join(choices)}")

    return check


@attrs.frozen
class Account:
    """Client account.

    Parameters
    ==========
    token_sha256 : tuple[str, ...]
        SHA-256 of the bearer tokens, in hexadecimal.
    home : str
        Failure domain whose ledger stores the account's idempotency keys.
    weight : float
        Weight in fair sharing.
    best_tier : int
        Most urgent tier, the lowest number, that the account may request.
    max_waiting : int
        Largest number of the account's requests that wait at one entry.
    """

    token_sha256: tuple[str, ...]
    home: str
    weight: float = attrs.field(default=1.0, validator=_between(0.001, 1000))
    best_tier: int = attrs.field(default=0, validator=_between(0, TIERS - 1))
    max_waiting: int = attrs.field(default=1000, validator=_at_least(1))


@attrs.frozen
class Route:
    """Route of a service or a model.

    Parameters
    ==========
    pool : str
        Pool that serves the route.
    tier : int
        Tier of its requests, 0 to 3; 0 is the most urgent.
    deadline_s : float
        Seconds until the deadline of a request whose caller gives none.
    max_body_bytes : int
        Largest size of a request body.
    max_output_tokens : int
        Largest number of output tokens of a model route, and the estimate for requests that give
        no number.
    idempotent : bool
        Whether all requests of a service route may be sent again.
    idempotent_methods : tuple[str, ...]
        HTTP methods whose requests may be sent again.
    accounts : tuple[str, ...]
        Client accounts that may use the route; empty if all may.
    """

    pool: str
    tier: int = attrs.field(default=2, validator=_between(0, TIERS - 1))
    deadline_s: float = attrs.field(default=60.0, validator=_between(0.1, 3600))
    max_body_bytes: int = attrs.field(default=1 << 20, validator=_between(1, 32 << 20))
    max_output_tokens: int = attrs.field(default=1024, validator=_between(1, 1_000_000))
    idempotent: bool = False
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD")
    accounts: tuple[str, ...] = ()


@attrs.frozen
class Move:
    """Canary roll-out that moves a pool to a new version.

    Parameters
    ==========
    previous : str
        Version that the move starts from.
    deadline_s : float
        Seconds from acceptance of the table to the end of the move.
    largest_early_share : float
        Largest share of traffic for the new version until the statistical test allows more.
    max_error_excess : float
        Excess over the previous version's error rate from which the new version is faulty.
    max_slowdown : float
        Ratio to the previous version's normalised time from which the new version is faulty.
    watch_s : float
        Seconds after completion for which the new version is still tested for faults.
    """

    previous: str
    deadline_s: float = attrs.field(default=600.0, validator=_between(10, 7 * 86400))
    largest_early_share: float = attrs.field(default=0.05, validator=_between(0.001, 0.5))
    max_error_excess: float = attrs.field(default=0.02, validator=_between(0.001, 0.5))
    max_slowdown: float = attrs.field(default=1.3, validator=_between(1.05, 10))
    watch_s: float = attrs.field(default=600.0, validator=_between(0, 7 * 86400))


@attrs.frozen
class Load:
    """How the control group orders endpoints of a pool to load a new version.

    Parameters
    ==========
    share : float
        Share of the endpoints that load the new version when a move begins.
    weight_bytes : int
        Size of a version's weights in bytes; loads are paced to the transfer rate of the weight
        store.
    """

    share: float = attrs.field(default=0.25, validator=_between(0.01, 1))
    weight_bytes: int = attrs.field(default=0, validator=_at_least(0))


@attrs.frozen
class Pool:
    """Pool of endpoints that serve the same model or service.

    Parameters
    ==========
    kind : str
        ``model`` or ``service``.
    version : str
        Version that the pool should serve; empty for any.
    max_waiting : int
        Largest number of requests that wait in one failure domain.
    engine_queue : int
        Number of requests beyond its slots that an endpoint is sent.
    move : Move or None
        Move to ``version``, if the table declares one.
    load : Load or None
        Settings of the orders to load versions. Without it, endpoints get no such orders, and the
        platform starts endpoints of the new version beside the old ones.
    """

    kind: str = attrs.field(default=MODEL, validator=_one_of(MODEL, SERVICE))
    model: str = ""
    version: str = ""
    max_waiting: int = attrs.field(default=2000, validator=_at_least(1))
    engine_queue: int = attrs.field(default=1, validator=_between(0, 64))
    move: Move | None = None
    load: Load | None = None


@attrs.frozen
class RoutesTable:
    """Table of routes and client accounts."""

    version: int = attrs.field(validator=_at_least(1))
    routes: dict[str, Route] = attrs.field(factory=dict)
    accounts: dict[str, Account] = attrs.field(factory=dict)


@attrs.frozen
class PoolsTable:
    """Table of pools."""

    version: int = attrs.field(validator=_at_least(1))
    pools: dict[str, Pool] = attrs.field(factory=dict)
