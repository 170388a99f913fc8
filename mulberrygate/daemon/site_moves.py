"""Version moves of a deployment, as its control processes run them."""

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
    """Begin version moves, and judge them while this process leads.

    Parameters
    ==========
    machine : Callable[[], CatalogStateMachine]
        Returns the replicated state, which a reopened voter replaces.
    evidence : EvidenceReports
        What the schedulers of this process see of the answers.
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
        self.judge = RolloutEvaluator(site.bounds.exposure_share)
        # Unix time minus monotonic time when this process first judged a move; the time of day may
        # jump while it runs.
        self.offsets: dict[tuple[str, str], float] = {}

    def restart(self) -> None:
        """Forget what an earlier leadership knew."""
        self.judge.reset()
        self.offsets.clear()

    async def begin(self, pool: str, target: str, duration_s: float) -> bool:
        """Begin a version move; return whether it is entered for certain."""
        known = self.machine().moves.get(pool)
        if known is not None and known.target == target:
            return True
        now = time.time()
        return await self.log.commit(PutMove(pool, target, RUNNING, now, now + duration_s))

    def states(self) -> tuple[MoveState, ...]:
        """Return the moves as entries have to follow them."""
        return tuple(self._state(pool, move) for pool, move in self.machine().moves.items())

    def _state(self, pool: str, move: Move) -> MoveState:
        if move.state == RUNNING:
            return MoveState(pool, move.target, self.judge.early_share, False)
        return MoveState(pool, move.target, 1.0 if move.state == DONE else 0.0, True)

    def follow(self) -> None:
        """Let the schedulers of this process follow the moves."""
        self.evidence.set_moves(self.states())

    def on_evidence(self, message: VersionEvidence, _sender: str) -> None:
        """Take an entry's report."""
        self.judge.observe(message, self.timers.now())

    def judge_all(self) -> None:
        """Judge the moves that run, and enter what is decided; for the leader."""
        now = self.timers.now()
        for report in self.evidence.take(self.instance, self.incarnation):
            self.judge.observe(report, now)
        for pool, move in self.machine().moves.items():
            if move.state == RUNNING:
                self._judge(pool, move, now)

    def _judge(self, pool: str, move: Move, now: float) -> None:
        offset = self.offsets.setdefault((pool, move.target), time.time() - now)
        verdict, reason = self.judge.verdict(pool, move, now + offset)
        if verdict:
            self.lines.log(
                "move.verdict", pool=pool, target=move.target, verdict=verdict, reason=reason
            )
            self.timers.spawn(self.log.commit(PutMove(pool, move.target, verdict)))
