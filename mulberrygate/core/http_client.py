"""HTTP client sessions that send each request once."""

from __future__ import annotations

import asyncio
import functools
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

# Bytes that one read takes from a socket, and that the library buffers; it pauses reading at twice
# this size. An answer that waits for memory holds up to three times as much.
READ_BYTES = 16 << 10
# Bytes of a body that are passed to the transport at a time.
SLICE_BYTES = 64 << 10
# Statuses of an answer to a request.
FIRST_STATUS = 200
LAST_STATUS = 599


def is_status(status: int) -> bool:
    """Return whether a number is the status of an answer to a request.

    Explanation
    ===========
    The HTTP library accepts any three digits, and takes 101 for the answer to a request that asked
    for no other protocol.
    """
    return FIRST_STATUS <= status <= LAST_STATUS


class StrictHandler(ResponseHandler):
    """Protocol on which an answer that is cut off can't look complete.

    Explanation
    ===========
    A body without a length ends with its connection. The library takes it for complete also if the
    connection was reset, and if it ended while the request was still being written.
    """

    def connection_lost(self, error: BaseException | None) -> None:
        """Fail a body that the end of the connection has not completed."""
        payload = self._payload
        is_open = payload is not None and not payload.is_eof()
        if is_open and (error is not None or self.is_writing()):
            reason = error or "it ended before the request was written"
            payload.set_exception(aiohttp.ClientPayloadError(f"the connection was lost: {reason}"))
        super().connection_lost(error)

    def is_writing(self) -> bool:
        """Return whether a request is not written to its end."""
        return False


class PacedHandler(StrictHandler):
    """Protocol that reads and buffers little at a time, for bodies of type `SlicedBody`.

    Parameters
    ==========
    unwritten : int
        Body bytes of the request that were not yet passed to the transport.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop):
        super().__init__(loop)
        self.unwritten = 0

    def is_writing(self) -> bool:
        """Return whether a part of the request was not yet passed to the transport."""
        return self.unwritten > 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limit what one read takes from the socket."""
        transport.max_size = READ_BYTES
        super().connection_made(transport)


class SlicedBody(aiohttp.BytesPayload):
    """Request body that is written no faster than the endpoint reads.

    Explanation
    ===========
    Written at once, what the endpoint hasn't read is copied into the transport.
    """

    async def write_with_length(self, writer, content_length: int | None) -> None:
        """Write the body, up to a length."""
        body = memoryview(self._value)[:content_length]
        protocol = writer.protocol
        protocol.unwritten = len(body)
        for start in range(0, len(body), SLICE_BYTES):
            piece = body[start : start + SLICE_BYTES]
            if protocol.transport is not None and not protocol.transport.is_closing():
                protocol.unwritten -= len(piece)
            await writer.write(piece)


def request_data(body: bytes) -> SlicedBody | bytes | None:
    """Return the argument ``data`` of a request with a body, over a `PacedHandler`."""
    return SlicedBody(body) if len(body) > SLICE_BYTES else body or None


class StrictConnector(aiohttp.TCPConnector):
    """Connector with a handler of its own, which never reuses a connection.

    Parameters
    ==========
    handler : type
        Class of the connections' protocols, `StrictHandler` or one derived from it.
    """

    def __init__(self, handler: type[StrictHandler] = StrictHandler, **options: Any):
        super().__init__(force_close=True, limit=0, **options)
        self._factory = functools.partial(handler, loop=asyncio.get_running_loop())


def open_session(**options: Any) -> aiohttp.ClientSession:
    """Return a client session that never repeats a request by itself.

    Explanation
    ===========
    By default the library sends a GET, HEAD, OPTIONS, TRACE, PUT or DELETE once more when its
    connection breaks before the answer. The first copy may have run, and the caller of the session
    would not learn of it: neither a limit on runs, nor the retry budget, nor the detection of
    crashed endpoints would apply to the second copy. Whether a request may be repeated is decided
    by the code that sends it.

    The session must be created inside a running event loop.

    Parameters
    ==========
    options : Any
        Options of `aiohttp.ClientSession`.
    """
    session = aiohttp.ClientSession(**options)
    # The library has no public option for this.
    session._retry_connection = False
    return session
