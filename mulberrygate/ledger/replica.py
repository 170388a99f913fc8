"""Replica of ledger shards, with the rules by which each key runs at most once.

Explanation
===========
The guarantee depends on these rules, listed with the code that enforces them:

1. *One begin.* A replica accepts ``Begin`` from only one attempt of a key (`Table.begin`,
   invariant 9301). A record that has begun can only become ``finished`` or ``uncertain``, and
   neither state lets another attempt begin.
2. *One view.* A request is sent to an endpoint only after a majority of the replicas of one active
   view has accepted ``Begin`` under this view. Acceptances under different views are never added
   up (`Tally`). Two majorities of one view share a replica, so by rule 1 only one attempt can win
   within a view.
3. *Seal, then copy.* From the moment at which a replica sends the first part of a copy of a view,
   it refuses every step under that view. Every step that it accepted before is in the copy. A seal
   is never lifted.
4. *Sealed majority.* A copy is complete when it covers a sealed majority of the last *active* view,
   and the new view becomes active when all its replicas have reported complete copies. Each begin
   that a majority of the old view accepted is therefore known to every replica of the new one. A
   begin that only a minority accepted may or may not be in a copy; it can't reach a majority of the
   sealed view any more, and in the new view rule 1 applies again.
5. *Serve only complete copies.* A replica answers steps of the view whose copy it has completed.
   It need not know that the view is active: coordinators use active views only, so a step under
   the view shows that it is active. A replica that knows of a newer active view has dropped the old
   table and refuses; a coordinator with an old view waits for the new configuration.
6. *Incarnations.* A view names replicas with their incarnations. A restarted instance has no
   records, belongs to no view of its former incarnation and serves no step and no copy under it.
7. *Next number, same base.* When a replica of a view in preparation is lost, the next number is
   prepared from the same active view. Sealed tables are kept until a newer view is active, and a
   copy for a number that is no longer in preparation is dropped.
8. *Conflicts.* Two begins of one key in a merge make the key ``uncertain``: nobody may begin, and
   the answer is ``unknown``. The outcome of an attempt that has run takes precedence over begins
   of other attempts.
9. *Lost majority.* A view that follows the loss of a majority has ``lost_at``. Until retention has
   ended, a key without a record is ``uncertain`` if it may have been used before the loss; minted
   keys contain the time that decides this. Records that survive at a minority become ``uncertain``
   unless they have finished.
10. *Age.* Records expire `RETENTION_S` (3,600 s) after their last change, answers after 600 s. A
    re-send of a key after its record has expired runs again. A begin is therefore valid for only
    60 s at its entry (`Begun.dispatch_before`), so that an entry that was suspended does not
    dispatch after its records have expired.

A claim is advisory: it tells re-sends that an attempt waits, and at which entry. An attempt whose
claim is lost or taken over may fail to begin, but the guarantee does not depend on claims.
"""

from __future__ import annotations

from typing import Any

import attrs

from mulberrygate.core.effects import Effect, Reply, Send
from mulberrygate.ledger.copying import CopyJob
from mulberrygate.ledger.messages import (
    Begin,
    Claim,
    CopyPart,
    CopyReport,
    CopyShard,
    Finish,
    Lookup,
    MergeStep,
    NotServing,
    Release,
)
from mulberrygate.ledger.table import Table
from mulberrygate.ledger.views import ReplicaId, Shard, View

# A completed copy is reported at this interval until the view is active, since reports may be lost.
REPORT_INTERVAL_S = 2.0

STEP_METHODS = {
    Claim: "claim",
    Begin: "begin",
    Finish: "finish",
    Release: "release",
    Lookup: "lookup",
}


@attrs.frozen
class SendCopyReport(Effect):
    """Effect: send a `CopyReport` to the leader of the control group; the message may be lost."""

    report: CopyReport


@attrs.define
class ShardState:
    """State of one shard at this replica.

    Parameters
    ==========
    active, preparing : int
        Newest known numbers of the active view and of the view in preparation, 0 for none.
    tables : dict[int, Table]
        Complete tables by view number.
    copy_job : CopyJob or None
        Copy in progress for the view in preparation.
    reported_at : float
        Monotonic time of the last report of a complete copy.
    """

    active: int = 0
    preparing: int = 0
    tables: dict[int, Table] = attrs.Factory(dict)
    copy_job: CopyJob | None = None
    reported_at: float = 0.0


