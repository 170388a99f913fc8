"""Copy of a shard's records from the replicas of its last active view into a new view."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice

import attrs

from mulberrygate.core.effects import Effect, Send
from mulberrygate.core.invariant import invariant
from mulberrygate.ledger.codes import COPY_TOO_SMALL
from mulberrygate.ledger.merge import merge
from mulberrygate.ledger.messages import CopyPart, CopyShard, Record
from mulberrygate.ledger.table import Table
from mulberrygate.ledger.views import View

# If no part arrives within this time, the missing parts are requested again, also from the replicas
# that were not needed so far.
RETRY_INTERVAL_S = 0.5
# Records merged in one step. This takes a few ms, so that it does not delay answers that are being
# streamed.
MERGE_BATCH_RECORDS = 200
# After the loss of a majority, a copy is made of what the remaining replicas send within this time.
MAJORITY_LOSS_WAIT_S = 5.0


@attrs.define
class SourceProgress:
    """Records received so far from one replica of the base view, and the next position."""

    records: dict[str, Record] = attrs.Factory(dict)
    position: int = 0
    is_complete: bool = False


class CopyJob:
    """Copies the base view's records into a new view.

    Explanation
    ===========
    Each replica of the base view seals its table before it sends the first part.

    Parameters
    ==========
    shard : str
    base : View
        Last active view, which is copied.
    view : View
        View in preparation.
    now : float
    """

    def __init__(self, shard: str, base: View, view: View, now: float):
        self.shard = shard
        self.base = base
        self.view = view
        self.is_after_loss = view.lost_at > base.lost_at
        self.started_at = now
        self.last_progress_at = now
        self.sources: dict[str, SourceProgress] = {}
        self.table = Table(view)
        self.merged_records: Iterator[Record] | None = None

    def start(self, instance: str) -> list[Effect]:
        """Request the first parts from as many replicas as are needed, this instance first."""
        names = [replica.instance for replica in self.base.replicas]
        names.sort(key=lambda name: name != instance)
        return [
            self._request_part(name)
            for name in names[: None if self.is_after_loss else self.base.majority()]
        ]

    def retry(self, now: float) -> list[Effect]:
        """Request missing parts again from every replica of the base view after a stall."""
        if self.merged_records is not None or now < self.last_progress_at + RETRY_INTERVAL_S:
            return []
        self.last_progress_at = now
        names = [replica.instance for replica in self.base.replicas]
        return [
            self._request_part(name)
            for name in names
            if name not in self.sources or not self.sources[name].is_complete
        ]

    def _request_part(self, name: str) -> Send:
        source = self.sources.setdefault(name, SourceProgress())
        return Send(
            name, CopyShard(self.shard, self.base.number, self.view.number, source.position)
        )

    def receive(self, part: CopyPart, sender: str, now: float) -> list[Effect]:
        """Store a part and request the next one; unexpected and repeated parts are ignored."""
        source = self.sources.get(sender)
        is_expected = (
            source is not None
            and self.merged_records is None
            and not source.is_complete
            and (part.base, part.view) == (self.base.number, self.view.number)
            and part.position == source.position
        )
        if not is_expected:
            return []
        self.last_progress_at = now
        source.records.update((record.key, record) for record in part.records)
        if part.next < 0:
            source.is_complete = True
            return []
        source.position = part.next
        return [self._request_part(sender)]

    def is_complete(self, now: float) -> bool:
        """Return whether enough replicas have sent all their records.

        Explanation
        ===========
        A majority of the base view is enough. After the loss of a majority, all replicas are
        awaited for `MAJORITY_LOSS_WAIT_S`, and then whatever has arrived is used.
        """
        count = len(self._complete_sources())
        if self.is_after_loss:
            is_waiting = now < self.started_at + MAJORITY_LOSS_WAIT_S
            return count == len(self.base.replicas) or not is_waiting
        return count >= self.base.majority()

    def _complete_sources(self) -> list[SourceProgress]:
        return [source for source in self.sources.values() if source.is_complete]

    def merge_batch(self, now: float) -> bool:
        """Merge the next batch of records into the table; return whether the merge is complete."""
        if self.merged_records is None:
            complete = self._complete_sources()
            is_majority = len(complete) >= self.base.majority()
            invariant(
                is_majority or self.is_after_loss,
                COPY_TOO_SMALL,
                f"{self.shard} {self.view.number}",
            )
            self.merged_records = merge(
                [source.records for source in complete], self.base.majority()
            )
        count = 0
        for record in islice(self.merged_records, MERGE_BATCH_RECORDS):
            self.table.load(record, now)
            count += 1
        return count < MERGE_BATCH_RECORDS
