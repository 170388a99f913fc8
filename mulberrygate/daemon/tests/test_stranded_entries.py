"""Integration tests of an entry that has lost its links to all endpoints, beside a sound one."""

from __future__ import annotations

import asyncio
import collections
import itertools
import json
import unittest

import aiohttp

from mulberrygate.daemon.tests.site_support import (
    CONTROLS,
    ENTRY,
    OTHER_ENTRY,
    SiteTestCase,
)
from mulberrygate.forward.tests.support import (
    REQUEST_ID,
    CutLinks,
    Endpoint,
    crash,
    stream,
    whole,
)

PATHS = {"booking": "/read/1", "care": "/stream/1"}
NOT_EXECUTED = b"X-Mulberrygate-Not-Executed: 1"
# Callers' first tries count from this time after the links are lost, as in the users' rule.
CONTACT_S = 3.0
CALLS = 24
PAUSE_S = 0.05
# An entry whose links are back needs no help from then on.
RETURN_S = 3.0


def turned_away():
    """Return an answer function of an endpoint that is full."""
    return whole(503, b"", NOT_EXECUTED)


def silent():
    """Return an answer function of an endpoint that works until its caller leaves."""

    async def answer(_endpoint, reader, _writer, _head):
        await reader.read(1)

    return answer


def paced_stream(gate):
    """Return an answer function that sends one event, and a second one once an event is set."""

    async def answer(endpoint, reader, writer, head):
        await stream(1, end=None)(endpoint, reader, writer, head)
        waits = {asyncio.ensure_future(gate.wait()), asyncio.ensure_future(reader.read(1))}
        _, pending = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for task in pending:
            task.cancel()
        if not gate.is_set():
            endpoint.left.set()
            return
        event = b"id: 2\ndata: x\n\n"
        writer.write(b"%x\r\n" % len(event) + event + b"\r\n0\r\n\r\n")
        await writer.drain()

    return answer


class StrandedCase(SiteTestCase):
    """Two entries and three endpoints of a pool; the first entry loses its links to them."""

    async def start_pool(self, pool, answer=None, slots=8):
        """Start three endpoints that both entries know."""
        self.pool = pool
        self.numbers = itertools.count()
        self.other = await self.deployment.start_entry(OTHER_ENTRY)
        self.node = self.deployment.entry_node
        await self.deployment.put_document(1)
        answer = answer or (stream(3) if pool == "care" else whole())
        self.endpoints = [await Endpoint(f"e{n}", answer).start() for n in range(3)]
        for endpoint in self.endpoints:
            self.addAsyncCleanup(endpoint.close)
            await self.register(endpoint, pool, slots=slots)
        for node in (self.node, self.other):
            await self.deployment.until(
                lambda node=node: node.is_ready and len(node.roster.rows) == 3
            )
            await self.deployment.until(lambda node=node: len(node.deputies.entries) == 2)
        await self.deployment.find_leader()

    def cut(self, does_hang=False, node=None):
        """Cut an entry off from all endpoints."""
        cut = CutLinks((node or self.node).forwarder, self.endpoints, does_hang)
        self.addCleanup(cut.heal)
        return cut

    def request(self, entry=ENTRY, path=None, **headers):
        """Return the context of a request to an entry."""
        url = f"http://{entry}:{self.deployment.entry_port}{path or PATHS[self.pool]}"
        values = {"Host": "a.example", REQUEST_ID: f"{entry}-{next(self.numbers)}", **headers}
        return self.deployment.session.post(url, headers=values)

    async def call(self, entry=ENTRY, path=None):
        """Send a call and return its status, or 0 if the connection broke."""
        try:
            async with self.request(entry, path) as answer:
                await answer.read()
                return answer.status
        except (aiohttp.ClientError, OSError):
            return 0

    async def call_for(self, seconds, entries=(ENTRY,), path=None):
        """Send calls at a steady rate for a time; return their statuses by entry."""
        tasks = {entry: [] for entry in entries}
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            for entry in entries:
                tasks[entry].append(asyncio.create_task(self.call(entry, path)))
            await asyncio.sleep(PAUSE_S)
        return {entry: list(await asyncio.gather(*sent)) for entry, sent in tasks.items()}

    async def lose_links(self, does_hang=False):
        """Cut the first entry off, with calls until the cut counts for the users' rule."""
        await self.call_for(0.3, (ENTRY, OTHER_ENTRY))
        cut = self.cut(does_hang)
        await self.call_for(CONTACT_S, (ENTRY, OTHER_ENTRY))
        return cut

    def runs(self):
        """Return how often the endpoints have received each call."""
        heads = [head for endpoint in self.endpoints for head in endpoint.requests]
        lines = [line for head in heads for line in head.split(b"\r\n")]
        prefix = REQUEST_ID.lower().encode()
        return collections.Counter(x for x in lines if x.lower().startswith(prefix))


