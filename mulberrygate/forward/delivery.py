"""Delivery of one admitted request: wait for a grant, send, relay, and retry where allowed."""

from __future__ import annotations

import asyncio
import math
from http import HTTPStatus
from typing import Any

from aiohttp import web
from aiohttp.client_exceptions import ClientConnectionResetError

from mulberrygate.catalog import RetryPolicy
from mulberrygate.core.invariant import invariant
from mulberrygate.core.outcome import Refusal
from mulberrygate.core.paced_response import whole_response
from mulberrygate.core.promises import keeps_promise
from mulberrygate.forward import codes
from mulberrygate.forward.attempts import Attempts, SendOutcome
from mulberrygate.forward.crash_detection import SIGN_OF_LIFE_S
from mulberrygate.forward.events import EventSplitter, EventTooLong, NotContinued, TextPasser
from mulberrygate.forward.exchange import Broken, Exchange, NotSent
from mulberrygate.forward.failures import Failures, WholeAnswer
from mulberrygate.forward.hedged_send import HedgedSend
from mulberrygate.forward.request import AnswerHead, Call, Refused
from mulberrygate.forward.sends import Send, Turn
from mulberrygate.forward.unanswered import RunningSend
from mulberrygate.quota import RetryBudget
from mulberrygate.schedule.messages import Grant, Ticket

# Retry-After for a call that all endpoints turned down.
TURNED_DOWN_RETRY_S = 0.4
# Events without a token that a stream may have, such as its end marker.
MAX_TOKENLESS_EVENTS = 16
# Pause after a send that got no connection, or after a grant that could not be used.
RETRY_PAUSE_S = 0.02
# Longest wait for the check whether an endpoint has ended that broke off before its first event.
# It refuses connections some hundredths of a second after it has ended.
CRASH_CHECK_WAIT_S = 0.15


