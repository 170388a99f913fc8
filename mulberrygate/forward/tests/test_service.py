"""Tests of the forwarding path against endpoints that misbehave."""

from __future__ import annotations

import asyncio
import gzip
import random
import socket
import struct
import unittest
from unittest import mock

import aiohttp

from mulberrygate.forward.service import CATALOG_CURRENT_S
from mulberrygate.forward.suspects import Finding, Standing
from mulberrygate.forward.tests.support import (
    REQUEST_ID,
    SIGNATURE,
    Endpoint,
    Entry,
    document,
    identifier,
    stream,
    whole,
)
from mulberrygate.schedule.codes import DEADLINE_UNREACHABLE

EVENT = "id: {0}\ndata: x\n\n"


def events(*numbers):
    """Return the bytes of events with these identifiers."""
    return "".join(EVENT.format(number) for number in numbers).encode()


def break_off(writer):
    """Reset a connection."""
    # Without this option the system closes the connection in an orderly way.
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def reset(_endpoint, _reader, writer, _head):
    """Reset the connection without an answer."""
    break_off(writer)


async def unframed_reset(_endpoint, _reader, writer, _head):
    """Send a body without a length and reset the connection."""
    writer.write(b"HTTP/1.1 200 OK\r\n" + SIGNATURE.encode() + b": s\r\n\r\npart")
    await writer.drain()
    await asyncio.sleep(0.05)
    break_off(writer)


async def unframed(_endpoint, _reader, writer, _head):
    """Send a body without a length and close the connection."""
    writer.write(b"HTTP/1.1 200 OK\r\n" + SIGNATURE.encode() + b": s\r\n\r\nwhole")
    await writer.drain()


def unframed_stream(text, is_reset=False):
    """Return an answer function that sends a stream without a length, and may reset it."""

    async def answer(_endpoint, _reader, writer, head):
        lines = [b"HTTP/1.1 200 OK", identifier(head), SIGNATURE.encode() + b": s"]
        lines.append(b"Content-Type: text/event-stream")
        writer.write(b"\r\n".join(lines) + b"\r\n\r\n" + text)
        await writer.drain()
        if is_reset:
            await asyncio.sleep(0.05)
            break_off(writer)

    return answer


async def wait_for_disconnect(endpoint, reader, _writer, _head):
    """Send no answer, and wait for the connection to be closed."""
    await reader.read()
    endpoint.left.set()


def quarantine(suspects):
    """Let any call count as quarantined."""
    suspects.find = lambda call: Finding(Standing.QUARANTINED, (call.fingerprint,))


