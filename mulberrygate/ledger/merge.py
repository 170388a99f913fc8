"""Merge the sealed tables of several replicas into one copy."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from mulberrygate.core.invariant import invariant
from mulberrygate.ledger.codes import TWO_RUNS
from mulberrygate.ledger.messages import Phase, Record


def merge(sources: Iterable[dict[str, Record]], is_majority: bool) -> tuple[Record, ...]:
    """Merge tables that cover a sealed majority, or what is left after the loss of one.

    Explanation
    ===========
    A begin that one source knows may have been accepted by a majority with a replica that is not
    among the sources, so it is kept. Two begins of one key make the key uncertain. Without a
    majority every record that has not finished is uncertain, because another attempt may have
    begun at the lost replicas.
    """
    by_key: dict[str, list[Record]] = {}
    for source in sources:
        for key, record in source.items():
            by_key.setdefault(key, []).append(record)
    merged = []
    for records in by_key.values():
        if len(records) > 1 or not is_majority or records[0].outcome:
            records = _merge_key(records, is_majority)
        merged += records
    return tuple(merged)


def _merge_key(records: list[Record], is_majority: bool) -> list[Record]:
    expires = max(record.expires for record in records)
    finished = [record for record in records if record.has_run()]
    if finished:
        attempts = {record.attempt for record in finished}
        invariant(len(attempts) == 1, TWO_RUNS, f"{sorted(attempts)}")
        chosen = max(finished, key=lambda record: len(record.answer))
        return [attrs.evolve(chosen, expires=expires)]
    # An attempt that its entry gave up has not run; a record of it at another replica is stale.
    given_up = {record.attempt for record in records if record.phase is Phase.FINISHED}
    open_records = [record for record in records if record.attempt not in given_up]
    if not is_majority:
        chosen = (open_records or records)[0]
        return [attrs.evolve(chosen, phase=Phase.UNCERTAIN, outcome="", expires=expires)]
    if not open_records:
        return []
    begun = [record for record in open_records if record.phase is not Phase.WAITING]
    if not begun:
        chosen = min(open_records, key=lambda record: record.attempt)
        return [attrs.evolve(chosen, expires=expires)]
    is_one = len({record.attempt for record in begun}) == 1
    is_known = is_one and all(record.phase is Phase.RUNNING for record in begun)
    phase = Phase.RUNNING if is_known else Phase.UNCERTAIN
    return [attrs.evolve(begun[0], phase=phase, expires=expires)]
