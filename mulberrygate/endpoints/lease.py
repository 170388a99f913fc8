"""Leases of endpoints: newest announcement, time of renewal, load and cache."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

import attrs

from mulberrygate.core.codes import register_code
from mulberrygate.core.invariant import invariant
from mulberrygate.endpoints.model import Announcement, EndpointView

STATEMENT_FELL = register_code(
    9210, "endpoint_statement_fell", "An older announcement replaced a newer one."
)
WORK_AFTER_LIMIT = register_code(
    9211, "endpoint_work_after_limit", "An endpoint was offered after its lease or after it left."
)
RENEWED_IN_FUTURE = register_code(
    9212, "endpoint_renewed_in_future", "A lease was renewed at a time in the future."
)

# An endpoint gets no new work this long after its last known announcement, however long its lease
# is, so an instance that missed its leave stops using it after this time.
LEAVE_LIMIT_S = 3.0
# Time after the end of a lease until the endpoint counts as dead. A lease that ends because
# renewals spread slowly only pauses new work.
DEATH_DELAY_S = 2.0
# Unit of ages on the wire. Ages are rounded up and one unit is added at each hop, so that the
# transit time of messages can't prolong a lease.
AGE_UNIT_S = 0.05
MAX_AGE_UNITS = 255
# A gossiped renewal counts only if it is this much later than the known one. Message delays make an
# age look smaller at each hop, and without this limit two instances on a slow network kept renewing
# a dead endpoint for each other. Announcements come about a second apart.
MIN_RENEWAL_GAIN_S = 0.4
MAX_PREFIXES = 20_000
# A load figure that seems older means that the endpoint's clock was set; its offset is reset.
MAX_LOAD_AGE_S = 30.0


def age_byte(seconds: float) -> int:
    """Return an age in units of `AGE_UNIT_S`, rounded up, at most `MAX_AGE_UNITS`."""
    units = max(0.0, seconds) / AGE_UNIT_S
    return int(units) + 2 if units < MAX_AGE_UNITS - 2 else MAX_AGE_UNITS


def strip(announcement: Announcement) -> Announcement:
    """Return the announcement without load and cache events."""
    return attrs.evolve(
        announcement,
        load=0,
        load_at=0.0,
        cached_prefixes=(),
        evicted_prefixes=(),
        cache_sequence=0,
    )


def compute_fingerprint(announcement: Announcement) -> int:
    """Return a hash of an announcement without its sequence, load and cache events."""
    values = attrs.astuple(attrs.evolve(strip(announcement), sequence=0))
    return int.from_bytes(hashlib.blake2b(repr(values).encode(), digest_size=8).digest(), "big")


@attrs.define
class Lease:
    """State of one endpoint at one instance.

    Parameters
    ==========
    announcement : Announcement
        Newest known properties, without load and cache events.
    fingerprint : int
        Hash of the properties; see `compute_fingerprint`.
    renewed_at : float
        Latest time at which the endpoint is known to have announced itself.
    load : int
        Requests running and waiting at the endpoint, as of ``load_at`` on the local clock.
    reported : tuple[int, int]
        Incarnation and sequence of the newest load and cache events.
    clock_offset : float
        Smallest known difference between the local clock and the endpoint's.
    prefixes : dict[str, None]
        Prefix hashes that are probably cached, least recently cached first.
    is_cache_uncertain : bool
        Whether cache events were lost, until the next ones arrive without a gap.
    """

    announcement: Announcement
    fingerprint: int
    renewed_at: float
    load: int = 0
    load_at: float = float("-inf")
    reported: tuple[int, int] = (0, 0)
    clock_offset: float = float("inf")
    prefixes: dict[str, None] = attrs.field(factory=dict)
    cache_sequence: int = 0
    is_cache_uncertain: bool = False

    @property
    def order_key(self) -> tuple[int, int]:
        """Incarnation and sequence, by which announcements of one endpoint are ordered."""
        return self.announcement.incarnation, self.announcement.sequence

    def replace(self, announcement: Announcement, fingerprint: int) -> None:
        """Replace the properties by those of a newer announcement."""
        order_key = (announcement.incarnation, announcement.sequence)
        detail = f"{announcement.endpoint}: {self.order_key} then {order_key}"
        invariant(order_key >= self.order_key, STATEMENT_FELL, detail)
        if announcement.incarnation > self.announcement.incarnation:
            self.prefixes = {}
            self.cache_sequence = 0
            self.is_cache_uncertain = False
            self.clock_offset = float("inf")
            self.load = 0
            self.load_at = float("-inf")
        self.announcement = announcement
        self.fingerprint = fingerprint

    def renew(self, at: float, now: float) -> None:
        """Renew the lease as of a time, unless it was renewed later."""
        invariant(at <= now, RENEWED_IN_FUTURE, self.announcement.endpoint)
        self.renewed_at = max(self.renewed_at, at)

    def ends_at(self) -> float:
        """Return the time from which the endpoint gets no new work.

        Explanation
        ===========
        An instance that is cut off does not learn that an endpoint leaves. It therefore uses the
        last announcement for `LEAVE_LIMIT_S` only, however long the lease is.
        """
        return self.renewed_at + min(self.announcement.lease_s, LEAVE_LIMIT_S)

    def accepts_work(self, now: float) -> bool:
        """Return whether the endpoint may get new work."""
        return not self.announcement.leaving and now < self.ends_at()

    def is_dead(self, now: float) -> bool:
        """Return whether the lease ended long enough ago to count as a death."""
        return now >= self.renewed_at + self.announcement.lease_s + DEATH_DELAY_S

    def load_age(self, load_at: float, now: float) -> float:
        """Return the age of a load figure whose time is of the endpoint's clock, which may be off.

        Explanation
        ===========
        The smallest difference seen between the two clocks counts as the clock offset without any
        delay, so a figure from the future gets the age 0.
        """
        offset = now - load_at
        if offset - self.clock_offset > MAX_LOAD_AGE_S:
            self.clock_offset = offset
        self.clock_offset = min(self.clock_offset, offset)
        return offset - self.clock_offset

    def update_load(self, order_key: tuple[int, int], load: int, load_at: float) -> bool:
        """Store a load figure if it is newer than the known one; return whether it is."""
        if order_key <= self.reported or order_key[0] != self.announcement.incarnation:
            return False
        self.reported = order_key
        self.load = load
        self.load_at = load_at
        return True

    def apply_cache(self, sequence: int, cached: Iterable[str], evicted: Iterable[str]) -> None:
        """Apply cache events; a gap clears the prefixes, since evictions may have been lost."""
        cached, evicted = tuple(cached), tuple(evicted)
        count = len(cached) + len(evicted)
        if sequence <= self.cache_sequence:
            return
        if sequence != self.cache_sequence + count:
            self.is_cache_uncertain = True
            self.prefixes = {}
        elif count:
            self.is_cache_uncertain = False
        self.cache_sequence = sequence
        for prefix in cached:
            self.prefixes.pop(prefix, None)
            self.prefixes[prefix] = None
        for prefix in evicted:
            self.prefixes.pop(prefix, None)
        while len(self.prefixes) > MAX_PREFIXES:
            del self.prefixes[next(iter(self.prefixes))]

    def view(self, now: float) -> EndpointView:
        """Return the endpoint as the scheduler sees it."""
        known = self.announcement
        accepts = self.accepts_work(now)
        is_allowed = not known.leaving and now - self.renewed_at <= LEAVE_LIMIT_S
        invariant(not accepts or is_allowed, WORK_AFTER_LIMIT, known.endpoint)
        return EndpointView(
            endpoint=known.endpoint,
            incarnation=known.incarnation,
            address=known.address,
            pool=known.pool,
            failure_domain=known.failure_domain,
            region=known.region,
            version=known.version,
            hardware=known.hardware,
            slots=known.slots,
            kv_tokens=known.kv_tokens,
            accepts_work=accepts,
            load=self.load,
            load_age_s=min(now - self.load_at, 1e6),
            prefixes=frozenset(self.prefixes),
        )


class LeaseTable:
    """Leases of the endpoints of one failure domain, with a digest of their properties."""

    def __init__(self):
        self.leases: dict[str, Lease] = {}
        self.digest = 0
        self.cached_names: list[str] | None = None

    def names(self) -> list[str]:
        """Return the names of all endpoints, sorted."""
        if self.cached_names is None:
            self.cached_names = sorted(self.leases)
        return self.cached_names

    def put(self, announcement: Announcement, renewed_at: float) -> tuple[Lease, bool]:
        """Store newer properties; return the lease and whether the properties changed."""
        stripped = strip(announcement)
        fingerprint = compute_fingerprint(announcement)
        lease = self.leases.get(announcement.endpoint)
        if lease is None:
            lease = Lease(stripped, fingerprint, renewed_at)
            self.leases[announcement.endpoint] = lease
            self.cached_names = None
            self.digest ^= fingerprint
            return lease, True
        is_changed = lease.fingerprint != fingerprint
        self.digest ^= lease.fingerprint ^ fingerprint
        lease.replace(stripped, fingerprint)
        return lease, is_changed

    def remove(self, name: str) -> Lease:
        """Remove an endpoint."""
        lease = self.leases.pop(name)
        self.digest ^= lease.fingerprint
        self.cached_names = None
        return lease

    def ages(self, now: float) -> bytes:
        """Return the ages of all leases as bytes, sorted by name."""
        leases = self.leases
        return bytes([age_byte(now - leases[name].renewed_at) for name in self.names()])

    def renew_all(self, ages: bytes, now: float) -> None:
        """Renew the leases from a peer's `ages`, which apply only to the same set of names."""
        if len(ages) != len(self.names()):
            return
        leases = self.leases
        for name, units in zip(self.names(), ages, strict=True):
            at = now - units * AGE_UNIT_S
            lease = leases[name]
            if units < MAX_AGE_UNITS and at > lease.renewed_at + MIN_RENEWAL_GAIN_S:
                lease.renew(at, now)
