"""Tunnels through which other entries reach endpoints.

Explanation
===========
The entry that opens a tunnel sends one line with the address of an endpoint. The answer is one
byte, a `TunnelResult`; after `TunnelResult.OPEN` all bytes are passed on as they are. Only the
addresses of registered endpoints are connected to, and only directly, so that no tunnel leads
through a third entry.
"""

from __future__ import annotations

import asyncio
import enum
import socket
import struct
from collections.abc import Callable

from mulberrygate.core.http_client import READ_BYTES

GREETING = b"mulberrygate-tunnel 1 "
MAX_LINE_BYTES = 64
# The entry that asks has tried the direct way for longer than this, and asks others meanwhile.
CONNECT_TIMEOUT_S = 0.25
GREETING_TIMEOUT_S = 1.0
# Bytes that wait in one direction of a tunnel before the other side is no longer read.
BUFFER_BYTES = 32 << 10
# Part of an instance's sockets that tunnels may take; each has two.
SOCKETS_PER_TUNNEL = 16
# Keep-alive probes find a side whose machine is gone after about 6 s.
KEEPALIVE_IDLE_S = 3
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_COUNT = 3
# Value of SO_LINGER with which a close resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class TunnelResult(enum.Enum):
    """First byte of the answer to an entry that asks for a tunnel."""

    OPEN = b"0"
    # The endpoint refused the connection.
    REFUSED = b"1"
    # The endpoint didn't answer.
    SILENT = b"2"
    # This entry doesn't reach the endpoint either, the address is none, or it has too many tunnels.
    DENIED = b"3"


def encode_greeting(address: str) -> bytes:
    """Return the line that asks for a tunnel to an address."""
    return GREETING + address.encode() + b"\n"


def decode_greeting(line: bytes) -> str:
    """Return the address in the line that asks for a tunnel, empty if it is none.

    Examples
    ========
    >>> from mulberrygate.forward.tunnel import decode_greeting, encode_greeting
    >>> decode_greeting(encode_greeting("10.0.0.9:80"))
    '10.0.0.9:80'
    >>> decode_greeting(b"GET / HTTP/1.1")
    ''
    """
    if not line.startswith(GREETING):
        return ""
    return line[len(GREETING) :].strip().decode("ascii", "replace")


def set_keepalive(connection: socket.socket) -> None:
    """Let probes end a connection whose other side is gone."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_COUNT)


class TunnelSide(asyncio.Protocol):
    """One of the two connections of a tunnel.

    Attributes
    ==========
    other : TunnelSide or None
        The other connection, ``None`` before it is made.
    """

    def __init__(self):
        self.transport: asyncio.Transport | None = None
        self.other: TunnelSide | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound what the connection holds in memory."""
        transport.max_size = READ_BYTES
        transport.set_write_buffer_limits(high=BUFFER_BYTES)
        set_keepalive(transport.get_extra_info("socket"))
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Pass bytes on."""
        if self.other is not None and self.other.transport is not None:
            self.other.transport.write(data)

    def pause_writing(self) -> None:
        """Stop to read the other side."""
        if self.other is not None:
            self.other.transport.pause_reading()

    def resume_writing(self) -> None:
        """Read the other side again."""
        if self.other is not None:
            self.other.transport.resume_reading()

    def connection_lost(self, error: Exception | None) -> None:
        """End the other side as this one ended."""
        other, self.other = self.other, None
        if other is None or other.transport is None:
            return
        other.other = None
        if error is not None:
            # An answer that is cut off must not look complete.
            connection = other.transport.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            other.transport.abort()
        else:
            other.transport.close()


class EntrySide(TunnelSide):
    """Connection from the entry that asks for a tunnel."""

    def __init__(self, server: TunnelServer):
        super().__init__()
        self.server = server
        self.line = b""
        self.task: asyncio.Task | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the line with the address."""
        super().connection_made(transport)
        self.server.sides.add(self)
        loop = asyncio.get_running_loop()
        self.deadline = loop.call_later(GREETING_TIMEOUT_S, transport.abort)

    def data_received(self, data: bytes) -> None:
        """Read the line with the address, then pass bytes on."""
        if self.other is not None:
            super().data_received(data)
            return
        if self.task is not None:
            self.transport.abort()
            return
        self.line += data
        if b"\n" in self.line or len(self.line) > MAX_LINE_BYTES:
            self.deadline.cancel()
            self.task = asyncio.ensure_future(self.server.connect(self, self.line))

    def connection_lost(self, error: Exception | None) -> None:
        """End the connection to the endpoint, or the attempt to make one."""
        self.deadline.cancel()
        if self.task is not None:
            self.task.cancel()
        super().connection_lost(error)
        self.server.remove(self)


class TunnelServer:
    """Opens connections to endpoints on behalf of other entries.

    Parameters
    ==========
    may_connect : Callable[[str], bool]
        Returns whether an address is that of a registered endpoint that this entry reaches.
    max_tunnels : int
        Tunnels that may be open.
    connect_socket : Callable
        Coroutine function that returns a socket that is connected directly to a host and a port.

    Attributes
    ==========
    sides : set[EntrySide]
        Connections of other entries.
    opened : int
        Tunnels opened since the start.
    """

    def __init__(
        self, may_connect: Callable[[str], bool], connect_socket: Callable, max_tunnels: int
    ):
        self.may_connect = may_connect
        self.max_tunnels = max_tunnels
        self.connect_socket = connect_socket
        self.sides: set[EntrySide] = set()
        self.opened = 0
        self.is_closing = False
        self.idle = asyncio.Event()
        self.idle.set()
        self.server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen for other entries."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: EntrySide(self), host, port)

    async def connect(self, side: EntrySide, line: bytes) -> None:
        """Connect to the address in a line, and answer."""
        address = decode_greeting(line)
        is_full = len(self.sides) > self.max_tunnels or self.is_closing
        if is_full or not self.may_connect(address):
            self._refuse(side, TunnelResult.DENIED)
            return
        try:
            other = await self._connect_to(address)
        except TimeoutError:
            self._refuse(side, TunnelResult.SILENT)
            return
        except (OSError, ValueError):
            self._refuse(side, TunnelResult.REFUSED)
            return
        if side.transport.is_closing():
            other.transport.abort()
            return
        self.opened += 1
        self.idle.clear()
        side.transport.write(TunnelResult.OPEN.value)
        side.other, other.other = other, side

    async def _connect_to(self, address: str) -> TunnelSide:
        """Return the connection to an endpoint."""
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            connection = await self.connect_socket(host, int(port))
        try:
            loop = asyncio.get_running_loop()
            _, side = await loop.create_connection(TunnelSide, sock=connection)
        except BaseException:
            connection.close()
            raise
        return side

    @staticmethod
    def _refuse(side: EntrySide, result: TunnelResult) -> None:
        side.transport.write(result.value)
        side.transport.close()

    def remove(self, side: EntrySide) -> None:
        """Forget a connection that has ended."""
        self.sides.discard(side)
        if not any(side.other is not None for side in self.sides):
            self.idle.set()

    async def wait_idle(self, timeout_s: float) -> None:
        """Open no further tunnels, and wait until those that are open have ended.

        Parameters
        ==========
        timeout_s : float
            Longest wait in seconds.
        """
        self.is_closing = True
        try:
            await asyncio.wait_for(self.idle.wait(), max(0.0, timeout_s))
        except TimeoutError:
            pass

    async def close(self) -> None:
        """Close all tunnels."""
        if self.server is not None:
            self.server.close()
        for side in list(self.sides):
            if side.transport is not None:
                side.transport.abort()