class TestForwarder(unittest.IsolatedAsyncioTestCase):
    """One entry on loopback."""

    async def start(self, fields=None, **endpoints):
        """Start an entry and close it after the test."""
        entry = await Entry(fields).start(**endpoints)
        self.addAsyncCleanup(entry.close)
        return entry

    async def test_answer_is_passed_on_unchanged(self):
        """Guards against a status, body or signature that is changed on the way."""
        entry = await self.start(booking=[Endpoint("e", whole(201, b"body"))])
        async with entry.request("/plain/1?x=%2F", X_Own="1") as answer:
            self.assertEqual((answer.status, await answer.read()), (201, b"body"))
            self.assertEqual(answer.headers[SIGNATURE], "s")
        head = entry.endpoints[0].requests[0]
        self.assertTrue(head.startswith(b"POST /plain/1?x=%2F HTTP/1.1\r\n"))
        self.assertEqual(len(entry.lines.of("request.answered")), 1)

    async def test_failure_of_a_call_that_runs_once(self):
        """Guards against a booking that failed at one endpoint and is sent to another."""
        endpoints = [Endpoint("e1", whole(500)), Endpoint("e2", whole(500))]
        entry = await self.start(booking=endpoints)
        async with entry.request("/plain/1") as answer:
            self.assertEqual(answer.status, 500)
            self.assertIn(SIGNATURE, answer.headers)
        self.assertEqual(sum(len(endpoint.requests) for endpoint in endpoints), 1)

    async def test_lost_answer_of_a_call_that_runs_once(self):
        """Guards against a booking with a lost answer that is refused as not run, or resent."""
        endpoints = [Endpoint("e1", reset), Endpoint("e2", reset)]
        entry = await self.start(booking=endpoints)
        async with entry.request("/plain/1") as answer:
            self.assertEqual(answer.status, 502)
        self.assertEqual(sum(len(endpoint.requests) for endpoint in endpoints), 1)

    async def test_lost_answer_of_a_call_that_runs_once_with_any_method(self):
        """Guards against a booking that an HTTP client repeats by itself when its answer is lost.

        The client repeated GET, PUT and DELETE at the same endpoint, so that the booking ran twice.
        """
        for method in ("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST"):
            with self.subTest(method):
                endpoint = Endpoint("e", reset)
                entry = await self.start(booking=[endpoint])
                async with entry.request("/plain/1", method) as answer:
                    self.assertEqual(answer.status, 502)
                self.assertEqual(len(endpoint.requests), 1)

    async def test_idempotent_call_goes_to_another_endpoint(self):
        """Guards against a read that failed at one endpoint and is not sent to another."""
        entry = await self.start(booking=[Endpoint("e1", whole(500)), Endpoint("e2", whole(200))])
        for number in range(4):
            async with entry.request("/read/1", identifier=f"id-{number}") as answer:
                self.assertEqual(answer.status, 200)

    async def test_attempt_limit_of_the_route_is_respected(self):
        """Guards against a read that runs at more endpoints than its route allows."""
        endpoints = [Endpoint(f"e{n}", whole(500)) for n in range(4)]
        entry = await self.start(booking=endpoints)
        async with entry.request("/read/1") as answer:
            self.assertEqual(answer.status, 500)
        self.assertEqual(sum(len(endpoint.requests) for endpoint in endpoints), 2)

    async def test_call_that_was_turned_down(self):
        """Guards against losing a booking that one of two endpoints turned down as it was full."""
        turned_down = whole(503, b"", b"X-Mulberrygate-Not-Executed: 1")
        entry = await self.start(booking=[Endpoint("e1", turned_down), Endpoint("e2", whole(200))])
        for number in range(3):
            async with entry.request("/plain/1", identifier=f"id-{number}") as answer:
                self.assertEqual(answer.status, 200)

    async def test_endpoint_that_does_not_listen(self):
        """Guards against a 502 for a booking of which no byte was sent."""
        gone = await Endpoint("e1", whole()).start()
        await gone.close()
        entry = await self.start(booking=[Endpoint("e2", whole(200))])
        entry.roster.record_report(gone.registration("booking"), entry.timers.now())
        entry.placement.refresh()
        for number in range(4):
            async with entry.request("/plain/1", identifier=f"id-{number}") as answer:
                self.assertEqual(answer.status, 200)

    async def test_body_that_ends_with_a_broken_connection(self):
        """Guards against taking a body without a length for complete after a connection reset."""
        entry = await self.start(booking=[Endpoint("e", unframed_reset)])
        async with entry.request("/plain/1") as answer:
            self.assertEqual(answer.status, 502)
            self.assertNotIn(SIGNATURE, answer.headers)

    async def test_body_that_ends_with_its_connection(self):
        """Guards against refusing a complete body without a length."""
        entry = await self.start(booking=[Endpoint("e", unframed)])
        async with entry.request("/plain/1") as answer:
            self.assertEqual((answer.status, await answer.read()), (200, b"whole"))

    async def test_body_shorter_than_its_length(self):
        """Guards against passing on a body that is shorter than its length."""

        async def short(_endpoint, _reader, writer, _head):
            writer.write(b"HTTP/1.1 200 OK\r\n" + SIGNATURE.encode() + b": s\r\n")
            writer.write(b"Content-Length: 10\r\n\r\npart")
            await writer.drain()

        entry = await self.start(booking=[Endpoint("e", short)])
        async with entry.request("/plain/1") as answer:
            self.assertEqual(answer.status, 502)

    async def test_answer_to_another_request(self):
        """Guards against taking a late answer to an earlier request for the answer to this one."""

        async def other(_endpoint, _reader, writer, _head):
            writer.write(b"HTTP/1.1 200 OK\r\nX-Mulberrygate-Request-Id: id-0\r\n")
            writer.write(SIGNATURE.encode() + b": s\r\nContent-Length: 2\r\n\r\nno")
            await writer.drain()

        entry = await self.start(booking=[Endpoint("e", other)])
        async with entry.request("/plain/1") as answer:
            self.assertEqual(answer.status, 502)

    async def test_stream(self):
        """Guards against lost events, or a stream whose end is not passed on."""
        entry = await self.start(care=[Endpoint("e", stream(3))])
        async with entry.request("/stream/1") as answer:
            self.assertEqual(await answer.read(), events(1, 2, 3))

    async def test_longest_pause_of_a_stream_is_logged(self):
        """Guards against late streams whose log line shows no reason."""
        pause_s = 0.05

        async def slow_stream(endpoint, reader, writer, head):
            await stream(1, end=None)(endpoint, reader, writer, head)
            await asyncio.sleep(pause_s)
            event = events(2)
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n0\r\n\r\n")
            await writer.drain()

        entry = await self.start(care=[Endpoint("e", slow_stream)])
        async with entry.request("/stream/1") as answer:
            self.assertEqual(await answer.read(), events(1, 2))
        logged = entry.lines.of("request.answered")[0]["pause_s"]
        self.assertGreaterEqual(logged, pause_s)

    async def test_broken_stream_does_not_look_complete(self):
        """Guards against ending a broken stream as if it were complete."""
        entry = await self.start(care=[Endpoint("e", stream(2, end=False))])
        with self.assertRaises(aiohttp.ClientPayloadError):
            async with entry.request("/stream/1") as answer:
                await answer.read()

    async def test_stream_without_a_length(self):
        """Guards against a stream that ends with its connection and is taken for broken off."""
        entry = await self.start(care=[Endpoint("e", unframed_stream(b"id: 1\ndata: x\n\n"))])
        async with entry.request("/stream/1") as answer:
            self.assertEqual(await answer.read(), events(1))

    async def test_stream_without_a_length_that_ends_inside_an_event(self):
        """Guards against a stream that ends inside an event and is taken for complete."""
        text = b"id: 1\ndata: x\n\nid: 2\nda"
        for is_reset in (False, True):
            endpoint = Endpoint("e", unframed_stream(text, is_reset))
            entry = await self.start(care=[endpoint])
            with self.assertRaises(aiohttp.ClientPayloadError):
                async with entry.request("/stream/1") as answer:
                    await answer.read()
            self.assertEqual(len(entry.lines.of("endpoint.broke")), 1)

    async def test_stream_without_a_length_that_is_reset(self):
        """Guards against a stream that is reset between events and is taken for complete."""
        endpoint = Endpoint("e", unframed_stream(b"id: 1\ndata: x\n\n", is_reset=True))
        entry = await self.start(care=[endpoint])
        with self.assertRaises(aiohttp.ClientPayloadError):
            async with entry.request("/stream/1") as answer:
                await answer.read()

    async def test_broken_stream_is_resumed_elsewhere(self):
        """Guards against lost, repeated or partial events in a stream that is resumed elsewhere."""
        endpoints = [Endpoint("e1", stream(2, end=False)), Endpoint("e2", stream(2, first=3))]
        entry = await self.start(document(resumable=True), care=endpoints[:1])
        await endpoints[1].start()
        self.addAsyncCleanup(endpoints[1].close)
        async with entry.request("/stream/1") as answer:
            entry.roster.mark_leaving("e1", 1)
            entry.roster.record_report(endpoints[1].registration("care"), entry.timers.now())
            entry.placement.refresh()
            self.assertEqual(await answer.read(), events(1, 2, 3, 4))
        self.assertIn(b"Last-Event-Id: 2\r\n", endpoints[1].requests[0])

    async def test_caller_that_leaves(self):
        """Guards against an endpoint that goes on with a call after its caller disconnected."""
        endpoint = Endpoint("e", wait_for_disconnect)
        entry = await self.start(care=[endpoint])
        context = entry.request("/stream/1")
        task = asyncio.ensure_future(context.__aenter__())
        await asyncio.wait_for(endpoint.asked.wait(), 5)
        task.cancel()
        await asyncio.wait_for(endpoint.left.wait(), 5)
        self.assertEqual(len(entry.lines.of("request.left")), 1)

    async def test_timeout_after_the_call_was_sent(self):
        """Guards against reporting a call as not run at its timeout although it may still run."""
        entry = await self.start(
            document(timeoutMs=200), booking=[Endpoint("e", wait_for_disconnect)]
        )
        async with entry.request("/plain/1") as answer:
            self.assertEqual(answer.status, 504)

    async def test_timeout_before_the_call_was_sent(self):
        """Guards against reporting a call as possibly run although it reached no endpoint."""
        entry = await self.start(document(timeoutMs=200))
        async with entry.request("/plain/1") as answer:
            self.assertEqual(answer.status, 503)

    async def test_retry_is_refused_before_its_caller_gives_up(self):
        """Guards against a retry with little time left that is not refused in time."""
        entry = await self.start(care=[Endpoint("e", wait_for_disconnect)])
        running = [
            asyncio.ensure_future(entry.request("/stream/1", identifier=f"r{n}").__aenter__())
            for n in range(5)
        ]
        await asyncio.sleep(0.2)
        headers = {"X-Mulberrygate-Request-Deadline": "3000"}
        # The grace period keeps the entry's own timeout away from the time of the owner's refusal.
        with mock.patch("mulberrygate.forward.service.REFUSAL_GRACE_S", 10.0):
            async with entry.request("/stream/1", identifier="back", **headers) as answer:
                self.assertEqual(answer.status, 503)
        self.assertIn(str(DEADLINE_UNREACHABLE), entry.lines.of("request.refused")[0]["code"])
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    async def test_call_that_was_quarantined_while_it_waited_is_not_sent(self):
        """Guards against sending a waiting call that has been quarantined in the meantime."""
        entry = await self.start()
        asked = asyncio.ensure_future(entry.request("/plain/1").__aenter__())
        async with asyncio.timeout(10):
            while not entry.forwarder.scheduler.waiting:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        quarantine(entry.forwarder.suspects)
        endpoint = await Endpoint("e", whole()).start()
        entry.endpoints.append(endpoint)
        entry.roster.record_report(endpoint.registration("booking"), entry.timers.now())
        entry.placement.refresh()
        answer = await asked
        self.assertEqual((answer.status, (await answer.json())["code"]), (503, 1208))
        self.assertEqual(endpoint.requests, [])

    async def test_call_that_was_quarantined_while_it_ran_is_not_sent_again(self):
        """Guards against sending an idempotent call to a second endpoint after its quarantine."""
        entry = await self.start()

        async def break_and_quarantine(endpoint, reader, writer, head):
            quarantine(entry.forwarder.suspects)
            await reset(endpoint, reader, writer, head)

        endpoints = [await Endpoint(f"e{n}", break_and_quarantine).start() for n in range(2)]
        entry.endpoints += endpoints
        for endpoint in endpoints:
            entry.roster.record_report(endpoint.registration("booking"), entry.timers.now())
        entry.placement.refresh()
        async with entry.request("/read/1") as answer:
            self.assertEqual(answer.status, 502)
        self.assertEqual(sum(len(endpoint.requests) for endpoint in endpoints), 1)

    async def test_refusals(self):
        """Guards against sending a call that the catalog doesn't allow to an endpoint."""
        fields = document()
        fields["tenants"] = [{"name": "hule", "apiKeys": ["k1"]}]
        entry = await self.start(fields, booking=[Endpoint("e", whole())])
        statuses = []
        for path, key in (("/none/1", "k1"), ("/plain/1", "other"), ("/plain/1", "k1")):
            async with entry.request(path, Authorization=f"Bearer {key}") as answer:
                statuses.append(answer.status)
        self.assertEqual(statuses, [404, 401, 200])
        self.assertEqual(len(entry.endpoints[0].requests), 1)
        self.assertNotIn(b"k1", entry.endpoints[0].requests[0])
        self.assertIn(b"X-Mulberrygate-Tenant-Id: hule\r\n", entry.endpoints[0].requests[0])

    async def test_entry_with_an_uncertain_catalog_gives_no_final_refusal(self):
        """Guards against a final refusal by an old catalog that a newer one would not give."""
        fields = document()
        fields["tenants"] = [{"name": "hule", "apiKeys": ["k1"]}]
        entry = await self.start(fields, booking=[Endpoint("e", whole())])
        entry.forwarder.catalog_current_at = entry.timers.now() - CATALOG_CURRENT_S - 0.1
        answers = []
        for path, key in (("/none/1", "k1"), ("/plain/1", "other"), ("/plain/1", "k1")):
            async with entry.request(path, Authorization=f"Bearer {key}") as answer:
                answers.append((answer.status, "Retry-After" in answer.headers))
        self.assertEqual(answers, [(503, True), (503, True), (200, False)])

    async def test_no_catalog_yet(self):
        """Guards against an entry without a catalog that refuses routes as unknown."""
        entry = await self.start()
        entry.forwarder.index = None
        entry.forwarder.has_index.clear()
        headers = {"X-Mulberrygate-Request-Deadline": "50"}
        async with entry.request("/plain/1", **headers) as answer:
            self.assertEqual(answer.status, 503)
            self.assertGreater(float(answer.headers["Retry-After"]), 0)

    async def test_first_catalog_is_waited_for(self):
        """Guards against refusing callers that arrive just before the first catalog."""
        entry = await self.start(booking=[Endpoint("e", whole())])
        index = entry.forwarder.index
        entry.forwarder.index = None
        entry.forwarder.has_index.clear()
        entry.timers.after(0.05, lambda: entry.forwarder.set_index(index), "catalog")
        async with entry.request("/plain/1") as answer:
            self.assertEqual(answer.status, 200)

    async def test_body_over_the_limit(self):
        """Guards against sending a body over the limit to an endpoint."""
        entry = await self.start(booking=[Endpoint("e", whole())])
        url = f"http://127.0.0.1:{entry.port}/plain/1"
        headers = {"Host": "a.example"}
        async with entry.session.post(url, data=b"x" * 6000, headers=headers) as answer:
            self.assertEqual(answer.status, 413)
        self.assertEqual(entry.endpoints[0].requests, [])

    async def test_connection_without_a_request_is_closed(self):
        """Guards against connections that stay open for ever after half a request head."""
        entry = await self.start(booking=[Endpoint("e", whole())])
        async with entry.request("/plain/1") as answer:
            await answer.read()
        reader, writer = await asyncio.open_connection("127.0.0.1", entry.port)
        writer.write(b"POST /plain/1 HTTP/1.1\r\nHost: a.ex")
        await writer.drain()
        async with asyncio.timeout(5):
            while len(entry.http.server.connections) < 2:  # noqa: ASYNC110 (no event tells)
                await asyncio.sleep(0)
        limit_s = entry.http.limits.idle_timeout_s
        entry.http.close_silent(100.0)
        entry.http.close_silent(100.0 + limit_s)
        self.assertEqual(len(entry.http.server.connections), 2)
        entry.http.close_silent(100.1 + limit_s)
        try:
            self.assertEqual(await reader.read(), b"")
        except ConnectionResetError:
            pass
        self.assertEqual(len(entry.http.server.connections), 1)
        writer.close()

    async def test_head_that_is_too_long(self):
        """Guards against buffering a request head of any length."""
        entry = await self.start(booking=[Endpoint("e", whole())])
        async with entry.request("/plain/1", X_Long="x" * 40_000) as answer:
            self.assertEqual(answer.status, 400)
        self.assertEqual(entry.endpoints[0].requests, [])

    async def test_planned_stop_closes_idle_connections(self):
        """Guards against a request without an answer on an idle connection after a planned stop."""
        entry = await self.start(booking=[Endpoint("e", whole())])
        async with entry.request("/plain/1") as answer:
            await answer.read()
        connections = list(entry.http.server.connections)
        await entry.http.stop_listening()
        self.assertEqual([connection.transport for connection in connections], [None])
        with self.assertRaises(aiohttp.ClientError):
            async with entry.request("/plain/2"):
                pass

    async def test_planned_stop_answers_a_request_that_has_just_arrived(self):
        """Guards against cutting off a request on a connection that was accepted at a stop."""
        entry = await self.start(booking=[Endpoint("e", whole())])
        reader, writer = await asyncio.open_connection("127.0.0.1", entry.port)
        self.addCleanup(writer.close)
        entry.forwarder.is_closing = True
        stopping = asyncio.ensure_future(entry.http.stop_listening())
        while entry.http.listener.is_serving():  # noqa: ASYNC110
            await asyncio.sleep(0)
        writer.write(b"POST /plain/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n\r\n")
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 10)
        self.assertIn(b" 200 ", head.splitlines()[0])
        await stopping

    async def test_planned_stop_lets_running_answers_end(self):
        """Guards against cutting off a stream that runs when the stop begins."""
        release = asyncio.Event()

        async def slow(endpoint, reader, writer, head):
            await release.wait()
            await stream(2)(endpoint, reader, writer, head)

        entry = await self.start(care=[Endpoint("e", slow)])
        task = asyncio.ensure_future(entry.request("/stream/1").__aenter__())
        await asyncio.wait_for(entry.endpoints[0].asked.wait(), 5)
        entry.forwarder.is_closing = True
        await entry.http.stop_listening()
        release.set()
        answer = await task
        self.assertEqual(await answer.read(), events(1, 2))
        await entry.forwarder.wait_idle(5.0)
        self.assertEqual(entry.forwarder.active, 0)


