"""Guards of version moves on instances that run pool schedulers: shares and evidence."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrygate.control.client import ControlClient
from mulberrygate.control.guard import VersionGuard
from mulberrygate.core.effects import Effect
from mulberrygate.core.timers import TimerService
from mulberrygate.observe.events import EventRing
from mulberrygate.observe.logs import logger
from mulberrygate.schedule.effects import ObservedRequest

if TYPE_CHECKING:
    from mulberrygate.control.decoded import DecodedConfiguration
    from mulberrygate.endpoints.directory import Directory

log = logger("moves")

# Interval at which evidence on each pool under a move is sent to the leader.
REPORT_INTERVAL_S = 1.0
CANCELLED = "cancelled"


class MoveMonitor:
    """Guard the version moves of all pools whose schedulers run on this instance.

    Explanation
    ===========
    A guard stops a faulty version at once, on this instance's evidence alone. The evidence is also
    sent to the leader, which decides on the move. While no leader is found the share of the new
    version can't rise.
    """

    def __init__(
        self,
        instance: str,
        incarnation: int,
        in_force: DecodedConfiguration,
        directory: Directory,
        control: ControlClient,
        timers: TimerService,
        events: EventRing,
    ):
        self.instance = instance
        self.incarnation = incarnation
        self.in_force = in_force
        self.directory = directory
        self.control = control
        self.timers = timers
        self.events = events
        self.guards: dict[str, VersionGuard] = {}
        timers.every(REPORT_INTERVAL_S, self.send_all_evidence, "moves.report")

    def guard(self, pool: str) -> VersionGuard | None:
        """Return the guard of a pool, updated to the move in force; ``None`` without a move."""
        state = self.in_force.moves.get(pool)
        if state is None:
            self.guards.pop(pool, None)
            return None
        guard = self.guards.get(pool)
        if guard is None:
            guard = self.guards[pool] = VersionGuard(pool, self.instance, self.incarnation)
        settings = self.in_force.pools[pool].move
        if guard.state != state:
            guard.set_move(state, settings)
        return guard

    def shares(self, pool: str) -> dict[str, float]:
        """Return the share of each version of a pool, empty without a move."""
        guard = self.guard(pool)
        return guard.shares() if guard is not None else {}

    def observe(self, pool: str, effect: Effect) -> None:
        """Add a finished request to the evidence on its version."""
        if not isinstance(effect, ObservedRequest) or effect.fault == CANCELLED:
            return
        guard = self.guard(pool)
        if guard is None:
            return
        endpoint = self.directory.find(effect.endpoint, self.timers.now())
        slots = max(1, endpoint.slots) if endpoint is not None else 1
        stopped = guard.observe(
            effect.route,
            effect.version,
            effect.load / slots,
            effect.expected_s,
            effect.total_s,
            bool(effect.fault),
            self.timers.now(),
        )
        if stopped:
            log.warning(
                "Stopped a version on the evidence of this instance.",
                pool=pool,
                reason=guard.stopped,
            )
            self.events.add("moves.stopped", guard.stopped, move=pool, version=effect.version)
            self.timers.spawn(self._send_evidence(guard))

    async def send_all_evidence(self) -> None:
        """Send the evidence of all guards to the leader; record in each whether there is one."""
        for pool in list(self.guards):
            guard = self.guard(pool)
            if guard is not None and guard.collector is not None:
                await self._send_evidence(guard)

    async def _send_evidence(self, guard: VersionGuard) -> None:
        leader = await self.control.find_leader()
        guard.set_control_reachable(bool(leader))
        evidence = guard.evidence()
        if leader and evidence is not None:
            self.control.peers.send(leader, evidence)
