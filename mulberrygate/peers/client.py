"""Client side of the peer protocol: one connection for each instance."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from grpclib.client import Channel
from grpclib.config import Configuration

from mulberrygate.core.clock import Stamp
from mulberrygate.core.wire import decode
from mulberrygate.peers import peer_grpc
from mulberrygate.peers.server import TOKEN_HEADER, PeerServer, make_frame

# A one-way message is given up after this time; its sender repeats what matters.
SEND_TIMEOUT_S = 2.0
# More one-way messages in flight to one instance than this are dropped, so that an instance that
# does not answer can't hold memory.
SEND_LIMIT = 256
# A connection with no call for this time is closed, so that connections do not add up at 360
# instances that meet random peers.
IDLE_CLOSE_S = 30.0


@dataclass(frozen=True)
class Unreachable:
    """An instance gave no answer in time; whether it handled the message is not known."""

    instance: str
    reason: str


class PeerClient:
    """Send messages to other instances by name.

    Parameters
    ==========
    server : PeerServer
        Server of this process; messages to this instance are handed to it directly.
    address_of : Callable[[str], str | None]
        Finds ``host:port`` of an instance.

    See Also
    ========
    mulberrygate.peers.server.PeerServer
    """

    def __init__(self, server: PeerServer, address_of: Callable[[str], str | None]):
        self.server = server
        self.address_of = address_of
        self.channels: dict[str, Channel] = {}
        self.used_at: dict[str, float] = {}
        self.tasks: set[asyncio.Task] = set()
        self.in_flight: dict[str, int] = {}
        self.blocked: set[str] = set()
        self.sent_bytes = 0
        self.sent_messages = 0

    def on(self, cls: type, handler: Any) -> None:
        """Register the handler of a message class at the server of this process."""
        self.server.on(cls, handler)

    async def call(self, instance: str, message: Any, timeout_s: float) -> Any | Unreachable:
        """Send a message and return the answer, or `Unreachable`."""
        if instance == self.server.instance:
            try:
                return await self.server.dispatch(message, instance)
            except Exception as error:
                return Unreachable(instance, f"{type(error).__name__}: {error}")
        address = self.address_of(instance)
        if address is None:
            return Unreachable(instance, "no address is known")
        return await self.call_address(address, message, timeout_s, instance)

    async def call_address(
        self, address: str, message: Any, timeout_s: float, instance: str = ""
    ) -> Any | Unreachable:
        """Send a message to an address and return the answer, or `Unreachable`."""
        name = instance or address
        if name in self.blocked or address in self.blocked:
            return Unreachable(name, "cut off by the partition switch")
        channel = self._channel(address)
        server = self.server
        frame = make_frame(message, server.instance, server.incarnation, server.clock)
        self.sent_bytes += len(frame.body)
        self.sent_messages += 1
        try:
            answer = await peer_grpc.PeerStub(channel).Call(
                frame, timeout=timeout_s, metadata={TOKEN_HEADER: server.token}
            )
        except TimeoutError:
            # The connection may have gone silent while new ones work.
            self._drop(address)
            return Unreachable(name, f"no answer within {timeout_s:g} s")
        except Exception as error:
            if not isinstance(error, asyncio.CancelledError) and not _is_answered(error):
                self._drop(address)
            return Unreachable(name, f"{type(error).__name__}: {error}")
        server.clock.receive(Stamp(answer.stamp_wall_ms, answer.stamp_count))
        try:
            return decode(answer.kind, answer.body)
        except ValueError as error:
            return Unreachable(name, str(error))

    def send(self, instance: str, message: Any) -> None:
        """Send a message without waiting; it may be lost."""
        self._send(instance, self.call(instance, message, SEND_TIMEOUT_S))

    def send_address(self, address: str, message: Any) -> None:
        """Send a message to an address without waiting; it may be lost."""
        self._send(address, self.call_address(address, message, SEND_TIMEOUT_S))

    def _send(self, target: str, call: Any) -> None:
        if self.in_flight.get(target, 0) >= SEND_LIMIT:
            call.close()
            return
        self.in_flight[target] = self.in_flight.get(target, 0) + 1
        task = asyncio.ensure_future(call)
        self.tasks.add(task)

        def done(finished: asyncio.Task) -> None:
            self.tasks.discard(finished)
            self.in_flight[target] -= 1
            if not self.in_flight[target]:
                del self.in_flight[target]
            if not finished.cancelled():
                finished.exception()

        task.add_done_callback(done)

    def _channel(self, address: str) -> Channel:
        self.used_at[address] = asyncio.get_running_loop().time()
        channel = self.channels.get(address)
        if channel is None:
            host, _, port = address.rpartition(":")
            channel = Channel(host, int(port), config=Configuration())
            self.channels[address] = channel
        return channel

    def _drop(self, address: str) -> None:
        channel = self.channels.pop(address, None)
        if channel is not None:
            channel.close()

    def close_idle(self) -> None:
        """Close connections that had no call for `IDLE_CLOSE_S`."""
        limit = asyncio.get_running_loop().time() - IDLE_CLOSE_S
        for address in [a for a in self.channels if self.used_at[a] < limit]:
            self._drop(address)

    async def close(self) -> None:
        """Close all connections and drop messages in flight."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for address in list(self.channels):
            self._drop(address)


def _is_answered(error: Exception) -> bool:
    """Return whether the other instance answered with an error, so the connection is sound."""
    status = getattr(error, "status", None)
    return status is not None and status.name in {
        "UNIMPLEMENTED",
        "INVALID_ARGUMENT",
        "INTERNAL",
        "UNAUTHENTICATED",
    }
