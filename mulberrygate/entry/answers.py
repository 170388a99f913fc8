"""Problem JSON responses to callers for refusals and failures (RFC 9457)."""

from __future__ import annotations

import json
import math

from aiohttp import web

from mulberrygate.core.outcome import Refusal
from mulberrygate.core.promises import true_status

PROBLEM_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:mulberrygate:code:"


def refusal_status(refusal: Refusal) -> int:
    """Return the HTTP status of a refusal, which is not that of its code if it may have run."""
    return true_status(refusal.code.http_status, refusal.execution)


def problem(refusal: Refusal, request_id: str = "") -> dict:
    """Return the members of the problem document for a refusal."""
    code = refusal.code
    members = {
        "type": f"{TYPE_PREFIX}{code.number}",
        "title": code.name,
        "status": refusal_status(refusal),
        "code": code.number,
        "outcome": refusal.execution.value,
        "detail": refusal.detail or code.meaning,
    }
    if request_id:
        members["request"] = request_id
    if refusal.retry_after_s:
        members["retry_after_s"] = round(refusal.retry_after_s, 3)
    return members


def problem_response(
    refusal: Refusal, request_id: str = "", headers: dict[str, str] | None = None
) -> web.Response:
    """Return the HTTP response for a refusal."""
    headers = dict(headers or {})
    if refusal.retry_after_s:
        headers["Retry-After"] = str(max(1, math.ceil(refusal.retry_after_s)))
    status = refusal_status(refusal)
    if status == 401:
        headers["WWW-Authenticate"] = "Bearer"
    return web.Response(
        status=status,
        body=json.dumps(problem(refusal, request_id)).encode(),
        content_type=PROBLEM_TYPE,
        headers=headers,
    )


def problem_event(refusal: Refusal, request_id: str) -> bytes:
    """Return the server-sent event that ends a stream with an explicit error."""
    body = json.dumps({"error": problem(refusal, request_id)})
    return f"event: error\ndata: {body}\n\n".encode()
