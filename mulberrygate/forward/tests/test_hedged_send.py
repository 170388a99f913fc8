"""Tests of second copies on the forwarding path, with scripted endpoints on loopback."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

import aiohttp
import attrs

from mulberrygate.core.memory_budget import Holder
from mulberrygate.core.paced_response import LongResponse
from mulberrygate.core.promises import NOT_RUN_STATUSES
from mulberrygate.forward.hedging import Hedging
from mulberrygate.forward.suspects import Finding, Standing
from mulberrygate.forward.tests.support import (
    SIGNATURE,
    Endpoint,
    Entry,
    crash,
    document,
    identifier,
    stream,
    whole,
)
from mulberrygate.forward.tests.test_service import reset, wait_for_disconnect
from mulberrygate.forward.unanswered import RunningSend
from mulberrygate.settings.product import HedgeSettings

DELAY_S = 0.05
DONE = "X-Mulberrygate-Not-Executed: 1"


class Script:
    """Answers of one endpoint: usual ones until `next` is set, which answers the calls after it."""

    def __init__(self, name):
        self.name = name
        self.next = None
        self.calls = 0

    async def __call__(self, endpoint, reader, writer, head):
        """Answer a call."""
        if self.next is None:
            return await whole(200, self.name.encode())(endpoint, reader, writer, head)
        self.calls += 1
        return await self.next(endpoint, reader, writer, head)


def late(seconds, answer):
    """Return an answer function that first waits."""

    async def wait(endpoint, reader, writer, head):
        await asyncio.sleep(seconds)
        await answer(endpoint, reader, writer, head)

    return wait


async def turn_down(_endpoint, _reader, writer, head):
    """Answer that the call was not run."""
    lines = [b"HTTP/1.1 503 X", identifier(head), DONE.encode(), b"Content-Length: 0"]
    writer.write(b"\r\n".join(lines) + b"\r\n\r\n")
    await writer.drain()


async def slow_events(endpoint, reader, writer, head):
    """Answer with a stream that pauses for longer than the delay of a copy."""
    await stream(1, end=None)(endpoint, reader, writer, head)
    await asyncio.sleep(3 * DELAY_S)
    event = b"id: 2\ndata: x\n\n"
    writer.write(b"%x\r\n" % len(event) + event + b"\r\n0\r\n\r\n")
    await writer.drain()


class TestHedgedSend(unittest.IsolatedAsyncioTestCase):
    """One entry that hedges, and two or more endpoints of a plain service."""

    async def start(self, settings=None, endpoints=2, **route):
        """Start an entry that knows its routes' times and its endpoints, and close it later."""
        # A busy machine stops the test's event loop for longer; `test_hedging` tests that limit.
        for name, seconds in (
            ("hedging.MAX_TIMER_DELAY_S", 9.0),
            ("hedged_send.GRANT_WAIT_S", 9.0),
        ):
            limit = mock.patch(f"mulberrygate.forward.{name}", seconds)
            limit.start()
            self.addCleanup(limit.stop)
        self.settings = settings or HedgeSettings(0.2, min_delay_s=DELAY_S, min_samples=20)
        self.hedging = Hedging(self.settings)
        self.scripts = [Script(f"e{number}") for number in range(endpoints)]
        members = [Endpoint(script.name, script) for script in self.scripts]
        self.entry = entry = await Entry(document(**route), hedging=self.hedging).start(
            booking=members, care=[Endpoint("c", stream(2))]
        )
        self.addAsyncCleanup(entry.close)
        # A busy machine may make any answer slow; only the calls of the test have copies.
        self.hedging.allowance("booking").level = -1e6
        for number in range(30):
            async with entry.request("/read/1", identifier=f"warm-{number}") as answer:
                self.assertEqual(answer.status, 200)
        self.scheduler = entry.placement.host.scheduler("booking")
        for state in self.scheduler.states.values():
            # Whichever endpoint the scheduler chose, all count as known.
            state.last_answer_at = entry.timers.now()
        self.hedging.times.clear()
        for _ in range(30):
            self.hedging.record("read", 0.01, entry.timers.now())
        self.hedging.allowance("booking").level = 2.0
        self.entry.lines.notes.clear()
        self.entry.forwarder.metrics.counters.clear()
        return entry

    def answer_with(self, first, second):
        """Let the endpoint that gets the next call answer with `first`, and others otherwise."""
        order = iter([first])

        async def answer(endpoint, reader, writer, head):
            await next(order, second)(endpoint, reader, writer, head)

        for script in self.scripts:
            script.next = answer

    def after_copy(self, answer, seconds=0.0):
        """Return an answer function that waits until the copy has arrived, and then for a time."""

        async def wait(endpoint, reader, writer, head):
            while self.calls() < 2:  # noqa: ASYNC110
                await asyncio.sleep(0.001)
            await asyncio.sleep(seconds)
            await answer(endpoint, reader, writer, head)

        return wait

    async def call(self, path="/read/1", **more):
        """Send a call and return its status and body."""
        async with self.entry.request(path, **more) as answer:
            return answer.status, await answer.read()

    def reset_calls(self):
        """Count calls from now on."""
        for script in self.scripts:
            script.calls = 0

    def calls(self):
        """Return the number of calls that endpoints got after the warm-up."""
        return sum(script.calls for script in self.scripts)

    def results(self):
        """Return the counted results of copies."""
        value = self.entry.forwarder.metrics.value
        return {
            r: int(v)
            for r in ("sent", "won", "lost", "failed")
            if (v := value("hedges_total", result=r))
        }

    def denied(self, reason):
        """Return the number of copies that were denied for a reason."""
        return self.entry.forwarder.metrics.value("hedges_denied_total", reason=reason)

    async def assert_nothing_left(self):
        """Check that no grant, send or task of a call is left."""
        self.assertEqual(self.entry.forwarder.scheduler.running, {})
        self.assertEqual(self.entry.forwarder.crash_detector.monitor.sends, set())
        self.assertEqual(len(self.scheduler.running), 0)
        self.assertEqual(self.entry.errors, [])
        self.assertEqual(self.entry.crashes, [])

    async def test_copy_answers_first(self):
        """Guards against a caller that waits for a slow endpoint though another one is free.

        The slow send is cancelled at its endpoint, and is no fault and no crash of it.
        """
        await self.start()
        self.answer_with(wait_for_disconnect, whole(200, b"copy"))
        self.assertEqual(await self.call(), (200, b"copy"))
        left = [asyncio.ensure_future(e.left.wait()) for e in self.entry.endpoints]
        await asyncio.wait(left, return_when=asyncio.FIRST_COMPLETED, timeout=5)
        self.assertTrue(any(task.done() for task in left))
        for task in left:
            task.cancel()
        self.assertEqual(self.results(), {"sent": 1, "won": 1})
        [line] = self.entry.lines.of("request.hedged")
        self.assertNotEqual(line["first"], line["copy"])
        self.assertEqual((line["delay_s"], line["quantile"]), (DELAY_S, 0.95))
        [answered] = self.entry.lines.of("request.answered")
        self.assertEqual((answered["hedge"], answered["sends"]), ("won", 2))
        self.assertEqual(answered["endpoint"], line["copy"])
        faults = [state.consecutive_faults for state in self.scheduler.states.values()]
        self.assertEqual(faults, [0, 0])
        self.assertEqual(self.entry.lines.of("endpoint.looked_for"), [])
        await self.assert_nothing_left()

    async def test_copy_on_a_route_without_known_times(self):
        """Guards against copies that fail since nothing was recorded of their route yet."""
        settings = HedgeSettings(0.2, min_delay_s=DELAY_S, min_samples=20, initial_delay_s=DELAY_S)
        await self.start(settings)
        self.hedging.times.clear()
        self.answer_with(late(1.0, whole(200, b"first")), whole(200, b"copy"))
        result = await self.call()
        self.assertIn(b"copy", result)
        self.assertEqual(sum(script.calls for script in self.scripts), 2)

    async def test_first_answers_after_all(self):
        """Guards against a copy that runs on after the first send has answered."""
        await self.start()
        self.answer_with(self.after_copy(whole(200, b"first")), wait_for_disconnect)
        self.assertEqual(await self.call(), (200, b"first"))
        self.assertEqual(self.results(), {"sent": 1, "lost": 1})
        async with asyncio.timeout(5):
            while not any(e.left.is_set() for e in self.entry.endpoints):  # noqa: ASYNC110
                await asyncio.sleep(0)
        await self.assert_nothing_left()

    async def test_body_and_signature_are_of_one_answer(self):
        """Guards against the body of one copy under the head of the other."""
        await self.start()

        def signed(name, pause_s):
            async def answer(_endpoint, _reader, writer, head):
                lines = [b"HTTP/1.1 200 OK", identifier(head), SIGNATURE.encode() + b": " + name]
                writer.write(b"\r\n".join(lines) + b"\r\nContent-Length: 2\r\n\r\n" + name[:1])
                await writer.drain()
                await asyncio.sleep(pause_s)
                writer.write(name[1:])
                await writer.drain()

            return answer

        for first_s, copy_s in ((0.0, 0.1), (0.1, 0.0), (0.05, 0.05), (0.1, 0.05)):
            self.hedging.allowance("booking").level = 2.0
            self.reset_calls()
            self.answer_with(self.after_copy(signed(b"f1", first_s)), signed(b"c2", copy_s))
            async with self.entry.request("/read/1", identifier=f"id-{first_s}-{copy_s}") as answer:
                self.assertEqual((await answer.read()).decode(), answer.headers[SIGNATURE])
        await self.assert_nothing_left()

    async def test_fast_answers_have_no_copy(self):
        """Guards against extra work for requests that are answered before the delay."""
        await self.start(HedgeSettings(0.2, min_delay_s=3.0, min_samples=20))
        for script in self.scripts:
            script.next = whole()
        for number in range(20):
            await self.call(identifier=f"id-{number}")
        self.assertEqual((self.calls(), self.results()), (20, {}))

    async def test_calls_that_run_once_have_no_copy(self):
        """Guards against a booking or a stream that runs twice because it is slow."""
        await self.start()
        slow = late(4 * DELAY_S, whole(200, b"first"))
        self.answer_with(slow, slow)
        for _ in range(30):
            self.hedging.record("plain", 0.01, self.entry.timers.now())
            self.hedging.record("stream", 0.01, self.entry.timers.now())
        self.assertEqual(await self.call("/plain/1"), (200, b"first"))
        await self.call("/stream/1")
        self.assertEqual((self.calls(), self.results()), (1, {}))

    async def test_one_attempt_has_no_copy(self):
        """Guards against more endpoints for a request than its route allows."""
        await self.start(maxAttempts=1)
        for _ in range(30):
            self.hedging.record("read", 0.01, self.entry.timers.now())
        self.answer_with(late(4 * DELAY_S, whole(200, b"first")), whole())
        self.assertEqual(await self.call(), (200, b"first"))
        self.assertEqual((self.calls(), self.results()), (1, {}))

    async def test_both_fail(self):
        """Guards against a third endpoint beyond the route's attempts after a failed pair.

        With three attempts, the ordinary retry goes to the third endpoint.
        """
        for attempts, expected, calls in ((2, (500, b"bad"), 2), (3, (200, b"third"), 3)):
            with self.subTest(attempts=attempts):
                await self.start(endpoints=3, maxAttempts=attempts)
                answers = iter(
                    [
                        self.after_copy(whole(500, b"bad"), 2 * DELAY_S),
                        late(DELAY_S, whole(500, b"bad")),
                    ]
                )

                async def answer(endpoint, reader, writer, head, answers=answers):
                    chosen = next(answers, whole(200, b"third"))
                    await chosen(endpoint, reader, writer, head)

                for script in self.scripts:
                    script.next = answer
                self.assertEqual(await self.call(), expected)
                self.assertEqual(self.calls(), calls)
                self.assertLessEqual(max(script.calls for script in self.scripts), 1)
                self.assertEqual(self.results(), {"sent": 1, "failed": 1})
                await self.assert_nothing_left()

    async def test_failed_send_waits_for_the_other(self):
        """Guards against an answer that is lost because the other copy failed before it."""
        for broken in (reset, whole(500), turn_down):
            for first, copy in (
                (self.after_copy(broken), late(2 * DELAY_S, whole(200, b"good"))),
                (self.after_copy(whole(200, b"good"), 2 * DELAY_S), broken),
            ):
                with self.subTest(broken=broken, is_first=copy is not broken):
                    await self.start()
                    self.answer_with(first, copy)
                    self.assertEqual(await self.call(), (200, b"good"))
                    self.assertEqual(self.calls(), 2)
                    await self.assert_nothing_left()

    async def test_refusal_is_true(self):
        """Guards against 503 for a call of which one copy may have run."""
        await self.start()
        self.answer_with(self.after_copy(reset), turn_down)
        status, _ = await self.call()
        self.assertEqual(status, 502)
        await self.assert_nothing_left()

    async def test_ambiguous_answers(self):
        """An answer 429, 408 or 421 to one copy was passed on though both may have run."""
        for status in sorted(NOT_RUN_STATUSES):
            for first, copy in (
                (self.after_copy(whole(status)), wait_for_disconnect),
                (self.after_copy(whole(status)), late(DELAY_S, turn_down)),
                (self.after_copy(turn_down), late(DELAY_S, whole(status))),
            ):
                with self.subTest(status=status, first=first, copy=copy):
                    await self.start()
                    self.answer_with(first, copy)
                    deadline = {"X-Mulberrygate-Request-Deadline": "500"}
                    code, body = await self.call(**deadline)
                    self.assertEqual(code, 502)
                    self.assertIn(b"ambiguous_rejection", body)
                    await self.assert_nothing_left()

    async def test_ambiguous_answer_waits_for_the_other(self):
        """An answer 429, 408 or 421 to one copy was final though the other one succeeded."""
        for status in sorted(NOT_RUN_STATUSES):
            with self.subTest(status=status):
                await self.start()
                self.answer_with(
                    self.after_copy(whole(status)), late(2 * DELAY_S, whole(200, b"good"))
                )
                self.assertEqual(await self.call(), (200, b"good"))
                await self.assert_nothing_left()

    async def test_both_turned_down(self):
        """Guards against a failure for a call that neither endpoint has run."""
        await self.start()
        self.answer_with(self.after_copy(turn_down), turn_down)
        status, _ = await self.call()
        self.assertEqual(status, 503)
        await self.assert_nothing_left()

    async def test_caller_leaves(self):
        """Guards against copies that run on after their caller has left."""
        await self.start()
        self.answer_with(wait_for_disconnect, wait_for_disconnect)
        task = asyncio.ensure_future(self.call())
        async with asyncio.timeout(5):
            while self.calls() < 2:  # noqa: ASYNC110
                await asyncio.sleep(0)
            task.cancel()
            for endpoint in self.entry.endpoints[:2]:
                await endpoint.left.wait()
        await asyncio.sleep(0)
        await self.assert_nothing_left()

    async def test_deadline(self):
        """Guards against copies that outlive the deadline, or get more time than is left."""
        await self.start()
        self.answer_with(wait_for_disconnect, wait_for_disconnect)
        headers = {"X-Mulberrygate-Request-Deadline": "400"}
        status, _ = await self.call(**headers)
        self.assertEqual(status, 504)
        left_ms = []
        for endpoint in self.entry.endpoints[:2]:
            await asyncio.wait_for(endpoint.left.wait(), 5)
            for line in endpoint.requests[-1].split(b"\r\n"):
                if line.lower().startswith(b"x-mulberrygate-request-deadline"):
                    left_ms.append(int(line.split(b":")[1]))
        self.assertLessEqual(min(left_ms), 400 - 1000 * DELAY_S)
        self.assertLessEqual(max(left_ms), 400)

    def before_timer(self, change):
        """Call a function when a first send is about to start the timer of its copy.

        A change made later may come after the copy, if the machine stops the test for long enough.
        """
        find_delay = self.hedging.delay_s

        def delay_s(*arguments):
            change()
            return find_delay(*arguments)

        self.hedging.delay_s = delay_s

    async def test_planned_stop(self):
        """Guards against a copy that is sent while the entry stops."""
        await self.start()
        self.answer_with(late(3 * DELAY_S, whole(200, b"first")), whole())
        self.before_timer(lambda: setattr(self.entry.forwarder, "is_closing", True))
        self.assertEqual(await self.call(), (200, b"first"))
        self.assertEqual((self.results(), self.denied("stopping")), ({}, 1))

    async def test_suspected_call(self):
        """Guards against a copy of a call that may crash its endpoint."""
        await self.start()
        self.answer_with(late(3 * DELAY_S, whole(200, b"first")), whole())
        suspected = Finding(Standing.SUSPECTED, ("part-1",))
        suspects = self.entry.forwarder.suspects
        self.before_timer(lambda: setattr(suspects, "find", lambda call: suspected))
        self.assertEqual(await self.call(), (200, b"first"))
        self.assertEqual((self.results(), self.denied("suspected")), ({}, 1))

    async def test_lack_of_room(self):
        """Guards against a copy that takes a place from requests that need it."""
        await self.start()
        directory = self.entry.placement.directory
        for name, state in self.scheduler.states.items():
            # A report of the future stays recent for the whole test.
            directory.report_load(name, state.view.slots, self.entry.timers.now() + 60)
        self.entry.placement.refresh()
        self.answer_with(late(3 * DELAY_S, whole(200, b"first")), whole())
        self.assertEqual(await self.call(), (200, b"first"))
        self.assertEqual((self.results(), self.denied("no_room")), ({}, 1))
        self.assertAlmostEqual(self.hedging.allowance("booking").level, 2.2)

    async def test_cold_endpoint(self):
        """Guards against a copy at an endpoint that has just started and is slow itself."""
        await self.start()
        for row in self.entry.roster.rows.values():
            row.cold_until = self.entry.timers.now() + 60.0
        self.answer_with(late(3 * DELAY_S, whole(200, b"first")), whole())
        self.assertEqual(await self.call(), (200, b"first"))
        self.assertEqual((self.results(), self.denied("no_room")), ({}, 1))

    async def test_failure_domain_that_gets_requests_again(self):
        """Guards against a copy at an endpoint that counts as cold since its domain's return."""
        await self.start()
        directory = self.entry.placement.directory
        known = directory.pools["booking"]
        directory.pools["booking"] = attrs.evolve(known, cold_start_s=60.0)
        now = self.entry.timers.now()
        directory.evacuations.update(1, ("a",), (), True, now)
        directory.evacuations.update(2, (), (("a", 0.0),), True, now)
        self.answer_with(late(3 * DELAY_S, whole(200, b"first")), whole())
        self.assertEqual(await self.call(), (200, b"first"))
        self.assertEqual((self.results(), self.denied("no_room")), ({}, 1))

    async def test_endpoint_that_has_warmed_up(self):
        """Guards against an endpoint that counts as cold again whenever it is heard of."""
        await self.start()
        rows = self.entry.roster.rows
        for name, row in list(rows.items()):
            known = attrs.evolve(row.registration, warmup_s=60.0)
            rows[name] = attrs.evolve(row, registration=known, cold_until=row.heard_at)
        self.answer_with(wait_for_disconnect, whole(200, b"copy"))
        self.assertEqual(await self.call(), (200, b"copy"))

    async def test_copies_are_retries_of_the_budget(self):
        """Guards against copies beyond the retry budget of all entries."""
        await self.start()
        budget = self.entry.forwarder.retry_budget("booking")
        before = budget.level
        self.answer_with(wait_for_disconnect, whole(200, b"copy"))
        self.assertEqual(await self.call(), (200, b"copy"))
        self.assertLessEqual(budget.level, before - 1.0 + budget.ratio)
        budget.level = 0.4 * budget.limit
        self.answer_with(late(3 * DELAY_S, whole(200, b"first")), whole())
        self.assertEqual(await self.call(identifier="id-2"), (200, b"first"))
        self.assertEqual(self.denied("retry_budget"), 1)

    async def test_streamed_answer_of_a_plain_route(self):
        """Guards against events of two copies in one answer."""
        await self.start()
        self.answer_with(self.after_copy(slow_events), slow_events)
        status, body = await self.call()
        self.assertEqual((status, body.count(b"id: 1"), body.count(b"id: 2")), (200, 1, 1))
        await self.assert_nothing_left()

    def delay_cancellation(self):
        """Cancel redundant sends late, as if their answers had arrived in the same moment."""
        cancel = RunningSend.cancel

        def cancel_later(send):
            asyncio.get_running_loop().call_later(4 * DELAY_S, cancel, send)

        patch = mock.patch.object(RunningSend, "cancel", cancel_later)
        patch.start()
        self.addCleanup(patch.stop)

    async def test_two_streams_at_once(self):
        """Guards against events of two copies that arrive before one of them is cancelled."""
        await self.start()
        self.delay_cancellation()
        self.answer_with(self.after_copy(slow_events), slow_events)
        status, body = await self.call()
        self.assertEqual((status, body.count(b"id: 1"), body.count(b"id: 2")), (200, 1, 1))
        await self.assert_nothing_left()

    async def test_whole_answer_beside_a_stream(self):
        """Guards against a copy's answer after the events of the first that were passed on."""
        await self.start()
        self.delay_cancellation()
        sends = self.entry.forwarder.crash_detector.monitor.sends

        async def broken_events(_endpoint, _reader, writer, head):
            lines = [b"HTTP/1.1 200 X", identifier(head), SIGNATURE.encode() + b": s"]
            lines += [b"Content-Type: text/event-stream", b"Transfer-Encoding: chunked"]
            writer.write(b"\r\n".join(lines) + b"\r\n\r\n")
            while len(sends) > 1:  # noqa: ASYNC110
                await asyncio.sleep(0.001)
            writer.write(b"f\r\nid: 1\ndata: x\n\n\r\n")
            await writer.drain()

        async def answer_second(endpoint, reader, writer, head):
            while not any(send.has_head for send in sends):  # noqa: ASYNC110
                await asyncio.sleep(0.001)
            await whole(200, b"copy")(endpoint, reader, writer, head)

        self.answer_with(self.after_copy(broken_events), answer_second)
        async with asyncio.timeout(3):
            with self.assertRaises(aiohttp.ClientPayloadError):
                await self.call()
        await self.assert_nothing_left()

    async def test_both_wait_for_memory(self):
        """Guards against a send that is never told of its memory since its copy waited as well."""
        await self.start()
        size = 200 << 10
        pool = self.entry.forwarder.memory.budget.answers
        blocker = Holder("other")
        pool.ask(blocker, pool.capacity)

        sends = self.entry.forwarder.crash_detector.monitor.sends

        async def cut_off(_endpoint, _reader, writer, head):
            while not any(send.has_head for send in sends):  # noqa: ASYNC110
                await asyncio.sleep(0.001)
            lines = [b"HTTP/1.1 200 X", identifier(head), SIGNATURE.encode() + b": s"]
            lines.append(b"Content-Length: %d" % size)
            writer.write(b"\r\n".join(lines) + b"\r\n\r\nshort")
            await writer.drain()

        self.answer_with(self.after_copy(whole(200, bytes(size))), cut_off)
        call = asyncio.create_task(self.call())
        async with asyncio.timeout(3):
            while len(sends) < 2 or not all(send.has_head for send in sends):  # noqa: ASYNC110
                await asyncio.sleep(0.001)
            pool.release(blocker)
            status, body = await call
        self.assertEqual((status, len(body)), (200, size))
        self.assertEqual((pool.held, len(pool.waiting)), (0, 0))

    async def test_memory_of_the_redundant_send(self):
        """Guards against memory a redundant send holds until the caller has read the answer."""
        await self.start()
        size = 200 << 10
        sends = self.entry.forwarder.crash_detector.monitor.sends
        held = []

        async def stall(_endpoint, reader, writer, head):
            lines = [b"HTTP/1.1 200 X", identifier(head), SIGNATURE.encode() + b": s"]
            writer.write(b"\r\n".join([*lines, b"Content-Length: %d" % size]) + b"\r\n\r\n")
            await reader.read()

        async def answer_second(endpoint, reader, writer, head):
            while not any(send.has_head for send in sends):  # noqa: ASYNC110
                await asyncio.sleep(0.001)
            await whole(200, bytes(size))(endpoint, reader, writer, head)

        async def send_and_record(response, request, holder):
            held.append(self.entry.forwarder.memory.budget.answers.held)
            await send(response, request, holder)

        send = LongResponse.send
        self.answer_with(self.after_copy(stall), answer_second)
        with mock.patch.object(LongResponse, "send", send_and_record):
            status, body = await self.call()
        self.assertEqual((status, len(body), held), (200, size, [size]))

    async def test_crash_beside_a_copy(self):
        """Guards against a copy that is blamed for the crash of the other's endpoint, or lost."""
        await self.start()
        crashed = asyncio.Event()

        async def crash_now(endpoint, reader, writer, head):
            await crash()(endpoint, reader, writer, head)
            crashed.set()

        async def answer_later(endpoint, reader, writer, head):
            await crashed.wait()
            while not self.entry.lines.of("endpoint.broke"):  # noqa: ASYNC110
                await asyncio.sleep(0.001)
            await whole(200, b"copy")(endpoint, reader, writer, head)

        self.answer_with(self.after_copy(crash_now), answer_later)
        self.assertEqual(await self.call(), (200, b"copy"))
        async with asyncio.timeout(5):
            while not self.entry.crashes:  # noqa: ASYNC110
                await asyncio.sleep(0)
        [line] = self.entry.lines.of("request.hedged")
        self.assertEqual([item.endpoint for item in self.entry.crashes], [line["first"]])

    async def test_times_keep_the_slow_answers(self):
        """Guards against a delay that falls because cancelled sends vanish from the times."""
        await self.start()
        before = self.hedging.times["read"].count(self.entry.timers.now())
        self.answer_with(wait_for_disconnect, whole(200, b"copy"))
        await self.call()
        times = self.hedging.times["read"]
        now = self.entry.timers.now()
        self.assertEqual(times.count(now), before + 1)
        self.assertGreaterEqual(times.quantile_s(1.0, now), DELAY_S)


if __name__ == "__main__":
    unittest.main()
