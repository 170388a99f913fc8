"""Shares of versions under a move, and evidence on them from the answers of endpoints."""

from __future__ import annotations

from mulberrygate.core.effects import Effect
from mulberrygate.endpoints.roster import Roster
from mulberrygate.schedule.effects import Observed
from mulberrygate.sync.messages import MoveState, VersionEvidence

# An answer that takes this many times as long as predicted counts against its version.
SLOW_RATIO = 3.0
LEAST_EXPECTED_S = 0.01
BAD_FAULTS = ("error", "cut")


class EvidenceReports:
    """What a pool host asks about version moves, and what it reports on them."""

    def __init__(self, roster: Roster):
        self.roster = roster
        self.moves: dict[str, MoveState] = {}
        self.counts: dict[tuple[str, str], list[int]] = {}
        self.number = 0

    def set_moves(self, moves: tuple[MoveState, ...]) -> None:
        """Replace the moves."""
        self.moves = {move.pool: move for move in moves}

    def shares(self, pool: str) -> dict[str, float]:
        """Return the share of each version of a pool, empty for no limits."""
        move = self.moves.get(pool)
        if move is None:
            return {}
        versions = {row.registration.version for row in self.roster.usable(pool)}
        others = versions - {move.target}
        if not others or move.target not in versions:
            return {}
        shares = dict.fromkeys(others, 1.0 - move.share)
        shares[move.target] = move.share
        return shares

    def observe(self, pool: str, effect: Effect) -> None:
        """Count the result of a request to a version under a move."""
        move = self.moves.get(pool)
        if move is None or move.is_over or not isinstance(effect, Observed):
            return
        if effect.fault == "cancelled":
            return
        counts = self.counts.setdefault((pool, effect.version), [0, 0])
        counts[0] += 1
        expected_s = max(effect.expected_s, LEAST_EXPECTED_S)
        if effect.fault in BAD_FAULTS or effect.total_s > SLOW_RATIO * expected_s:
            counts[1] += 1

    def take(self, instance: str, incarnation: int) -> list[VersionEvidence]:
        """Return the reports on what was counted since the last call."""
        counts, self.counts = self.counts, {}
        reports = []
        for (pool, version), (total, bad) in counts.items():
            self.number += 1
            report = VersionEvidence(instance, incarnation, self.number, pool, version, total, bad)
            reports.append(report)
        return reports
