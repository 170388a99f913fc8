"""Filter: read the body up to the size limit."""

from __future__ import annotations

import asyncio
import hashlib

import aiohttp
from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError

from mulberrygate.core.outcome import Refusal
from mulberrygate.entry.codes import BODY_SILENT, BODY_TOO_LARGE, MALFORMED
from mulberrygate.entry.completion import parse_completion
from mulberrygate.entry.context import EntryParts, RequestContext

# Upper bound of every route's limit, see `tables.model.Route`.
MAX_BODY_BYTES = 32 << 20
# A body that stops arriving must not block the request for ever; aiohttp also keeps the reader
# waiting after a malformed chunk.
BODY_SILENCE_S = 10.0


class ReadBody:
    """Read the body up to the limit and parse that of a model request."""

    def __init__(self, parts: EntryParts):
        self.parts = parts

    async def __call__(self, request: RequestContext, proceed):
        limit = self._limit(request)
        length = request.http.content_length
        if length is not None and length > limit:
            return Refusal(BODY_TOO_LARGE, f"the limit is {limit} bytes")
        body = bytearray()
        try:
            while not request.http.content.at_eof():
                async with asyncio.timeout(BODY_SILENCE_S):
                    body += await request.http.content.readany()
                if len(body) > limit:
                    return Refusal(BODY_TOO_LARGE, f"the limit is {limit} bytes")
        except TimeoutError:
            return Refusal(BODY_SILENT)
        except (HttpProcessingError, aiohttp.ClientPayloadError, web.RequestPayloadError) as error:
            return Refusal(MALFORMED, f"the body can't be read: {type(error).__name__}")
        request.body = bytes(body)
        if request.is_model:
            payload = parse_completion(request.body)
            if isinstance(payload, Refusal):
                return payload
            request.payload = payload
        request.fingerprint = self._fingerprint(request)
        return await proceed()

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
