"""Composition of an entry process, which forwards callers' requests to endpoints."""

from __future__ import annotations

import asyncio
import json
import math

from aiohttp import web

from mulberrygate.catalog import CatalogIndex
from mulberrygate.control.blame import is_part
from mulberrygate.core.boot_time import seconds_since_boot
from mulberrygate.core.memory_gate import SWEEP_INTERVAL_S, MemoryGate
from mulberrygate.core.timers import TimerService
from mulberrygate.daemon.http_server import (
    LAST_REQUEST_S,
    HttpServer,
    make_server,
    max_caller_connections,
)
from mulberrygate.daemon.placement import Placement, PoolOwners
from mulberrygate.daemon.site_peers import SitePeers
from mulberrygate.daemon.sockets import Listeners, split_address
from mulberrygate.endpoints.roster import Roster
from mulberrygate.entry.tickets import SchedulerClient
from mulberrygate.forward.explain import PlacementExplainer
from mulberrygate.forward.hedging import Hedging
from mulberrygate.forward.limits import AccountLimits
from mulberrygate.forward.service import Forwarder
from mulberrygate.forward.suspects import Suspects
from mulberrygate.forward.tunnel import SOCKETS_PER_TUNNEL, TunnelServer
from mulberrygate.members.deputies import Deputies
from mulberrygate.observe.jsonlines import JsonLines, rounded_age
from mulberrygate.observe.metrics import Metrics
from mulberrygate.quota import DeputyLimits, Limit
from mulberrygate.settings.product import ProductSettings
from mulberrygate.sync.crash_reports import CrashReporter
from mulberrygate.sync.evidence import EvidenceReports
from mulberrygate.sync.follower import Follower
from mulberrygate.sync.messages import (
    AskUnits,
    Crash,
    ExplainedPlacement,
    ExplainPlacement,
    FollowResult,
    Units,
)
from mulberrygate.sync.spent_units import SpentUnitsReporter
from mulberrygate.sync.trials import TrialClient

# The load balancer checks readiness once a second and removes an instance after two failures. A
# request accepted later than this might not finish before the process has to exit.
BALANCER_REMOVAL_S = 2.6
# Time reserved for closing connections and exiting.
EXIT_MARGIN_S = 0.9
# Time at the end of a stop in which no call is sent any more, so that those sent can be answered.
LAST_SEND_S = 3.0
# Time reserved for the answers to calls that are refused or given up at a limit of a stop.
ANSWER_MARGIN_S = 0.1
EVIDENCE_INTERVAL_S = 0.3
# A pool's owner answers within a round trip between regions.
ASK_TIMEOUT_S = 0.25
PROGRESS_INTERVAL_S = 0.4
# Requests queued at a former owner are never granted, so a change must be noticed soon.
OWNER_CHECK_INTERVAL_S = 0.1
LOG_FLUSH_INTERVAL_S = 0.1
POOLS_LOG_INTERVAL_S = 1.0
HEDGES_LOG_INTERVAL_S = 5.0
SILENT_CHECK_INTERVAL_S = 1.0
PATHS_SWEEP_INTERVAL_S = 5.0
MAX_READINESS_CONNECTIONS = 16
# A new entry that hears only from control processes that may lack the newest state waits for this
# time for one that has it. Without a majority of the group there is none.
CURRENT_STATE_WAIT_S = 3.0


def last_send_at(read_at: float, end: float) -> float:
    """Return the time after which a stopping entry sends no call for the first time.

    Parameters
    ==========
    read_at, end : float
        Monotonic times at which the last requests have been read, and at which calls without an
        answer are given up.

    Examples
    ========
    >>> last_send_at(2.5, 7.0), last_send_at(2.5, 4.0), last_send_at(1.0, 1.0)
    (4.0, 2.5, 0.9)
    """
    return min(max(read_at, end - LAST_SEND_S), end - ANSWER_MARGIN_S)


