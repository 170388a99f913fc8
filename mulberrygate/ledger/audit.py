"""Check of the ledger's guarantee over all instances, for simulations and process tests."""

from __future__ import annotations

import attrs

from mulberrygate.core.invariant import invariant
from mulberrygate.ledger.codes import CLAIM_LOST, TWO_RUNS
from mulberrygate.ledger.messages import RETENTION_S, Attempt, Phase, Record


@attrs.frozen
class Dispatch:
    """Dispatch of an attempt of a key in a shard, at a time in seconds."""

    shard: str
    attempt: Attempt
    at: float


class Audit:
    """Records the dispatches of all entries and checks rules that no single instance can check.

    Examples
    ========
    >>> from mulberrygate.ledger.audit import Audit
    >>> from mulberrygate.ledger.messages import Attempt
    >>> audit = Audit()
    >>> audit.record_dispatch("d/0", "d/k", Attempt("a", 1, 1), 0.0)
    >>> audit.record_dispatch("d/0", "d/k", Attempt("b", 1, 1), 5.0)
    Traceback (most recent call last):
        ...
    mulberrygate.core.invariant.InvariantError: 9302 two_runs: d/k ran twice within its retention
    """

    def __init__(self):
        self.dispatches: dict[str, Dispatch] = {}

    def record_dispatch(self, shard: str, key: str, attempt: Attempt, at: float) -> None:
        """Record a dispatch; assert that the key had no other one within its retention."""
        known = self.dispatches.get(key)
        is_first = known is None or at - known.at >= RETENTION_S
        invariant(is_first, TWO_RUNS, f"{key} ran twice within its retention")
        self.dispatches[key] = Dispatch(shard, attempt, at)

    def check_view_change(self, shard: str, records: dict[str, Record], now: float) -> None:
        """Assert that a replica of a newly active view has records of all earlier dispatches.

        Explanation
        ===========
        This does not hold for views that follow the loss of a majority.
        """
        for key, dispatch in self.dispatches.items():
            if dispatch.shard != shard or now - dispatch.at >= RETENTION_S:
                continue
            record = records.get(key)
            is_known = record is not None and (
                record.phase is Phase.UNCERTAIN
                or (record.attempt == dispatch.attempt and record.phase is not Phase.WAITING)
            )
            invariant(is_known, CLAIM_LOST, f"{key}: {dispatch.attempt} is not in the copy")
