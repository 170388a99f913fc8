"""Host of the pool schedulers of one entry."""

from __future__ import annotations

import asyncio
import random

import attrs

from mulberrygate.catalog import BackendPool
from mulberrygate.core.effects import Effect, Send
from mulberrygate.core.timers import TimerService
from mulberrygate.endpoints.model import EndpointView
from mulberrygate.endpoints.roster import Roster, Row
from mulberrygate.schedule.effects import Observed
from mulberrygate.schedule.messages import Done, Grant, Progress, Refuse, Ticket
from mulberrygate.schedule.scheduler import PoolScheduler
from mulberrygate.tables.model import MODEL, SERVICE, Pool

TICK_S = 0.05
REFRESH_S = 0.2
# An endpoint that was not heard is used only while the pool has no other.
MOST_WAITING = 400
ENGINE_QUEUE = 1
SERVICE_QUEUE = 2


@attrs.define
class LoadReport:
    """Last load that an endpoint reported in an answer."""

    load: int
    at: float


class Placer:
    """Queue the requests of this entry and place them on endpoints.

    Parameters
    ==========
    site : Site
        Place of the entry.
    roster : Roster
        Endpoints known to the entry.
    timers : TimerService
        Source of time.
    on_observed : Callable[[Observed], None]
        Called with the result of each placed request.
    """

    def __init__(self, site, roster: Roster, timers: TimerService, on_observed, seed=None):
        self.site = site
        self.roster = roster
        self.timers = timers
        self.on_observed = on_observed
        self.rng = random.Random(seed)
        self.schedulers: dict[str, PoolScheduler] = {}
        self.pools: dict[str, BackendPool] = {}
        self.waiters: dict[str, asyncio.Future] = {}
        self.loads: dict[str, LoadReport] = {}
        self.silent: frozenset[str] = frozenset()
        self.shares: dict[str, dict[str, float]] = {}

    def start(self) -> None:
        """Start the timers."""
        self.timers.every(TICK_S, self.tick, "placing.tick")
        self.timers.every(REFRESH_S, self.refresh, "placing.refresh")

    def set_pools(self, pools: dict[str, BackendPool]) -> None:
        """Replace the pools."""
        self.pools = dict(pools)
        for name in [name for name in self.schedulers if name not in pools]:
            self._drop(name)
        for name in self.schedulers:
            self.schedulers[name].set_pool(self._settings(pools[name]), self.timers.now())

    def _drop(self, name: str) -> None:
        """Remove the scheduler of a pool that has neither waiting nor running requests."""
        scheduler = self.schedulers[name]
        if not scheduler.running and not len(scheduler.queue):
            del self.schedulers[name]

    def _settings(self, pool: BackendPool) -> Pool:
        return Pool(
            kind=MODEL if pool.is_engine else SERVICE,
            max_waiting=MOST_WAITING,
            engine_queue=ENGINE_QUEUE if pool.is_engine else SERVICE_QUEUE,
        )

    def _scheduler(self, pool: BackendPool) -> PoolScheduler:
        scheduler = self.schedulers.get(pool.name)
        if scheduler is None:
            site = self.site
            scheduler = PoolScheduler(
                site.failure_domain, site.region, self._settings(pool), self.rng, is_wide=True
            )
            self.schedulers[pool.name] = scheduler
            self._refresh_pool(pool.name, scheduler)
        return scheduler

    async def place(self, pool: BackendPool, ticket: Ticket) -> Grant | Refuse:
        """Wait for an endpoint or a refusal."""
        future = asyncio.get_running_loop().create_future()
        self.waiters[ticket.request] = future
        try:
            self._run(self._scheduler(pool).ask(ticket, self.timers.now()))
            return await future
        except asyncio.CancelledError:
            self.withdraw(pool, ticket.request)
            raise
        finally:
            self.waiters.pop(ticket.request, None)

    def withdraw(self, pool: BackendPool, request: str) -> None:
        """Give up a request that waits, or a grant that is not used."""
        scheduler = self.schedulers.get(pool.name)
        if scheduler is not None:
            self._run(scheduler.withdraw(request, self.timers.now()))

    def progress(self, pool: BackendPool, request: str, emitted: int) -> None:
        """Take note of the tokens that a request has received."""
        scheduler = self.schedulers.get(pool.name)
        if scheduler is not None:
            scheduler.progress(Progress(pool.name, {request: emitted}), self.timers.now())

    def done(self, done: Done) -> None:
        """Take note of the end of a placed request."""
        scheduler = self.schedulers.get(done.pool)
        if scheduler is not None:
            self._run(scheduler.done(done, self.timers.now()))

    def report_load(self, endpoint: str, load: int) -> None:
        """Take note of a load that an endpoint reported."""
        self.loads[endpoint] = LoadReport(load, self.timers.now())

    def tick(self) -> None:
        """Let the schedulers do what is due."""
        now = self.timers.now()
        for scheduler in list(self.schedulers.values()):
            self._run(scheduler.tick(now))

    def refresh(self) -> None:
        """Bring the schedulers up to date with the roster and the reported loads."""
        for name in list(self.schedulers):
            if name not in self.pools:
                self._drop(name)
        for name, scheduler in self.schedulers.items():
            self._refresh_pool(name, scheduler)

    def _refresh_pool(self, name: str, scheduler: PoolScheduler) -> None:
        rows = self.roster.usable(name)
        heard = [row for row in rows if row.registration.endpoint not in self.silent]
        now = self.timers.now()
        views = [self._view(row, now) for row in heard or rows]
        self._run(scheduler.set_endpoints(views, now))

    def set_shares(self, pool: str, shares: dict[str, float]) -> None:
        """Limit the shares of a pool's versions; empty for no limits."""
        scheduler = self.schedulers.get(pool)
        if scheduler is not None and self.shares.get(pool, {}) != shares:
            self.shares[pool] = shares
            self._run(scheduler.set_shares(shares, self.timers.now()))

    def _view(self, row: Row, now: float) -> EndpointView:
        known = row.registration
        pool = self.pools.get(known.pool)
        report = self.loads.get(known.endpoint)
        return EndpointView(
            endpoint=known.endpoint,
            incarnation=known.incarnation,
            address=known.address,
            pool=known.pool,
            failure_domain=known.failure_domain,
            region=self.site.regions.get(known.failure_domain, known.failure_domain),
            version=known.version,
            hardware="",
            slots=max(1, known.slots),
            kv_tokens=pool.kv_tokens if pool else 0,
            accepts_work=True,
            load=report.load if report else 0,
            load_age_s=now - report.at if report else 1e9,
        )

    def _run(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self._answer(effect.message)
            elif isinstance(effect, Observed):
                self.on_observed(effect)

    def _answer(self, message: Grant | Refuse) -> None:
        future = self.waiters.get(message.request)
        if future is not None and not future.done():
            future.set_result(message)
