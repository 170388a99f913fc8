"""Filter: wait for a grant from the pool's scheduler."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from mulberrygate.core.outcome import Execution, Refusal
from mulberrygate.entry.codes import NO_GRANT, TOO_MANY_WAITING
from mulberrygate.entry.context import EntryParts, RequestContext, RetryElsewhere
from mulberrygate.schedule.messages import Grant, Ticket

# Dispatches of one request, if endpoints refuse the connection or an idempotent call fails.
MAX_TRIES = 4
# Backoff after the first dispatch, doubled after each. For about a second the owner may grant an
# endpoint that this entry already knows to be leaving; without a pause all dispatches failed
# within a few milliseconds.
FIRST_PAUSE_S = 0.1


class Schedule:
    """Wait for a grant; wait for another one if the later filters ask for another endpoint.

    See Also
    ========
    mulberrygate.entry.tickets.SchedulerClient
    """

    def __init__(self, parts: EntryParts):
        self.parts = parts

    async def __call__(self, request: RequestContext, proceed):
        scheduler = self.parts.scheduler
        if scheduler.count_waiting(request.account_name) >= request.account.max_waiting:
            return Refusal(TOO_MANY_WAITING, retry_after_s=1.0)
        for request.tries in range(MAX_TRIES):
            grant = await scheduler.acquire(self._ticket(request), request.deadline_at)
            if isinstance(grant, Refusal):
                self._record_shed(request, grant)
                return _with_true_execution(grant, request.was_sent)
            self._record_grant(request, grant)
            outcome = await proceed()
            if not isinstance(outcome, RetryElsewhere):
                return _with_true_execution(outcome, request.was_sent)
            request.avoid = (*request.avoid, grant.endpoint)
            if request.tries + 1 < MAX_TRIES:
                await asyncio.sleep(FIRST_PAUSE_S * 2**request.tries)
        return _with_true_execution(Refusal(NO_GRANT, retry_after_s=1.0), request.was_sent)

    def _record_shed(self, request: RequestContext, refusal: Refusal) -> None:
        code = refusal.code
        self.parts.metrics.count("shed_total", tier=str(request.tier), code=str(code.number))
        self.parts.events.add("entry.shed", str(code), request=request.request_id)

    def _record_grant(self, request: RequestContext, grant: Grant) -> None:
        now = self.parts.timers.now()
        waited = now - request.received_at
        self.parts.metrics.observe("queue_wait_seconds", waited, tier=str(request.tier))
        request.grant = grant
        request.granted_at = now

    def _ticket(self, request: RequestContext) -> Ticket:
        # The suffix distinguishes the ticket from those of earlier dispatches, whose late answers
        # must not be taken for this one's.
        suffix = f"~{request.tries}" if request.tries else ""
        return Ticket(
            request=request.request_id + suffix,
            entry=self.parts.settings.instance,
            pool=request.pool_name,
            route=request.route_name,
            account=request.account_name,
            weight=request.account.weight,
            tier=request.tier,
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.output_tokens,
            prefixes=request.prefixes,
            deadline_s=request.remaining_s(self.parts.timers.now()),
            idempotent=request.is_idempotent,
            attempt=request.tries,
            avoid=(*request.avoid, *self.parts.crashes.avoided_endpoints(request.fingerprint)),
        )


def _with_true_execution(outcome, was_sent: bool):
    """Return an outcome, with "unknown" for "not run" if an earlier dispatch may have run."""
    if was_sent and isinstance(outcome, Refusal) and outcome.execution is Execution.NOT_RUN:
        return replace(outcome, execution=Execution.UNKNOWN)
    return outcome
