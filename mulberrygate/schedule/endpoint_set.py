"""Part of the pool scheduler that keeps the endpoints of the pool and their limits."""

from __future__ import annotations

import math

from mulberrygate.core.effects import Effect
from mulberrygate.endpoints.model import EndpointView
from mulberrygate.schedule.endpoint import HOP_S, LOCAL, EndpointState
from mulberrygate.schedule.memory import LostWhileFull
from mulberrygate.schedule.messages import Ticket
from mulberrygate.schedule.near import distance
from mulberrygate.schedule.speed import DEFAULT_PRIOR, PRIORS, GenerationSpeed, Prior
from mulberrygate.schedule.wide import WIDE_LONGEST_BLOCK_S, WIDE_MAX_LOAD_REPORT_AGE_S
from mulberrygate.tables.model import MODEL


class EndpointSet:
    """Keeps the endpoints of a pool; see `mulberrygate.schedule.scheduler.PoolScheduler`."""

    def set_endpoints(self, views: list[EndpointView], now: float) -> list[Effect]:
        """Replace the endpoints of the pool."""
        names = {view.endpoint for view in views}
        for name in [name for name in self.states if name not in names]:
            self._remove_endpoint(self.states[name])
        for view in views:
            state = self.states.get(view.endpoint)
            if state is not None and state.view.incarnation != view.incarnation:
                self._remove_endpoint(state)
                state = None
            if state is None:
                state = self._restore_endpoint(view) or self._add_endpoint(view, now)
            state.extend_load_integral(now)
            state.slowdown.advance(now)
            state.view = view
            state.memory.set_capacity(view.kv_tokens)
            state.reported_at = now - view.report_age_s
            state.cold_limit.report(view.cold_s, view.cold_rate, state.reported_at, now)
            self._set_cold_part(state, now)
            if state.rate_limit.is_limited:
                state.rate_limit.set_part(
                    self.find_rate_part(state.name, state.rate_limit.rate), now
                )
            state.estimate_external_load()
            self.prefixes.set_reported(view.endpoint, view.prefixes)
            self._update_limits(state, now)
        self._maintain(now)
        return self._schedule(now)

    def _apply_notices(self, ticket: Ticket, now: float) -> None:
        """Take over what endpoints have said to the entry of a ticket."""
        for notice in ticket.notices:
            state = self.states.get(notice.endpoint)
            if state is None or state.view.incarnation > notice.incarnation:
                continue
            if notice.is_leaving:
                state.left_at = max(state.left_at, now - notice.age_s)
            if notice.rate_age_s < math.inf:
                self._set_rate(state, notice.rate, now - notice.rate_age_s, now)
            self._update_limits(state, now)

    def _set_rate(self, state: EndpointState, rate: float, stated_at: float, now: float) -> None:
        """Take over the limit that an endpoint has named."""
        limit = state.rate_limit
        was_limited = limit.is_limited
        if not limit.update(rate, stated_at, now) or not limit.is_limited:
            return
        limit.set_part(self.find_rate_part(state.name, rate), now)
        if not was_limited and limit.part < 1.0:
            # Else instances that hear of a limit at the same time would always send together.
            limit.tokens = self.rng.random()

    def _set_cold_part(self, state: EndpointState, now: float) -> None:
        """Set the part of a cold endpoint's limit that this scheduler may use."""
        limit = state.cold_limit
        if limit.is_limited:
            limit.set_part(self.find_cold_part(state.name, limit.cold_rate), now)

    def _suspect_cold(self, state: EndpointState, now: float) -> None:
        """Limit an endpoint that answers again after it was blocked, until its next report."""
        state.cold_limit.suspect(now)
        self._set_cold_part(state, now)
        self._update_limits(state, now)

    def _refresh_cold(self, now: float) -> None:
        """Raise the limits of endpoints that have warmed up."""
        for state in self.states.values():
            if state.cold_limit.is_limited:
                state.cold_limit.refresh(now)
                self._update_limits(state, now)

    def _add_endpoint(self, view: EndpointView, now: float) -> EndpointState:
        kind = view.hardware
        if self.is_wide and not kind:
            # Endpoints without stated hardware may differ in speed, so each is learned separately.
            kind = f"endpoint {view.endpoint}"
        generation = self.generations.get(kind)
        if generation is None:
            generation = GenerationSpeed(self._prior_of(view))
            self.generations[kind] = generation
        from_here = distance(self, view)
        state = EndpointState(view, LOCAL if self.is_wide else from_here, generation)
        state.hop_s = HOP_S[from_here]
        if self.is_wide:
            state.longest_block_s = WIDE_LONGEST_BLOCK_S
            state.max_load_report_age_s = WIDE_MAX_LOAD_REPORT_AGE_S
            state.probes_failing = True
            state.limits_slow = self.pool.kind == MODEL
        state.load_integral_at = now
        self.states[view.endpoint] = state
        return state

    def _prior_of(self, view: EndpointView) -> Prior:
        """Return the speed that is assumed of an endpoint of which nothing is known.

        Explanation
        ===========
        Where endpoints state how long work takes there, learned speeds are those of an endpoint
        that states 1, and so hold for a new one too. Its first answer states how much it differs.
        """
        learned = self.reference.as_prior() if self.reference else None
        if learned and any(state.slowdown.is_stated for state in self.states.values()):
            return learned
        return PRIORS.get(view.hardware, DEFAULT_PRIOR)

    def _restore_endpoint(self, view: EndpointView) -> EndpointState | None:
        """Add an endpoint again that was absent while its requests ran on, if it is the same."""
        state = self.absent.pop(view.endpoint, None)
        if state is None or state.view.incarnation != view.incarnation:
            return None
        self.states[state.name] = state
        return state

    def _remove_endpoint(self, state: EndpointState) -> None:
        del self.states[state.name]
        if state.running:
            self.absent[state.name] = state
        if state.memory.is_nearly_full:
            memory = state.memory
            lost = (state.name, state.view.incarnation, memory.held, memory.limit)
            self.lost_while_full.append(LostWhileFull(*lost, len(state.running)))
        self.blocked.pop(state.name, None)
        if state.distance == LOCAL:
            self.local_slots -= state.slots
        self.capacity.remove(state)
        self.prefixes.remove(state.name)
        self.generations.pop(f"endpoint {state.name}", None)
        self.grant_log.forget(state.name)

    def _update_limits(self, state: EndpointState, now: float) -> None:
        if self.states.get(state.name) is not state:
            return
        if state.distance == LOCAL:
            self.local_slots -= state.slots
        state.set_limits(self.pool.engine_queue, now)
        if state.is_blocked(now):
            self.blocked[state.name] = state
        elif self.blocked:
            self.blocked.pop(state.name, None)
        if state.distance == LOCAL:
            self.local_slots += state.slots
        self.capacity.update(state)
