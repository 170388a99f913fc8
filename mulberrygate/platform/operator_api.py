"""HTTP API of a control process for endpoints and operators."""

from __future__ import annotations

import json
import re
import zlib
from collections.abc import Mapping

import attrs
from aiohttp import hdrs, web

from mulberrygate.control.evacuations import OrderResult
from mulberrygate.core.memory_budget import Holder
from mulberrygate.core.memory_gate import (
    DEFAULT_MEMORY_BYTES,
    BodySlow,
    BodyTooLarge,
    MemoryGate,
    MemoryShort,
)
from mulberrygate.core.paced_response import send_if_long, whole_response
from mulberrygate.platform.documents import InvalidDocument, decode_document
from mulberrygate.platform.registrations import (
    MAX_REGISTRATION_BYTES,
    InvalidRegistration,
    decode_registration,
    is_name,
)
from mulberrygate.platform.values import (
    InvalidValue,
    parse_count,
    parse_decimal,
    parse_json,
    read_number,
    read_text,
)
from mulberrygate.sync.messages import ExplainPlacement

HOLDER = web.RequestKey("memory_holder", Holder)
MAX_DOCUMENT_BYTES = 16 << 20
INSTANCE = re.compile(r"/instances/([^/?]+)$")
QUARANTINED = re.compile(r"/quarantine/([0-9a-f]+|part-[0-9a-f]+(?:\+part-[0-9a-f]+)*)$")
EVACUATION = re.compile(r"/evacuate/([^/?]+)$")
ROLLOUT = re.compile(r"/rollouts/([^/?]+)$")


def answer(status: int, fields: dict | None = None) -> web.Response:
    """Return a JSON answer."""
    return web.json_response({} if fields is None else fields, status=status)


def decode_question(query: Mapping[str, str]) -> ExplainPlacement:
    """Return the question of a query about a request.

    Raises
    ======
    InvalidValue
        A field is missing, or a number can't be read.
    """
    if not query.get("host") or not query.get("path", "").startswith("/"):
        raise InvalidValue("host and a path from / are needed")
    return ExplainPlacement(
        host=query["host"],
        path=query["path"],
        request=query.get("request", ""),
        account=query.get("account", ""),
        prompt_tokens=parse_count(query.get("prompt_tokens", "0")),
        output_tokens=parse_count(query.get("output_tokens", "0")),
        expected_tokens=parse_count(query.get("expected_tokens", "0")),
        parts=tuple(part for part in query.get("parts", "").lower().split(",") if part),
        timeout_s=parse_decimal(query.get("timeout_s", "0")),
    )


def refuse_body(status: int) -> web.Response:
    """Return the answer to a call whose body was not read in full; nothing was done."""
    response = web.json_response({}, status=status, headers={"Retry-After": "1"})
    response.force_close()
    return response


