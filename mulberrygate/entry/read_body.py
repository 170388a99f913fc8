"""Filter: read the body up to the size limit."""

from __future__ import annotations

import hashlib

import aiohttp
from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError

from mulberrygate.core.memory_budget import Holder
from mulberrygate.core.memory_gate import (
    BODY_WAIT_S,
    BodySlow,
    BodyTooLarge,
    MemoryGate,
    MemoryShort,
)
from mulberrygate.core.outcome import Refusal
from mulberrygate.entry.codes import (
    BODY_SILENT,
    BODY_TOO_LARGE,
    MALFORMED,
    MEMORY_SHORT,
    TOO_MANY_VALUES,
)
from mulberrygate.entry.completion import parse_completion, parsed_bytes, parsing_bytes
from mulberrygate.entry.context import EntryParts, RequestContext

# Upper bound of every route's limit, see `tables.model.Route`.
MAX_BODY_BYTES = 32 << 20
# A body that stops arriving must not block the request for ever; aiohttp also keeps the reader
# waiting after a malformed chunk.
BODY_SILENCE_S = 10.0
MEMORY_RETRY_S = 1.0


async def read_bounded(
    gate: MemoryGate, http: web.BaseRequest, limit: int, holder: Holder
) -> bytes | Refusal:
    """Return the body of a request, or why it was not read; nothing was done then.

    Parameters
    ==========
    limit : int
        Bytes that the body may have.
    holder : Holder
        Holds the memory of the body until the caller of this function releases it.
    """
    try:
        return await gate.read_body(http, limit, holder, BODY_SILENCE_S)
    except BodyTooLarge:
        return Refusal(BODY_TOO_LARGE, f"the limit is {limit} bytes")
    except BodySlow:
        return Refusal(BODY_SILENT)
    except MemoryShort:
        return Refusal(MEMORY_SHORT, retry_after_s=MEMORY_RETRY_S)
    except (HttpProcessingError, aiohttp.ClientPayloadError, web.RequestPayloadError) as error:
        return Refusal(MALFORMED, f"the body can't be read: {type(error).__name__}")


class ReadBody:
    """Read the body up to the limit and parse that of a model request."""

    def __init__(self, parts: EntryParts):
        self.parts = parts

    async def __call__(self, request: RequestContext, proceed):
        group = request.account_name
        request.body_holder, request.answer_holder = Holder(group), Holder(group)
        body = await read_bounded(
            self.parts.gate, request.http, self._limit(request), request.body_holder
        )
        if isinstance(body, Refusal):
            return body
        request.body = body
        if request.is_model:
            refusal = await self._parse(request)
            if refusal is not None:
                return refusal
        request.fingerprint = self._fingerprint(request)
        return await proceed()

    async def _parse(self, request: RequestContext) -> Refusal | None:
        """Parse a model request within the memory that there is for bodies."""
        gate, holder = self.parts.gate, request.body_holder
        pool = gate.budget.bodies
        needed = parsing_bytes(request.body)
        if needed > pool.capacity:
            return Refusal(TOO_MANY_VALUES)
        if not await gate.reserve(pool, holder, needed, BODY_WAIT_S):
            gate.count("body_refused")
            return Refusal(MEMORY_SHORT, retry_after_s=MEMORY_RETRY_S)
        payload = parse_completion(request.body)
        if isinstance(payload, Refusal):
            return payload
        request.payload = payload
        pool.shrink(holder, len(request.body) + parsed_bytes(request.body))
        return None

    def _limit(self, request: RequestContext) -> int:
        """Return the largest limit of any route, since the route is not known yet."""
        routes = self.parts.in_force.routes.values()
        return min(MAX_BODY_BYTES, max((route.max_body_bytes for route in routes), default=0))

    @staticmethod
    def _fingerprint(request: RequestContext) -> str:
        """Return a hash of the content that can affect whether an endpoint crashes."""
        digest = hashlib.blake2b(digest_size=16)
        digest.update(request.http.method.encode())
        digest.update(request.http.path_qs.encode())
        digest.update(b"\0")
        digest.update(request.body)
        return digest.hexdigest()
