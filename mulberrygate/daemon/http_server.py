"""HTTP server of one address that passes all requests to one handler."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

from aiohttp import web

from mulberrygate.catalog import RequestLimits
from mulberrygate.daemon.sockets import BACKLOG

MAX_LINE_BYTES = 16384
# Time for connections to send the rest of their answers when the server closes.
SHUTDOWN_TIMEOUT_S = 0.2
# Time for requests that were on their way when the server stopped listening.
LAST_REQUEST_S = 0.25


class HttpServer:
    """HTTP server that passes all requests to one handler.

    Parameters
    ==========
    cancel_on_disconnect : bool
        Whether a handler is cancelled when its caller disconnects.
    listening_socket : socket.socket or None
        Socket that already listens on the address; ``None`` to open one.

    Attributes
    ==========
    active_connections : set
        Connections with a request in progress.
    used_connections : set
        Connections that have had at least one request.
    silent_since : dict[Any, float]
        Connections without any request so far, with the time at which they were first seen.
    """

    def __init__(
        self,
        handler,
        host: str,
        port: int,
        cancel_on_disconnect: bool = False,
        listening_socket: socket.socket | None = None,
    ):
        self.handler = handler
        self.host = host
        self.port = port
        self.listening_socket = listening_socket
        self.active_connections: set = set()
        self.limits = RequestLimits()
        self.silent_since: dict[Any, float] = {}
        self.used_connections: set = set()
        self.server = web.Server(
            self._handle,
            handler_cancellation=cancel_on_disconnect,
            access_log=None,
            keepalive_timeout=RequestLimits().idle_timeout_s,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
        )
        self.listener: asyncio.Server | None = None

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.active_connections.add(request.protocol)
        self.used_connections.add(request.protocol)
        try:
            return await self.handler(request)
        finally:
            self.active_connections.discard(request.protocol)

    async def start(self) -> None:
        """Start listening, on the given socket if there is one."""
        loop = asyncio.get_running_loop()
        if self.listening_socket is not None:
            self.listener = await loop.create_server(
                self.server, sock=self.listening_socket, backlog=BACKLOG
            )
            return
        self.listener = await loop.create_server(
            self.server, self.host, self.port, backlog=BACKLOG, reuse_address=True
        )

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
