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
from collections import Counter
from collections.abc import Callable
from typing import Any

import attrs

from mulberrygate.catalog import BackendPool
from mulberrygate.daemon.pool_host import PoolHost
from mulberrygate.endpoints.model import EndpointView
from mulberrygate.endpoints.roster import Roster, Row
from mulberrygate.schedule.endpoint import EndpointState
from mulberrygate.schedule.messages import pool_subject
from mulberrygate.sync.evacuations import KnownEvacuations
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


@attrs.frozen
class PoolReach:
    """Where a pool has endpoints that requests may be sent to.

    Parameters
    ==========
    regions : frozenset[str]
        Regions with such an endpoint.
    is_evacuated : bool
        Whether all endpoints of the pool, at least one, are evacuated.
    """

    regions: frozenset[str]
    is_evacuated: bool


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

    Explanation
    ===========
    It is what `mulberrygate.endpoints.directory.Directory` is on the product's own daemons. The
    roster holds what endpoints have reported; what a catalog, load headers and operators add to
    that is added here.

    Attributes
    ==========
    pools : dict[str, BackendPool]
        Pools of the current catalog.
    loads : dict[str, LoadReport]
        Last reported load of each endpoint.
    silent_endpoints : frozenset[str]
        Endpoints without a recent heartbeat.
    evacuations : KnownEvacuations
        Failure domains to whose endpoints nothing may be sent.
    known_reaches : dict[str, PoolReach]
        Results of `find_reach` by pool, which each request needs, for the state `reaches_state`.
    """

    def __init__(self, site, roster: Roster):
        self.site = site
        self.roster = roster
        self.pools: dict[str, BackendPool] = {}
        self.loads: dict[str, LoadReport] = {}
        self.silent_endpoints: frozenset[str] = frozenset()
        self.evacuations = KnownEvacuations()
        self.known_reaches: dict[str, PoolReach] = {}
        self.reaches_state: tuple = ()

    def report_load(self, endpoint: str, load: int, now: float) -> None:
        """Record the load that an endpoint reported."""
        self.loads[endpoint] = LoadReport(load, now)

    def views(self, pool: str, now: float) -> list[EndpointView]:
        """Return the usable endpoints of a pool, silent ones only if there are no others.

        Explanation
        ===========
        Endpoints of evacuated failure domains are listed as well, since requests may still run at
        them, but accept no work.
        """
        views = [self._make_view(row, now) for row in self.usable_rows(pool)]
        if self.evacuations.evacuated:
            evacuated = [row for row in self.roster.usable(pool) if self.is_row_evacuated(row)]
            views += [self._make_view(row, now, accepts_work=False) for row in evacuated]
        return views

    def usable_rows(self, pool: str) -> list[Row]:
        """Return the rows of the endpoints of a pool that may get requests, as `views` does."""
        rows = self.roster.usable(pool)
        if self.evacuations.evacuated:
            rows = [row for row in rows if not self.is_row_evacuated(row)]
        heard = [row for row in rows if row.registration.endpoint not in self.silent_endpoints]
        return heard or rows

    def region_of(self, row: Row) -> str:
        """Return the region of an endpoint."""
        domain = row.registration.failure_domain
        return self.site.regions.get(domain, domain)

    def has_endpoint_in(self, pool: str, regions: frozenset[str]) -> bool:
        """Return whether some regions have a usable endpoint of a pool, or none is known at all."""
        known = self.find_reach(pool).regions
        return not known or not known.isdisjoint(regions)

    def find_reach(self, pool: str) -> PoolReach:
        """Return where a pool has usable endpoints; computed anew only after a change."""
        state = (
            self.roster.changes,
            len(self.roster.rows),
            self.evacuations.evacuated,
            self.silent_endpoints,
        )
        if state != self.reaches_state:
            self.reaches_state = state
            self.known_reaches = {}
        found = self.known_reaches.get(pool)
        if found is None:
            rows = self.usable_rows(pool)
            is_evacuated = not rows and bool(self.roster.usable(pool))
            found = PoolReach(frozenset(map(self.region_of, rows)), is_evacuated)
            self.known_reaches[pool] = found
        return found

    def cold_s(self, row: Row, now: float) -> float:
        """Return the seconds for which an endpoint is or may be cold, as far as known.

        Explanation
        ===========
        The endpoints of a failure domain may have become cold shortly before its evacuation is
        withdrawn, and a heartbeat from before may arrive later, so all count as cold from then on.
        """
        pool = self.pools.get(row.registration.pool)
        start_s = pool.cold_start_s if pool else 0.0
        ended_s = self.evacuations.ended_s(row.registration.failure_domain, now)
        return max(0.0, row.cold_s(start_s, now), start_s - ended_s)

    def count_cold(self, now: float) -> int:
        """Return the number of endpoints that are limited since they are cold."""
        return sum(
            self.cold_s(row, now) > 0
            for row in self.roster.rows.values()
            if (pool := self.pools.get(row.registration.pool)) is not None and pool.cold_rate > 0
        )

    def is_row_evacuated(self, row: Row) -> bool:
        """Return whether the endpoint of a row is in an evacuated failure domain."""
        return self.evacuations.is_evacuated(row.registration.failure_domain)

    def is_evacuated(self, endpoint: str, failure_domain: str) -> bool:
        """Return whether an endpoint is in an evacuated failure domain.

        Parameters
        ==========
        failure_domain : str
            Failure domain that a grant names, empty from owners of earlier releases.
        """
        row = self.roster.rows.get(endpoint)
        is_evacuated = row is not None and self.is_row_evacuated(row)
        return is_evacuated or self.evacuations.is_evacuated(failure_domain)

    def count_evacuated(self, endpoints: list[str]) -> tuple[tuple[str, int], ...]:
        """Return the evacuated failure domains of some endpoints and how often each occurs."""
        if not self.evacuations.evacuated:
            return ()
        rows = (self.roster.rows.get(endpoint) for endpoint in endpoints)
        return tuple(
            Counter(
                row.registration.failure_domain
                for row in rows
                if row is not None and self.is_row_evacuated(row)
            ).items()
        )

    def is_pool_evacuated(self, pool: str) -> bool:
        """Return whether all endpoints of a pool, at least one, are evacuated."""
        return bool(self.evacuations.evacuated) and self.find_reach(pool).is_evacuated

    def _make_view(self, row: Row, now: float, accepts_work: bool = True) -> EndpointView:
        registration = row.registration
        pool = self.pools.get(registration.pool)
        report = self.loads.get(registration.endpoint)
        return EndpointView(
            endpoint=registration.endpoint,
            incarnation=registration.incarnation,
            address=registration.address,
            pool=registration.pool,
            failure_domain=registration.failure_domain,
            region=self.region_of(row),
            version=registration.version,
            hardware="",
            slots=max(1, registration.slots),
            kv_tokens=pool.kv_tokens if pool else 0,
            accepts_work=accepts_work,
            load=report.load if report else 0,
            load_age_s=now - report.reported_at if report else 1e9,
            report_age_s=now - row.heard_at,
            cold_s=self.cold_s(row, now),
            cold_rate=pool.cold_rate if pool else 0.0,
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
        metrics.gauge("endpoints_cold", lambda: self.directory.count_cold(timers.now()))

    def set_pools(self, pools: dict[str, BackendPool]) -> None:
        """Replace the pools in force."""
        self.directory.pools = dict(pools)
        self.in_force.pools = {name: pool_settings(pool) for name, pool in pools.items()}
        engines = [name for name, pool in pools.items() if pool.is_engine]
        self.pool_owners.engine_subjects = frozenset(pool_subject(name) for name in engines)

    def count_evacuated_pools(self) -> int:
        """Return the number of pools all of whose endpoints are evacuated."""
        return sum(map(self.directory.is_pool_evacuated, self.directory.pools))

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
    """Return the log fields of a scheduler's state of an endpoint; ``rate`` is its cold limit."""
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
        "rate": state.cold_limit.rate if state.cold_limit.is_limited else None,
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
