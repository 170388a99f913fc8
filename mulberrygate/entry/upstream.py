"""HTTP client towards endpoints.

Explanation
===========
A call that may run at most once gets a connection of its own, since an idle one may have gone
silent while new ones work. Idempotent calls share connections that are idle for a bounded time.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import aiohttp
from yarl import URL

# Connecting within a region takes milliseconds; an endpoint that does not answer for a second is
# treated as not reachable, and nothing was sent to it.
CONNECT_TIMEOUT_S = 1.0
# Load balancers and firewalls between instances forget idle connections after a minute or more.
IDLE_CONNECTION_S = 10.0
CANCEL_TIMEOUT_S = 2.0


@dataclass(frozen=True)
class Connected:
    """The endpoint began to answer."""

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
    """Make calls to endpoints."""

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
        """Send a call and wait for the head of the answer.

        Parameters
        ==========
        timeout_s : float
            Seconds for connecting, sending and the head of the answer.
        is_repeatable : bool
            Whether the call may use a connection that was used before.
        """
        session = self.pooled if is_repeatable else self.unpooled
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        try:
            async with asyncio.timeout(timeout_s):
                response = await session.request(
                    method,
                    # The path goes to the endpoint as the caller wrote it, dots included.
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
        """Cancel a stream at an engine; if that fails, the engine runs it to its end."""
        answer = await self.open(
            "DELETE", f"http://{address}/v1/streams/{request}", {}, None, CANCEL_TIMEOUT_S
        )
        if isinstance(answer, Connected):
            answer.response.close()

    async def close(self) -> None:
        """Close all connections."""
        await self.unpooled.close()
        await self.pooled.close()
