"""The forwarding path of an entry on loopback, with scripted endpoints."""

from __future__ import annotations

import asyncio
import json
import math

from yarl import URL

from mulberrygate.catalog import CatalogIndex
from mulberrygate.core.http_client import open_session
from mulberrygate.core.timers import TimerService
from mulberrygate.daemon.http_server import HttpServer, make_server
from mulberrygate.daemon.placement import Placement, PoolOwners
from mulberrygate.endpoints.roster import Registration, Roster
from mulberrygate.entry.tickets import SchedulerClient
from mulberrygate.forward.limits import AccountLimits
from mulberrygate.forward.service import Forwarder
from mulberrygate.forward.suspects import Suspects
from mulberrygate.observe.metrics import Metrics
from mulberrygate.platform.documents import decode_document
from mulberrygate.platform.headers import PlatformDialect
from mulberrygate.platform.settings import Bounds, Site
from mulberrygate.sync.evidence import EvidenceReports
from mulberrygate.sync.messages import TrialRequest, TrialResult
from mulberrygate.sync.trials import TrialClient

HOST = "127.0.0.1"
REQUEST_ID = "X-Mulberrygate-Request-Id"
SIGNATURE = "X-Mulberrygate-Server-Signature"


class Lines:
    """Structured log that keeps its lines in memory."""

    def __init__(self):
        self.notes: list[tuple[str, dict]] = []

    def log(self, event, **fields):
        """Keep a line."""
        self.notes.append((event, fields))

    def of(self, event):
        """Return the fields of all lines of one event."""
        return [fields for kind, fields in self.notes if kind == event]

    def flush(self):
        """Do nothing; lines are kept."""


class LoopbackPeers:
    """Peer client that delivers each message to the same process."""

    def __init__(self):
        self.handlers = {}

    def on(self, cls, handler):
        """Register a handler."""
        self.handlers[cls] = handler

    def send(self, _instance, message):
        """Pass a message to its handler."""
        self.handlers[type(message)](message, "entry")

    async def call(self, _instance, message, _timeout_s):
        """Pass a message to its handler and return the answer."""
        return self.handlers[type(message)](message, "entry")


def document(**route):
    """Return a catalog document with a plain and a model pool; arguments override route fields."""
    routes = [
        {"name": "plain", "pathPrefix": "/plain/", "kind": "non_idempotent", "service": "booking"},
        {"name": "read", "pathPrefix": "/read/", "kind": "idempotent", "service": "booking"},
        {"name": "stream", "pathPrefix": "/stream/", "kind": "streaming", "service": "care"},
    ]
    usual = {"host": "a.example", "timeoutMs": 4000, "maxAttempts": 2}
    return {
        "version": 1,
        "routes": [{**usual, **fields, **route} for fields in routes],
        "services": [{"name": "care", "engine": {"slots": 4, "stride": 2}}, {"name": "booking"}],
        "limits": {"maxBodyBytes": 5000},
    }


# Requests of each route of `document_of_each_kind`, and the pools of the routes.
PATHS = ("/plain/1", "/read/1", "/stream/1", "/resumable/1")
POOLS = {"plain": "booking", "read": "booking", "stream": "care", "resumable": "care"}


def document_of_each_kind(**route):
    """Return a document like `document`, with a route whose streams are resumed as well."""
    fields = document(**route)
    stream = next(item for item in fields["routes"] if item["name"] == "stream")
    resumable = {"name": "resumable", "pathPrefix": "/resumable/", "resumable": True}
    fields["routes"].append({**stream, **resumable})
    return fields


class Endpoint:
    """Endpoint whose answers are written by a function that gets the raw request head."""

    def __init__(self, name, answer):
        self.name = name
        self.answer = answer
        self.requests: list[bytes] = []
        self.asked = asyncio.Event()
        self.left = asyncio.Event()

    async def start(self):
        """Listen on a port that the system chooses."""
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = f"{HOST}:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def serve(self, reader, writer):
        """Read one request and answer it."""
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            length = 0
            for line in head.split(b"\r\n"):
                if line.lower().startswith(b"content-length:"):
                    length = int(line.split(b":")[1])
            body = await reader.readexactly(length)
            self.requests.append(head + body)
            self.asked.set()
            await self.answer(self, reader, writer, head)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def registration(self, pool):
        """Return the endpoint's registration."""
        return Registration(self.name, 1, 1, pool, self.address, "a", "v1", 4)

    async def close(self):
        """Stop listening."""
        self.server.close()


def identifier(head):
    """Return the identifier header line of a request's head."""
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"x-mulberrygate-request-id:"):
            return line
    return b"X-None: 1"


def whole(status=200, body=b"done", *more):
    """Return an answer function that sends a body with a length."""

    async def answer(_endpoint, _reader, writer, head):
        lines = [b"HTTP/1.1 %d X" % status, identifier(head), SIGNATURE.encode() + b": s", *more]
        lines.append(b"Content-Length: %d" % len(body))
        writer.write(b"\r\n".join(lines) + b"\r\n\r\n" + body)
        await writer.drain()

    return answer


