"""Send of a call with a second copy to another endpoint if the first one is slow."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import attrs

from mulberrygate.core.memory_budget import Holder
from mulberrygate.forward.hedging import HedgeState, Hedging
from mulberrygate.forward.request import Refused
from mulberrygate.forward.sends import Send
from mulberrygate.forward.suspects import Standing
from mulberrygate.schedule.messages import Grant, Ticket

if TYPE_CHECKING:
    from mulberrygate.forward.delivery import Delivery

# Longest wait for the grant of a copy. The process schedules calls of plain services itself, so the
# answer comes at once unless the process is busy.
GRANT_WAIT_S = 0.05


class HedgedSend:
    """First send of a call, and its copy.

    Explanation
    ===========
    The first answer wins and the other send is cancelled, which closes its connection and returns
    its place. If one of them fails, the other is waited for; if both do, the ordinary rules for
    retries apply. The copy asks for a place only when it is due, and does without if there is none.

    Attributes
    ==========
    copy : Send or None
        The copy, once it is sent.
    copy_task : asyncio.Task or None
        Task that waits for a place for the copy and sends it, once the copy is due.
    chosen : Send or None
        The send whose answer is final or is being passed on.
    delay_s : float or None
        Seconds from the first send after which the copy is due, ``None`` if there is none.
    """

    def __init__(self, delivery: Delivery, first: Send, hedging: Hedging):
        self.delivery = delivery
        self.forwarder = delivery.forwarder
        self.call = delivery.call
        self.hedging = hedging
        self.first = first
        self.copy: Send | None = None
        self.copy_task: asyncio.Task | None = None
        self.chosen: Send | None = None
        self.delay_s: float | None = None

    @staticmethod
    def applies_to(delivery: Delivery) -> bool:
        """Return whether a call may get a copy while its first send is on its way.

        Explanation
        ===========
        Calls of engines don't: a copy would read the prompt again. See the design note for streams.
        """
        call, attempts = delivery.call, delivery.attempts
        return not (call.pool.is_engine or call.is_trial) and attempts.may_hedge_first()

    async def run(self) -> Any:
        """Send the call; return as `Delivery.send_once` does."""
        timers, route = self.forwarder.timers, self.call.route.name
        self.delay_s = self.hedging.delay_s(route, timers.now())
        timer = None
        if self.delay_s is not None:
            timer = timers.after(self.delay_s, self._start_copy, "hedge")
        answer = None
        try:
            answer = await self.delivery.send_once(self.first)
            if self._is_answer(answer):
                self.choose(self.first)
            elif self.copy is not None:
                copy_answer = await self.copy_task
                answer = answer if copy_answer is None else copy_answer
        finally:
            if timer is not None:
                timer.cancel()
            self._record_time(self._is_answer(answer))
            await self._end_copy()
        if self.copy is not None:
            if self.chosen is not None:
                # `choose` has made the holder of the chosen answer that of the call.
                self.forwarder.memory.budget.answers.release(self.call.copy_holder)
            self._count_result(self._is_answer(answer))
        return answer

    @staticmethod
    def _is_answer(answer: Any) -> bool:
        return answer is not None and not isinstance(answer, Refused)

    def choose(self, send: Send) -> None:
        """Take the answer of a send, and cancel the other one."""
        if self.chosen is not None:
            return
        self.chosen = send
        if send is self.copy:
            self.call.exchange_holders()
        other = self.copy if send is self.first else self.first
        if other is not None:
            other.cancel_as_redundant()

    def _start_copy(self) -> None:
        """Begin to send the copy, unless something speaks against it."""
        call, forwarder = self.call, self.forwarder
        reason = self._denial()
        if reason:
            forwarder.metrics.count("hedges_denied_total", reason=reason)
            return
        # The scheduler takes the last endpoint to avoid for that of the first send.
        self.delivery.tickets += 1
        avoid = (*self._cold_endpoints(), *self.delivery.avoid, self.first.grant.endpoint)
        ticket = forwarder.make_ticket(call, self.delivery.tickets, 1, avoid)
        ticket = attrs.evolve(ticket, is_spare=True)
        self.copy_task = forwarder.timers.spawn(self._send_copy(ticket))

    def _cold_endpoints(self) -> list[str]:
        """Return the endpoints of the pool that are cold, as far as known."""
        now = self.forwarder.timers.now()
        directory = self.forwarder.placement.directory
        rows = directory.roster.usable(self.call.pool.name)
        return [row.registration.endpoint for row in rows if directory.cold_s(row, now) > 0]

    def _denial(self) -> str:
        """Return why the copy may not be sent now, empty if it may."""
        call, forwarder = self.call, self.forwarder
        now = forwarder.timers.now()
        standing = forwarder.suspects.find(call).standing
        state = HedgeState(
            left_s=call.deadline_at - now,
            is_stopping=forwarder.is_closing,
            is_suspected=call.is_trial or standing is not Standing.CLEAR,
            has_head=self.first.running.has_head,
            is_paused=forwarder.notices.has_paused(call.pool.name, now),
            may_retry=forwarder.retry_budget(call.pool.name).has_spare(),
            timer_delay_s=now - self.first.sent_at - self.delay_s,
        )
        return self.hedging.denial(call.route.name, call.pool.name, state, now)

    async def _send_copy(self, ticket: Ticket) -> Any:
        """Wait for a place, send the copy and return its answer."""
        forwarder = self.forwarder
        now = forwarder.timers.now()
        grant = await forwarder.scheduler.acquire(
            ticket, self.call.deadline_at, give_up_at=now + GRANT_WAIT_S
        )
        if not isinstance(grant, Grant):
            forwarder.metrics.count("hedges_denied_total", reason="no_room")
            return None
        # From here to the send nothing else runs, so what was checked still holds.
        reason = self._grant_fault(grant, ticket)
        if reason:
            forwarder.scheduler.return_grant(ticket.request)
            forwarder.metrics.count("hedges_denied_total", reason=reason)
            return None
        self._take(grant)
        self.call.copy_holder = Holder(self.call.answer_holder.group)
        self.copy = self.delivery.make_send(ticket, grant)
        self.copy.holder = self.call.copy_holder
        answer = await self.delivery.send_once(self.copy)
        if self.copy.is_redundant:
            # Its answer came before it could be cancelled, and that of the first was chosen.
            return None
        if self._is_answer(answer):
            self.choose(self.copy)
        return answer

    def _grant_fault(self, grant: Grant, ticket: Ticket) -> str:
        """Return why the copy may not be sent on its grant, empty if it may."""
        if self.chosen is not None or not self.delivery.attempts.may_hedge():
            return "answered"
        if grant.endpoint in ticket.avoid:
            return "no_room"
        forwarder = self.forwarder
        if not forwarder.homes.may_use(self.call, grant, forwarder.index):
            return "outside_homes"
        if not forwarder.may_use(grant):
            return "paused"
        return self._denial()

    def _take(self, grant: Grant) -> None:
        """Count the copy in all limits, and log it."""
        call, forwarder = self.call, self.forwarder
        budget = forwarder.retry_budget(call.pool.name)
        allowance = self.hedging.allowance(call.pool.name)
        budget.take()
        allowance.take()
        forwarder.metrics.count("hedges_total", result="sent")
        forwarder.lines.log(
            "request.hedged",
            id=call.head.request,
            route=call.route.name,
            pool=call.pool.name,
            first=self.first.grant.endpoint,
            copy=grant.endpoint,
            delay_s=round(self.delay_s, 4),
            quantile=self.hedging.settings.quantile,
            samples=self.hedging.count_times(call.route.name, forwarder.timers.now()),
            share_left=round(allowance.level, 2),
            budget_left=round(budget.level, 2),
        )

    def _record_time(self, is_answered: bool) -> None:
        """Record the time of the first send, if it says something about its route."""
        now = self.forwarder.timers.now()
        seconds = now - self.first.sent_at
        is_slow = self.delay_s is not None and seconds >= self.delay_s
        # A send that failed or was cancelled early says only that it took at least this time.
        if is_slow or (is_answered and self.chosen is self.first):
            self.hedging.record(self.call.route.name, seconds, now)

    async def _end_copy(self) -> None:
        """Cancel the copy if it is still on its way, and wait for its end."""
        task = self.copy_task
        if task is None or task.done():
            return
        if self.copy is None or not self.copy.is_redundant:
            # It waits for its place, or the call ends without an answer.
            task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    def _count_result(self, is_answered: bool) -> None:
        """Count which send has answered a call that has a copy, if one of them has."""
        result = "failed"
        if is_answered:
            result = "won" if self.chosen is self.copy else "lost"
        self.forwarder.metrics.count("hedges_total", result=result)
        self.call.hedge = result
        if result == "won":
            self.call.endpoint = self.copy.grant.endpoint
        elif not is_answered:
            self.delivery.avoid.append(self.copy.grant.endpoint)
