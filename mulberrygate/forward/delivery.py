"""Delivery of one admitted request: place, send, relay, and again where that is allowed."""

from __future__ import annotations

import asyncio
from typing import Any

import attrs
from aiohttp import web
from aiohttp.client_exceptions import ClientConnectionResetError

from mulberrygate.core.outcome import Refusal
from mulberrygate.forward import codes
from mulberrygate.forward.attempts import Attempts, SendOutcome
from mulberrygate.forward.crash_detection import BrokenExchange
from mulberrygate.forward.events import EventSplitter, EventTooLong
from mulberrygate.forward.exchange import Broken, Exchange, NotSent
from mulberrygate.forward.request import AnswerHead, Call, Refused
from mulberrygate.schedule.messages import Done, Grant, Ticket

# Seconds after which a turned down call is worth another try by its caller.
TURNED_DOWN_RETRY_S = 0.4
# Events of a stream that hold no token, such as its end.
MAX_TOKENLESS_EVENTS = 16
# Pause between sends that found no connection.
RETRY_PAUSE_S = 0.02


@attrs.frozen
class WholeAnswer:
    """Answer of an endpoint that has arrived in full."""

    head: AnswerHead
    headers: list[tuple[str, str]]
    body: bytes


class Send:
    """One send of a call to one endpoint, with its times."""

    def __init__(self, ticket: Ticket, grant: Grant, incarnation: int, now: float):
        self.ticket = ticket
        self.grant = grant
        self.incarnation = incarnation
        self.sent_at = now
        self.first_at = 0.0
        self.tokens = 0
        self.first_tokens = 1
        self.fault = ""
        self.is_cancelled = False


