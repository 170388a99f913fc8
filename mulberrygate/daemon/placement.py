"""Assignment of requests to the endpoints of a roster, by pool schedulers.

Explanation
===========
One owner, the leader of the control group, queues the requests of an engine pool: in a burst all
slots are taken, and only a single queue keeps the order among entries. A plain service has free
slots most of the time, and asking another region would cost more than it gains, so each entry
schedules the requests of services itself. While no leader answers, entries ask a deputy among them,
which may use the shares of the slots of those that ask it.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import attrs

from mulberrygate.catalog import BackendPool
from mulberrygate.daemon.pool_host import PoolHost
from mulberrygate.endpoints.model import EndpointView
from mulberrygate.endpoints.roster import Roster, Row
from mulberrygate.schedule.endpoint import EndpointState
from mulberrygate.schedule.messages import pool_subject
from mulberrygate.tables.model import MODEL, SERVICE, Pool

MAX_WAITING_REQUESTS = 2000
# Requests that an endpoint may get beyond its slots, so that a freed slot is filled while the next
# grant is on its way.
ENGINE_QUEUE = 1
SERVICE_QUEUE = 2
# About twenty endpoints fit into a log line.
ENDPOINTS_PER_LINE = 16


@attrs.define
class LoadReport:
    """Last load that an endpoint reported in an answer.

    Parameters
    ==========
    load : int
        Requests running and waiting at the endpoint.
    reported_at : float
        Monotonic time of the answer in seconds.
    """

    load: int
    reported_at: float


class PoolOwners:
    """Instances that schedule pools, for the pool host and the scheduler client.

    Parameters
    ==========
    find_leader : Callable[[], str]
        Returns the leader of the control group, empty if it is not known.
    list_entries : Callable[[], list[str]]
        Returns the live entries.
    find_deputies : Callable[[str], tuple[str, ...]]
        Returns the entries to ask in turn about a subject while the leader doesn't answer.

    Attributes
    ==========
    engine_subjects : frozenset[str]
        Subjects of the engine pools; the leader owns these, each process owns the others.
    """

    def __init__(
        self,
        instance: str,
        find_leader: Callable[[], str],
        list_entries: Callable[[], list[str]],
        find_deputies: Callable[[str], tuple[str, ...]] = lambda _subject: (),
    ):
        self.instance = instance
        self.find_leader = find_leader
        self.list_entries = list_entries
        self.find_deputies = find_deputies
        self.engine_subjects: frozenset[str] = frozenset()

    def owner(self, _failure_domain: str, subject: str) -> str:
        """Return the instance that schedules a pool for this process."""
        if subject in self.engine_subjects:
            return self.find_leader() or ""
        return self.instance

    def owners(self, failure_domain: str, subject: str) -> tuple[str, ...]:
        """Return the instances to ask in turn about a pool: the owner and its deputies."""
        owner = self.owner(failure_domain, subject)
        deputies = self.find_deputies(subject) if subject in self.engine_subjects else ()
        return (owner, *deputies) if owner else deputies

    def list_owners(self, pool: str) -> list[str]:
        """Return the instances that all schedule a pool, none if it has one owner."""
        return [] if pool_subject(pool) in self.engine_subjects else self.list_entries()

    def in_domain(self, _failure_domain: str) -> list[str]:
        """Return all entries; they share the endpoints regardless of failure domains."""
        return self.list_entries()


class PoolsInForce:
    """Scheduler settings of the current catalog's pools; the pool host reads them here."""

    def __init__(self):
        self.pools: dict[str, Pool] = {}


class RosterDirectory:
    """Endpoints of a roster in the form that the pool host reads.

    Attributes
    ==========
    pools : dict[str, BackendPool]
        Pools of the current catalog.
    loads : dict[str, LoadReport]
        Last reported load of each endpoint.
    silent_endpoints : frozenset[str]
        Endpoints without a recent heartbeat.
    """

    def __init__(self, site, roster: Roster):
        self.site = site
        self.roster = roster
        self.pools: dict[str, BackendPool] = {}
        self.loads: dict[str, LoadReport] = {}
        self.silent_endpoints: frozenset[str] = frozenset()

    def report_load(self, endpoint: str, load: int, now: float) -> None:
        """Record the load that an endpoint reported."""
        self.loads[endpoint] = LoadReport(load, now)

    def views(self, pool: str, now: float) -> list[EndpointView]:
        """Return the usable endpoints of a pool, silent ones only if there are no others."""
        rows = self.roster.usable(pool)
        heard = [row for row in rows if row.registration.endpoint not in self.silent_endpoints]
        return [self._make_view(row, now) for row in heard or rows]

    def _make_view(self, row: Row, now: float) -> EndpointView:
        registration = row.registration
        pool = self.pools.get(registration.pool)
        report = self.loads.get(registration.endpoint)
        return EndpointView(
            endpoint=registration.endpoint,
            incarnation=registration.incarnation,
            address=registration.address,
            pool=registration.pool,
            failure_domain=registration.failure_domain,
            region=self.site.regions.get(registration.failure_domain, registration.failure_domain),
            version=registration.version,
            hardware="",
            slots=max(1, registration.slots),
            kv_tokens=pool.kv_tokens if pool else 0,
            accepts_work=True,
            load=report.load if report else 0,
            load_age_s=now - report.reported_at if report else 1e9,
            report_age_s=now - row.heard_at,
        )


