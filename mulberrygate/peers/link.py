"""Stream to one other instance, which matches answers to calls."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from grpclib.client import Channel

from mulberrygate.core.clock import Stamp
from mulberrygate.peers import peer_grpc
from mulberrygate.peers.outbox import Outbox
from mulberrygate.peers.peer_pb2 import Batch, Frame
from mulberrygate.peers.server import TOKEN_HEADER, PeerServer

CONNECT_TIMEOUT_S = 2.0
# A one-way message on a stream that has received nothing for this time is followed by a probe,
# since an existing connection can stall while new ones work.
PROBE_AFTER_S = 2.0
PROBE_TIMEOUT_S = 1.0
PROBE_KIND = "core.ack"


@dataclass(frozen=True)
class Unreachable:
    """No answer arrived from an instance; it may or may not have handled the message."""

    instance: str
    reason: str


class Link:
    """Stream to the server of one address.

    Explanation
    ===========
    One stream carries all messages. A separate gRPC call for each message took more than twice the
    processor time (`bench/agreement.py`, 5 voters: 35.3 against 16.0 ms per second at the leader).
    The link ends when its connection breaks, or when nothing is received during the whole timeout
    of a call or a probe. The client then creates a new link.

    Parameters
    ==========
    server : PeerServer
        Server of this process, for its identity, token and clock.
    address : str
        ``host:port`` of the other instance.
    on_end : Callable[[Link], None]
        Called once when the link has ended.
    """

    def __init__(self, server: PeerServer, address: str, on_end: Callable[[Link], None]):
        self.server = server
        self.address = address
        self.on_end = on_end
        self.outbox = Outbox(server.instance, server.incarnation, server.clock)
        self.pending: dict[int, asyncio.Future] = {}
        self.last_id = 0
        loop = asyncio.get_running_loop()
        self.last_sent_at = self.received_at = loop.time()
        self.is_probing = False
        self.is_ended = False
        host, _, port = address.rpartition(":")
        self.channel = Channel(host, int(port))
        self.task = asyncio.ensure_future(self._run())

    async def _run(self) -> None:
        reason = "the connection ended"
        writer: asyncio.Task | None = None
        try:
            stub = peer_grpc.PeerStub(self.channel)
            async with stub.Exchange.open(metadata={TOKEN_HEADER: self.server.token}) as stream:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await stream.send_request()
                writer = asyncio.ensure_future(self.outbox.write_to(stream))
                async for batch in stream:
                    self._receive(batch)
        except Exception as error:
            reason = str(error) or type(error).__name__
        finally:
            if writer is not None:
                writer.cancel()
            self.end(reason)

    def _receive(self, batch: Batch) -> None:
        self.received_at = asyncio.get_running_loop().time()
        self.server.clock.receive(Stamp(batch.stamp_wall_ms, batch.stamp_count))
        for frame in batch.frames:
            future = self.pending.pop(frame.id, None)
            if future is not None and not future.done():
                future.set_result(frame)

    async def call(self, kind: str, body: bytes, timeout_s: float) -> Frame | Unreachable:
        """Send a message and return the frame of its answer."""
        loop = asyncio.get_running_loop()
        self.last_sent_at = loop.time()
        self.last_id += 1
        number = self.last_id
        future = loop.create_future()
        self.pending[number] = future
        if self.is_ended or not self.outbox.add(Frame(kind=kind, body=body, id=number)):
            self.pending.pop(number, None)
            return Unreachable(self.address, "the connection is not usable")
        timer = loop.call_later(timeout_s, self._expire, number, self.last_sent_at, timeout_s)
        try:
            return await future
        finally:
            timer.cancel()
            self.pending.pop(number, None)

    def send(self, kind: str, body: bytes) -> None:
        """Send a message that needs no answer."""
        now = asyncio.get_running_loop().time()
        self.last_sent_at = now
        self.outbox.add(Frame(kind=kind, body=body))
        if now - self.received_at > PROBE_AFTER_S:
            self.probe()

    def probe(self) -> None:
        """Check whether the other instance answers, unless a check is under way."""
        if self.is_probing:
            return
        self.is_probing = True
        probe = asyncio.ensure_future(self.call(PROBE_KIND, b"\x80", PROBE_TIMEOUT_S))
        probe.add_done_callback(self._on_probe_done)

    def _on_probe_done(self, probe: asyncio.Task) -> None:
        self.is_probing = False
        if not probe.cancelled():
            probe.exception()

    def _expire(self, number: int, sent_at: float, timeout_s: float) -> None:
        future = self.pending.pop(number, None)
        if future is not None and not future.done():
            future.set_result(Unreachable(self.address, f"no answer within {timeout_s:g} s"))
        if self.received_at < sent_at:
            self.end("the connection was silent")

    def end(self, reason: str) -> None:
        """End the link and all pending calls."""
        if self.is_ended:
            return
        self.is_ended = True
        for future in self.pending.values():
            if not future.done():
                future.set_result(Unreachable(self.address, reason))
        self.pending.clear()
        self.channel.close()
        if self.task is not asyncio.current_task():
            self.task.cancel()
        self.on_end(self)
