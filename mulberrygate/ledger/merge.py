"""Merge of the sealed tables of several replicas into one copy."""

from __future__ import annotations

import heapq
from collections.abc import Collection, Iterator

import attrs

from mulberrygate.core.invariant import invariant
from mulberrygate.ledger.codes import TWO_RUNS
from mulberrygate.ledger.messages import Phase, Record


def merge(sources: Collection[dict[str, Record]], majority: int) -> Iterator[Record]:
    """Merge the tables of a sealed majority, or those that remain after the loss of a majority.

    Explanation
    ===========
    A begin in a single source is kept, because a majority may have accepted it together with a
    replica that is not among the sources. Two begins of one key make the key uncertain. A claim in
    fewer sources than a majority is dropped: it may remain from an attempt that was released at the
    other replicas, and an attempt that loses its claim can still begin unless the key is sent
    again. Without a majority of sources every record that has not finished becomes uncertain,
    because another attempt may have begun at the lost replicas.

    Records are yielded in the order of expiry, one at a time, so that the caller can merge in
    batches.

    Parameters
    ==========
    sources : Collection[dict[str, Record]]
        Tables in the order of expiry.
    majority : int
        Number of replicas that form a majority of the view that is copied.
    """
    is_lost = len(sources) < majority
    seen: set[str] = set()
    in_order = heapq.merge(*(s.values() for s in sources), key=lambda record: record.expires)
    for first in in_order:
        if first.key in seen:
            continue
        seen.add(first.key)
        records = [source[first.key] for source in sources if first.key in source]
        yield from _merge_key(records, majority, is_lost)


def _merge_key(records: list[Record], majority: int, is_lost: bool) -> list[Record]:
    if len(records) == 1 and not is_lost and records[0].phase is Phase.RUNNING:
        return records
    expires = max(record.expires for record in records)
    finished = [record for record in records if record.has_run()]
    if finished:
        attempts = {record.attempt for record in finished}
        invariant(len(attempts) == 1, TWO_RUNS, f"{sorted(attempts)}")
        chosen = max(finished, key=lambda record: len(record.answer))
        return [attrs.evolve(chosen, expires=expires)]
    # An attempt that its entry released has not run, so other replicas' records of it are stale.
    given_up = {record.attempt for record in records if record.phase is Phase.FINISHED}
    open_records = [record for record in records if record.attempt not in given_up]
    if is_lost:
        chosen = (open_records or records)[0]
        return [attrs.evolve(chosen, phase=Phase.UNCERTAIN, outcome="", expires=expires)]
    if not open_records:
        return []
    begun = [record for record in open_records if record.phase is not Phase.WAITING]
    if not begun:
        attempts = [record.attempt for record in open_records]
        is_claimed = len(attempts) >= majority and len(set(attempts)) == 1
        return [attrs.evolve(open_records[0], expires=expires)] if is_claimed else []
    is_one = len({record.attempt for record in begun}) == 1
    is_known = is_one and all(record.phase is Phase.RUNNING for record in begun)
    phase = Phase.RUNNING if is_known else Phase.UNCERTAIN
    return [attrs.evolve(begun[0], phase=phase, expires=expires)]
