"""Decoder of the configuration documents that the platform's operators apply."""

from __future__ import annotations

from typing import Any

from mulberrygate.catalog import (
    BackendPool,
    Catalog,
    ClientAccount,
    RequestLimits,
    RetryPolicy,
    RouteRule,
    WeightedPool,
)
from mulberrygate.platform.values import InvalidValue, parse_json, read_number, read_whole

RETRY_POLICIES = {
    "idempotent": RetryPolicy.IDEMPOTENT,
    "non_idempotent": RetryPolicy.ONCE,
    "streaming": RetryPolicy.STREAM,
}


class InvalidDocument(ValueError):
    """A document can't be applied; the text gives the reason."""


def decode_document(body: bytes) -> Catalog:
    """Return the catalog that a document holds.

    Raises
    ======
    InvalidDocument
        The document is malformed, or its parts contradict each other.
    """
    try:
        catalog = _decode(parse_json(body))
    except InvalidValue as error:
        raise InvalidDocument(str(error)) from error
    except (KeyError, TypeError, AttributeError, ValueError) as error:
        raise InvalidDocument(f"{type(error).__name__}: {error}") from error
    _check(catalog)
    return catalog


def _decode(fields: dict[str, Any]) -> Catalog:
    return Catalog(
        version=read_whole(fields, "version"),
        routes=tuple(_route(item) for item in _list(fields, "routes")),
        pools=tuple(_pool(item) for item in _list(fields, "services")),
        accounts=tuple(_account(item) for item in fields.get("tenants") or ()),
        limits=_limits(fields.get("limits") or {}),
    )


def _list(fields: dict[str, Any], name: str) -> list[Any]:
    value = fields[name]
    if not isinstance(value, list):
        raise InvalidDocument(f"{name} is no list")
    return value


def _text(fields: dict[str, Any], name: str) -> str:
    value = fields[name]
    if not isinstance(value, str) or not value:
        raise InvalidDocument(f"{name} is no text")
    return value


def _route(fields: dict[str, Any]) -> RouteRule:
    kind = _text(fields, "kind")
    if kind not in RETRY_POLICIES:
        raise InvalidDocument(f"unknown kind {kind!r}")
    prefix = _text(fields, "pathPrefix")
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise InvalidDocument(f"path prefix {prefix!r} does not begin and end with a slash")
    timeout_ms = read_number(fields, "timeoutMs")
    if not timeout_ms:
        raise InvalidDocument("a timeout is 0")
    return RouteRule(
        name=_text(fields, "name"),
        host=_text(fields, "host").lower(),
        path_prefix=prefix,
        retry_policy=RETRY_POLICIES[kind],
        pools=_weighted_pools(fields),
        timeout_s=timeout_ms / 1000,
        max_attempts=max(1, int(read_number(fields, "maxAttempts", 1))),
        # Target for the answer, or for the first event of a stream.
        target_first_s=read_number(fields, "targetLatencyMs", 1000) / 1000,
        target_gap_s=read_number(fields, "targetGapMs", 1000) / 1000,
        tier=int(read_number(fields, "priority", 2)),
        is_anonymous=fields.get("anonymous") is True,
        is_resumable=kind == "streaming" and fields.get("resumable") is True,
        home_regions=_home_regions(fields),
    )


def _home_regions(fields: dict[str, Any]) -> tuple[str, ...]:
    """Return the regions that a route or tenant is limited to, none for any."""
    regions = fields.get("allowedRegions")
    if regions is None:
        return ()
    if not isinstance(regions, list) or not all(isinstance(n, str) and n for n in regions):
        raise InvalidDocument("allowedRegions is no list of names")
    return tuple(dict.fromkeys(regions))


def _weighted_pools(fields: dict[str, Any]) -> tuple[WeightedPool, ...]:
    split = fields.get("trafficSplit")
    if not split:
        return (WeightedPool(_text(fields, "service"), 1.0),)
    pools = tuple(
        WeightedPool(_text(item, "service"), read_number(item, "weight")) for item in split
    )
    if not sum(item.weight for item in pools) > 0:
        raise InvalidDocument("the weights of a route add up to 0")
    return pools


def _pool(fields: dict[str, Any]) -> BackendPool:
    engine = fields.get("engine") or {}
    return BackendPool(
        name=_text(fields, "name"),
        is_engine=bool(engine),
        slots=int(read_number(engine, "slots", 0)),
        kv_tokens=int(read_number(engine, "kvCapacityTokens", 0)),
        # Output tokens in one event of a stream.
        tokens_per_event=max(1, int(read_number(engine, "stride", 1))),
        cold_start_s=read_number(fields, "coldStartS", 0),
        cold_rate=read_number(fields, "coldPerS", 0),
    )


def _account(fields: dict[str, Any]) -> ClientAccount:
    keys = fields.get("apiKeys") or []
    if not isinstance(keys, list) or not all(isinstance(key, str) for key in keys):
        raise InvalidDocument("the keys of a tenant are no list of texts")
    priority = fields.get("priority")
    return ClientAccount(
        name=_text(fields, "name"),
        keys=tuple(keys),
        tier=None if priority is None else int(read_number(fields, "priority")),
        rate=read_number(fields, "ratePerS", 0),
        burst=read_number(fields, "burst", 0),
        counts_tokens=fields.get("unit") == "tokens",
        default_tokens=int(read_number(fields, "plainTokens", 1)),
        home_regions=_home_regions(fields),
    )


def _limits(fields: dict[str, Any]) -> RequestLimits:
    default = RequestLimits()
    header_timeout_ms = read_number(fields, "headerTimeoutMs", default.header_timeout_s * 1000)
    idle_timeout_ms = read_number(fields, "idleTimeoutMs", default.idle_timeout_s * 1000)
    return RequestLimits(
        max_header_bytes=int(read_number(fields, "maxHeaderBytes", default.max_header_bytes)),
        max_body_bytes=int(read_number(fields, "maxBodyBytes", default.max_body_bytes)),
        header_timeout_s=header_timeout_ms / 1000,
        idle_timeout_s=idle_timeout_ms / 1000,
    )


def _check(catalog: Catalog) -> None:
    """Check references between pools, routes and accounts, and that routes and keys are unique."""
    pools = {pool.name for pool in catalog.pools}
    hosts_and_prefixes: set[tuple[str, str]] = set()
    for route in catalog.routes:
        for item in route.pools:
            if item.pool not in pools:
                raise InvalidDocument(f"route {route.name} names the unknown service {item.pool}")
        host_and_prefix = (route.host, route.path_prefix)
        if host_and_prefix in hosts_and_prefixes:
            raise InvalidDocument(f"two routes share {route.host}{route.path_prefix}")
        hosts_and_prefixes.add(host_and_prefix)
    owners: dict[str, str] = {}
    for account in catalog.accounts:
        for key in account.keys:
            if owners.setdefault(key, account.name) != account.name:
                raise InvalidDocument("two tenants share a key")
