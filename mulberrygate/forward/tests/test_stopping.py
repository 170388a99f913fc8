"""Tests of what a planned stop answers to calls, by what they wait for."""

from __future__ import annotations

import asyncio
import unittest

import aiohttp

from mulberrygate.forward import codes
from mulberrygate.forward.request import Refused
from mulberrygate.forward.stopping import StopLimits
from mulberrygate.forward.tests.support import HOST, Endpoint, Entry, document, stream, whole

STEP_TIMEOUT_S = 10.0
# Far beyond the stop, so that only the stop can end a wait.
LONG_TIMEOUT_MS = 60_000


async def stay_silent(_endpoint, reader, _writer, _head):
    """Go on running without an answer until the connection is closed."""
    await reader.read()


async def wait_forever(*_arguments):
    """Wait in place of a step that a stop has to end."""
    await asyncio.Event().wait()


class TestStopping(unittest.IsolatedAsyncioTestCase):
    """One entry that stops while calls are in progress."""

    async def start(self, **endpoints):
        """Start an entry whose routes have a long timeout."""
        entry = await Entry(document(timeoutMs=LONG_TIMEOUT_MS)).start(**endpoints)
        self.addAsyncCleanup(entry.close)
        return entry

    async def ask(self, entry, path="/plain/1", method="POST", identifier="id-1"):
        """Return the status and the result code, or the body of an endpoint's answer."""
        async with asyncio.timeout(STEP_TIMEOUT_S):
            async with entry.request(path, method, identifier) as answer:
                body = await answer.read()
                is_own = answer.content_type == "application/json"
                return answer.status, (await answer.json())["code"] if is_own else body

    def stop_now(self, entry, answer_in_s=60.0):
        """Begin a stop that sends no more calls."""
        now = entry.timers.now()
        entry.forwarder.begin_stop(now, now + answer_in_s)

    async def until(self, condition):
        """Wait until a condition holds."""
        async with asyncio.timeout(STEP_TIMEOUT_S):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    async def test_call_that_waits_for_an_endpoint(self):
        """Guards against a stop that cuts off calls that nothing has run, without an answer."""
        endpoint = Endpoint("e", whole())
        entry = await self.start(booking=[endpoint])
        entry.forwarder.scheduler.acquire = wait_forever
        for path in ("/plain/1", "/read/1", "/stream/1"):
            with self.subTest(path):
                entry.forwarder.stop_limits = StopLimits()
                asked = asyncio.ensure_future(self.ask(entry, path))
                await self.until(lambda: entry.forwarder.stop_limits.sends)
                self.stop_now(entry)
                self.assertEqual(await asked, (503, codes.STOPPING.number))
        self.assertEqual(endpoint.requests, [])

    async def test_call_whose_ticket_is_queued(self):
        """Guards against a ticket of a refused call that is granted later and holds a slot."""
        entry = await self.start()
        asked = asyncio.ensure_future(self.ask(entry))
        scheduler = entry.forwarder.scheduler
        await self.until(lambda: scheduler.waiting)
        self.stop_now(entry)
        self.assertEqual(await asked, (503, codes.STOPPING.number))
        self.assertEqual((scheduler.waiting, scheduler.running), ({}, {}))

    async def test_call_that_waits_before_it_is_scheduled(self):
        """Guards against a stop that cuts off calls in the steps before the scheduler."""
        entry = await self.start(booking=[Endpoint("e", whole())])
        for step in ("wait_for_catalog", "spend_units"):
            with self.subTest(step):
                forwarder = entry.forwarder
                forwarder.stop_limits = StopLimits()
                index = forwarder.index
                forwarder.index = None if step == "wait_for_catalog" else index
                setattr(forwarder, step, wait_forever)
                asked = asyncio.ensure_future(self.ask(entry))
                await self.until(lambda: entry.forwarder.stop_limits.sends)
                self.stop_now(entry)
                self.assertEqual(await asked, (503, codes.STOPPING.number))
                forwarder.index = index

    async def test_call_that_the_quarantine_holds_back(self):
        """Guards against a stop that cuts off a call that is held back as suspected."""
        entry = await self.start(booking=[Endpoint("e", whole())])
        entry.forwarder.gate.check = wait_forever
        asked = asyncio.ensure_future(self.ask(entry))
        await self.until(lambda: entry.forwarder.stop_limits.sends)
        self.stop_now(entry)
        self.assertEqual(await asked, (503, codes.STOPPING.number))

    async def test_call_whose_body_has_not_arrived(self):
        """Guards against a stop without an answer to a call whose body is still on its way."""
        entry = await self.start(booking=[Endpoint("e", whole())])
        reader, writer = await asyncio.open_connection(HOST, entry.port)
        writer.write(b"POST /plain/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 5\r\n\r\nab")
        await self.until(lambda: entry.forwarder.stop_limits.sends)
        self.stop_now(entry)
        async with asyncio.timeout(STEP_TIMEOUT_S):
            self.assertIn(b" 503 ", await reader.readline())
        writer.close()

    async def test_call_that_arrives_late_in_a_stop(self):
        """Guards against a call that waits for an endpoint although the stop leaves no time."""
        entry = await self.start()
        self.stop_now(entry)
        self.assertEqual(await self.ask(entry), (503, codes.STOPPING.number))

    async def test_call_that_waits_after_a_lost_answer(self):
        """Guards against refusing a call as not run at a stop although an endpoint has run it."""

        async def reset(endpoint, _reader, writer, _head):
            endpoint.server.close()
            writer.transport.abort()

        entry = await self.start(booking=[Endpoint("e", reset)])
        acquire = entry.forwarder.scheduler.acquire
        grants = []

        async def acquire_once(*arguments):
            if grants:
                await wait_forever()
            grants.append(await acquire(*arguments))
            return grants[-1]

        entry.forwarder.scheduler.acquire = acquire_once
        asked = asyncio.ensure_future(self.ask(entry, "/read/1", "GET"))
        await self.until(lambda: entry.crashes and entry.forwarder.stop_limits.sends)
        self.stop_now(entry)
        self.assertEqual(await asked, (502, codes.ENDPOINT_FAILED.number))

    async def test_call_without_an_answer_at_the_end(self):
        """Guards against closing the connection of a running call in place of an answer."""
        endpoint = Endpoint("e", stay_silent)
        entry = await self.start(booking=[endpoint])
        asked = asyncio.ensure_future(self.ask(entry))
        await asyncio.wait_for(endpoint.asked.wait(), STEP_TIMEOUT_S)
        self.stop_now(entry, answer_in_s=0.1)
        self.assertEqual(await asked, (504, codes.TIMED_OUT.number))

    async def test_running_calls_go_on(self):
        """Guards against a stop that ends calls that endpoints are answering."""
        release = asyncio.Event()

        async def answer_later(endpoint, reader, writer, head):
            await release.wait()
            await whole()(endpoint, reader, writer, head)

        endpoint = Endpoint("e", answer_later)
        entry = await self.start(booking=[endpoint])
        asked = asyncio.ensure_future(self.ask(entry))
        await asyncio.wait_for(endpoint.asked.wait(), STEP_TIMEOUT_S)
        self.stop_now(entry)
        await asyncio.sleep(0.05)
        release.set()
        self.assertEqual(await asked, (200, b"done"))

    async def test_kept_connection_of_a_stream_that_began_before(self):
        """Guards against closing a kept connection on which the caller sends its next request.

        The head of the stream had said that the connection is kept.
        """
        release = asyncio.Event()

        async def end_later(endpoint, reader, writer, head):
            await stream(2, end=None)(endpoint, reader, writer, head)
            await release.wait()
            writer.write(b"0\r\n\r\n")
            await writer.drain()

        entry = await self.start(care=[Endpoint("s", end_later)], booking=[Endpoint("e", whole())])
        reader, writer = await asyncio.open_connection(HOST, entry.port)
        head = "POST /{}/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n\r\n"
        async with asyncio.timeout(STEP_TIMEOUT_S):
            writer.write(head.format("stream").encode())
            self.assertNotIn(b"Connection: close", await reader.readuntil(b"\r\n\r\n"))
            now = entry.timers.now()
            entry.forwarder.begin_stop(now + STEP_TIMEOUT_S, now + STEP_TIMEOUT_S)
            release.set()
            await reader.readuntil(b"\r\n0\r\n\r\n")
            writer.write(head.format("plain").encode())
            answer = await reader.readuntil(b"\r\n\r\n")
        self.assertIn(b" 200 ", answer)
        self.assertIn(b"Connection: close", answer)
        writer.close()

    async def test_stream_at_the_end_does_not_look_complete(self):
        """Guards against a stream that a stop ends like a complete one."""
        entry = await self.start(care=[Endpoint("e", stream(2, end=None))])
        async with entry.request("/stream/1") as answer:
            self.assertEqual(answer.status, 200)
            self.stop_now(entry, answer_in_s=0.1)
            with self.assertRaises(aiohttp.ClientError):
                await answer.read()


class TestStopLimits(unittest.IsolatedAsyncioTestCase):
    """Limits without a network."""

    async def test_earlier_deadline_stays(self):
        """Guards against a stop that lengthens the time of a call."""
        limits = StopLimits()
        now = asyncio.get_running_loop().time()
        async with limits.until_answer(now + 5.0) as limit:
            limits.begin(now + 10.0, now + 20.0)
            self.assertEqual(limit.when(), now + 5.0)
        self.assertEqual(limits.answers, set())

    async def test_wait_without_a_stop_has_no_end(self):
        """Guards against a limit on waits before any stop."""
        limits = StopLimits()
        async with limits.before_send() as limit:
            self.assertIsNone(limit.when())
            limits.begin(1e12, 1e12)
            self.assertEqual(limit.when(), 1e12)


class TestRefusal(unittest.TestCase):
    """The refusal of a call that was not sent."""

    def test_status_says_not_run(self):
        """Guards against a status that lets a caller think that the call may have run."""
        self.assertEqual(Refused(codes.STOPPING).code.http_status, 503)


if __name__ == "__main__":
    unittest.main()
