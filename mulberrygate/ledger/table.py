"""Records of one shard at one replica under one view."""

from __future__ import annotations

import sys

import attrs

from mulberrygate.core.invariant import invariant
from mulberrygate.ledger.codes import SEALED_CHANGED, SECOND_BEGIN, TWO_RUNS
from mulberrygate.ledger.keys import MAX_CLOCK_SKEW_S, minted_at
from mulberrygate.ledger.messages import (
    ANSWER_RETENTION_S,
    MAX_ANSWER_BYTES,
    NO_ATTEMPT,
    NOT_RUN,
    RETENTION_S,
    Absent,
    Accepted,
    Attempt,
    Begin,
    Claim,
    Conflict,
    CopyPart,
    CopyShard,
    Existing,
    Finish,
    Lookup,
    Phase,
    Record,
    Release,
    Withdrawn,
)
from mulberrygate.ledger.views import View

# Messages of a released attempt that are still in transit are refused for this long. They carry the
# number of their view, so released attempts need not be copied to the next view.
RELEASED_RETENTION_S = 120.0
# Beyond this total size the oldest answers of a table are dropped. With 1.6 shards per instance
# this stays below a tenth of the memory that control may use.
MAX_TABLE_ANSWER_BYTES = 12 * 1024 * 1024
# Parts of a copy are small, so that encoding one does not delay answers that are being streamed.
PART_TARGET_BYTES = 64 * 1024
# Estimate of the encoded size of a record without its answer.
RECORD_ESTIMATE_BYTES = 200


