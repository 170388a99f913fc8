"""Entry process of a deployment: answers callers with the answers of endpoints."""

from __future__ import annotations

import asyncio
import time

from aiohttp import web

from mulberrygate.catalog import CatalogIndex
from mulberrygate.core.timers import TimerService
from mulberrygate.daemon.http_site import HttpSite
from mulberrygate.daemon.placement import Placement, SiteView
from mulberrygate.daemon.site_peers import SitePeers
from mulberrygate.daemon.sockets import Listeners, split_address
from mulberrygate.endpoints.roster import Roster
from mulberrygate.entry.tickets import SchedulerClient
from mulberrygate.forward.limits import AccountLimits
from mulberrygate.forward.service import Forwarder
from mulberrygate.forward.suspects import Suspects
from mulberrygate.observe.jsonlines import JsonLines
from mulberrygate.observe.metrics import Metrics
from mulberrygate.sync.crash_reports import CrashReporter
from mulberrygate.sync.evidence import EvidenceReports
from mulberrygate.sync.follower import Follower
from mulberrygate.sync.messages import Crash, State

# The balancer asks once a second and takes an instance out after two misses. What is taken later
# than this might not end before the process has to.
BALANCER_LEAVES_S = 2.6
# Time kept for the end of the process itself.
END_MARGIN_S = 0.9
EVIDENCE_S = 0.3
# An owner answers within a round trip between regions.
ASK_TIMEOUT_S = 0.25
PROGRESS_S = 0.4
# Requests that wait at a former owner wait in vain.
OWNER_CHECK_S = 0.1
FLUSH_S = 0.1
POOLS_LOG_S = 1.0
SILENT_CHECK_S = 1.0