class Placement:
    """Pool host of a process, over its roster and catalog.

    Parameters
    ==========
    move_monitor : object
        Returns the versions' shares during a move and observes the results of requests, as
        `mulberrygate.daemon.move_monitor.MoveMonitor` does.
    """

    def __init__(
        self, site, peers, roster, timers, metrics, pool_owners: PoolOwners, move_monitor, seed=None
    ):
        self.pool_owners = pool_owners
        self.in_force = PoolsInForce()
        self.directory = RosterDirectory(site, roster)
        self.host = PoolHost(
            site,
            peers,
            lambda: pool_owners,
            self.directory,
            self.in_force,
            timers,
            metrics,
            None,
            random.Random(seed),
            is_wide=True,
            list_owners=pool_owners.list_owners,
        )
        self.host.move_monitor = move_monitor

    def set_pools(self, pools: dict[str, BackendPool]) -> None:
        """Replace the pools in force."""
        self.directory.pools = dict(pools)
        self.in_force.pools = {name: pool_settings(pool) for name, pool in pools.items()}
        engines = [name for name, pool in pools.items() if pool.is_engine]
        self.pool_owners.engine_subjects = frozenset(pool_subject(name) for name in engines)

    def log_pools(self, lines) -> None:
        """Log the state of this process's pool schedulers that have waiting or running requests."""
        for pool, hosted in self.host.hosted.items():
            scheduler = hosted.scheduler
            work = hosted.take_handling_time()
            while scheduler.lost_while_full:
                lost = scheduler.lost_while_full.popleft()
                lines.log(
                    "endpoint.lost_full",
                    pool=pool,
                    endpoint=lost.endpoint,
                    incarnation=lost.incarnation,
                    requests=lost.requests,
                    held_tokens=round(lost.held),
                    limit_tokens=round(lost.limit),
                )
            if not len(scheduler.queue) and not scheduler.running:
                continue
            states = list(scheduler.states.values())
            counts = scheduler.served.take_counts()
            now = self.host.timers.now()
            lines.log(
                "pool.state",
                pool=pool,
                is_owner=self.host.is_owner(pool),
                askers=hosted.count_askers(now),
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
                compared=scheduler.chooser.comparison_count,
                work_ms=round(work.total_s * 1000, 1),
                longest_ms=round(work.longest_s * 1000, 1),
            )
            for first in range(0, len(states), ENDPOINTS_PER_LINE):
                part = states[first : first + ENDPOINTS_PER_LINE]
                endpoints = {state.name: describe_endpoint(state) for state in part}
                lines.log("pool.endpoints", pool=pool, endpoints=endpoints)

    def refresh(self) -> None:
        """Update the schedulers from the roster without waiting for the next tick."""
        self.host.tick()


def describe_endpoint(state: EndpointState) -> dict[str, Any]:
    """Return the log fields of a scheduler's state of an endpoint."""
    return {
        "used": state.used,
        "others": state.external_load,
        "slots": state.slots,
        "faults": state.consecutive_faults,
        "is_slow": state.detector.is_slow,
        "is_failing": state.is_failing,
        "is_silent": state.is_silent,
        "held_tokens": round(state.memory.held),
        "slowdown": round(1.0 + state.slowdown.excess, 2),
        "usual_slowdown": round(state.slowdown.usual, 2),
        "token_ms": round(state.token_s * 1000, 2),
        "start_ms": round(state.start_s * 1000, 1),
    }


def pool_settings(pool: BackendPool) -> Pool:
    """Return a pool's settings for the scheduler."""
    return Pool(
        kind=MODEL if pool.is_engine else SERVICE,
        max_waiting=MAX_WAITING_REQUESTS,
        engine_queue=ENGINE_QUEUE if pool.is_engine else SERVICE_QUEUE,
    )
