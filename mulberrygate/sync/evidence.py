"""Traffic shares of versions during a roll-out, and evidence on them from endpoint answers."""

from __future__ import annotations

import math
from collections.abc import Callable

from mulberrygate.core.effects import Effect
from mulberrygate.core.sums import RequestSums, request_sums
from mulberrygate.endpoints.roster import Roster
from mulberrygate.schedule.effects import ObservedRequest
from mulberrygate.sync.messages import MoveShare, VersionEvidence

MIN_EXPECTED_S = 0.01
# Bounds the weight of an answer, since the first ones of an endpoint are weak evidence.
MAX_WEIGHT = 5.0
BAD_FAULTS = ("error", "cut", "silent")
# Faults that are no evidence on the version.
NEUTRAL_FAULTS = ("cancelled", "refused")


class EvidenceReports:
    """Version moves at a pool host: the share of each version, and evidence on the target.

    Parameters
    ==========
    clock : Callable[[], float]
        Monotonic seconds, as in the rows of the roster.

    Attributes
    ==========
    cells : dict[str, dict[tuple[str, bool], RequestSums]]
        Sums since the last report, by pool, route and whether they are of the target version.
    number : int
        Number of the last report.
    """

    def __init__(self, roster: Roster, clock: Callable[[], float]):
        self.roster = roster
        self.clock = clock
        self.moves: dict[str, MoveShare] = {}
        self.cells: dict[str, dict[tuple[str, bool], RequestSums]] = {}
        self.number = 0
        # End of the warm-up of endpoints that have just started.
        self.warm_at: dict[str, float] = {}
        # Number of answers of each endpoint, by pool and whether it runs the target version.
        self.answer_counts: dict[tuple[str, bool], dict[str, int]] = {}

    def set_moves(self, moves: tuple[MoveShare, ...]) -> None:
        """Replace the version moves that are followed."""
        by_pool = {move.pool: move for move in moves}
        for pool, is_new in list(self.answer_counts):
            if pool not in by_pool or by_pool[pool].is_over:
                del self.answer_counts[pool, is_new]
        self.moves = by_pool

    def shares(self, pool: str) -> dict[str, float]:
        """Return the share of each version of a pool; an empty dict sets no limits."""
        move = self.moves.get(pool)
        if move is None:
            return {}
        rows = self.roster.usable(pool)
        if not move.is_over:
            self._record_warmups(rows)
        versions = {row.registration.version for row in rows}
        others = versions - {move.target}
        if not others or move.target not in versions:
            return {}
        shares = dict.fromkeys(others, 1.0 - move.share)
        shares[move.target] = move.share
        return shares

    def _record_warmups(self, rows: list) -> None:
        for row in rows:
            if row.cold_until is not None and row.cold_until > -math.inf:
                self.warm_at[row.registration.endpoint] = row.cold_until

    def observe(self, pool: str, effect: Effect) -> None:
        """Count the result of a request in a pool under a move."""
        move = self.moves.get(pool)
        if move is None or move.is_over or not isinstance(effect, ObservedRequest):
            return
        if effect.fault in NEUTRAL_FAULTS or self._was_warming_up(effect):
            return
        expected_s = max(effect.expected_s, MIN_EXPECTED_S)
        sums = request_sums(expected_s, effect.total_s, effect.fault in BAD_FAULTS)
        is_new = effect.version == move.target
        sums.decay(self._weight(pool, is_new, effect.endpoint))
        cells = self.cells.setdefault(pool, {})
        cells.setdefault((effect.route, is_new), RequestSums()).add(sums)

    def _weight(self, pool: str, is_new: bool, endpoint: str) -> float:
        """Count one more answer of an endpoint, and return its weight.

        Explanation
        ===========
        Fast endpoints answer most requests of the former version, while the canary requests of the
        target are spread evenly. Answers are therefore weighted so that all endpoints of a version
        count the same; otherwise a good version would look slow on endpoints of unequal speed.
        """
        answers = self.answer_counts.setdefault((pool, is_new), {})
        answers[endpoint] = answers.get(endpoint, 0) + 1
        mean_count = sum(answers.values()) / len(answers)
        return min(MAX_WEIGHT, max(1.0 / MAX_WEIGHT, mean_count / answers[endpoint]))

    def _was_warming_up(self, effect: ObservedRequest) -> bool:
        started_at = self.clock() - effect.total_s
        return started_at < self.warm_at.get(effect.endpoint, -math.inf)

    def take_reports(self, instance: str, incarnation: int) -> list[VersionEvidence]:
        """Return reports on the requests observed since the last call, and reset the sums."""
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
