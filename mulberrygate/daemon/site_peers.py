"""Transport between the processes of a deployment."""

from __future__ import annotations

import time

from mulberrygate.core.clock import HybridClock
from mulberrygate.peers import PeerClient, PeerServer

# A fixed token: all processes run in one private network and share no secret.
PEER_TOKEN = "mulberrygate-site"


class SitePeers:
    """Peer server and client of one process; the name of an instance is its IP address.

    Attributes
    ==========
    incarnation : int
        Start of the process in milliseconds of Unix time; higher after each restart.
    """

    def __init__(self, site):
        self.site = site
        self.incarnation = time.time_ns() // 1_000_000
        clock = HybridClock(lambda: time.time_ns() // 1_000_000)
        self.server = PeerServer(site.instance, self.incarnation, PEER_TOKEN, clock)
        self.client = PeerClient(self.server, site.address_of)

    async def start(self) -> None:
        """Start the peer server."""
        await self.server.start(self.site.instance, self.site.peer_port)

    async def close(self) -> None:
        """Close the peer client and server."""
        await self.client.close()
        await self.server.close()
