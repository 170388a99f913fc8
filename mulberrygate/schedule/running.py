"""Part of the pool scheduler that keeps the granted requests, also those of former owners."""

from __future__ import annotations

import math

from mulberrygate.core.effects import Effect
from mulberrygate.core.invariant import invariant
from mulberrygate.schedule.codes import SLOTS_MISCOUNTED
from mulberrygate.schedule.endpoint import GrantedRequest
from mulberrygate.schedule.learn import learn_presented, observe_request
from mulberrygate.schedule.messages import Done, Present, Running, Ticket
from mulberrygate.schedule.selection import LOST_DONE_S

# Time within which a grant reaches its entry, or the entry asks again.
GRANT_DELIVERY_S = 1.5


class RunningRequests:
    """Keeps granted requests; see `mulberrygate.schedule.scheduler.PoolScheduler`."""

    def present(self, message: Present, sender: str, now: float) -> list[Effect]:
        """Take over the requests of an entry after a change of owner."""
        for running in message.running:
            self._take_over(running, now)
        for ticket in message.waiting:
            request = ticket.request
            if request in self.running or request in self.queue.by_request:
                continue
            if request not in self.ended and ticket.entry == sender and not ticket.is_spare:
                self._enqueue(ticket, now)
        return self._schedule(now)

    def forget_running(self, now: float) -> None:
        """Release all running requests; a later owner counts them when they are presented."""
        for granted in list(self.running.values()):
            self._release(granted, now)

    def _release_ended(self, entry: str, held: frozenset[str], now: float) -> bool:
        """Release the grants that their entry holds no longer; return whether there were any."""
        ended = [
            granted
            for request, granted in self.running_by_entry.get(entry, {}).items()
            if request not in held and now - granted.granted_at > GRANT_DELIVERY_S
        ]
        for granted in ended:
            self._release(granted, now)
            self.ended.add(granted.ticket.request, None, now)
        return bool(ended)

    def _take_over(self, running: Running, now: float) -> None:
        """Count a running request that a former owner granted."""
        ticket = running.ticket
        state = self.states.get(running.endpoint)
        request = ticket.request
        if request in self.running or request in self.ended:
            return
        waiting = self.queue.by_request.get(request)
        if waiting is not None:
            self.queue.remove(waiting)
        if state is None:
            # The endpoint is gone; a late ask must not grant the request a second time.
            self.ended.add(request, None, now)
            return
        output = self.lengths.output_tokens(ticket.route, ticket.output_tokens)
        cost = ticket.prompt_tokens + output
        granted = GrantedRequest(ticket, state, running.version, now, cost, output, 0.0)
        granted.is_presented = True
        granted.expected_end = now + state.finish_s(granted.uncached, granted.output)
        granted.expires_at = max(now + ticket.deadline_s, granted.expected_end) + LOST_DONE_S
        self._add_running(granted, now)
        state.progress(granted, running.emitted_tokens)
        if running.slowdown_age_s < math.inf:
            state.report_slowdown(running.slowdown, now - running.slowdown_age_s, now)
        if self.is_wide or self._is_reference(running.version):
            learn_presented(state, running)

    def _done_without_grant(self, message: Done, now: float) -> list[Effect]:
        """Return the evidence from a request that a former owner granted."""
        state = self.states.get(message.endpoint)
        if state is None or message.request in self.ended:
            return []
        waiting = self.queue.by_request.get(message.request)
        if waiting is not None:
            self.queue.remove(waiting)
        self.ended.add(message.request, None, now)
        ticket = Ticket(
            message.request,
            "",
            message.pool,
            message.route,
            "",
            1.0,
            0,
            message.prompt_tokens,
            message.output_tokens,
            (),
            0.0,
        )
        granted = GrantedRequest(ticket, state, message.version, now, 0.0, 0.0, 0.0)
        granted.slowdown = state.slowdown.usual
        evidence = observe_request(granted, message, float(max(state.used, 1)), self.reference)
        return [evidence, *self._schedule(now)]

    def _add_running(self, granted: GrantedRequest, now: float) -> None:
        self.running[granted.ticket.request] = granted
        self.running_by_entry.setdefault(granted.ticket.entry, {})[granted.ticket.request] = granted
        granted.state.add(granted, now)
        self.capacity.update(granted.state)

    def _release(self, granted: GrantedRequest, now: float) -> None:
        state = granted.state
        del self.running[granted.ticket.request]
        self._remove_from_entry(granted)
        state.remove(granted, now)
        invariant(
            state.used == len(state.running) + state.external_load and state.pending_output > -1.0,
            SLOTS_MISCOUNTED,
            state.name,
        )
        if self.states.get(state.name) is state:
            self.capacity.update(state)
        elif not state.running and self.absent.get(state.name) is state:
            del self.absent[state.name]

    def _remove_from_entry(self, granted: GrantedRequest) -> None:
        entry = granted.ticket.entry
        del self.running_by_entry[entry][granted.ticket.request]
        if not self.running_by_entry[entry]:
            del self.running_by_entry[entry]

    def _expire(self, now: float) -> None:
        """Drop grants whose end was never reported."""
        self.expired_at = now
        for granted in [item for item in self.running.values() if item.expires_at <= now]:
            self._release(granted, now)
            self.ended.add(granted.ticket.request, None, now)
