"""Tests of connections to endpoints through other entries, on loopback addresses."""

from __future__ import annotations

import asyncio
import random
import time
import unittest
from types import SimpleNamespace

from mulberrygate.forward.dialer import Dialer, connect_directly
from mulberrygate.forward.exchange import Broken, EndpointClient, NotSent, ProbeResult
from mulberrygate.forward.paths import DIRECT, Paths
from mulberrygate.forward.request import AnswerHead
from mulberrygate.forward.tests.support import Endpoint, whole
from mulberrygate.forward.tunnel import TunnelServer
from mulberrygate.standin.local import free_ports

HELPER, OTHER_HELPER = "127.0.0.51", "127.0.0.52"
STEP_TIMEOUT_S = 30.0


async def refuse(_host, _port):
    """Refuse a connection, as a link does that is gone."""
    raise ConnectionRefusedError("no link")


async def hang(_host, _port):
    """Never make a connection, as a link does that loses all packets."""
    await asyncio.Event().wait()


class PlainDialect:
    """Dialect that adds no header and takes each answer as it is."""

    def endpoint_headers(self, _call, _endpoint, _left_s, _last_event_id):
        """Return no headers."""
        return {}

    def answer_head(self, _call, response):
        """Return the head of an answer that counts as the endpoint's own."""
        return AnswerHead(status=response.status, is_turned_down=False, is_genuine=True)


