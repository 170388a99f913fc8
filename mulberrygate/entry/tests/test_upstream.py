"""Tests of the HTTP client for endpoints."""

import asyncio
import unittest

from mulberrygate.entry.upstream import Broken, Connected, Upstream

HOST = "127.0.0.1"


class TestUpstream(unittest.IsolatedAsyncioTestCase):
    """Calls to a scripted server."""

    async def asyncSetUp(self):
        self.calls = 0
        self.is_broken = False
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.upstream = Upstream()
        self.addCleanup(self.server.close)
        self.addAsyncCleanup(self.upstream.close)

    async def serve(self, reader, writer):
        """Answer each call with its number; on a reused connection the last answer comes again."""
        previous = b""
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self.calls += 1
                if self.is_broken:
                    writer.transport.abort()
                    return
                answer = b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nanswer %d" % self.calls
                writer.write(previous + answer)
                previous = answer
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def call(self):
        """Return the body of an answer."""
        opened = await self.upstream.open("GET", f"http://{HOST}:{self.port}/stock", {}, None, 5.0)
        self.assertIsInstance(opened, Connected)
        body = await opened.response.read()
        opened.response.release()
        return body

    async def test_call_whose_connection_breaks_is_sent_once(self):
        """Guards against a call that runs twice since the HTTP client repeats it by itself."""
        self.is_broken = True
        for method in ("GET", "PUT", "DELETE", "POST"):
            with self.subTest(method):
                self.calls = 0
                url = f"http://{HOST}:{self.port}/stock"
                self.assertIsInstance(await self.upstream.open(method, url, {}, None, 5.0), Broken)
                self.assertEqual(self.calls, 1)

    async def test_late_second_copy_of_an_answer(self):
        """Guards against taking a second copy of an answer for the answer to the next call."""
        self.assertEqual(await self.call(), b"answer 1")
        self.assertEqual(await self.call(), b"answer 2")


if __name__ == "__main__":
    unittest.main()
