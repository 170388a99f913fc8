"""Tests that a status which promises "not run" reaches a caller only if nothing has run."""

from __future__ import annotations

import asyncio
import collections
import itertools
import unittest

import attrs
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from mulberrygate.core.promises import NOT_RUN_STATUSES
from mulberrygate.forward.codes import AMBIGUOUS_REJECTION
from mulberrygate.forward.dialer import connect_directly
from mulberrygate.forward.tests.support import (
    PATHS,
    POOLS,
    REQUEST_ID,
    SIGNATURE,
    CutLinks,
    Endpoint,
    Entry,
    document_of_each_kind,
)
from mulberrygate.forward.tunnel import TunnelServer
from mulberrygate.standin.local import free_ports

HELPER = "127.0.0.53"
NOT_RUN = "X-Mulberrygate-Not-Executed: 1"
NOTICES = ("Retry-After: 1", "Server-Leaving: 1", "Server-Limit: 50")
REPEATABLE = ("/read/1", "/resumable/1")


@attrs.frozen
class Scripted:
    """Answer of an endpoint.

    Parameters
    ==========
    states_not_run : bool
        Whether the endpoint states that it did not run the call; it has run it otherwise.
    is_of_other_request : bool
        Whether it is an answer to another request.
    is_cut : bool
        Whether the connection ends inside the body.
    has_interim : bool
        Whether an informational response goes before it that holds the statement.
    """

    status: int = 503
    states_not_run: bool = False
    notices: tuple[str, ...] = ()
    is_of_other_request: bool = False
    is_cut: bool = False
    has_interim: bool = False


class ScriptedEndpoint(Endpoint):
    """Endpoint that counts the runs of each request."""

    def __init__(self, name, script):
        super().__init__(name, self.write_answer)
        self.script = script
        self.runs = collections.Counter()

    async def write_answer(self, _endpoint, _reader, writer, head):
        """Run the call unless the script states otherwise, and answer."""
        script = self.script
        request = next(
            line.partition(":")[2].strip()
            for line in head.decode().split("\r\n")
            if line.lower().startswith(REQUEST_ID.lower())
        )
        if not script.states_not_run or script.is_of_other_request:
            self.runs[request] += 1
        answered = "id-0" if script.is_of_other_request else request
        lines = [f"HTTP/1.1 {script.status} X", f"{REQUEST_ID}: {answered}", f"{SIGNATURE}: s"]
        lines += [NOT_RUN] if script.states_not_run else []
        lines += [*script.notices, f"Content-Length: {8 if script.is_cut else 4}", "", "done"]
        if script.has_interim:
            lines = ["HTTP/1.1 103 X", NOT_RUN, "", *lines]
        writer.write("\r\n".join(lines).encode())
        await writer.drain()


@attrs.frozen
class Outcome:
    """What the caller of a request got, and what its endpoints did."""

    status: int
    headers: dict
    body: bytes
    runs: int
    events: list
    is_tunnelled: bool


async def ask(path, scripts, attempts=2, is_tunnelled=False, **headers):
    """Send a request through a new entry whose endpoints have the given scripts."""
    entry = Entry(document_of_each_kind(maxAttempts=attempts))
    endpoints = [ScriptedEndpoint(f"e{n}", script) for n, script in enumerate(scripts)]
    tunnels = None
    try:
        (port,) = free_ports(1)
        entry.site = attrs.evolve(entry.site, tunnel_port=port)
        await entry.start(**{POOLS[path.split("/")[1]]: endpoints})
        if is_tunnelled:
            tunnels = TunnelServer(lambda _address: True, connect_directly, 8)
            await tunnels.start(HELPER, entry.site.tunnel_port)
            entry.forwarder.list_relays = lambda: [HELPER]
            CutLinks(entry.forwarder, endpoints, does_hang=False)
        async with entry.request(path, **headers) as response:
            body = await response.read()
        runs = sum(endpoint.runs["id-1"] for endpoint in endpoints)
        headers = {name.lower(): value for name, value in response.headers.items()}
        has_tunnel = tunnels is not None and tunnels.opened > 0
        return Outcome(response.status, headers, body, runs, entry.lines.notes, has_tunnel)
    finally:
        if tunnels is not None:
            await tunnels.close()
        await entry.close()


SCRIPTS = st.builds(
    Scripted,
    status=st.sampled_from([*sorted(NOT_RUN_STATUSES), 400, 409, 500, 502, 504]),
    states_not_run=st.booleans(),
    notices=st.lists(st.sampled_from(NOTICES), max_size=2, unique=True).map(tuple),
    is_of_other_request=st.integers(0, 9).map(lambda number: number == 9),
    is_cut=st.integers(0, 4).map(lambda number: number == 4),
    has_interim=st.integers(0, 4).map(lambda number: number == 4),
)