class TestLostLinks(StrandedCase):
    """Callers of an entry whose links to all endpoints are lost, while another entry's work."""

    async def assert_served(self, pool, does_hang):
        await self.start_pool(pool)
        await self.lose_links(does_hang)
        statuses = await self.call_for(CALLS * PAUSE_S)
        self.assertEqual(set(statuses[ENTRY]), {200})
        self.assertEqual(set(self.runs().values()), {1})

    async def test_service_call_with_refused_links(self):
        """Guards against refusals of calls that another entry could have served."""
        await self.assert_served("booking", does_hang=False)

    async def test_service_call_with_hanging_links(self):
        """Guards against calls that wait for connections which are never established."""
        await self.assert_served("booking", does_hang=True)

    async def test_stream_with_refused_links(self):
        """Guards against refusals of streams that another entry could have served."""
        await self.assert_served("care", does_hang=False)

    async def test_stream_with_hanging_links(self):
        """Guards against streams that wait for connections which are never established."""
        await self.assert_served("care", does_hang=True)

    async def test_without_control_processes(self):
        """Guards against help that needs control processes, which may be lost as well."""
        await self.start_pool("booking")
        for name in CONTROLS:
            await self.deployment.crash(name)
        await self.lose_links()
        statuses = await self.call_for(CALLS * PAUSE_S)
        self.assertEqual(set(statuses[ENTRY]), {200})

    async def test_callers_of_the_sound_entry(self):
        """Guards against endpoints that are kept from sound entries for another's lost links."""
        await self.start_pool("care", slots=3)
        await self.call_for(0.3, (ENTRY, OTHER_ENTRY))
        self.cut()
        statuses = await self.call_for(CONTACT_S, (ENTRY, OTHER_ENTRY))
        self.assertEqual(set(statuses[OTHER_ENTRY]), {200})

    async def test_no_call_is_blamed(self):
        """Guards against calls taken to crash endpoints since their entry reaches these no more."""
        await self.start_pool("care", silent())
        calls = [asyncio.create_task(self.call()) for _ in range(6)]
        await self.deployment.until(lambda: sum(self.runs().values()) == 6)
        self.cut(does_hang=True)
        await asyncio.wait(calls, timeout=CONTACT_S)
        for call in calls:
            call.cancel()
        self.assertEqual(self.node.lines.of("call.crashed"), [])

    async def test_links_that_are_back(self):
        """Guards against an entry that goes on without its links after they are back."""
        await self.start_pool("booking")
        cut = await self.lose_links()
        cut.heal()
        await self.call_for(RETURN_S)
        before = self.other.tunnels.opened
        self.assertGreater(before, 0)
        statuses = await self.call_for(CALLS * PAUSE_S)
        self.assertEqual(set(statuses[ENTRY]), {200})
        self.assertEqual(self.other.tunnels.opened, before)


