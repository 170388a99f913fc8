"""Exchange of one request and its answer with an endpoint, over a new connection.

Explanation
===========
A connection serves one exchange only. A reused one may hold a late second answer or the rest of a
body that the endpoint has not read, or may be dead. Each of these cases would have to be detected
before a call that may not be repeated is sent over it.
"""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Callable

import aiohttp
from aiohttp import hdrs
from yarl import URL

from mulberrygate.core.http_client import (
    READ_BYTES,
    PacedHandler,
    is_status,
    open_session,
    request_data,
)
from mulberrygate.core.memory_budget import SMALL_BYTES, Holder
from mulberrygate.core.memory_gate import GrowingHold, MemoryGate
from mulberrygate.forward.dialer import DialedConnector, Dialer, NoWay
from mulberrygate.forward.request import AnswerHead, Call, Dialect

MAX_ANSWER_BYTES = 16 << 20
# Memory that buffered answers may use together, which bounds endless answers on a small instance,
# and the size up to which an answer is still read when this memory is exhausted.
MAX_BUFFERED_BYTES = 48 << 20
SMALL_ANSWER_BYTES = 1 << 20
MAX_HEAD_LINE_BYTES = 64 << 10
# Bytes that an endpoint may send on a connection: a fixed allowance, and a multiple of the body
# bytes read. They cover heads, informational responses, chunk framing and the library's
# read-ahead.
EXTRA_BYTES = 512 << 10
EXTRA_RATIO = 16
SUPPRESSED_HEADERS = (hdrs.USER_AGENT, hdrs.ACCEPT, hdrs.ACCEPT_ENCODING, hdrs.CONTENT_TYPE)


class ProbeResult(enum.Enum):
    """Result of a connection attempt to an address."""

    LISTENS = "listens"
    REFUSES = "refuses"
    SILENT = "silent"
    # The links of this entry are lost.
    UNKNOWN = "unknown"


class NotSent(Exception):
    """No connection was made, so no byte of the call reached the endpoint.

    Parameters
    ==========
    is_endpoint_down : bool
        Whether the endpoint is unreachable, as opposed to the links of this entry being lost.
    """

    def __init__(self, text: str = "", is_endpoint_down: bool = True):
        super().__init__(text)
        self.is_endpoint_down = is_endpoint_down


class Broken(Exception):
    """The call was sent, but its answer is incomplete or invalid."""


class BoundedHandler(PacedHandler):
    """Protocol that aborts its connection when far more bytes arrive than are read as body.

    Parameters
    ==========
    body_bytes_read : int
        Body bytes that were read so far.
    relay : str
        Entry through which the connection leads, empty if it is direct.
    """

    relay = ""

    def __init__(self, loop: asyncio.AbstractEventLoop):
        super().__init__(loop)
        self.received = 0
        self.body_bytes_read = 0

    def data_received(self, data: bytes) -> None:
        """Process received bytes, or abort the connection if they exceed the bound."""
        self.received += len(data)
        if self.received > EXTRA_BYTES + EXTRA_RATIO * self.body_bytes_read:
            if self.transport is not None:
                self.transport.abort()
            return
        super().data_received(data)


class BufferedBytes:
    """Counter of the answer bytes that all exchanges of a client hold in memory."""

    def __init__(self):
        self.size = 0


