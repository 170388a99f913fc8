"""One exchange with an endpoint, over a connection of its own.

Explanation
===========
A connection serves one exchange only. A kept one may hold a late second answer or the rest of a
body that the endpoint has not read, or may have gone silent; each of these would have to be told
from a sound one before a call that may not be repeated is trusted to it.
"""

from __future__ import annotations

import asyncio

import aiohttp
from aiohttp import hdrs
from yarl import URL

from mulberrygate.forward.request import AnswerHead, Call, Dialect

# An endpoint that is up accepts within a round trip; one that is down or cut off never does.
CONNECT_TIMEOUT_S = 0.4
LARGEST_ANSWER_BYTES = 32 << 20
LARGEST_HEAD_LINE = 64 << 10
OWN_HEADERS = (hdrs.USER_AGENT, hdrs.ACCEPT, hdrs.ACCEPT_ENCODING, hdrs.CONTENT_TYPE)


class NotSent(Exception):
    """No connection was made, so no byte of the call reached the endpoint."""


class Broken(Exception):
    """The call was sent, and the answer did not come whole."""


class Exchange:
    """Request to one endpoint and its answer.

    Parameters
    ==========
    response : aiohttp.ClientResponse
        Answer whose head has arrived.
    """

    def __init__(self, response: aiohttp.ClientResponse, head: AnswerHead):
        self.response = response
        self.head = head
        protocol = response.connection.protocol if response.connection else None
        # A body without a length ends with its connection, and only how that ended tells whether
        # the body is whole.
        self.closed = protocol.closed if protocol is not None else None

    async def read(self) -> bytes:
        """Return the whole body.

        Raises
        ======
        Broken
            The body did not come whole.
        """
        body = bytearray()
        while chunk := await self.read_some():
            body += chunk
            if len(body) > LARGEST_ANSWER_BYTES:
                raise Broken("the answer is too long")
        return bytes(body)

    async def read_some(self) -> bytes:
        """Return the next bytes of the body, none at its end.

        Raises
        ======
        Broken
            The connection broke.
        """
        try:
            chunk = await self.response.content.readany()
        except (aiohttp.ClientError, OSError) as error:
            raise Broken(f"{type(error).__name__}: {error}") from error
        if not chunk:
            self._check_end()
        return chunk

    def _check_end(self) -> None:
        """Check that a body that ended with its connection was not cut off."""
        closed = self.closed
        if closed is not None and closed.done() and not closed.cancelled() and closed.exception():
            raise Broken("the connection broke at the end of the answer")

    def close(self) -> None:
        """Close the connection, which makes the endpoint stop work on the call."""
        self.response.close()


class EndpointClient:
    """HTTP client of the endpoints."""

    def __init__(self, dialect: Dialect):
        self.dialect = dialect
        connector = aiohttp.TCPConnector(force_close=True, limit=0, use_dns_cache=False)
        self.session = aiohttp.ClientSession(
            connector=connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=OWN_HEADERS,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
            max_line_size=LARGEST_HEAD_LINE,
            max_field_size=LARGEST_HEAD_LINE,
        )

    async def send(
        self, call: Call, endpoint: str, address: str, left_s: float, last_event: str = ""
    ) -> Exchange:
        """Send a call and wait for the head of its answer.

        Raises
        ======
        NotSent
            No connection was made.
        Broken
            The answer's head did not come.
        """
        headers = self.dialect.endpoint_headers(call, endpoint, left_s, last_event)
        url = URL(f"http://{address}{call.head.path}", encoded=True)
        try:
            response = await self.session.request(
                call.head.method,
                url,
                headers=headers,
                data=call.body or None,
                allow_redirects=False,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise NotSent(f"{type(error).__name__}: {error}") from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise Broken(f"{type(error).__name__}: {error}") from error
        return Exchange(response, self.dialect.answer_head(call, response))

    async def is_listening(self, address: str) -> bool:
        """Return whether something accepts connections at an address."""
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, writer = await asyncio.open_connection(host, int(port))
        except ConnectionRefusedError:
            return False
        except (OSError, TimeoutError):
            # No answer is no proof of a crash.
            return True
        writer.close()
        return True

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()
