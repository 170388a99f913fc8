"""Placing of requests on the endpoints of a roster, by the product's pool schedulers.

Explanation
===========
The requests of an engine's pool are ordered by one owner, the leader of the control group, because
all slots are taken in a burst and only one queue keeps the order among entries. A plain service has
room most of the time, and a question to another region would cost more than it gains, so each entry
schedules those itself. Without a leader an entry schedules everything from its share of the slots.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import attrs

from mulberrygate.catalog import BackendPool
from mulberrygate.daemon.poolhost import PoolHost
from mulberrygate.endpoints.model import EndpointView
from mulberrygate.endpoints.roster import Roster, Row
from mulberrygate.schedule.endpoint import EndpointState
from mulberrygate.schedule.messages import pool_subject
from mulberrygate.tables.model import MODEL, SERVICE, Pool

MOST_WAITING = 2000
# Requests beyond its slots that an endpoint is given, so that a slot is filled while the next grant
# is on its way.
ENGINE_QUEUE = 1
SERVICE_QUEUE = 2
# A log line has room for some twenty endpoints.
ENDPOINTS_PER_LINE = 16


@attrs.define
class LoadReport:
    """Last load that an endpoint reported in an answer."""

    load: int
    at: float


class SiteView:
    """Who schedules a pool, as the pool host and the scheduler client ask it.

    Parameters
    ==========
    find_leader : Callable[[], str]
        Returns the leader of the control group, empty if it is not known.
    list_entries : Callable[[], list[str]]
        Returns the live entries.
    """

    def __init__(
        self,
        instance: str,
        find_leader: Callable[[], str],
        list_entries: Callable[[], list[str]],
    ):
        self.instance = instance
        self.find_leader = find_leader
        self.list_entries = list_entries
        self.engine_subjects: frozenset[str] = frozenset()

    def owner(self, _failure_domain: str, subject: str) -> str:
        """Return the instance that schedules a pool for this process."""
        if subject in self.engine_subjects:
            return self.find_leader() or ""
        return self.instance

    def in_domain(self, _failure_domain: str) -> list[str]:
        """Return the entries that share the endpoints."""
        return self.list_entries()


class PoolsInForce:
    """Settings of the pools in force."""

    def __init__(self):
        self.pools: dict[str, Pool] = {}


class RosterDirectory:
    """Endpoints of a roster, as the pool host asks for them."""

    def __init__(self, site, roster: Roster):
        self.site = site
        self.roster = roster
        self.pools: dict[str, BackendPool] = {}
        self.loads: dict[str, LoadReport] = {}
        self.silent: frozenset[str] = frozenset()

    def report_load(self, endpoint: str, load: int, now: float) -> None:
        """Take note of a load that an endpoint reported."""
        self.loads[endpoint] = LoadReport(load, now)

    def views(self, pool: str, now: float) -> list[EndpointView]:
        """Return the endpoints that take work; silent ones only while there are no others."""
        rows = self.roster.usable(pool)
        heard = [row for row in rows if row.registration.endpoint not in self.silent]
        return [self._view(row, now) for row in heard or rows]

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


class Placement:
    """Pool host of a process, over its roster and catalog.

    Parameters
    ==========
    move_watch : object
        Shares of versions under a move, and listener for the results of requests.
    """

    def __init__(self, site, peers, roster, timers, metrics, view: SiteView, move_watch, seed=None):
        self.view = view
        self.in_force = PoolsInForce()
        self.directory = RosterDirectory(site, roster)
        self.host = PoolHost(
            site,
            peers,
            lambda: view,
            self.directory,
            self.in_force,
            timers,
            metrics,
            None,
            random.Random(seed),
            is_wide=True,
        )
        self.host.move_watch = move_watch

    def set_pools(self, pools: dict[str, BackendPool]) -> None:
        """Put pools in force."""
        self.directory.pools = dict(pools)
        self.in_force.pools = {name: pool_settings(pool) for name, pool in pools.items()}
        engines = [name for name, pool in pools.items() if pool.is_engine]
        self.view.engine_subjects = frozenset(pool_subject(name) for name in engines)

    def log_pools(self, lines) -> None:
        """Log what this process's schedulers believe, while requests wait or run there."""
        for pool, hosted in self.host.hosted.items():
            scheduler = hosted.scheduler
            work = hosted.take_work()
            if not len(scheduler.queue) and not scheduler.running:
                continue
            states = list(scheduler.states.values())
            counts = scheduler.served.take_counts()
            now = self.host.timers.now()
            lines.log(
                "pool.state",
                pool=pool,
                is_owner=self.host.is_owner(pool),
                waiting=[queue.count for queue in scheduler.queue.tiers],
                late=[queue.late for queue in scheduler.queue.tiers],
                asked=counts.asked,
                granted=counts.granted,
                granted_late=counts.late,
                refused=counts.refused,
                shares=[round(scheduler.served.share(t, now), 2) for t in range(scheduler.tiers)],
                running=len(scheduler.running),
                free=sum(max(0, state.slots - state.used) for state in states),
                calls=work.calls,
                compared=scheduler.chooser.compared,
                work_ms=round(work.total_s * 1000, 1),
                longest_ms=round(work.longest_s * 1000, 1),
            )
            for first in range(0, len(states), ENDPOINTS_PER_LINE):
                part = states[first : first + ENDPOINTS_PER_LINE]
                endpoints = {state.name: describe_endpoint(state) for state in part}
                lines.log("pool.endpoints", pool=pool, endpoints=endpoints)

    def refresh(self) -> None:
        """Bring the schedulers up to date with the roster at once."""
        self.host.tick()


def describe_endpoint(state: EndpointState) -> dict[str, Any]:
    """Return what a scheduler believes of an endpoint, for the log."""
    return {
        "used": state.used,
        "others": state.external_load,
        "slots": state.slots,
        "faults": state.consecutive_faults,
        "is_slow": state.detector.is_slow,
        "is_failing": state.is_failing,
        "is_silent": state.is_silent,
        "token_ms": round(state.token_s * 1000, 2),
        "start_ms": round(state.start_s * 1000, 1),
    }


def pool_settings(pool: BackendPool) -> Pool:
    """Return a pool's settings for the scheduler."""
    return Pool(
        kind=MODEL if pool.is_engine else SERVICE,
        max_waiting=MOST_WAITING,
        engine_queue=ENGINE_QUEUE if pool.is_engine else SERVICE_QUEUE,
    )
