"""Client side of the peer protocol, with one link for each instance."""

from __future__ import annotations

import asyncio
import inspect
from collections.abc import Callable, Coroutine
from typing import Any

from mulberrygate.core.wire import Ack, EncodeError, decode, encode
from mulberrygate.observe.logs import logger
from mulberrygate.peers.link import Link, Unreachable
from mulberrygate.peers.server import Handler, PeerServer

log = logger("peers")

__all__ = ["PeerClient", "Unreachable"]

# Links without a message for this time are closed. Otherwise 360 instances that exchange messages
# with random peers would accumulate connections.
IDLE_CLOSE_S = 30.0
# Delay after a failed link before the next connection to the same address.
RETRY_S = 0.25


class PeerClient:
    """Send messages to other instances by name.

    Parameters
    ==========
    server : PeerServer
        Server of this process; it handles messages to this instance directly.
    address_of : Callable[[str], str | None]
        Returns ``host:port`` of an instance, ``None`` if it is unknown.
    on_sent : Callable[[str, int], None]
        Called with the kind and the body size in bytes of each sent message, answers included.

    See Also
    ========
    mulberrygate.peers.server.PeerServer
    """

    def __init__(
        self,
        server: PeerServer,
        address_of: Callable[[str], str | None],
        on_sent: Callable[[str, int], None] = lambda kind, size: None,
    ):
        self.server = server
        self.address_of = address_of
        self.on_sent = server.on_sent = on_sent
        server.on_connected = self.check_link
        self.links: dict[str, Link] = {}
        self.failed_at: dict[str, float] = {}
        self.tasks: set[asyncio.Task] = set()
        self.blocked: set[str] = set()

    def on(self, cls: type, handler: Handler) -> None:
        """Register the handler of a message class with the server of this process."""
        self.server.on(cls, handler)

    async def call(self, instance: str, message: Any, timeout_s: float) -> Any | Unreachable:
        """Send a message and return the answer, or `Unreachable`."""
        if instance == self.server.instance:
            return await self._call_self(message)
        address = self.address_of(instance)
        if address is None:
            return Unreachable(instance, "no address is known")
        return await self.call_address(address, message, timeout_s, instance)

    async def _call_self(self, message: Any) -> Any | Unreachable:
        instance = self.server.instance
        try:
            answer = self.server.dispatch(message, instance)
            if inspect.isawaitable(answer):
                answer = await answer
        except Exception as error:
            log.error("A message handler failed.", error=repr(error))
            return Unreachable(instance, f"{type(error).__name__}: {error}")
        return Ack() if answer is None else answer

    async def call_address(
        self, address: str, message: Any, timeout_s: float, instance: str = ""
    ) -> Any | Unreachable:
        """Send a message to an address and return the answer, or `Unreachable`."""
        name = instance or address
        link = self._link(address, instance)
        if isinstance(link, Unreachable):
            return link
        encoded = self._encode(message, name)
        if isinstance(encoded, Unreachable):
            return encoded
        kind, body = encoded
        self.on_sent(kind, len(body))
        frame = await link.call(kind, body, timeout_s)
        if isinstance(frame, Unreachable):
            return Unreachable(name, frame.reason)
        if frame.error:
            return Unreachable(name, frame.error)
        try:
            return decode(frame.kind, frame.body)
        except ValueError as error:
            return Unreachable(name, str(error))

    def send(self, instance: str, message: Any) -> None:
        """Send a message without waiting for an answer or a delivery guarantee."""
        if instance == self.server.instance:
            self._spawn(self._call_self(message))
            return
        address = self.address_of(instance)
        if address is None:
            return
        link = self._link(address, instance)
        if not isinstance(link, Link):
            return
        encoded = self._encode(message, instance)
        if not isinstance(encoded, Unreachable):
            kind, body = encoded
            self.on_sent(kind, len(body))
            link.send(kind, body)

    @staticmethod
    def _encode(message: Any, instance: str) -> tuple[str, bytes] | Unreachable:
        """Encode a message; one that can't be encoded is lost, and its sender goes on."""
        try:
            return encode(message)
        except EncodeError as error:
            log.error("A message can't be encoded.", to=instance, error=str(error))
            return Unreachable(instance, str(error))

    def check_link(self, instance: str) -> None:
        """Check the link to an instance that has just connected to this one.

        Explanation
        ===========
        An instance connects again when its own link has failed, and then the one in the other
        direction may have gone silent as well. One-way messages on it would be lost.
        """
        link = self.links.get(self.address_of(instance) or "")
        if link is not None:
            link.probe()

    def _spawn(self, work: Coroutine) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _link(self, address: str, instance: str) -> Link | Unreachable:
        """Return the link to an address, and create it if there is none."""
        name = instance or address
        if name in self.blocked or address in self.blocked:
            return Unreachable(name, "cut off by the partition switch")
        link = self.links.get(address)
        if link is not None:
            return link
        now = asyncio.get_running_loop().time()
        if now < self.failed_at.get(address, float("-inf")) + RETRY_S:
            return Unreachable(name, "the last connection failed just now")
        link = self.links[address] = Link(self.server, address, self._on_link_end)
        return link

    def _on_link_end(self, link: Link) -> None:
        if self.links.get(link.address) is link:
            del self.links[link.address]
            self.failed_at[link.address] = asyncio.get_running_loop().time()

    def close_idle(self) -> None:
        """Close links without a message for `IDLE_CLOSE_S`."""
        now = asyncio.get_running_loop().time()
        for link in list(self.links.values()):
            if now - link.last_sent_at > IDLE_CLOSE_S and not link.pending:
                del self.links[link.address]
                link.end("idle")
        self.failed_at = {a: at for a, at in self.failed_at.items() if now < at + RETRY_S}

    async def close(self) -> None:
        """Close all links and abandon messages in flight."""
        tasks = [*self.tasks, *(link.task for link in self.links.values())]
        for link in list(self.links.values()):
            link.end("the process stops")
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