class TestCompressedBodies(unittest.IsolatedAsyncioTestCase):
    """Bodies with a Content-Encoding, which belong to the endpoint."""

    async def send(self, body, limit=5000):
        """Send a body that is said to be compressed; return the status and what arrived."""
        fields = document()
        fields["limits"] = {"maxBodyBytes": limit}
        endpoint = Endpoint("e1", whole())
        entry = await Entry(fields).start(booking=[endpoint])
        self.addAsyncCleanup(entry.close)
        headers = {
            "Host": "a.example",
            REQUEST_ID: "id-1",
            "Content-Encoding": "gzip",
            "Content-Type": "application/json",
        }
        url = f"http://127.0.0.1:{entry.port}/plain/1"
        async with entry.session.post(url, data=body, headers=headers) as response:
            return response.status, endpoint.requests

    async def test_body_arrives_byte_for_byte(self):
        """Guards against a body that is decompressed on its way, with a header that says not so."""
        body = gzip.compress(b"some text " * 100)
        status, requests = await self.send(body)
        self.assertEqual(status, 200)
        head, _, received = requests[0].partition(b"\r\n\r\n")
        self.assertEqual(received, body)
        self.assertIn(b"Content-Encoding: gzip", head)

    async def test_body_that_is_not_compressed_as_it_says(self):
        """Guards against a body that is judged by an encoding that only its reader needs."""
        status, requests = await self.send(b"no gzip")
        self.assertEqual((status, requests[0].partition(b"\r\n\r\n")[2]), (200, b"no gzip"))

    async def test_limit_applies_to_the_bytes_sent(self):
        """Guards against a limit on what a body would be once it is decompressed."""
        self.assertEqual((await self.send(gzip.compress(bytes(100_000))))[0], 200)
        body = gzip.compress(random.Random(1).randbytes(6000))
        self.assertEqual(await self.send(body), (413, []))


if __name__ == "__main__":
    unittest.main()
