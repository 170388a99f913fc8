"""HTTP server of one address, without routes of its own."""

from __future__ import annotations

import asyncio

from aiohttp import web

from mulberrygate.catalog import RequestLimits

BACKLOG = 1024
LARGEST_LINE = 16384
# Time for the last bytes of answers when the server closes.
CLOSE_S = 0.2


def split_address(address: str) -> tuple[str, int]:
    """Return host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class HttpSite:
    """Listening address whose requests all go to one handler.

    Parameters
    ==========
    cancels : bool
        Whether a handler is cancelled when its caller leaves.
    """

    def __init__(self, handler, host: str, port: int, cancels: bool = False):
        self.host = host
        self.port = port
        self.server = web.Server(
            handler,
            handler_cancellation=cancels,
            access_log=None,
            keepalive_timeout=RequestLimits().idle_timeout_s,
            max_line_size=LARGEST_LINE,
            max_field_size=LARGEST_LINE,
        )
        self.listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            self.server, self.host, self.port, backlog=BACKLOG, reuse_address=True
        )

    def set_limits(self, limits: RequestLimits) -> None:
        """Take the limits of a catalog for new connections."""
        self.server._kwargs["keepalive_timeout"] = limits.idle_timeout_s

    async def stop_listening(self) -> None:
        """Accept no further connections."""
        self.listener.close()

    async def close(self) -> None:
        """Close all connections."""
        self.listener.close()
        await self.server.shutdown(CLOSE_S)
