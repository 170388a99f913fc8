"""Responses that are written no faster than the caller reads."""

from __future__ import annotations

import asyncio

from aiohttp import hdrs, web

from mulberrygate.core.memory_budget import Holder
from mulberrygate.core.memory_gate import MemoryGate

SLICE_BYTES = 64 << 10
# What a stream holds whose caller doesn't keep up: events, and the buffers of both connections.
STREAM_BYTES = 256 << 10
# Events up to this size are written without holding memory while the transport is empty.
LARGE_EVENTS_BYTES = 16 << 10


class LongResponse(web.StreamResponse):
    """Response whose body waits in the memory that was reserved for it, not in the transport."""

    def __init__(self, status: int, headers: list[tuple[str, str]], long_body: bytes):
        super().__init__(status=status, headers=headers)
        self.long_body = long_body
        self.headers[hdrs.CONTENT_LENGTH] = str(len(long_body))

    async def send(self, request: web.BaseRequest, holder: Holder | None) -> None:
        """Write the response; a caller that has left ends it without an error."""
        transport = request.transport
        if holder is not None and transport is not None:
            holder.on_evicted = transport.abort
            holder.begin_paced(asyncio.get_running_loop().time())
        body = memoryview(self.long_body)
        self.long_body = b""
        try:
            await self.prepare(request)
            for start in range(0, len(body), SLICE_BYTES):
                piece = body[start : start + SLICE_BYTES]
                await self.write(piece)
                if holder is not None:
                    holder.moved += len(piece)
            await self.write_eof()
        except ConnectionError:
            # The server ends the connection when it finds the response unfinished.
            return


def whole_response(status: int, headers: list[tuple[str, str]], body: bytes) -> web.StreamResponse:
    """Return the response with a whole body; see `send_if_long`."""
    if len(body) > SLICE_BYTES:
        return LongResponse(status, headers, body)
    return web.Response(status=status, headers=headers, body=body)


async def send_if_long(
    response: web.StreamResponse, request: web.BaseRequest, holder: Holder | None
) -> None:
    """Send a `LongResponse`; the HTTP server sends other responses by itself.

    Parameters
    ==========
    holder : Holder or None
        Holds the memory of the body until the caller of this function releases it.
    """
    if isinstance(response, LongResponse):
        await response.send(request, holder)


async def write_stream(
    gate: MemoryGate,
    holder: Holder,
    request: web.BaseRequest,
    response: web.StreamResponse,
    events: bytes,
) -> None:
    """Write events of a stream; a caller that doesn't keep up holds memory meanwhile."""
    transport = request.transport
    if transport is None or (
        len(events) <= LARGE_EVENTS_BYTES and not transport.get_write_buffer_size()
    ):
        await response.write(events)
        return
    pool = gate.budget.answers
    # An answer that failed before may hold memory as well.
    if not holder.is_paced:
        await gate.reserve(pool, holder, STREAM_BYTES, None)
        holder.on_evicted = transport.abort
        holder.begin_paced(asyncio.get_running_loop().time())
    await response.write(events)
    holder.moved += len(events)
    if not transport.get_write_buffer_size():
        pool.release(holder)
        holder.is_paced = False
