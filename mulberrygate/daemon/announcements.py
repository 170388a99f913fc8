"""Parse and validate endpoints' announcements; every value from outside has bounds."""

from __future__ import annotations

import json
import math
import re
from collections.abc import Iterator

import attrs

from mulberrygate.core.codes import register_code
from mulberrygate.core.outcome import Refusal
from mulberrygate.endpoints.model import Announcement
from mulberrygate.settings.load import describe_errors, structure
from mulberrygate.settings.model import is_address
from mulberrygate.tables.model import MODEL, SERVICE, Pool

BAD_ANNOUNCEMENT = register_code(
    6001, "bad_announcement", "The announcement has a wrong field or value.", 400
)

MAX_ANNOUNCEMENT_BYTES = 256 << 10
# The lease decides when an endpoint counts as dead. Endpoints announce every second, so a longer
# lease would only delay that.
MAX_LEASE_S = 30.0
# Larger numbers are not exact in every JSON library; msgpack carries integers up to 64 bits.
MAX_INTEGER = 2**53
MAX_SLOTS = 10_000
MAX_TEXT_CHARS = 128
NAME_FIELDS = ("endpoint", "pool", "failure_domain", "region")
TEXT_FIELDS = ("model", "version", "hardware")
# Smallest and largest value that a field may have.
FIELD_RANGES = {
    "incarnation": (0, MAX_INTEGER),
    "sequence": (0, MAX_INTEGER),
    "slots": (1, MAX_SLOTS),
    "kv_tokens": (0, MAX_INTEGER),
    "load": (0, MAX_INTEGER),
    "cache_sequence": (0, MAX_INTEGER),
    "lease_s": (0.1, float("inf")),
    "load_at": (0, float("inf")),
}
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")
_PREFIX = re.compile(r"[0-9A-Za-z_-]{1,64}")


def read_announcement(body: bytes) -> Announcement | Refusal:
    """Parse and validate an announcement and cap its lease; a refusal names what is wrong.

    Explanation
    ===========
    A load time (`load_at`) in the future is accepted: endpoints' clocks may be wrong, and the
    lease estimates their offset.
    """
    if len(body) > MAX_ANNOUNCEMENT_BYTES:
        return Refusal(
            BAD_ANNOUNCEMENT,
            f"the announcement is over the limit of {MAX_ANNOUNCEMENT_BYTES} bytes",
        )
    try:
        announcement = structure(json.loads(body.decode()), Announcement)
    except (Exception, RecursionError) as error:
        return Refusal(BAD_ANNOUNCEMENT, "; ".join(describe_errors(error))[:500])
    faults = [*_text_faults(announcement), *_number_faults(announcement)]
    if faults:
        return Refusal(BAD_ANNOUNCEMENT, "; ".join(faults)[:500])
    return attrs.evolve(announcement, lease_s=min(announcement.lease_s, MAX_LEASE_S))


def _text_faults(announcement: Announcement) -> Iterator[str]:
    for field in NAME_FIELDS:
        value = getattr(announcement, field)
        if not _NAME.fullmatch(value):
            yield f"{field} must be 1 to 128 letters, digits, '.', '_', ':' or '-': {value[:40]!a}"
    for field in TEXT_FIELDS:
        value = getattr(announcement, field)
        if len(value) > MAX_TEXT_CHARS or not value.isprintable():
            yield f"{field} must be up to {MAX_TEXT_CHARS} printable characters: {value[:40]!a}"
    if not is_address(announcement.address):
        yield f"address must be host:port: {announcement.address[:40]!a}"
    for prefix in (*announcement.cached_prefixes, *announcement.evicted_prefixes):
        if not _PREFIX.fullmatch(prefix):
            yield f"a prefix must be a hash of up to 64 characters: {prefix[:40]!a}"
            break


def _number_faults(announcement: Announcement) -> Iterator[str]:
    for field, (low, high) in FIELD_RANGES.items():
        value = getattr(announcement, field)
        if not low <= value <= high or not math.isfinite(value):
            yield f"{field} is out of range"


def pool_fault(announcement: Announcement, pool: Pool | None) -> str:
    """Return why an endpoint can't serve its pool, or nothing if it can.

    Explanation
    ===========
    Announcements don't state a kind: an endpoint with a KV cache is a model engine, any other one
    a plain service.
    """
    if pool is None:
        return f"no pool {announcement.pool!r} is in force"
    kind = MODEL if announcement.kv_tokens else SERVICE
    if kind != pool.kind:
        return f"the pool {announcement.pool!r} is a {pool.kind} pool, the endpoint is a {kind}"
    return ""
