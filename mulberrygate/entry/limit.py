"""Filter: read the body, bounded."""

from __future__ import annotations

import hashlib
import json

from mulberrygate.core.outcome import Refusal
from mulberrygate.entry.codes import BODY_TOO_LARGE, MALFORMED
from mulberrygate.entry.context import EntryParts, RequestContext

# No route may allow more, see `tables.model.Route`.
MAX_BODY_BYTES = 32 << 20


class LimitSize:
    """Read the body up to the limit and parse that of a model request."""

    def __init__(self, parts: EntryParts):
        self.parts = parts

    async def __call__(self, request: RequestContext, proceed):
        limit = self._limit(request)
        length = request.http.content_length
        if length is not None and length > limit:
            return Refusal(BODY_TOO_LARGE, f"the limit is {limit} bytes")
        body = bytearray()
        async for data in request.http.content.iter_any():
            body += data
            if len(body) > limit:
                return Refusal(BODY_TOO_LARGE, f"the limit is {limit} bytes")
        request.body = bytes(body)
        if request.is_model:
            refusal = self._parse(request)
            if refusal is not None:
                return refusal
        request.fingerprint = self._fingerprint(request)
        return await proceed()

    def _limit(self, request: RequestContext) -> int:
        """Return the limit before the route is known: the largest that any route allows."""
        routes = self.parts.in_force.routes.values()
        return min(MAX_BODY_BYTES, max((route.max_body_bytes for route in routes), default=0))

    @staticmethod
    def _parse(request: RequestContext) -> Refusal | None:
        try:
            payload = json.loads(request.body)
        except (ValueError, RecursionError) as error:
            return Refusal(MALFORMED, f"the body is not JSON: {str(error)[:200]}")
        if not isinstance(payload, dict):
            return Refusal(MALFORMED, "the body is not a JSON object")
        messages = payload.get("messages")
        if not isinstance(messages, list) or not all(isinstance(m, dict) for m in messages):
            return Refusal(MALFORMED, "messages is not a list of objects")
        if not isinstance(payload.get("model"), str):
            return Refusal(MALFORMED, "model does not name a route")
        request.payload = payload
        return None

    @staticmethod
    def _fingerprint(request: RequestContext) -> str:
        """Return a hash of the content that a crash can depend on."""
        digest = hashlib.blake2b(digest_size=16)
        digest.update(request.http.method.encode())
        digest.update(request.http.path_qs.encode())
        digest.update(b"\0")
        digest.update(request.body)
        return digest.hexdigest()
