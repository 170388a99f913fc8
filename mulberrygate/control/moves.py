"""Controller of version moves on the control leader.

Explanation
===========
A move passes through numbered stages. Stages 0 and 1 keep to the largest early share; the share
rises further only with evidence for the new version, and stage `LAST_STAGE` asks for requests under
real load. Evidence for the new version is a likelihood ratio of "like the previous version" against
"worse by the smallest fault"; a version with such a fault passes with a probability of at most the
stage's `risk`.

Requests under real load count while the share is at least a quarter. Real load is the highest load
bucket that, together with those above it, holds at least a tenth of the pool's requests during the
move. It is relative to the pool, since a pool that never runs above half of its slots has no other
load to show.

Rule for the deadline when load is too thin for evidence: the move ends as ``late`` and keeps at
most the largest early share. About ``ln(1 / risk) / max_error_excess`` requests on the new version
are needed to tell a good version from one with the smallest fault, whatever the method, and a thin
load doesn't bring them within the deadline. To complete without them would give a faulty version
all traffic, which is what moves exist to prevent. To withdraw would be a verdict against the
version without evidence. The early share bounds the damage, the test goes on, and the operator, who
sees ``late`` and its reason, decides with a new table version.
"""

from __future__ import annotations

import math

import attrs

from mulberrygate.control.commands import AdvanceMove, MoveState
from mulberrygate.control.evidence import Cell, Evidence, EvidenceIncrements, runs_of
from mulberrygate.control.guard import LEADER_BUDGET
from mulberrygate.control.sequential import Acceptance
from mulberrygate.control.state import DONE, EARLY_STAGES, LAST_STAGE, LATE, WATCH_SHARE, WITHDRAWN
from mulberrygate.control.versiontest import VersionTest
from mulberrygate.core.sums import Sums
from mulberrygate.tables.model import Move, Pool


@attrs.frozen
class MoveSettings:
    """Settings of the controller.

    Parameters
    ==========
    first_share_fraction : float
        Share of stage 0 as a part of the largest early share.
    shares : tuple[float, ...]
        Shares of the stages after the early ones.
    risks : tuple[float, ...]
        For each stage, the probability with which a version with the smallest fault passes it. The
        later stages ask for less each, since the evidence of all of them must agree.
    late_risk, late_fraction : float
        Risk of the stages in the time after that part of the deadline. A version with twice the
        smallest fault passes a stage with a probability of about the square of the risk.
    dwell_fraction, max_dwell_s : float
        Shortest time in a stage: part of the deadline, but at most so many seconds.
    first_requests, first_stage_fraction : float
        Stage 0 ends after so many requests, or so large a part of the deadline.
    route_risk : float
        Like `risks`, for each common route; asked for only in the first part of the time.
    route_fraction : float
        Part of the deadline after which a route no longer has to bring that evidence.
    route_requests, final_route_requests : int
        Requests of each common route before the share rises, and before the move is done.
    loaded_requests : int
        Requests under real load before the move is done.
    loaded_fraction : float
        Part of the pool's requests that the load buckets of real load hold at least.
    common_route_fraction : float
        Part of the pool's requests that makes a route a common one.
    warning_fraction : float
        Part of a fault's threshold at which the share doesn't rise and a late move goes back.
    late_odds : float
        Odds for the smallest fault at which a late move goes back to the previous version.
    resend_s : float
        Seconds after which a command that had no effect is proposed again.
    """

    first_share_fraction: float = 0.25
    shares: tuple[float, ...] = (0.25, 0.5, WATCH_SHARE)
    risks: tuple[float, ...] = (1.0, 0.05, 0.2, 0.2, 0.2)
    late_risk: float = 0.1
    late_fraction: float = 0.5
    dwell_fraction: float = 0.04
    max_dwell_s: float = 600.0
    first_requests: float = 10
    first_stage_fraction: float = 0.05
    route_risk: float = 0.2
    route_fraction: float = 0.25
    route_requests: int = 8
    final_route_requests: int = 30
    loaded_requests: int = 100
    loaded_fraction: float = 0.1
    common_route_fraction: float = 0.05
    warning_fraction: float = 0.3
    late_odds: float = 20.0
    resend_s: float = 1.0


