"""Rules of load shedding, and the invariants that check them.

Explanation
===========
Two kinds of shedding keep guarantee P2 ("a higher tier is never shed before a lower one"):

- *Capacity*: the queue is over its limit. The victim is of the lowest waiting tier.
- *Deadline*: the request can't meet its own deadline any more, even if it alone ran on the fastest
  endpoint. Requests of lower tiers may be waiting then, because their deadlines are later; this is
  no violation, since the shed request could not have been answered in place of any of them.

In both cases no request of a lower tier may have been granted, after the shed request asked, an
endpoint where the shed request could have run at that moment. "Could have run" means: the endpoint
didn't fail the request before (unless there is no other), the shares of a version move allowed its
version for the route, the backlog justified its distance, and the request was expected to end there
before its deadline. `GrantLog` checks this at the grant and again at the shed.
"""

from __future__ import annotations

import heapq

from mulberrygate.core.invariant import invariant
from mulberrygate.schedule.choose import PREDICTION_TOLERANCE, Chooser
from mulberrygate.schedule.codes import (
    DEADLINE_SHED_EARLY,
    LOWER_TIER_ADMITTED,
    SHED_BEFORE_LOWER_TIER,
)
from mulberrygate.schedule.endpoint import LOCAL, EndpointState
from mulberrygate.schedule.fair_queue import FairQueue, WaitingRequest
from mulberrygate.schedule.precedence import Overtakes
from mulberrygate.tables.model import TIERS


class GrantLog:
    """Last grant by tier and endpoint, to check that no lower tier was preferred.

    Explanation
    ===========
    Grants that overtook late requests of upper tiers are recorded separately, since they violate
    nothing for a request that was already late. Grants to starved tiers aren't recorded, since
    these tiers go before all others.
    """

    def __init__(self, tiers: int = TIERS):
        self.tiers = tiers
        self.last_grants: list[dict[str, int]] = [{} for _ in range(tiers)]
        self.overtaking_grants: list[dict[str, int]] = [{} for _ in range(tiers)]
        # Number of the newest recorded grant, by tier.
        self.last_sequence = [0] * tiers

    def add(self, tier: int, endpoint: str, sequence: int, overtakes: Overtakes) -> None:
        """Record a grant, except one to a starved tier, which may go before all others."""
        if overtakes is Overtakes.ALL:
            return
        grants = self.overtaking_grants if overtakes is Overtakes.LATE else self.last_grants
        grants[tier][endpoint] = sequence
        self.last_sequence[tier] = sequence

    def check_grant(
        self,
        skipped: list[WaitingRequest],
        state: EndpointState,
        sequence: int,
        chooser: Chooser,
        now: float,
    ) -> None:
        """Check that no skipped request of an upper tier could have been granted the endpoint."""
        for waiting in skipped:
            invariant(
                not chooser.could_run(waiting, state, now),
                LOWER_TIER_ADMITTED,
                f"{waiting.ticket.request} could run at {state.name}",
            )
            if waiting.unusable_endpoints is None:
                waiting.unusable_endpoints = {}
            waiting.unusable_endpoints[state.name] = sequence

    def check_shed(self, waiting: WaitingRequest) -> None:
        """Check that no lower tier was granted an endpoint since the request asked."""
        unusable_endpoints = waiting.unusable_endpoints or {}
        for tier in range(waiting.ticket.tier + 1, self.tiers):
            if self.last_sequence[tier] < waiting.sequence:
                continue
            overtaking = self.overtaking_grants[tier].items()
            grants = [
                *self.last_grants[tier].items(),
                *(g for g in overtaking if g[1] < waiting.late_since),
            ]
            for name, sequence in grants:
                invariant(
                    sequence < waiting.sequence or unusable_endpoints.get(name, -1) >= sequence,
                    LOWER_TIER_ADMITTED,
                    f"tier {tier} was granted {name} while {waiting.ticket.request} waited",
                )

    def forget(self, endpoint: str) -> None:
        """Forget an endpoint that is gone."""
        for grants in (*self.last_grants, *self.overtaking_grants):
            grants.pop(endpoint, None)