class OperatorApi:
    """HTTP handler that decodes calls, passes them to the controller and encodes its answers.

    Attributes
    ==========
    compressed, document : bytes
        The document that was read last, compressed and as callers get it. Callers that read slowly
        share this copy.
    """

    def __init__(self, controller, gate: MemoryGate | None = None):
        self.controller = controller
        self.gate = gate
        self.compressed = b""
        self.document = b""

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call."""
        holder = Holder(request.remote or "")
        request[HOLDER] = holder
        try:
            response = await self._answer(request)
            await send_if_long(response, request, None)
            return response
        except BodySlow:
            return refuse_body(408)
        except MemoryShort:
            return refuse_body(503)
        finally:
            if self.gate is not None:
                self.gate.budget.bodies.release(holder)

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a call by its method and path."""
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
            return await self.delete_registration(found[1])
        if path == "/quarantine" and method == "GET":
            return self.get_quarantine()
        if path == "/placement" and method == "GET":
            return await self.get_placement(request)
        found = QUARANTINED.match(path)
        if found and method == "DELETE":
            return answer(200 if await self.controller.release_identity(found[1]) else 503)
        if path == "/evacuate" and method == "GET":
            return self.get_evacuations()
        found = EVACUATION.match(path)
        if found and method in ("POST", "DELETE"):
            return await self.put_evacuation(found[1], method == "POST")
        found = ROLLOUT.match(path)
        if found and method == "GET":
            return await self.get_rollout(found[1])
        return answer(404, {"error": "no such call"})

    async def read_body(self, request: web.BaseRequest, limit: int) -> bytes | None:
        """Return the body of a call, ``None`` if it is larger than the limit in bytes.

        Raises
        ======
        BodySlow, MemoryShort
            There is too little memory for the body.
        """
        if self.gate is None:
            self.gate = MemoryGate(DEFAULT_MEMORY_BYTES)
        try:
            return await self.gate.read_body(request, limit, request[HOLDER])
        except BodyTooLarge:
            return None

    async def put_document(self, request: web.BaseRequest) -> web.Response:
        """Apply a configuration document."""
        body = await self.read_body(request, MAX_DOCUMENT_BYTES)
        if body is None:
            return answer(413, {"error": "the document is too long"})
        try:
            catalog = decode_document(body)
        except InvalidDocument as error:
            self.controller.lines.log("catalog.refused", reason=str(error))
            return answer(400, {"error": str(error)})
        is_accepted = await self.controller.put_catalog(catalog, body)
        return answer(200, {"version": catalog.version}) if is_accepted else answer(503)

    async def get_document(self) -> web.StreamResponse:
        """Return the newest document.

        The status is 503 if the controller can't confirm which one is the newest.
        """
        latest = await self.controller.read_latest()
        if not latest.is_certain or not latest.catalog:
            return answer(503)
        if latest.catalog != self.compressed:
            self.compressed, self.document = latest.catalog, zlib.decompress(latest.catalog)
        return whole_response(200, [(hdrs.CONTENT_TYPE, "application/json")], self.document)

    async def put_registration(self, endpoint: str, request: web.BaseRequest) -> web.Response:
        """Register an endpoint or renew its registration; endpoints call this as a heartbeat."""
        body = await self.read_body(request, MAX_REGISTRATION_BYTES)
        if body is None:
            return answer(413)
        try:
            registration = decode_registration(endpoint, body)
        except InvalidRegistration as error:
            self.controller.lines.log("endpoint.refused", endpoint=endpoint, reason=str(error))
            return answer(400, {"error": str(error)})
        return answer(200 if await self.controller.reports.record_heartbeat(registration) else 503)

    async def delete_registration(self, endpoint: str) -> web.Response:
        """Mark an endpoint as ended."""
        if not is_name(endpoint):
            return answer(400, {"error": "the name is no text"})
        return answer(200 if await self.controller.reports.deregister(endpoint) else 503)

    def get_quarantine(self) -> web.Response:
        """Return what is quarantined; 503 if this process may not know all of it."""
        if not self.controller.is_current:
            return answer(503)
        found = [attrs.asdict(item) for item in self.controller.list_quarantined()]
        return answer(200, {"quarantined": found})

    async def put_evacuation(self, zone: str, is_evacuated: bool) -> web.Response:
        """Evacuate a zone, or withdraw that.

        Explanation
        ===========
        Orders are sent again until they get an answer of 2xx, 400, 409, 412, 413 or 422, so an
        unknown zone gets 422: the call can be read, and no repetition will be accepted.
        """
        result = await self.controller.evacuations.put(zone, is_evacuated)
        if result is OrderResult.UNKNOWN_DOMAIN:
            return answer(422, {"error": f"unknown zone {zone!r}"})
        return answer(200 if result is OrderResult.COMMITTED else 503)

    def get_evacuations(self) -> web.Response:
        """Return the evacuated zones; 503 if this process may not know all of them."""
        if not self.controller.is_current:
            return answer(503)
        return answer(200, self.controller.evacuations.describe())

    async def get_placement(self, request: web.BaseRequest) -> web.Response:
        """Return where a caller's request would go now; nothing is sent to an endpoint.

        Explanation
        ===========
        The query has the route's ``host`` and the ``path``; the rest may be left out. Callers can't
        reach this interface. It names accounts but takes and shows no key.
        """
        query = request.query
        try:
            question = decode_question(query)
        except InvalidValue as error:
            return answer(400, {"error": str(error)})
        entry, text = await self.controller.explain_placement(query.get("entry", ""), question)
        if not entry:
            return answer(404, {"error": "no such live entry"})
        if text is None:
            return answer(503, {"error": f"the entry {entry} doesn't answer"})
        return web.Response(text=text, content_type="application/json")

    async def post_rollout(self, request: web.BaseRequest) -> web.Response:
        """Begin the move of a pool to a version."""
        body = await self.read_body(request, MAX_REGISTRATION_BYTES) or b""
        try:
            fields = parse_json(body)
            if not isinstance(fields, dict):
                raise InvalidValue("no object")
            pool, target = read_text(fields, "service"), read_text(fields, "target")
            duration_s = read_number(fields, "durationS")
        except InvalidValue as error:
            return answer(400, {"error": str(error)})
        is_known = await self.controller.has_pool(pool)
        if is_known is None:
            return answer(503)
        if not is_known:
            return answer(404, {"error": f"unknown service {pool!r}"})
        is_accepted = await self.controller.begin_move(pool, target, duration_s)
        return answer(200 if is_accepted else 503)

    async def get_rollout(self, pool: str) -> web.Response:
        """Return state and target version of a pool's last move."""
        latest = await self.controller.read_latest()
        if not latest.is_certain:
            return answer(503)
        move = json.loads(latest.moves or b"{}").get(pool)
        if move is None:
            return answer(404, {"error": "no rollout of this service"})
        return answer(200, {"state": move[0], "target": move[1]})
