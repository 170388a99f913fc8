"""Runs the schedulers of the pools that this instance owns."""

from __future__ import annotations

import json
import math
import random
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import attrs

from mulberrygate.core.effects import Effect, Record, Send
from mulberrygate.core.timers import TimerService
from mulberrygate.endpoints.model import EndpointView
from mulberrygate.members.rendezvous import WEIGHT_BITS, weigh
from mulberrygate.members.view import MembershipView
from mulberrygate.observe.events import EventRing
from mulberrygate.observe.logs import logger
from mulberrygate.observe.metrics import Metrics
from mulberrygate.peers.client import PeerClient
from mulberrygate.schedule.cold import (
    AWAY_PART,
    NEW_OWNER_PART,
    NEW_OWNER_S,
    choose_away_owners,
    most_cold_owners,
)
from mulberrygate.schedule.explain import explain_choice
from mulberrygate.schedule.messages import (
    Ask,
    Done,
    Explain,
    Explained,
    NotHosted,
    Present,
    Progress,
    Ticket,
    Withdraw,
    pool_subject,
)
from mulberrygate.schedule.rate_limit import rate_part
from mulberrygate.schedule.scheduler import PoolScheduler
from mulberrygate.schedule.wide import WIDE_SCHEDULE_INTERVAL_S
from mulberrygate.settings.model import Settings
from mulberrygate.tables.model import Pool

if TYPE_CHECKING:
    from mulberrygate.control.decoded import DecodedConfiguration
    from mulberrygate.daemon.move_monitor import MoveMonitor
    from mulberrygate.endpoints.directory import Directory

log = logger("schedule")

TICK_S = 0.1
# A scheduler without requests for this time is dropped; its successor has to learn the endpoints'
# speeds again.
IDLE_TIMEOUT_S = 600.0
# An entry counts as one that asks here for this time after its last message about the pool.
ASKER_MEMORY_S = 3.0


@attrs.define
class HandlingTime:
    """Time that a pool's scheduler spent on handling messages and ticks.

    Parameters
    ==========
    calls : int
        Number of calls of the scheduler.
    total_s, longest_s : float
        Seconds of all calls, and of the longest one.
    """

    calls: int = 0
    total_s: float = 0.0
    longest_s: float = 0.0

    def add(self, seconds: float) -> None:
        """Count a call."""
        self.calls += 1
        self.total_s += seconds
        self.longest_s = max(self.longest_s, seconds)


@attrs.define(eq=False)
class HostedScheduler:
    """Scheduler of a pool on this instance, and its handling time since the last report.

    Parameters
    ==========
    used_at : float
        Time of the last use for a new request, or for requests that an entry hands over.
    has_deferred_timer : bool
        Whether a timer is set for the scheduling that was deferred.
    is_owner : bool
        Whether this instance owned the pool at the last tick.
    owned_since : float
        Time of the tick from which on it has owned the pool, infinite while it doesn't.
    asked_at : dict[str, float]
        Time of the last message of each entry that waits for grants or has some.
    """

    scheduler: PoolScheduler
    used_at: float
    handling_time: HandlingTime = attrs.field(factory=HandlingTime)
    has_deferred_timer: bool = False
    is_owner: bool = False
    owned_since: float = math.inf
    asked_at: dict[str, float] = attrs.field(factory=dict)

    def count_askers(self, now: float) -> int:
        """Return the number of entries that have asked lately, at least one."""
        limit = now - ASKER_MEMORY_S
        self.asked_at = {name: at for name, at in self.asked_at.items() if at >= limit}
        return max(1, len(self.asked_at))

    def take_handling_time(self) -> HandlingTime:
        """Return the handling time since the last call of this method."""
        handling_time, self.handling_time = self.handling_time, HandlingTime()
        return handling_time


