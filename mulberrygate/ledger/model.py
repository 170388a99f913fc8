"""Model of claims, begins, view changes and replica losses for exhaustive search.

Explanation
===========
The model has one key, two attempts, replicas 0 to 2 in the first view and one spare replica for
each further view. Messages may be delayed, lost, repeated or reordered: each step is possible at
any time at which its receiver would accept it, under every view that is or was active, which covers
coordinators with old views. An attempt may be dispatched once a majority of one view has accepted
its begin, whether or not these replicas have been sealed or lost since.

A view change may replace any replica, and no step has to be taken. Since a lost replica is one that
takes no further steps, a search without losses includes the runs in which a replaced replica is
lost.

A copied begin counts as accepted, since the replica would accept the begin of that attempt again.
The model thus allows more dispatches than the program.

Records are encoded as ``-`` not copied yet, ``.`` none, ``w1 w2`` waiting attempt 1 or 2, ``r1 r2``
begun attempt 1 or 2, ``u`` uncertain.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import combinations

import attrs
from minicheck import Protocol, check_safety

FIELDS = ("views", "alive", "dispatched")
ATTEMPTS = ("1", "2")
NO_COPY, NONE, UNCERTAIN = "-", ".", "u"
MIRROR = {"1": "2", "2": "1", "r1": "r2", "r2": "r1", "w1": "w2", "w2": "w1"}
MIRROR |= {record: record for record in (NO_COPY, NONE, UNCERTAIN)}
FAULTS = ("copy_unsealed", "copy_from_one", "begin_any", "drop_single_begin", "add_views")


@attrs.frozen(order=True)
class ModelView:
    """View in the model: its replicas, and the record and seal of each."""

    replicas: tuple[int, ...]
    records: tuple[str, ...]
    sealed: tuple[bool, ...] = (False, False, False)
    is_active: bool = False


@attrs.frozen
class Model:
    """Bounds and seeded fault of a search.

    Parameters
    ==========
    changes : int
        Maximum number of view changes.
    losses : int
        Maximum number of replicas that are lost.
    has_claims : bool
        Whether attempts claim the key and take over claims; if false they only begin.
    fault : str
        One of `FAULTS`, or empty.
    """

    max_view_changes: int = 1
    max_losses: int = 1
    has_claims: bool = True
    fault: str = ""

    def protocol(self) -> Protocol:
        """Return the model for the checker."""
        first = ModelView((0, 1, 2), (NONE,) * 3, is_active=True)
        alive = tuple(True for _ in range(3 + self.max_view_changes))
        return Protocol(
            name="ledger",
            candidate=False,
            fields=FIELDS,
            initial=((first,), alive, ()),
            transitions=lambda state: [(name, _canonical(s)) for name, s in self.steps(state)],
            invariants={"one_dispatch": lambda values: len(values["dispatched"]) <= 1},
        )

    def check(self, max_states: int = 3_000_000) -> dict:
        """Search all reachable states and return the checker's result."""
        return check_safety(self.protocol(), max_states=max_states)

    def steps(self, state: tuple) -> Iterator[tuple[str, tuple]]:
        """Yield the label and next state of every possible step."""
        views, alive, dispatched = state
        yield from self._dispatches(state)
        for number, view in enumerate(views):
            if view.is_active:
                for label, changed in self._requests(view, alive):
                    yield f"{label} in view {number}", (
                        _replace(views, number, changed),
                        alive,
                        dispatched,
                    )
        if alive.count(False) < self.max_losses:
            for replica in range(len(alive)):
                if alive[replica]:
                    yield f"lose {replica}", (views, _replace(alive, replica, False), dispatched)
        for label, changed in self._view_changes(views, alive):
            yield label, (changed, alive, dispatched)

    def _dispatches(self, state: tuple) -> Iterator[tuple[str, tuple]]:
        views, alive, dispatched = state
        for attempt in ATTEMPTS:
            begun = [view.records.count(f"r{attempt}") for view in views if view.is_active]
            if self.fault == "add_views":
                begun = [sum(begun)]
            if attempt not in dispatched and max(begun) >= 2:
                done = tuple(sorted((*dispatched, attempt)))
                yield f"dispatch {attempt}", (views, alive, done)

    def _requests(self, view: ModelView, alive: tuple) -> Iterator[tuple[str, ModelView]]:
        for position, replica in enumerate(view.replicas):
            if not alive[replica] or view.sealed[position]:
                continue
            record = view.records[position]
            for attempt in ATTEMPTS:
                if self.has_claims and record in (NONE, *_waiting_others(attempt)):
                    yield f"claim {attempt} at {replica}", _with_record(
                        view, position, f"w{attempt}"
                    )
                may_begin = record in (NONE, f"w{attempt}") or self.fault == "begin_any"
                if may_begin and record not in (NO_COPY, f"r{attempt}"):
                    yield f"begin {attempt} at {replica}", _with_record(
                        view, position, f"r{attempt}"
                    )

    def _view_changes(self, views: tuple, alive: tuple) -> Iterator[tuple[str, tuple]]:
        base = max(number for number, view in enumerate(views) if view.is_active)
        if len(views) <= self.max_view_changes:
            yield from self._prepare(views, base, alive)
        if base == len(views) - 1:
            return
        view = views[-1]
        for position, replica in enumerate(views[base].replicas):
            if alive[replica] and not views[base].sealed[position]:
                sealed = _replace(views[base].sealed, position, True)
                changed = attrs.evolve(views[base], sealed=sealed)
                yield f"seal {replica}", _replace(views, base, changed)
        for position, replica in enumerate(view.replicas):
            if alive[replica] and view.records[position] == NO_COPY:
                for record in self._copies(views[base], alive):
                    changed = _replace(views, len(views) - 1, _with_record(view, position, record))
                    yield f"copy {record} to {replica}", changed
        if NO_COPY not in view.records:
            active = attrs.evolve(view, is_active=True)
            yield f"activate {len(views) - 1}", _replace(views, len(views) - 1, active)

    def _prepare(self, views: tuple, base: int, alive: tuple) -> Iterator[tuple[str, tuple]]:
        """Yield new views that replace one replica of the newest view, without records yet."""
        newest = views[-1]
        spare = 2 + len(views)
        lost = [replica for replica in newest.replicas if not alive[replica]]
        # The first replicas are interchangeable until one is lost, so one choice is enough.
        choices = lost or (newest.replicas if len(views) > 1 else newest.replicas[-1:])
        for replaced in choices:
            replicas = tuple(spare if m == replaced else m for m in newest.replicas)
            prepared = ModelView(replicas, (NO_COPY,) * 3)
            yield f"prepare {len(views)} without {replaced}", (*views, prepared)

    def _copies(self, base: ModelView, alive: tuple) -> set[str]:
        """Return the possible results of copies from any sealed majority of the base view."""
        places = [
            position
            for position, replica in enumerate(base.replicas)
            if alive[replica] and (base.sealed[position] or self.fault == "copy_unsealed")
        ]
        size = 1 if self.fault == "copy_from_one" else 2
        sets = [c for count in (size, 3) for c in combinations(places, count)]
        return {self._merge([base.records[position] for position in chosen]) for chosen in sets}

    def _merge(self, records: list[str]) -> str:
        begun = [record for record in records if record[0] in "ru"]
        if self.fault == "drop_single_begin" and len(begun) == 1:
            begun = []
        if begun:
            return begun[0] if len(set(begun)) == 1 else UNCERTAIN
        return min((record for record in records if record[0] == "w"), default=NONE)


def _canonical(state: tuple) -> tuple:
    """Return the smaller of a state and its mirror image, since the attempts are symmetric."""
    views, alive, dispatched = state
    mirrored = tuple(
        ModelView(v.replicas, tuple(MIRROR[r] for r in v.records), v.sealed, v.is_active)
        for v in views
    )
    other = tuple(sorted(MIRROR[attempt] for attempt in dispatched))
    return min(state, (mirrored, alive, other))


def _replace(values: tuple, position: int, value: object) -> tuple:
    return (*values[:position], value, *values[position + 1 :])


def _with_record(view: ModelView, position: int, record: str) -> ModelView:
    return attrs.evolve(view, records=_replace(view.records, position, record))


def _waiting_others(attempt: str) -> tuple[str, ...]:
    return tuple(f"w{other}" for other in ATTEMPTS if other != attempt)
