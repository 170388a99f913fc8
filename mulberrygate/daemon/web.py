"""HTTP server of an instance: callers, endpoints, operators and the platform."""

from __future__ import annotations

import asyncio
import hmac
import json
import uuid
from collections.abc import Awaitable, Callable

from aiohttp import web

from mulberrygate.control.client import ANSWER_LOST, NO_LEADER, UNDETERMINED, ControlClient
from mulberrygate.control.messages import ApplyRequest, EvacuationRequest, ReadTable
from mulberrygate.core.codes import Code, code_by_number, register_code
from mulberrygate.core.memory_budget import Holder
from mulberrygate.core.outcome import Execution, Refusal
from mulberrygate.core.paced_response import send_if_long, whole_response
from mulberrygate.daemon.announcements import (
    BAD_ANNOUNCEMENT,
    MAX_ANNOUNCEMENT_BYTES,
    read_announcement,
)
from mulberrygate.daemon.connections import Connection, error_middleware
from mulberrygate.daemon.http_server import HttpServer, connection_options, max_caller_connections
from mulberrygate.daemon.report import Reporter
from mulberrygate.daemon.sockets import count_sockets
from mulberrygate.endpoints.model import Announcement
from mulberrygate.entry.answers import problem_event, problem_response
from mulberrygate.entry.chain import Chain
from mulberrygate.entry.codes import (
    BAD_QUERY,
    BODY_TOO_LARGE,
    INTERNAL,
    MALFORMED,
    MEMORY_SHORT,
    STOPPING,
    UNAUTHORIZED,
)
from mulberrygate.entry.context import EntryParts, RequestContext
from mulberrygate.entry.read_body import MEMORY_RETRY_S, read_bounded
from mulberrygate.observe.logs import logger
from mulberrygate.peers.client import Unreachable
from mulberrygate.tables.model import MODEL, SERVICE
from mulberrygate.tables.parse import Faults, parse_table

log = logger("web")

TABLE_FAULTS = register_code(
    4090, "table_faults", "The table has faults; each is named with line and column.", 400
)

MAX_TABLE_BYTES = 16 << 20
MAX_LINE_BYTES = 8190
# Longer than load balancers keep idle connections, so that they don't reuse one that is closing.
IDLE_TIMEOUT_S = 3630.0
MAX_PARTITION_BYTES = 64 << 10
# Longest wait of an answer for memory.
ANSWER_WAIT_S = 5.0
MAX_EVENTS = 5000
MAX_OPERATOR_CHARS = 64

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
BodyHandler = Callable[[web.Request, bytes], Awaitable[web.StreamResponse]]


