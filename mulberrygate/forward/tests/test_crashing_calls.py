"""Tests of calls that crash the endpoints that run them, by the way in which their sends end."""

from __future__ import annotations

import asyncio
import unittest

import aiohttp

from mulberrygate.control.blame import CRASHES_TO_SUSPECT
from mulberrygate.endpoints.roster import Registration
from mulberrygate.forward.tests.support import (
    HOST,
    SIGNATURE,
    Endpoint,
    Entry,
    crash,
    document,
    identifier,
    stream,
)

STEP_TIMEOUT_S = 10.0


async def stop_silently(endpoint, reader, _writer, _head):
    """End the endpoint while the connection stays open and silent."""
    endpoint.server.close()
    await reader.read()


async def stay_silent(_endpoint, reader, _writer, _head):
    """Go on running without an answer until the connection is closed."""
    await reader.read()


def crash_within_stream(events):
    """Return an answer function that sends events of a stream, then ends its endpoint."""

    async def answer(endpoint, reader, writer, head):
        await stream(events, end=False)(endpoint, reader, writer, head)
        endpoint.server.close()
        writer.transport.abort()

    return answer


class RestartingEndpoint(Endpoint):
    """Endpoint that ends with each call and is back at the same address, under the same name."""

    async def start(self):
        """Listen on a port that the system chooses, or on that of the earlier start."""
        port = int(self.address.rpartition(":")[2]) if hasattr(self, "address") else 0
        self.server = await asyncio.start_server(self.serve, HOST, port)
        self.address = f"{HOST}:{self.server.sockets[0].getsockname()[1]}"
        return self


class CrashTestCase(unittest.IsolatedAsyncioTestCase):
    """One entry with scripted endpoints."""

    async def start(self, fields=None, **endpoints):
        """Start an entry with the given endpoints."""
        entry = await Entry(fields).start(**endpoints)
        self.addAsyncCleanup(entry.close)
        return entry

    async def until(self, condition):
        """Wait until a condition holds."""
        async with asyncio.timeout(STEP_TIMEOUT_S):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    async def leave(self, entry, path, endpoint):
        """Send a request and disconnect once the endpoint has it."""
        asked = asyncio.ensure_future(entry.request(path).__aenter__())
        await asyncio.wait_for(endpoint.asked.wait(), STEP_TIMEOUT_S)
        asked.cancel()


