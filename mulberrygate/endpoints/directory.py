"""Directory of endpoints on each entry instance."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import Any

import attrs
import msgpack

from mulberrygate.core.effects import Effect, Record, Reply, Send
from mulberrygate.endpoints.lease import (
    AGE_UNIT_S,
    LEAVE_LIMIT_S,
    MAX_AGE_UNITS,
    MIN_RENEWAL_GAIN_S,
    Lease,
    LeaseTable,
    age_byte,
)
from mulberrygate.endpoints.messages import (
    Forwarded,
    PullRows,
    Redirected,
    Renewals,
    Reports,
    Rows,
    Summary,
    SummaryAck,
)
from mulberrygate.endpoints.model import Announcement, EndpointView
from mulberrygate.endpoints.summaries import SummarySender, apply_summary
from mulberrygate.members import Ask, MembershipView
from mulberrygate.observe.events import Event

DeathListener = Callable[[str, int, str], None]
OwnerLookup = Callable[[str, str], str]

# Loads and cache events for the owner of a pool are batched for this time. With 100 endpoints in
# one pool of a domain with 60 entries, the owner gets 70 messages a second.
REPORT_PERIOD_S = 0.5
# A longer gap between ticks means that this process was paused. Messages that queued up during the
# pause are old, so for `RENEWAL_HOLDOFF_S` after it no message renews a lease.
PAUSE_S = 1.5
RENEWAL_HOLDOFF_S = 0.5
MIN_PULL_INTERVAL_S = 0.25
# Periods at which an instance exchanges renewals with one random peer. With at most `FEW_PEERS`,
# a renewal reaches all in fewer rounds, so the slow period will do; with 20 instances it let
# renewals get 3.2 s old.
EXCHANGE_S = 0.25
SLOW_EXCHANGE_S = 0.5
FEW_PEERS = 8
# A dead incarnation is remembered for this time, so that a late message can't restore an older one.
TOMBSTONE_S = 60.0


class Directory:
    """Tracks the endpoints of the failure domain with their leases, loads and caches.

    Explanation
    ===========
    A new or changed endpoint is forwarded to all entry instances at once. Renewals spread by
    gossip: an instance periodically exchanges the ages of all leases, one byte for each endpoint,
    with one random peer. Loads and cache events go to the owner of the pool's scheduler only. That
    owner sends summaries to the owners of the same pool in other failure domains.

    Parameters
    ==========
    name, failure_domain : str
        Name of this instance and its failure domain.
    view : Callable[[], MembershipView]
        Current members.
    rng : random.Random
        Source of random numbers.
    owner_of : Callable[[str, str], str] or None
        Owner of the scheduler for a failure domain and a pool; by default the rendezvous owner of
        the pool's name.

    Attributes
    ==========
    table : LeaseTable
        Leases of the endpoints of this failure domain.
    remote : dict[tuple[str, str], LeaseTable]
        Leases from summaries, by failure domain and pool.
    tombstones : dict[str, tuple[int, float]]
        Incarnation and time of death of endpoints that died recently.
    reports : list[list[Any]]
        Queued reports to owners: owner, time and row of `Reports`.
    evacuated : frozenset[str]
        Failure domains whose endpoints get no new work.
    """

    def __init__(
        self,
        name: str,
        failure_domain: str,
        view: Callable[[], MembershipView],
        rng: random.Random,
        owner_of: OwnerLookup | None = None,
    ):
        self.name = name
        self.failure_domain = failure_domain
        self.members = view
        self.rng = rng
        self.owner_of = owner_of or (lambda domain, pool: view().owner(domain, pool))
        self.table = LeaseTable()
        self.remote: dict[tuple[str, str], LeaseTable] = {}
        self.tombstones: dict[str, tuple[int, float]] = {}
        self.death_listeners: list[DeathListener] = []
        self.reports: list[list[Any]] = []
        self.evacuated: frozenset[str] = frozenset()
        self.summaries = SummarySender(failure_domain)
        self.last_report = float("-inf")
        self.last_pull = float("-inf")
        self.last_exchange = float("-inf")
        self.last_return = float("-inf")
        self.last_tick: float | None = None
        self.renewal_holdoff_until = float("-inf")

    def on_death(self, listener: DeathListener) -> None:
        """Call a listener with endpoint, incarnation and reason when an endpoint dies.

        Explanation
        ===========
        The reason is ``lease`` (it ended) or ``incarnation`` (the endpoint restarted). Endpoints
        that announced that they leave are not reported.
        """
        self.death_listeners.append(listener)

    def views(self, pool: str, now: float) -> list[EndpointView]:
        """Return the endpoints of a pool, those of other failure domains included."""
        tables = [self.table] + [t for (_, name), t in self.remote.items() if name == pool]
        return [
            self._view(lease, now)
            for table in tables
            for lease in table.leases.values()
            if lease.announcement.pool == pool
        ]

    def _view(self, lease: Lease, now: float) -> EndpointView:
        """Return the endpoint of a lease, without work for an evacuated failure domain."""
        view = lease.view(now)
        if view.failure_domain in self.evacuated:
            return attrs.evolve(view, accepts_work=False)
        return view

    def pools(self) -> list[str]:
        """Return the names of the pools that have endpoints in this failure domain."""
        return sorted({lease.announcement.pool for lease in self.table.leases.values()})

    def find(self, endpoint: str, now: float) -> EndpointView | None:
        """Return an endpoint, or ``None`` if this instance does not know it."""
        for table in (self.table, *self.remote.values()):
            lease = table.leases.get(endpoint)
            if lease is not None:
                return lease.view(now)
        return None

    def accepts_work(self, endpoint: str, now: float, failure_domain: str = "") -> bool:
        """Return whether a granted endpoint may still get the request.

        Explanation
        ===========
        Summaries of other failure domains go to the pools' owners only, so leases at a former owner
        are no longer renewed. The owner checked the lease when it made the grant; therefore an
        endpoint of another failure domain is accepted unless it is known to be leaving.

        Parameters
        ==========
        failure_domain : str
            Failure domain that the grant names, empty from owners of earlier releases.
        """
        if failure_domain in self.evacuated:
            return False
        lease = self.table.leases.get(endpoint)
        if lease is not None:
            return self._view(lease, now).accepts_work
        found = (table.leases.get(endpoint) for table in self.remote.values())
        known = [lease.announcement for lease in found if lease is not None]
        return not any(a.leaving or a.failure_domain in self.evacuated for a in known)

    def announce(self, announcement: Announcement, now: float) -> list[Effect]:
        """Handle an announcement that an endpoint sent to this instance."""
        if announcement.failure_domain != self.failure_domain:
            target = self.owner_of(announcement.failure_domain, announcement.pool)
            return [Send(target, Redirected(announcement))] if target else []
        if not self._is_newer(announcement):
            return []
        is_changed, effects = self._store(announcement, self._renewal_time(now), now)
        effects += self._queue_report(announcement, now)
        if is_changed:
            lease = self.table.leases[announcement.endpoint]
            forwarded = Forwarded(lease.announcement, age_byte(now - lease.renewed_at))
            effects += [Send(peer, forwarded) for peer in self._peers()]
        return effects

    def _is_newer(self, announcement: Announcement) -> bool:
        name = announcement.endpoint
        if name in self.tombstones and announcement.incarnation < self.tombstones[name][0]:
            return False
        lease = self.table.leases.get(name)
        order_key = (announcement.incarnation, announcement.sequence)
        return lease is None or order_key > lease.order_key

    def _renewal_time(self, now: float) -> float:
        """Return the time to which a message renews leases, minus infinity after a pause."""
        return (
            now
            if now >= self.renewal_holdoff_until and not self._was_paused(now)
            else float("-inf")
        )

    def _was_paused(self, now: float) -> bool:
        return self.last_tick is not None and now - self.last_tick > PAUSE_S

    def _store(
        self, announcement: Announcement, renewed_at: float, now: float
    ) -> tuple[bool, list[Effect]]:
        """Store a newer announcement; return whether its properties changed, and the effects."""
        name = announcement.endpoint
        known = self.table.leases.get(name)
        effects: list[Effect] = []
        if known is not None and known.announcement.incarnation < announcement.incarnation:
            effects += self._notify_death(known, "incarnation")
        lease, is_changed = self.table.put(announcement, renewed_at)
        if renewed_at > float("-inf"):
            lease.renew(renewed_at, now)
        if is_changed:
            subjects = {"endpoint": name, "pool": announcement.pool}
            kind = "endpoints.leaving" if announcement.leaving else "endpoints.changed"
            effects.append(Record(Event(kind, subjects)))
        return is_changed, effects

    def _notify_death(self, lease: Lease, reason: str) -> list[Effect]:
        known = lease.announcement
        if known.leaving or lease.renewed_at == float("-inf"):
            return []
        for listener in list(self.death_listeners):
            listener(known.endpoint, known.incarnation, reason)
        subjects = {"endpoint": known.endpoint, "pool": known.pool}
        return [Record(Event("endpoints.died", subjects, reason))]

    def _queue_report(self, announcement: Announcement, now: float) -> list[Effect]:
        """Apply load and cache events here, and queue them for the owner of the pool."""
        lease = self.table.leases[announcement.endpoint]
        age = lease.load_age(announcement.load_at, now) if announcement.load_at else 0.0
        row = [
            announcement.endpoint,
            announcement.incarnation,
            announcement.sequence,
            0,
            announcement.load,
            int(age * 1000),
            announcement.cache_sequence,
            announcement.cached_prefixes,
            announcement.evicted_prefixes,
            lease.fingerprint,
        ]
        self._apply_report(row, now)
        owner = self.owner_of(self.failure_domain, announcement.pool)
        if owner and owner != self.name:
            self.reports.append([owner, now, row])
        return []

    def _apply_report(self, row: list[Any], now: float) -> None:
        name, incarnation, sequence, units, load, age_ms, cache_sequence, cached, evicted = row[:9]
        lease = self.table.leases.get(name)
        if lease is None:
            return
        load_at = now - (units * AGE_UNIT_S + max(0, age_ms) / 1000)
        if lease.update_load((incarnation, sequence), load, load_at):
            lease.apply_cache(cache_sequence, cached, evicted)

    def _peers(self) -> list[str]:
        view = self.members()
        names = view.in_domain(self.failure_domain)
        return [n for n in names if n != self.name and "entry" in view.members[n].roles]

    def handle(self, message: Any, sender: str, now: float) -> list[Effect]:
        """Handle a message or the answer to an `Ask`."""
        if isinstance(message, Forwarded):
            return self._on_rows(Rows((message.announcement,), bytes([message.age])), now)
        elif isinstance(message, Redirected):
            if message.announcement.failure_domain == self.failure_domain:
                return self.announce(message.announcement, now)
        elif isinstance(message, Renewals):
            return self._on_renewals(message, sender, now)
        elif isinstance(message, PullRows):
            return [self._reply_rows(message.names, now)]
        elif isinstance(message, Rows):
            return self._on_rows(message, now)
        elif isinstance(message, Reports):
            self._on_reports(message, now)
        elif isinstance(message, Summary):
            return self._on_summary(message, now)
        elif isinstance(message, SummaryAck):
            self.summaries.acknowledge(message, sender)
        return []

    def _on_renewals(self, message: Renewals, sender: str, now: float) -> list[Effect]:
        is_same = message.digest == self.table.digest
        may_renew = self._renewal_time(now) > float("-inf")
        effects: list[Effect] = []
        if is_same and may_renew:
            self.table.renew_all(message.ages, now)
        if message.named:
            effects += self._merge_named_renewals(
                msgpack.unpackb(message.named), sender, may_renew, now
            )
        if not message.is_answer:
            ages = self.table.ages(now) if is_same else b""
            named = b"" if is_same else self._pack_renewals(now)
            effects.append(Reply(Renewals(self.table.digest, ages, named, is_answer=True)))
            if (
                not is_same
                and not message.is_return
                and now - self.last_return >= MIN_PULL_INTERVAL_S
            ):
                # The answer gives the sender what it lacks; this requests what is missing here.
                self.last_return = now
                effects.append(Ask(sender, Renewals(self.table.digest, is_return=True)))
        return effects

    def _pack_renewals(self, now: float) -> bytes:
        """Encode all leases by name, for a peer whose digest differs."""
        rows = []
        for name, lease in self.table.leases.items():
            rows.append(
                [name, *lease.order_key, age_byte(now - lease.renewed_at), lease.fingerprint]
            )
        return msgpack.packb(rows)

    def _merge_named_renewals(
        self, rows: Iterable[list[Any]], sender: str, may_renew: bool, now: float
    ) -> list[Effect]:
        """Apply renewals by name and pull announcements that are unknown or outdated here."""
        wanted = []
        for name, incarnation, sequence, units, fingerprint in (row[:5] for row in rows):
            lease = self.table.leases.get(name)
            is_alive = units * AGE_UNIT_S < LEAVE_LIMIT_S
            order_key = (incarnation, sequence)
            if lease is None or (lease.fingerprint != fingerprint and order_key > lease.order_key):
                wanted += [name] if is_alive else []
            elif (
                lease.announcement.incarnation == incarnation
                and may_renew
                and units < MAX_AGE_UNITS
            ):
                at = now - units * AGE_UNIT_S
                if at > lease.renewed_at + MIN_RENEWAL_GAIN_S:
                    lease.renew(at, now)
        if not wanted or now - self.last_pull < MIN_PULL_INTERVAL_S:
            return []
        self.last_pull = now
        return [Ask(sender, PullRows(tuple(wanted)))]

    def _reply_rows(self, names: Iterable[str], now: float) -> Effect:
        leases = [self.table.leases[name] for name in names if name in self.table.leases]
        ages = bytes(age_byte(now - lease.renewed_at) for lease in leases)
        return Reply(Rows(tuple(lease.announcement for lease in leases), ages))

    def _on_rows(self, message: Rows, now: float) -> list[Effect]:
        effects: list[Effect] = []
        may_renew = self._renewal_time(now) > float("-inf")
        for announcement, units in zip(message.announcements, message.ages, strict=False):
            if self._is_newer(announcement):
                is_useful = may_renew and units < MAX_AGE_UNITS
                at = now - units * AGE_UNIT_S if is_useful else float("-inf")
                effects += self._store(announcement, at, now)[1]
        return effects

    def _on_reports(self, message: Reports, now: float) -> None:
        for row in msgpack.unpackb(message.rows):
            lease = self.table.leases.get(row[0])
            self._apply_report(row, now)
            # A report that belongs to newer properties, such as a leave that has not arrived yet,
            # must not renew the lease of the older ones.
            is_same = lease is not None and lease.fingerprint == row[9]
            if is_same and self._renewal_time(now) > float("-inf"):
                lease.renew(now - row[3] * AGE_UNIT_S, now)

    def _on_summary(self, message: Summary, now: float) -> list[Effect]:
        if message.failure_domain == self.failure_domain:
            return []
        key = (message.failure_domain, message.pool)
        table = self.remote.setdefault(key, LeaseTable())
        apply_summary(table, message, self._renewal_time(now) > float("-inf"), now)
        return [Reply(SummaryAck(*key, table.digest))]

    def tick(self, now: float) -> list[Effect]:
        """Run what is due at a time; to be called about four times a second."""
        if self._was_paused(now):
            self.renewal_holdoff_until = now + RENEWAL_HOLDOFF_S
        self.last_tick = now
        effects = self._expire(now)
        effects += self._flush_reports(now)
        peers = self._peers()
        period = EXCHANGE_S if len(peers) > FEW_PEERS else SLOW_EXCHANGE_S
        if peers and now - self.last_exchange >= period - 1e-6:
            self.last_exchange = now
            message = Renewals(self.table.digest, self.table.ages(now))
            effects.append(Ask(self.rng.choice(peers), message))
        return effects + self._summarize(now)

    def _expire(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        if now < self.renewal_holdoff_until:
            return effects
        for name, lease in list(self.table.leases.items()):
            if lease.is_dead(now):
                self.table.remove(name)
                self.tombstones[name] = (lease.announcement.incarnation, now)
                effects += self._notify_death(lease, "lease")
        for table in self.remote.values():
            for name in [n for n, lease in table.leases.items() if lease.is_dead(now)]:
                table.remove(name)
        for name in [n for n, (_, at) in self.tombstones.items() if now - at > TOMBSTONE_S]:
            del self.tombstones[name]
        return effects

    def _flush_reports(self, now: float) -> list[Effect]:
        if not self.reports or now - self.last_report < REPORT_PERIOD_S - 1e-6:
            return []
        self.last_report = now
        batches: dict[str, list[Any]] = {}
        for owner, at, row in self.reports:
            row[3] = age_byte(now - at)
            batches.setdefault(owner, []).append(row)
        self.reports = []
        return [Send(owner, Reports(msgpack.packb(rows))) for owner, rows in batches.items()]

    def _summarize(self, now: float) -> list[Effect]:
        """Send summaries of the pools whose scheduler this instance owns."""
        domains = [d for d in self.members().domains if d != self.failure_domain]
        if not domains:
            return []
        effects: list[Effect] = []
        for pool in self.pools():
            if self.owner_of(self.failure_domain, pool) != self.name:
                continue
            leases = {n: v for n, v in self.table.leases.items() if v.announcement.pool == pool}
            targets = {domain: self.owner_of(domain, pool) for domain in domains}
            effects += self.summaries.send(pool, leases, targets, now)
        return effects
