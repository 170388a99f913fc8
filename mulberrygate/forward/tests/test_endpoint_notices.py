"""Tests of what endpoints say of themselves in their answers, and the requests that follow."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import unittest

import attrs

from mulberrygate.endpoints.roster import Roster
from mulberrygate.forward import codes
from mulberrygate.forward.notices import DEFAULT_PAUSE_S, MAX_PAUSE_JITTER_S, EndpointNotices
from mulberrygate.forward.request import AnswerHead
from mulberrygate.forward.tests.support import REQUEST_ID, Endpoint, Entry, document, stream, whole

STEP_TIMEOUT_S = 20.0
LEAVING = b"Server-Leaving: 1"
NOT_EXECUTED = b"X-Mulberrygate-Not-Executed: 1"
CALLS = 12


def to_another(answer):
    """Return an answer function that answers as if another request had been sent."""

    async def change_identifier(endpoint, reader, writer, _head):
        await answer(endpoint, reader, writer, f"{REQUEST_ID}: another".encode())

    return change_identifier


class HeaderWriter:
    """Writer that adds header lines to the head of an answer, which is written first."""

    def __init__(self, writer, lines):
        self.writer = writer
        self.lines = lines
        self.has_head = False

    def write(self, data):
        """Write bytes, with the header lines after the first line of the head."""
        if not self.has_head:
            status_line, rest = data.split(b"\r\n", 1)
            data = b"\r\n".join([status_line, *self.lines, rest])
            self.has_head = True
        self.writer.write(data)

    def __getattr__(self, name):
        return getattr(self.writer, name)


def with_lines(answer, *lines):
    """Return an answer function that adds header lines to the answer of another one."""

    async def add_lines(endpoint, reader, writer, head):
        await answer(endpoint, reader, HeaderWriter(writer, lines), head)

    return add_lines


def slowly(answer, seconds=0.15):
    """Return an answer function that answers after a time."""

    async def wait(*arguments):
        await asyncio.sleep(seconds)
        await answer(*arguments)

    return wait


class NoticeTestCase(unittest.IsolatedAsyncioTestCase):
    """One entry that reaches no control process, and its endpoints."""

    async def start(self, fields=None, **endpoints):
        """Start an entry with endpoints by pool."""
        self.numbers = itertools.count()
        self.entry = await Entry(fields).start(**endpoints)
        self.addAsyncCleanup(self.entry.close)
        return self.entry

    async def add(self, endpoint, pool):
        """Start a further endpoint."""
        await endpoint.start()
        self.entry.endpoints.append(endpoint)
        self.register(endpoint.registration(pool))

    def register(self, registration):
        """Take over a report of an endpoint, as a control process would pass it on."""
        self.entry.roster.record_report(registration, self.entry.timers.now())
        self.entry.placement.refresh()

    async def call(self, path="/read/1", identifier=""):
        """Send a call and return the status, the code of a refusal and its Retry-After."""
        identifier = identifier or f"call-{next(self.numbers)}"
        async with asyncio.timeout(STEP_TIMEOUT_S):
            async with self.entry.request(path, identifier=identifier) as answer:
                await answer.read()
                code = (await answer.json())["code"] if "json" in answer.content_type else 0
                return answer.status, code, answer.headers.get("Retry-After")

    async def call_often(self, path="/read/1", calls=CALLS):
        """Send calls one after the other and return their statuses."""
        return [(await self.call(path))[0] for _ in range(calls)]


class TestSharedMachines(NoticeTestCase):
    """Answers that state how long work takes on the endpoint's machine."""

    async def test_slowdown_reaches_the_scheduler(self):
        """Neither the load nor the slowdown of an endpoint on a shared machine was known."""
        line = b"X-Mulberrygate-Server-Load: 3,1,4,300"
        answers = {"booking": whole(200, b"done", line), "care": with_lines(stream(3), line)}
        endpoints = {pool: [Endpoint(pool, answer)] for pool, answer in answers.items()}
        await self.start(**endpoints)
        for pool, path in (("booking", "/read/1"), ("care", "/stream/1")):
            with self.subTest(pool=pool):
                self.assertEqual((await self.call(path))[0], 200)
                placement = self.entry.placement
                slowdown = placement.host.hosted[pool].scheduler.states[pool].slowdown
                self.assertEqual(slowdown.figures[-1], 3.0)
                self.assertEqual(placement.directory.loads[pool].load, 4)