class Delivery:
    """Deliver the answer of some endpoint to one caller.

    Parameters
    ==========
    forwarder : Forwarder
        Owner of what deliveries share.
    """

    def __init__(self, forwarder: Any, call: Call, request: web.BaseRequest):
        self.forwarder = forwarder
        self.call = call
        self.request = request
        self.attempts = Attempts(call.route)
        self.avoid: list[str] = []
        self.splitter = EventSplitter()
        self.response: web.StreamResponse | None = None
        self.last_failure: WholeAnswer | None = None

    def now(self) -> float:
        """Return the monotonic time."""
        return self.forwarder.timers.now()

    async def run(self) -> web.StreamResponse | Refused:
        """Return the final answer, or why there is none."""
        try:
            async with asyncio.timeout_at(self.call.deadline_at):
                answer = await self._try_endpoints()
        except TimeoutError:
            answer = self._timed_out()
        except ClientConnectionResetError:
            # The caller has gone; nobody reads an answer any more.
            answer = self._abort("caller left")
        return self._finish(answer)

    def _finish(
        self, answer: WholeAnswer | web.StreamResponse | Refused
    ) -> web.StreamResponse | Refused:
        if isinstance(answer, Refused):
            return answer
        if isinstance(answer, WholeAnswer):
            self.forwarder.record_answer(self.call, answer.head.status)
            return web.Response(status=answer.head.status, headers=answer.headers, body=answer.body)
        return answer

    def _timed_out(self) -> web.StreamResponse | WholeAnswer | Refused:
        if self.response is not None:
            return self._abort("deadline")
        if self.last_failure is not None:
            return self.last_failure
        if self.attempts.may_have_run:
            return Refused(codes.TIMED_OUT)
        return Refused(codes.NOT_SERVED)

    async def _try_endpoints(self) -> WholeAnswer | web.StreamResponse | Refused:
        """Send the call until an answer is final."""
        forwarder, call = self.forwarder, self.call
        budget = forwarder.retry_budget(call.pool.name)
        while True:
            ticket = forwarder.make_ticket(call, self.attempts.sends, tuple(self.avoid))
            placed = await forwarder.acquire_grant(call, ticket)
            if isinstance(placed, Refusal):
                return self._without_grant(placed)
            # The call may have been quarantined while it waited or ran.
            crashing = forwarder.check_quarantine(call)
            if crashing is not None:
                forwarder.scheduler.return_grant(ticket.request)
                return self._give_up() if self.attempts.sends else crashing
            if not self.attempts.arrivals:
                budget.count_first_send()
            elif not budget.take():
                forwarder.scheduler.return_grant(ticket.request)
                return self._give_up()
            incarnation = forwarder.crash_detector.incarnation(placed.endpoint)
            answer = await self._send(Send(ticket, placed, incarnation, self.now()))
            if answer is not None:
                return answer
            self.avoid.append(placed.endpoint)
            if not self.attempts.may_send_again():
                return self._give_up()
            if self.attempts.last_outcome is SendOutcome.UNSENT:
                await asyncio.sleep(RETRY_PAUSE_S)

    def _without_grant(self, refusal: Refusal) -> WholeAnswer | web.StreamResponse | Refused:
        if self.attempts.sends:
            return self._give_up()
        if refusal.code.http_status != codes.NOT_SERVED.http_status:
            # Nothing was sent, whatever kept the scheduler from answering.
            return Refused(codes.NOT_SERVED, str(refusal.code), refusal.retry_after_s)
        return Refused(refusal.code, refusal.detail, refusal.retry_after_s)

    def _give_up(self) -> WholeAnswer | web.StreamResponse | Refused:
        """Return the best final answer after sends that all failed."""
        if self.response is not None:
            return self._abort("not resumed")
        if self.last_failure is not None:
            return self.last_failure
        if self.attempts.may_have_run:
            return Refused(codes.ENDPOINT_FAILED)
        return Refused(codes.TURNED_DOWN, retry_after_s=TURNED_DOWN_RETRY_S)

    async def _send(self, send: Send) -> WholeAnswer | web.StreamResponse | None:
        """Send the call once; return its final answer, ``None`` to go on elsewhere."""
        forwarder, call = self.forwarder, self.call
        call.sends += 1
        outcome = SendOutcome.UNKNOWN
        exchange: Exchange | None = None
        answer = None
        # Until the outcome is known, a cancellation counts as a call that may have run.
        self.attempts.record(SendOutcome.UNKNOWN)
        try:
            left_s = call.deadline_at - self.now()
            last_event_id = self.splitter.last_id or call.head.last_event_id
            exchange = await forwarder.endpoints.send(
                call, send.grant.endpoint, send.grant.address, left_s, last_event_id
            )
            outcome, answer = await self._receive(send, exchange)
        except NotSent:
            outcome, send.fault = SendOutcome.UNSENT, "refused"
        except Broken as error:
            outcome, send.fault = SendOutcome.UNKNOWN, "cut"
            forwarder.lines.note(
                "endpoint.broke",
                id=call.head.request,
                endpoint=send.grant.endpoint,
                reason=str(error),
                events=self.splitter.count,
            )
            broken = BrokenExchange(call, send.grant.endpoint, send.incarnation, send.grant.address)
            forwarder.timers.spawn(forwarder.crash_detector.check(broken))
        except BaseException:
            send.is_cancelled = True
            raise
        finally:
            if exchange is not None:
                exchange.close()
            self._report_done(send)
        self.attempts.replace_last(outcome)
        return answer

    async def _receive(
        self, send: Send, exchange: Exchange
    ) -> tuple[SendOutcome, WholeAnswer | web.StreamResponse | None]:
        """Take an answer whose head has arrived."""
        head = exchange.head
        self._record_first_byte(send)
        if head.load is not None:
            self.forwarder.placement.directory.report_load(
                send.grant.endpoint, head.load, self.now()
            )
        if not head.has_run:
            send.fault = "refused"
            return SendOutcome.TURNED_DOWN, None
        if not head.is_genuine:
            raise Broken("the answer is not the endpoint's own")
        if head.is_success and head.is_events:
            return SendOutcome.FAILED, await self._relay_events(send, exchange)
        answer = WholeAnswer(
            head, self.forwarder.dialect.answer_headers(exchange.response), await exchange.read()
        )
        if head.is_success:
            self.forwarder.suspects.record_answered(self.call)
        if self.response is not None:
            raise Broken("a resumed stream was not continued")
        if head.status < 500:
            return SendOutcome.FAILED, answer
        send.fault = "error"
        self.last_failure = answer
        return SendOutcome.FAILED, None

    def _record_first_byte(self, send: Send) -> None:
        send.first_at = self.now()
        if self.call.first_after_s < 0:
            self.call.first_after_s = send.first_at - self.call.received_at

    async def _relay_events(self, send: Send, exchange: Exchange) -> web.StreamResponse:
        """Relay a stream, and return once it has ended whole."""
        splitter, call = self.splitter, self.call
        splitter.drop_incomplete()
        stride = call.pool.tokens_per_event
        before = splitter.count
        while data := await exchange.read_some():
            events = self._split(data, before)
            if not events:
                continue
            if self.response is None:
                await self._begin_response(exchange)
            is_first = send.tokens == 0
            if is_first:
                self._record_first_byte(send)
            await self.response.write(events)
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
        self.forwarder.suspects.record_answered(call)
        self.forwarder.record_answer(call, self.response.status)
        return self.response

    def _split(self, data: bytes, before: int) -> bytes:
        """Return the whole events in a stream's next bytes.

        Raises
        ======
        Broken
            The stream doesn't end: one event, or more events than tokens were asked for.
        """
        try:
            events = self.splitter.feed(data)
        except EventTooLong as error:
            raise Broken(str(error)) from error
        most = self.call.head.output_tokens
        if most and self.splitter.count - before > most + MAX_TOKENLESS_EVENTS:
            raise Broken("more events than tokens were asked for")
        return events

    async def _begin_response(self, exchange: Exchange) -> None:
        """Send the caller the head of a stream's answer."""
        headers = self.forwarder.dialect.answer_headers(exchange.response)
        response = web.StreamResponse(status=exchange.head.status, headers=headers)
        if self.forwarder.is_closing:
            response.force_close()
        response.enable_chunked_encoding()
        await response.prepare(self.request)
        self.response = response

    def _abort(self, reason: str) -> web.StreamResponse:
        """Break off an answer that has begun, so that it doesn't look complete."""
        self.forwarder.record_answer(self.call, 0, fault=f"broken off: {reason}")
        transport = self.request.transport
        if transport is not None:
            transport.close()
        return self.response or web.Response(status=502)

    def _report_done(self, send: Send) -> None:
        """Tell the scheduler that a send has ended."""
        now = self.now()
        call = self.call
        first_s = (send.first_at or now) - send.sent_at
        self.forwarder.scheduler.report_done(
            Done(
                pool=call.pool.name,
                request=send.ticket.request,
                endpoint=send.grant.endpoint,
                version=send.grant.version,
                route=call.route.name,
                prompt_tokens=send.ticket.prompt_tokens,
                output_tokens=max(1, send.tokens),
                first_token_s=first_s,
                total_s=now - send.sent_at,
                fault=send.fault,
                cancelled=send.is_cancelled,
                first_tokens=send.first_tokens,
            )
        )