def crash():
    """Return an answer function that stops its endpoint and aborts the connection."""

    async def answer(endpoint, _reader, writer, _head):
        endpoint.server.close()
        writer.transport.abort()

    return answer


def stream(events, end=True, first=1, reset=False):
    """Return an answer function that sends a chunked stream of events, complete or broken off.

    With ``None`` for `end` the stream is left open for the caller to continue.
    """

    async def answer(_endpoint, _reader, writer, head):
        lines = [b"HTTP/1.1 200 OK", identifier(head), SIGNATURE.encode() + b": s"]
        lines += [b"Content-Type: text/event-stream", b"Transfer-Encoding: chunked"]
        writer.write(b"\r\n".join(lines) + b"\r\n\r\n")
        for number in range(first, first + events):
            event = b"id: %d\ndata: x\n\n" % number
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
        if end:
            writer.write(b"0\r\n\r\n")
        elif end is not None:
            writer.write(b"5\r\nid: 9\r\n")
        await writer.drain()
        await asyncio.sleep(0.05)
        if reset:
            writer.transport.abort()

    return answer


class Entry:
    """Forwarding path of one entry on loopback."""

    def __init__(self, fields=None, bounds=None, hedging=None):
        self.hedging = hedging
        self.site = Site(
            "entry", "entry-1", "a", "r", {"a": "r"}, "", "", "", 0, (), False, "", 3,
            bounds or Bounds(),
        )  # fmt: skip
        self.document = fields or document()
        self.lines = Lines()
        self.errors: list[str] = []

    async def start(self, **endpoints):
        """Listen, and start the given endpoints of each pool."""
        self.timers = TimerService(lambda name, error: self.errors.append(f"{name}: {error!r}"))
        self.roster = Roster()
        peers = LoopbackPeers()
        peers.on(TrialRequest, lambda request, _sender: self.decide_trial(request))
        view = PoolOwners("entry", lambda: "", lambda: ["entry"])
        view_metrics = Metrics()
        self.placement = Placement(
            self.site, peers, self.roster, self.timers, view_metrics, view,
            EvidenceReports(self.roster, self.timers.now), 1,
        )  # fmt: skip
        scheduler = SchedulerClient("entry", "a", peers, lambda: view, self.timers)
        limits = AccountLimits("entry", None, lambda: "", 0.0, lambda: 0.0)
        self.crashes = []
        self.forwarder = Forwarder(
            self.site, PlatformDialect(), self.placement, scheduler, limits,
            Suspects(self.crashes.append, lambda: None),
            TrialClient("entry", 1, peers, self.timers, lambda: "entry"), self.timers, self.lines,
            view_metrics, hedging=self.hedging,
        )  # fmt: skip
        server = make_server(self.forwarder.handle, True)
        self.http = HttpServer(server, HOST, 0, gate=self.forwarder.memory)
        await self.http.start()
        self.port = self.http.listener.sockets[0].getsockname()[1]
        for pool, members in endpoints.items():
            for endpoint in members:
                await endpoint.start()
                self.roster.record_report(endpoint.registration(pool), self.timers.now())
        self.endpoints = [item for members in endpoints.values() for item in members]
        self.put(self.document)
        self.session = open_session()
        return self

    def decide_trial(self, _request):
        """Grant no trial; tests replace this."""
        return TrialResult(False, math.inf)

    def put(self, fields):
        """Put a document in force as a catalog that always counts as current."""
        self.forwarder.catalog_current_at = math.inf
        self.forwarder.set_index(CatalogIndex(decode_document(json.dumps(fields).encode())))

    def request(self, path, method="POST", identifier="id-1", **headers):
        """Return the context of a request to the entry."""
        values = {"Host": "a.example", REQUEST_ID: identifier, **headers}
        url = URL(f"http://{HOST}:{self.port}{path}", encoded=True)
        return self.session.request(method, url, headers=values)

    async def close(self):
        """Stop the entry and its endpoints."""
        await self.session.close()
        await self.http.close()
        await self.forwarder.close()
        await self.timers.close()
        for endpoint in self.endpoints:
            await endpoint.close()


class CutLinks:
    """Cut of all new connections from one entry to some endpoints; open ones live on.

    Explanation
    ===========
    Entries of a test share their event loop, so the cut is made where an entry opens connections
    directly. Connections to other addresses, such as those of other entries, are left alone.

    Parameters
    ==========
    does_hang : bool
        Whether connections are never established, as opposed to refused.

    Attributes
    ==========
    tries : int
        Connections that the entry has tried to open directly.
    """

    def __init__(self, forwarder, endpoints, does_hang):
        self.dialer = forwarder.dialer
        self.addresses = {endpoint.address for endpoint in endpoints}
        self.does_hang = does_hang
        self.tries = 0
        self.connect, self.dialer.connect = self.dialer.connect, self.connect_cut

    async def connect_cut(self, host, port):
        """Open a connection, or fail as a link does that is gone."""
        if f"{host}:{port}" not in self.addresses:
            return await self.connect(host, port)
        self.tries += 1
        if self.does_hang:
            await asyncio.Event().wait()
        raise ConnectionRefusedError("the link is cut")

    def heal(self):
        """End the cut."""
        self.dialer.connect = self.connect
