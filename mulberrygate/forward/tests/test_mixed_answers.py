"""Tests of answers that are not whole, or not answers in the protocol."""

from __future__ import annotations

import asyncio
import socket
import struct
import unittest

import aiohttp
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from mulberrygate.entry.upstream import Broken, Connected, Upstream
from mulberrygate.forward.codes import ENDPOINT_FAILED
from mulberrygate.forward.tests.support import (
    HOST,
    REQUEST_ID,
    SIGNATURE,
    Endpoint,
    Entry,
    document,
    identifier,
    stream,
)

SIGNED = SIGNATURE.encode() + b": s"
UPLOAD_BYTES = 4 << 20
STATUS_LINES = {
    "000": b"HTTP/1.1 000 X",
    "042": b"HTTP/1.1 042 X",
    "42": b"HTTP/1.1 42 X",
    "099": b"HTTP/1.1 099 X",
    "101": b"HTTP/1.1 101 X",
    "600": b"HTTP/1.1 600 X",
    "999": b"HTTP/1.1 999 X",
    "1000": b"HTTP/1.1 1000 X",
    "text": b"HTTP/1.1 abc X",
    "no status": b"HTTP/1.1",
    "no protocol": b"200 OK",
    "other protocol": b"SSH-2.0-x",
}


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


class TestStatusLines(MixedTestCase):
    """Answers whose first line is none of an answer to a request."""

    async def check(self, pool, path, *lines):
        """Check each faulty first line."""
        for name, first in STATUS_LINES.items():
            with self.subTest(name):
                answer = raw(first, *lines, b"Content-Length: 4", body=b"done")
                entry = await self.start(answer, pool)
                self.assert_failure_of_ours(await self.call(entry, path), entry)

    async def test_plain(self):
        """Guards against a status that is none, passed on with the endpoint's signature."""
        await self.check("booking", "/plain/1")

    async def test_stream(self):
        """Guards against the same on a route of streams."""
        await self.check("care", "/stream/1", b"Content-Type: text/event-stream")

    async def test_resumed_stream(self):
        """Guards against a stream that is resumed from an answer with a faulty status."""
        for name, first in STATUS_LINES.items():
            with self.subTest(name):
                faulty = raw(
                    first,
                    b"Content-Type: text/event-stream",
                    b"Content-Length: 16",
                    body=b"id: 3\ndata: x\n\n\n",
                )
                calls = []
                first_half = stream(2, end=False, reset=True)

                async def answer(*arguments, calls=calls, faulty=faulty, begun=first_half):
                    calls.append(1)
                    await (begun if len(calls) == 1 else faulty)(*arguments)

                entry = await self.start(answer, "care", more=[Endpoint("e2", answer)])
                received = await self.call(entry, "/stream/1")
                self.assertIn(b"id: 2\n", received)
                self.assertNotIn(b"id: 3\n", received)
                self.assertFalse(received.endswith(b"0\r\n\r\n"), received)

    async def test_own_interface(self):
        """Guards against such an answer on the product's own interface."""
        for name, first in STATUS_LINES.items():
            with self.subTest(name):
                endpoint = await Endpoint("e1", raw(first, b"Content-Length: 0")).start()
                self.addAsyncCleanup(endpoint.close)
                upstream = Upstream()
                self.addAsyncCleanup(upstream.close)
                result = await upstream.open(
                    "POST", f"http://{endpoint.address}/x", {}, b"body", 5.0
                )
                self.assertIsInstance(result, Broken)


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


def parse_answer(received):
    """Return status, headers and body of an answer as a strict caller reads it.

    Raises
    ======
    ValueError
        It is no whole answer.
    """
    head, found, body = received.partition(b"\r\n\r\n")
    if not found:
        raise ValueError("no head")
    first, *lines = head.split(b"\r\n")
    version, status, *_ = first.split(b" ", 2)
    if version != b"HTTP/1.1" or len(status) != 3 or not 200 <= int(status) <= 599:
        raise ValueError(f"first line {first!r}")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(b":")
        if not colon or not name or name.strip() != name or any(c < 32 and c != 9 for c in value):
            raise ValueError(f"header {line!r}")
        headers[name.lower()] = value.strip()
    if headers.get(b"transfer-encoding") == b"chunked":
        pieces = bytearray()
        while True:
            size, _, body = body.partition(b"\r\n")
            length = int(size, 16)
            pieces += body[:length]
            if body[length : length + 2] != b"\r\n":
                raise ValueError("chunk")
            body = body[length + 2 :]
            if not length:
                break
        return int(status), headers, bytes(pieces), body
    length = int(headers.get(b"content-length", b"0"))
    if len(body) < length:
        raise ValueError("the body is too short")
    return int(status), headers, body[:length], body[length:]


FIRST_LINES = st.one_of(
    st.sampled_from(list(STATUS_LINES.values())),
    st.integers(0, 1200).map(lambda status: b"HTTP/1.1 %03d X" % status),
    st.sampled_from([b"HTTP/1.1 200 OK", b"HTTP/1.0 200 OK", b"HTTP/1.1 500 X", b"HTTP/1.1 204 X"]),
    st.binary(max_size=30),
)
HEADER_LINES = st.one_of(
    st.sampled_from(
        [
            b"Content-Length: 4",
            b"Content-Length: 0",
            b"Content-Length: 400",
            b"Content-Length: -4",
            b"Content-Length: 4, 4",
            b"Transfer-Encoding: chunked",
            b"Transfer-Encoding: gzip, chunked",
            b"Content-Encoding: gzip",
            b"Connection: keep-alive",
            b"X-Mulberrygate-Not-Executed: 1",
            b" folded",
            b"No-Colon",
            b": empty",
        ]
    ),
    st.binary(max_size=20),
    st.binary(max_size=20).map(lambda value: b"X-Other: " + value),
)
BODIES = st.one_of(
    st.sampled_from(
        [
            b"",
            b"done",
            b"4\r\ndone\r\n0\r\n\r\n",
            b"4\r\ndo",
            b"ffffffffffffffff1\r\n",
            b"-4\r\ndone",
        ]
    ),
    st.binary(max_size=60),
)


class TestFuzzedAnswers(unittest.TestCase):
    """Answers of any bytes."""

    @settings(
        max_examples=150,
        derandomize=True,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(
        FIRST_LINES,
        st.lists(HEADER_LINES, max_size=4),
        BODIES,
        st.sampled_from(["close", "reset"]),
        st.booleans(),
    )
    def test_plain(self, first, lines, body, end, is_signed):
        """Guards against anything but a whole valid answer, or an error of ours, at the caller."""
        signed = [SIGNED] if is_signed else []

        async def answer(_endpoint, _reader, writer, head):
            writer.write(b"\r\n".join([first, identifier(head), *signed, *lines, b"", body]))
            await writer.drain()
            if end == "reset":
                reset(writer)

        received = asyncio.run(self.call(answer))
        status, headers, _, rest = parse_answer(received)
        self.assertEqual(rest, b"")
        is_success = 200 <= status < 300
        if is_success:
            self.assertIn(SIGNATURE.lower().encode(), headers)
            self.assertIn(b" %d" % status, first)
        if SIGNATURE.lower().encode() in headers:
            self.assertTrue(is_signed or SIGNATURE.lower().encode() in b"".join(lines).lower())

    async def call(self, answer):
        """Return what a caller gets through a new entry."""
        case = MixedTestCase()
        entry = await Entry(document()).start(booking=[Endpoint("e1", answer)])
        try:
            return await case.call(entry, "/plain/1")
        finally:
            await entry.close()


if __name__ == "__main__":
    unittest.main()
