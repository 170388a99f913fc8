"""Part of the pool scheduler that selects requests and grants them endpoints."""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator

from mulberrygate.core.effects import Effect, Send
from mulberrygate.schedule.choose import PREDICTION_TOLERANCE, SLOW_RUN_MARGIN, Choice
from mulberrygate.schedule.endpoint import LOCAL, OTHER_DOMAIN, EndpointState, GrantedRequest
from mulberrygate.schedule.fair_queue import AccountQueue, TierQueue, WaitingRequest
from mulberrygate.schedule.messages import Grant
from mulberrygate.schedule.precedence import (
    STRICT,
    Overtakes,
    PriorityClass,
    check_precedence,
    find_precedence,
)

# Requests of one account that are examined if its first one can't use the free endpoints.
LOOK_AHEAD = 8
# Reordering by cached prefix: number of an account's next requests from which one may be taken out
# of order, how often a request may be overtaken, the slack before its latest start that it needs
# for it, and the age up to which prefix lookups are reused.
REORDER_WINDOW = 16
MAX_OVERTAKEN = 16
REORDER_SLACK_S = 0.0
REORDER_HITS_AGE_S = 2.0
# Requests that may be skipped in one dispatch. A lower tier is served only after all requests of
# the upper tiers have been examined. Wide pools examine all requests, less often.
MAX_SKIPPED = 32
WIDE_MAX_SKIPPED = math.inf
WIDE_LOOK_AHEAD = math.inf
# A grant whose end is never reported is dropped this long after its deadline or expected end.
LOST_DONE_S = 30.0