class TestPromises(unittest.TestCase):
    """Answers of endpoints whose status promises that the call has not run."""

    def check(self, path, outcome, attempts=2):
        """Check what holds for each request."""
        if outcome.runs:
            self.assertNotIn(outcome.status, NOT_RUN_STATUSES, outcome)
        else:
            self.assertEqual(outcome.status, 503, outcome)
            self.assertNotIn(SIGNATURE.lower(), outcome.headers, outcome)
        self.assertLessEqual(outcome.runs, attempts if path in REPEATABLE else 1, outcome)

    def test_statement_decides(self):
        """A call that a replica had run was answered 503, 429, 408 or 421, or was sent again."""
        cases = itertools.product(sorted(NOT_RUN_STATUSES), PATHS, (False, True))
        for status, path, is_tunnelled in cases:
            with self.subTest(status=status, path=path, is_tunnelled=is_tunnelled):
                scripts = [Scripted(status)] * 3
                outcome = asyncio.run(ask(path, scripts, is_tunnelled=is_tunnelled))
                self.check(path, outcome)
                self.assertEqual(outcome.is_tunnelled, is_tunnelled)
                self.assertEqual(outcome.status, 502)
                self.assertNotIn(SIGNATURE.lower(), outcome.headers)
                self.assertIn(b"%d" % AMBIGUOUS_REJECTION.number, outcome.body)
                self.assertIn(b'"outcome": "unknown"', outcome.body)

    def test_call_that_did_not_run_is_refused(self):
        """Guards against an uncertain answer where all endpoints state that they did not run it."""
        for status, path in itertools.product(sorted(NOT_RUN_STATUSES), PATHS):
            with self.subTest(status=status, path=path):
                outcome = asyncio.run(ask(path, [Scripted(status, states_not_run=True)] * 3))
                self.assertEqual((outcome.status, outcome.runs), (503, 0), outcome)
                self.assertIn(b'"outcome": "not_run"', outcome.body)

    def test_statement_in_an_answer_to_another_request(self):
        """A statement in an answer to another request was taken as one on this call."""
        script = Scripted(503, states_not_run=True, is_of_other_request=True)
        outcome = asyncio.run(ask("/plain/1", [script] * 3))
        self.assertEqual((outcome.status, outcome.runs), (502, 1), outcome)

    def test_later_answer_is_used(self):
        """Guards against a call that may be repeated and ends at the first ambiguous answer."""
        for status in sorted(NOT_RUN_STATUSES):
            with self.subTest(status=status):
                scripts = [Scripted(status), Scripted(404)]
                outcome = asyncio.run(ask("/read/1", scripts))
                self.assertIn(outcome.status, (404, 502), outcome)
                if outcome.runs == 2:
                    self.assertEqual(outcome.status, 404, outcome)

    def test_pause_is_told_to_callers_who_may_repeat(self):
        """Guards against an invitation to repeat a booking that may have run."""
        script = Scripted(503, notices=NOTICES[:1])
        for path in PATHS:
            with self.subTest(path=path):
                outcome = asyncio.run(ask(path, [script], attempts=1))
                self.assertEqual(outcome.status, 502, outcome)
                self.assertEqual("retry-after" in outcome.headers, path in REPEATABLE, outcome)

    def test_log_tells_the_endpoint_and_its_status(self):
        """Guards against an answer of ours whose cause can't be found."""
        outcome = asyncio.run(ask("/plain/1", [Scripted(429)]))
        (line,) = [fields for event, fields in outcome.events if event == "endpoint.ambiguous"]
        self.assertEqual((line["endpoint"], line["status"]), ("e0", 429))

    @settings(
        max_examples=200,
        derandomize=True,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(
        st.sampled_from(PATHS),
        st.lists(SCRIPTS, min_size=1, max_size=3),
        st.integers(1, 3),
        st.booleans(),
    )
    def test_any_answers(self, path, scripts, attempts, is_tunnelled):
        """Guards against an untrue promise after any answers, over each kind of route and path."""
        # Short, since a call waits for endpoints that have announced that they leave.
        deadline = {"X-Mulberrygate-Request-Deadline": "500"}
        outcome = asyncio.run(ask(path, scripts, attempts, is_tunnelled, **deadline))
        self.check(path, outcome, attempts)


if __name__ == "__main__":
    unittest.main()
