"""Shares of versions under a move, and evidence on them from the answers of endpoints."""

from __future__ import annotations

import math
from collections.abc import Callable

from mulberrygate.core.effects import Effect
from mulberrygate.core.sums import RequestSums, request_sums
from mulberrygate.endpoints.roster import Roster
from mulberrygate.schedule.effects import ObservedRequest
from mulberrygate.sync.messages import MoveState, VersionEvidence

LEAST_EXPECTED_S = 0.01
# The first answer of an endpoint says little of it.
LARGEST_WEIGHT = 5.0
BAD_FAULTS = ("error", "cut", "silent")
# Ends of requests that say nothing of the version.
NEUTRAL_FAULTS = ("cancelled", "refused")


class EvidenceReports:
    """What a pool host asks about version moves, and what it reports on them.

    Parameters
    ==========
    clock : Callable[[], float]
        Monotonic seconds, as in the rows of the roster.
    """

    def __init__(self, roster: Roster, clock: Callable[[], float]):
        self.roster = roster
        self.clock = clock
        self.moves: dict[str, MoveState] = {}
        self.cells: dict[str, dict[tuple[str, bool], RequestSums]] = {}
        self.number = 0
        # When endpoints that have just started are no longer slow.
        self.warm_at: dict[str, float] = {}
        # Answers of each endpoint, by pool and whether it is of the target's version.
        self.answers: dict[tuple[str, bool], dict[str, int]] = {}

    def set_moves(self, moves: tuple[MoveState, ...]) -> None:
        """Replace the moves."""
        changed = {move.pool: move for move in moves}
        for pool, is_new in list(self.answers):
            if pool not in changed or changed[pool].is_over:
                del self.answers[pool, is_new]
        self.moves = changed

    def shares(self, pool: str) -> dict[str, float]:
        """Return the share of each version of a pool, empty for no limits."""
        move = self.moves.get(pool)
        if move is None:
            return {}
        rows = self.roster.usable(pool)
        if not move.is_over:
            self._note_warmups(rows)
        versions = {row.registration.version for row in rows}
        others = versions - {move.target}
        if not others or move.target not in versions:
            return {}
        shares = dict.fromkeys(others, 1.0 - move.share)
        shares[move.target] = move.share
        return shares

    def _note_warmups(self, rows: list) -> None:
        for row in rows:
            known = row.registration
            if known.warmup_s > 0:
                self.warm_at[known.endpoint] = row.heard_at + known.warmup_s

    def observe(self, pool: str, effect: Effect) -> None:
        """Count the result of a request in a pool under a move."""
        move = self.moves.get(pool)
        if move is None or move.is_over or not isinstance(effect, ObservedRequest):
            return
        if effect.fault in NEUTRAL_FAULTS or self._was_warming(effect):
            return
        expected_s = max(effect.expected_s, LEAST_EXPECTED_S)
        sums = request_sums(expected_s, effect.total_s, effect.fault in BAD_FAULTS)
        is_new = effect.version == move.target
        sums.decay(self._weight(pool, is_new, effect.endpoint))
        cells = self.cells.setdefault(pool, {})
        cells.setdefault((effect.route, is_new), RequestSums()).add(sums)

    def _weight(self, pool: str, is_new: bool, endpoint: str) -> float:
        """Return the weight of one more answer of an endpoint.

        Explanation
        ===========
        The former version's fast endpoints answer most of its requests, while the trial of the
        target is spread evenly. All endpoints of a version weigh the same, or a good version would
        look slow among unlike endpoints.
        """
        answers = self.answers.setdefault((pool, is_new), {})
        answers[endpoint] = answers.get(endpoint, 0) + 1
        even = sum(answers.values()) / len(answers)
        return min(LARGEST_WEIGHT, max(1.0 / LARGEST_WEIGHT, even / answers[endpoint]))

    def _was_warming(self, effect: ObservedRequest) -> bool:
        started_at = self.clock() - effect.total_s
        return started_at < self.warm_at.get(effect.endpoint, -math.inf)

    def take(self, instance: str, incarnation: int) -> list[VersionEvidence]:
        """Return the reports on what was counted since the last call."""
        cells, self.cells = self.cells, {}
        reports = []
        for pool, sums in cells.items():
            self.number += 1
            packed = tuple(
                (route, is_new, cell.count, cell.errors, cell.log_sum, cell.log_square_sum)
                for (route, is_new), cell in sums.items()
            )
            target = self.moves[pool].target if pool in self.moves else ""
            reports.append(
                VersionEvidence(instance, incarnation, self.number, pool, target, packed)
            )
        return reports
