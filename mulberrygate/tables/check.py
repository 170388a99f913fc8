"""Semantic checks of a parsed table: names, references between tables, and moves."""

from __future__ import annotations

import re
from collections.abc import Collection, Iterator, Mapping

from mulberrygate.core.codes import Code, register_code
from mulberrygate.settings.positions import ValuePath
from mulberrygate.tables.model import Move, Pool, PoolsTable, Route, RoutesTable
from mulberrygate.tables.parse import MAX_FAULTS, Fault, ParsedTable

MISSING_POOL = register_code(4010, "missing_pool", "A route names a pool that is missing.", 409)
MISSING_ACCOUNT = register_code(
    4011, "missing_account", "A route names a client account that is missing.", 400
)
UNKNOWN_DOMAIN = register_code(
    4012, "unknown_failure_domain", "An account's home is not a known failure domain.", 400
)
BAD_MOVE = register_code(4013, "bad_move", "A version move contradicts itself or the table.", 400)
BAD_NAME = register_code(4014, "bad_name", "A name has a character that is not allowed.", 400)
BAD_TOKEN = register_code(
    4015, "bad_token_hash", "A token hash is malformed or belongs to two accounts.", 400
)
WRONG_PREVIOUS = register_code(
    4016, "wrong_previous", "A move does not start from a version that serves the pool.", 409
)

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,63}")
_SHA256 = re.compile(r"[0-9a-f]{64}")

Finding = tuple[ValuePath, str, Code]


def check_table(
    parsed: ParsedTable,
    *,
    pools: Collection[str] | None = None,
    routes: Mapping[str, Route] | None = None,
    failure_domains: Collection[str] | None = None,
    serving: Mapping[str, Collection[str]] | None = None,
) -> list[Fault]:
    """Return contradictions within a table and between it and the tables in force.

    Parameters
    ==========
    parsed : ParsedTable
        Table to check.
    pools : Collection[str] or None
        Pools in force, for a table of routes; ``None`` skips the check.
    routes : Mapping[str, Route] or None
        Routes in force, for a table of pools; ``None`` skips the check.
    failure_domains : Collection[str] or None
        Known failure domains; ``None`` skips the check.
    serving : Mapping[str, Collection[str]] or None
        Versions that may serve each pool in force; ``None`` skips the check.
    """
    if isinstance(parsed.table, RoutesTable):
        findings = _check_routes(parsed.table, pools, failure_domains)
    else:
        findings = _check_pools(parsed.table, routes, serving)
    return [
        parsed.fault_at(path, detail, code)
        for (path, detail, code), _ in zip(findings, range(MAX_FAULTS), strict=False)
    ]


def _check_routes(
    table: RoutesTable, pools: Collection[str] | None, failure_domains: Collection[str] | None
) -> Iterator[Finding]:
    yield from _check_names("routes", table.routes)
    yield from _check_names("accounts", table.accounts)
    for name, route in table.routes.items():
        if pools is not None and route.pool not in pools:
            yield ("routes", name, "pool"), f"pool {route.pool!r} is missing", MISSING_POOL
        for index, account in enumerate(route.accounts):
            if account not in table.accounts:
                path = ("routes", name, "accounts", index)
                yield path, f"client account {account!r} is missing", MISSING_ACCOUNT
    for name, account in table.accounts.items():
        if failure_domains is not None and account.home not in failure_domains:
            path = ("accounts", name, "home")
            yield path, f"failure domain {account.home!r} is not known", UNKNOWN_DOMAIN
    yield from _check_tokens(table)


def _check_tokens(table: RoutesTable) -> Iterator[Finding]:
    owners: dict[str, str] = {}
    for name, account in table.accounts.items():
        for index, token in enumerate(account.token_sha256):
            path = ("accounts", name, "token_sha256", index)
            if not _SHA256.fullmatch(token):
                yield path, "expected 64 hexadecimal digits in lower case", BAD_TOKEN
            elif owners.setdefault(token, name) != name:
                yield path, f"client account {owners[token]!r} has the same token", BAD_TOKEN


def _check_pools(
    table: PoolsTable,
    routes: Mapping[str, Route] | None,
    serving: Mapping[str, Collection[str]] | None,
) -> Iterator[Finding]:
    yield from _check_names("pools", table.pools)
    for name, route in (routes or {}).items():
        if route.pool not in table.pools:
            detail = f"route {name!r} in force needs pool {route.pool!r}"
            yield ("pools",), detail, MISSING_POOL
    for name, pool in table.pools.items():
        if pool.move is not None:
            yield from _check_move(name, pool, pool.move, (serving or {}).get(name, ()))


def _check_move(name: str, pool: Pool, move: Move, serving: Collection[str]) -> Iterator[Finding]:
    path: ValuePath = ("pools", name, "move")
    if not pool.version:
        yield path, "a move needs the version that it moves to", BAD_MOVE
    if not move.previous:
        yield path + ("previous",), "a move needs the version that it starts from", BAD_MOVE
    elif move.previous == pool.version:
        yield path + ("previous",), "a move must lead to another version", BAD_MOVE
    elif serving and move.previous not in serving:
        detail = f"{move.previous!r} does not serve the pool; in force: {', '.join(serving)}"
        yield path + ("previous",), detail, WRONG_PREVIOUS


def _check_names(section: str, names: Collection[str]) -> Iterator[Finding]:
    for name in names:
        if not _NAME.fullmatch(name):
            detail = f"{name[:80]!r} must be 1 to 64 letters, digits, '.', '_', ':' or '-'"
            yield (section, name), detail, BAD_NAME
