"""Tests that an answer in events is one run's, or goes on where it ended, or ends broken."""

from __future__ import annotations

import asyncio
import unittest

import aiohttp
import attrs
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from mulberrygate.forward.events import MAX_EVENT_BYTES
from mulberrygate.forward.tests.support import (
    PATHS,
    POOLS,
    SIGNATURE,
    Endpoint,
    Entry,
    document_of_each_kind,
    identifier,
)

EVENTS = 4


@attrs.frozen
class Run:
    """Answer in events of one endpoint.

    Parameters
    ==========
    sent : int
        Events after which it is broken off, if there are more.
    has_ids : bool
        Whether its events have identifiers.
    does_resume : bool
        Whether it goes on after the event that the request names.
    is_chunked : bool
        Whether its body is sent in chunks, else with its length.
    tail : bytes
        Text behind the last event.
    """

    sent: int = EVENTS
    has_ids: bool = True
    does_resume: bool = True
    is_chunked: bool = True
    tail: bytes = b""


class RunEndpoint(Endpoint):
    """Endpoint that answers with a run."""

    def __init__(self, name, run):
        super().__init__(name, self.write_run)
        self.run = run

    def make_events(self, after=0):
        """Return the events behind a number of them."""
        label = self.name.encode()
        lines = [b"data: %s %d\n\n" % (label, number) for number in range(after + 1, EVENTS + 1)]
        if self.run.has_ids:
            numbers = range(after + 1, EVENTS + 1)
            lines = [b"id: %d\n%s" % (n, line) for n, line in zip(numbers, lines, strict=True)]
        return lines

    async def write_run(self, _endpoint, _reader, writer, head):
        """Write the answer, whole or not."""
        run = self.run
        after = 0
        for line in head.decode().split("\r\n"):
            name, _, value = line.partition(":")
            if name.lower() == "last-event-id" and run.does_resume:
                after = int(value)
        events = self.make_events(after)
        body = b"".join(events) + run.tail
        lines = [b"HTTP/1.1 200 OK", identifier(head), b"Content-Type: text/event-stream"]
        lines.append(f"{SIGNATURE}: {self.name}".encode())
        length = b"Content-Length: %d" % len(body)
        lines.append(b"Transfer-Encoding: chunked" if run.is_chunked else length)
        writer.write(b"\r\n".join(lines) + b"\r\n\r\n")
        is_whole = run.sent >= len(events)
        pieces = [*events, run.tail] if is_whole else events[: run.sent]
        for piece in pieces:
            if piece:
                writer.write(b"%x\r\n%s\r\n" % (len(piece), piece) if run.is_chunked else piece)
        if is_whole and run.is_chunked:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        if not is_whole:
            # What was sent arrives before the end of the connection.
            await asyncio.sleep(0.02)
            writer.transport.abort()


@attrs.frozen
class Outcome:
    """What a caller got: whether the answer is complete, its status, body and signature."""

    is_complete: bool
    status: int
    body: bytes
    signature: str
    requests: int
    endpoints: dict


async def ask(path, runs):
    """Send a request through a new entry whose endpoints answer with the given runs."""
    entry = Entry(document_of_each_kind())
    endpoints = [RunEndpoint(f"e{number}", run) for number, run in enumerate(runs)]
    try:
        await entry.start(**{POOLS[path.split("/")[1]]: endpoints})
        body, is_complete, status, signature = b"", True, 0, ""
        try:
            async with entry.request(path) as response:
                status, signature = response.status, response.headers.get(SIGNATURE, "")
                async for data in response.content.iter_any():
                    body += data
        except aiohttp.ClientError:
            is_complete = False
        requests = sum(len(endpoint.requests) for endpoint in endpoints)
        named = {endpoint.name: endpoint for endpoint in endpoints}
        return Outcome(is_complete, status, body, signature, requests, named)
    finally:
        await entry.close()


