"""Part of the pool scheduler that classifies endpoints as fast, silent or failing."""

from __future__ import annotations

import math

from mulberrygate.schedule.endpoint import EndpointState
from mulberrygate.schedule.failures import is_failing
from mulberrygate.schedule.fair_queue import WaitingRequest
from mulberrygate.schedule.wide import FAST_RATIO


class EndpointHealth:
    """Classifies endpoints of wide pools; see `mulberrygate.schedule.scheduler.PoolScheduler`."""

    def _update_fast_threshold(self) -> None:
        """Set the seconds per token up to which endpoints count as fast.

        Explanation
        ===========
        An endpoint that only gets probes runs few requests and takes less time per token than busy
        ones of the same speed, so it is compared only if there are no others. So is one that takes
        few requests a second, since hardly any request could wait for it.
        """
        usable = [state for state in self.states.values() if state.slots > 0]
        unlimited = [
            state for state in usable if state.slots >= state.view.slots and not state.is_limited
        ]
        times = [state.token_s for state in unlimited or usable]
        limit_s = self.chooser.fast_token_s = FAST_RATIO * min(times, default=0.0)
        self.chooser.fast_regions = frozenset(
            state.view.region for state in usable if state.token_s <= limit_s
        )

    def _is_fast_expected(self, waiting: WaitingRequest, now: float) -> bool:
        """Return whether a fast endpoint will probably be free while the request is on time.

        Explanation
        ===========
        During bursts on engines of different speed, a long request ends later on a slow engine
        that is free now than on a fast one that becomes free some hundredths of a second later.
        Meanwhile requests of lower tiers can use the slow engine.
        """
        left_s = waiting.on_time_until - now
        return self.fast_wait_s[waiting.ticket.tier] < left_s < math.inf

    def _update_silence(self, now: float) -> None:
        """Update which endpoints have stopped answering."""
        for state in self.states.values():
            if (state.running or state.is_silent) and state.update_silence(now):
                if not state.is_silent:
                    self._suspect_cold(state, now)
                self._update_limits(state, now)

    def _update_all_failing(self, now: float) -> None:
        """Update which endpoints fail a larger share of their requests than the others."""
        total = sum(state.failures.share for state in self.states.values())
        for state in self.states.values():
            self._update_failing(state, total, now)

    def _record_failure(self, state: EndpointState, now: float) -> None:
        """Count a failed request and update at once whether its endpoint is failing."""
        state.failures.observe(True)
        total = sum(other.failures.share for other in self.states.values())
        self._update_failing(state, total, now)

    def _update_failing(self, state: EndpointState, total: float, now: float) -> None:
        others = len(self.states) - 1
        failing = is_failing(state.failures, total - state.failures.share, others)
        if failing != state.is_failing:
            state.is_failing = failing
            self._update_limits(state, now)