class PoolHost:
    """Pass messages of entries to the pools' schedulers and carry out their effects.

    Explanation
    ===========
    The owner of a pool schedules over all slots of the endpoints. Another instance, which entries
    ask when they can't reach the owner, schedules over the shares of the slots of these entries.

    Parameters
    ==========
    is_wide : bool
        Whether endpoints of all failure domains are used on equal terms; see `PoolScheduler`.
    list_owners : Callable[[str], list[str]]
        Returns the instances that all own a pool, none if it has one owner.
    """

    def __init__(
        self,
        settings: Settings,
        peers: PeerClient,
        view: Callable[[], MembershipView],
        directory: Directory,
        in_force: DecodedConfiguration,
        timers: TimerService,
        metrics: Metrics,
        events: EventRing,
        rng: random.Random,
        is_wide: bool = False,
        list_owners: Callable[[str], list[str]] = lambda _pool: [],
    ):
        self.is_wide = is_wide
        self.list_owners = list_owners
        self.settings = settings
        self.peers = peers
        self.view = view
        self.directory = directory
        self.in_force = in_force
        self.timers = timers
        self.metrics = metrics
        self.events = events
        self.rng = rng
        self.hosted: dict[str, HostedScheduler] = {}
        self.move_monitor: MoveMonitor | None = None
        self.live_entries: set[str] = set()
        peers.on(Ask, self.on_ask)
        peers.on(Withdraw, self.on_withdraw)
        peers.on(Progress, self.on_progress)
        peers.on(Done, self.on_done)
        peers.on(Present, self.on_present)
        peers.on(Explain, self.on_explain)
        timers.every(TICK_S, self.tick, "poolhost.tick")

    def is_owner(self, pool: str) -> bool:
        """Return whether this instance owns a pool's scheduler."""
        domain = self.settings.failure_domain
        return self.view().owner(domain, pool_subject(pool)) == self.settings.instance

    def scheduler(self, pool: str) -> PoolScheduler | None:
        """Return the scheduler of a pool in force, made at the first use."""
        now = self.timers.now()
        hosted = self.hosted.get(pool)
        if hosted is None:
            settings = self.in_force.pools.get(pool)
            if settings is None:
                return None
            scheduler = self._make_scheduler(settings, self.rng)
            hosted = self.hosted[pool] = HostedScheduler(scheduler, now)
            scheduler.find_rate_part = lambda endpoint, rate: self._rate_part(pool, endpoint, rate)
            scheduler.find_cold_part = lambda endpoint, rate: self._cold_part(pool, endpoint, rate)
            self._refresh(pool, hosted, now)
        hosted.used_at = now
        return hosted.scheduler

    def on_ask(self, message: Ask, sender: str) -> NotHosted | None:
        """Add a request to its pool's queue."""
        pool = message.ticket.pool
        if self.scheduler(pool) is None:
            return NotHosted(pool)
        self._record_asker(pool, sender)
        self._handle(pool, lambda scheduler, now: scheduler.ask(message.ticket, now))
        return None

    def _record_asker(self, pool: str, entry: str) -> None:
        """Record that an entry waits for grants of a pool, or has some."""
        hosted = self.hosted.get(pool)
        if hosted is not None:
            hosted.asked_at[entry] = self.timers.now()

    def on_withdraw(self, message: Withdraw, _sender: str) -> None:
        """Drop a waiting request or take back a grant."""
        request = message.request
        self._handle(message.pool, lambda scheduler, now: scheduler.withdraw(request, now))

    def on_progress(self, message: Progress, sender: str) -> None:
        """Update the progress of running requests, and remove those that have ended."""
        if message.held:
            self._record_asker(message.pool, sender)
        self._handle(message.pool, lambda scheduler, now: scheduler.progress(message, sender, now))

    def on_done(self, message: Done, _sender: str) -> None:
        """Record the end of a granted request."""
        self._handle(message.pool, lambda scheduler, now: scheduler.done(message, now))

    def on_present(self, message: Present, sender: str) -> None:
        """Take over the requests of an entry from an earlier owner."""
        if self.scheduler(message.pool) is not None:
            self._record_asker(message.pool, sender)
            self._handle(
                message.pool, lambda scheduler, now: scheduler.present(message, sender, now)
            )

    def on_explain(self, message: Explain, _sender: str) -> Explained:
        """Answer where a request would go now, without granting or queueing it."""
        return Explained(message.ticket.pool, json.dumps(self.explain(message.ticket)))

    def explain(self, ticket: Ticket) -> dict[str, Any]:
        """Return where a request would go now, and why."""
        now = self.timers.now()
        pool = ticket.pool
        settings = self.in_force.pools.get(pool)
        if settings is None:
            return {"verdict": f"{self.settings.instance} doesn't know the pool {pool}."}
        hosted = self.hosted.get(pool)
        scheduler = hosted.scheduler if hosted is not None else None
        if scheduler is None:
            # Hosting the pool would change what this instance does; this one is dropped again.
            scheduler = self._make_scheduler(settings, random.Random(0))
            scheduler.set_endpoints(self.directory.views(pool, now), now)
        return {
            "scheduler": self.settings.instance,
            "is_owner": self.is_owner(pool),
            "has_scheduled": hosted is not None,
            **explain_choice(scheduler, ticket, now),
        }

    def _make_scheduler(self, pool: Pool, rng: random.Random) -> PoolScheduler:
        domain, region = self.settings.failure_domain, self.settings.region
        return PoolScheduler(domain, region, pool, rng, is_wide=self.is_wide)

    def _handle(self, pool: str, call: Callable[[PoolScheduler, float], list[Effect]]) -> None:
        """Call a pool's scheduler, if there is one, and carry out the effects."""
        hosted = self.hosted.get(pool)
        if hosted is None:
            return
        started = self.timers.now()
        effects = call(hosted.scheduler, started)
        hosted.handling_time.add(self.timers.now() - started)
        self.run(pool, effects)
        if hosted.scheduler.is_deferred and not hosted.has_deferred_timer:
            hosted.has_deferred_timer = True
            self.timers.after(
                WIDE_SCHEDULE_INTERVAL_S,
                lambda: self._run_deferred(pool, hosted),
                "poolhost.settle",
            )

    def _run_deferred(self, pool: str, hosted: HostedScheduler) -> None:
        """Run the scheduling that a scheduler has deferred."""
        hosted.has_deferred_timer = False
        if self.hosted.get(pool) is hosted:
            self._handle(pool, PoolScheduler.schedule_deferred)

    def tick(self) -> None:
        """Refresh endpoints and shares, and drop schedulers that are idle or without a pool."""
        now = self.timers.now()
        self._forget_dead_entries(now)
        for pool, hosted in list(self.hosted.items()):
            if pool not in self.in_force.pools or now >= hosted.used_at + IDLE_TIMEOUT_S:
                del self.hosted[pool]
                continue
            self._update_ownership(pool, hosted)
            self._refresh(pool, hosted, now)
            self._handle(pool, PoolScheduler.tick)

    def _update_ownership(self, pool: str, hosted: HostedScheduler) -> None:
        """Forget a pool's running requests when another instance becomes its owner.

        Explanation
        ===========
        Entries report the end of a request to the instance that granted it and to the owner at that
        time. An instance that owned the pool in between gets no report; it would count the request
        as running for ever, also after it owns the pool again.
        """
        was_owner, hosted.is_owner = hosted.is_owner, self.is_owner(pool)
        if hosted.is_owner and not was_owner:
            hosted.owned_since = self.timers.now()
        if was_owner and not hosted.is_owner:
            hosted.owned_since = math.inf
            hosted.scheduler.forget_running(self.timers.now())

    def _forget_dead_entries(self, now: float) -> None:
        live = set(self.view().in_domain(self.settings.failure_domain))
        for entry in self.live_entries - live:
            for pool, hosted in self.hosted.items():
                self.run(pool, hosted.scheduler.forget_entry(entry, now))
        self.live_entries = live

    def _refresh(self, pool: str, hosted: HostedScheduler, now: float) -> None:
        scheduler = hosted.scheduler
        settings = self.in_force.pools[pool]
        if settings != scheduler.pool:
            self.run(pool, scheduler.set_pool(settings, now))
        views = self.directory.views(pool, now)
        if not self.is_owner(pool):
            views = self._limit_to_shares(views, hosted.count_askers(now))
        self.run(pool, scheduler.set_endpoints(views, now))
        if self.move_monitor is not None:
            self.run(pool, scheduler.set_shares(self.move_monitor.shares(pool), now))

    def _rate_part(self, pool: str, endpoint: str, rate: float) -> float:
        """Return the part of the limit that an endpoint has named which this instance may use."""
        if self.is_owner(pool):
            owners = self.list_owners(pool)
            return rate_part(endpoint, rate, self.settings.instance, owners) if owners else 1.0
        return self._share_of_askers(self.hosted[pool].count_askers(self.timers.now()))

    def _cold_part(self, pool: str, endpoint: str, rate: float) -> float:
        """Return the part of a cold endpoint's limit that this instance may use.

        Explanation
        ===========
        All instances together must stay below the limit and its slack, also those that don't know
        of each other: the owner, the one before it, deputies and entries alone.
        """
        instance = self.settings.instance
        if self.is_owner(pool):
            owners = self.list_owners(pool)
            if owners:
                return rate_part(endpoint, rate, instance, owners, most_cold_owners(rate))
            is_new = self.timers.now() < self.hosted[pool].owned_since + NEW_OWNER_S
            return NEW_OWNER_PART if is_new else 1.0
        askers = self.hosted[pool].count_askers(self.timers.now())
        if askers > 1:
            return AWAY_PART * self._share_of_askers(askers)
        entries = tuple(self.view().in_domain(self.settings.failure_domain))
        if instance not in entries:
            return AWAY_PART / max(1, len(entries))
        owners = choose_away_owners(endpoint, entries)
        return AWAY_PART / len(owners) if instance in owners else 0.0

    def _share_of_askers(self, askers: int) -> float:
        """Return the part of the endpoints that some entries may use without an owner."""
        entries = max(1, len(self.view().in_domain(self.settings.failure_domain)))
        return min(1.0, askers / entries)

    def _limit_to_shares(self, views: list[EndpointView], askers: int) -> list[EndpointView]:
        """Return the endpoints with the slots that this instance may use as a non-owner.

        Explanation
        ===========
        The shares of all entries add up to about the number of slots. If an endpoint has fewer
        slots than there are entries, a hash selects the instances that may use it. Each region
        keeps an endpoint, since some requests may not run in another one.

        Parameters
        ==========
        askers : int
            Number of entries whose shares this instance may use.
        """
        part = self._share_of_askers(askers)
        shared = [self._with_share(view, view.slots * part) for view in views]
        usable = {view.region for view in views if view.accepts_work}
        for region in usable - {view.region for view in shared if view.accepts_work}:
            numbers = [
                number
                for number, view in enumerate(views)
                if view.accepts_work and view.region == region
            ]
            best = max(numbers, key=lambda number: self._hash_fraction(views[number]))
            shared[best] = self._with_slots(views[best], 1)
        return shared

    def _with_share(self, view: EndpointView, share: float) -> EndpointView:
        slots = int(share) + (self._hash_fraction(view) < share % 1.0)
        shared = self._with_slots(view, max(1, slots))
        return attrs.evolve(shared, accepts_work=view.accepts_work and slots > 0)

    @staticmethod
    def _with_slots(view: EndpointView, slots: int) -> EndpointView:
        """Return an endpoint with some of its slots and the same part of its memory."""
        kv_tokens = view.kv_tokens * slots // max(1, view.slots)
        # The load from others isn't counted, since they use slots outside of this share.
        return attrs.evolve(view, slots=slots, kv_tokens=kv_tokens, load=0)

    def _hash_fraction(self, view: EndpointView) -> float:
        """Return the hash of an endpoint and this instance, scaled to 0 to 1."""
        return weigh(view.endpoint, self.settings.instance) / 2.0**WEIGHT_BITS

    def run(self, pool: str, effects: list[Effect]) -> None:
        """Carry out the effects of a scheduler."""
        for effect in effects:
            if isinstance(effect, Send):
                self.peers.send(effect.to, effect.message)
            elif isinstance(effect, Record):
                self.events.record(effect.event)
            elif self.move_monitor is not None:
                self.move_monitor.observe(pool, effect)

    def status(self) -> dict[str, dict]:
        """Return figures of the hosted pools for operators."""
        return {
            pool: {
                "owner": self.is_owner(pool),
                "waiting": len(hosted.scheduler.queue),
                "running": len(hosted.scheduler.running),
            }
            for pool, hosted in self.hosted.items()
        }
