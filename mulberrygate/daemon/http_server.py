"""HTTP server of one address, whose connections and memory are bounded."""

from __future__ import annotations

import asyncio
import os
import socket
from typing import Any

from aiohttp import web

from mulberrygate.catalog import RequestLimits
from mulberrygate.core.memory_gate import DEFAULT_MEMORY_BYTES, MemoryGate
from mulberrygate.daemon.bounded_connection import BoundedConnection
from mulberrygate.daemon.idle_connections import IdleConnections
from mulberrygate.daemon.sockets import BACKLOG

MAX_LINE_BYTES = 16384
# Time for connections to send the rest of their answers when the server closes.
SHUTDOWN_TIMEOUT_S = 0.2
# Time for requests that were on their way when the server stopped listening.
LAST_REQUEST_S = 0.25
# Connections that are accepted before those accepted last are counted.
ACCEPT_BATCH = 16
# Body bytes that the HTTP library buffers; it pauses reading at twice this size.
BODY_BUFFER_BYTES = 64 << 10
# A head may have this multiple of the catalog's limit, which counts header lines only.
HEAD_FACTOR = 2
MIN_HEAD_BYTES = 32 << 10
# Connections on a machine whose settings don't say its descriptors.
DEFAULT_MAX_CONNECTIONS = 2000
# Sockets for peers, readiness checks, and connections that were accepted and not yet counted.
RESERVED_SOCKETS = 64
# The last connections are for new ones that are let in while those that make room are being closed.
SPARE_CONNECTIONS = 16
# Bytes of chunk framing, five or more for each chunk, that are parsed in a second for all bodies
# which consist mostly of it.
FRAMING_BYTES_PER_S = 256 << 10
# A connection on which nothing has come for this time goes before one that is kept for further
# requests. A younger one may belong to a caller whose request is still on its way.
NEWCOMER_S = 1.0


def max_caller_connections(sockets: int) -> int:
    """Return how many connections of callers may be open.

    Explanation
    ===========
    Each may have a request in work, with a connection of its own to an endpoint.
    """
    return (sockets - RESERVED_SOCKETS) // 2


def connection_options(
    decompress: bool = False,
    line_bytes: int = MAX_LINE_BYTES,
    idle_s: float = RequestLimits().idle_timeout_s,
) -> dict[str, Any]:
    """Return the options of the HTTP library for the connections of a server.

    Parameters
    ==========
    decompress : bool
        Whether bodies with a ``Content-Encoding`` are decompressed. Those that are passed on are
        not, since the header is passed on as well.
    line_bytes : int
        Size of the longest line of a head.
    idle_s : float
        Seconds without a request after which a connection is closed.
    """
    return {
        "access_log": None,
        "keepalive_timeout": idle_s,
        "max_line_size": line_bytes,
        "max_field_size": line_bytes,
        "read_bufsize": BODY_BUFFER_BYTES,
        "auto_decompress": decompress,
    }


def make_server(
    handler, cancel_on_disconnect: bool = False, decompress: bool = False
) -> web.Server:
    """Return a server of the HTTP library that passes all requests to one handler.

    Parameters
    ==========
    cancel_on_disconnect : bool
        Whether a handler is cancelled when its caller disconnects.
    decompress : bool
        See `connection_options`.
    """
    return web.Server(
        handler, handler_cancellation=cancel_on_disconnect, **connection_options(decompress)
    )


