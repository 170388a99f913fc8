"""Conversion of a table to its text."""

from __future__ import annotations

import json
from typing import Any

import attrs

from mulberrygate.tables.model import PoolsTable, RoutesTable


def render_table(table: RoutesTable | PoolsTable) -> str:
    """Return a table as JSON, without values that equal their defaults.

    Examples
    ========
    >>> from mulberrygate.tables.model import Pool, PoolsTable
    >>> from mulberrygate.tables.parse import parse_table
    >>> from mulberrygate.tables.render import render_table
    >>> table = PoolsTable(2, {"lamp": Pool(version="v1")})
    >>> parse_table(render_table(table), "pools").table == table
    True
    """
    kind = "routes" if isinstance(table, RoutesTable) else "pools"
    values = {"table": kind, **_to_plain(table)}
    return json.dumps(values, indent=2, ensure_ascii=False) + "\n"


def _to_plain(value: Any) -> Any:
    if attrs.has(type(value)):
        return {
            field.name: _to_plain(getattr(value, field.name))
            for field in attrs.fields(type(value))
            if getattr(value, field.name) != field.default
        }
    if isinstance(value, dict):
        return {name: _to_plain(item) for name, item in sorted(value.items())}
    if isinstance(value, (list, tuple)):
        return [_to_plain(item) for item in value]
    return value
