"""Tests of endpoints that send an endless head or body until the entry disconnects them."""

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
# Largest answer that an entry reads, plus the capacity of the loopback connections' buffers.
MAX_SENT_BYTES = 32 << 20


def head(request, *more):
    """Return the head of an answer without the empty line at its end."""
    lines = [b"HTTP/1.1 200 OK", identifier(request), SIGNATURE.encode() + b": s", *more]
    return b"\r\n".join(lines) + b"\r\n"


def endless(begin, piece):
    """Return an answer function that sends a beginning and then repeats one piece for ever."""

    async def answer(endpoint, _reader, writer, request):
        endpoint.sent = 0
        writer.write(begin(request))
        while True:
            endpoint.sent += len(piece)
            writer.write(piece)
            await writer.drain()

    return answer


def raw(data):
    """Return a function that gives the same beginning for any request."""
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
    """One entry on loopback, with a route timeout of 20 s."""

    async def start(self, answer, pool):
        """Start an entry with one endpoint."""
        entry = await Entry(document(timeoutMs=20_000)).start(**{pool: [Endpoint("e", answer)]})
        self.addAsyncCleanup(entry.close)
        return entry

    async def check_failed(self, kinds, pool, path, **headers):
        """Check that callers get the failure, and that the entry disconnects the endpoints."""
        for name, answer in kinds.items():
            with self.subTest(name):
                entry = await self.start(answer, pool)
                async with entry.request(path, **headers) as response:
                    self.assertEqual(response.status, 502)
                codes = [fields["code"] for fields in entry.lines.of("request.refused")]
                self.assertEqual(codes, [str(ENDPOINT_FAILED)])
                self.assertLess(entry.endpoints[0].sent, MAX_SENT_BYTES)

    async def test_head_without_end(self):
        """Guards against endless informational responses that occupy an entry for long."""
        await self.check_failed(HEADS, "booking", "/plain/1")

    async def test_body_without_end(self):
        """Guards against an endless chunk extension that is read until the deadline."""
        await self.check_failed(BODIES, "booking", "/plain/1")

    async def test_event_without_end(self):
        """Guards against an endless event that is buffered, and searched in full at each read."""
        await self.check_failed(STREAMS, "care", "/stream/1")

    async def test_events_without_end(self):
        """Guards against events without a token that are relayed until the deadline."""
        sizes = {"X-Mulberrygate-Token-Count": "10,20"}
        await self.check_failed(EMPTY_EVENTS, "care", "/stream/1", **sizes)

    async def test_large_answers_are_aborted_when_memory_is_short(self):
        """Guards against several endless answers that together exhaust the memory."""
        buffered = BufferedBytes()
        exchange = Exchange(mock.Mock(connection=None), None, buffered)
        exchange._check_size(8 << 20)
        buffered.size = 60 << 20
        exchange._check_size(100 << 10)
        with self.assertRaises(Broken):
            exchange._check_size(8 << 20)


if __name__ == "__main__":
    unittest.main()