class TestPassedOnAnswers(StrandedCase):
    """What a caller gets from another entry's work for it."""

    async def test_whole_answer(self):
        """Guards against an answer that is changed on its way through two entries."""
        more = (b"X-Own: 7", b"Server-Limit: 1000")
        await self.start_pool("booking", whole(201, b"made", *more))
        await self.lose_links()
        async with self.request() as answer:
            self.assertEqual((answer.status, await answer.read()), (201, b"made"))
            self.assertEqual(answer.headers["X-Own"], "7")

    async def test_events_as_they_arrive(self):
        """Guards against a stream that is held back until it is complete."""
        gate = asyncio.Event()
        await self.start_pool("care", stream(3))
        await self.lose_links()
        for endpoint in self.endpoints:
            endpoint.answer = paced_stream(gate)
        async with self.request() as answer:
            self.assertEqual(answer.status, 200)
            first = await asyncio.wait_for(answer.content.readany(), 1.0)
            gate.set()
            rest = await answer.content.read()
        self.assertEqual(first + rest, b"id: 1\ndata: x\n\nid: 2\ndata: x\n\n")

    async def test_caller_that_leaves(self):
        """Guards against endpoints that go on with a stream after its caller has left."""
        await self.start_pool("care", stream(3))
        await self.lose_links()
        for endpoint in self.endpoints:
            endpoint.answer = paced_stream(asyncio.Event())
        async with self.request() as answer:
            self.assertEqual(answer.status, 200)
            await answer.content.readany()
            answer.close()
        left = [asyncio.create_task(endpoint.left.wait()) for endpoint in self.endpoints]
        done, pending = await asyncio.wait(left, timeout=0.5, return_when="FIRST_COMPLETED")
        for task in pending:
            task.cancel()
        self.assertEqual(len(done), 1)

    async def test_call_that_may_have_run(self):
        """Guards against a second run of a call whose first one another entry has lost."""
        await self.start_pool("booking")
        await self.lose_links()
        for endpoint in self.endpoints:
            endpoint.requests.clear()
            endpoint.answer = crash()
        self.assertIn(await self.call(path="/plain/1"), (0, 502, 504))
        self.assertEqual(list(self.runs().values()), [1])

    async def test_refusal_of_the_other_entry(self):
        """Guards against a refusal that loses its reason or the time of the next try."""
        await self.start_pool("booking")
        await self.lose_links()
        for endpoint in self.endpoints:
            endpoint.requests.clear()
            endpoint.answer = turned_away()
        async with self.request(path="/plain/1") as answer:
            fields = json.loads(await answer.read())
            self.assertEqual((answer.status, fields["title"]), (503, "turned_down"))
            self.assertIn("Retry-After", answer.headers)
        self.assertGreater(sum(self.runs().values()), 0)

    async def test_time_that_is_left(self):
        """Guards against an endpoint that is told more time than the caller has left."""
        await self.start_pool("booking")
        await self.lose_links()
        for endpoint in self.endpoints:
            endpoint.requests.clear()
        async with self.request(**{"X-Mulberrygate-Request-Deadline": "900"}) as answer:
            self.assertEqual(answer.status, 200)
        (head,) = [head for endpoint in self.endpoints for head in endpoint.requests]
        names = [line.partition(b":") for line in head.lower().split(b"\r\n")]
        values = {name: value.strip() for name, _, value in names}
        self.assertLessEqual(int(values[b"x-mulberrygate-request-deadline"]), 900)
        self.assertNotIn(b"x-mulberrygate-passed-on", values)


class TestBothCut(StrandedCase):
    """Two entries of which neither reaches the endpoints."""

    async def test_no_circles(self):
        """Guards against a call that entries pass to each other until its deadline."""
        await self.start_pool("booking")
        self.cut()
        self.cut(node=self.other)
        await self.call_for(CONTACT_S, (ENTRY, OTHER_ENTRY))
        began = [len(node.forwarder.lines.notes) for node in (self.node, self.other)]
        statuses = await self.call_for(CALLS * PAUSE_S)
        self.assertEqual(set(statuses[ENTRY]), {503})
        for node, first in zip((self.node, self.other), began, strict=True):
            events = [event for event, _ in node.forwarder.lines.notes[first:]]
            handled = [event for event in events if event.startswith("request.")]
            self.assertLessEqual(len(handled), len(statuses[ENTRY]))

    async def test_both_stay_ready(self):
        """Guards against a fleet that takes itself out of the balancer when a pool is down."""
        await self.start_pool("booking")
        self.cut()
        self.cut(node=self.other)
        await self.call_for(CONTACT_S, (ENTRY, OTHER_ENTRY))
        self.assertTrue(self.node.is_ready and self.other.is_ready)


if __name__ == "__main__":
    unittest.main()
