"""Tests of answers that are not whole, or not answers in the protocol."""

from __future__ import annotations

import asyncio
import socket
import struct
import unittest

import aiohttp

from mulberrygate.entry.upstream import Connected, Upstream
from mulberrygate.forward.codes import ENDPOINT_FAILED
from mulberrygate.forward.tests.support import (
    HOST,
    REQUEST_ID,
    SIGNATURE,
    Endpoint,
    Entry,
    document,
    identifier,
)

SIGNED = SIGNATURE.encode() + b": s"
UPLOAD_BYTES = 4 << 20


class EagerEndpoint(Endpoint):
    """Endpoint that answers as soon as it has read a head, and never reads the body."""

    async def serve(self, reader, writer):
        """Answer at once."""
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            reader._transport.pause_reading()
            self.requests.append(head)
            await self.answer(self, reader, writer, head)
        except ConnectionError:
            pass


def reset(writer):
    """Reset a connection, also if all that was received has been read."""
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def raw(first, *lines, body=b"", end="close", pause_s=0.0):
    """Return an answer function that writes any bytes and closes or resets the connection."""

    async def answer(_endpoint, _reader, writer, head):
        found = [first, identifier(head), SIGNED, *lines]
        writer.write(b"\r\n".join(found) + b"\r\n\r\n" + body)
        await writer.drain()
        await asyncio.sleep(pause_s)
        if end == "reset":
            reset(writer)
        elif end == "half":
            writer.write_eof()
            await asyncio.sleep(0.2)
            # What is left of the body is taken, so that the sender sees a clean end.
            writer.transport.resume_reading()
            await asyncio.sleep(0.5)
            writer.close()
        else:
            writer.close()

    return answer


class MixedTestCase(unittest.IsolatedAsyncioTestCase):
    """An entry on loopback with one endpoint."""

    async def start(self, answer, pool="booking", kind=Endpoint, more=()):
        """Start an entry and its endpoints."""
        fields = document()
        fields["limits"] = {"maxBodyBytes": 2 * UPLOAD_BYTES}
        for route in fields["routes"]:
            if route["kind"] == "streaming":
                route["resumable"] = True
        entry = await Entry(fields).start(**{pool: [kind("e1", answer), *more]})
        self.addAsyncCleanup(entry.close)
        return entry

    async def call(self, entry, path, body=b""):
        """Send a request and return all bytes that arrive until the connection is closed."""
        reader, writer = await asyncio.open_connection(HOST, entry.port)
        lines = [f"POST {path} HTTP/1.1", "Host: a.example", f"{REQUEST_ID}: id-1"]
        lines += [f"Content-Length: {len(body)}", "Connection: close"]
        received = bytearray()
        try:
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            async with asyncio.timeout(20):
                while data := await reader.read(65536):
                    received += data
        except ConnectionError:
            pass
        finally:
            writer.transport.abort()
        return bytes(received)

    def assert_failure_of_ours(self, received, entry):
        """Check that the caller got an error of the entry, and the endpoint's fault is counted."""
        self.assertTrue(received.startswith(b"HTTP/1.1 502 "), received[:300])
        self.assertNotIn(SIGNATURE.lower().encode(), received.lower())
        self.assertIn(str(ENDPOINT_FAILED.number).encode(), received)
        # A stream is sent to an endpoint again.
        self.assertGreaterEqual(len(entry.lines.of("endpoint.broke")), 1)


class TestBrokenUploads(MixedTestCase):
    """Answers that end while the body of the request is still being written."""

    FRAMES = {
        "no length": ((), b"part"),
        "length": ((b"Content-Length: 8",), b"part"),
        "chunked": ((b"Transfer-Encoding: chunked",), b"8\r\npart"),
    }

    async def check(self, pool, path, end, *lines):
        """Check each way to say the length of the answer."""
        for name, (frame, body) in self.FRAMES.items():
            for pause_s in (0.0, 0.1):
                with self.subTest(name, pause_s=pause_s):
                    answer = raw(
                        b"HTTP/1.1 200 OK", *frame, *lines, body=body, end=end, pause_s=pause_s
                    )
                    entry = await self.start(answer, pool, kind=EagerEndpoint)
                    received = await self.call(entry, path, bytes(UPLOAD_BYTES))
                    self.assert_failure_of_ours(received, entry)

    async def test_reset(self):
        """Guards against a part of an answer that is passed on as a whole one."""
        await self.check("booking", "/plain/1", "reset")

    async def test_end_without_reset(self):
        """Guards against an answer that ends properly, though its request was not read."""
        await self.check("booking", "/plain/1", "half")

    async def test_reset_stream(self):
        """Guards against a broken stream that ends as a complete one."""
        event = b"id: 1\ndata: x\n\n"
        answer = raw(
            b"HTTP/1.1 200 OK", b"Content-Type: text/event-stream", body=event, end="reset",
            pause_s=0.1,
        )  # fmt: skip
        entry = await self.start(answer, "care", kind=EagerEndpoint)
        received = await self.call(entry, "/stream/1", bytes(UPLOAD_BYTES))
        self.assertFalse(received.endswith(b"0\r\n\r\n"), received)
        self.assertGreaterEqual(len(entry.lines.of("endpoint.broke")), 1)

    async def test_reset_with_the_answer(self):
        """Guards against a reset that is not seen since it arrives together with the answer."""
        for attempt in range(10):
            with self.subTest(attempt):
                answer = raw(b"HTTP/1.1 200 OK", body=b"part", end="reset")
                entry = await self.start(answer, kind=EagerEndpoint)
                received = await self.call(entry, "/plain/1", b"small body")
                self.assert_failure_of_ours(received, entry)

    async def test_own_interface(self):
        """Guards against a part of an answer that the product's own interface takes as whole."""
        for pause_s in (0.0, 0.1):
            with self.subTest(pause_s=pause_s):
                answer = raw(b"HTTP/1.1 200 OK", body=b"part", end="reset", pause_s=pause_s)
                endpoint = await EagerEndpoint("e1", answer).start()
                self.addAsyncCleanup(endpoint.close)
                upstream = Upstream()
                self.addAsyncCleanup(upstream.close)
                result = await upstream.open(
                    "POST", f"http://{endpoint.address}/x", {}, bytes(UPLOAD_BYTES), 5.0
                )
                if isinstance(result, Connected):
                    with self.assertRaises((aiohttp.ClientError, OSError)):
                        while await result.response.content.readany():
                            pass

    async def test_whole_answer_to_a_body_that_is_not_read(self):
        """Guards against an early answer that is whole and taken for a broken one."""
        answer = raw(b"HTTP/1.1 200 OK", b"Content-Length: 5", body=b"whole", pause_s=0.3)
        entry = await self.start(answer, kind=EagerEndpoint)
        received = await self.call(entry, "/plain/1", bytes(UPLOAD_BYTES))
        self.assertTrue(received.startswith(b"HTTP/1.1 200 "), received[:200])
        self.assertTrue(received.endswith(b"whole"))


if __name__ == "__main__":
    unittest.main()