class Replica:
    """Serves all shards of which this instance is a replica.

    Parameters
    ==========
    instance : str
    incarnation : int
    wall_at_zero : float
        Unix time in seconds at which the monotonic clock was 0; the daemon may correct it.

    See Also
    ========
    mulberrygate.ledger.coordinator.Coordinator
    """

    def __init__(self, instance: str, incarnation: int, wall_at_zero: float = 0.0):
        self.id = ReplicaId(instance, incarnation)
        self.wall_at_zero = wall_at_zero
        self.shards: dict[str, ShardState] = {}

    def handle(self, message: Any, sender: str, now: float) -> list[Effect]:
        """Handle a step of an attempt, a lookup or a message of a copy."""
        if isinstance(message, CopyShard):
            return self._serve_copy(message, sender, now)
        if isinstance(message, CopyPart):
            return self._receive_part(message, sender, now)
        state = self.shards.get(message.shard)
        if isinstance(message, MergeStep):
            is_current = state is not None and state.preparing == message.view
            return self._advance_copy(message.shard, state, now) if is_current else []
        table = state.tables.get(message.view) if state is not None else None
        if table is None or table.is_sealed:
            return [Reply(NotServing(_newest_served_view(state)))]
        step = getattr(table, STEP_METHODS[type(message)])
        return [Reply(step(message, now, self.wall_at_zero + now))]

    def install(self, shards: dict[str, Shard], now: float) -> list[Effect]:
        """Apply the shards of a configuration: start copies and drop tables of old views."""
        effects: list[Effect] = []
        for name, shard in shards.items():
            is_member = self._is_replica_of(shard.active) or self._is_replica_of(shard.preparing)
            if is_member or name in self.shards:
                effects += self._install(name, shard, now)
        return effects

    def _install(self, name: str, shard: Shard, now: float) -> list[Effect]:
        state = self.shards.setdefault(name, ShardState())
        active = shard.active.number if shard.active else 0
        preparing = shard.preparing.number if shard.preparing else 0
        known = (max(state.active, state.preparing), state.active)
        if (max(active, preparing), active) < known:
            return []
        state.active, state.preparing = active, preparing
        for number in [n for n in state.tables if n < active or n not in (active, preparing)]:
            del state.tables[number]
        if state.copy_job is not None and state.copy_job.view.number != preparing:
            state.copy_job = None
        if (
            self._is_replica_of(shard.preparing)
            and state.copy_job is None
            and preparing not in state.tables
        ):
            return self._start_copy(name, state, shard, now)
        if (
            not state.tables
            and not self._is_replica_of(shard.active)
            and not self._is_replica_of(shard.preparing)
        ):
            del self.shards[name]
        return []

    def _is_replica_of(self, view: View | None) -> bool:
        return view is not None and self.id in view.replicas

    def _start_copy(self, name: str, state: ShardState, shard: Shard, now: float) -> list[Effect]:
        if shard.active is None:
            state.tables[shard.preparing.number] = Table(shard.preparing)
            return self._report_copy(name, state, now)
        state.copy_job = CopyJob(name, shard.active, shard.preparing, now)
        return state.copy_job.start(self.id.instance)

    def _serve_copy(self, request: CopyShard, sender: str, now: float) -> list[Effect]:
        state = self.shards.get(request.shard)
        table = state.tables.get(request.base) if state is not None else None
        if table is None or request.view <= request.base:
            return []
        table.seal()
        return [Send(sender, table.part(request, now))]

    def _receive_part(self, part: CopyPart, sender: str, now: float) -> list[Effect]:
        state = self.shards.get(part.shard)
        if state is None or state.copy_job is None:
            return []
        return state.copy_job.receive(part, sender, now) + self._advance_copy(
            part.shard, state, now
        )

    def _advance_copy(self, name: str, state: ShardState, now: float) -> list[Effect]:
        if state.copy_job is None or not state.copy_job.is_complete(now):
            return []
        if not state.copy_job.merge_batch(now):
            return [Send(self.id.instance, MergeStep(name, state.preparing))]
        state.tables[state.preparing] = state.copy_job.table
        state.copy_job = None
        return self._report_copy(name, state, now)

    def _report_copy(self, name: str, state: ShardState, now: float) -> list[Effect]:
        state.reported_at = now
        return [SendCopyReport(CopyReport(name, state.preparing, self.id))]

    def tick(self, now: float) -> list[Effect]:
        """Request overdue parts again, repeat reports and expire records."""
        effects: list[Effect] = []
        for name, state in self.shards.items():
            for table in state.tables.values():
                table.expire(now)
            if state.copy_job is not None:
                effects += state.copy_job.retry(now) + self._advance_copy(name, state, now)
            elif state.preparing in state.tables and now >= state.reported_at + REPORT_INTERVAL_S:
                effects += self._report_copy(name, state, now)
        return effects


def _newest_served_view(state: ShardState | None) -> int:
    if state is None:
        return 0
    return max((n for n, table in state.tables.items() if not table.is_sealed), default=0)
