"""Synchronises an entry with a control process: catalog, roster and version moves."""

from __future__ import annotations

import asyncio
import random
import zlib
from collections.abc import Callable

from mulberrygate.catalog import Catalog, CatalogIndex
from mulberrygate.core.timers import TimerService
from mulberrygate.endpoints.roster import Roster
from mulberrygate.observe.jsonlines import JsonLines, rounded_age
from mulberrygate.peers.link import Unreachable
from mulberrygate.sync.messages import FOLLOW_WAIT_S, Follow, FollowResult, MoveShare
from mulberrygate.sync.search import ControlSearch

# The control process answers within half a second, so a longer silence is a fault.
FOLLOW_TIMEOUT_S = 1.0
# After this time without an answer, the search for another process begins.
SEARCH_AFTER_S = 0.7
# Minimum time between two requests, so that many changes in a row arrive in batches.
FOLLOW_GAP_S = 0.02
RETRY_S = 0.1
# Without a catalog an entry can't serve. After a restart of the whole system any control process
# may be the first to have one, and one that lost its disk is the last.
FIRST_CATALOG_WAIT_S = 0.1
MAX_ANSWERS_WITHOUT_CATALOG = 2
# Period at which the whole roster is requested, to repair differences.
FULL_SYNC_PERIOD_S = 10.0