class HttpServer:
    """HTTP server whose connections and memory are bounded.

    Parameters
    ==========
    server : aiohttp.web.Server
        Handler of the requests, made with the `connection_options`.
    listening_socket : socket.socket or None
        Socket that already listens on the address; ``None`` to open one.
    gate : MemoryGate or None
        Memory budget of the process.
    max_connections : int
        Connections that may be open at a time, or fewer if the memory allows fewer. When a new one
        comes, another one goes, see `_make_room`.
    connection_class : type
        Class of the connections.

    Attributes
    ==========
    active_connections : set
        Connections with a request in progress.
    used_connections : set
        Connections that have had at least one request.
    silent_since : dict[Any, float]
        Connections without any request so far, with the time at which they were first seen.
    idle : IdleConnections
        Connections without a request in work.
    unfinished_heads : dict
        Connections that have sent a part of a head, the oldest first.
    head_bytes, ahead_bytes : int
        Bytes of all unfinished heads, and of all requests that were sent ahead.
    framing_until : float
        Time until which `FRAMING_BYTES_PER_S` is used up.
    """

    def __init__(
        self,
        server: web.Server,
        host: str,
        port: int,
        listening_socket: socket.socket | None = None,
        gate: MemoryGate | None = None,
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
        connection_class: type[BoundedConnection] = BoundedConnection,
    ):
        self.server = server
        self.handler = server.request_handler
        server.request_handler = self._handle
        self.connection_class = connection_class
        self.gate = gate or MemoryGate(DEFAULT_MEMORY_BYTES)
        self.max_connections = self.gate.limit_connections(max_connections)
        self.idle = IdleConnections()
        self.unfinished_heads: dict[BoundedConnection, None] = {}
        self.head_bytes = 0
        self.ahead_bytes = 0
        self.framing_until = 0.0
        self.open_connections = 0
        self.host = host
        self.port = port
        self.listening_socket = listening_socket
        self.active_connections: set = set()
        self.limits = RequestLimits()
        self.silent_since: dict[Any, float] = {}
        self.used_connections: set = set()
        self.listener: asyncio.Server | None = None

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.active_connections.add(request.protocol)
        self.used_connections.add(request.protocol)
        self.idle.forget(request.protocol)
        try:
            return await self.handler(request)
        finally:
            self.active_connections.discard(request.protocol)
            if request.transport is not None:
                self._record_idle(request)
                request.protocol.end_request()

    def _record_idle(self, request: web.BaseRequest) -> None:
        """Record that a connection has no request in work any more."""
        now = asyncio.get_running_loop().time()
        if request.content.is_eof():
            self.idle.kept[request.protocol] = now
            return
        if self.is_short:
            request.protocol.skip_rest_of_body()
        else:
            self.idle.unread[request.protocol] = now, request.content

    def _make_connection(self) -> BoundedConnection:
        loop = asyncio.get_running_loop()
        return self.connection_class(self, self.server, loop=loop, **self.server._kwargs)

    def on_connected(self, connection: BoundedConnection) -> None:
        """Count a new connection; make room for it, or close it if there is none."""
        self.idle.new[connection] = asyncio.get_running_loop().time()
        self.open_connections += 1
        if (
            self.is_short
            and not self._make_room(connection)
            and self.open_connections > self.max_connections
        ):
            self.gate.count("connection_refused")
            connection.transport.abort()

    @property
    def is_short(self) -> bool:
        """Whether so many connections are open that each new one needs another one's place."""
        spare = min(SPARE_CONNECTIONS, self.max_connections // 4)
        return self.open_connections > self.max_connections - spare

    def _make_room(self, newest: BoundedConnection) -> bool:
        """Close a connection, or end what occupies one; return whether one was closed.

        Explanation
        ===========
        First goes one on which nothing has come for `NEWCOMER_S`, then the one that was kept for
        further requests for longest, then a body that waits for memory, and then whatever has made
        no progress for longest. So however many connections say nothing, a caller that has just
        connected keeps its place for as long as it takes to open all the others anew.
        """
        now = asyncio.get_running_loop().time()
        silent = self.idle.find_silent(newest, now)
        if silent is not None and now - silent[0] >= NEWCOMER_S:
            self._close_idle(silent[1])
            return True
        kept = self.idle.find_kept(newest)
        if kept is not None:
            self._close_idle(kept)
            return True
        # The new request may be a small one, which is served beside large bodies that wait.
        if self.gate.refuse_waiting_body() and self.open_connections <= self.max_connections:
            return False
        if silent is None:
            self.gate.end_oldest_body()
            return False
        if self.gate.end_oldest_body(before=silent[0]):
            return False
        self._close_idle(silent[1])
        return True

    def _close_idle(self, connection: BoundedConnection) -> None:
        self.idle.forget(connection)
        connection.force_close()
        self.gate.count("idle_closed")

    def on_disconnected(self, connection: BoundedConnection) -> None:
        """Stop counting a connection."""
        self.open_connections -= 1
        self.idle.forget(connection)
        connection.end_head()

    @property
    def max_head_bytes(self) -> int:
        """Largest request head in bytes."""
        return max(MIN_HEAD_BYTES, HEAD_FACTOR * self.limits.max_header_bytes)

    @property
    def is_ahead_full(self) -> bool:
        """Whether all that was sent ahead takes the memory that there is for it."""
        return self.ahead_bytes > self.gate.budget.connection_bytes

    def delay_framing(self, size: int) -> float:
        """Return the seconds for which a body in very small chunks has to pause.

        A body without other requests beside it doesn't pause.

        Parameters
        ==========
        size : int
            Bytes of chunk framing that were parsed.
        """
        if len(self.active_connections) <= 1:
            return 0.0
        now = asyncio.get_running_loop().time()
        self.framing_until = max(now, self.framing_until) + size / FRAMING_BYTES_PER_S
        return self.framing_until - now

    def limit_heads(self) -> None:
        """Close the oldest unfinished head if all of them take too much memory."""
        while self.head_bytes > self.gate.budget.connection_bytes and self.unfinished_heads:
            connection = next(iter(self.unfinished_heads))
            connection.end_head()
            self.gate.count("head_closed")
            connection.force_close()

    def sweep(self, now: float) -> None:
        """Close what makes no progress while memory is short; call it each `SWEEP_INTERVAL_S`."""
        self.gate.sweep(now)
        unwritten = 0
        stuck = []
        for connection in self.server.connections:
            if connection._buffer_paused:
                connection.close_if_left()
            if connection.update_stuck():
                stuck.append(connection)
            unwritten += connection.last_buffered
        excess = unwritten - self.gate.budget.connection_bytes
        stuck.sort(key=lambda connection: connection.last_buffered, reverse=True)
        for connection in stuck:
            if excess <= 0:
                break
            excess -= connection.last_buffered
            self.gate.count("unread_closed")
            if connection.transport is not None:
                connection.transport.abort()

    async def start(self) -> None:
        """Start listening, on the given socket if there is one."""
        loop = asyncio.get_running_loop()
        if self.listening_socket is not None:
            self.listener = await loop.create_server(
                self._make_connection, sock=self.listening_socket, backlog=ACCEPT_BATCH
            )
        else:
            self.listener = await loop.create_server(
                self._make_connection,
                self.host,
                self.port,
                backlog=ACCEPT_BATCH,
                reuse_address=True,
            )
        # The event loop accepts as many connections at once as its backlog is long, before any of
        # them is counted. The sockets themselves keep a longer one.
        for listener in self.listener.sockets:
            with socket.socket(fileno=os.dup(listener.fileno())) as duplicate:
                duplicate.listen(BACKLOG)

    def set_limits(self, limits: RequestLimits) -> None:
        """Apply a catalog's request limits to new connections."""
        self.limits = limits
        self.server._kwargs["keepalive_timeout"] = limits.idle_timeout_s

    def close_silent(self, now: float) -> None:
        """Close connections whose first request takes too long to arrive.

        Explanation
        ===========
        The HTTP library closes idle keep-alive connections but has no timeout for the first request
        head, so callers that send nothing, or a byte per second, could exhaust the file
        descriptors.

        Parameters
        ==========
        now : float
            Monotonic time in seconds.
        """
        connections = self.server.connections
        self.used_connections.intersection_update(connections)
        waiting = [item for item in connections if item not in self.used_connections]
        self.silent_since = {item: self.silent_since.get(item, now) for item in waiting}
        limit_s = max(self.limits.header_timeout_s, self.limits.idle_timeout_s)
        for connection, since in list(self.silent_since.items()):
            if now - since > limit_s:
                del self.silent_since[connection]
                connection.force_close()
        for connection in list(self.unfinished_heads):
            if now - connection.head_since > limit_s:
                connection.force_close()

    async def stop_listening(self) -> None:
        """Stop accepting connections and close each existing one once it has no request.

        Explanation
        ===========
        Callers may have connected or sent a request just before. Their requests are still read and
        answered; connections without one are closed after `LAST_REQUEST_S`.
        """
        # Connections that wait in the backlog are accepted first; closing the socket resets them.
        await asyncio.sleep(0)
        self.listener.close()
        await asyncio.sleep(LAST_REQUEST_S)
        for connection in list(self.server.connections):
            if connection in self.active_connections:
                connection.close()
            else:
                connection.force_close()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        self.listener.close()
        await self.server.shutdown(SHUTDOWN_TIMEOUT_S)
