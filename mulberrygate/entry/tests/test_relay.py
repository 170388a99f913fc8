"""Tests of the delivery of stream events to a caller."""

import asyncio
import unittest
from types import SimpleNamespace
from unittest import mock

from mulberrygate.core.memory_budget import Holder
from mulberrygate.core.memory_gate import DEFAULT_MEMORY_BYTES, MemoryGate
from mulberrygate.entry import relay
from mulberrygate.entry.context import RequestContext, Result
from mulberrygate.entry.relay import UNREAD_BYTES, StreamDelivery
from mulberrygate.ledger.codes import UNCERTAIN


class Transport:
    """Connection of a caller with unread bytes in its write buffer."""

    def __init__(self, unread: int):
        self.unread = unread

    def get_write_buffer_size(self) -> int:
        return self.unread

    def abort(self) -> None:
        """Do nothing; there is no connection."""


class Response:
    """Response whose writes never finish."""

    async def write(self, _raw: bytes) -> None:
        await asyncio.Event().wait()


class SlowCallerTest(unittest.IsolatedAsyncioTestCase):
    """Delivery to a caller that stopped reading or disconnected."""

    def delivery(self, unread: int) -> StreamDelivery:
        """Return a delivery of a request that outlives its caller."""
        request = mock.create_autospec(RequestContext, instance=True)
        request.http = SimpleNamespace(transport=Transport(unread))
        request.response = Response()
        request.result = Result()
        request.outlives_caller = True
        request.wants_stream = True
        request.answer_holder = Holder("a")
        parts = SimpleNamespace(gate=MemoryGate(DEFAULT_MEMORY_BYTES))
        return StreamDelivery(parts, request, None)

    async def test_caller_that_does_not_read_is_dropped(self):
        """Guards against a stream that occupies its engine for a caller that reads nothing."""
        delivery = self.delivery(UNREAD_BYTES)
        with mock.patch.object(relay, "CALLER_STALL_S", 0.01):
            await delivery._write(b"event")
        self.assertFalse(delivery.is_caller_connected)
        self.assertTrue(delivery.request.result.is_cancelled)

    async def test_caller_without_connection_is_dropped(self):
        """Guards against writes to a closed connection."""
        delivery = self.delivery(0)
        delivery.request.http.transport = None
        await delivery._write(b"event")
        self.assertFalse(delivery.is_caller_connected)


class Trickle:
    """Service response that sends a byte now and then and never ends."""

    status = 200
    method = "POST"
    content_length = None
    headers: dict[str, str] = {}

    def __init__(self):
        self.content = self

    async def readany(self) -> bytes:
        await asyncio.sleep(0.01)
        return b"x"

    def release(self) -> None:
        """Do nothing; there is no connection."""


class StalledServiceTest(unittest.IsolatedAsyncioTestCase):
    """Responses of services that don't end."""

    async def test_response_that_trickles_ends_after_the_deadline(self):
        """Guards against a stalled response that never ends, as it sends a byte now and then."""
        parts = mock.Mock(gate=MemoryGate(DEFAULT_MEMORY_BYTES))
        parts.timers.now.return_value = 10.0
        parts.background.wait_shielded = mock.AsyncMock()
        request = mock.create_autospec(RequestContext, instance=True)
        request.upstream = Trickle()
        request.answer_holder = Holder("a")
        request.remaining_s.return_value = -1.0
        request.is_idempotent = False
        request.result = Result()
        with mock.patch.object(relay, "SERVICE_SILENCE_S", 0.1):
            outcome = await asyncio.wait_for(
                relay.Relay(parts)._relay_response(request, mock.Mock()), 10.0
            )
        self.assertEqual(outcome.code, UNCERTAIN)
        self.assertEqual(request.result.fault, "cut")


if __name__ == "__main__":
    unittest.main()
