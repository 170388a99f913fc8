"""One exchange with an endpoint, over a connection of its own.

Explanation
===========
A connection serves one exchange only. A kept one may hold a late second answer or the rest of a
body that the endpoint has not read, or may have gone silent; each of these would have to be told
from a sound one before a call that may not be repeated is trusted to it.
"""

from __future__ import annotations

import asyncio
import enum
import functools

import aiohttp
from aiohttp import hdrs
from aiohttp.client_proto import ResponseHandler
from yarl import URL

from mulberrygate.forward.request import AnswerHead, Call, Dialect

# An endpoint that is up accepts within a round trip; one that is down or cut off never does.
CONNECT_TIMEOUT_S = 0.4
MAX_ANSWER_BYTES = 16 << 20
# What answers without an end may take of the memory of a small instance, and the size up to which
# an answer is read on while others take it.
MAX_BUFFERED_BYTES = 48 << 20
SMALL_ANSWER_BYTES = 1 << 20
MAX_HEAD_LINE_BYTES = 64 << 10
# Bytes that an endpoint may send beyond those of the body that were read, and for each of these:
# heads, informational answers, framing of chunks, and what the library reads ahead.
EXTRA_BYTES = 512 << 10
EXTRA_RATIO = 16
SUPPRESSED_HEADERS = (hdrs.USER_AGENT, hdrs.ACCEPT, hdrs.ACCEPT_ENCODING, hdrs.CONTENT_TYPE)


class ProbeResult(enum.Enum):
    """What came of a connection to an address."""

    LISTENS = "listens"
    REFUSES = "refuses"
    SILENT = "silent"


class NotSent(Exception):
    """No connection was made, so no byte of the call reached the endpoint."""


class Broken(Exception):
    """The call was sent, and the answer did not come whole."""


class BoundedHandler(ResponseHandler):
    """Protocol of one connection that breaks it when bytes come without end that are no answer.

    Parameters
    ==========
    body_bytes_read : int
        Bytes of the body that were read so far.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop):
        super().__init__(loop)
        self.received = 0
        self.body_bytes_read = 0

    def data_received(self, data: bytes) -> None:
        """Take bytes from the connection."""
        self.received += len(data)
        if self.received > EXTRA_BYTES + EXTRA_RATIO * self.body_bytes_read:
            if self.transport is not None:
                self.transport.abort()
            return
        super().data_received(data)


class BoundedConnector(aiohttp.TCPConnector):
    """Connector whose connections are bounded; none is used twice."""

    def __init__(self):
        super().__init__(force_close=True, limit=0, use_dns_cache=False)
        self._factory = functools.partial(BoundedHandler, loop=self._loop)


class BufferedBytes:
    """Bytes of answers that all exchanges of a client hold in memory."""

    def __init__(self):
        self.size = 0


class Exchange:
    """Request to one endpoint and its answer.

    Parameters
    ==========
    response : aiohttp.ClientResponse
        Answer whose head has arrived.
    buffered : BufferedBytes
        Shared by the exchanges of a client.
    """

    def __init__(self, response: aiohttp.ClientResponse, head: AnswerHead, buffered: BufferedBytes):
        self.response = response
        self.head = head
        self.buffered = buffered
        protocol = response.connection.protocol if response.connection else None
        self.protocol = protocol
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
        try:
            while chunk := await self.read_some():
                body += chunk
                self.buffered.size += len(chunk)
                self._check_size(len(body))
        finally:
            self.buffered.size -= len(body)
        return bytes(body)

    def _check_size(self, size: int) -> None:
        """Check that an answer, and all that are read at a time, keep within the memory."""
        is_memory_short = self.buffered.size > MAX_BUFFERED_BYTES and size > SMALL_ANSWER_BYTES
        if size > MAX_ANSWER_BYTES or is_memory_short:
            raise Broken("the answer is too long")

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
        if self.protocol is not None:
            self.protocol.body_bytes_read += len(chunk)
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
        self.buffered = BufferedBytes()
        self.session = aiohttp.ClientSession(
            connector=BoundedConnector(),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=SUPPRESSED_HEADERS,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
            max_line_size=MAX_HEAD_LINE_BYTES,
            max_field_size=MAX_HEAD_LINE_BYTES,
        )

    async def send(
        self, call: Call, endpoint: str, address: str, left_s: float, last_event_id: str = ""
    ) -> Exchange:
        """Send a call and wait for the head of its answer.

        Raises
        ======
        NotSent
            No connection was made.
        Broken
            The answer's head did not come.
        """
        headers = self.dialect.endpoint_headers(call, endpoint, left_s, last_event_id)
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
        return Exchange(response, self.dialect.answer_head(call, response), self.buffered)

    async def probe(self, address: str) -> ProbeResult:
        """Return whether something accepts connections at an address."""
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, writer = await asyncio.open_connection(host, int(port))
        except ConnectionRefusedError:
            return ProbeResult.REFUSES
        except TimeoutError:
            return ProbeResult.SILENT
        except OSError:
            # A reset is an answer of something that listens.
            return ProbeResult.LISTENS
        writer.close()
        return ProbeResult.LISTENS

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()
