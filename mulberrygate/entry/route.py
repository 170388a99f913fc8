"""Filter: find the route and pool, and estimate the lengths of prompt and output."""

from __future__ import annotations

from mulberrygate.core.outcome import Refusal
from mulberrygate.endpoints.prefix import estimate_tokens, prefix_hashes
from mulberrygate.entry.codes import (
    BODY_TOO_LARGE,
    MALFORMED,
    NOT_ALLOWED,
    UNKNOWN_ROUTE,
    WRONG_KIND,
)
from mulberrygate.entry.completion import has_surrogate, prompt_text
from mulberrygate.entry.context import EntryParts, RequestContext
from mulberrygate.entry.service_call import PASSED_HEADERS, service_target


class ChooseRoute:
    """Find the route that the caller names and its pool, and estimate prompt and output length."""

    def __init__(self, parts: EntryParts):
        self.parts = parts

    async def __call__(self, request: RequestContext, proceed):
        if request.is_model:
            request.route_name = request.payload["model"]
        else:
            request.route_name = request.http.match_info["route"]
        refusal = self._find(request) or self._estimate(request)
        if refusal is not None:
            return refusal
        return await proceed()

    def _find(self, request: RequestContext) -> Refusal | None:
        in_force = self.parts.in_force
        route = in_force.routes.get(request.route_name)
        if route is None:
            return Refusal(UNKNOWN_ROUTE, f"no route {request.route_name[:100]!r} is in force")
        request.route = route
        request.pool_name = route.pool
        request.pool = in_force.pools[route.pool]
        if request.pool.kind != request.kind:
            return Refusal(WRONG_KIND, f"{request.route_name} is a {request.pool.kind} route")
        if route.accounts and request.account_name not in route.accounts:
            return Refusal(NOT_ALLOWED)
        if len(request.body) > route.max_body_bytes:
            return Refusal(BODY_TOO_LARGE, f"the limit is {route.max_body_bytes} bytes")
        if not request.is_model:
            method = request.http.method
            request.is_idempotent = route.idempotent or method in route.idempotent_methods
        return None

    @staticmethod
    def _estimate(request: RequestContext) -> Refusal | None:
        if not request.is_model:
            return _check_service_call(request)
        route = request.route
        wanted = request.payload.get("max_tokens", route.max_output_tokens)
        if not isinstance(wanted, int) or isinstance(wanted, bool) or wanted < 1:
            return Refusal(MALFORMED, "max_tokens is not a positive whole number")
        request.output_tokens = min(wanted, route.max_output_tokens)
        text = prompt_text(request.payload)
        request.prompt_tokens = estimate_tokens(text)
        request.prefixes = prefix_hashes(text)
        return None


def _check_service_call(request: RequestContext) -> Refusal | None:
    """Refuse a call that can't be forwarded unchanged, before the begin in the ledger."""
    target = service_target(request.http.rel_url)
    # The URL parser drops a fragment, so the raw path is searched for one.
    is_plain = target.isascii() and target.isprintable() and " " not in target
    if not is_plain or "#" in request.http.raw_path:
        return Refusal(MALFORMED, "the path has characters that must be percent-encoded")
    for name in PASSED_HEADERS:
        if has_surrogate(request.http.headers.get(name, "")):
            return Refusal(MALFORMED, f"the header {name} is not UTF-8")
    return None