class Table:
    """Records of a shard under one view.

    Explanation
    ===========
    ``records``, ``answers`` and ``released`` are ordered by expiry. Every change moves a record to
    the end, and all items of one dictionary have the same lifetime. Times of expiry are monotonic.

    Parameters
    ==========
    view : View
    """

    def __init__(self, view: View):
        self.view = view
        self.is_sealed = False
        self.snapshot: list[Record] = []
        self.records: dict[str, Record] = {}
        self.answers: dict[str, tuple[bytes, float]] = {}
        self.answer_bytes = 0
        self.released: dict[Attempt, float] = {}

    def load(self, record: Record, now: float) -> None:
        """Add a record from a copy, whose ``expires`` is the number of seconds left."""
        self.records[record.key] = Record(
            record.key,
            record.fingerprint,
            record.attempt,
            record.phase,
            sys.intern(record.endpoint),
            sys.intern(record.address),
            sys.intern(record.outcome),
            expires=now + record.expires,
        )
        age = RETENTION_S - record.expires
        if record.answer and age < ANSWER_RETENTION_S:
            self._keep_answer(record.key, record.answer, now + ANSWER_RETENTION_S - age)

    def claim(self, step: Claim, now: float, wall_s: float):
        """Accept a claim if the key is free or may be taken over."""
        if step.attempt in self.released:
            return Withdrawn()
        record = self.records.get(step.key)
        if record is None:
            if self.may_have_been_lost(step.key, wall_s):
                return Existing(self._uncertain_record(step.key))
            self._store(_waiting_record(step), now)
            return Accepted()
        if record.fingerprint != step.fingerprint:
            return Conflict(self._to_message(record, now))
        if record.attempt == step.attempt and record.phase in (Phase.WAITING, Phase.RUNNING):
            return Accepted()
        if record.phase is Phase.WAITING and record.attempt == step.replaces:
            self.released[record.attempt] = now + RELEASED_RETENTION_S
            self._store(_waiting_record(step), now)
            return Accepted()
        return Existing(self._to_message(record, now))

    def begin(self, step: Begin, now: float, wall_s: float):
        """Accept the begin of an attempt unless another attempt owns the key.

        Explanation
        ===========
        An attempt whose endpoint refused the connection begins again with another endpoint. No byte
        was sent under its earlier begin, so only the endpoint of the record changes.
        """
        if step.attempt in self.released:
            return Withdrawn()
        record = self.records.get(step.key)
        if record is None and self.may_have_been_lost(step.key, wall_s):
            return Existing(self._uncertain_record(step.key))
        if record is not None and record.attempt != step.attempt:
            return Existing(self._to_message(record, now))
        is_elsewhere = record is not None and record.endpoint != step.endpoint
        if (
            record is None
            or record.phase is Phase.WAITING
            or (record.phase is Phase.RUNNING and is_elsewhere)
        ):
            self._store(
                Record(
                    step.key,
                    step.fingerprint,
                    step.attempt,
                    Phase.RUNNING,
                    sys.intern(step.endpoint),
                    sys.intern(step.address),
                ),
                now,
            )
            return Accepted()
        return Accepted() if record.phase is Phase.RUNNING else Existing(record)

    def finish(self, step: Finish, now: float, wall_s: float):
        """Record an outcome; the attempt was dispatched, so no other attempt can have been."""
        record = self.records.get(step.key)
        if record is not None and record.has_run():
            invariant(record.attempt == step.attempt, TWO_RUNS, f"{record.attempt}, {step.attempt}")
            return Accepted()
        is_same = record is not None and record.attempt == step.attempt
        self._store(
            Record(
                step.key,
                step.fingerprint,
                step.attempt,
                Phase.FINISHED,
                record.endpoint if is_same else "",
                record.address if is_same else "",
                sys.intern(step.outcome),
            ),
            now,
        )
        if step.answer and len(step.answer) <= MAX_ANSWER_BYTES:
            self._keep_answer(step.key, step.answer, now + ANSWER_RETENTION_S)
        return Accepted()

    def release(self, step: Release, now: float, wall_s: float):
        """Remove the record of a waiting attempt; keep one that has begun, as ``not_run``.

        Explanation
        ===========
        A record that has begun must stay, because rule 1 allows no other attempt to begin.
        """
        invariant(not self.is_sealed, SEALED_CHANGED, step.key)
        self.released[step.attempt] = now + RELEASED_RETENTION_S
        record = self.records.get(step.key)
        if record is not None and record.attempt == step.attempt:
            if record.phase is Phase.WAITING:
                del self.records[step.key]
            elif record.phase is Phase.RUNNING:
                self._store(attrs.evolve(record, phase=Phase.FINISHED, outcome=NOT_RUN), now)
        return Accepted()

    def lookup(self, step: Lookup, now: float, wall_s: float):
        """Return the record of a key."""
        record = self.records.get(step.key)
        if record is not None:
            return Existing(self._to_message(record, now))
        if self.may_have_been_lost(step.key, wall_s):
            return Existing(self._uncertain_record(step.key))
        return Absent()

    def may_have_been_lost(self, key: str, wall_s: float) -> bool:
        """Return whether a key without a record may have had one that was lost with a majority."""
        lost_at = self.view.lost_at
        if not lost_at or wall_s >= lost_at + RETENTION_S + MAX_CLOCK_SKEW_S:
            return False
        return minted_at(key, wall_s) <= lost_at + MAX_CLOCK_SKEW_S

    def _uncertain_record(self, key: str) -> Record:
        return Record(key, b"", NO_ATTEMPT, Phase.UNCERTAIN)

    def _to_message(self, record: Record, now: float) -> Record:
        answer = self.answers.get(record.key, (b"", 0.0))[0]
        return Record(
            record.key,
            record.fingerprint,
            record.attempt,
            record.phase,
            record.endpoint,
            record.address,
            record.outcome,
            answer,
            max(0.0, record.expires - now),
        )

    def _store(self, record: Record, now: float) -> None:
        invariant(not self.is_sealed, SEALED_CHANGED, record.key)
        old = self.records.get(record.key)
        if old is not None and record.phase is Phase.RUNNING:
            is_open = old.phase in (Phase.WAITING, Phase.RUNNING)
            may_begin = is_open and old.attempt == record.attempt
            invariant(may_begin, SECOND_BEGIN, f"{old.attempt}, {record.attempt}")
        self.records.pop(record.key, None)
        self.records[record.key] = attrs.evolve(record, expires=now + RETENTION_S)

    def _keep_answer(self, key: str, answer: bytes, expires: float) -> None:
        self._drop_answer(key)
        self.answers[key] = (answer, expires)
        self.answer_bytes += len(answer)
        while self.answer_bytes > MAX_TABLE_ANSWER_BYTES:
            self._drop_answer(next(iter(self.answers)))

    def _drop_answer(self, key: str) -> None:
        answer, _ = self.answers.pop(key, (b"", 0.0))
        self.answer_bytes -= len(answer)

    def seal(self) -> None:
        """Refuse every later step and keep a snapshot of the records for copies."""
        if not self.is_sealed:
            self.is_sealed = True
            self.snapshot = list(self.records.values())

    def part(self, request: CopyShard, now: float) -> CopyPart:
        """Return the part of the sealed table that starts at a position."""
        records: list[Record] = []
        size, position = 0, request.position
        while position < len(self.snapshot) and size < PART_TARGET_BYTES:
            record = self._to_message(self.snapshot[position], now)
            records.append(record)
            size += RECORD_ESTIMATE_BYTES + len(record.answer)
            position += 1
        following = position if position < len(self.snapshot) else -1
        return CopyPart(
            request.shard, request.base, request.view, request.position, following, tuple(records)
        )

    def expire(self, now: float) -> None:
        """Drop expired records, answers and released attempts; a sealed table is not changed."""
        if self.is_sealed:
            return
        for key in _expired_keys(self.records, now, lambda record: record.expires):
            del self.records[key]
            self._drop_answer(key)
        for key in _expired_keys(self.answers, now, lambda answer: answer[1]):
            self._drop_answer(key)
        for attempt in _expired_keys(self.released, now, lambda expires: expires):
            del self.released[attempt]


def _waiting_record(step: Claim) -> Record:
    return Record(step.key, step.fingerprint, step.attempt, Phase.WAITING)


def _expired_keys(entries: dict, now: float, expires_of) -> list:
    due = []
    for key, entry in entries.items():
        if expires_of(entry) > now:
            break
        due.append(key)
    return due
