"""Tests of endpoints that send bytes without end, in a head or a body, until they are cut off."""

from __future__ import annotations

import unittest
from unittest import mock

from mulberrygate.forward.codes import ENDPOINT_FAILED
from mulberrygate.forward.exchange import Broken, BufferedBytes, Exchange
from mulberrygate.forward.tests.support import SIGNATURE, Endpoint, Entry, document, identifier

PIECE = b"x" * 65536
CHUNK = b"10000\r\n" + PIECE + b"\r\n"
CHUNKED = b"Transfer-Encoding: chunked"
EVENTS = b"Content-Type: text/event-stream"
# The largest answer that an entry reads, and what the buffers of loopback connections take.
MAX_SENT_BYTES = 32 << 20


def head(request, *more):
    """Return the head of an answer, up to its last header."""
    lines = [b"HTTP/1.1 200 OK", identifier(request), SIGNATURE.encode() + b": s", *more]
    return b"\r\n".join(lines) + b"\r\n"


def endless(begin, piece):
    """Return an answer function that sends a beginning and then one piece again and again."""

    async def answer(endpoint, _reader, writer, request):
        endpoint.sent = 0
        writer.write(begin(request))
        while True:
            endpoint.sent += len(piece)
            writer.write(piece)
            await writer.drain()

    return answer


def raw(data):
    """Return the beginning of an answer that doesn't follow from its request."""
    return lambda request: data


HEADS = {
    "status line": endless(raw(b"HTTP/1.1 200 "), PIECE),
    "no protocol": endless(raw(b""), PIECE),
    "header": endless(lambda request: head(request) + b"X-A: ", PIECE),
    "headers": endless(head, b"X-A: b\r\n" * 4096),
    "informational": endless(raw(b""), b"HTTP/1.1 103 Early\r\n\r\n" * 4096),
    "continue": endless(raw(b""), b"HTTP/1.1 100 Continue\r\n\r\n" * 4096),
}
BODIES = {
    "no length": endless(lambda request: head(request) + b"\r\n", PIECE),
    "chunks": endless(lambda request: head(request, CHUNKED) + b"\r\n", CHUNK),
    "chunk size": endless(lambda request: head(request, CHUNKED) + b"\r\n", b"0" * 65536),
    "chunk extension": endless(lambda request: head(request, CHUNKED) + b"\r\n5;", PIECE),
    "trailers": endless(
        lambda request: head(request, CHUNKED) + b"\r\n0\r\n", b"X-A: b\r\n" * 4096
    ),
}
STREAMS = {
    "event": endless(lambda request: head(request, CHUNKED, EVENTS) + b"\r\n", CHUNK),
    "chunk extension": endless(lambda request: head(request, CHUNKED, EVENTS) + b"\r\n5;", PIECE),
}
EMPTY_EVENTS = {
    "blank events": endless(
        lambda request: head(request, CHUNKED, EVENTS) + b"\r\n",
        b"10000\r\n" + b"\n" * 65536 + b"\r\n",
    ),
    "comments": endless(
        lambda request: head(request, CHUNKED, EVENTS) + b"\r\n",
        b"10000\r\n" + b":x\n\n" * 16384 + b"\r\n",
    ),
}


class TestEndless(unittest.IsolatedAsyncioTestCase):
    """One entry on loopback; a route's time would be over after 20 s."""

    async def start(self, answer, pool):
        """Start an entry before one endpoint."""
        entry = await Entry(document(timeoutMs=20_000)).start(**{pool: [Endpoint("e", answer)]})
        self.addAsyncCleanup(entry.close)
        return entry

    async def check_failed(self, kinds, pool, path, **headers):
        """Check that callers are told of the failure, and that endpoints are cut off."""
        for name, answer in kinds.items():
            with self.subTest(name):
                entry = await self.start(answer, pool)
                async with entry.request(path, **headers) as response:
                    self.assertEqual(response.status, 502)
                codes = [fields["code"] for fields in entry.lines.of("request.refused")]
                self.assertEqual(codes, [str(ENDPOINT_FAILED)])
                self.assertLess(entry.endpoints[0].sent, MAX_SENT_BYTES)

    async def test_head_without_end(self):
        """Informational answers without end kept an entry busy until the caller's deadline."""
        await self.check_failed(HEADS, "booking", "/plain/1")

    async def test_body_without_end(self):
        """The extension of a chunk was read for as long as the caller waited."""
        await self.check_failed(BODIES, "booking", "/plain/1")

    async def test_event_without_end(self):
        """An event without an end was kept and searched from its start at each read."""
        await self.check_failed(STREAMS, "care", "/stream/1")

    async def test_events_without_end(self):
        """Events that hold no token were passed on until the caller's deadline."""
        sizes = {"X-Mulberrygate-Token-Count": "10,20"}
        await self.check_failed(EMPTY_EVENTS, "care", "/stream/1", **sizes)

    async def test_large_answers_give_way_when_memory_is_short(self):
        """Some endless answers at a time took more memory than an instance has."""
        buffered = BufferedBytes()
        exchange = Exchange(mock.Mock(connection=None), None, buffered)
        exchange._check_size(8 << 20)
        buffered.size = 60 << 20
        exchange._check_size(100 << 10)
        with self.assertRaises(Broken):
            exchange._check_size(8 << 20)


if __name__ == "__main__":
    unittest.main()