class Selection:
    """Selects requests and endpoints; see `mulberrygate.schedule.scheduler.PoolScheduler`."""

    def _dispatch(self, now: float) -> list[Effect]:
        """Grant waiting requests in order until no endpoint can take another one.

        Explanation
        ===========
        Slow endpoints first get the requests that end there in time with a margin. What they have
        free then goes to those that may just end in time.
        """
        chooser = self.chooser
        chooser.was_margin_missed = False
        effects = self._dispatch_once(now)
        if chooser.was_margin_missed:
            chooser.slow_run_margin = PREDICTION_TOLERANCE
            try:
                effects += self._dispatch_once(now)
            finally:
                chooser.slow_run_margin = SLOW_RUN_MARGIN
        return effects

    def _dispatch_once(self, now: float) -> list[Effect]:
        """Grant waiting requests in order, once through all classes."""
        effects: list[Effect] = []
        skipped: list[WaitingRequest] = []
        priority_classes = self._begin_dispatch(now)
        position = 0
        while position < len(priority_classes) and len(skipped) < self.max_skipped:
            priority_class = priority_classes[position]
            queue = self.queue.tiers[priority_class.tier]
            if not priority_class.count(queue) or not self._has_capacity(priority_class):
                position += 1
                continue
            # While the shares of a move allow no route of a tier a free endpoint, lower tiers wait
            # too; examining each request would take milliseconds with a long queue.
            if self.shares.shares and not self._has_allowed_version(queue.routes, priority_class):
                break
            found = self._next_grantable(priority_class, skipped, now)
            if found is not None:
                effects.append(self._grant(priority_class, *found, skipped, now))
                changed = self._classes_after_grant(skipped, now)
                if changed:
                    priority_classes, position = changed, 0
                continue
            # A lower tier is served only after every request of this one was examined.
            if sum(priority_class.contains(waiting) for waiting in skipped) < priority_class.count(
                queue
            ):
                break
            position += 1
        self.skipped_count = len(skipped)
        return effects

    def _classes_after_grant(
        self, skipped: list[WaitingRequest], now: float
    ) -> list[PriorityClass]:
        """Return the classes to start again with if a grant changed their order, else []."""
        if self.shares.shares:
            # The grant changed which versions the shares allow to the skipped requests.
            skipped.clear()
            return self._begin_dispatch(now)
        if self.precedence != STRICT and self._update_precedence(now):
            return self.precedence.priority_classes(self.queue)
        return []

    def _update_precedence(self, now: float) -> bool:
        """Update which tiers go before upper ones; return whether that has changed."""
        before = self.precedence
        self.precedence = find_precedence(self.queue, self.served, self.is_wide, now)
        return self.precedence != before

    def _begin_dispatch(self, now: float) -> list[PriorityClass]:
        """Update the state for a new dispatch, and return its priority classes in order."""
        self.dispatch_number += 1
        self._update_precedence(now)
        if self.is_wide:
            self._measure_fast_waits(now)
        return self.precedence.priority_classes(self.queue)

    def _measure_fast_waits(self, now: float) -> None:
        """Update the time that fast endpoints need for all timely requests up to each tier."""
        rate = self.fast_completions.per_second(now)
        on_time = 0
        for tier, queue in enumerate(self.queue.tiers):
            on_time += queue.count - queue.late
            self.fast_wait_s[tier] = on_time / rate if rate > 0 else math.inf

    def _may_queue(self, priority_class: PriorityClass) -> bool:
        """Return whether a class's requests may use queue positions of endpoints.

        Explanation
        ===========
        While the most urgent tier sends requests, only it may, since a queued request delays those
        that come after it. A starved tier may too, or it would never get a slot.
        """
        if priority_class.overtakes is Overtakes.ALL:
            return True
        return priority_class.tier <= self.top_tier and not priority_class.is_late

    def _has_capacity(self, priority_class: PriorityClass) -> bool:
        """Return whether some endpoint has free capacity for a class's requests."""
        capacity = self.capacity
        if capacity.free_slots[LOCAL] > self.reserved[priority_class.tier]:
            return True
        if capacity.queues.items and self._may_queue(priority_class):
            return True
        max_distance = self.chooser.max_distance
        if max_distance == LOCAL:
            return False
        return any(
            capacity.free_slots[distance] for distance in range(OTHER_DOMAIN, max_distance + 1)
        )

    def _next_grantable(
        self, priority_class: PriorityClass, skipped: list[WaitingRequest], now: float
    ) -> tuple[WaitingRequest, Choice] | None:
        """Return a class's next request to grant with its endpoint; extend ``skipped``."""
        tier, queue = priority_class.tier, self.queue.tiers[priority_class.tier]
        may_use_slots = self.capacity.free_slots[LOCAL] > self.reserved[tier]
        may_queue = self._may_queue(priority_class)
        has_shares = bool(self.shares.shares)
        chooser = self.chooser
        has_fast_capacity = chooser.has_fast_capacity(may_use_slots, may_queue)
        for waiting in self._requests_in_order(queue, now):
            if waiting.skipped_in_dispatch == self.dispatch_number or not priority_class.contains(
                waiting
            ):
                continue
            if len(skipped) >= self.max_skipped:
                return None
            waiting.skipped_in_dispatch = self.dispatch_number
            skipped.append(waiting)
            if has_shares and not self._has_allowed_version(
                (waiting.ticket.route,), priority_class
            ):
                continue
            if not (has_shares or has_fast_capacity) and chooser.should_wait_for_fast(waiting, now):
                continue
            choice = chooser.choose(waiting, may_use_slots, may_queue, now)
            if choice is not None:
                skipped.pop()
                return waiting, choice
        return None

    def _requests_in_order(self, queue: TierQueue, now: float) -> Iterator[WaitingRequest]:
        """Yield the next requests of a tier's accounts, the least served account first.

        Explanation
        ===========
        Late requests of all accounts come after those of any account that can still be on time.
        Otherwise, during bursts beyond the capacity, late requests of an account with a small share
        would be served while those of other accounts become late too.
        """
        if not 0 < queue.late < queue.count:
            for account in queue.accounts_in_order():
                yield from self._candidates(account, now)
            return
        late: list[WaitingRequest] = []
        for account in queue.accounts_in_order():
            candidates = list(self._candidates(account, now))
            yield from (item for item in candidates if not item.is_late)
            late += (item for item in candidates if item.is_late)
        yield from late

    def _has_allowed_version(self, routes: Iterable[str], priority_class: PriorityClass) -> bool:
        """Return whether the shares allow one of the routes a version with free capacity."""
        may_use_slots = self.capacity.free_slots[LOCAL] > self.reserved[priority_class.tier]
        versions = self.chooser.available_versions(may_use_slots, self._may_queue(priority_class))
        allowed = self.shares.is_allowed
        return any(allowed(route, version) for route in routes for version in versions)

    def _candidates(self, account: AccountQueue, now: float) -> Iterator[WaitingRequest]:
        """Yield an account's next requests, first one whose prefix a free endpoint has.

        Explanation
        ===========
        While the pool is busy, one endpoint at a time has free capacity. If a request whose prefix
        it has cached is taken out of order, the prefill of both that request and the overtaken one
        is saved. A request is overtaken a limited number of times, and not when it has little time
        left.
        """
        first = account.first()
        states = self.capacity.few_available()
        is_ordered = not states or account.count == 1 or bool(self.shares.shares)
        if is_ordered or not self._may_reorder(first, now):
            yield first
        else:
            found = account.in_order(REORDER_WINDOW)
            best = min(found, key=lambda item: self._prefix_loss(item, states, now))
            if best is not first:
                for item in found[: found.index(best)]:
                    item.overtaken_count += 1
            yield best
        if account.count > 1:
            yield from account.in_order(self.look_ahead)

    def _may_reorder(self, waiting: WaitingRequest, now: float) -> bool:
        """Return whether a request may be overtaken."""
        if waiting.overtaken_count >= MAX_OVERTAKEN:
            return False
        left = waiting.deadline - now - self.latest_starts.least_run_s(waiting, 0.0)
        return left > REORDER_SLACK_S

    def _prefix_loss(
        self, waiting: WaitingRequest, states: list[EndpointState], now: float
    ) -> float:
        """Return the net loss of cached prompt tokens if one of the endpoints got the request.

        Explanation
        ===========
        Tokens that are cached elsewhere but not there, less those that are cached there.
        """
        cached = self.chooser.prefix_hits(waiting, now, REORDER_HITS_AGE_S)
        if not cached:
            return 0.0
        return max(cached.values()) - 2 * max(cached.get(state.name, 0) for state in states)

    def _grant(
        self,
        priority_class: PriorityClass,
        waiting: WaitingRequest,
        choice: Choice,
        skipped: list[WaitingRequest],
        now: float,
    ) -> Send:
        """Grant a request the chosen endpoint, and return the message to its entry."""
        ticket, state = waiting.ticket, choice.state
        self.sequence += 1
        if skipped and priority_class.overtakes is not Overtakes.ALL:
            upper = [item for item in skipped if item.ticket.tier < ticket.tier]
            self.grant_log.check_grant(upper, state, self.sequence, self.chooser, now)
        check_precedence(priority_class, self.queue, self.served, now)
        self.grant_log.add(ticket.tier, state.name, self.sequence, priority_class.overtakes)
        self.queue.charge(ticket, waiting.cost)
        self.queue.remove(waiting)
        self.demand.count_grant(choice.run_s, now)
        self.served.count_grant(ticket.tier, waiting.is_late, now)
        return self._start_grant(waiting, choice, now)

    def _start_grant(self, waiting: WaitingRequest, choice: Choice, now: float) -> Send:
        """Count a grant of the chosen endpoint, and return the message to the entry."""
        ticket, state = waiting.ticket, choice.state
        granted = GrantedRequest(
            ticket, state, state.view.version, now, waiting.cost, waiting.output, choice.cached
        )
        if self.shares.shares:
            self.shares.count(ticket.route, state.view.version)
            granted.share_epoch = self.shares.epoch
        granted.wait_s = state.wait_s + state.pending_prefill * state.prefill_s
        granted.prefill_ahead = state.pending_prefill
        granted.waited_for_slot = state.wait_s > 0
        granted.predicted_first_s = state.first_s(granted.uncached)
        granted.expected_end = now + choice.run_s
        granted.expires_at = max(waiting.deadline, now + 4 * choice.run_s) + LOST_DONE_S
        self._add_running(granted, now)
        if state.is_limited:
            state.take_token(now)
        if state.is_limited or state.is_mostly_failing:
            self._update_limits(state, now)
        if ticket.prefixes:
            self.prefixes.add_granted(state.name, ticket.prefixes, state.view.kv_tokens)
        return self._grant_message(granted)

    def _grant_message(self, granted: GrantedRequest) -> Send:
        ticket, view = granted.ticket, granted.state.view
        destination = (view.endpoint, view.address, granted.version, view.region, view.incarnation)
        is_rate_limited = granted.state.rate_limit.is_limited
        grant = Grant(
            ticket.pool, ticket.request, *destination, is_rate_limited, view.failure_domain
        )
        return Send(ticket.entry, grant)
