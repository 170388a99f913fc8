"""Connection of a caller that reads and buffers no more than it should."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

from aiohttp import web

# Bytes that may arrive behind a request in work before reading pauses.
AHEAD_BYTES = 64 << 10
# Bytes that one read takes from a socket while a body of known length arrives, while a request or a
# body in chunks is awaited, and behind a request in work. What a read brings behind the request
# that was awaited can't be left unread, so the smaller sizes bound what each of many connections
# holds of requests sent ahead.
READ_BYTES = 64 << 10
HEAD_READ_BYTES = 16 << 10
AHEAD_READ_BYTES = 4 << 10
# Bytes that wait in the transport before a writer waits.
WRITE_BYTES = 64 << 10
# State in the first byte of TCP_INFO of a connection that the other side has closed.
TCP_CLOSE_WAIT = 8
HEAD_TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)


class BoundedConnection(web.RequestHandler):
    """Protocol of one connection that reports to its server and pauses reading ahead.

    Parameters
    ==========
    bounds : mulberrygate.daemon.http_server.HttpServer
        Server whose limits apply.

    Attributes
    ==========
    head_bytes, ahead_bytes : int
        Bytes of an unfinished head, and bytes that arrived behind a request in work.
    head_since : float
        Time at which the unfinished head began.
    resume_timer : asyncio.TimerHandle or None
        Resumes reading of a body in very small chunks.
    last_buffered : int
        Bytes that waited in the transport at the last call of `update_stuck`.
    """

    def __init__(self, bounds: Any, *arguments: Any, **options: Any):
        super().__init__(*arguments, **options)
        self.bounds = bounds
        self.head_bytes = 0
        self.head_since = 0.0
        self.ahead_bytes = 0
        self.last_buffered = 0
        self.resume_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: Any) -> None:
        """Count the connection, and close it at once if there is no room for it."""
        transport.max_size = HEAD_READ_BYTES
        transport.set_write_buffer_limits(high=WRITE_BYTES)
        super().connection_made(transport)
        self.bounds.on_connected(self)

    def connection_lost(self, error: BaseException | None) -> None:
        """Stop counting the connection."""
        if self._manager is not None:
            self.bounds.on_disconnected(self)
        self._set_ahead_bytes(0)
        if self.resume_timer is not None:
            self.resume_timer.cancel()
        super().connection_lost(error)

    @property
    def is_idle(self) -> bool:
        """Whether no request is in work here, and no answer still being sent."""
        return not self._request_in_progress and not self._messages and not self.count_unwritten()

    def count_unwritten(self) -> int:
        """Return the number of bytes that wait in the transport."""
        transport = self.transport
        return transport.get_write_buffer_size() if transport is not None else 0

    def data_received(self, data: bytes) -> None:
        """Parse what arrived; pause reading if it belongs to requests that are sent ahead."""
        size = len(data)
        if not size:
            super().data_received(data)
            return
        waiter = self._waiter
        is_waiting = waiter is not None and not waiter.done()
        body = self._current_payload()
        is_body_read = body is not None and body.is_eof()
        body_bytes = body.total_bytes if body is not None else 0
        super().data_received(data)
        if is_waiting and not self._messages:
            self._count_head(size)
        elif is_waiting:
            self.end_head()
            if len(self._messages) > 1:
                self._count_ahead(size)
        elif self._messages or is_body_read:
            self._count_ahead(size)
        elif body is not None and not body.is_eof():
            self._count_framing(size, size - (body.total_bytes - body_bytes))
        self._set_read_size()

    def _count_ahead(self, size: int) -> None:
        """Count bytes of requests sent ahead; pause reading if they are too many."""
        self._set_ahead_bytes(self.ahead_bytes + size)
        if self._buffer_paused:
            return
        if self.ahead_bytes > AHEAD_BYTES or self.bounds.is_ahead_full:
            self.bounds.gate.count("reading_paused")
            self._pause_reading_for_buffer()

    def _count_framing(self, size: int, framing: int) -> None:
        """Slow down a body whose chunks are so small that most of what arrives is framing.

        Each chunk costs processor time, whatever its size, which other requests then lack.
        """
        if framing <= size // 2 or self._buffer_paused:
            return
        delay_s = self.bounds.delay_framing(framing)
        if delay_s > 0:
            self.bounds.gate.count("chunks_delayed")
            self._pause_reading_for_buffer()
            self.resume_timer = asyncio.get_running_loop().call_later(delay_s, self._resume_body)

    def _resume_body(self) -> None:
        """Go on reading a body in small chunks, if it is still read."""
        self.resume_timer = None
        if self.transport is not None and self._buffer_paused and not self._messages:
            self.transport.max_size = AHEAD_READ_BYTES
            self._resume_reading_for_buffer()

    def _set_ahead_bytes(self, size: int) -> None:
        self.bounds.ahead_bytes += size - self.ahead_bytes
        self.ahead_bytes = size

    def _set_read_size(self) -> None:
        """Set how much the next read takes, so that it brings little behind what is expected."""
        if self.transport is None:
            return
        request = self._current_request
        if self._messages:
            is_ahead = request is not None or self._messages[0][1].is_eof()
            size = AHEAD_READ_BYTES if is_ahead else HEAD_READ_BYTES
        elif request is None or (not request.content.is_eof() and request.content_length is None):
            size = HEAD_READ_BYTES
        elif request.content.is_eof():
            size = AHEAD_READ_BYTES
        else:
            left = max(0, request.content_length - request.content.total_bytes)
            size = min(READ_BYTES, left + AHEAD_READ_BYTES)
        self.transport.max_size = size

    def _current_payload(self) -> Any:
        """Return the body of the request in work, ``None`` if there is none."""
        request = self._current_request
        return None if request is None else request.content

    def end_head(self) -> None:
        """Stop counting an unfinished head."""
        if self.head_bytes:
            self.bounds.head_bytes -= self.head_bytes
            self.head_bytes = 0
            self.bounds.unfinished_heads.pop(self, None)

    def _count_head(self, size: int) -> None:
        """Count bytes of an unfinished head, and refuse it once it is too large."""
        if not self.head_bytes:
            self.head_since = asyncio.get_running_loop().time()
            self.bounds.unfinished_heads[self] = None
        self.head_bytes += size
        self.bounds.head_bytes += size
        if self.head_bytes > self.bounds.max_head_bytes and self.transport is not None:
            self.bounds.gate.count("head_refused")
            self.transport.write(HEAD_TOO_LARGE)
            self.force_close()
        else:
            self.bounds.limit_heads()

    def skip_rest_of_body(self) -> None:
        """Close the connection after the answer, without waiting for the rest of the body."""
        self._lingering_time = 0.0

    def end_request(self) -> None:
        """Count anew what arrives behind a request in work."""
        if self._messages:
            return
        self._set_ahead_bytes(0)
        if self.transport is not None:
            self.transport.max_size = HEAD_READ_BYTES
        # The library resumes only when it takes up another request, and there may be none yet.
        if self._buffer_paused:
            self._resume_reading_if_drained()

    def _resume_reading_if_drained(self) -> None:
        """Go on reading once no request waits behind the one in work.

        The library goes on while up to 16 requests wait, and would read further bytes each time.
        """
        if self._upgraded:
            super()._resume_reading_if_drained()
            return
        super().data_received(b"")
        if not self._messages:
            self._set_ahead_bytes(0)
            self._resume_reading_for_buffer()
            self._set_read_size()

    def close_if_left(self) -> None:
        """Close a paused connection whose caller has closed it, which only reading would show."""
        if not self._buffer_paused or self.transport is None:
            return
        connection = self.transport.get_extra_info("socket")
        try:
            state = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
        except (OSError, AttributeError, IndexError):
            return
        if state == TCP_CLOSE_WAIT:
            self.transport.abort()

    def update_stuck(self) -> bool:
        """Record the bytes that wait in the transport; return whether they haven't become less."""
        unwritten = self.count_unwritten()
        is_stuck = 0 < self.last_buffered <= unwritten
        self.last_buffered = unwritten
        return is_stuck