class Exchange:
    """Request to one endpoint, with an answer whose body is still to be read.

    Parameters
    ==========
    response : aiohttp.ClientResponse
        Response whose head has arrived.
    buffered : BufferedBytes
        Shared by the exchanges of a client.
    gate : MemoryGate or None
        Memory budget of the process.
    holder : Holder or None
        Holds the memory of the answer.

    """

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        head: AnswerHead,
        buffered: BufferedBytes,
        gate: MemoryGate | None = None,
        holder: Holder | None = None,
    ):
        self.hold = GrowingHold(gate, holder)
        self.response = response
        self.head = head
        self.buffered = buffered
        protocol = response.connection.protocol if response.connection else None
        self.protocol = protocol
        # A body without a length ends with its connection; only the way in which the connection
        # ended shows whether the body is complete.
        self.closed = protocol.closed if protocol is not None else None

    async def read(self) -> bytes:
        """Return the complete body.

        Raises
        ======
        Broken
            The body is incomplete or too long.
        """
        body = bytearray()
        try:
            await self.hold.cover(self._expected_size())
            while chunk := await self.read_some():
                await self.hold.cover(len(body) + len(chunk))
                body += chunk
                self.buffered.size += len(chunk)
                self._check_size(len(body))
        finally:
            self.buffered.size -= len(body)
        return bytes(body)

    def _expected_size(self) -> int:
        """Return the size of the body as far as it is known."""
        length = self.response.content_length
        if length is None or self.response.method == hdrs.METH_HEAD:
            return SMALL_BYTES
        return min(length, MAX_ANSWER_BYTES)

    def _check_size(self, size: int) -> None:
        """Check that an answer, and all answers in memory, stay within their size limits."""
        is_memory_short = self.buffered.size > MAX_BUFFERED_BYTES and size > SMALL_ANSWER_BYTES
        if size > MAX_ANSWER_BYTES or is_memory_short:
            raise Broken("the answer is too long")

    async def read_some(self) -> bytes:
        """Return the next bytes of the body, empty at its end.

        Raises
        ======
        Broken
            The connection broke before the end of the body.
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
        """Check that the connection did not break at the end of the body."""
        closed = self.closed
        if closed is not None and closed.done() and not closed.cancelled() and closed.exception():
            raise Broken("the connection broke at the end of the answer")
        if self.protocol is not None and self.protocol.relay and self._ends_with_connection():
            # The end of a tunnel doesn't show how the endpoint's connection ended.
            raise Broken("an answer without a length came through another entry")

    def _ends_with_connection(self) -> bool:
        """Return whether only the end of the connection ends the body."""
        response = self.response
        if response.method == hdrs.METH_HEAD or response.status in (204, 304):
            return False
        is_chunked = "chunked" in response.headers.get(hdrs.TRANSFER_ENCODING, "").lower()
        return response.content_length is None and not is_chunked

    def close(self) -> None:
        """Close the connection, which lets the endpoint cancel the call if it still runs."""
        self.response.close()


def trace_connections() -> aiohttp.TraceConfig:
    """Return the configuration by which a request's context is called once it is connected."""

    async def report(_session, context, _parameters) -> None:
        context.trace_request_ctx()

    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(report)
    return trace


class EndpointClient:
    """HTTP client for endpoints.

    Parameters
    ==========
    dialer : Dialer
        Opens the connections.
    """

    def __init__(self, dialect: Dialect, dialer: Dialer, gate: MemoryGate | None = None):
        self.dialer = dialer
        self.dialect = dialect
        self.gate = gate
        self.buffered = BufferedBytes()
        self.session = open_session(
            connector=DialedConnector(dialer, BoundedHandler, use_dns_cache=False),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=SUPPRESSED_HEADERS,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=None),
            read_bufsize=READ_BYTES,
            max_line_size=MAX_HEAD_LINE_BYTES,
            max_field_size=MAX_HEAD_LINE_BYTES,
            trace_configs=[trace_connections()],
        )

    async def send(
        self,
        call: Call,
        endpoint: str,
        address: str,
        left_s: float,
        last_event_id: str = "",
        on_connected: Callable[[], None] = lambda: None,
    ) -> Exchange:
        """Send a call and wait for the response head.

        Parameters
        ==========
        on_connected : Callable[[], None]
            Called once a connection was made, before anything is sent.

        Raises
        ======
        NotSent
            No connection was made.
        Broken
            No valid response head arrived.
        """
        headers = self.dialect.endpoint_headers(call, endpoint, left_s, last_event_id)
        url = URL(f"http://{address}{call.head.path}", encoded=True)
        try:
            response = await self.session.request(
                call.head.method,
                url,
                headers=headers,
                data=request_data(call.body),
                allow_redirects=False,
                trace_request_ctx=on_connected,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            cause = getattr(error, "os_error", None)
            is_down = not isinstance(cause, NoWay) or cause.is_endpoint_down
            raise NotSent(f"{type(error).__name__}: {error}", is_down) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise Broken(f"{type(error).__name__}: {error}") from error
        if self.gate is not None and call.answer_holder is None:
            call.answer_holder = Holder(call.body_holder.group if call.body_holder else "")
        if not is_status(response.status):
            response.close()
            raise Broken(f"the status is {response.status:03d}")
        head = self.dialect.answer_head(call, response)
        return Exchange(response, head, self.buffered, self.gate, call.answer_holder)

    async def probe(self, address: str) -> ProbeResult:
        """Try to connect to an address and return the result."""
        host, _, port = address.rpartition(":")
        try:
            connection, _ = await self.dialer.open(host, int(port))
        except ConnectionRefusedError:
            return ProbeResult.REFUSES
        except NoWay:
            return ProbeResult.UNKNOWN
        except TimeoutError:
            return ProbeResult.SILENT
        except OSError:
            # A reset shows that something is listening.
            return ProbeResult.LISTENS
        connection.close()
        return ProbeResult.LISTENS

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()