class EntryNode:
    """Entry process: follows a control process and forwards callers' requests to endpoints.

    Parameters
    ==========
    site : Site
        Settings of the process.
    dialect : Dialect
        HTTP conventions of callers and endpoints.
    decode : Callable[[bytes], Catalog]
        Decoder of catalog documents.
    listeners : Listeners or None
        Sockets that already listen.
    seed : int or None
        Seed of the random choices.
    product : ProductSettings or None
        Settings that the operators have chosen, ``None`` for the defaults.
    started_at : float or None
        Monotonic time at which the process started, ``None`` for the time of its components.

    Attributes
    ==========
    is_informed : bool
        Whether the catalog and the quarantine are known from a process that had the newest state,
        or none was found in time.
    first_result_at : float
        Monotonic time of the first answer of any control process, infinite before.
    """

    def __init__(
        self,
        site,
        lines: JsonLines,
        dialect,
        decode,
        listeners=None,
        seed: int | None = None,
        product: ProductSettings | None = None,
        started_at: float | None = None,
    ):
        self.started_at = started_at
        self.site = site
        self.product = product or ProductSettings()
        self.listeners = listeners or Listeners()
        self.lines = lines
        self.timers = TimerService(self._on_timer_error)
        self.metrics = Metrics()
        self.gate = MemoryGate(site.limits.memory_bytes, lines, self.metrics)
        self.peers = SitePeers(site)
        self.roster = Roster()
        self.deputies = Deputies(site.instance)
        self.limits = AccountLimits(
            site.instance,
            self.peers,
            lambda: self.follower.leader,
            site.bounds.quota_slack,
            seconds_since_boot,
            self.deputies.for_limits,
        )
        self.deputy_limits = DeputyLimits()
        self.peers.client.on(AskUnits, self._on_ask_units)
        self.suspects = Suspects(self._log_crash, lambda: self.reporter.wake())
        self._add_quarantine_gauges()
        self.reporter = CrashReporter(
            self.peers.client, self.suspects, self.timers, self._list_controls
        )
        self.trials = TrialClient(
            site.instance,
            self.peers.incarnation,
            self.peers.client,
            self.timers,
            lambda: self.follower.leader,
        )
        self.seed = seed
        self.dialect = dialect
        self.decode = decode
        self.evidence = EvidenceReports(self.roster, self.timers.now)
        self.is_stopping = False
        self.is_informed = False
        self.first_result_at = math.inf
        self.http: HttpServer | None = None
        self.readiness_http: HttpServer | None = None

    def _add_quarantine_gauges(self) -> None:
        """Add the numbers of suspected and quarantined calls and parts to the metrics."""
        suspects = self.suspects
        gauge = self.metrics.gauge
        gauge("quarantined_parts", lambda: sum(map(is_part, suspects.quarantined)))
        gauge("quarantined_calls", lambda: sum(not is_part(n) for n in suspects.quarantined))
        gauge("suspected_parts", lambda: sum(map(is_part, suspects.suspected)))
        gauge("suspected_calls", lambda: sum(not is_part(n) for n in suspects.suspected))

    def _create_components(self) -> None:
        """Create the components that need a running event loop."""
        site, peers = self.site, self.peers.client
        self.follower = Follower(
            site,
            self.peers,
            self.roster,
            self.timers,
            self.lines,
            self.decode,
            self._on_catalog,
            self._on_follow_result,
            self.seed,
        )
        self.follower.quarantine_number = lambda: self.suspects.quarantine_number
        self.follower.evacuations_number = lambda: self.evacuations.number
        pool_owners = PoolOwners(
            site.instance,
            lambda: self.follower.leader,
            self._list_entries,
            self.deputies.for_pool,
        )
        self.placement = Placement(
            site,
            peers,
            self.roster,
            self.timers,
            self.metrics,
            pool_owners,
            self.evidence,
            self.seed,
        )
        self.evacuations = self.placement.directory.evacuations
        self.metrics.gauge("evacuated_failure_domains", lambda: len(self.evacuations.evacuated))
        self.metrics.gauge("pools_without_endpoint", self.placement.count_evacuated_pools)
        scheduler = SchedulerClient(
            site.instance,
            site.failure_domain,
            peers,
            lambda: pool_owners,
            self.timers,
            ask_timeout_s=ASK_TIMEOUT_S,
            progress_s=PROGRESS_INTERVAL_S,
            owner_check_s=OWNER_CHECK_INTERVAL_S,
        )
        self.units_reporter = SpentUnitsReporter(
            site.instance,
            peers,
            self.limits.history,
            self.timers,
            lambda: self.follower.leader,
            lambda: self.limits.epoch,
            seconds_since_boot,
            0.0 if self.started_at is None else self.timers.now() - self.started_at,
        )
        self.follower.running = lambda: self.placement.directory.count_evacuated(
            scheduler.running_endpoints()
        )
        self.forwarder = Forwarder(
            site,
            self.dialect,
            self.placement,
            scheduler,
            self.limits,
            self.suspects,
            self.trials,
            self.timers,
            self.lines,
            self.metrics,
            self.seed,
            self._make_hedging(),
            self.gate,
        )
        self.forwarder.list_relays = lambda: self.deputies.entries
        self.tunnels = TunnelServer(
            self._may_open_tunnel,
            lambda host, port: self.forwarder.dialer.connect(host, port),
            site.limits.sockets // SOCKETS_PER_TUNNEL,
        )
        self.metrics.gauge("tunnels", lambda: len(self.tunnels.sides))
        self.explainer = PlacementExplainer(self.forwarder, peers)
        peers.on(ExplainPlacement, self._on_explain_placement)

    async def _on_explain_placement(
        self, message: ExplainPlacement, _sender: str
    ) -> ExplainedPlacement:
        """Answer an operator, through a control process, where a request would go now."""
        return ExplainedPlacement(json.dumps(await self.explainer.explain(message)))

    def _may_open_tunnel(self, address: str) -> bool:
        """Return whether an address is an endpoint's that this entry reaches directly."""
        if self.forwarder.paths.is_direct_doubtful(address):
            return False
        return address in self._endpoint_addresses()

    def _endpoint_addresses(self) -> set[str]:
        return {row.registration.address for row in self.roster.rows.values()}

    def _sweep_paths(self) -> None:
        """Drop what is known of addresses that no endpoint has any more."""
        self.forwarder.paths.retain(self._endpoint_addresses(), self.timers.now())

    def _make_hedging(self) -> Hedging | None:
        """Return what decides about second copies, ``None`` if the operators want none."""
        settings = self.product.hedging
        return Hedging(settings) if settings is not None and settings.share > 0 else None

    def _log_hedges(self) -> None:
        """Log what became of second copies since the start, and what the limits allow now."""
        hedging = self.forwarder.hedging
        counts = {
            dict(labels)["result" if name == "hedges_total" else "reason"]: int(value)
            for (name, labels), value in self.metrics.counters.items()
            if name in ("hedges_total", "hedges_denied_total")
        }
        allowances = hedging.allowances.items()
        self.lines.log(
            "hedges.state",
            counts=counts,
            share_left={pool: round(allowance.level, 2) for pool, allowance in allowances},
        )

    def _list_entries(self) -> list[str]:
        # Control processes of earlier releases tell only the number of entries.
        return list(self.deputies.entries) or [str(n) for n in range(self.forwarder.entries)]

    def _on_ask_units(self, message: AskUnits, _sender: str) -> Units:
        """Grant units of an account to an entry that reaches no leader."""
        if self.forwarder.index is None:
            return Units(False)
        granted = self.deputy_limits.grant(
            message.instance,
            message.account,
            message.need,
            len(self.deputies.entries) or self.forwarder.entries,
            seconds_since_boot(),
            message.leaderless_s,
        )
        return Units(True, granted.units, granted.wait_s)

    def _log_pools(self) -> None:
        """Log the state of the pools, and for which entries this one is a deputy."""
        self.placement.log_pools(self.lines)
        askers = self.deputy_limits.count_askers(seconds_since_boot())
        if askers:
            self.lines.log("deputy.limits", askers=askers, entries=len(self.deputies.entries))

    def _on_timer_error(self, name: str, error: BaseException) -> None:
        self.lines.log("timer.failed", timer=name, error=repr(error))

    async def start(self) -> None:
        """Start to follow a control process and listen for callers."""
        self._create_components()
        await self.peers.start()
        self.follower.start()
        if self.site.tunnel_port is not None:
            await self.tunnels.start(self.site.instance, self.site.tunnel_port)
            self.timers.every(PATHS_SWEEP_INTERVAL_S, self._sweep_paths, "paths")
        self.timers.every(EVIDENCE_INTERVAL_S, self._send_evidence, "evidence")
        self.timers.every(LOG_FLUSH_INTERVAL_S, self.lines.flush, "lines")
        self.timers.every(POOLS_LOG_INTERVAL_S, self._log_pools, "pools")
        if self.forwarder.hedging is not None:
            self.timers.every(HEDGES_LOG_INTERVAL_S, self._log_hedges, "hedges")
        self.readiness_http = self._make_http(
            self._handle_readiness,
            self.site.readiness_address,
            max_connections=MAX_READINESS_CONNECTIONS,
        )
        await self.readiness_http.start()
        self.http = self._make_http(
            self.forwarder.handle,
            self.site.entry_address,
            cancel_on_disconnect=True,
            max_connections=max_caller_connections(
                self.site.limits.sockets - 2 * self.tunnels.max_tunnels
            ),
        )
        await self.http.start()
        self.timers.every(
            SILENT_CHECK_INTERVAL_S,
            lambda: self.http.close_silent(self.timers.now()),
            "http.silent",
        )
        self.timers.every(
            SWEEP_INTERVAL_S, lambda: self.http.sweep(self.timers.now()), "http.sweep"
        )

    def _make_http(
        self,
        handler,
        address: str,
        max_connections: int,
        cancel_on_disconnect: bool = False,
    ) -> HttpServer:
        host, port = split_address(address)
        return HttpServer(
            make_server(handler, cancel_on_disconnect),
            host,
            port,
            self.listeners.get(address),
            self.gate,
            max_connections,
        )

    @property
    def is_ready(self) -> bool:
        """Whether the entry can serve new callers."""
        return not self.is_stopping and self.forwarder.index is not None

    async def _handle_readiness(self, request: web.BaseRequest) -> web.Response:
        return web.Response(status=200 if self.is_ready else 503)

    def _on_catalog(self, index: CatalogIndex) -> None:
        """Put a catalog in force; the first one when the quarantine is known as well."""
        if self.is_informed:
            self._put_in_force(index)

    def _put_in_force(self, index: CatalogIndex) -> None:
        self.forwarder.set_index(index)
        accounts = index.catalog.accounts
        self.deputy_limits.set_limits(
            {a.name: Limit(a.rate, a.burst) for a in accounts if a.rate > 0}
        )
        if self.http is not None:
            self.http.set_limits(index.catalog.limits)

    def _on_follow_result(self, result: FollowResult) -> None:
        """Pass an answer of the followed control process on to the components."""
        # A control process cut off from its group may lack heartbeats that others received.
        if result.is_current and result.is_settled:
            self.placement.directory.silent_endpoints = frozenset(result.silent)
        self.forwarder.catalog_current_at = self.follower.current_at
        self._update_entries(result)
        self._update_quarantine(result)
        self._update_evacuations(result)
        self._check_informed(result)
        self.evidence.set_moves(self.follower.moves)
        if result.heard or result.gone:
            self.placement.refresh()

    def _update_entries(self, result: FollowResult) -> None:
        """Take over the live entries, which divide limits and slots among them.

        Explanation
        ===========
        A control process cut off from its group knows only the entries that follow it. If each of
        them used its part of that smaller fleet, all together would exceed the limits.
        """
        if not result.is_current and self.deputies.entries:
            return
        self.forwarder.set_entries(result.entries)
        self.limits.entries = result.entries
        if result.is_current and result.entry_names:
            self.deputies.set_entries(result.entry_names)

    def _update_quarantine(self, result: FollowResult) -> None:
        """Take over the quarantine of a control process, and cancel what it forbids."""
        suspects = self.suspects
        before = suspects.quarantine_number
        if result.is_current or result.quarantine > before:
            suspects.update_quarantine(result.quarantine, result.quarantined, result.suspected)
        if suspects.quarantine_number != before:
            self.trials.retain({*suspects.quarantined, *suspects.suspected})
            self.forwarder.gate.cancel_quarantined()

    def _update_evacuations(self, result: FollowResult) -> None:
        """Take over the evacuations of a control process, and stop what they forbid."""
        before = self.evacuations.evacuated
        is_change = self.evacuations.update(
            result.evacuations,
            result.evacuated,
            result.withdrawn,
            result.is_current,
            self.timers.now(),
        )
        if not is_change:
            return
        began_s = dict(zip(result.evacuated, result.evacuated_s, strict=False))
        ended_s = dict(result.withdrawn)
        now_evacuated = self.evacuations.evacuated
        for event, names, ages_s in (
            ("evacuation.in_force", now_evacuated - before, began_s),
            ("evacuation.ended", before - now_evacuated, ended_s),
        ):
            for name in sorted(names):
                age_s = rounded_age(ages_s.get(name, math.inf))
                self.lines.log(event, failure_domain=name, age_s=age_s)
        self.placement.refresh()
        self.forwarder.refuse_evacuated()

    def _check_informed(self, result: FollowResult) -> None:
        """Begin to serve once the state of the control group is known.

        Explanation
        ===========
        A control process that was restored from its disk has an older quarantine until it has
        caught up. An entry that started with that would send calls that crash endpoints, or calls
        to an evacuated failure domain.
        """
        if self.is_informed:
            return
        now = self.timers.now()
        self.first_result_at = min(self.first_result_at, now)
        if result.is_current or now >= self.first_result_at + CURRENT_STATE_WAIT_S:
            self.is_informed = True
            if self.follower.index is not None:
                self._put_in_force(self.follower.index)

    def _send_evidence(self) -> None:
        """Send the results of requests to pools under a version move to the leader."""
        leader = self.follower.leader
        if not leader:
            return
        for report in self.evidence.take_reports(self.site.instance, self.peers.incarnation):
            self.peers.client.send(leader, report)

    def _log_crash(self, crash: Crash) -> None:
        self.lines.log(
            "call.crashed",
            fingerprint=crash.call,
            parts=",".join(crash.parts),
            has_head=crash.has_head,
            endpoint=crash.endpoint,
            incarnation=crash.incarnation,
        )

    def _list_controls(self) -> list[str]:
        """Return the control processes: the leader, the one being followed, then the others."""
        follower = self.follower
        first = [name for name in (follower.leader, follower.control) if name]
        return list(dict.fromkeys([*first, *follower.controls]))

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds after a change of the settings."""
        self.follower.seeds = seeds

    async def stop(self) -> None:
        """Stop gracefully: finish the requests in progress before closing connections.

        Explanation
        ===========
        The load balancer opens new connections until it notices that the entry isn't ready; they
        are served until then. Kept connections are closed with their next answer, and idle ones
        once the entry stops listening. Calls that still wait to be sent are refused in time for
        their callers to use another entry, and calls without an answer are given up at the end.
        """
        started = self.timers.now()
        end = started + self.site.bounds.kill_after_s - EXIT_MARGIN_S
        self.is_stopping = True
        listens_until = min(started + BALANCER_REMOVAL_S, end - LAST_REQUEST_S)
        self.tunnels.is_closing = True
        self.forwarder.begin_stop(last_send_at(listens_until + LAST_REQUEST_S, end), end)
        await asyncio.sleep(max(0.0, listens_until - self.timers.now()))
        await self.http.stop_listening()
        await self.forwarder.wait_idle(end + ANSWER_MARGIN_S - self.timers.now())
        await self.tunnels.wait_idle(end + ANSWER_MARGIN_S - self.timers.now())
        self.lines.log("process.stops", active=self.forwarder.active)
        await self.tunnels.close()
        await self.http.close()
        await self.readiness_http.close()
        await self.forwarder.close()
        await self.timers.close()
        await self.peers.close()
