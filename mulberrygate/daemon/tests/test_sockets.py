"""Tests of sockets that listen before the HTTP server starts."""

import asyncio
import unittest

import aiohttp
from aiohttp import web

from mulberrygate.daemon.http_server import HttpServer, make_server
from mulberrygate.daemon.sockets import Listeners, split_address


async def answer(_request):
    """Return the same answer to any request."""
    return web.Response(text="served")


class ListenersTest(unittest.IsolatedAsyncioTestCase):
    """Listening sockets opened at the start of a process, and the server that takes them."""

    async def test_connection_made_before_the_server_is_served_by_it(self):
        """Guards against refused connections while the program is imported."""
        listener = Listeners(("127.0.0.1:0",)).get("127.0.0.1:0")
        host, port = listener.getsockname()
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        http = HttpServer(make_server(answer), host, port, listening_socket=listener)
        await http.start()
        self.assertIn(b"served", await reader.read())
        writer.close()
        await http.close()

    async def test_address_in_use_is_left_to_the_server(self):
        """Guards against a process that exits without a log line if an address is in use."""
        first = Listeners(("127.0.0.1:0",)).get("127.0.0.1:0")
        host, port = first.getsockname()
        second = Listeners((f"{host}:{port}",))
        self.assertEqual(second.sockets, {})
        self.assertIsInstance(second.bind_errors[f"{host}:{port}"], OSError)
        with self.assertRaises(OSError):
            await HttpServer(make_server(answer), host, port).start()
        first.close()

    def test_bad_addresses_are_left_out(self):
        """Guards against an unhandled exception for invalid addresses in the settings."""
        bad = ("", "10.0.0.1", "10.0.0.1:x", "127.0.0.1:99999", ":::")
        listeners = Listeners(bad)
        self.assertEqual((listeners.sockets, set(listeners.bind_errors)), ({}, set(bad)))

    async def test_server_without_a_socket_opens_one(self):
        """Guards against a server that doesn't start without a given socket."""
        http = HttpServer(make_server(answer), "127.0.0.1", 0)
        await http.start()
        port = http.listener.sockets[0].getsockname()[1]
        async with aiohttp.ClientSession() as session:
            async with session.get(f"http://127.0.0.1:{port}/") as got:
                self.assertEqual(got.status, 200)
        await http.close()

    def test_split_address(self):
        """Guards against a port returned as text."""
        self.assertEqual(split_address("10.0.0.1:80"), ("10.0.0.1", 80))


if __name__ == "__main__":
    unittest.main()