class TestCrashingCalls(CrashTestCase):
    """Endpoints that end while they run a call."""

    async def test_silent_connection_until_the_deadline(self):
        """Guards against missing a crash when the open connection goes silent."""
        entry = await self.start(document(timeoutMs=300), booking=[Endpoint("e", stop_silently)])
        async with entry.request("/plain/1") as answer:
            self.assertEqual(answer.status, 504)
        await self.until(lambda: entry.crashes)
        self.assertEqual(entry.crashes[0].endpoint, "e")

    async def test_silent_connection_long_before_the_deadline(self):
        """Guards against counting a crash so late that the call has reached many endpoints."""
        endpoint = Endpoint("e", stop_silently)
        entry = await self.start(document(timeoutMs=60_000), booking=[endpoint])
        asked = asyncio.ensure_future(entry.request("/plain/1").__aenter__())
        await self.until(lambda: entry.crashes)
        self.assertFalse(asked.done())
        asked.cancel()
        await self.until(lambda: not entry.forwarder.crash_detector.monitor.sends)
        self.assertEqual(len(entry.crashes), 1)

    async def test_plain_call_whose_caller_has_left(self):
        """Guards against missing a crash when the caller leaves before it is seen."""
        endpoint = Endpoint("e", stop_silently)
        entry = await self.start(booking=[endpoint])
        await self.leave(entry, "/plain/1", endpoint)
        await self.until(lambda: entry.crashes)

    async def test_stream_whose_caller_has_left(self):
        """Guards against missing a crash when the caller of a stream leaves before it is seen."""
        endpoint = Endpoint("e", stop_silently)
        entry = await self.start(care=[endpoint])
        await self.leave(entry, "/stream/1", endpoint)
        await self.until(lambda: entry.crashes)

    async def test_endpoint_that_is_back_before_its_registration(self):
        """Guards against counting crashes of one endpoint once while its restart is unknown."""
        endpoint = RestartingEndpoint("e", crash())
        entry = await self.start(booking=[endpoint])
        for number in range(1, CRASHES_TO_SUSPECT + 1):
            async with entry.request("/plain/1", identifier=f"id-{number}") as answer:
                self.assertEqual(answer.status, 502)
            await self.until(lambda count=number: len(entry.crashes) == count)
            await endpoint.start()
        async with entry.request("/plain/1", identifier="id-4") as answer:
            self.assertEqual((answer.status, (await answer.json())["code"]), (503, 1210))
        self.assertEqual(len(endpoint.requests), CRASHES_TO_SUSPECT)

    async def test_crash_under_a_call_that_may_be_repeated(self):
        """Guards against missing the crashes of an idempotent GET, which then go on.

        The HTTP client repeated a GET at the endpoint that had just ended. The refused connection
        of the repetition hid the crash, and the call was sent to one endpoint after the other.
        """
        endpoints = [Endpoint(f"e{number}", crash()) for number in range(4)]
        entry = await self.start(booking=endpoints)
        async with entry.request("/read/1", "GET") as answer:
            self.assertEqual(answer.status, 502)
        await self.until(lambda: len(entry.crashes) == CRASHES_TO_SUSPECT)
        # The route allows two attempts.
        self.assertEqual(sum(len(endpoint.requests) for endpoint in endpoints), 2)
        async with entry.request("/read/1", "GET", identifier="id-2") as answer:
            self.assertEqual((answer.status, (await answer.json())["code"]), (503, 1210))
        self.assertEqual(sum(len(endpoint.requests) for endpoint in endpoints), 2)

    async def test_stream_that_had_begun_is_not_blamed(self):
        """Guards against refusing a call that ran beside calls that crash endpoints."""
        endpoint = RestartingEndpoint("e", crash_within_stream(3))
        entry = await self.start(care=[endpoint])
        for number in range(1, 5):
            async with entry.request("/stream/1", identifier=f"id-{number}") as answer:
                self.assertEqual(answer.status, 200)
                with self.assertRaises(aiohttp.ClientError):
                    await answer.read()
            await self.until(
                lambda count=number: len(entry.lines.of("endpoint.looked_for")) == count
            )
            await endpoint.start()
        self.assertEqual(entry.crashes, [])

    async def test_crashes_in_the_log_and_at_the_entry_add_up(self):
        """Guards against sending a call whose third crash waits for its commit."""
        endpoints = [Endpoint("e1", crash()), Endpoint("e2", crash())]
        entry = await self.start(booking=endpoints)
        suspects = entry.forwarder.suspects
        async with entry.request("/plain/1") as answer:
            self.assertEqual(answer.status, 502)
        await self.until(lambda: entry.crashes)
        suspects.update_quarantine(1, (), (entry.crashes[0].call,))
        async with entry.request("/plain/1", identifier="id-2") as answer:
            self.assertEqual(answer.status, 503)
        self.assertEqual(sum(len(endpoint.requests) for endpoint in endpoints), 1)


def crash_at_first_event():
    """Return an answer function that sends the head of a stream without a length, and ends."""

    async def answer(endpoint, _reader, writer, head):
        lines = [b"HTTP/1.1 200 OK", identifier(head), SIGNATURE.encode() + b": s"]
        lines.append(b"Content-Type: text/event-stream")
        writer.write(b"\r\n".join(lines) + b"\r\n\r\nid: 1")
        await writer.drain()
        await asyncio.sleep(0.05)
        endpoint.server.close()
        writer.transport.abort()

    return answer


