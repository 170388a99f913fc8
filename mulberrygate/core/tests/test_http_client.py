"""Tests of the HTTP client sessions."""

from __future__ import annotations

import ast
import asyncio
import pathlib
import unittest

import aiohttp

import mulberrygate
from mulberrygate.core.http_client import open_session

HOST = "127.0.0.1"
METHODS = ("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST")
FACTORY = pathlib.Path("core", "http_client.py")


class TestOpenSession(unittest.IsolatedAsyncioTestCase):
    """Requests to a server that closes each connection without an answer."""

    async def asyncSetUp(self):
        self.received = 0
        server = await asyncio.start_server(self.serve, HOST, 0)
        self.addCleanup(server.close)
        self.url = f"http://{HOST}:{server.sockets[0].getsockname()[1]}/"

    async def serve(self, reader, writer):
        """Read the head of a request and reset the connection."""
        await reader.readuntil(b"\r\n\r\n")
        self.received += 1
        writer.transport.abort()

    async def test_request_without_an_answer_is_sent_once(self):
        """Guards against a library that repeats a request whose answer was lost."""
        async with open_session() as session:
            for method in METHODS:
                with self.subTest(method):
                    self.received = 0
                    with self.assertRaises(aiohttp.ClientError):
                        await session.request(method, self.url)
                    self.assertEqual(self.received, 1)


class TestAllSessions(unittest.TestCase):
    """Sources of the package."""

    def test_sessions_are_made_in_one_place(self):
        """Guards against a client that repeats requests because it makes its own session."""
        root = pathlib.Path(mulberrygate.__file__).parent
        found = []
        for path in root.rglob("*.py"):
            relative = path.relative_to(root)
            if "tests" in relative.parts or relative == FACTORY:
                continue
            for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
                if isinstance(node, ast.Call) and getattr(node.func, "attr", "") == "ClientSession":
                    found.append(f"{relative}:{node.lineno}")
        self.assertEqual(found, [])


if __name__ == "__main__":
    unittest.main()
