"""Part of the pool scheduler that grants places to second copies of slow requests.

Explanation
===========
A copy is extra work that may help one caller, so it must never take a place from a request that
waits or comes soon. It is not queued: it is granted a free slot at once, or refused.
"""

from __future__ import annotations

import math

from mulberrygate.core.effects import Send
from mulberrygate.schedule.choose import Choice
from mulberrygate.schedule.codes import NO_SPARE_ROOM
from mulberrygate.schedule.endpoint import EndpointState
from mulberrygate.schedule.fair_queue import WaitingRequest
from mulberrygate.schedule.messages import Refuse, Ticket

# Part of the pool's slots that must be free. What other schedulers send to the endpoints is known
# only from load reports, so the last free slots may be taken already.
MIN_FREE_SHARE = 0.25


class SpareGrants:
    """Grants to second copies; see `mulberrygate.schedule.scheduler.PoolScheduler`."""

    def _ask_spare(self, ticket: Ticket, now: float) -> Send:
        """Grant a copy a free slot, or refuse it."""
        self._apply_notices(ticket, now)
        first = self.states.get(ticket.avoid[-1]) if ticket.avoid else None
        reason = self._spare_room_fault(ticket, first) if first else "no first endpoint"
        waiting = self.make_waiting(ticket, self.sequence, now)
        choice = None if reason else self._choose_spare(waiting, first, now)
        if choice is None:
            reason = reason or "no other endpoint"
            refusal = Refuse(ticket.pool, ticket.request, NO_SPARE_ROOM.number, 0.0, reason)
            self.ended.add(ticket.request, refusal, now)
            return Send(ticket.entry, refusal)
        self.queue.charge(ticket, waiting.cost)
        return self._start_grant(waiting, choice, now)

    def _spare_room_fault(self, ticket: Ticket, first: EndpointState) -> str:
        """Return why the region of the first endpoint has no room to spare, empty if it has."""
        if len(self.queue):
            return "requests wait"
        if self.shares.shares:
            # Copies would go past the version's share of the traffic, and distort its evidence.
            return "a version move"
        states = [state for state in self.states.values() if state.accepts_work]
        if any(state.rate_limit.is_limited for state in states):
            return "a rate limit"
        if any(notice.is_barred(0.0) for notice in ticket.notices if not notice.is_leaving):
            return "an endpoint's pause"
        near = [state for state in states if state.view.region == first.view.region]
        slots = sum(state.view.slots for state in near)
        free = sum(max(0, state.slots - state.used) for state in near)
        return "" if slots and free >= MIN_FREE_SHARE * slots else "few free slots"

    def _choose_spare(
        self, waiting: WaitingRequest, first: EndpointState, now: float
    ) -> Choice | None:
        """Return the best endpoint for a copy, ``None`` if none fits.

        Explanation
        ===========
        A slow answer may come from the endpoint's failure domain, so another one is preferred. The
        copy stays in the region of the first endpoint: bytes between regions cost more than a slow
        answer.
        """
        ticket = waiting.ticket
        best, best_rank = None, (True, math.inf)
        for state in self.states.values():
            if state.view.region != first.view.region or not self._may_take_spare(waiting, state):
                continue
            if not self.chooser.is_usable(waiting, state, now):
                continue
            run_s = state.finish_s(max(1.0, float(ticket.prompt_tokens)), waiting.output)
            rank = (state.view.failure_domain == first.view.failure_domain, run_s)
            if rank < best_rank and run_s <= waiting.deadline - now:
                best, best_rank = state, rank
        return None if best is None else Choice(best, 0.0, best_rank[1])

    @staticmethod
    def _may_take_spare(waiting: WaitingRequest, state: EndpointState) -> bool:
        """Return whether an endpoint has a free slot and has shown that it answers well."""
        if state.name in waiting.ticket.avoid or not state.accepts_work:
            return False
        if state.is_failing or state.is_silent or state.detector.is_slow:
            return False
        if state.consecutive_faults or state.slots <= state.used:
            return False
        # One that has just started may be slow.
        return state.last_answer_at > -math.inf
