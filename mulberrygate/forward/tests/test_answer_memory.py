"""Tests of the memory that answers to callers hold, with scripted endpoints on loopback."""

from __future__ import annotations

import unittest
from unittest import mock

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


if __name__ == "__main__":
    unittest.main()
