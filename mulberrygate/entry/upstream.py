"""HTTP client for endpoints.

Explanation
===========
A call that may run at most once gets a new connection, since an idle one may be dead although new
ones work. Idempotent calls use pooled connections, which are closed after a bounded idle time.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import aiohttp
from yarl import URL

# Connecting within a region takes milliseconds. An endpoint that does not accept within a second is
# treated as unreachable, and nothing was sent to it.
CONNECT_TIMEOUT_S = 1.0
# Load balancers and firewalls between instances drop idle connections after a minute or more.
IDLE_CONNECTION_S = 10.0
CANCEL_TIMEOUT_S = 2.0


@dataclass(frozen=True)
class Connected:
    """Response headers of the endpoint arrived."""

    response: aiohttp.ClientResponse


@dataclass(frozen=True)
class NotSent:
    """No connection was made, so no byte was sent."""

    reason: str


@dataclass(frozen=True)
class Broken:
    """The call failed after bytes may have been sent."""

    reason: str


class Upstream:
    """HTTP client for endpoints, with pooled and unpooled connections."""

    def __init__(self):
        self.unpooled = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            auto_decompress=False,
        )
        self.pooled = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=IDLE_CONNECTION_S),
            auto_decompress=False,
        )

    async def open(
        self,
        method: str,
        url: str,
        headers: dict[str, str],
        body: bytes | None,
        timeout_s: float,
        is_repeatable: bool = False,
    ) -> Connected | NotSent | Broken:
        """Send a call and wait for the response headers.

        Parameters
        ==========
        timeout_s : float
            Seconds for connecting, sending and receiving the response headers.
        is_repeatable : bool
            Whether the call may use a pooled connection.
        """
        session = self.pooled if is_repeatable else self.unpooled
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        try:
            async with asyncio.timeout(timeout_s):
                response = await session.request(
                    method,
                    # The path is sent exactly as the caller wrote it, including dot segments.
                    URL(url, encoded=True),
                    headers=headers,
                    data=body,
                    timeout=timeout,
                    allow_redirects=False,
                )
            return Connected(response)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return NotSent(type(error).__name__)
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return Broken(type(error).__name__)

    async def cancel(self, address: str, request: str) -> None:
        """Ask an engine to cancel a stream; if that fails, the stream runs to its end."""
        answer = await self.open(
            "DELETE", f"http://{address}/v1/streams/{request}", {}, None, CANCEL_TIMEOUT_S
        )
        if isinstance(answer, Connected):
            answer.response.close()

    async def close(self) -> None:
        """Close all connections."""
        await self.unpooled.close()
        await self.pooled.close()
