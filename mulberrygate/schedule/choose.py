"""Choice of the endpoint for a request."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

from mulberrygate.schedule.capacity import FreeCapacity
from mulberrygate.schedule.endpoint import LOCAL, OTHER_DOMAIN, PROBE_S, EndpointState
from mulberrygate.schedule.fair_queue import WaitingRequest
from mulberrygate.schedule.near import distance_cost_s
from mulberrygate.schedule.prefix import PrefixIndex
from mulberrygate.schedule.shares import VersionShares

# If more endpoints than this have free capacity, this many consecutive ones from a random position
# are examined, which bounds the time per grant. Endpoints that cache the prompt's prefix are added.
MAX_EXAMINED = 8
# Penalty in seconds for each prompt token that has to be computed again although another endpoint
# has it cached. It covers the whole batch, since a prefill delays all requests in it.
RECOMPUTE_S = 0.005
# Part of a predicted time that has to fit before the deadline. About half of the predictions are
# exceeded, so a request waits or is shed only if its prediction misses the deadline clearly.
PREDICTION_TOLERANCE = 0.9
# How many times a request's predicted run has to fit before its deadline to go to a slow endpoint
# while others wait. Estimates of lengths are often wrong by half, and a request that is cut off at
# its deadline has kept a slow slot for seconds that shorter ones could have used.
SLOW_RUN_MARGIN = 2.0
# Seconds for which the result of a request's prefix lookup is reused.
MAX_HITS_AGE_S = 0.05
NO_HITS: dict[str, int] = {}
# Added to the rank of failing endpoints, so that all others are preferred.
FAILING_RANK_OFFSET = 2
# Added to the rank of cold endpoints for requests below the most urgent tier. A cold endpoint takes
# few requests a second, whatever their length, so they are kept for those that are worth most.
COLD_RANK_OFFSET = 4
MAX_RANK = COLD_RANK_OFFSET + 2 * FAILING_RANK_OFFSET
# `PROBE_S` for requests that are not idempotent, which are lost if the endpoint has not recovered.
ONCE_PROBE_S = 2.0


def is_allowed(waiting: WaitingRequest, state: EndpointState, now: float) -> bool:
    """Return whether a request may go to an endpoint after what that has said to its entry."""
    waited_s = now - waiting.asked_at
    return waiting.ticket.may_use(state.name, state.view.incarnation, waited_s)


class Choice:
    """Endpoint chosen for a request.

    Parameters
    ==========
    cached : float
        Prompt tokens that are probably cached there.
    run_s : float
        Predicted seconds to the end of the request.
    """

    __slots__ = ("state", "cached", "run_s")

    def __init__(self, state: EndpointState, cached: float, run_s: float):
        self.state = state
        self.cached = cached
        self.run_s = run_s


class Chooser:
    """Choose the endpoint with the earliest predicted finish.

    Parameters
    ==========
    max_distance : int
        Largest distance that the backlog justifies at present; set by the scheduler.
    top_tier : int
        Most urgent tier that sends requests at present; set by the scheduler.
    fast_token_s : float
        Endpoints with at most these seconds per output token count as fast. They get a request even
        if it is predicted to miss its deadline there, since no other endpoint would be faster.
    fast_regions : frozenset[str]
        Regions that have a fast endpoint, free or not; set by the scheduler.
    slow_run_margin : float
        How many times a predicted run has to fit before the deadline at a slow endpoint.
    is_fast_expected : Callable[[WaitingRequest, float], bool]
        Whether a fast endpoint will probably be free while a request can still be on time.
    """

    def __init__(
        self,
        capacity: FreeCapacity,
        prefixes: PrefixIndex,
        shares: VersionShares,
        rng: random.Random,
    ):
        self.capacity = capacity
        self.prefixes = prefixes
        self.shares = shares
        self.rng = rng
        self.states: dict[str, EndpointState] = {}
        # Number of request-endpoint pairs examined so far, a measure of the owner's work.
        self.comparison_count = 0
        # Whether the endpoints of a version under a move get equally many requests.
        self.spreads_canaries = False
        # Whether a failing endpoint ranks with the others only for one probe request at intervals.
        self.probes_failing = False
        self.max_distance = LOCAL
        self.top_tier = 0
        self.fast_token_s = 0.0
        self.fast_regions: frozenset[str] = frozenset()
        self.slow_run_margin = SLOW_RUN_MARGIN
        # Whether a request was kept from a slow endpoint by the margin alone.
        self.was_margin_missed = False
        self.is_fast_expected: Callable[[WaitingRequest, float], bool] = lambda waiting, now: False

    def is_avoided(self, waiting: WaitingRequest, state: EndpointState) -> bool:
        """Return whether the endpoint is one that the ticket avoids and there is another one."""
        avoid = waiting.ticket.avoid
        if state.name not in avoid:
            return False
        return any(
            other.accepts_work
            and other.name not in avoid
            and other.distance == LOCAL
            and waiting.ticket.may_run_in(other.view.region)
            for other in self.states.values()
        )

    def is_usable(self, waiting: WaitingRequest, state: EndpointState, now: float) -> bool:
        """Return whether the request may go to the endpoint, whatever its free slots."""
        ticket = waiting.ticket
        if not ticket.may_run_in(state.view.region):
            return False
        if ticket.prompt_tokens + waiting.output > state.memory.free:
            return False
        if ticket.avoid and self.is_avoided(waiting, state):
            return False
        if ticket.notices and not is_allowed(waiting, state, now):
            return False
        return self.shares.is_allowed(ticket.route, state.view.version)

    def prefix_hits(
        self, waiting: WaitingRequest, now: float, age_s: float = MAX_HITS_AGE_S
    ) -> dict[str, int]:
        """Return the tokens probably cached for a request by endpoint, at most ``age_s`` old."""
        if waiting.cached_at < now - age_s:
            prefixes = waiting.ticket.prefixes
            waiting.cached = self.prefixes.cached_tokens(prefixes) if prefixes else NO_HITS
            waiting.cached_at = now
        return waiting.cached

    def predict(self, waiting: WaitingRequest, state: EndpointState, cached: float) -> Choice:
        """Return the predicted times of a request at an endpoint."""
        uncached = max(waiting.ticket.prompt_tokens - cached, 1.0)
        return Choice(state, cached, state.finish_s(uncached, waiting.output))

    def is_canary(self, waiting: WaitingRequest, state: EndpointState) -> bool:
        """Return whether the request may go to the endpoint as a canary of a version move."""
        version = state.view.version
        return version in self.shares.limited and self.shares.is_allowed(
            waiting.ticket.route, version
        )

    def may_probe(self, waiting: WaitingRequest, state: EndpointState, now: float) -> bool:
        """Return whether a request may be sent to probe a failing endpoint."""
        if not self.probes_failing:
            return True
        wait_s = PROBE_S if waiting.ticket.idempotent else ONCE_PROBE_S
        return now >= state.granted_at + wait_s

    def should_wait_for_fast(self, waiting: WaitingRequest, now: float) -> bool:
        """Return whether a request waits for a fast endpoint although slow ones may be free."""
        if not self.fast_token_s or waiting.is_late:
            return False
        if self.fast_regions.isdisjoint(waiting.ticket.home_regions or self.fast_regions):
            return False
        return self.is_fast_expected(waiting, now)

    def has_fast_capacity(self, may_use_slots: bool, may_queue: bool) -> bool:
        """Return whether a fast endpoint has free capacity; parameters as in `choose`."""
        lists = [self.capacity.slots[LOCAL]] if may_use_slots else []
        lists += [self.capacity.queues] if may_queue else []
        return any(state.token_s <= self.fast_token_s for items in lists for state in items.items)

    def meets_time_limits(
        self,
        waiting: WaitingRequest,
        state: EndpointState,
        uncached: float,
        run_s: float,
        now: float,
    ) -> bool:
        """Return whether predicted times and probe intervals allow a request an endpoint.

        Explanation
        ===========
        The request has to end before its deadline, with `slow_run_margin` at a slow endpoint. A
        slow one isn't used while a fast one is expected to be free in time, nor if its first token
        would be late. An endpoint of a version under a move is used whatever its speed, which
        isn't known in advance. An endpoint that fails most of its requests gets probes only: one
        that fails at once always has free slots.
        """
        if state.is_mostly_failing and not self.may_probe(waiting, state, now):
            return False
        if state.token_s <= self.fast_token_s:
            return True
        if self.fast_token_s and self.shares.limited and self.is_canary(waiting, state):
            return True
        left_s = waiting.deadline - now
        if PREDICTION_TOLERANCE * run_s > left_s:
            return False
        if self.fast_token_s and self.slow_run_margin * run_s > left_s:
            self.was_margin_missed = True
            return False
        if not self.fast_token_s or waiting.is_late:
            return True
        if self.should_wait_for_fast(waiting, now):
            return False
        return state.first_s(uncached) <= waiting.first_by - now

    def _sample(self, items: list[EndpointState], cached: dict) -> Iterable[EndpointState]:
        """Return the endpoints to examine: a random part of many, and those in ``cached``."""
        if len(items) <= MAX_EXAMINED:
            return items
        start = int(self.rng.random() * len(items))
        chosen = items[start : start + MAX_EXAMINED]
        if len(chosen) < MAX_EXAMINED:
            chosen += items[: MAX_EXAMINED - len(chosen)]
        first, last = items[0].available_in, items[-1].available_in
        for name in cached:
            state = self.states.get(name)
            if state is not None and (state.available_in is first or state.available_in is last):
                chosen.append(state)
        return chosen

    def _best(
        self, waiting: WaitingRequest, items: Iterable[EndpointState], cached: dict, now: float
    ) -> Choice | None:
        """Return the best of some endpoints for a request, or None if none may take it."""
        ticket, output, prompt = waiting.ticket, waiting.output, waiting.ticket.prompt_tokens
        most_cached = max(cached.values()) if cached else 0
        shares = self.shares
        is_limited, due, allowed = bool(shares.shares), (), ()
        if is_limited:
            due = shares.due_versions(ticket.route)
            allowed = [name for name in shares.shares if shares.is_allowed(ticket.route, name)]
        best, best_rank, best_score = None, MAX_RANK, 0.0
        homes = ticket.home_regions
        for state in items:
            self.comparison_count += 1
            if homes and state.view.region not in homes:
                continue
            if is_limited and state.view.version not in allowed:
                continue
            if prompt + output > state.memory.free:
                continue
            if ticket.avoid and self.is_avoided(waiting, state):
                continue
            if ticket.notices and not is_allowed(waiting, state, now):
                continue
            hit = cached.get(state.name, 0) if cached else 0
            uncached = prompt - hit if prompt > hit else 1.0
            # `EndpointState.finish_s` inlined; a call would double the time per endpoint.
            run_s = state.start_s + uncached * state.prefill_s + output * state.token_s
            if state.slowdown.excess:
                run_s += state.slowdown.delay_s(run_s)
            if not self.meets_time_limits(waiting, state, uncached, run_s, now):
                continue
            # A version under a move gets its due share first, spread evenly over its endpoints;
            # otherwise its evidence would depend on which of them have the best scores.
            rank = 0 if due and state.view.version in due else 1
            score = run_s + RECOMPUTE_S * (most_cached - hit)
            if ticket.region:
                # The prediction has the hop from this scheduler, not that from the entry.
                score += distance_cost_s(ticket, state.view, run_s) - state.hop_s
            if rank == 0 and self.spreads_canaries:
                score = float(state.grant_count)
            if ticket.is_isolated:
                score = float(state.used)
            if state.is_failing and not self.may_probe(waiting, state, now):
                rank += FAILING_RANK_OFFSET
            if state.cold_limit.is_limited and ticket.tier > self.top_tier:
                rank += COLD_RANK_OFFSET
            if rank < best_rank or (rank == best_rank and score < best_score):
                best, best_rank, best_score = state, rank, score
        return None if best is None else self.predict(waiting, best, cached.get(best.name, 0))

    def available_versions(self, may_use_slots: bool, may_queue: bool) -> set[str]:
        """Return the versions of the endpoints with free capacity; parameters as in `choose`."""
        versions: set[str] = set()
        if may_use_slots:
            versions.update(self.capacity.slots[LOCAL].versions)
        if may_queue:
            versions.update(self.capacity.queues.versions)
        for available_in in self.capacity.slots[OTHER_DOMAIN : self.max_distance + 1]:
            versions.update(available_in.versions)
        return versions

    def choose(
        self, waiting: WaitingRequest, may_use_slots: bool, may_queue: bool, now: float
    ) -> Choice | None:
        """Return the endpoint for a request, or None when it has to wait.

        Parameters
        ==========
        may_use_slots : bool
            Whether the free local slots are more than those reserved for upper tiers.
        may_queue : bool
            Whether the request's tier may use queue positions of endpoints.
        """
        cached = self.prefix_hits(waiting, now)
        lists = []
        slots = self.capacity.slots[LOCAL].items if may_use_slots else []
        queues = self.capacity.queues.items if may_queue else []
        if queues and len(slots) <= MAX_EXAMINED:
            # A short wait at an endpoint that has the prefix can be better than a free slot.
            lists.append(slots + queues)
        else:
            lists += [slots, queues]
        for distance in range(OTHER_DOMAIN, self.max_distance + 1):
            lists.append(self.capacity.slots[distance].items)
        for items in lists:
            if not items:
                continue
            best = self._best(waiting, self._sample(items, cached), cached, now)
            if best is None and len(items) > MAX_EXAMINED:
                best = self._best(waiting, items, cached, now)
            if best is not None:
                return best
        return None

    def could_run(self, waiting: WaitingRequest, state: EndpointState, now: float) -> bool:
        """Return whether a request could be granted the endpoint now, given free capacity."""
        if state.distance > self.max_distance or not self.is_usable(waiting, state, now):
            return False
        cached = self.prefix_hits(waiting, now).get(state.name, 0)
        uncached = max(waiting.ticket.prompt_tokens - cached, 1.0)
        run_s = self.predict(waiting, state, cached).run_s
        return self.meets_time_limits(waiting, state, uncached, run_s, now)