@attrs.define
class StageStart:
    """Start of a stage, from which its own evidence is counted."""

    at: float
    acceptance: Acceptance = Acceptance()


class MoveTrack:
    """One move as the leader sees it.

    Parameters
    ==========
    state : MoveState
    move : Move
    now : float
        Seconds on the monotonic clock.
    deadline : float
        End of the move on the same clock.
    """

    def __init__(
        self, state: MoveState, move: Move, now: float, deadline: float, settings: MoveSettings
    ):
        self.state = state
        self.move = move
        self.settings = settings
        self.deadline = deadline
        self.test = VersionTest(move, LEADER_BUDGET)
        self.increments = EvidenceIncrements()
        self.fault = ""
        self.stage = StageStart(now)
        self.early_counts: dict[int, float] = {}
        self.senders: set[tuple[str, int]] = set()
        # What a new leader hears first comes from several stages; it is background, unless all of
        # it comes from the early ones, where the share changes little.
        self.is_takeover = state.stage >= EARLY_STAGES
        self.watch_until = now + move.watch_s
        self.last_step: AdvanceMove | None = None
        self.last_step_at = -math.inf

    def update(self, state: MoveState, move: Move, now: float) -> None:
        """Take over the state that the log has reached.

        Explanation
        ===========
        A deadline that the operator changed counts at once; the definition of a fault stays that of
        the move's start, since the evidence was weighed by it.
        """
        self.deadline += move.deadline_s - self.move.deadline_s
        if state.stage != self.state.stage:
            self._begin_stage(now)
            if state.stage == EARLY_STAGES:
                loads = self.test.loads().items()
                self.early_counts = {bucket: test.new.count for bucket, test in loads}
        if state.verdict and not self.state.verdict:
            self.watch_until = now + move.watch_s
        if state != self.state:
            self.last_step = None
        self.state, self.move = state, move

    def _begin_stage(self, now: float) -> None:
        self.stage = StageStart(now, self.test.pooled().acceptance())

    def observe(self, evidence: Evidence, now: float) -> None:
        """Take evidence into account."""
        if evidence.table_version != self.state.table_version:
            return
        increments, first = self.increments.split_first(evidence)
        if self.is_takeover:
            if (evidence.sender, evidence.incarnation) not in self.senders:
                self.senders.add((evidence.sender, evidence.incarnation))
                self.test.add_runs(runs_of(evidence))
            self._add_history(first)
            increments = {cell: sums for cell, sums in increments.items() if cell not in first}
        self.test.add(increments.items(), now)
        self.fault = self.fault or self.test.detect_fault()
        if evidence.stopped and not self.fault:
            self.fault = f"stopped by {evidence.sender}: {evidence.stopped}"

    def _add_history(self, first: dict[Cell, Sums]) -> None:
        self.test.add_history(first.items())
        for (_, is_new, bucket), sums in first.items():
            if is_new:
                self.early_counts[bucket] = self.early_counts.get(bucket, 0.0) + sums.count

    def decide(self, now: float) -> AdvanceMove | None:
        """Return the next step, or ``None``."""
        step = self._step(now)
        if (
            step is None
            or step == self.last_step
            and now < self.last_step_at + self.settings.resend_s
        ):
            return None
        self.last_step, self.last_step_at = step, now
        return step

    def _step(self, now: float) -> AdvanceMove | None:
        state = self.state
        if state.verdict:
            return self._step_after_verdict(now)
        if self.fault:
            return self._advance_command(0.0, WITHDRAWN, self.fault)
        if now >= self.deadline:
            return self._end_late()
        if state.stage == 0 and state.share == 0:
            share = self.move.largest_early_share * self.settings.first_share_fraction
            return self._advance_command(share, "", "first requests")
        if self.unmet_condition(now):
            return None
        if state.stage == LAST_STAGE:
            share = WATCH_SHARE if self.move.watch_s else 1.0
            return self._advance_command(share, DONE, "evidence on all stages")
        return self._advance_command(self._stage_share(state.stage + 1), "", "", state.stage + 1)

    def _step_after_verdict(self, now: float) -> AdvanceMove | None:
        state = self.state
        if state.share in (0.0, 1.0) or state.verdict == WITHDRAWN:
            return None
        if self.fault:
            return self._advance_command(0.0, state.verdict, f"traffic withdrawn: {self.fault}")
        if state.verdict == DONE and now >= self.watch_until:
            return self._advance_command(1.0, DONE, "no fault in the watch period")
        return None

    def _end_late(self) -> AdvanceMove:
        text = self._fault_signs()
        if text:
            return self._advance_command(0.0, LATE, f"deadline passed; {text}")
        share = min(self.state.share, self.move.largest_early_share)
        return self._advance_command(
            share, LATE, f"deadline passed; {self.unmet_condition(self.deadline)}"
        )

    def _fault_signs(self) -> str:
        """Return what speaks against a version at the deadline, or an empty text.

        Explanation
        ===========
        Besides the strength that keeps the share from rising, it is enough that the requests are
        `late_odds` times as likely under the smallest fault as under a good version. This takes
        traffic from some good versions, which are late in any case.
        """
        strength, text = self.test.strongest()
        if strength >= self.settings.warning_fraction:
            return f"signs of faults: {text}"
        tests = [("all routes", self.test.pooled()), *self.test.routes().items()]
        for place, test in tests:
            if test.acceptance().since(Acceptance()) < -math.log(self.settings.late_odds):
                return f"a fault is likelier than none on {place}"
        return ""

    def _stage_share(self, stage: int) -> float:
        early = self.move.largest_early_share
        if stage < EARLY_STAGES:
            return early
        return max(early, self.settings.shares[stage - EARLY_STAGES])

    def _advance_command(
        self, share: float, verdict: str, reason: str, stage: int | None = None
    ) -> AdvanceMove:
        state = self.state
        stage = state.stage if stage is None else stage
        reason = reason or f"stage {stage}"
        return AdvanceMove(state.pool, state.table_version, stage, share, verdict, reason[:200])

    def unmet_condition(self, now: float) -> str:
        """Return what the stage still lacks, or an empty text."""
        settings, stage = self.settings, self.state.stage
        length = self.deadline - self.stage.at
        whole = self.move.deadline_s
        if now - self.stage.at < min(settings.dwell_fraction * whole, settings.max_dwell_s):
            return f"stage {stage} has only begun"
        strength, text = self.test.strongest()
        if strength >= settings.warning_fraction:
            return f"signs of faults: {text}"
        pooled = self.test.pooled()
        if stage == 0:
            is_seen = pooled.new.count >= settings.first_requests
            is_over = now - self.stage.at >= min(settings.first_stage_fraction * whole, length)
            return "" if is_seen or is_over else "too few requests on the new version"
        return self._unmet_evidence(stage, now) or self._unmet_routes(now) or self._unmet_load()

    def _is_past(self, part: float, now: float) -> bool:
        return now >= self.deadline - (1 - part) * self.move.deadline_s

    def _unmet_evidence(self, stage: int, now: float) -> str:
        pooled = self.test.pooled()
        risk = self.settings.risks[stage]
        if self._is_past(self.settings.late_fraction, now):
            risk = max(risk, self.settings.late_risk)
        needed = -math.log(risk)
        start = Acceptance() if stage < EARLY_STAGES else self.stage.acceptance
        if pooled.acceptance().since(start) < needed:
            count = pooled.new.count
            return f"too little evidence at stage {stage} after {count:.0f} requests"
        return ""

    def _unmet_routes(self, now: float) -> str:
        """Return a common route that lacks evidence of its own.

        Explanation
        ===========
        A fault on a route with few requests hardly shows among all requests. Such a route would
        need most of the deadline for full evidence, so that it gets a part of the time.
        """
        settings = self.settings
        is_last = self.state.stage == LAST_STAGE
        needed = settings.final_route_requests if is_last else settings.route_requests
        is_past = self._is_past(settings.route_fraction, now)
        evidence = -math.inf if is_past else -math.log(settings.route_risk)
        whole = self.test.pooled().previous.count
        for route, test in self.test.routes().items():
            if test.previous.count < settings.common_route_fraction * whole:
                continue
            if test.new.count < needed or test.acceptance().since(Acceptance()) < evidence:
                return f"too little evidence on route {route}"
        return ""

    def _unmet_load(self) -> str:
        if self.state.stage != LAST_STAGE:
            return ""
        bucket = self._real_load()
        loaded = sum(
            test.new.count - self.early_counts.get(number, 0.0)
            for number, test in self.test.loads().items()
            if number >= bucket
        )
        return "" if loaded >= self.settings.loaded_requests else "too few requests under load"

    def _real_load(self) -> int:
        counts = {b: t.previous.count + t.new.count for b, t in self.test.loads().items()}
        whole, above = sum(counts.values()), 0.0
        for bucket in sorted(counts, reverse=True):
            above += counts[bucket]
            if above >= self.settings.loaded_fraction * whole:
                return bucket
        return 0


