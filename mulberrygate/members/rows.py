"""Compact encoding of members on the wire.

Explanation
===========
A full row contains every field; a short row only those that change while an instance runs, so its
receiver needs the full row already. Rows are msgpack lists, which are a third of the size of maps
with field names.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import attrs
import msgpack

from mulberrygate.members.view import Member, Status

STATUSES = (Status.ALIVE, Status.SUSPECT, Status.LEAVING, Status.DEAD)
STATUS_NUMBERS = {status: number for number, status in enumerate(STATUSES)}
SHORT_FIELDS = 5


def pack(rows: Iterable[Any]) -> bytes:
    """Encode rows; an empty list gives empty bytes."""
    rows = list(rows)
    return msgpack.packb(rows) if rows else b""


def unpack(body: bytes) -> list[Any]:
    """Decode rows; malformed bytes give an empty list."""
    if not body:
        return []
    try:
        rows = msgpack.unpackb(body)
    except Exception:
        return []
    return rows if isinstance(rows, list) else []


def short_row(member: Member) -> list[Any]:
    """Return name, incarnation, heartbeat, status and revision."""
    return [
        member.instance,
        member.incarnation,
        member.heartbeat,
        STATUS_NUMBERS[member.status],
        member.revision,
    ]


def full_row(member: Member) -> list[Any]:
    """Return all fields of a member."""
    return [
        *short_row(member),
        member.address,
        member.http_address,
        member.region,
        member.failure_domain,
        list(member.roles),
    ]


def read_full(row: list[Any]) -> Member | None:
    """Decode a full row; return ``None`` if it is malformed."""
    try:
        name, incarnation, heartbeat, status, revision, address, http, region, domain, roles = row[
            :10
        ]
        return Member(
            instance=str(name),
            address=str(address),
            http_address=str(http),
            region=str(region),
            failure_domain=str(domain),
            incarnation=int(incarnation),
            heartbeat=int(heartbeat),
            status=STATUSES[status],
            roles=tuple(roles),
            revision=int(revision),
        )
    except (ValueError, TypeError, IndexError):
        return None


def read_short(row: list[Any], members: dict[str, Member]) -> Member | None:
    """Decode a short row; return ``None`` if it is malformed or its incarnation is unknown."""
    try:
        name, incarnation, heartbeat, status, revision = row[:SHORT_FIELDS]
        known = members.get(name)
        if known is None or known.incarnation != incarnation:
            return None
        return attrs.evolve(
            known,
            heartbeat=int(heartbeat),
            status=STATUSES[status],
            revision=max(known.revision, int(revision)),
        )
    except (ValueError, TypeError, IndexError):
        return None
