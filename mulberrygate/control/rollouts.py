"""Verdict on a version move from the answers that entries report."""

from __future__ import annotations

import attrs

from mulberrygate.control.catalogs import DONE, ROLLED_BACK, Move
from mulberrygate.sync.messages import VersionEvidence

# Least bad answers of the new version, and least excess of their share over the former version's,
# that withdraw it.
LEAST_BAD = 6
LEAST_EXCESS = 0.12
# Part of the time after which a version without evidence against it takes over.
DONE_AFTER = 0.6
# Share of the exposure bound that is used, since entries round their own shares up.
EARLY_PART = 0.5


@attrs.define
class Counts:
    """Answers of one version."""

    total: int = 0
    bad: int = 0

    @property
    def bad_share(self) -> float:
        """Share of the answers that were bad."""
        return self.bad / self.total if self.total else 0.0


class RolloutJudge:
    """Judge version moves of pools from evidence of entries.

    Parameters
    ==========
    exposure_share : float
        Share of the pool's requests that a bad version may get.
    """

    def __init__(self, exposure_share: float):
        self.early_share = exposure_share * EARLY_PART
        self.counts: dict[str, dict[str, Counts]] = {}
        self.numbers: dict[tuple[str, int, str, str], int] = {}

    def restart(self) -> None:
        """Forget the evidence of an earlier leadership."""
        self.counts.clear()
        self.numbers.clear()

    def observe(self, evidence: VersionEvidence) -> None:
        """Count an entry's report once."""
        key = (evidence.instance, evidence.incarnation, evidence.pool, evidence.version)
        if evidence.number <= self.numbers.get(key, -1):
            return
        self.numbers[key] = evidence.number
        counts = self.counts.setdefault(evidence.pool, {}).setdefault(evidence.version, Counts())
        counts.total += evidence.total
        counts.bad += evidence.bad

    def verdict(self, pool: str, move: Move, now: float) -> str:
        """Return the verdict on a running move, empty while there is none.

        Parameters
        ==========
        now : float
            Unix time in seconds.
        """
        by_version = self.counts.get(pool, {})
        new = by_version.get(move.target, Counts())
        old = Counts(
            sum(c.total for name, c in by_version.items() if name != move.target),
            sum(c.bad for name, c in by_version.items() if name != move.target),
        )
        if new.bad >= LEAST_BAD and new.bad_share > old.bad_share + LEAST_EXCESS:
            return ROLLED_BACK
        part = (now - move.started_at) / max(move.deadline_at - move.started_at, 1e-3)
        return DONE if part >= DONE_AFTER else ""