class MoveController:
    """All moves, on the leader of the control group.

    Explanation
    ===========
    A new leader makes a new controller. Stage, share, verdict and start of a move come from the
    log; the evidence comes again with the senders' next messages, since their sums are cumulative.
    The watch period after completion begins anew with each leader, which only makes it longer.

    Examples
    ========
    >>> from mulberrygate.control.commands import MoveState
    >>> from mulberrygate.control.moves import MoveController
    >>> from mulberrygate.tables.model import Move, Pool
    >>> controller = MoveController()
    >>> pool = Pool(version="b", move=Move(previous="a"))
    >>> controller.update({"lamp": MoveState("lamp", 2, "a", "b")}, {"lamp": pool}, 0.0, 0.0)
    >>> controller.tick(1.0)[0].share
    0.0125
    """

    def __init__(self, settings: MoveSettings | None = None):
        self.settings = settings or MoveSettings()
        self.tracks: dict[str, MoveTrack] = {}

    def update(
        self, moves: dict[str, MoveState], pools: dict[str, Pool], now: float, unix_now: float
    ) -> None:
        """Take over the moves of the control state; to be called after each change of it.

        Parameters
        ==========
        now : float
            Seconds on the monotonic clock.
        unix_now : float
            Unix time in seconds, in which the state gives the start of a move.
        """
        for name in self.tracks.keys() - moves.keys():
            del self.tracks[name]
        for name, state in moves.items():
            move = pools[name].move if name in pools else None
            if move is None:
                continue
            track = self.tracks.get(name)
            if track is not None and track.state.table_version == state.table_version:
                track.update(state, move, now)
            else:
                deadline = now + state.started_at + move.deadline_s - unix_now
                self.tracks[name] = MoveTrack(state, move, now, deadline, self.settings)

    def observe(self, evidence: Evidence, now: float) -> None:
        """Take a message of a pool scheduler's owner into account."""
        track = self.tracks.get(evidence.pool)
        if track is not None:
            track.observe(evidence, now)

    def tick(self, now: float) -> list[AdvanceMove]:
        """Return the commands to propose now; to be called after `observe` and once a second."""
        steps = [track.decide(now) for track in self.tracks.values()]
        return [step for step in steps if step is not None]
