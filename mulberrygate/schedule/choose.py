"""Choice of the endpoint for a request."""

from __future__ import annotations

import random
from collections.abc import Iterable

from mulberrygate.schedule.endpoint import LOCAL, OTHER_DOMAIN, EndpointState
from mulberrygate.schedule.fair import Waiting
from mulberrygate.schedule.prefix import PrefixIndex
from mulberrygate.schedule.room import Room
from mulberrygate.schedule.shares import VersionShares

# Of more endpoints with room than this, a random run of as many is examined, which bounds the
# time per grant; endpoints that hold the prompt's prefix are examined besides.
MOST_EXAMINED = 16
# Seconds of predicted finish that are given up for each prompt token that needn't be computed
# again. The gain goes to the whole batch, since a prefill delays all its requests.
RECOMPUTE_S = 0.005
# Predictions are exceeded about as often as not; a request is held back only if the prediction
# misses its deadline clearly.
OPTIMISM = 0.9


class Choice:
    """Endpoint chosen for a request.

    Parameters
    ==========
    cached : float
        Prompt tokens that are probably cached there.
    run_s, wait_s : float
        Predicted seconds to the end of the request, and the part spent in the endpoint's queue.
    """

    __slots__ = ("state", "cached", "run_s", "wait_s")

    def __init__(self, state: EndpointState, cached: float, run_s: float, wait_s: float):
        self.state = state
        self.cached = cached
        self.run_s = run_s
        self.wait_s = wait_s


class Chooser:
    """Choose the endpoint with the earliest predicted finish.

    Parameters
    ==========
    reach : int
        Largest distance that the backlog justifies at present; set by the scheduler.
    """

    def __init__(
        self, room: Room, prefixes: PrefixIndex, shares: VersionShares, rng: random.Random
    ):
        self.room = room
        self.prefixes = prefixes
        self.shares = shares
        self.rng = rng
        self.states: dict[str, EndpointState] = {}
        self.reach = LOCAL

    def is_avoided(self, waiting: Waiting, state: EndpointState) -> bool:
        """Return whether the endpoint failed the request before and there is another one."""
        avoid = waiting.ticket.avoid
        if state.name not in avoid:
            return False
        return any(
            other.view.accepts_work and other.name not in avoid and other.distance == LOCAL
            for other in self.states.values()
        )

    def is_usable(self, waiting: Waiting, state: EndpointState) -> bool:
        """Return whether the request may go to the endpoint, whatever its load."""
        ticket = waiting.ticket
        if ticket.avoid and self.is_avoided(waiting, state):
            return False
        return self.shares.is_allowed(ticket.route, state.view.version)

    def predict(self, waiting: Waiting, state: EndpointState, cached: float) -> Choice:
        """Return the predicted times of a request at an endpoint."""
        uncached = max(waiting.ticket.prompt_tokens - cached, 1.0)
        wait_s = state.queue_wait_s()
        return Choice(state, cached, wait_s + state.run_s(uncached, waiting.output), wait_s)

    def meets_deadline(self, waiting: Waiting, choice: Choice, now: float) -> bool:
        """Return whether the request is expected to end before its deadline."""
        return now + choice.run_s * OPTIMISM <= waiting.deadline

    def _examined(self, items: list[EndpointState], cached: dict) -> Iterable[EndpointState]:
        if len(items) <= MOST_EXAMINED:
            return items
        start = self.rng.randrange(len(items))
        chosen = items[start : start + MOST_EXAMINED]
        if len(chosen) < MOST_EXAMINED:
            chosen += items[: MOST_EXAMINED - len(chosen)]
        lists = {id(items[0].open_list), id(items[-1].open_list)}
        for name in cached:
            state = self.states.get(name)
            if state is not None and id(state.open_list) in lists and state not in chosen:
                chosen.append(state)
        return chosen

    def _best(
        self, waiting: Waiting, items: Iterable[EndpointState], cached: dict, now: float
    ) -> Choice | None:
        best, best_score = None, (0, 0.0)
        most_cached = max(cached.values(), default=0)
        is_free = not waiting.ticket.avoid and not self.shares.shares
        due = None if is_free else self.shares.due(waiting.ticket.route)
        for state in items:
            if not is_free and not self.is_usable(waiting, state):
                continue
            choice = self.predict(waiting, state, cached.get(state.name, 0))
            score = choice.run_s + RECOMPUTE_S * (most_cached - choice.cached)
            # A version under a move gets the share it is due, or its evidence would depend on how
            # attractive its endpoints are.
            rank = (0 if due and state.view.version in due else 1, score)
            if (best is None or rank < best_score) and self.meets_deadline(waiting, choice, now):
                best, best_score = choice, rank
        return best

    def choose(
        self, waiting: Waiting, may_use_slots: bool, may_queue: bool, now: float
    ) -> Choice | None:
        """Return the endpoint for a request, or None when it has to wait.

        Parameters
        ==========
        may_use_slots : bool
            Whether the free local slots are more than those reserved for upper tiers.
        may_queue : bool
            Whether the request's tier may use queue positions of endpoints.
        """
        prefixes = waiting.ticket.prefixes
        cached = self.prefixes.cached_tokens(prefixes) if prefixes else {}
        lists = []
        local = self.room.slots[LOCAL].items if may_use_slots else []
        if may_queue and len(local) <= MOST_EXAMINED:
            # A short wait at an endpoint that has the prefix can be better than a free slot.
            local = local + self.room.queues.items
        lists.append(local)
        for distance in range(OTHER_DOMAIN, self.reach + 1):
            lists.append(self.room.slots[distance].items)
        for items in lists:
            if not items:
                continue
            best = self._best(waiting, self._examined(items, cached), cached, now)
            if best is None and len(items) > MOST_EXAMINED:
                best = self._best(waiting, items, cached, now)
            if best is not None:
                return best
        return None

    def could_run(self, waiting: Waiting, state: EndpointState, now: float) -> bool:
        """Return whether a request could be granted the endpoint now, if it has room."""
        if state.distance > self.reach or not self.is_usable(waiting, state):
            return False
        cached = self.prefixes.cached_tokens(waiting.ticket.prefixes).get(state.name, 0)
        return self.meets_deadline(waiting, self.predict(waiting, state, cached), now)