class TestLeavingEndpoints(NoticeTestCase):
    """Answers with the header by which an endpoint says that it leaves."""

    async def assert_left_alone(self, answer, path):
        """Check that an endpoint that answers so gets no second call, and the other one all."""
        leaving, staying = Endpoint("e1", answer), Endpoint("e2", whole())
        if "/stream/" in path:
            staying.answer = stream(3)
        pool = "care" if "/stream/" in path else "booking"
        await self.start(**{pool: [leaving]})
        await self.call(path)
        self.assertEqual(len(leaving.requests), 1)
        await self.add(staying, pool)
        self.assertEqual(await self.call_often(path), [200] * CALLS)
        self.assertEqual((len(leaving.requests), len(staying.requests)), (1, CALLS))

    async def test_endpoint_that_says_that_it_leaves(self):
        """Guards against calls to an endpoint that says only in its answers that it leaves.

        An entry learned it from control processes alone, so not while it reached none.
        """
        answers = {
            "/read/1": whole(200, b"done", LEAVING),
            "/plain/1": whole(200, b"done", LEAVING),
            "/read/error": whole(404, b"none", LEAVING),
            "/plain/refused": whole(503, b"", NOT_EXECUTED, LEAVING),
            "/stream/1": with_lines(stream(3), LEAVING),
        }
        for path, answer in answers.items():
            with self.subTest(path):
                await self.assert_left_alone(answer, path)

    async def test_resumed_stream_goes_elsewhere(self):
        """Guards against a stream that is resumed at the endpoint that has said that it leaves."""
        leaving = Endpoint("e1", with_lines(stream(3, end=False, reset=True), LEAVING))
        staying = Endpoint("e2", stream(3, first=4))
        await self.start(document(resumable=True), care=[leaving])
        asked = asyncio.ensure_future(self.call("/stream/1"))
        await leaving.asked.wait()
        await self.add(staying, "care")
        self.assertEqual((await asked)[0], 200)
        self.assertEqual((len(leaving.requests), len(staying.requests)), (1, 1))

    async def test_call_that_was_granted_before(self):
        """Guards against a grant that is used although its endpoint has said that it leaves."""
        leaving, staying = Endpoint("e1", whole(200, b"done", LEAVING)), Endpoint("e2", whole())
        entry = await self.start(booking=[leaving])
        may_send, gate = entry.forwarder.gate.may_send, asyncio.Event()

        async def wait_at_gate(call, *arguments):
            if call.head.request == "held":
                await gate.wait()
            return await may_send(call, *arguments)

        entry.forwarder.gate.may_send = wait_at_gate
        held = asyncio.ensure_future(self.call(identifier="held"))
        while not entry.forwarder.scheduler.running:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        await self.call()
        await self.add(staying, "booking")
        gate.set()
        self.assertEqual((await held)[0], 200)
        self.assertEqual((len(leaving.requests), len(staying.requests)), (1, 1))
        self.assertEqual(entry.forwarder.scheduler.running, {})

    async def test_later_incarnation_is_used(self):
        """Guards against an endpoint that is left alone for what the one before it has said."""
        endpoint = Endpoint("e1", whole(200, b"done", LEAVING))
        await self.start(booking=[endpoint])
        await self.call()
        restarted = attrs.evolve(endpoint.registration("booking"), incarnation=2)
        self.register(restarted)
        endpoint.answer = whole()
        self.assertEqual(await self.call_often(), [200] * CALLS)
        self.assertEqual(len(endpoint.requests), 1 + CALLS)

    async def test_late_answer_of_an_earlier_incarnation(self):
        """Guards against a new endpoint that is left alone for a late answer of the one before."""
        release = asyncio.Event()
        answer = whole(200, b"done", LEAVING)

        async def answer_late(*arguments):
            await release.wait()
            await answer(*arguments)

        endpoint = Endpoint("e1", answer_late)
        await self.start(booking=[endpoint])
        late = asyncio.ensure_future(self.call())
        await endpoint.asked.wait()
        endpoint.answer = whole()
        restarted = attrs.evolve(endpoint.registration("booking"), incarnation=2)
        self.register(restarted)
        release.set()
        await late
        self.assertEqual(await self.call_often(), [200] * CALLS)
        self.assertEqual(len(endpoint.requests), 1 + CALLS)

    async def test_answer_that_is_not_the_endpoints_own(self):
        """Guards against a sound endpoint that is left alone for the answer of another process."""
        for answer in (
            whole(421, b"", LEAVING),
            to_another(whole(200, b"done", LEAVING)),
            whole(200, b"done", b"Server-Leaving: 0"),
            whole(200, b"done", b"Server-Leaving: \xff"),
        ):
            endpoint = Endpoint("e1", answer)
            await self.start(booking=[endpoint])
            await self.call()
            endpoint.answer = whole()
            endpoint.requests.clear()
            self.assertEqual(await self.call_often(), [200] * CALLS)

    async def test_log_has_one_line_for_each_endpoint(self):
        """Guards against a log line for each answer of an endpoint that leaves."""
        endpoint = Endpoint("e1", whole(200, b"done", LEAVING))
        entry = await self.start(booking=[endpoint])
        await asyncio.gather(*(self.call() for _ in range(3)))
        found = entry.lines.of("endpoint.notice")
        self.assertEqual([(line["endpoint"], line["is_leaving"]) for line in found], [("e1", True)])
        self.assertIn("endpoints_leaving 1", entry.forwarder.metrics.text())