class Follower:
    """Keeps the catalog and the roster of an entry up to date.

    Explanation
    ===========
    The entry follows one control process at a time, in its own failure domain if possible. It
    switches to another one when the process doesn't answer, may lack changes that its group has
    committed, or has no catalog. Catalogs and version moves are replaced by newer ones only.

    Parameters
    ==========
    on_catalog : Callable[[CatalogIndex], None]
        Called with each catalog that takes effect.
    on_result : Callable[[FollowResult], None]
        Called with each answer.

    Attributes
    ==========
    quarantine_number : Callable[[], int]
        Returns the number of the quarantine list that the entry has.
    evacuations_number : Callable[[], int]
        Returns the number of the evacuations that the entry knows.
    running : Callable[[], tuple[tuple[str, int], ...]]
        Returns how many requests of the entry run in each evacuated failure domain.
    entries_digest : int
        Digest of the list of live entries in the last answer that was current.
    moves : tuple[MoveShare, ...]
        Version moves of the newest replicated state in any answer so far.
    current_at : float
        Latest monotonic time at which the catalog is known to have been the newest one, minus
        infinity if it never was.
    controls, stale_controls : list[str]
        Control processes as listed by the last answer that was current, and by the last that was
        not.
    changes : int
        Number of roster changes in the last answer; -1 requests the whole roster.
    """

    def __init__(
        self,
        site,
        peers,
        roster: Roster,
        timers: TimerService,
        lines: JsonLines,
        decode: Callable[[bytes], Catalog],
        on_catalog: Callable[[CatalogIndex], None],
        on_result: Callable[[FollowResult], None],
        seed: int | None = None,
    ):
        self.site = site
        self.peers = peers
        self.roster = roster
        self.timers = timers
        self.lines = lines
        self.decode = decode
        self.on_catalog = on_catalog
        self.on_result = on_result
        self.search = ControlSearch(site.instance, peers.client, timers, random.Random(seed))
        self.index: CatalogIndex | None = None
        self.controls: list[str] = list(site.seeds)
        self.stale_controls: list[str] = []
        self.seeds = site.seeds
        self.control = ""
        self.control_incarnation = 0
        self.changes = -1
        self.quarantine_number: Callable[[], int] = lambda: 0
        self.evacuations_number: Callable[[], int] = lambda: 0
        self.running: Callable[[], tuple[tuple[str, int], ...]] = lambda: ()
        self.entries_digest = 0
        self.revision = 0
        self.moves: tuple[MoveShare, ...] = ()
        self.leader = ""
        self.last_full_sync_at = 0.0
        self.answers_without_catalog = 0
        self.current_at = float("-inf")

    def start(self) -> None:
        """Start following."""
        self.timers.spawn(self._follow_forever())

    async def _follow_forever(self) -> None:
        while True:
            try:
                await self._follow_once()
            except Exception as error:
                # A listener may raise; if the loop ended, the entry would keep its catalog forever.
                self.lines.log("follow.failed", control=self.control, error=repr(error))
                await asyncio.sleep(RETRY_S)
            await asyncio.sleep(FOLLOW_GAP_S)

    def _control_names(self) -> list[str]:
        """Return all instances that may be control processes, from answers and settings."""
        return list(dict.fromkeys([*self.controls, *self.seeds, *self.stale_controls]))

    async def _find_control(self) -> str:
        """Return the control process to follow next."""
        names = self._control_names()
        return await self.search.find(names) or self.search.least_recently_failed(names)

    async def _ask(self, request: Follow) -> FollowResult | Unreachable:
        """Send a request to the followed process; search for another one if it is late."""
        call = asyncio.ensure_future(
            self.peers.client.call(self.control, request, FOLLOW_TIMEOUT_S)
        )
        await asyncio.wait({call}, timeout=SEARCH_AFTER_S)
        if not call.done():
            others = [name for name in self._control_names() if name != self.control]
            if await self.search.find(others) and not call.done():
                self.search.keep_running(call)
                return Unreachable(self.control, "it is late, and another one is current")
        return await call

    async def _follow_once(self) -> None:
        if not self.control:
            self.control = await self._find_control()
        now = self.timers.now()
        if now - self.last_full_sync_at > FULL_SYNC_PERIOD_S:
            self.changes = -1
        request = Follow(
            self.site.instance,
            self.peers.incarnation,
            self.index.version if self.index else -1,
            self.control_incarnation,
            self.changes,
            self.quarantine_number(),
            FOLLOW_WAIT_S if self.index else FIRST_CATALOG_WAIT_S,
            self.entries_digest,
            self.evacuations_number(),
            self.running(),
        )
        answer = await self._ask(request)
        if not isinstance(answer, FollowResult):
            self._stop_following(f"no answer: {getattr(answer, 'reason', '')}")
            await asyncio.sleep(RETRY_S)
            return
        self._apply_result(answer)
        if not answer.is_current:
            self._stop_following("it has lost its group")
            await asyncio.sleep(RETRY_S)
        elif self.index is None:
            self.answers_without_catalog += 1
            if self.answers_without_catalog >= MAX_ANSWERS_WITHOUT_CATALOG:
                self._stop_following("it has no catalog")

    def _stop_following(self, reason: str) -> None:
        self.lines.log("control.left", control=self.control, reason=reason)
        self.search.record_failure(self.control)
        self.control = ""
        self.answers_without_catalog = 0

    def _apply_result(self, result: FollowResult) -> None:
        now = self.timers.now()
        if result.control_incarnation != self.control_incarnation:
            age_s = rounded_age(result.age_s)
            self.lines.log("control.followed", control=self.control, age_s=age_s)
        self.control_incarnation = result.control_incarnation
        self.changes = result.changes
        if result.is_current:
            self.entries_digest = result.entries_digest
        self._apply_roster(result, now)
        if result.catalog and (self.index is None or result.catalog_version > self.index.version):
            self.index = CatalogIndex(self.decode(zlib.decompress(result.catalog)))
            self.lines.log(
                "catalog.in_force",
                version=self.index.version,
                control=self.control,
                size=len(result.catalog),
                known_s=rounded_age(now - self.current_at),
            )
            self.on_catalog(self.index)
        self.current_at = max(self.current_at, now - result.age_s)
        if result.is_current:
            self.controls = list(result.controls) or self.controls
            self.leader = result.leader
        else:
            # The settings may name this process only, so its list is kept to find the others.
            self.stale_controls = list(result.controls)
        if result.revision >= self.revision:
            self.revision = result.revision
            self.moves = result.moves
        self.on_result(result)

    def _apply_roster(self, result: FollowResult, now: float) -> None:
        roster = self.roster
        for heard in result.heard:
            known = heard.registration
            if roster.record_report(known, now - heard.age_s):
                self.lines.log(
                    "endpoint.known",
                    endpoint=known.endpoint,
                    pool=known.pool,
                    address=known.address,
                    is_leaving=known.is_leaving,
                    age_s=round(heard.age_s, 3),
                    cold_s=round(known.warmup_s, 3) if known.states_warmup else None,
                )
            if known.is_leaving and roster.mark_leaving(known.endpoint, known.incarnation):
                self.lines.log("endpoint.leaves", endpoint=known.endpoint)
        for name in result.gone:
            self._remove_endpoint(name)
        if result.is_full:
            # A process that has just started may not know all endpoints yet; ask again after 1 s.
            self.last_full_sync_at = now if result.is_settled else now - FULL_SYNC_PERIOD_S + 1.0
            if result.is_settled and result.is_current:
                named = {heard.registration.endpoint for heard in result.heard}
                for name in [name for name in roster.rows if name not in named]:
                    self._remove_endpoint(name)

    def _remove_endpoint(self, name: str) -> None:
        if self.roster.rows.pop(name, None) is not None:
            self.lines.log("endpoint.forgotten", endpoint=name)