class WebServer:
    """HTTP server of an instance.

    Parameters
    ==========
    is_ready : Callable[[], bool]
        Whether the platform's load balancer may send requests here.
    accept_announcement : Callable[[Announcement], Refusal | None]
        Registers an endpoint's announcement, or returns why it is refused.
    """

    def __init__(
        self,
        parts: EntryParts,
        chain: Chain,
        control: ControlClient,
        reporter: Reporter,
        operator_token: str,
        endpoint_token: str,
        is_ready: Callable[[], bool],
        accept_announcement: Callable[[Announcement], Refusal | None],
    ):
        self.parts = parts
        self.chain = chain
        self.control = control
        self.reporter = reporter
        self.operator_token = operator_token
        self.endpoint_token = endpoint_token
        self.is_ready = is_ready
        self.accept_announcement = accept_announcement
        self.active_requests = 0
        self.runner: web.AppRunner | None = None
        self.http: HttpServer | None = None
        # Parsing a table takes several times its size, so one is parsed at a time.
        self.table_lock = asyncio.Lock()

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=MAX_TABLE_BYTES, middlewares=[error_middleware])
        app.router.add_post("/v1/chat/completions", self.on_model)
        app.router.add_route("*", "/services/{route}/{path:[\\s\\S]*}", self.on_service)
        app.router.add_get("/health/live", self.on_live)
        app.router.add_get("/health/ready", self.on_ready)
        app.router.add_get("/metrics", self.on_metrics)
        announce = self.with_body(
            MAX_ANNOUNCEMENT_BYTES, self.on_announce, too_large=BAD_ANNOUNCEMENT
        )
        app.router.add_post("/endpoints/announce", self.endpoints_only(announce))
        apply = self.with_body(MAX_TABLE_BYTES, self.on_apply)
        app.router.add_post("/admin/tables/{table}", self.operators_only(apply))
        app.router.add_get("/admin/tables/{table}", self.operators_only(self.on_get_table))
        path = "/admin/evacuations/{failure_domain}"
        app.router.add_post(path, self.operators_only(self.on_evacuation))
        app.router.add_delete(path, self.operators_only(self.on_evacuation))
        app.router.add_get("/admin/status", self.operators_only(self.on_status))
        app.router.add_get("/admin/timeline", self.operators_only(self.on_timeline))
        if self.parts.settings.partition_switch:
            partition = self.with_body(MAX_PARTITION_BYTES, self.on_partition)
            app.router.add_post("/admin/partition", self.operators_only(partition))
        return app

    async def start(self, host: str, port: int) -> None:
        """Listen on an address."""
        self.runner = web.AppRunner(
            self.application(),
            handler_cancellation=True,
            shutdown_timeout=2.0,
            **connection_options(line_bytes=MAX_LINE_BYTES, idle_s=IDLE_TIMEOUT_S),
        )
        await self.runner.setup()
        sockets = count_sockets(self.parts.settings.max_descriptors)
        self.http = HttpServer(
            self.runner.server,
            host,
            port,
            gate=self.parts.gate,
            max_connections=max_caller_connections(sockets),
            connection_class=Connection,
        )
        await self.http.start()

    def sweep(self, now: float) -> None:
        """Close what makes no progress while memory is short; call it each `SWEEP_INTERVAL_S`."""
        if self.http is not None:
            self.http.sweep(now)

    async def close(self) -> None:
        """Stop listening and close connections."""
        if self.http is not None:
            self.http.listener.close()
        if self.runner is not None:
            await self.runner.cleanup()

    async def on_model(self, request: web.Request) -> web.StreamResponse:
        """Serve a chat completion."""
        return await self._serve(request, MODEL)

    async def on_service(self, request: web.Request) -> web.StreamResponse:
        """Serve a call to a plain service."""
        return await self._serve(request, SERVICE)

    async def _serve(self, http: web.Request, kind: str) -> web.StreamResponse:
        parts = self.parts
        request = RequestContext(http, kind, uuid.uuid4().hex, parts.timers.now())
        if parts.is_stopping:
            refusal = Refusal(STOPPING, retry_after_s=1.0)
            return problem_response(refusal, request.request_id, {"Connection": "close"})
        self.active_requests += 1
        try:
            response = await self._run(request)
            await send_if_long(response, http, request.answer_holder)
            return response
        finally:
            self.active_requests -= 1
            self._release_memory(request)

    async def _run(self, request: RequestContext) -> web.StreamResponse:
        """Run a request through the filters and return the response to its caller."""
        try:
            outcome = await self.chain.run(request)
        except asyncio.CancelledError:
            tier = str(request.tier)
            self.parts.metrics.count("requests_total", outcome="cancelled", tier=tier)
            raise
        except Exception as error:
            log.error("A request failed.", request=request.request_id, error=repr(error))
            execution = Execution.UNKNOWN if request.was_sent else Execution.NOT_RUN
            outcome = Refusal(INTERNAL, execution=execution)
        return await self._answer(request, outcome)

    def _release_memory(self, request: RequestContext) -> None:
        """Give back the memory of a request, once nothing goes on with it."""
        detached = request.detached
        if detached is not None and not detached.done():
            detached.add_done_callback(lambda _task: self._release_memory(request))
            return
        self.parts.gate.budget.bodies.release(request.body_holder)
        self.parts.gate.budget.answers.release(request.answer_holder)

    async def _answer(
        self, request: RequestContext, outcome: web.StreamResponse | Refusal
    ) -> web.StreamResponse:
        tier = str(request.tier)
        if not isinstance(outcome, Refusal):
            self.parts.metrics.count("requests_total", outcome="answered", tier=tier)
            return outcome
        self.parts.metrics.count("requests_total", outcome=outcome.execution.value, tier=tier)
        self.parts.events.add(
            "entry.refused",
            f"{outcome.code}, {outcome.execution.value}",
            request=request.request_id,
            account=request.account_name,
        )
        if request.response is not None:
            await request.response.write(problem_event(outcome, request.request_id))
            await request.response.write_eof()
            return request.response
        headers = {"Idempotency-Key": request.key} if request.key else {}
        return problem_response(outcome, request.request_id, headers)

    async def on_announce(self, _request: web.Request, body: bytes) -> web.Response:
        """Handle an endpoint's announcement."""
        announcement = read_announcement(body)
        if isinstance(announcement, Refusal):
            return problem_response(announcement)
        refusal = self.accept_announcement(announcement)
        if refusal is not None:
            return problem_response(refusal)
        return web.json_response({"accepted": announcement.sequence})

    async def on_live(self, _request: web.Request) -> web.Response:
        """Answer the liveness probe, which shows that the event loop runs."""
        return web.json_response({"live": True})

    async def on_ready(self, _request: web.Request) -> web.Response:
        """Answer the readiness probe of the load balancer."""
        ready = self.is_ready()
        return web.json_response({"ready": ready}, status=200 if ready else 503)

    async def on_metrics(self, request: web.Request) -> web.StreamResponse:
        """Return the metrics in the text format of metrics collectors."""
        return await self._send(request, self.parts.metrics.text().encode(), "text/plain")

    async def _send(
        self,
        request: web.Request,
        body: bytes,
        content_type: str,
        headers: dict[str, str] | None = None,
    ) -> web.StreamResponse:
        """Send an answer of any length once there is memory for it."""
        gate, holder = self.parts.gate, Holder(request.remote or "")
        try:
            if not await gate.reserve(gate.budget.answers, holder, len(body), ANSWER_WAIT_S):
                gate.count("answer_refused")
                return problem_response(Refusal(MEMORY_SHORT, retry_after_s=MEMORY_RETRY_S))
            all_headers = {"Content-Type": f"{content_type}; charset=utf-8", **(headers or {})}
            response = whole_response(200, list(all_headers.items()), body)
            await send_if_long(response, request, holder)
            return response
        finally:
            gate.budget.answers.release(holder)

    def operators_only(self, handler: Handler) -> Handler:
        """Return a handler that requires the operator token."""
        return require_token(self.operator_token, "operator", handler)

    def endpoints_only(self, handler: Handler) -> Handler:
        """Return a handler that requires the endpoint token."""
        return require_token(self.endpoint_token, "endpoint", handler)

    def with_body(
        self, limit: int, handler: BodyHandler, too_large: Code = BODY_TOO_LARGE
    ) -> Handler:
        """Return a handler that reads a body of up to a number of bytes for another one."""

        async def read_body(request: web.Request) -> web.StreamResponse:
            holder = Holder(request.remote or "")
            try:
                body = await read_bounded(self.parts.gate, request, limit, holder)
                if isinstance(body, Refusal):
                    if body.code is BODY_TOO_LARGE:
                        body = Refusal(too_large, body.detail)
                    return problem_response(body, headers={"Connection": "close"})
                return await handler(request, body)
            finally:
                self.parts.gate.budget.bodies.release(holder)

        return read_body

    async def on_apply(self, request: web.Request, content: bytes) -> web.Response:
        """Put a table in force through the leader."""
        table = request.match_info["table"]
        async with self.table_lock:
            parsed = await asyncio.to_thread(parse_table, content, table)
        if isinstance(parsed, Faults):
            return self._table_faults(table, parsed)
        return await self._order(ApplyRequest(table, content, operator_name(request)))

    async def on_evacuation(self, request: web.Request) -> web.Response:
        """Evacuate a failure domain (POST) or withdraw that (DELETE) through the leader."""
        name = request.match_info["failure_domain"]
        is_evacuated = request.method == "POST"
        return await self._order(EvacuationRequest(name, is_evacuated, operator_name(request)))

    async def _order(self, message: ApplyRequest | EvacuationRequest) -> web.Response:
        """Send an operator's order to the leader and return its answer."""
        answer = await self.control.request(message)
        if isinstance(answer, Unreachable):
            return self._no_leader(answer)
        if answer.code:
            code = code_by_number(answer.code)
            is_undetermined = answer.code == UNDETERMINED.number
            execution = Execution.UNKNOWN if is_undetermined else Execution.NOT_RUN
            return problem_response(Refusal(code, answer.detail, execution))
        return web.json_response({"revision": answer.revision, "detail": answer.detail})

    @staticmethod
    def _table_faults(table: str, faults: Faults) -> web.Response:
        lines = [f"{table}:{f.line}:{f.column}: {f.detail}" for f in faults.faults[:100]]
        return problem_response(Refusal(TABLE_FAULTS, "\n".join(lines)))

    @staticmethod
    def _no_leader(unreachable: Unreachable) -> web.Response:
        if unreachable.instance:
            return problem_response(
                Refusal(ANSWER_LOST, unreachable.reason, Execution.UNKNOWN, 1.0)
            )
        return problem_response(Refusal(NO_LEADER, unreachable.reason, retry_after_s=1.0))

    async def on_get_table(self, request: web.Request) -> web.StreamResponse:
        """Return the text of a table in force."""
        answer = await self.control.request(ReadTable(request.match_info["table"]))
        if isinstance(answer, Unreachable):
            return self._no_leader(answer)
        if answer.code:
            return problem_response(Refusal(code_by_number(answer.code), answer.detail))
        headers = {"X-Table-Version": str(answer.version)}
        return await self._send(request, answer.content, "text/plain", headers)

    async def on_status(self, request: web.Request) -> web.StreamResponse:
        """Return the state of all instances."""
        return await self._send_json(request, await self.reporter.status())

    async def _send_json(self, request: web.Request, fields: dict) -> web.StreamResponse:
        return await self._send(request, json.dumps(fields).encode(), "application/json")

    async def on_timeline(self, request: web.Request) -> web.StreamResponse:
        """Return the merged timeline of all instances."""
        subjects = dict(request.query)
        text = subjects.pop("limit", "500")
        limit = int(text) if text.isascii() and text.isdigit() and len(text) < 10 else 0
        if not limit:
            return problem_response(Refusal(BAD_QUERY, "limit is not a positive whole number"))
        limit = min(MAX_EVENTS, limit)
        return await self._send_json(request, await self.reporter.timeline(subjects, limit))

    async def on_partition(self, _request: web.Request, body: bytes) -> web.Response:
        """Block messages to and from the named instances, to simulate a partition in tests."""
        try:
            blocked = set(json.loads(body))
        except (TypeError, ValueError):
            return problem_response(Refusal(MALFORMED, "the body is not a JSON list of names"))
        self.control.peers.blocked = blocked
        self.control.peers.server.blocked = blocked
        return web.json_response({"blocked": sorted(blocked)})


def require_token(token: str, owner: str, handler: Handler) -> Handler:
    """Return a handler that requires a bearer token."""

    async def check_token(request: web.Request) -> web.StreamResponse:
        if not has_token(request, token):
            return problem_response(Refusal(UNAUTHORIZED, f"the {owner} token is wrong"))
        return await handler(request)

    return check_token


def has_token(request: web.Request, token: str) -> bool:
    """Return whether a token is the bearer token of a request."""
    scheme, _, given = request.headers.get("Authorization", "").partition(" ")
    # Bytes that are not UTF-8 arrive as surrogates.
    is_same = hmac.compare_digest(given.strip().encode("utf-8", "surrogateescape"), token.encode())
    return is_same and scheme == "Bearer"


def operator_name(request: web.Request) -> str:
    """Return the operator that a request names."""
    return printable(request.headers.get("X-Operator", ""))[:MAX_OPERATOR_CHARS]


def printable(text: str) -> str:
    """Return a text without control characters and unpaired surrogates."""
    return "".join(char for char in text if char.isprintable())
