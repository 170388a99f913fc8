"""Tests of the delivery of stream events to a caller."""

import asyncio
import unittest
from types import SimpleNamespace
from unittest import mock

from mulberrygate.entry import relay
from mulberrygate.entry.context import RequestContext, Result
from mulberrygate.entry.relay import UNREAD_BYTES, StreamDelivery


class Transport:
    """Connection of a caller with unread bytes in its write buffer."""

    def __init__(self, unread: int):
        self.unread = unread

    def get_write_buffer_size(self) -> int:
        return self.unread


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
        return StreamDelivery(None, request, None)

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


if __name__ == "__main__":
    unittest.main()
