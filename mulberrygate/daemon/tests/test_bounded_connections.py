"""Tests of the memory budget of an entry with callers that stay inside the limits, and others."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from mulberrygate.core.memory_budget import MemoryBudget
from mulberrygate.forward.tests.support import HOST, REQUEST_ID, Endpoint, Entry, document, whole

MB = 1 << 20


def head(path, number, *lines):
    """Return the head of a request."""
    first = [f"POST {path} HTTP/1.1", "Host: a.example", f"{REQUEST_ID}: id-{number}", *lines]
    return "\r\n".join(first).encode() + b"\r\n\r\n"


class TestBoundedConnections(unittest.IsolatedAsyncioTestCase):
    """An entry with a budget of 16 MB, which lets each pool hold 4 MB."""

    async def start(self, answer=None):
        """Start the entry and one endpoint."""
        fields = document()
        fields["limits"] = {"maxBodyBytes": 6 * MB}
        entry = Entry(fields)
        with mock.patch("mulberrygate.core.memory_gate.resident_bytes", lambda: 512 * MB):
            self.endpoint = Endpoint("e1", answer or whole())
            self.entry = await entry.start(booking=[self.endpoint])
        self.addAsyncCleanup(self.entry.close)
        self.memory = self.entry.forwarder.memory
        self.assertEqual(self.memory.budget.bodies.capacity, MemoryBudget(0).bodies.capacity)
        self.http = self.entry.http

    async def connect(self):
        """Return reader and writer of a new connection to the entry."""
        reader, writer = await asyncio.open_connection(HOST, self.entry.port)
        self.addCleanup(writer.transport.abort)
        # A writer that is no longer referenced closes its connection.
        self.addCleanup(lambda: writer)
        return reader, writer

    async def read_answer(self, reader):
        """Return status, head and body of the next answer."""
        lines = await reader.readuntil(b"\r\n\r\n")
        length = next(
            int(line.split(b":")[1])
            for line in lines.split(b"\r\n")
            if line.lower().startswith(b"content-length:")
        )
        return int(lines.split(b" ")[1]), lines, await reader.readexactly(length)

    def assert_nothing_held(self):
        """Check that all memory was given back."""
        for pool in (self.memory.budget.bodies, self.memory.budget.answers):
            self.assertEqual((pool.held, pool.holders, pool.waiting), (0, {}, {}))

    async def test_largest_body_in_calm(self):
        """Guards against a single legal body that is refused, changed or sent with more headers."""
        await self.start()
        body = bytes(range(256)) * (6 * MB // 256)
        async with self.entry.request("/plain/1") as response:
            self.assertEqual(response.status, 200)
        async with self.entry.session.post(
            f"http://{HOST}:{self.entry.port}/plain/2",
            data=body,
            headers={"Host": "a.example", REQUEST_ID: "id-2", "Content-Type": "x/y"},
        ) as response:
            self.assertEqual(response.status, 200)
        lines, _, received = self.endpoint.requests[1].partition(b"\r\n\r\n")
        self.assertEqual(received, body)
        self.assertIn(b"Content-Type: x/y", lines)
        self.assertEqual(lines.lower().count(b"content-type:"), 1)
        self.assert_nothing_held()

    async def test_body_without_content_type(self):
        """Guards against a header that the caller did not send."""
        await self.start()
        reader, writer = await self.connect()
        writer.write(head("/plain/1", 1, f"Content-Length: {MB}") + bytes(MB))
        self.assertEqual((await self.read_answer(reader))[0], 200)
        self.assertNotIn(b"content-type", self.endpoint.requests[0].lower())

    async def test_largest_body_in_chunks(self):
        """Guards against a body without a length that is refused in calm."""
        await self.start()
        reader, writer = await self.connect()
        writer.write(head("/plain/1", 1, "Transfer-Encoding: chunked"))
        piece = b"z" * 100_000
        for _ in range(60):
            writer.write(b"%x\r\n" % len(piece) + piece + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        self.assertEqual((await self.read_answer(reader))[0], 200)
        self.assertEqual(self.endpoint.requests[0].partition(b"\r\n\r\n")[2], piece * 60)
        self.assert_nothing_held()

    async def send_one_byte_chunks(self, size):
        """Send a body in chunks of one byte and check that it is passed on."""
        reader, writer = await self.connect()
        writer.write(head("/plain/1", 1, "Transfer-Encoding: chunked"))
        for _ in range(size // 1000):
            writer.write(b"1\r\nz\r\n" * 1000)
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        self.assertEqual((await self.read_answer(reader))[0], 200)
        self.assertEqual(self.endpoint.requests[-1].partition(b"\r\n\r\n")[2], b"z" * size)

    async def test_one_byte_chunks_beside_another_request(self):
        """Guards against chunks that take the time of other requests, or get lost for them."""
        await self.start()
        _, writer = await self.connect()
        writer.write(head("/plain/2", 2, "Content-Length: 100") + b"z")
        await self.send_one_byte_chunks(40_000)
        self.assertGreater(self.http.gate.counts.get("chunks_delayed", 0), 0)

    async def test_one_byte_chunks_in_calm(self):
        """Guards against a legal body that is delayed although nothing else is in work."""
        await self.start()
        await self.send_one_byte_chunks(40_000)
        self.assertNotIn("chunks_delayed", self.http.gate.counts)

    async def test_long_answer(self):
        """Guards against a long answer that is changed where it is written in slices."""
        body = bytes(range(256)) * (5 * MB // 256)
        await self.start(whole(200, body, b"X-Other: 1"))
        async with self.entry.request("/plain/1") as response:
            self.assertEqual((response.status, await response.read()), (200, body))
            self.assertEqual(response.headers["X-Other"], "1")
        async with self.entry.request("/plain/1", identifier="id-2") as response:
            self.assertEqual(await response.read(), body)
        self.assert_nothing_held()

    async def test_requests_sent_ahead_are_answered_in_order(self):
        """Guards against a connection that stays paused, or answers that are lost or mixed."""
        await self.start()
        reader, writer = await self.connect()
        total = 150
        for number in range(total):
            body = b"%d" % number * 2000
            writer.write(head("/plain/1", number, f"Content-Length: {len(body)}") + body)
        for number in range(total):
            status, lines, _ = await self.read_answer(reader)
            self.assertEqual(status, 200)
            self.assertIn(f"id-{number}\r\n".encode(), lines)
        self.assertGreater(self.http.gate.counts.get("reading_paused", 0), 0)
        self.assert_nothing_held()

    async def test_part_of_a_head_behind_a_request(self):
        """Guards against a connection that is not read again after it was paused in a head."""
        gate = asyncio.Event()
        answer = whole()

        async def late(*arguments):
            await gate.wait()
            await answer(*arguments)

        await self.start(late)
        reader, writer = await self.connect()
        # No endpoint of the tests takes so long a head, so the second request has no route.
        second = head("/none/2", 2, *(f"X-{n}: " + "y" * 8000 for n in range(10)))
        writer.write(head("/plain/1", 1, "Content-Length: 0"))
        await self.endpoint.asked.wait()
        writer.write(second[:70_000])
        await writer.drain()
        await asyncio.sleep(0.1)
        self.assertEqual(self.http.gate.counts.get("reading_paused"), 1)
        gate.set()
        self.assertEqual((await self.read_answer(reader))[0], 200)
        writer.write(second[70_000:])
        self.assertEqual((await self.read_answer(reader))[0], 404)

    async def test_caller_that_leaves_while_its_connection_is_paused(self):
        """Guards against an endpoint at work for a caller whose close is not read."""
        left = asyncio.Event()

        async def never(_endpoint, reader, _writer, _head):
            await reader.read()
            left.set()

        await self.start(never)
        _, writer = await self.connect()
        writer.write(head("/plain/1", 1, "Content-Length: 0"))
        await self.endpoint.asked.wait()
        writer.write((head("/plain/1", 2, "Content-Length: 70000") + bytes(70000)) * 2)
        await writer.drain()
        await asyncio.sleep(0.1)
        writer.close()
        async with asyncio.timeout(20):
            while not left.is_set():
                self.http.sweep(self.entry.timers.now())
                await asyncio.sleep(0.02)

    async def test_slow_body_while_memory_is_short(self):
        """Guards against a body short of its end that holds its memory for ever.

        The one that waits is served; the other is answered 408, as it has not run.
        """
        await self.start()
        slow_reader, slow_writer = await self.connect()
        slow_writer.write(head("/plain/1", 1, f"Content-Length: {3 * MB}") + bytes(2 * MB))
        bodies = self.memory.budget.bodies
        async with asyncio.timeout(20):
            while bodies.held < 3 * MB:  # noqa: ASYNC110 (the budget has no event)
                await asyncio.sleep(0.02)
        reader, writer = await self.connect()
        writer.write(head("/plain/1", 2, f"Content-Length: {2 * MB}") + bytes(2 * MB))
        async with asyncio.timeout(20):
            while not bodies.waiting:  # noqa: ASYNC110
                await asyncio.sleep(0.02)
        for seconds in (100, 200):
            self.memory.sweep(self.entry.timers.now() + seconds)
        status, lines, _ = await self.read_answer(slow_reader)
        self.assertEqual(status, 408)
        self.assertIn(b"Connection: close", lines)
        self.assertEqual((await self.read_answer(reader))[0], 200)
        self.assertEqual(len(self.endpoint.requests), 1)

    async def test_waiting_bodies_make_room_for_connections(self):
        """Guards against callers that find all connections taken by bodies that wait for memory."""
        await self.start()
        self.http.max_connections = 8
        bodies = self.memory.budget.bodies
        readers = []
        for number in range(6):
            reader, writer = await self.connect()
            readers.append(reader)
            writer.write(head("/plain/1", number, f"Content-Length: {3 * MB}") + bytes(1000))
        async with asyncio.timeout(20):
            while len(bodies.waiting) < 5:  # noqa: ASYNC110
                await asyncio.sleep(0.02)
        for number in range(6, 10):
            reader, writer = await self.connect()
            writer.write(head("/plain/1", number, "Content-Length: 5") + b"small")
            self.assertEqual((await self.read_answer(reader))[0], 200)
        self.assertEqual((await self.read_answer(readers[5]))[0], 503)

    async def test_body_without_room(self):
        """Guards against a refusal for lack of memory that doesn't promise what the status says."""
        await self.start()
        _, slow_writer = await self.connect()
        slow_writer.write(head("/plain/1", 1, f"Content-Length: {3 * MB}") + bytes(2 * MB))
        bodies = self.memory.budget.bodies
        async with asyncio.timeout(20):
            while bodies.held < 3 * MB:  # noqa: ASYNC110
                await asyncio.sleep(0.02)
        reader, writer = await self.connect()
        with mock.patch("mulberrygate.core.memory_gate.BODY_WAIT_S", 0.1):
            writer.write(head("/plain/1", 2, f"Content-Length: {2 * MB}") + bytes(1000))
            status, lines, body = await self.read_answer(reader)
        self.assertEqual(status, 503)
        self.assertIn(b"Connection: close", lines)
        self.assertIn(b"Retry-After: 1", lines)
        self.assertIn(b"memory_short", body)
        self.assertEqual(self.endpoint.requests, [])
        # An ordinary request is served beside both.
        async with self.entry.request("/plain/1", identifier="id-3") as response:
            self.assertEqual(response.status, 200)

    async def test_head_without_end(self):
        """Guards against a head of any size."""
        await self.start()
        reader, writer = await self.connect()
        writer.write(head("/plain/1", 1)[:-2])
        while self.http.head_bytes <= self.http.max_head_bytes - 8000:
            writer.write(b"X-Filler: " + b"y" * 7000 + b"\r\n")
            await asyncio.sleep(0.05)
        writer.write(b"X-Filler: " + b"y" * 9000 + b"\r\n")
        self.assertIn(b"431", await reader.readline())
        self.assertEqual(self.http.head_bytes, 0)

    async def test_idle_connections_make_room(self):
        """Guards against idle connections that keep callers out, and against closing busy ones."""
        gate = asyncio.Event()
        answer = whole()

        async def late(*arguments):
            await gate.wait()
            await answer(*arguments)

        await self.start(late)
        self.http.max_connections = 5
        busy_reader, busy_writer = await self.connect()
        busy_writer.write(head("/plain/1", 0, "Content-Length: 0"))
        await self.endpoint.asked.wait()
        for _ in range(20):
            await self.connect()
        await asyncio.sleep(0.1)
        self.assertLessEqual(self.http.open_connections, 5)
        gate.set()
        reader, writer = await self.connect()
        writer.write(head("/plain/1", 1, "Content-Length: 0"))
        self.assertEqual((await self.read_answer(reader))[0], 200)
        self.assertEqual((await self.read_answer(busy_reader))[0], 200)

    async def crowd_out(self, crowd):
        """Connect an ordinary caller and more of a crowd than there is room for; return its status.

        Parameters
        ==========
        crowd : bytes
            What each connection of the crowd sends.
        """
        self.http.max_connections = 12

        async def join(number):
            _, writer = await self.connect()
            writer.write(crowd.replace(b"NUMBER", b"%d" % number))
            await asyncio.sleep(0.02)

        for number in range(12):
            await join(number)
        reader, writer = await self.connect()
        for number in range(12, 18):
            await join(number)
        writer.write(head("/plain/1", 99, "Content-Length: 0"))
        self.assertLessEqual(self.http.open_connections, 12)
        return (await self.read_answer(reader))[0]

    async def test_refused_callers_do_not_keep_a_newcomer_out(self):
        """Callers refused before their body arrived kept theirs while newcomers were closed."""
        await self.start()
        crowd = head("/unknown/1", 0, "Content-Length: 1000").replace(b"id-0", b"id-NUMBER")
        async with asyncio.timeout(5):
            self.assertEqual(await self.crowd_out(crowd), 200)

    async def test_kept_connections_do_not_keep_a_newcomer_out(self):
        """Connections kept after a refusal kept theirs while newcomers were closed."""
        await self.start()
        crowd = head("/unknown/1", 0, "Content-Length: 0").replace(b"id-0", b"id-NUMBER")
        async with asyncio.timeout(5):
            self.assertEqual(await self.crowd_out(crowd), 200)

    async def test_bodies_that_are_not_sent_do_not_keep_a_newcomer_out(self):
        """Callers whose body is awaited kept their connections while newcomers were closed."""
        await self.start()
        crowd = head("/plain/1", 0, "Content-Length: 1000").replace(b"id-0", b"id-NUMBER")
        async with asyncio.timeout(5):
            self.assertEqual(await self.crowd_out(crowd), 200)

    async def test_body_that_arrives_stays_beside_others_that_do_not(self):
        """Guards against a body in transfer that is ended for newcomers in place of silent ones."""
        await self.start()
        reader, writer = await self.connect()
        writer.write(head("/plain/1", 97, "Content-Length: 2000") + bytes(1000))
        crowd = head("/plain/1", 0, "Content-Length: 1000").replace(b"id-0", b"id-NUMBER")
        async with asyncio.timeout(5):
            self.assertEqual(await self.crowd_out(crowd), 200)
            writer.write(bytes(1000))
            self.assertEqual((await self.read_answer(reader))[0], 200)

    async def test_silent_connections_do_not_keep_a_newcomer_out(self):
        """Guards against a newcomer that goes before connections that have been silent longer."""
        await self.start()
        async with asyncio.timeout(5):
            self.assertEqual(await self.crowd_out(b""), 200)

    async def test_silent_connections_go_before_kept_ones(self):
        """Guards against kept connections that go while others have been silent for long."""
        await self.start()
        reader, writer = await self.connect()
        writer.write(head("/plain/1", 0, "Content-Length: 0"))
        self.assertEqual((await self.read_answer(reader))[0], 200)
        with mock.patch("mulberrygate.daemon.http_server.NEWCOMER_S", 0.0):
            async with asyncio.timeout(5):
                self.assertEqual(await self.crowd_out(b""), 200)
        writer.write(head("/plain/1", 98, "Content-Length: 0"))
        self.assertEqual((await self.read_answer(reader))[0], 200)

    async def test_body_that_arrives_after_its_answer(self):
        """Guards against a sound connection that counts as one whose body is missing."""
        await self.start()
        reader, writer = await self.connect()
        writer.write(head("/unknown/1", 0, "Content-Length: 4"))
        self.assertEqual((await self.read_answer(reader))[0], 404)
        self.assertEqual(len(self.http.idle.unread), 1)
        writer.write(b"body" + head("/plain/1", 1, "Content-Length: 0"))
        self.assertEqual((await self.read_answer(reader))[0], 200)
        self.assertEqual(len(self.http.idle.unread), 0)
        self.assertEqual(len(self.http.idle.kept), 1)


if __name__ == "__main__":
    unittest.main()
