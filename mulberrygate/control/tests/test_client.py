"""Tests of the client of the control leader."""

from __future__ import annotations

import unittest
from unittest import mock

from mulberrygate.control.client import ControlClient
from mulberrygate.control.messages import ControlAnswer, FindLeader, ReadTable
from mulberrygate.peers.client import Unreachable


class Peers:
    """Peer client of three voters, which elect a leader after some questions."""

    def __init__(self, questions_until_elected):
        self.questions_left = questions_until_elected
        self.requests = []

    async def call(self, instance, message, _timeout_s):
        """Answer as a voter would."""
        if isinstance(message, FindLeader):
            self.questions_left -= 1
            is_leader = instance == "v2" and self.questions_left < 0
            return ControlAnswer(is_leader, "")
        self.requests.append((instance, message))
        return ControlAnswer(True)


class TestControlClient(unittest.IsolatedAsyncioTestCase):
    """Requests of an instance to the leader."""

    def client(self, questions_until_elected):
        """Return a client of voters that elect a leader after a number of questions."""
        self.peers = Peers(questions_until_elected)
        return ControlClient(self.peers, lambda: None, lambda: ["v1", "v2", "v3"])

    async def test_request_waits_for_the_end_of_an_election(self):
        """Guards against an operator's change that is lost to a short election."""
        with mock.patch("mulberrygate.control.client.RETRY_S", 0.0):
            answer = await self.client(7).request(ReadTable("routes"))
        self.assertEqual(answer, ControlAnswer(True))
        self.assertEqual(self.peers.requests, [("v2", ReadTable("routes"))])

    async def test_request_ends_without_a_leader(self):
        """Guards against an operator who waits for an answer for ever."""
        with mock.patch("mulberrygate.control.client.LEADER_WAIT_S", 0.05):
            answer = await self.client(10**6).request(ReadTable("routes"))
        self.assertIsInstance(answer, Unreachable)
        self.assertEqual((answer.instance, self.peers.requests), ("", []))


if __name__ == "__main__":
    unittest.main()
