"""Controller of version moves, which runs on the control leader.

Explanation
===========
A move is a canary roll-out in numbered stages. In stages 0 and 1 the new version gets at most the
largest early share; its share rises further only with evidence for it, and stage `LAST_STAGE` also
requires requests under real load. Evidence for the new version is a likelihood ratio of "like the
previous version" against "worse by the smallest fault"; a version with such a fault passes a stage
with a probability of at most the stage's entry in `MoveSettings.risks`.

Requests under real load count while the share is at least a quarter. Real load is the highest load
bucket that, together with those above it, holds at least a tenth of the pool's requests during the
move. It is relative to the pool, since a pool that never uses more than half of its slots produces
no requests at a higher load.

If the load is too low to give evidence before the deadline, the move ends as ``late`` and the new
version keeps at most the largest early share. Any method needs about
``ln(1 / risk) / max_error_excess`` requests on the new version to distinguish a good version from
one with the smallest fault, and a low load doesn't bring them in time. Completing without them
could give a faulty version all traffic, which moves exist to prevent; withdrawing would be a
verdict without evidence. The early share bounds the damage and the test continues. The operator
sees ``late`` and its reason, and decides with a new table version.
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
from mulberrygate.core.sums import RequestSums
from mulberrygate.tables.model import Move, Pool


@attrs.frozen
class MoveSettings:
    """Settings of the move controller.

    Parameters
    ==========
    first_share_fraction : float
        Share of stage 0, as a fraction of the largest early share.
    shares : tuple[float, ...]
        Shares of the stages after the early ones.
    risks : tuple[float, ...]
        For each stage, the probability with which a version with the smallest fault passes it. The
        later stages require less evidence each, since a version must pass all of them.
    late_risk, late_fraction : float
        Risk of each stage once this fraction of the deadline has passed. A version with twice the
        smallest fault passes a stage with a probability of about the square of the risk.
    dwell_fraction, max_dwell_s : float
        Shortest time in a stage: a fraction of the deadline, capped at `max_dwell_s` seconds.
    first_requests, first_stage_fraction : float
        Stage 0 ends after this many requests or this fraction of the deadline.
    route_risk : float
        Like `risks`, but for each common route; required only up to `route_fraction`.
    route_fraction : float
        Fraction of the deadline after which common routes no longer need that evidence.
    route_requests, final_route_requests : int
        Requests that each common route needs before the share rises, and before the move is done.
    loaded_requests : int
        Requests under real load that are needed before the move is done.
    loaded_fraction : float
        Smallest fraction of the pool's requests in the load buckets that count as real load.
    common_route_fraction : float
        Fraction of the pool's requests from which a route is a common route.
    warning_fraction : float
        Fraction of a fault's threshold at which the share stops rising, and at which a move that
        reaches its deadline returns all traffic to the previous version.
    late_odds : float
        Odds for the smallest fault at which a move that reaches its deadline returns all traffic to
        the previous version.
    resend_s : float
        Seconds after which a command that has not taken effect is proposed again.
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
    """Time at which a stage started, and the evidence that existed then."""

    at: float
    acceptance: Acceptance = Acceptance()


class MoveTrack:
    """State of one move on the leader: its log state, deadline and evidence.

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
        # The first sums that a new leader receives span several stages. They are used as background
        # only, unless all of them come from the early stages, where the share changes little.
        self.is_takeover = state.stage >= EARLY_STAGES
        self.watch_until = now + move.watch_s
        self.last_step: AdvanceMove | None = None
        self.last_step_at = -math.inf

    def update(self, state: MoveState, move: Move, now: float) -> None:
        """Update the move from the control log.

        Explanation
        ===========
        A changed deadline takes effect at once. The definition of a fault stays as it was when the
        move started, since the evidence so far was tested against it.
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
        """Add a scheduler owner's evidence to the test; evidence on other moves is ignored."""
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

    def _add_history(self, first: dict[Cell, RequestSums]) -> None:
        self.test.add_history(first.items())
        for (_, is_new, bucket), sums in first.items():
            if is_new:
                self.early_counts[bucket] = self.early_counts.get(bucket, 0.0) + sums.count

    def decide(self, now: float) -> AdvanceMove | None:
        """Return the next command to propose, or ``None``."""
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
        """Return a description of the evidence against a version at its deadline, or an empty text.

        Explanation
        ===========
        Either the strongest evidence reaches `warning_fraction`, as it does to keep the share from
        rising, or the requests are `late_odds` times as likely under the smallest fault as under a
        good version. This takes the traffic from some good versions, but these are late in any
        case.
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
        """Return a condition that the stage does not meet yet, or an empty text."""
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
        """Return a description of a common route that lacks evidence, or an empty text.

        Explanation
        ===========
        A fault on a route with few requests hardly shows among all requests. Full evidence on such
        a route would take most of the deadline, so it is required only up to `route_fraction`.
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
    """Controls all version moves on the leader of the control group.

    Explanation
    ===========
    A new leader creates a new controller. It reads stage, share, verdict and start of a move from
    the log, and gets the evidence again from the senders' next messages, since their sums are
    cumulative. The watch period after completion restarts with each leader, which only makes it
    longer.

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
        """Update all moves from the control state; call this after each change of the state.

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
        """Add evidence from the owner of a pool's scheduler."""
        track = self.tracks.get(evidence.pool)
        if track is not None:
            track.observe(evidence, now)

    def tick(self, now: float) -> list[AdvanceMove]:
        """Return the commands to propose now; call this after `observe` and once a second."""
        steps = [track.decide(now) for track in self.tracks.values()]
        return [step for step in steps if step is not None]
