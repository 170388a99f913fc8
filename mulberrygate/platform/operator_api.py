"""HTTP interface of a control process for endpoints and operators."""

from __future__ import annotations

import json
import re
import zlib

from aiohttp import web

from mulberrygate.platform.documents import InvalidDocument, decode_document
from mulberrygate.platform.registrations import (
    LARGEST_BYTES,
    InvalidRegistration,
    decode_registration,
)

LARGEST_DOCUMENT_BYTES = 16 << 20
INSTANCE = re.compile(r"/instances/([^/?]+)$")
ROLLOUT = re.compile(r"/rollouts/([^/?]+)$")


def answer(status: int, fields: dict | None = None) -> web.Response:
    """Return a JSON answer."""
    return web.json_response({} if fields is None else fields, status=status)


class OperatorApi:
    """Decode calls, hand them to the controller and encode its answers."""

    def __init__(self, controller):
        self.controller = controller

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call."""
        path, method = request.path, request.method
        if path == "/config" and method == "PUT":
            return await self.put_document(request)
        if path == "/config" and method == "GET":
            return await self.get_document()
        if path == "/rollouts" and method == "POST":
            return await self.post_rollout(request)
        found = INSTANCE.match(path)
        if found and method == "PUT":
            return await self.put_registration(found[1], request)
        if found and method == "DELETE":
            is_known = await self.controller.deregister(found[1])
            return answer(200 if is_known else 503)
        found = ROLLOUT.match(path)
        if found and method == "GET":
            return await self.get_rollout(found[1])
        return answer(404, {"error": "no such call"})

    async def read(self, request: web.BaseRequest, limit: int) -> bytes | None:
        """Return the body of a call, ``None`` if it is too long."""
        body = bytearray()
        async for chunk in request.content.iter_any():
            body += chunk
            if len(body) > limit:
                return None
        return bytes(body)

    async def put_document(self, request: web.BaseRequest) -> web.Response:
        """Put a document in force."""
        body = await self.read(request, LARGEST_DOCUMENT_BYTES)
        if body is None:
            return answer(413, {"error": "the document is too long"})
        try:
            catalog = decode_document(body)
        except InvalidDocument as error:
            self.controller.lines.note("catalog.refused", reason=str(error))
            return answer(400, {"error": str(error)})
        is_accepted = await self.controller.put_catalog(catalog, body)
        return answer(200, {"version": catalog.version}) if is_accepted else answer(503)

    async def get_document(self) -> web.Response:
        """Return the newest document, if it is certain which one that is."""
        latest = await self.controller.read_latest()
        if not latest.is_certain or not latest.catalog:
            return answer(503)
        body = zlib.decompress(latest.catalog)
        return web.Response(body=body, content_type="application/json")

    async def put_registration(self, endpoint: str, request: web.BaseRequest) -> web.Response:
        """Take an endpoint's heartbeat."""
        body = await self.read(request, LARGEST_BYTES)
        if body is None:
            return answer(413)
        try:
            registration = decode_registration(endpoint, body)
        except InvalidRegistration as error:
            self.controller.lines.note("endpoint.refused", endpoint=endpoint, reason=str(error))
            return answer(400, {"error": str(error)})
        return answer(200 if await self.controller.record_heartbeat(registration) else 503)

    async def post_rollout(self, request: web.BaseRequest) -> web.Response:
        """Begin a version move."""
        body = await self.read(request, LARGEST_BYTES) or b""
        try:
            fields = json.loads(body)
            pool, target = fields["service"], fields["target"]
            duration_s = float(fields["durationS"])
        except (ValueError, KeyError, TypeError) as error:
            return answer(400, {"error": f"{type(error).__name__}: {error}"})
        is_known = await self.controller.has_pool(pool)
        if is_known is None:
            return answer(503)
        if not is_known:
            return answer(404, {"error": f"unknown service {pool!r}"})
        is_accepted = await self.controller.begin_move(pool, target, duration_s)
        return answer(200 if is_accepted else 503)

    async def get_rollout(self, pool: str) -> web.Response:
        """Return the state of a version move."""
        latest = await self.controller.read_latest()
        if not latest.is_certain:
            return answer(503)
        move = json.loads(latest.moves or b"{}").get(pool)
        if move is None:
            return answer(404, {"error": "no rollout of this service"})
        return answer(200, {"state": move[0], "target": move[1]})
