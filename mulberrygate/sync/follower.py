"""Following of the control processes by an entry."""

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
from mulberrygate.sync.messages import FOLLOW_WAIT_S, Follow, MoveState, State
from mulberrygate.sync.search import ControlSearch

# The control process answers within half a second, so a longer silence is a fault.
FOLLOW_TIMEOUT_S = 1.0
# After this time without an answer another process is looked for.
LATE_S = 0.7
# Least time between two questions, so that a storm of changes comes in batches.
FOLLOW_GAP_S = 0.02
RETRY_S = 0.1
# Without a catalog an entry can't serve. After a restart of everything the first control process to
# have one may be any of them, and one that lost its disk gets it last.
FIRST_CATALOG_WAIT_S = 0.1
MOST_ANSWERS_WITHOUT_CATALOG = 2
# Full comparison of the roster with that of a control process.
FULL_EVERY_S = 10.0


class Follower:
    """Keep the catalog and the roster of an entry up to date.

    Explanation
    ===========
    One control process at a time is followed, in the own failure domain if possible. Another one is
    taken when it doesn't answer or lacks something that its group has committed. Catalogs and
    version moves are only ever replaced by newer ones.

    Parameters
    ==========
    on_catalog : Callable[[CatalogIndex], None]
        Called with each catalog that comes into force.
    on_state : Callable[[State], None]
        Called with each answer.

    Attributes
    ==========
    quarantine_number : Callable[[], int]
        Returns the number of the quarantine that the entry has.
    moves : tuple[MoveState, ...]
        Version moves of the newest replicated state that any answer told of.
    current_at : float
        Monotonic time up to which the catalog is known to be the newest one, minus infinity if it
        never was.
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
        on_state: Callable[[State], None],
        seed: int | None = None,
    ):
        self.site = site
        self.peers = peers
        self.roster = roster
        self.timers = timers
        self.lines = lines
        self.decode = decode
        self.on_catalog = on_catalog
        self.on_state = on_state
        self.search = ControlSearch(site.instance, peers.client, timers, random.Random(seed))
        self.index: CatalogIndex | None = None
        self.controls: list[str] = list(site.seeds)
        self.other_controls: list[str] = []
        self.seeds = site.seeds
        self.control = ""
        self.control_incarnation = 0
        self.changes = -1
        self.quarantine_number: Callable[[], int] = lambda: 0
        self.revision = 0
        self.moves: tuple[MoveState, ...] = ()
        self.leader = ""
        self.full_at = 0.0
        self.answers_without_catalog = 0
        self.current_at = float("-inf")

    def start(self) -> None:
        """Begin to follow."""
        self.timers.spawn(self._follow_for_ever())

    async def _follow_for_ever(self) -> None:
        while True:
            try:
                await self._follow_once()
            except Exception as error:
                # Whoever listens to the news may fail; an entry that stopped to follow would stay
                # on its catalog for ever.
                self.lines.log("follow.failed", control=self.control, error=repr(error))
                await asyncio.sleep(RETRY_S)
            await asyncio.sleep(FOLLOW_GAP_S)

    def _names(self) -> list[str]:
        """Return all instances that may serve control, as any answer or the settings named them."""
        return list(dict.fromkeys([*self.controls, *self.seeds, *self.other_controls]))

    async def _find(self) -> str:
        """Return the control process to follow next."""
        names = self._names()
        return await self.search.find(names) or self.search.least_failed(names)

    async def _ask(self, question: Follow) -> State | Unreachable:
        """Ask the process that is followed, and look for another one if it is late."""
        call = asyncio.ensure_future(
            self.peers.client.call(self.control, question, FOLLOW_TIMEOUT_S)
        )
        await asyncio.wait({call}, timeout=LATE_S)
        if not call.done():
            others = [name for name in self._names() if name != self.control]
            if await self.search.find(others) and not call.done():
                self.search.keep(call)
                return Unreachable(self.control, "it is late, and another one is current")
        return await call

    async def _follow_once(self) -> None:
        if not self.control:
            self.control = await self._find()
        now = self.timers.now()
        if now - self.full_at > FULL_EVERY_S:
            self.changes = -1
        question = Follow(
            self.site.instance,
            self.peers.incarnation,
            self.index.version if self.index else -1,
            self.control_incarnation,
            self.changes,
            self.quarantine_number(),
            FOLLOW_WAIT_S if self.index else FIRST_CATALOG_WAIT_S,
        )
        answer = await self._ask(question)
        if not isinstance(answer, State):
            self._leave(f"no answer: {getattr(answer, 'reason', '')}")
            await asyncio.sleep(RETRY_S)
            return
        self._take(answer)
        if not answer.is_current:
            self._leave("it has lost its group")
            await asyncio.sleep(RETRY_S)
        elif self.index is None:
            self.answers_without_catalog += 1
            if self.answers_without_catalog >= MOST_ANSWERS_WITHOUT_CATALOG:
                self._leave("it has no catalog")

    def _leave(self, reason: str) -> None:
        self.lines.log("control.left", control=self.control, reason=reason)
        self.search.note_failure(self.control)
        self.control = ""
        self.answers_without_catalog = 0

    def _take(self, state: State) -> None:
        now = self.timers.now()
        if state.control_incarnation != self.control_incarnation:
            age_s = rounded_age(state.age_s)
            self.lines.log("control.followed", control=self.control, age_s=age_s)
        self.control_incarnation = state.control_incarnation
        self.changes = state.changes
        self._take_roster(state, now)
        if state.catalog and (self.index is None or state.catalog_version > self.index.version):
            self.index = CatalogIndex(self.decode(zlib.decompress(state.catalog)))
            self.lines.log(
                "catalog.in_force",
                version=self.index.version,
                control=self.control,
                size=len(state.catalog),
                known_s=rounded_age(now - self.current_at),
            )
            self.on_catalog(self.index)
        self.current_at = max(self.current_at, now - state.age_s)
        if state.is_current:
            self.controls = list(state.controls) or self.controls
            self.leader = state.leader
        else:
            # It may be the only one that the settings name, and the others serve elsewhere.
            self.other_controls = list(state.controls)
        if state.revision >= self.revision:
            self.revision = state.revision
            self.moves = state.moves
        self.on_state(state)

    def _take_roster(self, state: State, now: float) -> None:
        roster = self.roster
        for heard in state.heard:
            known = heard.registration
            if roster.hear(known, now - heard.age_s):
                self.lines.log(
                    "endpoint.known",
                    endpoint=known.endpoint,
                    pool=known.pool,
                    address=known.address,
                    is_leaving=known.is_leaving,
                    age_s=round(heard.age_s, 3),
                )
            if known.is_leaving and roster.leave(known.endpoint, known.incarnation):
                self.lines.log("endpoint.leaves", endpoint=known.endpoint)
        for name in state.gone:
            self._forget(name)
        if state.is_full:
            # A process that has just started may not know all endpoints yet.
            self.full_at = now if state.is_settled else now - FULL_EVERY_S + 1.0
            if state.is_settled and state.is_current:
                named = {heard.registration.endpoint for heard in state.heard}
                for name in [name for name in roster.rows if name not in named]:
                    self._forget(name)

    def _forget(self, name: str) -> None:
        if self.roster.rows.pop(name, None) is not None:
            self.lines.log("endpoint.forgotten", endpoint=name)
