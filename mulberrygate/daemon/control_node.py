"""Control process with its HTTP interface."""

from __future__ import annotations

import asyncio

from mulberrygate.daemon.controller import Controller
from mulberrygate.daemon.http_server import HttpServer
from mulberrygate.daemon.sockets import Listeners, split_address
from mulberrygate.observe.jsonlines import JsonLines

# Calls that have begun end within this time.
CALL_DRAIN_S = 1.0


class ControlNode:
    """Controller and the HTTP server of its interface.

    Parameters
    ==========
    make_api : Callable[[Controller], Any]
        Makes the interface, whose ``handle`` answers calls.
    started_at : float or None
        Monotonic time at which the process started, if the disk's former process had ended then.
    listeners : Listeners or None
        Sockets that listen already.
    """

    def __init__(
        self,
        site,
        lines: JsonLines,
        decode,
        make_api,
        started_at: float | None = None,
        listeners=None,
    ):
        self.site = site
        self.controller = Controller(site, lines, decode, started_at)
        self.api = make_api(self.controller)
        host, port = split_address(site.control_address)
        listening_socket = (listeners or Listeners()).get(site.control_address)
        self.http = HttpServer(self.api.handle, host, port, listening_socket=listening_socket)

    async def start(self) -> None:
        """Start the controller and listen."""
        await self.controller.start()
        await self.http.start()

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Take the seeds of changed settings."""
        self.controller.set_seeds(seeds)

    async def stop(self) -> None:
        """Stop listening, end what has begun and stop."""
        await self.http.stop_listening()
        await asyncio.sleep(CALL_DRAIN_S)
        await self.http.close()
        await self.controller.stop()