def boot_time() -> float:
    """Return seconds since the instance started, counting suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Gateway:
    """All parts of an entry process.

    Parameters
    ==========
    site : Site
        Settings of the process.
    dialect : Dialect
        Protocol of callers and endpoints.
    decode : Callable[[bytes], Catalog]
        Decoder of documents.
    listeners : Listeners or None
        Sockets that listen already.
    """

    def __init__(
        self, site, lines: JsonLines, dialect, decode, listeners=None, seed: int | None = None
    ):
        self.site = site
        self.listeners = listeners or Listeners()
        self.lines = lines
        self.timers = TimerService(self._on_timer_error)
        self.metrics = Metrics()
        self.peers = SitePeers(site)
        self.roster = Roster()
        self.limits = AccountLimits(
            site.instance,
            self.peers,
            lambda: self.follower.leader,
            site.bounds.quota_slack,
            boot_time,
        )
        self.suspects = Suspects(self._note_crash, lambda: self.reporter.wake())
        self.reporter = CrashReporter(
            self.peers.client, self.suspects, self.timers, self._list_controls
        )
        self.seed = seed
        self.dialect = dialect
        self.decode = decode
        self.evidence = EvidenceReports(self.roster, self.timers.now)
        self.is_stopping = False
        self.http: HttpSite | None = None
        self.ready_http: HttpSite | None = None

    def _make_parts(self) -> None:
        """Make the parts that need a running event loop."""
        site, peers = self.site, self.peers.client
        self.follower = Follower(
            site,
            self.peers,
            self.roster,
            self.timers,
            self.lines,
            self.decode,
            self._on_catalog,
            self._on_state,
            self.seed,
        )
        self.follower.quarantine_number = lambda: self.suspects.quarantine_number
        view = SiteView(site.instance, lambda: self.follower.leader, self._list_entries)
        self.placement = Placement(
            site, peers, self.roster, self.timers, self.metrics, view, self.evidence, self.seed
        )
        scheduler = SchedulerClient(
            site.instance,
            site.failure_domain,
            peers,
            lambda: view,
            self.timers,
            ask_timeout_s=ASK_TIMEOUT_S,
            progress_s=PROGRESS_S,
            owner_check_s=OWNER_CHECK_S,
        )
        self.forwarder = Forwarder(
            site,
            self.dialect,
            self.placement,
            scheduler,
            self.limits,
            self.suspects,
            self.timers,
            self.lines,
            self.metrics,
        )

    def _list_entries(self) -> list[str]:
        # Only their number matters, for the share of the slots without an owner.
        return [str(number) for number in range(self.forwarder.entries)]

    def _on_timer_error(self, name: str, error: BaseException) -> None:
        self.lines.log("timer.failed", timer=name, error=repr(error))

    async def start(self) -> None:
        """Follow control and listen."""
        self._make_parts()
        await self.peers.start()
        self.follower.start()
        self.timers.every(EVIDENCE_S, self._send_evidence, "evidence")
        self.timers.every(FLUSH_S, self.lines.flush, "lines")
        self.timers.every(POOLS_LOG_S, lambda: self.placement.log_pools(self.lines), "pools")
        self.ready_http = self._make_http(self._answer_ready, self.site.readiness_address)
        await self.ready_http.start()
        self.http = self._make_http(self.forwarder.handle, self.site.entry_address, cancels=True)
        await self.http.start()
        self.timers.every(
            SILENT_CHECK_S, lambda: self.http.close_silent(self.timers.now()), "http.silent"
        )

    def _make_http(self, handler, address: str, cancels: bool = False) -> HttpSite:
        host, port = split_address(address)
        return HttpSite(handler, host, port, cancels, self.listeners.get(address))

    @property
    def is_ready(self) -> bool:
        """Whether the entry can serve new callers."""
        return not self.is_stopping and self.follower.index is not None

    async def _answer_ready(self, request: web.BaseRequest) -> web.Response:
        return web.Response(status=200 if self.is_ready else 503)

    def _on_catalog(self, index: CatalogIndex) -> None:
        self.forwarder.set_index(index)
        if self.http is not None:
            self.http.set_limits(index.catalog.limits)

    def _on_state(self, state: State) -> None:
        # A control process that lost its group may not have heard what others have.
        if state.is_current and state.is_settled:
            self.placement.directory.silent = frozenset(state.silent)
        self.forwarder.catalog_current_at = self.follower.current_at
        self.forwarder.set_entries(state.entries)
        self.limits.entries = state.entries
        self.suspects.update_quarantine(state.quarantine, state.quarantined, state.suspected)
        self.evidence.set_moves(self.follower.moves)
        if state.heard or state.gone:
            self.placement.refresh()

    def _send_evidence(self) -> None:
        """Report the answers of versions under a move to the leader."""
        leader = self.follower.leader
        if not leader:
            return
        for report in self.evidence.take(self.site.instance, self.peers.incarnation):
            self.peers.client.send(leader, report)

    def _note_crash(self, crash: Crash) -> None:
        self.lines.log(
            "call.crashed",
            fingerprint=crash.call,
            endpoint=crash.endpoint,
            incarnation=crash.incarnation,
        )

    def _list_controls(self) -> list[str]:
        """Return the control processes, the leader first and then the one that is followed."""
        follower = self.follower
        first = [name for name in (follower.leader, follower.control) if name]
        return list(dict.fromkeys([*first, *follower.controls]))

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Take the seeds of changed settings."""
        self.follower.seeds = seeds

    async def stop(self) -> None:
        """Stop without breaking off a request.

        Explanation
        ===========
        The balancer sends new connections until it has noticed that the entry isn't ready; they are
        served. Connections that stay are closed with their next answer, and then the idle ones.
        """
        started = self.timers.now()
        end = started + self.site.bounds.kill_after_s - END_MARGIN_S
        self.is_stopping = True
        self.forwarder.is_closing = True
        await asyncio.sleep(min(BALANCER_LEAVES_S, max(0.0, end - self.timers.now())))
        await self.http.stop_listening()
        await self.forwarder.wait_idle(end - self.timers.now())
        self.lines.log("process.stops", active=self.forwarder.active)
        await self.http.close()
        await self.ready_http.close()
        await self.forwarder.close()
        await self.timers.close()
        await self.peers.close()