RUNS = st.builds(
    Run,
    sent=st.integers(0, EVENTS),
    has_ids=st.booleans(),
    does_resume=st.booleans(),
    is_chunked=st.booleans(),
    tail=st.sampled_from([b"", b"", b"data: rest"]),
)


class TestBrokenStreams(unittest.TestCase):
    """Answers in events, of which endpoints break some off."""

    def check(self, path, outcome):
        """Check that a complete success is one run's whole body, or that of a resumed stream."""
        if not outcome.is_complete or outcome.status != 200:
            return
        endpoint = outcome.endpoints[outcome.signature]
        if outcome.body == b"".join(endpoint.make_events()) + endpoint.run.tail:
            return
        self.assertEqual(path, "/resumable/1", outcome)
        found = [line for line in outcome.body.split(b"\n") if line.startswith(b"id: ")]
        self.assertEqual(found, [b"id: %d" % number for number in range(1, EVENTS + 1)], outcome)

    def test_second_run_does_not_follow(self):
        """A whole second answer followed the begin of another one, as one complete success."""
        for path in PATHS[:3]:
            for is_chunked in (True, False):
                with self.subTest(path=path, is_chunked=is_chunked):
                    runs = [Run(sent=2, is_chunked=is_chunked)] * 3
                    outcome = asyncio.run(ask(path, runs))
                    self.assertFalse(outcome.is_complete, outcome)
                    self.assertEqual(outcome.requests, 1, outcome)

    def test_resumed_stream_goes_on(self):
        """Guards against a resumable stream that ends broken though an endpoint can go on."""
        outcome = asyncio.run(ask("/resumable/1", [Run(sent=2), Run(sent=2)]))
        self.assertTrue(outcome.is_complete, outcome)
        self.assertEqual(outcome.body.count(b"id: "), EVENTS, outcome)
        self.check("/resumable/1", outcome)

    def test_endpoint_that_starts_anew(self):
        """The events of an endpoint that ignores Last-Event-Id followed those of another one."""
        runs = [Run(sent=2, does_resume=False)] * 3
        outcome = asyncio.run(ask("/resumable/1", runs))
        self.assertFalse(outcome.is_complete, outcome)
        self.assertEqual(outcome.body.count(b"id: "), 2, outcome)

    def test_events_without_identifiers(self):
        """A stream without identifiers was resumed from its start."""
        outcome = asyncio.run(ask("/resumable/1", [Run(sent=2, has_ids=False)] * 3))
        self.assertFalse(outcome.is_complete, outcome)
        self.assertEqual(outcome.requests, 1, outcome)

    def test_broken_before_its_first_event(self):
        """Guards against a call that ends broken though nothing of its answer had left."""
        for path in ("/read/1", "/resumable/1"):
            with self.subTest(path=path):
                runs = [Run(sent=0), Run(sent=0), Run()]
                outcome = asyncio.run(ask(path, runs))
                self.assertEqual(outcome.requests, 2, outcome)
                self.check(path, outcome)

    def test_text_without_an_empty_last_line(self):
        """A whole answer that ended without an empty line was broken off."""
        for tail in (b"data: rest", b"data: rest\n", b"x" * (MAX_EVENT_BYTES + 1)):
            for path in PATHS[:2]:
                with self.subTest(path=path, size=len(tail)):
                    outcome = asyncio.run(ask(path, [Run(tail=tail)]))
                    self.assertTrue(outcome.is_complete, path)
                    self.assertTrue(outcome.body.endswith(tail), path)
                    self.check(path, outcome)

    @settings(
        max_examples=100,
        derandomize=True,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(st.sampled_from(PATHS), st.lists(RUNS, min_size=1, max_size=3))
    def test_any_runs(self, path, runs):
        """Guards against a complete success that joins two runs, on each kind of route."""
        self.check(path, asyncio.run(ask(path, runs)))


if __name__ == "__main__":
    unittest.main()
