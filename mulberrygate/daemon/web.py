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
from mulberrygate.core.codes import code_by_number, register_code
from mulberrygate.core.outcome import Execution, Refusal
from mulberrygate.daemon.announcements import read_announcement
from mulberrygate.daemon.connections import error_middleware, listen
from mulberrygate.daemon.report import Reporter
from mulberrygate.endpoints.model import Announcement
from mulberrygate.entry.answers import problem_event, problem_response
from mulberrygate.entry.chain import Chain
from mulberrygate.entry.codes import BAD_QUERY, INTERNAL, MALFORMED, STOPPING, UNAUTHORIZED
from mulberrygate.entry.context import EntryParts, RequestContext
from mulberrygate.observe.logs import logger
from mulberrygate.peers.client import Unreachable
from mulberrygate.tables.model import MODEL, SERVICE
from mulberrygate.tables.parse import Faults, parse_table

log = logger("web")

TABLE_FAULTS = register_code(
    4090, "table_faults", "The table has faults; each is named with line and column.", 400
)

MAX_TABLE_BYTES = 16 << 20
MAX_EVENTS = 5000
MAX_OPERATOR_CHARS = 64

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


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
        self.listener: asyncio.Server | None = None

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=MAX_TABLE_BYTES, middlewares=[error_middleware])
        app.router.add_post("/v1/chat/completions", self.on_model)
        app.router.add_route("*", "/services/{route}/{path:[\\s\\S]*}", self.on_service)
        app.router.add_post("/endpoints/announce", self.on_announce)
        app.router.add_get("/health/live", self.on_live)
        app.router.add_get("/health/ready", self.on_ready)
        app.router.add_get("/metrics", self.on_metrics)
        app.router.add_post("/admin/tables/{table}", self.operators_only(self.on_apply))
        app.router.add_get("/admin/tables/{table}", self.operators_only(self.on_get_table))
        path = "/admin/evacuations/{failure_domain}"
        app.router.add_post(path, self.operators_only(self.on_evacuation))
        app.router.add_delete(path, self.operators_only(self.on_evacuation))
        app.router.add_get("/admin/status", self.operators_only(self.on_status))
        app.router.add_get("/admin/timeline", self.operators_only(self.on_timeline))
        if self.parts.settings.partition_switch:
            app.router.add_post("/admin/partition", self.operators_only(self.on_partition))
        return app

    async def start(self, host: str, port: int) -> None:
        """Listen on an address."""
        self.runner = web.AppRunner(
            self.application(), access_log=None, handler_cancellation=True, shutdown_timeout=2.0
        )
        await self.runner.setup()
        self.listener = await listen(self.runner.server, host, port)

    async def close(self) -> None:
        """Stop listening and close connections."""
        if self.listener is not None:
            self.listener.close()
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
            outcome = await self.chain.run(request)
        except asyncio.CancelledError:
            parts.metrics.count("requests_total", outcome="cancelled", tier=str(request.tier))
            raise
        except Exception as error:
            log.error("A request failed.", request=request.request_id, error=repr(error))
            execution = Execution.UNKNOWN if request.was_sent else Execution.NOT_RUN
            outcome = Refusal(INTERNAL, execution=execution)
        finally:
            self.active_requests -= 1
        return await self._answer(request, outcome)

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

    async def on_announce(self, request: web.Request) -> web.Response:
        """Handle an endpoint's announcement."""
        if not has_token(request, self.endpoint_token):
            return problem_response(Refusal(UNAUTHORIZED, "the endpoint token is wrong"))
        announcement = read_announcement(await request.read())
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

    async def on_metrics(self, _request: web.Request) -> web.Response:
        """Return the metrics in the text format of metrics collectors."""
        return web.Response(text=self.parts.metrics.text(), content_type="text/plain")

    def operators_only(self, handler: Handler) -> Handler:
        """Return a handler that requires the operator token."""

        async def check_token(request: web.Request) -> web.StreamResponse:
            if not has_token(request, self.operator_token):
                return problem_response(Refusal(UNAUTHORIZED, "the operator token is wrong"))
            return await handler(request)

        return check_token

    async def on_apply(self, request: web.Request) -> web.Response:
        """Put a table in force through the leader."""
        table = request.match_info["table"]
        content = await request.read()
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

    async def on_get_table(self, request: web.Request) -> web.Response:
        """Return the text of a table in force."""
        answer = await self.control.request(ReadTable(request.match_info["table"]))
        if isinstance(answer, Unreachable):
            return self._no_leader(answer)
        if answer.code:
            return problem_response(Refusal(code_by_number(answer.code), answer.detail))
        return web.Response(
            body=answer.content,
            content_type="text/plain",
            headers={"X-Table-Version": str(answer.version)},
        )

    async def on_status(self, _request: web.Request) -> web.Response:
        """Return the state of all instances."""
        return web.json_response(await self.reporter.status())

    async def on_timeline(self, request: web.Request) -> web.Response:
        """Return the merged timeline of all instances."""
        subjects = dict(request.query)
        text = subjects.pop("limit", "500")
        limit = int(text) if text.isascii() and text.isdigit() and len(text) < 10 else 0
        if not limit:
            return problem_response(Refusal(BAD_QUERY, "limit is not a positive whole number"))
        limit = min(MAX_EVENTS, limit)
        return web.json_response(await self.reporter.timeline(subjects, limit))

    async def on_partition(self, request: web.Request) -> web.Response:
        """Block messages to and from the named instances, to simulate a partition in tests."""
        try:
            blocked = set(json.loads(await request.read()))
        except (TypeError, ValueError):
            return problem_response(Refusal(MALFORMED, "the body is not a JSON list of names"))
        self.control.peers.blocked = blocked
        self.control.peers.server.blocked = blocked
        return web.json_response({"blocked": sorted(blocked)})


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