def busy(retry_after, *lines):
    """Return an answer function that turns a call away for a time."""
    return whole(503, b"", NOT_EXECUTED, b"Retry-After: " + retry_after, *lines)


class TestPausedEndpoints(NoticeTestCase):
    """Answers 503 of endpoints that want no other call of this entry for a time."""

    async def start_busy(self, retry_after, path="/read/1"):
        """Start an endpoint that turns calls away, and one that serves them."""
        pool = "care" if "/stream/" in path else "booking"
        self.busy = Endpoint("e1", busy(retry_after))
        await self.start(document(resumable=True), **{pool: [self.busy]})
        await self.call(path)
        self.sound = Endpoint("e2", stream(3) if pool == "care" else whole())
        await self.add(self.sound, pool)

    async def test_endpoint_that_asks_for_a_pause(self):
        """Guards against calls to an endpoint during the pause that it has asked this entry for."""
        for path in ("/read/1", "/plain/1", "/stream/1"):
            with self.subTest(path):
                await self.start_busy(b"60", path)
                self.assertEqual(await self.call_often(path), [200] * CALLS)
                self.assertEqual((len(self.busy.requests), len(self.sound.requests)), (1, CALLS))

    async def test_pause_ends(self):
        """Guards against an endpoint that is left alone for longer than it has asked for."""
        await self.start_busy(b"0.3")
        self.sound.answer = busy(b"60")
        self.busy.answer = whole()
        async with asyncio.timeout(STEP_TIMEOUT_S):
            while (await self.call())[0] != 200:  # noqa: ASYNC110
                await asyncio.sleep(0.02)
        self.assertEqual(len(self.busy.requests), 2)

    async def test_all_endpoints_are_paused(self):
        """Guards against calls that wait for endpoints that want none, and an untrue Retry-After.

        The caller is told when the first of them takes calls again.
        """
        await self.start_busy(b"60")
        self.sound.answer = busy(b"20.5")
        await self.call()
        status, code, retry_after = await self.call()
        self.assertEqual((status, code), (503, codes.ENDPOINTS_PAUSED.number))
        self.assertTrue(19.0 < float(retry_after) <= 20.5 + MAX_PAUSE_JITTER_S, retry_after)
        self.assertEqual((len(self.busy.requests), len(self.sound.requests)), (1, 1))

    async def test_pause_is_no_fault(self):
        """Guards against an endpoint that is blocked as faulty because it asked for pauses."""
        endpoint = Endpoint("e1", busy(b"0.02"))
        await self.start(booking=[endpoint])
        for _ in range(5):
            await self.call()
            await asyncio.sleep(0.05)
        state = self.entry.placement.host.hosted["booking"].scheduler.states["e1"]
        self.assertEqual(len(endpoint.requests), 5)
        self.assertEqual((state.consecutive_faults, state.failures.share), (0, 0.0))

    async def test_numbers_that_are_no_pause(self):
        """Guards against an endpoint lost for good by a number that can't be right."""
        for text in (b"-1", b"soon", b"", b"1e9", b"99999999999", b"9" * 5000, b"nan", b"\xff"):
            with self.subTest(text[:20]):
                await self.start_busy(text)
                left_s = self.entry.forwarder.notices.pause_left_s("e1", 1, self.entry.timers.now())
                self.assertTrue(0.0 < left_s <= DEFAULT_PAUSE_S + MAX_PAUSE_JITTER_S, left_s)
                found = self.entry.lines.of("endpoint.notice")
                self.assertEqual(len(found), 1)
                json.dumps(found, allow_nan=False)

    async def test_only_a_503_asks_for_a_pause(self):
        """Guards against an endpoint that is left alone for the Retry-After of another answer."""
        for status in (200, 404, 429):
            with self.subTest(status):
                endpoint = Endpoint("e1", whole(status, b"done", b"Retry-After: 60"))
                await self.start(booking=[endpoint])
                await self.call()
                endpoint.answer = whole()
                self.assertEqual(await self.call_often(), [200] * CALLS)

    async def test_entries_return_at_different_times(self):
        """Guards against all entries that come back at the moment at which a pause ends."""
        head = AnswerHead(503, is_turned_down=True, is_genuine=True, pause_s=4.0)
        ends = set()
        for seed in range(20):
            notices = EndpointNotices(Roster(), random.Random(seed))
            notices.record("e1", 1, "care", head, 0.0)
            ends.add(notices.pause_left_s("e1", 1, 0.0))
        self.assertGreaterEqual(min(ends), 4.0)
        self.assertGreater(max(ends) - min(ends), 0.2)


