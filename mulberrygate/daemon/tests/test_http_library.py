"""Tests of what the bounded connections rely on in private parts of the HTTP library.

`mulberrygate.daemon.bounded_connection` and `mulberrygate.daemon.http_server` use attributes that
the library may change in any version. A failure here names the attribute.
"""

from __future__ import annotations

import asyncio
import unittest

import aiohttp
from aiohttp import web

from mulberrygate.daemon.http_server import HttpServer, make_server

VERSION = f"aiohttp {aiohttp.__version__}"
HOST = "127.0.0.1"
REQUEST = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n"


class TestHttpLibrary(unittest.IsolatedAsyncioTestCase):
    """States of one connection, seen through the attributes that the product reads."""

    async def asyncSetUp(self):
        self.is_answered = asyncio.Event()
        self.http = HttpServer(make_server(self.answer), HOST, 0)
        await self.http.start()
        self.addAsyncCleanup(self.http.close)
        port = self.http.listener.sockets[0].getsockname()[1]
        self.reader, self.writer = await asyncio.open_connection(HOST, port)
        self.addCleanup(self.writer.transport.abort)
        await self.until(lambda: self.http.server.connections, "Server.connections")
        (self.connection,) = self.http.server.connections

    async def answer(self, request):
        """Answer once the test allows it."""
        await request.read()
        await self.is_answered.wait()
        return web.Response()

    async def until(self, condition, name):
        """Wait for a state that an attribute has to show."""
        try:
            async with asyncio.timeout(10):
                while not condition():  # noqa: ASYNC110 (the library has no event)
                    await asyncio.sleep(0.01)
        except TimeoutError:
            self.fail(f"{name} of {VERSION} doesn't show the expected state")

    def test_names(self):
        """Guards against attributes and methods that a version no longer has."""
        names = ("_waiter", "_messages", "_current_request", "_request_in_progress", "_manager")
        names += ("_buffer_paused", "_upgraded", "_pause_reading_for_buffer")
        names += ("_resume_reading_for_buffer", "_resume_reading_if_drained")
        for name in names:
            self.assertTrue(hasattr(self.connection, name), f"{VERSION}: RequestHandler.{name}")
        for name in ("_kwargs", "request_handler"):
            self.assertTrue(hasattr(self.http.server, name), f"{VERSION}: Server.{name}")
        self.assertIn("keepalive_timeout", self.http.server._kwargs, VERSION)
        self.assertEqual(self.http.server.request_handler, self.http._handle, VERSION)

    async def test_connection_that_waits(self):
        """Guards against heads that aren't counted, as the connection doesn't seem to wait."""
        connection = self.connection
        await self.until(
            lambda: connection._waiter is not None and not connection._waiter.done(), "_waiter"
        )
        self.assertEqual(len(connection._messages), 0, VERSION)
        self.assertIsNone(connection._current_request, VERSION)
        self.assertIs(connection._manager, self.http.server, VERSION)

    async def test_body_that_arrives(self):
        """Guards against bodies that are taken for requests sent ahead."""
        self.writer.write(REQUEST + b"12")
        connection = self.connection
        await self.until(lambda: connection._current_request is not None, "_current_request")
        self.assertTrue(connection._request_in_progress, VERSION)
        self.assertIsNone(connection._waiter, VERSION)
        self.assertFalse(connection._current_request.content.is_eof(), VERSION)
        self.writer.write(b"34")
        await self.until(lambda: connection._current_request.content.is_eof(), "content.is_eof")

    async def test_requests_sent_ahead(self):
        """Guards against requests sent ahead that aren't seen, and reading that isn't paused."""
        self.writer.write((REQUEST + b"1234") * 3)
        connection = self.connection
        await self.until(lambda: len(connection._messages) == 2, "_messages")
        self.assertTrue(all(payload.is_eof() for _, payload in connection._messages), VERSION)
        connection._pause_reading_for_buffer()
        self.assertTrue(connection._buffer_paused, VERSION)
        self.assertFalse(connection.transport.is_reading(), VERSION)
        connection._resume_reading_for_buffer()
        self.assertFalse(connection._buffer_paused, VERSION)
        self.assertTrue(connection.transport.is_reading(), VERSION)
        self.is_answered.set()
        await self.until(lambda: not connection._messages, "_messages")

    async def test_size_of_a_read(self):
        """Guards against reads of a size that the transport chooses by itself."""
        transport = self.connection.transport
        self.assertTrue(hasattr(transport, "max_size"), "the transport has no max_size")
        received = []
        feed = self.connection.data_received
        self.connection.data_received = lambda data: (received.append(len(data)), feed(data))
        transport.max_size = 1024
        body = bytes(3000)
        self.writer.write(b"POST / HTTP/1.1\r\nContent-Length: 3000\r\n\r\n" + body)
        await self.until(lambda: received, "data_received")
        self.assertLessEqual(received[0], 1024, "the transport doesn't keep to max_size")


if __name__ == "__main__":
    unittest.main()
