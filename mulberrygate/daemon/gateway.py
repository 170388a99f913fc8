"""Entry process of a deployment: answers callers with the answers of endpoints."""

from __future__ import annotations

import asyncio
import time

from aiohttp import web

from mulberrygate.catalog import CatalogIndex
from mulberrygate.core.timers import TimerService
from mulberrygate.daemon.http_site import HttpSite, split_address
from mulberrygate.daemon.site_peers import SitePeers
from mulberrygate.endpoints.roster import Roster
from mulberrygate.forward.limits import AccountLimits
from mulberrygate.forward.placing import Placer
from mulberrygate.forward.service import Forwarder
from mulberrygate.forward.suspects import Suspects
from mulberrygate.observe.jsonlines import JsonLines
from mulberrygate.observe.metrics import Metrics
from mulberrygate.schedule.effects import Observed
from mulberrygate.sync.follower import Follower
from mulberrygate.sync.messages import CrashSeen, State, VersionEvidence

# The balancer asks once a second and takes an instance out after two misses.
BALANCER_LEAVES_S = 3.4
# Time kept for the end of the process itself.
END_MARGIN_S = 0.9
POLL_S = 0.05
EVIDENCE_S = 0.3
# An answer that takes this many times as long as predicted counts against its version.
SLOW_RATIO = 3.0
FLUSH_S = 0.1


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
    """

    def __init__(self, site, lines: JsonLines, dialect, decode, seed: int | None = None):
        self.site = site
        self.lines = lines
        self.timers = TimerService(self._on_timer_error)
        self.metrics = Metrics()
        self.peers = SitePeers(site)
        self.roster = Roster()
        self.placer = Placer(site, self.roster, self.timers, self._on_observed, seed)
        self.limits = AccountLimits(
            site.instance,
            self.peers,
            lambda: self.follower.leader,
            site.bounds.quota_slack,
            boot_time,
        )
        self.suspects = Suspects(self._report_crash)
        self.forwarder = Forwarder(
            site,
            dialect,
            self.placer,
            self.limits,
            self.suspects,
            self.timers,
            lines,
            self.metrics,
        )
        self.follower = Follower(
            site,
            self.peers,
            self.roster,
            self.timers,
            lines,
            decode,
            self._on_catalog,
            self._on_state,
            seed,
        )
        self.evidence: dict[tuple[str, str], list[int]] = {}
        self.evidence_number = 0
        self.moving: frozenset[str] = frozenset()
        self.is_stopping = False
        self.http: HttpSite | None = None
        self.ready_http: HttpSite | None = None

    def _on_timer_error(self, name: str, error: BaseException) -> None:
        self.lines.note("timer.failed", timer=name, error=repr(error))

    async def start(self) -> None:
        """Follow control and listen."""
        await self.peers.start()
        self.follower.start()
        self.placer.start()
        self.timers.every(EVIDENCE_S, self._send_evidence, "evidence")
        self.timers.every(FLUSH_S, self.lines.flush, "lines")
        host, port = split_address(self.site.ready_address)
        self.ready_http = HttpSite(self._answer_ready, host, port)
        await self.ready_http.start()
        host, port = split_address(self.site.entry_address)
        self.http = HttpSite(self.forwarder.handle, host, port, cancels=True)
        await self.http.start()

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
            self.placer.silent = frozenset(state.silent)
        self.forwarder.set_entries(state.entries)
        self.limits.entries = state.entries
        if state.crashing:
            self.suspects.set_quarantined(state.crashing)
        self.moving = frozenset(move.pool for move in state.moves)
        for move in state.moves:
            self._follow_move(move)
        if state.heard or state.gone:
            self.placer.refresh()

    def _follow_move(self, move) -> None:
        versions = {row.registration.version for row in self.roster.usable(move.pool)}
        others = versions - {move.target}
        if move.is_over or not others or move.target not in versions:
            wanted = {}
            if others and move.target in versions and move.share in (0.0, 1.0):
                wanted = {version: 1.0 - move.share for version in others}
                wanted[move.target] = move.share
        else:
            wanted = dict.fromkeys(others, 1.0 - move.share)
            wanted[move.target] = move.share
        self.placer.set_shares(move.pool, wanted)

    def _on_observed(self, observed: Observed) -> None:
        endpoint = self.roster.rows.get(observed.endpoint)
        if endpoint is None or observed.fault == "cancelled":
            return
        pool = endpoint.registration.pool
        if pool not in self.moving:
            return
        counts = self.evidence.setdefault((pool, observed.version), [0, 0])
        counts[0] += 1
        is_slow = observed.total_s > SLOW_RATIO * max(observed.expected_s, 0.01)
        if is_slow or observed.fault in ("error", "cut"):
            counts[1] += 1

    def _send_evidence(self) -> None:
        """Report the answers of versions under a move to the leader."""
        if not self.evidence or not self.follower.leader:
            return
        evidence, self.evidence = self.evidence, {}
        for (pool, version), (total, bad) in evidence.items():
            self.evidence_number += 1
            report = VersionEvidence(
                self.site.instance,
                self.peers.incarnation,
                self.evidence_number,
                pool,
                version,
                total,
                bad,
            )
            self.peers.client.send(self.follower.leader, report)

    def _report_crash(self, fingerprint: str, endpoint: str, incarnation: int) -> None:
        self.lines.note("call.crashed", fingerprint=fingerprint, endpoint=endpoint)
        for control in self.follower.controls:
            self.peers.client.send(control, CrashSeen(fingerprint, endpoint, incarnation))

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
        end = started + self.site.bounds.stop_s - END_MARGIN_S
        self.is_stopping = True
        self.forwarder.is_closing = True
        await asyncio.sleep(min(BALANCER_LEAVES_S, max(0.0, end - self.timers.now())))
        await self.http.stop_listening()
        while self.forwarder.active and self.timers.now() < end:
            await asyncio.sleep(POLL_S)
        self.lines.note("process.stops", active=self.forwarder.active)
        await self.http.close()
        await self.ready_http.close()
        await self.forwarder.close()
        await self.timers.close()
        await self.peers.close()
