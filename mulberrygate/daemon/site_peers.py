"""Transport to the other processes of a deployment."""

from __future__ import annotations

import time

from mulberrygate.core.clock import HybridClock
from mulberrygate.peers import PeerClient, PeerServer

# All processes of a deployment run in one private network and have no secret of their own.
PEER_TOKEN = "mulberrygate-site"


class SitePeers:
    """Peer server and client of one process; an instance's name is its IP address."""

    def __init__(self, site):
        self.site = site
        self.incarnation = time.time_ns() // 1_000_000
        clock = HybridClock(lambda: time.time_ns() // 1_000_000)
        self.server = PeerServer(site.instance, self.incarnation, PEER_TOKEN, clock)
        self.client = PeerClient(self.server, site.address_of)

    async def start(self) -> None:
        """Listen for other processes."""
        await self.server.start(self.site.instance, self.site.peer_port)

    async def close(self) -> None:
        """Close all connections."""
        await self.client.close()
        await self.server.close()
