"""Composition root: creates the components of a daemon and connects them."""

from __future__ import annotations

import asyncio
import random
import time

from mulberrygate.control.client import ControlClient
from mulberrygate.control.configuration import Configuration, Delta
from mulberrygate.control.decoded import DecodedConfiguration
from mulberrygate.control.distribution import (
    Applied,
    AskRevision,
    ConfigurationReplica,
    Pull,
    Push,
)
from mulberrygate.control.loading import EndpointRow, EndpointsAnswer, EndpointsQuery
from mulberrygate.control.state import ControlState
from mulberrygate.core.clock import HybridClock
from mulberrygate.core.effects import Effect
from mulberrygate.core.invariant import on_violation
from mulberrygate.core.memory_gate import SWEEP_INTERVAL_S, MemoryGate
from mulberrygate.core.outcome import Refusal
from mulberrygate.core.timers import TimerService
from mulberrygate.daemon.announcements import BAD_ANNOUNCEMENT, pool_fault
from mulberrygate.daemon.control_voter import ControlVoter
from mulberrygate.daemon.effects import EffectRunner
from mulberrygate.daemon.move_monitor import MoveMonitor
from mulberrygate.daemon.pool_host import PoolHost
from mulberrygate.daemon.report import Reporter
from mulberrygate.daemon.status import instance_status
from mulberrygate.daemon.web import WebServer
from mulberrygate.endpoints.directory import Directory
from mulberrygate.endpoints.messages import (
    Forwarded,
    PullRows,
    Redirected,
    Renewals,
    Reports,
    Summary,
)
from mulberrygate.endpoints.model import Announcement
from mulberrygate.entry.chain import Chain
from mulberrygate.entry.context import BackgroundTasks, EntryParts
from mulberrygate.entry.crashes import Cleared, CrashReport, CrashTracker
from mulberrygate.entry.tickets import SchedulerClient
from mulberrygate.entry.upstream import Upstream
from mulberrygate.ledger import (
    Begin,
    Claim,
    Coordinator,
    CopyPart,
    CopyShard,
    Finish,
    Lookup,
    MergeStep,
    Release,
    Replica,
    SendCopyReport,
)
from mulberrygate.members.membership import Membership
from mulberrygate.members.messages import Compare, Heartbeat, Join, Table
from mulberrygate.members.view import Member, MembershipView, Status
from mulberrygate.observe.events import EventRing
from mulberrygate.observe.logs import logger
from mulberrygate.observe.metrics import Metrics, add_process_gauges
from mulberrygate.peers import PeerClient, PeerServer
from mulberrygate.schedule.messages import pool_subject
from mulberrygate.settings.model import CONTROL, EVACUATIONS, Settings

log = logger("daemon")

MEMBERS_TICK_S = 0.25
CONFIGURATION_TICK_S = 0.1
LEDGER_TICK_S = 0.5
DIRECTORY_TICK_S = 0.25
CRASH_TICK_S = 0.2
SUPERSEDED_CHECK_S = 1.0
IDLE_CHECK_S = 10.0
STOP_POLL_S = 0.05
# Time for the refusals of requests that wait at the end of the grace period.
REFUSAL_NOTICE_S = 0.2
# Time for other instances to learn that this one leaves and to take over what it owns.
LEAVE_NOTICE_S = 0.5


class Tokens:
    """Secrets from the daemon's token files."""

    def __init__(self, peer: str, operator: str, endpoint: str):
        self.peer = peer
        self.operator = operator
        self.endpoint = endpoint


