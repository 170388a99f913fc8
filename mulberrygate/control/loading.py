"""Decides which endpoints of a pool should load which version."""

from __future__ import annotations

import math
from collections.abc import Iterable

import attrs

from mulberrygate.control.commands import MoveState
from mulberrygate.control.state import WITHDRAWN
from mulberrygate.core.wire import message
from mulberrygate.tables.model import Pool


@message("control.endpoint_row")
@attrs.frozen
class EndpointRow:
    """State of an endpoint that the leader needs to send it orders."""

    endpoint: str
    incarnation: int
    address: str
    version: str
    load: int
    checks_fence: bool


@message("control.endpoints_query")
@attrs.frozen
class EndpointsQuery:
    """Request of the leader to a pool's owner in a failure domain for the pool's endpoints."""

    pool: str


@message("control.endpoints_answer")
@attrs.frozen
class EndpointsAnswer:
    """Endpoints of a pool in one failure domain that accept work."""

    rows: tuple[EndpointRow, ...]


@attrs.frozen
class LoadTarget:
    """Version that an endpoint should load."""

    endpoint: str
    version: str


def new_version_count(pool: Pool, move: MoveState | None, count: int) -> int:
    """Return how many of a pool's endpoints should run the pool's version.

    Explanation
    ===========
    During a move the endpoints change before the traffic does, so that there is capacity when the
    share rises: the new version gets at least the declared share of the endpoints and at least its
    share of the traffic. A withdrawn version gets none.
    """
    if move is None:
        return count
    if move.verdict == WITHDRAWN:
        return 0
    return min(count, math.ceil(max(pool.load.share, move.share) * count))


def plan_loads(pool: Pool, move: MoveState | None, rows: Iterable[EndpointRow]) -> list[LoadTarget]:
    """Return the versions to load so that a pool's endpoints run the wanted versions.

    Explanation
    ===========
    The least loaded endpoints change first. At least one endpoint keeps the previous version while
    a move has no verdict, since the new version is compared with it.

    Examples
    ========
    >>> from mulberrygate.control.commands import MoveState
    >>> from mulberrygate.control.loading import EndpointRow, plan_loads
    >>> from mulberrygate.tables.model import Load, Move, Pool
    >>> pool = Pool(version="b", move=Move("a"), load=Load(share=0.5, weight_bytes=1))
    >>> rows = [EndpointRow(name, 1, "", "a", load, True) for name, load in (("x", 3), ("y", 0))]
    >>> plan_loads(pool, MoveState("p", 2, "a", "b"), rows)
    [LoadTarget(endpoint='y', version='b')]
    """
    rows = sorted(rows, key=lambda row: (row.load, row.endpoint))
    if pool.load is None or not pool.version or not rows:
        return []
    wanted = new_version_count(pool, move, len(rows))
    if move is not None and not move.verdict:
        wanted = min(wanted, len(rows) - 1)
    on_new = [row for row in rows if row.version == pool.version]
    others = [row for row in rows if row.version != pool.version]
    if len(on_new) <= wanted:
        return [LoadTarget(row.endpoint, pool.version) for row in others[: wanted - len(on_new)]]
    if move is None or not move.verdict:
        return []
    return [LoadTarget(row.endpoint, move.previous) for row in on_new[: len(on_new) - wanted]]
