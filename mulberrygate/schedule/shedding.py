"""Part of the pool scheduler that sheds requests."""

from __future__ import annotations

import math

from mulberrygate.core.codes import Code
from mulberrygate.core.effects import Effect, Send
from mulberrygate.schedule.codes import (
    DEADLINE_UNREACHABLE,
    EVICTED,
    QUEUE_FULL,
    WAIT_TOO_LONG,
)
from mulberrygate.schedule.fair_queue import WaitingRequest
from mulberrygate.schedule.messages import Refuse
from mulberrygate.schedule.shed_checks import check_capacity_shed, check_deadline_shed
from mulberrygate.schedule.wide import LONG_WAIT_RATIO, WIDE_LONGEST_RETRY_S, WIDE_RETRY_AFTER_S

# Bounds of the retry time that a refusal states.
RETRY_AFTER_S = 1.0
LONGEST_RETRY_AFTER_S = 30.0
# Random part added to the retry time, so that callers refused together don't retry together.
RETRY_SPREAD = 0.5


class Shedding:
    """Sheds requests that can't be served; see `mulberrygate.schedule.scheduler.PoolScheduler`."""

    def _shed_past_deadline(self, now: float) -> list[Effect]:
        """Shed the requests that can't meet their deadline any more, lower tiers first."""
        late = []
        for waiting in self.latest_starts.pop_due(now):
            cached = self._most_cached(waiting, now)
            if self._misses_deadline(waiting, cached, now):
                late.append((waiting, cached))
            else:
                self.latest_starts.add(waiting, cached)
        late.sort(key=lambda item: -item[0].ticket.tier)
        effects: list[Effect] = []
        for waiting, cached in late:
            check_deadline_shed(self.latest_starts, waiting, cached, self.grant_log, now)
            effects.append(self._refuse(waiting, DEADLINE_UNREACHABLE, now))
        return effects

    def _shed_long_waits(self, late: list[WaitingRequest], now: float) -> list[Effect]:
        """Shed late requests whose callers will have left before their turn comes.

        Explanation
        ===========
        During bursts beyond the pool's capacity, callers that can't be served get a retry time at
        once instead of waiting in vain.
        """
        effects: list[Effect] = []
        for waiting in reversed(late):
            if waiting.is_removed or waiting.start_by == math.inf:
                continue
            tier = waiting.ticket.tier
            ahead = sum(queue.count for queue in self.queue.tiers[: tier + 1])
            wait_s = self.demand.tier_wait_s(ahead, tier, self.local_slots)
            if wait_s > LONG_WAIT_RATIO * (waiting.start_by - now):
                self.grant_log.check_shed(waiting)
                left_s = waiting.start_by - now
                detail = f"{ahead} ahead, {wait_s:.2f} s expected, {left_s:.2f} s left"
                effects.append(self._refuse(waiting, WAIT_TOO_LONG, now, detail))
        return effects

    def _misses_deadline(self, waiting: WaitingRequest, cached: float, now: float) -> bool:
        """Return whether a request's latest start has passed."""
        return self.latest_starts.latest_start(waiting, cached) <= now

    def _shed_excess(self, now: float) -> list[Effect]:
        """Shed what exceeds the queue's limit, from the lowest waiting tier."""
        effects: list[Effect] = []
        while len(self.queue) > self.pool.max_waiting:
            waiting = self._victim()
            check_capacity_shed(self.queue, waiting, self.grant_log)
            is_for_upper = self.newest_tier < waiting.ticket.tier
            effects.append(self._refuse(waiting, EVICTED if is_for_upper else QUEUE_FULL, now))
        return effects

    def _victim(self) -> WaitingRequest:
        """Return the request to shed from the lowest waiting tier."""
        return self.queue.tiers[self.queue.lowest_tier()].shed_candidate()

    def _shed_all(self, code: Code, now: float) -> list[Effect]:
        """Shed all waiting requests, lowest tier first."""
        effects: list[Effect] = []
        for queue in reversed(self.queue.tiers):
            for waiting in list(queue.all()):
                check_capacity_shed(self.queue, waiting, self.grant_log)
                effects.append(self._refuse(waiting, code, now))
        return effects

    def _refuse(self, waiting: WaitingRequest, code: Code, now: float, detail: str = "") -> Send:
        ticket = waiting.ticket
        self.queue.remove(waiting)
        self.served.count_refusal(ticket.tier)
        retry_after_s = self._retry_after_s(ticket.tier)
        refusal = Refuse(ticket.pool, ticket.request, code.number, retry_after_s, detail)
        self.ended.add(ticket.request, refusal, now)
        return Send(ticket.entry, refusal)

    def _retry_after_s(self, tier: int) -> float:
        """Return the seconds after which a retry of a refused request may find capacity."""
        if not self.is_wide:
            wait_s = self.demand.expected_wait_s(len(self.queue), self.local_slots)
            return min(LONGEST_RETRY_AFTER_S, max(RETRY_AFTER_S, wait_s))
        ahead = sum(queue.count for queue in self.queue.tiers[: tier + 1])
        wait_s = self.demand.tier_wait_s(ahead, tier, self.local_slots)
        wait_s = min(WIDE_LONGEST_RETRY_S, max(WIDE_RETRY_AFTER_S, wait_s))
        return wait_s * (1.0 + RETRY_SPREAD * self.rng.random())
