"""Model of orders to one endpoint that ignores fencing numbers, for the model checker.

Explanation
===========
Leader A has a lease and may renew it until B is elected, which can happen at any time. Time
advances in ticks. A reads the clock and writes an order at most `GAP` ticks later, unless the
process was paused in between; after a pause it reads the clock again. An order in
flight arrives at any tick within its life or is lost. B waits for the length of the old lease plus
the life of an order. The invariant is that the endpoint never carries out an order of A after one
of B.

A state holds, in ticks: the rest of A's lease (``a_lease``), the time since A read the clock
(``a_gap``), the rest of B's wait (``b_quiet``), and the rest of the life of each leader's order in
flight (``a_flight``, ``b_flight``). `NONE` stands for no reading, wait or order.
``last_fence`` is 1 or 2 if the endpoint's last order was one of A or B, and 0 without an order. The
other fields are flags.

`make_transitions` can leave out one of the rules, so that a test can show that the checker finds
each fault that the rules prevent.
"""

from __future__ import annotations

from collections.abc import Callable

LEASE = 6
LIFE = 4
GAP = 1
NONE = -1

FIELDS = (
    "a_lease",
    "a_gap",
    "a_paused",
    "a_flight",
    "b_elected",
    "b_quiet",
    "b_flight",
    "last_fence",
    "is_reordered",
)
INITIAL = (LEASE, NONE, 0, NONE, 0, NONE, NONE, 0, 0)

# Rules that can be left out: the margin before the lease ends, the new reading of the clock after a
# pause, B's whole wait, and the life of an order within that wait.
NO_MARGIN = "no_margin"
NO_CHECK_AFTER_PAUSE = "no_check_after_pause"
NO_WAIT = "no_wait"
NO_LIFE_IN_WAIT = "no_life_in_wait"
FAULTS = (NO_MARGIN, NO_CHECK_AFTER_PAUSE, NO_WAIT, NO_LIFE_IN_WAIT)

State = tuple[int, ...]
Step = tuple[str, State]


def make_transitions(fault: str = "") -> Callable[[State], list[Step]]:
    """Return the model's transition function, without the rule that ``fault`` names, if any."""

    def transitions(state: State) -> list[Step]:
        values = dict(zip(FIELDS, state, strict=True))
        steps = [
            *_time_steps(values, fault),
            *_leader_a_steps(values, fault),
            *_leader_b_steps(values, fault),
            *_endpoint_steps(values),
        ]
        return [(name, tuple(after[field] for field in FIELDS)) for name, after in steps]

    return transitions


def _time_steps(values: dict[str, int], fault: str) -> list[tuple[str, dict[str, int]]]:
    after = dict(values)
    after["a_lease"] = max(0, values["a_lease"] - 1)
    after["b_quiet"] = max(0, values["b_quiet"] - 1) if values["b_quiet"] != NONE else NONE
    for flight in ("a_flight", "b_flight"):
        # An order whose life has ended is lost, since the transport has closed the connection.
        after[flight] = values[flight] - 1 if values[flight] != NONE else NONE
    if values["a_gap"] != NONE and not values["a_paused"]:
        after["a_gap"] = values["a_gap"] + 1 if values["a_gap"] < GAP else NONE
    return [("tick", after)]


def _leader_a_steps(values: dict[str, int], fault: str) -> list[tuple[str, dict[str, int]]]:
    steps = []
    if values["a_paused"]:
        gap = values["a_gap"] if fault == NO_CHECK_AFTER_PAUSE else NONE
        return [("a_resume", {**values, "a_paused": 0, "a_gap": gap})]
    steps.append(("a_pause", {**values, "a_paused": 1}))
    if not values["b_elected"]:
        steps.append(("a_renew", {**values, "a_lease": LEASE}))
    margin = 0 if fault == NO_MARGIN else GAP
    if values["a_lease"] > margin:
        steps.append(("a_read_clock", {**values, "a_gap": 0}))
    if values["a_gap"] != NONE and values["a_flight"] == NONE:
        steps.append(("a_write", {**values, "a_gap": NONE, "a_flight": LIFE}))
    return steps


def _leader_b_steps(values: dict[str, int], fault: str) -> list[tuple[str, dict[str, int]]]:
    steps = []
    if not values["b_elected"]:
        wait = {NO_WAIT: 0, NO_LIFE_IN_WAIT: LEASE}.get(fault, LEASE + LIFE)
        steps.append(("b_elect", {**values, "b_elected": 1, "b_quiet": wait}))
    if values["b_quiet"] == 0 and values["b_flight"] == NONE:
        steps.append(("b_write", {**values, "b_flight": LIFE}))
    return steps


def _endpoint_steps(values: dict[str, int]) -> list[tuple[str, dict[str, int]]]:
    steps = []
    if values["a_flight"] != NONE:
        is_reordered = int(values["last_fence"] == 2)
        after = {"a_flight": NONE, "last_fence": 1, "is_reordered": is_reordered}
        steps.append(("a_arrives", {**values, **after}))
    if values["b_flight"] != NONE:
        steps.append(("b_arrives", {**values, "b_flight": NONE, "last_fence": 2}))
    return steps


def is_ordered(values: dict[str, int]) -> bool:
    """Return whether no order of A was carried out after one of B."""
    return not values["is_reordered"]
