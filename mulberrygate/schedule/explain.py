"""Explanation of where a request would go now, without granting it or changing any state."""

from __future__ import annotations

import copy
from typing import TYPE_CHECKING, Any

from mulberrygate.schedule.capacity import AvailableEndpoints
from mulberrygate.schedule.choose import (
    PREDICTION_TOLERANCE,
    SLOW_RUN_MARGIN,
    Choice,
    Chooser,
    is_allowed,
)
from mulberrygate.schedule.codes import DEADLINE_UNREACHABLE, NO_ENDPOINT, QUEUE_FULL
from mulberrygate.schedule.endpoint import LOCAL, EndpointState
from mulberrygate.schedule.messages import Ticket

if TYPE_CHECKING:
    from mulberrygate.schedule.scheduler import PoolScheduler

# Endpoints that are shown; about fifty fit into the answer to an operator.
MAX_SHOWN = 50


class Explainer:
    """Explanation of the choice that a scheduler would make for a request that asks now.

    Explanation
    ===========
    The choice is made by a copy of the scheduler's `Chooser`, with the state of its random numbers
    and the counts of version shares, so it is the one that an ask at this moment would get.
    """

    def __init__(self, scheduler: PoolScheduler, ticket: Ticket, now: float):
        self.scheduler = scheduler
        self.ticket = ticket
        self.now = now
        self.waiting = scheduler.make_waiting(ticket, scheduler.sequence + 1, now)
        self.chooser = self._copy_chooser()
        queues = scheduler.queue.tiers
        waiting_tier = next((t for t, queue in enumerate(queues) if queue.count), len(queues))
        top_tier = min(scheduler.demand.top_tier(now), waiting_tier, ticket.tier)
        capacity = scheduler.capacity
        self.may_use_slots = capacity.free_slots[LOCAL] > scheduler.reserved[ticket.tier]
        self.may_queue = ticket.tier <= top_tier
        self.ahead = sum(queue.count for queue in queues[: ticket.tier + 1])

    def _copy_chooser(self) -> Chooser:
        chooser = copy.copy(self.scheduler.chooser)
        # Asking whether a version is allowed adds the route to the counts.
        chooser.shares = copy.deepcopy(chooser.shares)
        chooser.rng = copy.copy(chooser.rng)
        return chooser

    def explain(self) -> dict[str, Any]:
        """Return the choice or the refusal, and the figures of all endpoints."""
        scheduler = self.scheduler
        choice = self._choose()
        chosen = choice.state.name if choice is not None else ""
        rows = [self._describe(state, chosen) for state in scheduler.states.values()]
        rows.sort(key=lambda row: (not row["is_chosen"], bool(row["obstacle"]), row["end_s"]))
        return {
            "verdict": self._verdict(chosen),
            "endpoint": chosen,
            "ahead": self.ahead,
            "waiting": [queue.count for queue in scheduler.queue.tiers],
            "expected_wait_s": self._expected_wait_s(),
            "free_slots": scheduler.capacity.free_slots[LOCAL],
            "tier": self.ticket.tier,
            "deadline_s": round(self.ticket.deadline_s, 3),
            "expected_tokens": round(self.waiting.output),
            "version_shares": dict(scheduler.shares.shares),
            "endpoints_left_out": max(0, len(rows) - MAX_SHOWN),
            "endpoints": rows[:MAX_SHOWN],
        }

    def _choose(self) -> Choice | None:
        """Return the choice of the two passes of a dispatch, ``None`` if there is none now."""
        chooser = self.chooser
        chooser.was_margin_missed = False
        for margin in (SLOW_RUN_MARGIN, PREDICTION_TOLERANCE):
            chooser.slow_run_margin = margin
            if not self._waits_for_fast():
                choice = chooser.choose(self.waiting, self.may_use_slots, self.may_queue, self.now)
                if choice is not None:
                    return choice
            if not chooser.was_margin_missed:
                break
        return None

    def _waits_for_fast(self) -> bool:
        """Return whether the request would wait for a fast endpoint."""
        if self.scheduler.shares.shares:
            return False
        if self.chooser.has_fast_capacity(self.may_use_slots, self.may_queue):
            return False
        return self.chooser.should_wait_for_fast(self.waiting, self.now)

    def _expected_wait_s(self) -> float | None:
        """Return the expected seconds until the requests ahead have been granted."""
        scheduler = self.scheduler
        wait_s = scheduler.demand.tier_wait_s(self.ahead, self.ticket.tier, scheduler.local_slots)
        return round(wait_s, 3) if wait_s < 1e6 else None

    def _verdict(self, chosen: str) -> str:
        """Return one sentence that says what would happen to the request."""
        scheduler = self.scheduler
        if chosen:
            before = f", unless one of the {self.ahead} that wait takes it" if self.ahead else ""
            return f"It would be granted {chosen} at once{before}."
        if not any(state.accepts_work for state in scheduler.states.values()):
            since = scheduler.without_endpoint_since
            known_s = 0.0 if since is None else self.now - since
            return (
                f"No endpoint accepts work (for {known_s:.1f} s); it would be refused with "
                f"{NO_ENDPOINT} if none comes."
            )
        if scheduler.latest_starts.latest_start(self.waiting, 0.0) <= self.now:
            return f"It would be refused with {DEADLINE_UNREACHABLE}."
        lower = scheduler.queue.lowest_tier()
        if len(scheduler.queue) >= scheduler.pool.max_waiting and lower <= self.ticket.tier:
            return f"It would be refused with {QUEUE_FULL}: {len(scheduler.queue)} wait."
        if self._waits_for_fast():
            return "It would wait for a fast endpoint, which is expected to be free in time."
        return f"It would wait; {self.ahead} wait before it."

    def _describe(self, state: EndpointState, chosen: str) -> dict[str, Any]:
        """Return the figures of an endpoint, and what keeps the request from it."""
        view = state.view
        cached = self.chooser.prefix_hits(self.waiting, self.now).get(state.name, 0)
        uncached = max(self.ticket.prompt_tokens - cached, 1.0)
        run_s = state.finish_s(uncached, self.waiting.output)
        return {
            "endpoint": state.name,
            "is_chosen": state.name == chosen,
            "obstacle": "" if state.name == chosen else self._obstacle(state, uncached, run_s),
            "failure_domain": view.failure_domain,
            "region": view.region,
            "version": view.version,
            "used": state.used,
            "others": state.external_load,
            "slots": view.slots,
            "may_use": state.slots,
            "load_age_s": round(view.load_age_s, 3) if view.load_age_s < 1e6 else None,
            "report_age_s": round(view.report_age_s, 3),
            "answer_age_s": self._age_s(state.last_answer_at),
            "first_s": round(state.first_s(uncached), 4),
            "end_s": round(run_s, 4),
            "token_ms": round(state.token_s * 1000, 3),
            "cached_tokens": cached,
            "faults": state.consecutive_faults,
            "failure_share": round(state.failures.share, 3),
            "is_failing": state.is_failing,
            "is_slow": state.detector.is_slow,
            "is_silent": state.is_silent,
            "rate": state.rate_limit.rate if state.rate_limit.is_limited else None,
            "cold_rate": state.cold_limit.rate if state.cold_limit.is_limited else None,
            "held_tokens": round(state.memory.held),
            "slowdown": round(1.0 + state.slowdown.excess, 2),
        }

    def _age_s(self, at: float) -> float | None:
        age_s = self.now - at
        return round(age_s, 3) if age_s < 1e6 else None

    def _obstacle(self, state: EndpointState, uncached: float, run_s: float) -> str:
        """Return why the request would not go to an endpoint, empty if others are only better."""
        waiting, chooser, now = self.waiting, self.chooser, self.now
        if not state.accepts_work:
            return "takes no new work"
        if now < state.blocked_until:
            return f"blocked for {state.blocked_until - now:.2f} s after faults"
        if state.rate_limit.is_limited and not state.slots:
            return "its rate limit is used up"
        if state.cold_limit.is_limited and not state.slots:
            return "cold, and its requests of this moment are used up"
        if not self.ticket.may_run_in(state.view.region):
            return "outside the home regions"
        if self.ticket.prompt_tokens + waiting.output > state.memory.free:
            return "the request doesn't fit into its memory"
        if chooser.is_avoided(waiting, state):
            return "has failed the request"
        if not is_allowed(waiting, state, now):
            return "told the entry that it leaves or wants a pause"
        if not chooser.shares.is_allowed(self.ticket.route, state.view.version):
            return "the share of its version is used up"
        place = self._place_fault(state)
        if place:
            return place
        if not chooser.meets_time_limits(waiting, state, uncached, run_s, now):
            return self._time_fault(state, run_s)
        return ""

    def _place_fault(self, state: EndpointState) -> str:
        """Return why the request may use no place of an endpoint, empty if it may."""
        capacity = self.scheduler.capacity
        held: AvailableEndpoints | None = state.available_in
        if held is None:
            return "no free slot"
        if held is capacity.queues and not self.may_queue:
            return "only queue positions are free, which more urgent tiers use"
        if state.distance > self.chooser.max_distance:
            return "farther than the backlog justifies"
        if held is capacity.slots[LOCAL] and not self.may_use_slots:
            return "its free slots are reserved for more urgent tiers"
        return ""

    def _time_fault(self, state: EndpointState, run_s: float) -> str:
        """Return which time limit an endpoint doesn't meet."""
        if state.is_mostly_failing:
            return "fails most requests and gets single probes"
        left_s = self.waiting.deadline - self.now
        if PREDICTION_TOLERANCE * run_s > left_s:
            return "expected to end after the deadline"
        if self.chooser.slow_run_margin * run_s > left_s:
            return "slow, and expected to end only just before the deadline"
        if self.chooser.should_wait_for_fast(self.waiting, self.now):
            return "slow, while a fast one is expected in time"
        return "slow, and its first token would be late"


def explain_choice(scheduler: PoolScheduler, ticket: Ticket, now: float) -> dict[str, Any]:
    """Return where a request that asks now would go, and why; nothing is changed."""
    return Explainer(scheduler, ticket, now).explain()
