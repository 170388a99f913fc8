"""Composition of a control process: controller and HTTP interface."""

from __future__ import annotations

import asyncio

from mulberrygate.core.memory_gate import SWEEP_INTERVAL_S, MemoryGate
from mulberrygate.daemon.controller import Controller
from mulberrygate.daemon.http_server import RESERVED_SOCKETS, HttpServer, make_server
from mulberrygate.daemon.sockets import Listeners, split_address
from mulberrygate.observe.jsonlines import JsonLines

# Time for the calls in progress to end before the HTTP server closes.
CALL_DRAIN_S = 1.0


class ControlNode:
    """Control process: a controller and the HTTP server of its interface.

    Parameters
    ==========
    make_api : Callable[[Controller], Any]
        Creates the HTTP interface; its ``handle`` method answers requests.
    started_at : float or None
        Monotonic time at which the process started, if the previous process on the same disk had
        ended by then.
    listeners : Listeners or None
        Sockets that already listen.
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
        self.gate = self.api.gate = MemoryGate(site.limits.memory_bytes, lines)
        self.http = HttpServer(
            make_server(self.api.handle, decompress=True),
            host,
            port,
            listening_socket=listening_socket,
            gate=self.gate,
            max_connections=site.limits.sockets - RESERVED_SOCKETS,
        )

    async def start(self) -> None:
        """Start the controller and the HTTP server."""
        await self.controller.start()
        await self.http.start()
        timers = self.controller.timers
        timers.every(SWEEP_INTERVAL_S, lambda: self.http.sweep(timers.now()), "http.sweep")

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds after a change of the settings."""
        self.controller.set_seeds(seeds)

    async def stop(self) -> None:
        """Stop accepting connections, let calls in progress end, and stop."""
        await self.http.stop_listening()
        await asyncio.sleep(CALL_DRAIN_S)
        await self.http.close()
        await self.controller.stop()
