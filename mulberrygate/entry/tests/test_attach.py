"""Tests of replayed answers, requested offsets and the retry budget."""

import unittest
from types import SimpleNamespace

from aiohttp.test_utils import make_mocked_request

from mulberrygate.entry import attach
from mulberrygate.entry.attach import replay, wanted_offset
from mulberrygate.entry.context import RequestContext
from mulberrygate.entry.retry import EARNED_PER_CALL, MAX_BALANCE, RetryBudget
from mulberrygate.entry.tests.test_stream import WHOLE, event
from mulberrygate.tables.model import MODEL


def request(last: str = "", stream: bool = True) -> RequestContext:
    """Return a request whose caller names the last event that it received."""
    http = make_mocked_request("POST", "/", headers={"Last-Event-ID": last} if last else {})
    payload = {"stream": stream, "model": "m"}
    return RequestContext(http, MODEL, "id", 0.0, route_name="m", payload=payload)


class Response(SimpleNamespace):
    """Response that keeps the written bytes."""

    async def write(self, data: bytes) -> None:
        """Keep the written bytes."""
        self.written += data

    async def write_eof(self) -> None:
        """Record the end."""
        self.is_ended = True


class ReplayTest(unittest.IsolatedAsyncioTestCase):
    """Replay of answers that the ledger stored."""

    async def replayed(self, last: str) -> bytes:
        """Return the bytes that the caller gets."""
        response = Response(written=b"", is_ended=False)

        async def start(_request):
            return response

        original = attach.start_stream
        attach.start_stream = start
        try:
            await replay(request(last), WHOLE)
        finally:
            attach.start_stream = original
        self.assertTrue(response.is_ended)
        return response.written

    async def test_events_that_the_caller_has_are_not_replayed(self):
        """Guards against lost or repeated text when a caller resumes a stream."""
        rest = WHOLE[len(event(0)) :]
        cases = {"": WHOLE, "r:0": rest, "r:3": b"", "r:900": b"", "other:0": WHOLE, "r:x": WHOLE}
        for last, expected in cases.items():
            with self.subTest(last):
                self.assertEqual(await self.replayed(last), expected)

    async def test_answer_as_one_object(self):
        """Guards against a replay that counts the end marker as a token."""
        answer = await replay(request("r:0", stream=False), WHOLE)
        self.assertIn(b'"content": "a \\u00e9c"', answer.body)
        self.assertIn(b'"completion_tokens": 2', answer.body)

    def test_offset(self):
        """Guards against accepting a header that is no valid offset of this stream."""
        for last in ("r:", "r:-1", "r:²", "r:" + "9" * 5000, "7", "r:1:2", "x:1"):
            with self.subTest(last[:9]):
                self.assertEqual(wanted_offset(request(last), "r"), 0)
        self.assertEqual(wanted_offset(request("r:41"), "r"), 42)
        self.assertEqual(wanted_offset(request("r:41", stream=False), "r"), 0)


class RetryTest(unittest.TestCase):
    """Retry budget."""

    def test_retries_are_bounded_by_a_share_of_the_calls(self):
        """Guards against retries that multiply the load on failing endpoints."""
        budget = RetryBudget()
        retries = 0
        for _ in range(10_000):
            budget.earn()
            retries += budget.spend()
        self.assertLessEqual(retries, 10_000 * EARNED_PER_CALL + MAX_BALANCE)
        self.assertGreater(retries, 900)


if __name__ == "__main__":
    unittest.main()
