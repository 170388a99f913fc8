"""Filter: record the result of a dispatched request."""

from __future__ import annotations

from mulberrygate.entry.context import EntryParts, RequestContext
from mulberrygate.schedule.messages import Done

COMPLETED = "completed"
FAILED = "failed"
UNKNOWN = "unknown"


class RecordResult:
    """Report the result to the ledger, the pool's scheduler and the metrics."""

    def __init__(self, parts: EntryParts):
        self.parts = parts

    async def __call__(self, request: RequestContext, proceed):
        await record_result(self.parts, request)
        return request.response


async def record_result(parts: EntryParts, request: RequestContext) -> None:
    """Report the result of a dispatched request to the ledger, the scheduler and the metrics."""
    result = request.result
    if result.is_reported:
        return
    report_dispatch(parts, request)
    if request.attempt is not None:
        outcome = COMPLETED if result.is_complete else FAILED if result.fault else UNKNOWN
        await parts.coordinator.finish(request.attempt, outcome, result.answer)


def report_dispatch(parts: EntryParts, request: RequestContext) -> None:
    """Report the end of one dispatch to the pool's scheduler and the metrics."""
    result = request.result
    result.is_reported = True
    grant = request.grant
    now = parts.timers.now()
    result.total_s = result.total_s or now - request.dispatched_at
    parts.crashes.record_end(
        request.fingerprint, grant.endpoint, result.fault, result.is_complete, now
    )
    parts.scheduler.report_done(
        Done(
            pool=request.pool_name,
            request=grant.request,
            endpoint=grant.endpoint,
            version=grant.version,
            route=request.route_name,
            prompt_tokens=request.prompt_tokens,
            output_tokens=result.output_tokens,
            first_token_s=result.first_token_s or result.total_s,
            total_s=result.total_s,
            fault=result.fault,
            cancelled=result.is_cancelled,
        )
    )
    _update_metrics(parts, request, now)
    parts.events.add(
        "entry.ended" if not result.fault else "entry.fault",
        result.fault or ("complete" if result.is_complete else "cancelled"),
        request=request.request_id,
        endpoint=grant.endpoint,
    )


def _update_metrics(parts: EntryParts, request: RequestContext, now: float) -> None:
    result = request.result
    metrics = parts.metrics
    tier = str(request.tier)
    if result.fault:
        metrics.count("endpoint_faults_total", fault=result.fault, endpoint=request.grant.endpoint)
    in_time = result.is_complete and not result.is_cancelled and now <= request.deadline_at
    if in_time:
        metrics.count("goodput_total", tier=tier)
    elif request.is_model:
        metrics.count("wasted_prefill_tokens_total", request.prompt_tokens, tier=tier)
    if request.is_model and result.first_token_s:
        waited = request.dispatched_at - request.received_at
        metrics.observe("first_token_seconds", waited + result.first_token_s, tier=tier)
        if result.output_tokens > 1:
            spread = result.total_s - result.first_token_s
            metrics.observe("inter_token_seconds", spread / (result.output_tokens - 1), tier=tier)
    if request.grant.region not in ("", parts.settings.region):
        metrics.count("cross_region_bytes_total", len(request.body) + result.received_bytes)
