"""Response with a long body, written no faster than the caller reads."""

from __future__ import annotations

import asyncio

from aiohttp import hdrs, web

from mulberrygate.core.memory_budget import Holder

SLICE_BYTES = 64 << 10


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