class TestTunnels(unittest.IsolatedAsyncioTestCase):
    """An entry without links to an endpoint, and entries that reach it."""

    async def asyncSetUp(self):
        (self.port,) = free_ports(1)
        self.ways = []
        self.known = set()
        self.servers = {}

    async def start_helper(self, name, connect=connect_directly, paths=None):
        """Start the tunnels of another entry."""
        paths = paths or Paths(name, random.Random(0))
        server = TunnelServer(
            lambda address: address in self.known and not paths.is_direct_doubtful(address),
            connect,
            8,
        )
        await server.start(name, self.port)
        self.addAsyncCleanup(server.close)
        self.servers[name] = server

    def open_client(self, connect, entries):
        """Return the client of an entry whose direct connections are made by a function."""
        dialer = Dialer(
            Paths("self", random.Random(0)),
            lambda: entries,
            self.port,
            time.monotonic,
            lambda address, way: self.ways.append(way),
            connect,
        )
        client = EndpointClient(PlainDialect(), dialer)
        self.addAsyncCleanup(client.close)
        return client

    async def start_endpoint(self, answer=None):
        """Start an endpoint that the helpers know."""
        endpoint = await Endpoint("e1", answer or whole()).start()
        self.addAsyncCleanup(endpoint.close)
        self.known.add(endpoint.address)
        return endpoint

    async def send(self, client, endpoint):
        """Send a request and return its exchange."""
        head = SimpleNamespace(path="/", method="POST")
        call = SimpleNamespace(head=head, body=b"question", body_holder=None, answer_holder=None)
        return await client.send(call, endpoint.name, endpoint.address, 5.0)

    async def test_requests_reach_the_endpoint_once(self):
        """Guards against callers that get nothing at an entry that has lost its links."""
        await self.start_helper(HELPER)
        for connect in (refuse, hang):
            with self.subTest(connect=connect.__name__):
                endpoint = await self.start_endpoint()
                client = self.open_client(connect, [HELPER])
                for _ in range(3):
                    exchange = await self.send(client, endpoint)
                    self.assertEqual(await exchange.read(), b"done")
                    exchange.close()
                self.assertEqual(len(endpoint.requests), 3)
        self.assertEqual(self.ways, [HELPER, HELPER])

    async def test_direct_links_are_used_again(self):
        """Guards against an entry that uses others for good once its links are back."""
        endpoint = await self.start_endpoint()
        await self.start_helper(HELPER)
        client = self.open_client(refuse, [HELPER])
        (await self.send(client, endpoint)).close()
        client.dialer.connect = connect_directly
        async with asyncio.timeout(STEP_TIMEOUT_S):
            while self.ways[-1] != DIRECT:
                (await self.send(client, endpoint)).close()
                await asyncio.sleep(0.1)

    async def test_ended_endpoint_is_told_from_lost_links(self):
        """Guards against asking other entries again and again for an endpoint that has ended."""
        endpoint = await self.start_endpoint()
        await self.start_helper(HELPER)
        await endpoint.close()
        client = self.open_client(connect_directly, [HELPER])
        with self.assertRaises(NotSent) as caught:
            await self.send(client, endpoint)
        self.assertTrue(caught.exception.is_endpoint_down)
        self.assertEqual(await client.probe(endpoint.address), ProbeResult.REFUSES)
        ways = client.dialer.paths.plan(endpoint.address, [HELPER], time.monotonic())
        self.assertEqual(ways, [DIRECT])

    async def test_one_helper_alone_gives_no_verdict(self):
        """Guards against blaming an endpoint since two entries lost their links together."""
        endpoint = await self.start_endpoint()
        await self.start_helper(HELPER, refuse)
        client = self.open_client(hang, [HELPER, OTHER_HELPER])
        with self.assertRaises(NotSent) as caught:
            await self.send(client, endpoint)
        self.assertFalse(caught.exception.is_endpoint_down)

    async def test_entry_that_has_lost_its_links_too_opens_no_tunnel(self):
        """Guards against tunnels that lead from one entry without links to another."""
        endpoint = await self.start_endpoint()
        paths = Paths(HELPER, random.Random(0))
        paths.record_open(endpoint.address, OTHER_HELPER, time.monotonic())
        await self.start_helper(HELPER, paths=paths)
        client = self.open_client(refuse, [HELPER])
        with self.assertRaises(NotSent) as caught:
            await self.send(client, endpoint)
        self.assertFalse(caught.exception.is_endpoint_down)
        self.assertEqual(await client.probe(endpoint.address), ProbeResult.UNKNOWN)
        self.assertEqual(endpoint.requests, [])
        await self.start_helper(OTHER_HELPER)
        client.dialer.list_entries = lambda: [HELPER, OTHER_HELPER]
        (await self.send(client, endpoint)).close()
        self.assertEqual(self.ways, [OTHER_HELPER])

    async def test_only_endpoints_are_connected_to(self):
        """Guards against an entry that connects to any address for others."""
        endpoint = await self.start_endpoint()
        self.known.clear()
        await self.start_helper(HELPER)
        with self.assertRaises(NotSent):
            await self.send(self.open_client(refuse, [HELPER]), endpoint)
        self.assertEqual(endpoint.requests, [])

    async def test_caller_that_leaves_ends_the_request(self):
        """Guards against an endpoint that goes on with a request whose caller has left."""
        endpoint = await self.start_endpoint(self.answer_slowly)
        await self.start_helper(HELPER)
        client = self.open_client(refuse, [HELPER])
        task = asyncio.ensure_future(self.send(client, endpoint))
        await asyncio.wait_for(endpoint.asked.wait(), STEP_TIMEOUT_S)
        task.cancel()
        await asyncio.wait_for(endpoint.left.wait(), STEP_TIMEOUT_S)

    @staticmethod
    async def answer_slowly(endpoint, reader, _writer, _head):
        """Answer nothing, and note when the caller has left."""
        await reader.read()
        endpoint.left.set()

    async def test_answer_without_a_length_does_not_look_complete(self):
        """Guards against a cut-off answer that looks complete, as its tunnel just ended."""

        async def answer(_endpoint, _reader, writer, _head):
            writer.write(b"HTTP/1.1 200 OK\r\n\r\npart")

        endpoint = await self.start_endpoint(answer)
        await self.start_helper(HELPER)
        exchange = await self.send(self.open_client(refuse, [HELPER]), endpoint)
        with self.assertRaises(Broken):
            await exchange.read()

    async def test_large_answer_passes_through_a_bounded_buffer(self):
        """Guards against a tunnel that loses bytes when one side is slower than the other."""
        size = 15 << 20

        async def answer(_endpoint, _reader, writer, _head):
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
            writer.write(b"x" * size)
            await writer.drain()

        endpoint = await self.start_endpoint(answer)
        await self.start_helper(HELPER)
        exchange = await self.send(self.open_client(refuse, [HELPER]), endpoint)
        await asyncio.sleep(0.2)
        (side,) = self.servers[HELPER].sides
        self.assertLess(side.transport.get_write_buffer_size(), 1 << 20)
        self.assertEqual(len(await exchange.read()), size)

    async def test_planned_stop_waits_for_open_tunnels(self):
        """Guards against a planned stop that cuts off requests of other entries."""
        is_released = asyncio.Event()

        async def answer(_endpoint, _reader, writer, _head):
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n")
            await is_released.wait()
            writer.write(b"done")

        endpoint = await self.start_endpoint(answer)
        await self.start_helper(HELPER)
        exchange = await self.send(self.open_client(refuse, [HELPER]), endpoint)
        stop = asyncio.ensure_future(self.servers[HELPER].wait_idle(STEP_TIMEOUT_S))
        await asyncio.sleep(0.05)
        self.assertFalse(stop.done())
        is_released.set()
        self.assertEqual(await exchange.read(), b"done")
        exchange.close()
        await asyncio.wait_for(stop, STEP_TIMEOUT_S)


class TestPaths(unittest.TestCase):
    """Choice of the ways."""

    def test_entries_that_help_come_first_and_share_the_load(self):
        """Guards against asking entries without links again, and against one helper for all."""
        paths = Paths("a", random.Random(0))
        entries = [f"e{number}" for number in range(10)]
        helping = entries[:3]
        for number, name in enumerate(helping):
            paths.record_open(f"10.0.0.{number}:80", name, 0.0)
        paths.record_relay_failure("e9", 0.0)
        plans = [paths.plan("10.0.0.1:80", entries, 0.5) for _ in range(60)]
        self.assertEqual({plan[0] for plan in plans}, set(helping))
        self.assertTrue(all("e9" not in plan for plan in plans))
        self.assertTrue(any("e9" in paths.plan("new", entries, 9.0) for _ in range(60)))


if __name__ == "__main__":
    unittest.main()
