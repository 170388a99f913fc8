"""Operators' orders to evacuate failure domains, at a control process."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import attrs

from mulberrygate.control.catalogs import CatalogStateMachine
from mulberrygate.control.evacuations import Evacuation, OrderResult, PutEvacuation
from mulberrygate.core.timers import TimerService
from mulberrygate.daemon.command_gate import CommandGate
from mulberrygate.daemon.log_clock import LogClock
from mulberrygate.endpoints.roster import Roster
from mulberrygate.observe.jsonlines import JsonLines
from mulberrygate.sync.evacuations import KnownEvacuations
from mulberrygate.sync.running_counts import RunningCounts

# A withdrawal is told to entries for this time, so that one that starts knows which endpoints may
# be cold. Endpoints are cold for some seconds.
WITHDRAWAL_TOLD_S = 60.0


@attrs.frozen
class EvacuationAges:
    """Evacuations at a moment, as the fields of `mulberrygate.sync.messages.FollowResult`."""

    number: int
    evacuated: tuple[str, ...]
    evacuated_s: tuple[float, ...]
    withdrawn: tuple[tuple[str, float], ...]


class EvacuationOrders:
    """Commits evacuations and their ends, and tells which are in force.

    Explanation
    ===========
    Each order goes through the log, also one that states what this process holds already: it may
    not have applied a later order yet.

    Parameters
    ==========
    machine : Callable[[], CatalogStateMachine]
        Returns the current state machine; reopening the voter replaces it.
    roster : Roster
        Endpoints, whose failure domains may be evacuated.
    domains : Callable[[], set[str]]
        Returns the failure domains of the settings.
    is_complete : Callable[[], bool]
        Returns whether the roster has all endpoints that report.
    commit : Callable[[PutEvacuation], Awaitable[bool]]
        Proposes a command; returns whether it is certainly committed.
    clock : LogClock
        Clock of the times in commands.

    Attributes
    ==========
    running : RunningCounts
        Requests that still run in evacuated failure domains.
    logged : dict[str, Evacuation]
        State as logged last.
    """

    def __init__(
        self,
        machine: Callable[[], CatalogStateMachine],
        roster: Roster,
        domains: Callable[[], set[str]],
        is_complete: Callable[[], bool],
        commit: Callable[[PutEvacuation], Awaitable[bool]],
        clock: LogClock,
        timers: TimerService,
        lines: JsonLines,
    ):
        self.machine = machine
        self.roster = roster
        self.domains = domains
        self.is_complete = is_complete
        self.commit = commit
        self.clock = clock
        self.timers = timers
        self.lines = lines
        self.gate = CommandGate()
        self.running = RunningCounts()
        self.logged: dict[str, Evacuation] = {}

    async def put(self, failure_domain: str, is_evacuated: bool) -> OrderResult:
        """Evacuate a failure domain, or withdraw that; return once it is committed or not."""
        if not self._is_known(failure_domain):
            return OrderResult.UNKNOWN_DOMAIN if self.is_complete() else OrderResult.NOT_CERTAIN
        is_committed = False
        if self.gate.is_open(self.timers.now()):
            command = PutEvacuation(failure_domain, is_evacuated, self.clock.now())
            is_committed = await self.commit(command)
        self.lines.log(
            "evacuation.put",
            failure_domain=failure_domain,
            is_evacuated=is_evacuated,
            is_committed=is_committed,
        )
        return OrderResult.COMMITTED if is_committed else OrderResult.NOT_CERTAIN

    def _is_known(self, failure_domain: str) -> bool:
        if failure_domain in self.domains() or failure_domain in self.machine().evacuations.domains:
            return True
        rows = self.roster.rows.values()
        return any(row.registration.failure_domain == failure_domain for row in rows)

    def ages(self) -> EvacuationAges:
        """Return the evacuations with their ages."""
        evacuations = self.machine().evacuations
        if not evacuations.domains:
            return EvacuationAges(evacuations.number, (), (), ())
        now = self.clock.now()
        evacuated = evacuations.evacuated
        domains = evacuations.domains
        withdrawn = (
            (name, max(0.0, now - known.ended_at))
            for name, known in domains.items()
            if not known.is_evacuated
        )
        return EvacuationAges(
            evacuations.number,
            evacuated,
            tuple(max(0.0, now - domains[name].began_at) for name in evacuated),
            tuple((name, age_s) for name, age_s in withdrawn if age_s <= WITHDRAWAL_TOLD_S),
        )

    def describe(self) -> dict[str, Any]:
        """Return the evacuated failure domains and the pools without another one, for operators."""
        ages = self.ages()
        running = self.running.totals(self.timers.now())
        evacuated = [
            {"failure_domain": name, "age_s": round(age_s, 3), "running": running.get(name, 0)}
            for name, age_s in zip(ages.evacuated, ages.evacuated_s, strict=True)
        ]
        return {"evacuated": evacuated, "pools_without_endpoint": self.pools_without_endpoint()}

    def apply_to(self, known: KnownEvacuations) -> bool:
        """Bring what the schedulers of this process know up to date; return as `update` does.

        Explanation
        ===========
        A voter that is reopened applies its log again, which must not end a later evacuation.
        """
        ages = self.ages()
        now = self.timers.now()
        return known.update(ages.number, ages.evacuated, ages.withdrawn, False, now)

    def log_changes(self) -> None:
        """Log which failure domains were evacuated and which are no longer, as committed."""
        domains = self.machine().evacuations.domains
        if domains == self.logged:
            return
        now = self.clock.now()
        for name, known in domains.items():
            if self.logged.get(name) != known:
                at = known.began_at if known.is_evacuated else known.ended_at
                self.lines.log(
                    "evacuation.in_force" if known.is_evacuated else "evacuation.ended",
                    failure_domain=name,
                    age_s=round(max(0.0, now - at), 3),
                )
        self.logged = dict(domains)
        for pool in self.pools_without_endpoint():
            self.lines.log("evacuation.no_endpoint_left", pool=pool)

    def pools_without_endpoint(self) -> list[str]:
        """Return the pools all of whose endpoints are in evacuated failure domains."""
        evacuated = set(self.machine().evacuations.evacuated)
        if not evacuated:
            return []
        is_left: dict[str, bool] = {}
        for row in self.roster.rows.values():
            is_usable = row.registration.failure_domain not in evacuated
            pool = row.registration.pool
            is_left[pool] = is_left.get(pool, False) or is_usable
        return sorted(pool for pool, is_any in is_left.items() if not is_any)
