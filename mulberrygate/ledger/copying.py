"""Copy of a shard from the replicas of its last active view."""

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

# A part that does not arrive within this is asked for again, and the replicas that were not
# needed so far are asked too.
RETRY_S = 0.5
# Records merged in one step: a few ms, so that answers that stream meanwhile are not held up.
MERGE_RECORDS = 200
# After the loss of a majority a copy takes what the remaining replicas sent within this.
LOST_WAIT_S = 5.0


@attrs.define
class Source:
    """What a replica of the base view has sent."""

    records: dict[str, Record] = attrs.Factory(dict)
    position: int = 0
    is_complete: bool = False


class CopyJob:
    """Fill a view from the base view; the base view's replicas seal it before they answer.

    Parameters
    ==========
    shard : str
    base : View
        Last active view.
    view : View
        View that is prepared.
    now : float
    """

    def __init__(self, shard: str, base: View, view: View, now: float):
        self.shard = shard
        self.base = base
        self.view = view
        self.is_loss = view.lost_at > base.lost_at
        self.started_at = now
        self.asked_at = now
        self.sources: dict[str, Source] = {}
        self.table = Table(view)
        self.merging: Iterator[Record] | None = None

    def start(self, instance: str) -> list[Effect]:
        """Ask as many replicas as are needed, this instance first if it is one of them."""
        names = [replica.instance for replica in self.base.replicas]
        names.sort(key=lambda name: name != instance)
        return [self._ask(name) for name in names[: None if self.is_loss else self.base.majority()]]

    def retry(self, now: float) -> list[Effect]:
        """Ask every replica of the base view that has not sent everything."""
        if self.merging is not None or now < self.asked_at + RETRY_S:
            return []
        self.asked_at = now
        names = [replica.instance for replica in self.base.replicas]
        return [
            self._ask(name)
            for name in names
            if name not in self.sources or not self.sources[name].is_complete
        ]

    def _ask(self, name: str) -> Send:
        source = self.sources.setdefault(name, Source())
        return Send(
            name, CopyShard(self.shard, self.base.number, self.view.number, source.position)
        )

    def take(self, part: CopyPart, sender: str, now: float) -> list[Effect]:
        """Take a part over and ask for the next one; a repeated part changes nothing."""
        source = self.sources.get(sender)
        is_expected = (
            source is not None
            and self.merging is None
            and not source.is_complete
            and (part.base, part.view) == (self.base.number, self.view.number)
            and part.position == source.position
        )
        if not is_expected:
            return []
        self.asked_at = now
        source.records.update((record.key, record) for record in part.records)
        if part.next < 0:
            source.is_complete = True
            return []
        source.position = part.next
        return [self._ask(sender)]

    def is_complete(self, now: float) -> bool:
        """Return whether the copy covers a sealed majority of the base view."""
        count = len(self._complete())
        if self.is_loss:
            is_waiting = now < self.started_at + LOST_WAIT_S
            return count == len(self.base.replicas) or not is_waiting
        return count >= self.base.majority()

    def _complete(self) -> list[Source]:
        return [source for source in self.sources.values() if source.is_complete]

    def merge_some(self, now: float) -> bool:
        """Merge the next records into the table; return whether it is complete."""
        if self.merging is None:
            complete = self._complete()
            is_majority = len(complete) >= self.base.majority()
            invariant(
                is_majority or self.is_loss, COPY_TOO_SMALL, f"{self.shard} {self.view.number}"
            )
            self.merging = merge([source.records for source in complete], self.base.majority())
        count = 0
        for record in islice(self.merging, MERGE_RECORDS):
            self.table.load(record, now)
            count += 1
        return count < MERGE_RECORDS