class TestCrashingParts(CrashTestCase):
    """Calls that share a part of their prompts with one that crashed an endpoint."""

    PARTS = "X-Mulberrygate-Prefix-Hash"

    def with_parts(self, *parts):
        """Return the headers of a call whose prompt has these shared parts and one of its own."""
        return {self.PARTS: ",".join(f"{part}:60" for part in (*parts, "0a"))}

    async def crash_one(self, *others):
        """Start an entry, let its endpoint end under a call with a part, and add other ones."""
        first = Endpoint("e1", crash_at_first_event())
        entry = await self.start(document(resumable=True), care=[first])
        headers = self.with_parts("aa", "bad")
        async with entry.request("/stream/1", identifier="id-1", **headers) as answer:
            self.assertEqual(answer.status, 502)
        await self.until(lambda: entry.crashes)
        for endpoint in others:
            await endpoint.start()
            self.addAsyncCleanup(endpoint.close)
            entry.roster.record_report(endpoint.registration("care"), entry.timers.now())
        entry.placement.refresh()
        return entry

    async def test_end_without_a_length_is_evidence(self):
        """Guards against missing a crash because the answer had neither length nor chunks."""
        entry = await self.crash_one()
        (crash,) = entry.crashes
        self.assertEqual((crash.parts, crash.has_head), (("part-aa", "part-bad"), True))

    async def test_call_that_crashed_an_endpoint_is_not_sent_to_another(self):
        """Guards against a retry that costs the next endpoint."""
        other = Endpoint("e2", stream(2))
        entry = await self.crash_one(other)
        headers = self.with_parts("aa", "bad")
        async with entry.request("/stream/1", identifier="id-2", **headers) as answer:
            self.assertEqual((answer.status, (await answer.json())["code"]), (503, 1210))
        self.assertEqual(other.requests, [])

    async def test_call_with_a_suspected_part_waits_for_its_clearance(self):
        """Guards against refusing a sound call at once because it shares a suspected part."""
        entry = await self.crash_one(Endpoint("e2", stream(2)))
        headers = self.with_parts("aa")
        asked = asyncio.ensure_future(
            entry.request("/stream/2", identifier="id-2", **headers).__aenter__()
        )
        await asyncio.sleep(0.2)
        self.assertFalse(asked.done())
        suspects = entry.forwarder.suspects
        suspects.record_reported(suspects.next_report(), 1)
        suspects.update_quarantine(1, (), ("part-bad",))
        answer = await asyncio.wait_for(asked, STEP_TIMEOUT_S)
        self.assertEqual(answer.status, 200)

    async def test_send_of_a_quarantined_call_is_cancelled(self):
        """Guards against an endpoint that begins a call which was quarantined in the meantime."""
        endpoint = Endpoint("e1", stay_silent)
        entry = await self.start(care=[endpoint])
        headers = self.with_parts("bad")
        asked = asyncio.ensure_future(
            entry.request("/stream/1", identifier="id-1", **headers).__aenter__()
        )
        await asyncio.wait_for(endpoint.asked.wait(), STEP_TIMEOUT_S)
        entry.forwarder.suspects.update_quarantine(1, ("part-bad",), ())
        entry.forwarder.gate.cancel_quarantined()
        await asyncio.sleep(0)
        # Another change of the list may come before the cancelled send has ended.
        entry.forwarder.gate.cancel_quarantined()
        answer = await asyncio.wait_for(asked, STEP_TIMEOUT_S)
        self.assertEqual((answer.status, (await answer.json())["code"]), (502, 6203))
        self.assertEqual(entry.crashes, [])


class TestOtherEnds(CrashTestCase):
    """Ends of calls at endpoints that go on running."""

    async def check_not_counted(self, entry):
        """Check that the endpoint is found running."""
        await self.until(lambda: entry.lines.of("endpoint.looked_for"))
        self.assertEqual(entry.lines.of("endpoint.looked_for")[0]["ended"], "")
        self.assertEqual(entry.crashes, [])

    async def test_deadline_at_a_slow_endpoint(self):
        """Guards against taking a slow endpoint for one that has ended."""
        entry = await self.start(document(timeoutMs=300), booking=[Endpoint("e", stay_silent)])
        async with entry.request("/plain/1") as answer:
            self.assertEqual(answer.status, 504)
        await self.check_not_counted(entry)

    async def test_caller_that_leaves_a_slow_endpoint(self):
        """Guards against taking an endpoint that its caller left for one that has ended."""
        endpoint = Endpoint("e", stay_silent)
        entry = await self.start(booking=[endpoint])
        await self.leave(entry, "/plain/1", endpoint)
        await self.check_not_counted(entry)

    async def test_slow_endpoint_before_the_deadline(self):
        """Guards against taking an endpoint that is silent for a while for one that has ended."""
        endpoint = Endpoint("e", stay_silent)
        entry = await self.start(document(timeoutMs=60_000), booking=[endpoint])
        asked = asyncio.ensure_future(entry.request("/plain/1").__aenter__())
        await self.until(lambda: entry.forwarder.crash_detector.probes.latest)
        probe = entry.forwarder.crash_detector.probes.latest[endpoint.address]
        await probe.task
        self.assertEqual((entry.crashes, asked.done()), ([], False))
        asked.cancel()

    async def test_late_registration_of_a_known_restart(self):
        """Guards against counting a broken call of a live endpoint once its restart is known."""
        endpoint = RestartingEndpoint("e", crash())
        entry = await self.start(booking=[endpoint])
        async with entry.request("/plain/1") as answer:
            self.assertEqual(answer.status, 502)
        await self.until(lambda: entry.crashes)
        endpoint.answer = self.abort
        await endpoint.start()
        async with entry.request("/plain/2", identifier="id-2") as answer:
            self.assertEqual(answer.status, 502)
        entry.roster.record_report(
            Registration("e", 2, 1, "booking", endpoint.address, "a", "v1", 4), entry.timers.now()
        )
        await self.until(lambda: len(entry.lines.of("endpoint.looked_for")) == 2)
        self.assertEqual(len(entry.crashes), 1)

    @staticmethod
    async def abort(_endpoint, _reader, writer, _head):
        """Close the connection without an answer and go on listening."""
        writer.transport.abort()


if __name__ == "__main__":
    unittest.main()
