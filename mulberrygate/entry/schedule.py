"""Filter: wait for a grant of the pool's scheduler."""

from __future__ import annotations

from mulberrygate.core.outcome import Refusal
from mulberrygate.entry.codes import NO_GRANT, TOO_MANY_WAITING
from mulberrygate.entry.context import EntryParts, RequestContext, TryElsewhere
from mulberrygate.schedule.messages import Ticket

# Tries of a request whose endpoints refused the connection, or of an idempotent call that failed.
MAX_TRIES = 4


class Schedule:
    """Wait for a grant; try again while the filters after it say that nothing was sent.

    See Also
    ========
    mulberrygate.entry.tickets.TicketDesk
    """

    def __init__(self, parts: EntryParts):
        self.parts = parts

    async def __call__(self, request: RequestContext, proceed):
        parts = self.parts
        if parts.desk.count_waiting(request.account_name) >= request.account.max_waiting:
            return Refusal(TOO_MANY_WAITING, retry_after_s=1.0)
        for request.tries in range(MAX_TRIES):
            grant = await parts.desk.acquire(self._ticket(request), request.deadline_at)
            now = parts.timers.now()
            if isinstance(grant, Refusal):
                parts.metrics.count(
                    "shed_total", tier=str(request.tier), code=str(grant.code.number)
                )
                parts.events.add("entry.shed", str(grant.code), request=request.request_id)
                return grant
            parts.metrics.observe(
                "queue_wait_seconds", now - request.received_at, tier=str(request.tier)
            )
            request.grant = grant
            request.granted_at = now
            outcome = await proceed()
            if not isinstance(outcome, TryElsewhere):
                return outcome
            request.avoid = (*request.avoid, grant.endpoint)
        return Refusal(NO_GRANT, retry_after_s=1.0)

    def _ticket(self, request: RequestContext) -> Ticket:
        # The suffix keeps a late answer to an earlier try apart from this one.
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