class LatestStartQueue:
    """Waiting requests ordered by the latest time at which they can start.

    Parameters
    ==========
    prefill_s, decode_s : float
        Smallest seconds per token of the usable endpoints, local ones if there are any, at their
        present load.
    uses_predictions : bool
        Whether a request is shed as soon as its predicted run doesn't fit its deadline. Without it
        a request is kept until its caller leaves, for callers that can't estimate its length.
    """

    def __init__(self, uses_predictions: bool = True):
        self.uses_predictions = uses_predictions
        self.heap: list[tuple[float, int, WaitingRequest]] = []
        self.prefill_s = 0.0
        self.decode_s = 0.0

    def update_speed(self, states: list[EndpointState]) -> None:
        """Update the smallest seconds per token, from local endpoints if there are any."""
        usable = [state for state in states if state.slots > 0]
        usable = [state for state in usable if state.distance == LOCAL] or usable
        self.prefill_s = min((state.prefill_s for state in usable), default=0.0)
        self.decode_s = min(
            (
                state.decode_s + state.slope_s * min(state.used, state.view.slots - 1)
                for state in usable
            ),
            default=0.0,
        )

    def least_run_s(self, waiting: WaitingRequest, cached: float) -> float:
        """Return the least predicted seconds of a request, if nothing else ran before it."""
        prompt = max(waiting.ticket.prompt_tokens - cached, 1.0)
        return PREDICTION_TOLERANCE * (prompt * self.prefill_s + waiting.output * self.decode_s)

    def latest_start(self, waiting: WaitingRequest, cached: float) -> float:
        """Return the latest time at which the request can start."""
        least_run_s = self.least_run_s(waiting, cached) if self.uses_predictions else 0.0
        return min(waiting.start_by, waiting.deadline - least_run_s)

    def add(self, waiting: WaitingRequest, cached: float) -> None:
        """Add a request at its latest start."""
        entry = (self.latest_start(waiting, cached), waiting.sequence, waiting)
        heapq.heappush(self.heap, entry)

    def is_due(self, now: float) -> bool:
        """Return whether the latest start of some request has passed."""
        return bool(self.heap) and self.heap[0][0] < now

    def pop_due(self, now: float) -> list[WaitingRequest]:
        """Remove and return the waiting requests whose latest start has passed."""
        due = []
        while self.heap and (self.heap[0][0] < now or self.heap[0][2].is_removed):
            waiting = heapq.heappop(self.heap)[2]
            if not waiting.is_removed:
                due.append(waiting)
        return due

    def compact(self, waiting: int) -> None:
        """Drop the requests that don't wait any more if they are more than those that do."""
        if len(self.heap) > 2 * waiting + 64:
            self.heap = [entry for entry in self.heap if not entry[2].is_removed]
            heapq.heapify(self.heap)


def check_capacity_shed(queue: FairQueue, waiting: WaitingRequest, grant_log: GrantLog) -> None:
    """Check a shed for capacity: no request of a lower tier waits or was admitted instead."""
    lower = sum(tier.count for tier in queue.tiers[waiting.ticket.tier + 1 :])
    invariant(
        lower == 0,
        SHED_BEFORE_LOWER_TIER,
        f"{waiting.ticket.request} of tier {waiting.ticket.tier} while {lower} of lower tiers wait",
    )
    grant_log.check_shed(waiting)


def check_deadline_shed(
    latest_starts: LatestStartQueue,
    waiting: WaitingRequest,
    cached: float,
    grant_log: GrantLog,
    now: float,
) -> None:
    """Check a shed for the deadline: it can't be met, and no lower tier was preferred."""
    invariant(
        now >= latest_starts.latest_start(waiting, cached),
        DEADLINE_SHED_EARLY,
        f"{waiting.ticket.request} could start until "
        f"{latest_starts.latest_start(waiting, cached):.3f}",
    )
    grant_log.check_shed(waiting)
