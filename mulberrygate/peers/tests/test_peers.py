"""Tests of the peer protocol over loopback."""

import asyncio
import socket
import unittest
from unittest import mock

import attrs

from mulberrygate.core import HybridClock, encode, message
from mulberrygate.peers import PeerClient, PeerServer, Unreachable

TOKEN = "a-token-for-tests-only"


@message("test_peers.question")
@attrs.frozen
class Question:
    """Message with one field."""

    text: str


def free_port() -> int:
    """Return a free port."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def make_server(name: str, token: str = TOKEN) -> PeerServer:
    """Return a server with a clock at a fixed time."""
    return PeerServer(name, 1, token, HybridClock(lambda: 1000))


class PeerTest(unittest.IsolatedAsyncioTestCase):
    """Calls between two instances in one event loop."""

    async def asyncSetUp(self):
        self.port = free_port()
        self.server = make_server("b")
        self.server.on(Question, lambda m, sender: Question(f"{m.text} from {sender}"))
        await self.server.start("127.0.0.1", self.port)
        self.client = PeerClient(make_server("a"), lambda _: f"127.0.0.1:{self.port}")

    async def asyncTearDown(self):
        await self.client.close()
        await self.server.close()

    async def test_answer_comes_from_the_handler(self):
        """Guards against handlers that get a wrong message or sender's name."""
        answer = await self.client.call("b", Question("hello"), 5.0)
        self.assertEqual(answer, Question("hello from a"))

    async def test_message_that_cannot_be_encoded_is_lost_alone(self):
        """Guards against one message whose encoding ends the task that sends others after it."""
        self.client.send("b", Question("\ud800"))
        self.assertIsInstance(await self.client.call("b", Question("\ud800"), 5.0), Unreachable)
        self.server.on(Question, lambda m, _: Question("\ud800" if m.text == "bad" else m.text))
        self.assertIsInstance(await self.client.call("b", Question("bad"), 5.0), Unreachable)
        self.assertEqual(await self.client.call("b", Question("good"), 5.0), Question("good"))

    async def test_answers_are_counted_as_sent(self):
        """Guards against byte counts that leave out the answers."""
        sent = []
        answering = PeerClient(self.server, lambda _: None, lambda *counted: sent.append(counted))
        await self.client.call("b", Question("hello"), 5.0)
        _, body = encode(Question("hello from a"))
        self.assertEqual(sent, [("test_peers.question", len(body))])
        await answering.close()

    async def test_wrong_token_is_refused(self):
        """Guards against a client without the shared token whose messages are handled."""
        unauthorized = PeerClient(
            make_server("c", "another-token-entirely"), self.client.address_of
        )
        answer = await unauthorized.call("b", Question("hello"), 5.0)
        self.assertIsInstance(answer, Unreachable)
        self.assertIn("token", answer.reason)
        await unauthorized.close()

    async def test_blocked_sender_is_cut_off(self):
        """Guards against a blocked sender whose messages are answered."""
        self.server.blocked.add("a")
        self.assertIsInstance(await self.client.call("b", Question("x"), 0.05), Unreachable)

    async def test_call_after_the_other_instance_restarted(self):
        """Guards against a link that stays broken after its instance has restarted."""
        await self.client.call("b", Question("first"), 5.0)
        await self.server.close()
        self.assertIsInstance(await self.client.call("b", Question("x"), 5.0), Unreachable)
        again = make_server("b")
        again.on(Question, lambda m, sender: m)
        await again.start("127.0.0.1", self.port)
        self.addAsyncCleanup(again.close)
        answer = Unreachable("b", "")
        for _ in range(100):
            answer = await self.client.call("b", Question("second"), 5.0)
            if answer == Question("second"):
                break
            await asyncio.sleep(0.05)
        self.assertEqual(answer, Question("second"))

    async def test_silent_link_is_found_when_the_other_instance_connects_again(self):
        """Guards against one-way messages on a silent link after the other end has reconnected.

        Its end of the silent connections has failed then, but a link that only sends doesn't see
        that for seconds.
        """
        back_port = free_port()
        back_server = self.client.server
        await back_server.start("127.0.0.1", back_port)
        self.addAsyncCleanup(back_server.close)
        back = PeerClient(self.server, lambda _: f"127.0.0.1:{back_port}")
        self.addAsyncCleanup(back.close)
        back_server.on(Question, lambda m, sender: m)
        await back.call("a", Question("opens the link"), 5.0)
        back_server.blocked.add("b")
        with mock.patch("mulberrygate.peers.link.PROBE_TIMEOUT_S", 0.1):
            self.client.send("b", Question("opens the other link"))
            async with asyncio.timeout(5.0):
                while back.links:  # noqa: ASYNC110
                    await asyncio.sleep(0.02)

    async def test_many_calls_get_their_own_answers(self):
        """Guards against answers on one stream that are matched to the wrong calls."""
        calls = [self.client.call("b", Question(str(n)), 5.0) for n in range(200)]
        answers = await asyncio.gather(*calls)
        self.assertEqual([a.text for a in answers], [f"{n} from a" for n in range(200)])

    async def test_call_to_silent_instance_times_out(self):
        """Guards against a call that waits forever for an instance that doesn't answer."""

        async def never(_message, _sender):
            await asyncio.Event().wait()

        self.server.on(Question, never)
        self.assertIsInstance(await self.client.call("b", Question("x"), 0.05), Unreachable)


if __name__ == "__main__":
    unittest.main()
