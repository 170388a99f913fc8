"""Version moves of pools, run by the control processes."""

from __future__ import annotations

import time
from collections.abc import Callable

from mulberrygate.control.access import LogAccess
from mulberrygate.control.catalogs import DONE, RUNNING, CatalogStateMachine, Move, PutMove
from mulberrygate.control.rollouts import RolloutEvaluator
from mulberrygate.core.timers import TimerService
from mulberrygate.observe.jsonlines import JsonLines
from mulberrygate.sync.evidence import EvidenceReports
from mulberrygate.sync.messages import MoveState, VersionEvidence


class SiteMoves:
    """Begins version moves, and evaluates them while this process leads.

    Parameters
    ==========
    machine : Callable[[], CatalogStateMachine]
        Returns the current state machine; reopening the voter replaces it.
    evidence : EvidenceReports
        Evidence from the requests that this process's schedulers assigned.
    """

    def __init__(
        self,
        site,
        incarnation: int,
        machine: Callable[[], CatalogStateMachine],
        log: LogAccess,
        evidence: EvidenceReports,
        timers: TimerService,
        lines: JsonLines,
    ):
        self.instance = site.instance
        self.incarnation = incarnation
        self.machine = machine
        self.log = log
        self.evidence = evidence
        self.timers = timers
        self.lines = lines
        self.evaluator = RolloutEvaluator(site.bounds.exposure_share)
        # Unix time minus monotonic time at a move's first evaluation by this process, by pool and
        # target. Deadlines are checked on the monotonic clock, as the time of day may jump.
        self.wall_clock_offsets: dict[tuple[str, str], float] = {}

    def reset(self) -> None:
        """Discard the evidence and clock offsets of an earlier leadership."""
        self.evaluator.reset()
        self.wall_clock_offsets.clear()

    async def begin(self, pool: str, target: str, duration_s: float) -> bool:
        """Begin a version move; return whether it is certainly committed."""
        known = self.machine().moves.get(pool)
        if known is not None and known.target == target:
            return True
        now = time.time()
        return await self.log.commit(PutMove(pool, target, RUNNING, now, now + duration_s))

    def states(self) -> tuple[MoveState, ...]:
        """Return the moves with the target's share of requests, for the entries."""
        return tuple(self._state(pool, move) for pool, move in self.machine().moves.items())

    def _state(self, pool: str, move: Move) -> MoveState:
        if move.state == RUNNING:
            return MoveState(pool, move.target, self.evaluator.early_share, False)
        return MoveState(pool, move.target, 1.0 if move.state == DONE else 0.0, True)

    def apply_moves(self) -> None:
        """Pass the current moves to the shares and evidence of this process's schedulers."""
        self.evidence.set_moves(self.states())

    def on_evidence(self, message: VersionEvidence, _sender: str) -> None:
        """Add an entry's evidence to the evaluation."""
        self.evaluator.observe(message, self.timers.now())

    def evaluate_all(self) -> None:
        """Evaluate the running moves and commit their verdicts; only called at the leader."""
        now = self.timers.now()
        for report in self.evidence.take(self.instance, self.incarnation):
            self.evaluator.observe(report, now)
        for pool, move in self.machine().moves.items():
            if move.state == RUNNING:
                self._evaluate(pool, move, now)

    def _evaluate(self, pool: str, move: Move, now: float) -> None:
        offset = self.wall_clock_offsets.setdefault((pool, move.target), time.time() - now)
        verdict, reason = self.evaluator.verdict(pool, move, now + offset)
        if verdict:
            self.lines.note(
                "move.verdict", pool=pool, target=move.target, verdict=verdict, reason=reason
            )
            self.timers.spawn(self.log.commit(PutMove(pool, move.target, verdict)))