class Delivery:
    """Delivery of one call to an endpoint, and of the answer to the caller.

    Parameters
    ==========
    forwarder : Forwarder
        Components that all deliveries share; see `mulberrygate.forward.service.Forwarder`.

    Attributes
    ==========
    avoid : list of str
        Endpoints of earlier sends, and of grants that were returned because the call may not be
        sent there; see ``avoid`` of `mulberrygate.schedule.messages.Ticket`.
    response : web.StreamResponse or None
        Stream response to the caller whose head was sent.
    failures : Failures
        Error answers of endpoints, for the case that no send succeeds.
    relayed_at : float
        Monotonic time at which events were last passed on to the caller, infinite before.
    hedge : HedgedSend or None
        Send in progress that may have a second copy.
    """

    def __init__(self, forwarder: Any, call: Call, request: web.BaseRequest):
        self.forwarder = forwarder
        self.call = call
        self.request = request
        self.attempts = Attempts(call.route)
        self.avoid: list[str] = []
        is_stream = call.route.retry_policy is RetryPolicy.STREAM
        self.splitter = EventSplitter() if is_stream else TextPasser()
        self.response: web.StreamResponse | None = None
        self.failures = Failures(call.route.may_retry)
        self.tickets = 0
        self.crash_check: asyncio.Task | None = None
        self.relayed_at = math.inf
        self.hedge: HedgedSend | None = None

    def now(self) -> float:
        """Return the monotonic time."""
        return self.forwarder.timers.now()

    async def run(self) -> web.StreamResponse | Refused:
        """Return the response to the caller, or the refusal if there is none."""
        try:
            async with self.forwarder.stop_limits.until_answer(self.call.deadline_at):
                answer = await self._try_endpoints()
        except TimeoutError:
            answer = self._timed_out()
        except ClientConnectionResetError:
            # The caller has closed its connection.
            answer = self._abort("caller left")
        return self._finish(answer)

    def _finish(
        self, answer: WholeAnswer | web.StreamResponse | Refused
    ) -> web.StreamResponse | Refused:
        status = answer.code.http_status if isinstance(answer, Refused) else answer.status
        invariant(
            keeps_promise(status, self.attempts.execution),
            codes.UNTRUE_PROMISE,
            f"{self.call.head.request} {status}",
        )
        if isinstance(answer, WholeAnswer):
            self.forwarder.record_answer(self.call, answer.head.status)
            return whole_response(answer.head.status, answer.headers, answer.body)
        return answer

    def _timed_out(self) -> web.StreamResponse | WholeAnswer | Refused:
        is_deadline = self.now() >= self.call.deadline_at
        reason = "" if is_deadline else "the entry stops"
        if self.response is not None:
            return self._abort(reason or "deadline")
        failed = self.failures.final_answer()
        if failed is not None:
            return failed
        if self.attempts.may_have_run:
            return Refused(codes.TIMED_OUT, reason)
        return Refused(codes.NOT_SERVED, reason)

    async def _try_endpoints(self) -> WholeAnswer | web.StreamResponse | Refused:
        """Send the call to one endpoint after the other until there is a final answer."""
        forwarder, call = self.forwarder, self.call
        budget = forwarder.retry_budget(call.pool.name)
        while True:
            try:
                async with forwarder.stop_limits.before_send() as limit:
                    granted = await self._wait_for_turn()
            except TimeoutError:
                if not limit.expired():
                    raise
                return self._give_up() if self.attempts.sends else forwarder.refuse_stopping()
            if not isinstance(granted, Turn):
                return granted
            ticket, grant = granted.ticket, granted.grant
            if not self.attempts.arrivals:
                self._count_first_send(budget)
            elif not budget.take():
                forwarder.scheduler.return_grant(ticket.request)
                return self._give_up()
            answer = await self._send_hedged(self.make_send(ticket, grant))
            if answer is not None:
                return answer
            self.avoid.append(grant.endpoint)
            if not self.attempts.may_send_again() or not self._may_continue():
                return self._give_up()
            if self.attempts.last_outcome is SendOutcome.UNSENT:
                await asyncio.sleep(RETRY_PAUSE_S)
            elif self.crash_check is not None:
                await asyncio.wait({self.crash_check}, timeout=CRASH_CHECK_WAIT_S)

    def _may_continue(self) -> bool:
        """Return whether another endpoint may go on with the response to the caller.

        Explanation
        ===========
        Once a part of an answer has left, that of another run must not follow it, though the call
        may run again. Only a resumable stream goes on, after its last event.
        """
        is_resumable = self.call.route.is_resumable and self.splitter.can_resume
        return self.response is None or is_resumable

    def make_send(self, ticket: Ticket, grant: Grant) -> Send:
        """Return a send of the call on a grant."""
        return Send(ticket, grant, self._describe_send(grant))

    async def _send_hedged(self, send: Send) -> WholeAnswer | web.StreamResponse | Refused | None:
        """Send the call as `send_once` does, with a second copy if the operators allow it."""
        hedging = self.forwarder.hedging
        if hedging is None or not HedgedSend.applies_to(self):
            return await self.send_once(send)
        self.hedge = HedgedSend(self, send, hedging)
        try:
            return await self.hedge.run()
        finally:
            self.hedge = None

    def _count_first_send(self, budget: RetryBudget) -> None:
        """Count a first send in the retry budget and in the share of hedged requests."""
        budget.count_first_send()
        hedging = self.forwarder.hedging
        if hedging is not None and not self.attempts.sends:
            hedging.allowance(self.call.pool.name).count_first_send()

    async def _wait_for_turn(self) -> Turn | WholeAnswer | web.StreamResponse | Refused:
        """Wait until the call may be sent to an endpoint; return the final answer if it may not."""
        forwarder, call = self.forwarder, self.call
        while True:
            if forwarder.placement.directory.is_pool_evacuated(call.pool.name):
                return self._without_grant(forwarder.evacuated_refusal())
            refused = forwarder.homes.refuse(call, forwarder.index)
            if refused is not None:
                return self._give_up() if self.attempts.sends else refused
            pause_s = forwarder.notices.pool_pause_s(
                call.pool.name, self.now(), lambda row: forwarder.may_get(call, row)
            )
            if pause_s > 0:
                return self._refuse_paused(pause_s)
            self.tickets += 1
            ticket = forwarder.make_ticket(
                call, self.tickets, self.attempts.sends, tuple(self.avoid)
            )
            grant = await forwarder.acquire_grant(call, ticket)
            if isinstance(grant, Refusal):
                return self._without_grant(grant)
            is_allowed = await self._may_send(ticket)
            is_home = forwarder.homes.may_use(call, grant, forwarder.index)
            if is_allowed and is_home and forwarder.may_use(grant):
                return Turn(ticket, grant)
            forwarder.scheduler.return_grant(ticket.request)
            if not is_home:
                self._record_outside(grant)
            if is_allowed:
                # Since the ticket was sent, the endpoint has said that it takes no more calls, or
                # it was evacuated. An owner that doesn't know it yet avoids it if it can.
                if grant.endpoint not in self.avoid:
                    self.avoid.append(grant.endpoint)
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            if self.attempts.sends:
                return self._give_up()
            refused = await forwarder.gate.check(call)
            if refused is not None:
                return refused

    def _record_outside(self, grant: Grant) -> None:
        """Record a grant of an endpoint outside the call's home regions.

        Explanation
        ===========
        An owner of an earlier release doesn't read home regions, but avoids endpoints that failed
        the call if there are others.
        """
        forwarder, call = self.forwarder, self.call
        forwarder.metrics.count("grants_outside_homes_total")
        forwarder.lines.log(
            "grant.outside_homes",
            id=call.head.request,
            endpoint=grant.endpoint,
            region=grant.region,
            homes=",".join(sorted(call.home_regions or ())),
            granted_by=call.granted_by,
        )
        outside = forwarder.homes.endpoints_outside(call)
        self.avoid += [name for name in outside if name not in self.avoid]

    async def _may_send(self, ticket: Ticket) -> bool:
        """Return whether the quarantine allows to send the call; return the grant if cancelled."""
        try:
            return await self.forwarder.gate.may_send(self.call, self.attempts.may_have_run)
        except BaseException:
            self.forwarder.scheduler.return_grant(ticket.request)
            raise

    def _describe_send(self, grant: Grant) -> RunningSend:
        """Return the description of a send for the detection of crashes."""
        return RunningSend(
            call=self.call,
            endpoint=grant.endpoint,
            incarnation=max(
                grant.incarnation, self.forwarder.crash_detector.incarnation(grant.endpoint)
            ),
            address=grant.address,
            sent_at=self.now(),
            is_connected=False,
        )

    def _without_grant(self, refusal: Refusal) -> WholeAnswer | web.StreamResponse | Refused:
        """Return the final answer after the scheduler refused a grant."""
        if self.attempts.sends:
            return self._give_up()
        if refusal.code.http_status != codes.NOT_SERVED.http_status:
            # Nothing was sent, so whatever the reason, the status must say "not run".
            return Refused(codes.NOT_SERVED, str(refusal.code), refusal.retry_after_s)
        return Refused(refusal.code, refusal.detail, refusal.retry_after_s)

    def _refuse_paused(self, pause_s: float) -> WholeAnswer | web.StreamResponse | Refused:
        """Return the final answer while all endpoints want no call of this entry."""
        if self.attempts.sends:
            return self._give_up(pause_s)
        return Refused(codes.ENDPOINTS_PAUSED, retry_after_s=pause_s)

    def _give_up(
        self, retry_after_s: float = TURNED_DOWN_RETRY_S
    ) -> WholeAnswer | web.StreamResponse | Refused:
        """Return the final answer after all sends failed."""
        if self.response is not None:
            return self._abort("not resumed")
        failed = self.failures.final_answer()
        if failed is not None:
            return failed
        if self.attempts.may_have_run:
            return Refused(codes.ENDPOINT_FAILED)
        return Refused(codes.TURNED_DOWN, retry_after_s=retry_after_s)

    async def send_once(self, send: Send) -> WholeAnswer | web.StreamResponse | Refused | None:
        """Send the call once; return the final answer, or ``None`` if it may be sent elsewhere."""
        forwarder, call = self.forwarder, self.call
        call.sends += 1
        outcome = SendOutcome.UNKNOWN
        exchange: Exchange | None = None
        answer = None
        # If the send is cancelled before its outcome is known, the call may have run.
        self.attempts.record(SendOutcome.UNKNOWN)
        forwarder.crash_detector.monitor.sends.add(send.running)
        limit = send.running.limit = asyncio.timeout(None)
        try:
            async with limit:
                left_s = call.deadline_at - self.now()
                last_event_id = self.splitter.last_id or call.head.last_event_id
                exchange = await forwarder.endpoints.send(
                    call,
                    send.grant.endpoint,
                    send.grant.address,
                    left_s,
                    last_event_id,
                    send.running.connect,
                )
                if send.holder is not None:
                    exchange.hold.holder = send.holder
                outcome, answer = await self._receive(send, exchange)
        except NotSent as error:
            outcome = SendOutcome.UNSENT
            send.fault = "refused" if error.is_endpoint_down else ""
            send.is_cancelled = not error.is_endpoint_down
        except Broken as error:
            outcome, send.fault = SendOutcome.UNKNOWN, "cut"
            forwarder.lines.log(
                "endpoint.broke",
                id=call.head.request,
                endpoint=send.grant.endpoint,
                reason=str(error),
                events=self.splitter.count,
            )
            self._check_endpoint(send, is_broken=True)
        except BaseException as error:
            send.is_cancelled = True
            if not send.running.is_connected:
                self.attempts.replace(SendOutcome.UNKNOWN, SendOutcome.UNSENT)
            if isinstance(error, TimeoutError) and limit.expired():
                return None if send.is_redundant else self._cancelled_as_quarantined()
            # The call's deadline, a caller that left, or the end of this process.
            if self.now() - send.running.heard_at > SIGN_OF_LIFE_S:
                self._check_endpoint(send, is_broken=False)
            raise
        finally:
            forwarder.crash_detector.monitor.sends.discard(send.running)
            send.running.limit = None
            if exchange is not None:
                exchange.close()
            forwarder.scheduler.report_done(send.as_done(call, self.now()))
        self.attempts.replace(SendOutcome.UNKNOWN, outcome)
        return answer

    def _check_endpoint(self, send: Send, is_broken: bool) -> None:
        """Start a check whether the endpoint of an unanswered send has ended."""
        if send.running.is_counted or not send.running.is_connected:
            return
        ended = send.running.end(self.now(), is_broken)
        check = self.forwarder.crash_detector.start_check(ended)
        may_be_cause = ended.has_head and not ended.events
        self.crash_check = check if may_be_cause else None

    def _cancelled_as_quarantined(self) -> Refused | web.StreamResponse:
        """Return the final answer to a call that was quarantined while it ran."""
        if self.response is not None:
            return self._abort("quarantined")
        return Refused(codes.CANCELLED, ",".join(self.call.parts))

    async def _receive(
        self, send: Send, exchange: Exchange
    ) -> tuple[SendOutcome, WholeAnswer | web.StreamResponse | None]:
        """Process an answer whose head has arrived; return the outcome and the final answer."""
        head = exchange.head
        send.running.heard_at = self.now()
        send.running.has_head = True
        self._record_first_byte(send)
        if head.load is not None:
            self.forwarder.placement.directory.report_load(
                send.grant.endpoint, head.load, self.now()
            )
        if head.slowdown is not None:
            send.slowdown, send.slowdown_at = head.slowdown, self.now()
            self.forwarder.scheduler.report_slowdown(send.ticket.request, head.slowdown)
        self._record_notice(send, head)
        # An endpoint that asks for a pause is sound; a cancelled send is no fault of it.
        send.is_cancelled = head.pause_s is not None
        if head.is_turned_down:
            send.fault = "refused" if head.pause_s is None else ""
            return SendOutcome.TURNED_DOWN, None
        if not head.is_genuine:
            raise Broken("the answer is not the endpoint's own")
        if head.is_success and head.is_events:
            if self.hedge is not None:
                # Events are passed on as they arrive, so those of two copies would be mixed.
                self.hedge.choose(send)
            if send.is_redundant:
                # The other's answer was chosen in the same moment; this send is being cancelled.
                send.is_cancelled = True
                return SendOutcome.UNKNOWN, None
            return SendOutcome.FAILED, await self._relay_events(send, exchange)
        answer = WholeAnswer(
            head, self.forwarder.dialect.answer_headers(exchange.response), await exchange.read()
        )
        if head.is_success:
            self.forwarder.suspects.record_answered(self.call)
        if self.response is not None:
            raise Broken("a resumed stream was not continued")
        if head.status < 500 and not answer.is_ambiguous:
            return SendOutcome.FAILED, answer
        send.fault = self._fault_of(head)
        self.failures.record(answer)
        if not answer.is_ambiguous:
            return SendOutcome.FAILED, None
        self._log_ambiguous(send, head)
        return SendOutcome.UNKNOWN, None

    @staticmethod
    def _fault_of(head: AnswerHead) -> str:
        """Return the kind of fault that an error answer shows."""
        if head.pause_s is not None:
            return ""
        # Another process answers so at the address of an endpoint that has ended.
        is_misdirected = head.status == HTTPStatus.MISDIRECTED_REQUEST
        return "refused" if is_misdirected else "error"

    def _log_ambiguous(self, send: Send, head: AnswerHead) -> None:
        """Log an answer whose status promises "not run" without the endpoint's statement."""
        self.forwarder.metrics.count("ambiguous_rejections_total", status=str(head.status))
        self.forwarder.lines.log(
            "endpoint.ambiguous",
            id=self.call.head.request,
            endpoint=send.grant.endpoint,
            pool=self.call.pool.name,
            status=head.status,
            may_retry=self.call.route.may_retry,
        )

    def _record_notice(self, send: Send, head: AnswerHead) -> None:
        """Record what an endpoint says of itself in an answer, and log what is new."""
        forwarder, running = self.forwarder, send.running
        endpoint = running.endpoint, running.incarnation
        is_change = forwarder.notices.record(
            *endpoint, self.call.pool.name, head, self.now(), send.grant.is_rate_limited
        )
        if is_change:
            forwarder.lines.log(
                "endpoint.notice",
                id=self.call.head.request,
                endpoint=running.endpoint,
                incarnation=running.incarnation,
                pool=self.call.pool.name,
                is_leaving=head.is_leaving,
                rate="none" if head.rate == math.inf else head.rate,
                asked_pause_s="unreadable" if head.pause_s == math.inf else head.pause_s,
                pause_s=round(forwarder.notices.pause_left_s(*endpoint, self.now()), 3),
            )

    def _record_first_byte(self, send: Send) -> None:
        """Record the time of the answer's head, and later that of a stream's first events."""
        send.first_at = self.now()
        if self.call.first_after_s < 0:
            self.call.first_after_s = send.first_at - self.call.received_at

    async def _relay_events(self, send: Send, exchange: Exchange) -> web.StreamResponse:
        """Relay a stream to its end.

        Raises
        ======
        Broken
            The stream ended early or does not end.
        """
        splitter, call = self.splitter, self.call
        splitter.begin_run()
        stride = call.pool.tokens_per_event
        before = splitter.count
        while data := await exchange.read_some():
            send.running.heard_at = self.now()
            events = self._split(data, before)
            if not events:
                continue
            send.running.events = splitter.count - before
            self._record_pause()
            if self.response is None:
                await self._begin_response(exchange)
            is_first = send.tokens == 0
            if is_first:
                self._record_first_byte(send)
                self.forwarder.suspects.record_answered(call)
            await self.forwarder.write_events(call, self.request, self.response, events)
            send.tokens = (splitter.count - before) * stride
            if is_first:
                send.first_tokens = send.tokens
            call.tokens = send.tokens
            self.forwarder.scheduler.record_emitted(send.ticket.request, send.tokens)
        if splitter.incomplete:
            raise Broken("the stream ended inside an event")
        if self.response is None:
            await self._begin_response(exchange)
        await self.response.write_eof()
        self.forwarder.record_answer(call, self.response.status)
        return self.response

    def _record_pause(self) -> None:
        """Record the time since events were last passed on, over all sends of the call."""
        now = self.now()
        self.call.longest_pause_s = max(self.call.longest_pause_s, now - self.relayed_at)
        self.relayed_at = now

    def _split(self, data: bytes, before: int) -> bytes:
        """Return the complete events in a stream's next bytes.

        Raises
        ======
        Broken
            An event exceeds the size limit, there are more events than requested tokens, or a
            resumed stream doesn't go on where it ended.
        """
        try:
            events = self.splitter.feed(data)
        except (EventTooLong, NotContinued) as error:
            raise Broken(str(error)) from error
        most = self.call.head.output_tokens
        if most and self.splitter.count - before > most + MAX_TOKENLESS_EVENTS:
            raise Broken("more events than tokens were asked for")
        return events

    async def _begin_response(self, exchange: Exchange) -> None:
        """Send the head of a stream response to the caller."""
        headers = self.forwarder.dialect.answer_headers(exchange.response)
        response = web.StreamResponse(status=exchange.head.status, headers=headers)
        if self.forwarder.is_closing:
            response.force_close()
        response.enable_chunked_encoding()
        await response.prepare(self.request)
        self.response = response

    def _abort(self, reason: str) -> web.StreamResponse:
        """Close the connection of a response that has begun, so that it doesn't look complete."""
        self.forwarder.record_answer(self.call, 0, fault=f"broken off: {reason}")
        transport = self.request.transport
        if transport is not None:
            transport.close()
        return self.response or web.Response(status=502)
