"""Tests of the memory that answers to callers hold, with scripted endpoints on loopback."""

from __future__ import annotations

import unittest
from types import SimpleNamespace
from unittest import mock

from mulberrygate.core.memory_budget import Holder
from mulberrygate.forward.request import Call, CallHead
from mulberrygate.forward.tests.support import HOST, Endpoint, Entry, whole


class TestAnswerMemory(unittest.IsolatedAsyncioTestCase):
    """One entry with an endpoint of a plain service."""

    async def asyncSetUp(self):
        self.entry = await Entry().start(booking=[Endpoint("e1", whole())])
        self.addAsyncCleanup(self.entry.close)
        self.memory = self.entry.forwarder.memory
        self.answers = self.memory.budget.answers

    async def test_callers_without_account(self):
        """Guards against callers of all addresses that are counted as one while memory is short."""
        with mock.patch.object(self.answers, "ask", wraps=self.answers.ask) as ask:
            async with self.entry.request("/read/1") as answer:
                self.assertEqual(answer.status, 200)
        self.assertEqual([call.args[0].group for call in ask.call_args_list], [HOST])
        self.assertEqual(self.answers.held, 0)

    async def test_stream_after_a_failed_answer(self):
        """Guards against a caller that doesn't read and can't be closed while memory is short."""
        head = CallHead("id-1", "a.example", "POST", "/stream/1")
        call = Call(head, {}, self.entry.timers.now())
        call.answer_holder = Holder("x")
        self.answers.ask(call.answer_holder, 300)
        transport = mock.Mock()
        transport.get_write_buffer_size.return_value = 1
        response = mock.Mock(write=mock.AsyncMock())
        request = SimpleNamespace(transport=transport, remote=HOST)
        for _ in range(2):
            await self.entry.forwarder.write_events(call, request, response, b"x")
        holder = call.answer_holder
        self.assertTrue(holder.is_paced)
        self.assertEqual(holder.on_evicted, transport.abort)
        self.assertLess(holder.size, 2 * (256 << 10), "memory is taken once")
        transport.get_write_buffer_size.side_effect = [1, 0]
        await self.entry.forwarder.write_events(call, request, response, b"x")
        self.assertEqual(holder.size, 0)
        transport.get_write_buffer_size.side_effect = None
        await self.entry.forwarder.write_events(call, request, response, b"x")
        self.assertGreater(holder.size, 0)


if __name__ == "__main__":
    unittest.main()
