"""Connections between processes are reset in the middle of agreements, changes and grants."""

from __future__ import annotations

import asyncio
import itertools
import random
import socket
import struct
import unittest

from mulberrygate.daemon.tests.site_support import CONTROLS, ENTRY, OTHER_ENTRY, SiteTestCase
from mulberrygate.forward.tests.support import REQUEST_ID, stream

CHANGES = 25
REQUESTS = 60
# Pauses between two resets, in seconds, about as long as an agreement takes.
LEAST_PAUSE_S, MOST_PAUSE_S = 0.02, 0.12
EVENTS = 3


def reset_link(link):
    """Reset the connection of a link to another process, if it has one."""
    protocol = link.channel._protocol
    if protocol is None or protocol.connection is None:
        return False
    transport = protocol.connection._transport
    # Without this option the system closes the connection in an orderly way.
    linger = struct.pack("ii", 1, 0)
    transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    transport.abort()
    return True


class TestResets(SiteTestCase):
    """Resets among control processes, and between them and entries."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.other_entry = await self.deployment.start_entry(OTHER_ENTRY)
        self.rng = random.Random(7)
        self.resets = 0
        await self.deployment.put_document(1)
        self.booking = await self.start_endpoint()
        await self.start_endpoint("care", stream(EVENTS), "e2")
        entries = self.deployment.entry_nodes
        await self.deployment.until(
            lambda: all(e.is_ready and len(e.roster.rows) == 2 for e in entries)
        )

    async def reset_connections(self):
        """Reset a random connection again and again."""
        deployment = self.deployment
        while True:
            nodes = [node.controller for node in deployment.nodes.values()]
            nodes += deployment.entry_nodes
            links = [link for node in nodes for link in node.peers.client.links.values()]
            if links:
                self.resets += reset_link(self.rng.choice(links))
            await asyncio.sleep(self.rng.uniform(LEAST_PAUSE_S, MOST_PAUSE_S))

    async def send_requests(self, path):
        """Send requests through both entries; return how many were answered with success."""
        served = 0
        for number in range(REQUESTS):
            entry = (ENTRY, OTHER_ENTRY)[number % 2]
            headers = {REQUEST_ID: f"{path}{number}"}
            status, body = await self.deployment.send_request(path, entry, **headers)
            served += status == 200
            if status == 200 and path.startswith("/stream"):
                self.assertEqual(body.count(b"id: "), EVENTS)
            await asyncio.sleep(0.01)
        return served

    async def put_changes(self):
        """Send changes to one control process after the other, and read each back elsewhere.

        They go on until there were enough resets, and the last version is returned.
        """
        names = itertools.cycle(CONTROLS)
        version = 1
        while version <= CHANGES or self.resets <= CHANGES:
            version += 1
            await self.deployment.put_document(version, next(names))
            reader = self.rng.choice(CONTROLS)
            self.assertEqual(await self.deployment.read_version(reader), version)
        return version

    async def test_nothing_is_lost_or_doubled_while_connections_are_reset(self):
        """Guards against changes, grants or calls that a reset connection loses or repeats."""
        resets = asyncio.ensure_future(self.reset_connections())
        try:
            last_version, calls, streams = await asyncio.gather(
                self.put_changes(), self.send_requests("/plain/1"), self.send_requests("/stream/1")
            )
        finally:
            resets.cancel()
        self.assertGreater(self.resets, CHANGES)
        # Calls that may run once only are neither repeated nor refused without a reason.
        self.assertEqual(calls, REQUESTS)
        self.assertEqual(len(self.booking.requests), REQUESTS)
        self.assertEqual(streams, REQUESTS)
        for entry in self.deployment.entry_nodes:
            await self.deployment.until(lambda e=entry: e.forwarder.index.version == last_version)
        for name in CONTROLS:
            self.assertEqual(await self.deployment.read_version(name), last_version)


if __name__ == "__main__":
    unittest.main()
