"""HTTP client for endpoints.

Explanation
===========
Each call gets a new connection. An idle one may be dead although new ones work, and a late second
copy of an answer on a reused one would be taken for the answer to the next call.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import aiohttp
from yarl import URL

from mulberrygate.core.http_client import (
    READ_BYTES,
    PacedHandler,
    StrictConnector,
    is_status,
    open_session,
    request_data,
)

# Connecting within a region takes milliseconds. An endpoint that does not accept within a second is
# treated as unreachable, and nothing was sent to it.
CONNECT_TIMEOUT_S = 1.0
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
    """HTTP client for endpoints."""

    def __init__(self):
        self.session = open_session(
            connector=StrictConnector(PacedHandler),
            auto_decompress=False,
            read_bufsize=READ_BYTES,
        )

    async def open(
        self,
        method: str,
        url: str,
        headers: dict[str, str],
        body: bytes | None,
        timeout_s: float,
    ) -> Connected | NotSent | Broken:
        """Send a call and wait for the response headers.

        Parameters
        ==========
        timeout_s : float
            Seconds for connecting, sending and receiving the response headers.
        """
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        try:
            async with asyncio.timeout(timeout_s):
                response = await self.session.request(
                    method,
                    # The path is sent exactly as the caller wrote it, including dot segments.
                    URL(url, encoded=True),
                    headers=headers,
                    data=request_data(body or b""),
                    timeout=timeout,
                    allow_redirects=False,
                )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return NotSent(type(error).__name__)
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return Broken(type(error).__name__)
        if not is_status(response.status):
            response.close()
            return Broken(f"status {response.status:03d}")
        return Connected(response)

    async def cancel(self, address: str, request: str) -> None:
        """Ask an engine to cancel a stream; if that fails, the stream runs to its end."""
        answer = await self.open(
            "DELETE", f"http://{address}/v1/streams/{request}", {}, None, CANCEL_TIMEOUT_S
        )
        if isinstance(answer, Connected):
            answer.response.close()

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()