class Daemon:
    """All components of one process.

    Explanation
    ===========
    The order of construction follows the layers: clock and transport, membership, configuration,
    ledger, endpoints, scheduling, control, entry, HTTP.

    Parameters
    ==========
    settings : Settings
        Checked settings.
    tokens : Tokens
        Secrets of other daemons, operators and endpoints.
    seed : int or None
        Seed of random choices; ``None`` for one from the operating system.
    """

    def __init__(self, settings: Settings, tokens: Tokens, seed: int | None = None):
        self.settings = settings
        self.rng = random.Random(seed)
        self.incarnation = time.time_ns() // 1_000_000
        self.clock = HybridClock(lambda: time.time_ns() // 1_000_000)
        self.metrics = Metrics()
        add_process_gauges(self.metrics)
        self.events = EventRing(settings.instance, self.clock)
        self.timers = TimerService(self._on_timer_error)
        self.background = BackgroundTasks()
        self.superseded = asyncio.Event()
        self.is_draining = False
        on_violation(self._on_violation)
        self._make_peers(tokens.peer)
        self._make_members()
        self._make_configuration()
        self._make_ledger()
        self._make_endpoints()
        self._make_control()
        self._make_entry(tokens)

    def _on_timer_error(self, name: str, error: BaseException) -> None:
        self.metrics.count("internal_errors_total", part=name)
        log.error("A timer failed.", timer=name, error=repr(error))

    def _on_violation(self, code, detail: str) -> None:
        self.metrics.count("invariant_violations_total", code=str(code.number))
        self.events.add("invariant.violated", f"{code}: {detail}")
        log.error("An invariant is violated.", code=code, detail=detail)

    def _make_peers(self, token: str) -> None:
        settings = self.settings
        self.server = PeerServer(settings.instance, self.incarnation, token, self.clock)
        self.peers = PeerClient(self.server, self._address_of, self._on_sent)
        self.metrics.gauge("peer_received_bytes", lambda: self.server.received_bytes)
        self.timers_to_start = [(IDLE_CHECK_S, self.peers.close_idle, "peers.idle")]

    def _on_sent(self, kind: str, size: int) -> None:
        self.metrics.count("peer_sent_messages_total", kind=kind)
        self.metrics.count("peer_sent_bytes_total", size, kind=kind)

    def _address_of(self, instance: str) -> str | None:
        return self.view().address_of(instance) or self.settings.voters.get(instance)

    def _make_members(self) -> None:
        settings = self.settings
        member = Member(
            settings.instance,
            settings.peer_address,
            settings.http_address,
            settings.region,
            settings.failure_domain,
            self.incarnation,
            roles=(*settings.parts, EVACUATIONS),
        )
        self.membership = Membership(member, settings.seeds, self.rng)

    def view(self) -> MembershipView:
        """Return the current view of the membership."""
        return self.membership.view()

    def _make_configuration(self) -> None:
        self.configuration_replica = ConfigurationReplica(
            Configuration(), self.membership, self.rng
        )
        self.in_force = DecodedConfiguration(self.configuration_replica.configuration)
        self.configuration_replica.add_listener(self._on_configuration)
        self.metrics.gauge("evacuated_failure_domains", lambda: len(self.in_force.evacuations))

    def _on_configuration(self, _delta: Delta) -> None:
        self.in_force.refresh()
        self._apply_evacuations()
        self.ledger_runner.run(self.ledger_replica.install(self.in_force.shards, self.timers.now()))

    def _apply_evacuations(self) -> None:
        """Keep the endpoints of evacuated failure domains from new requests."""
        evacuated = frozenset(self.in_force.evacuations)
        before, self.directory.evacuated = self.directory.evacuated, evacuated
        for name in sorted(evacuated - before):
            self.events.add("evacuation.in_force", failure_domain=name)
        for name in sorted(before - evacuated):
            self.events.add("evacuation.ended", failure_domain=name)

    def _make_ledger(self) -> None:
        settings = self.settings
        self.ledger_replica = Replica(settings.instance, self.incarnation)
        self.coordinator = Coordinator(
            self.peers,
            lambda: self.in_force.shards,
            settings.instance,
            self.incarnation,
            time.time,
            self.rng,
            self._is_alive,
        )

    def _is_alive(self, instance: str, incarnation: int) -> bool:
        """Return whether an incarnation counts as alive; a leaving one does until it has ended."""
        member = self.view().members.get(instance)
        is_gone = member is None or member.status is Status.DEAD
        return not is_gone and member.incarnation == incarnation

    def _make_endpoints(self) -> None:
        settings = self.settings
        self.directory = Directory(
            settings.instance, settings.failure_domain, self.view, self.rng, self._pool_owner
        )

    def _pool_owner(self, failure_domain: str, pool: str) -> str:
        return self.view().owner(failure_domain, pool_subject(pool))

    def _make_control(self) -> None:
        settings = self.settings
        self.control = ControlClient(self.peers, self.view, self._voters)
        self.voter: ControlVoter | None = None
        if CONTROL in settings.parts:
            self.voter = ControlVoter(
                settings,
                self.peers,
                self.view,
                self.in_force,
                self.timers,
                self.events,
                self.rng,
                self._on_control_change,
                self._on_leadership_change,
            )

    def _voters(self) -> list[str]:
        """Return the instances that run the part ``control``, live ones first."""
        members = self.view().members.values()
        names = [m.instance for m in members if CONTROL in m.roles]
        names += [name for name in self.settings.voters if name not in names]
        return sorted(names, key=lambda name: (not self.view().is_alive(name), name))

    def _on_control_change(self, state: ControlState) -> None:
        """Apply a changed control state; the leader also publishes it to the other instances."""
        now = self.timers.now()
        if self.voter is not None and self.voter.is_leader:
            effects = self.configuration_replica.publish(state.configuration, now)
        else:
            effects = self.configuration_replica.apply_delta(
                state.changes_since(self.configuration_replica.revision), now
            )
        self.configuration_runner.run(effects)

    def _on_leadership_change(self, is_leader: bool) -> None:
        if is_leader:
            state = self.voter.machine.state
            now = self.timers.now()
            self.configuration_runner.run(
                self.configuration_replica.publish(state.configuration, now)
            )
        else:
            self.configuration_replica.stop_leading()

    def _run_ledger_effect(self, effect: Effect) -> None:
        if isinstance(effect, SendCopyReport):
            self.timers.spawn(self._send_copy_report(effect))

    async def _send_copy_report(self, effect: SendCopyReport) -> None:
        leader = await self.control.find_leader()
        if leader:
            self.peers.send(leader, effect.report)

    def _make_entry(self, tokens: Tokens) -> None:
        self.crashes = CrashTracker()
        self.reporter = Reporter(self.peers, self.view, self.events, self.status)
        self.tokens = tokens

    def _start_parts(self) -> None:
        """Create the components that need a running event loop, and start the timers."""
        self._make_runners()
        self._make_pool_host()
        self._make_entry_parts()
        self._make_web()
        self._start_timers()

    def _make_runners(self) -> None:
        """Connect the decision classes to peers, timers and the timeline."""
        peers, timers = self.peers, self.timers

        def runner(part, messages) -> EffectRunner:
            return EffectRunner(part, messages, peers, timers, self.events)

        self.members_runner = runner(self.membership, (Heartbeat, Join, Compare, Table))
        self.configuration_runner = runner(
            self.configuration_replica, (Push, Applied, Pull, Delta, AskRevision)
        )
        self.directory_runner = runner(
            self.directory, (Forwarded, Redirected, Renewals, PullRows, Reports, Summary)
        )
        self.ledger_runner = EffectRunner(
            self.ledger_replica,
            (Claim, Begin, Finish, Release, Lookup, CopyShard, CopyPart, MergeStep),
            peers,
            timers,
            self.events,
            self._run_ledger_effect,
        )
        self.ledger_replica.wall_at_zero = time.time() - timers.now()

    def _make_pool_host(self) -> None:
        """Create the host of pool schedulers and the monitor of version moves."""
        self.pool_host = PoolHost(
            self.settings,
            self.peers,
            self.view,
            self.directory,
            self.in_force,
            self.timers,
            self.metrics,
            self.events,
            self.rng,
        )
        self.pool_host.move_monitor = MoveMonitor(
            self.settings.instance,
            self.incarnation,
            self.in_force,
            self.directory,
            self.control,
            self.timers,
            self.events,
        )

    def _make_entry_parts(self) -> None:
        """Create the components that the request filters use."""
        settings, timers = self.settings, self.timers
        self.upstream = Upstream()
        memory_bytes = int(settings.memory_mb * (1 << 20))
        gate = MemoryGate(memory_bytes, logger("memory"), self.metrics)
        scheduler = SchedulerClient(
            settings.instance, settings.failure_domain, self.peers, self.view, timers
        )
        self.parts = EntryParts(
            settings=settings,
            in_force=self.in_force,
            directory=self.directory,
            coordinator=self.coordinator,
            scheduler=scheduler,
            upstream=self.upstream,
            crashes=self.crashes,
            view=self.view,
            metrics=self.metrics,
            events=self.events,
            timers=timers,
            background=self.background,
            gate=gate,
        )

    def _make_web(self) -> None:
        """Create the HTTP server."""
        self.web = WebServer(
            self.parts,
            Chain(self.parts),
            self.control,
            self.reporter,
            self.tokens.operator,
            self.tokens.endpoint,
            self.is_ready,
            self.accept_announcement,
        )

    def _start_timers(self) -> None:
        peers, timers = self.peers, self.timers
        peers.on(EndpointsQuery, self._on_endpoints_query)
        peers.on(CrashReport, lambda m, _sender: self.crashes.add_report(m, timers.now()))
        peers.on(Cleared, self._on_cleared)
        self.directory.on_death(lambda name, *_: self.crashes.record_death(name, timers.now()))
        ticks = [
            (MEMBERS_TICK_S, self.members_runner, "members.tick"),
            (CONFIGURATION_TICK_S, self.configuration_runner, "distribution.tick"),
            (LEDGER_TICK_S, self.ledger_runner, "ledger.tick"),
            (DIRECTORY_TICK_S, self.directory_runner, "endpoints.tick"),
        ]
        for seconds, runner, name in ticks:
            timers.every(seconds, runner.tick, name)
        timers.every(CRASH_TICK_S, self._tick_crashes, "crashes.tick")
        timers.every(SUPERSEDED_CHECK_S, self._check_superseded, "members.superseded")
        timers.every(SWEEP_INTERVAL_S, lambda: self.web.sweep(timers.now()), "http.sweep")
        for seconds, callback, name in self.timers_to_start:
            timers.every(seconds, callback, name)

    def _on_endpoints_query(self, message: EndpointsQuery, _sender: str) -> EndpointsAnswer:
        """Return the endpoints of a pool in this failure domain that accept work."""
        rows = []
        for lease in self.directory.table.leases.values():
            announcement = lease.announcement
            view = lease.view(self.timers.now())
            if announcement.pool == message.pool and view.accepts_work:
                rows.append(
                    EndpointRow(
                        announcement.endpoint,
                        announcement.incarnation,
                        announcement.address,
                        announcement.version,
                        view.load,
                        announcement.checks_fence,
                    )
                )
        return EndpointsAnswer(tuple(rows))

    def _check_superseded(self) -> None:
        """Stop if another process runs under this name with a higher incarnation."""
        if self.membership.is_superseded and not self.superseded.is_set():
            log.error("A newer process runs under this instance's name; this one stops.")
            self.superseded.set()

    def _tick_crashes(self) -> None:
        """Evaluate endpoint deaths and send crash reports to the rest of the failure domain."""
        self.crashes.tick(self.timers.now())
        messages = list(self.crashes.take_reports())
        cleared = self.crashes.take_cleared()
        if cleared is not None:
            messages.append(cleared)
        for message in messages:
            for name in self.view().in_domain(self.settings.failure_domain):
                if name != self.settings.instance:
                    self.peers.send(name, message)

    def _on_cleared(self, message: Cleared, _sender: str) -> None:
        for content in message.contents:
            self.crashes.clear(content, self.timers.now())

    def accept_announcement(self, announcement: Announcement) -> Refusal | None:
        """Add an endpoint's announcement to the directory, or return why it is refused."""
        if announcement.failure_domain not in self.view().regions:
            detail = f"no failure domain {announcement.failure_domain!r} is known"
            return Refusal(BAD_ANNOUNCEMENT, detail)
        if self.in_force.tables.get("pools") is not None:
            detail = pool_fault(announcement, self.in_force.pools.get(announcement.pool))
            if detail:
                return Refusal(BAD_ANNOUNCEMENT, detail)
        now = self.timers.now()
        self.directory_runner.run(self.directory.announce(announcement, now))
        return None

    def is_ready(self) -> bool:
        """Return whether the balancer may send requests here."""
        return (
            not self.is_draining
            and self.configuration_replica.is_current()
            and self.in_force.tables.keys() >= {"routes", "pools"}
            and bool(self.in_force.shards)
        )

    def status(self) -> dict:
        """Return the state of this instance for operators."""
        return instance_status(self)

    async def start(self) -> None:
        """Listen and start all parts."""
        self._start_parts()
        host, _, port = self.settings.peer_address.rpartition(":")
        await self.server.start(host, int(port))
        if self.voter is not None:
            self.voter.start()
        host, _, port = self.settings.http_address.rpartition(":")
        await self.web.start(host, int(port))
        self.events.add("daemon.started", instance=self.settings.instance)
        log.info("Started.", instance=self.settings.instance, parts=",".join(self.settings.parts))

    async def stop(self) -> None:
        """Stop gracefully, without cutting off requests that end within the grace period.

        Explanation
        ===========
        The instance reports first that it is not ready and serves requests for another
        ``drain_notice_s``, until the load balancer uses other instances. Then it refuses new
        requests as not run. Requests that wait or run here may complete within ``stop_grace_s``,
        unless their callers make no progress with a body or an answer; after that the instance
        leaves, and others take over what it owns.
        """
        self.is_draining = True
        self.events.add("daemon.stopping", instance=self.settings.instance)
        log.info("Stopping.", instance=self.settings.instance, active=self.web.active_requests)
        await asyncio.sleep(self.settings.drain_notice_s)
        self.parts.is_stopping = True
        limit = self.timers.now() + self.settings.stop_grace_s
        while self.web.active_requests or self.background.tasks:
            if self.timers.now() >= limit:
                log.warning(
                    "Stopping at the end of the grace period while requests run.",
                    active=self.web.active_requests,
                )
                # Those that still wait are answered, as their callers may try elsewhere.
                self.parts.scheduler.end_waits()
                await asyncio.sleep(REFUSAL_NOTICE_S)
                break
            # Bodies and readers that make no progress would delay the stop.
            self.parts.gate.is_crowded = True
            await asyncio.sleep(STOP_POLL_S)
        self.members_runner.run(self.membership.leave(self.timers.now()))
        await asyncio.sleep(LEAVE_NOTICE_S)
        await self.close()

    async def close(self) -> None:
        """Close all components without waiting for requests."""
        if self.voter is not None:
            await self.voter.close()
        await self.web.close()
        await self.background.close()
        await self.coordinator.close()
        await self.timers.close()
        await self.upstream.close()
        await self.peers.close()
        await self.server.close()
        log.info("Stopped.", instance=self.settings.instance)