def names_limit(rate, answer=None):
    """Return an answer function whose answers name a limit of requests a second."""
    return with_lines(answer or whole(), b"Server-Limit: " + rate)


class TestLimitedEndpoints(NoticeTestCase):
    """Answers that name the requests a second that an endpoint takes from all entries."""

    async def send_load(self, path, seconds=4.0, gap_s=0.05):
        """Send calls at a steady rate for a time and return their statuses."""
        calls = []
        end = self.entry.timers.now() + seconds
        while self.entry.timers.now() < end:
            calls.append(asyncio.ensure_future(self.call(path)))
            await asyncio.sleep(gap_s)
        return [status for status, _, _ in await asyncio.gather(*calls)]

    async def test_endpoint_that_names_a_limit(self):
        """Guards against an endpoint in need that gets as many requests as the others."""
        for pool, path in (("booking", "/read/1"), ("booking", "/plain/1"), ("care", "/stream/1")):
            with self.subTest(path):
                sound = slowly(stream(3) if pool == "care" else whole())
                limited, other = Endpoint("e1", names_limit(b"2.5", sound)), Endpoint("e2", sound)
                await self.start(**{pool: [limited, other]})
                async with asyncio.timeout(STEP_TIMEOUT_S):
                    while not limited.requests:  # noqa: ASYNC110
                        await asyncio.gather(*(self.call(path) for _ in range(8)))
                before = len(limited.requests)
                statuses = await self.send_load(path)
                # The users' bound for 4 s.
                self.assertLessEqual(len(limited.requests) - before, 1.5 * 2.5 * 4.0 + 5)
                self.assertGreater(len(other.requests), len(limited.requests))
                self.assertIn(200, statuses)

    async def test_limit_that_has_ended(self):
        """Guards against an endpoint that is spared after its answers name no limit any more."""
        endpoint = Endpoint("e1", names_limit(b"1"))
        entry = await self.start(booking=[endpoint])
        await self.call()
        endpoint.answer = whole()
        await self.call()
        self.assertEqual(await self.call_often(), [200] * CALLS)
        found = [line["rate"] for line in entry.lines.of("endpoint.notice")]
        self.assertEqual(found, [1.0, "none"])
        self.assertIn("endpoints_rate_limited 0", entry.forwarder.metrics.text())

    async def test_limit_that_cannot_be_read(self):
        """Guards against a limit that begins or ends with an answer whose number can't be read."""
        endpoint = Endpoint("e1", names_limit(b"1"))
        entry = await self.start(booking=[endpoint])
        for text in (b"many", b"-1", b"nan", b"", b"\xff", b"9" * 400):
            endpoint.answer = names_limit(text)
            await self.call()
            self.assertEqual(entry.forwarder.notices.count_rate_limited(), 0)
        endpoint.answer = names_limit(b"50")
        await self.call()
        endpoint.answer = names_limit(b"many")
        await self.call()
        self.assertEqual(entry.forwarder.notices.count_rate_limited(), 1)

    async def test_answers_of_other_processes(self):
        """Guards against a limit that another process than the endpoint has named, or ended."""
        for answer in (whole(421, b""), to_another(whole())):
            endpoint = Endpoint("e1", names_limit(b"1", answer))
            entry = await self.start(booking=[endpoint])
            await self.call()
            self.assertEqual(entry.forwarder.notices.count_rate_limited(), 0)
            endpoint.answer = names_limit(b"50")
            await self.call()
            endpoint.answer = answer
            await self.call()
            self.assertEqual(entry.forwarder.notices.count_rate_limited(), 1)


if __name__ == "__main__":
    unittest.main()
