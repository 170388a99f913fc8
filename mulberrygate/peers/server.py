"""Server side of the peer protocol: passes each message to the handler of its class."""

from __future__ import annotations

import hmac
import inspect
from collections.abc import Awaitable, Callable
from typing import Any

from grpclib import GRPCError, Status
from grpclib.server import Server, Stream

from mulberrygate.core.clock import HybridClock, Stamp
from mulberrygate.core.wire import Ack, DecodeError, decode, encode
from mulberrygate.observe.logs import logger
from mulberrygate.peers import peer_grpc, peer_pb2

log = logger("peers")

Handler = Callable[[Any, str], Any | Awaitable[Any]]

TOKEN_HEADER = "mulberrygate-token"


class PeerServer(peer_grpc.PeerBase):
    """Receive messages of other instances.

    Parameters
    ==========
    instance : str
        Name of this instance.
    incarnation : int
        Incarnation of this process.
    token : str
        Secret that all processes of the system share.
    clock : HybridClock
        Clock that takes note of received stamps.
    """

    def __init__(self, instance: str, incarnation: int, token: str, clock: HybridClock):
        self.instance = instance
        self.incarnation = incarnation
        self.token = token
        self.clock = clock
        self.handlers: dict[type, Handler] = {}
        self.blocked: set[str] = set()
        self.received_bytes = 0
        self.server: Server | None = None

    def on(self, cls: type, handler: Handler) -> None:
        """Register the handler of a message class.

        Explanation
        ===========
        The handler gets the message and the sender's name. It returns the answer or ``None`` for
        a plain acknowledgement, and may be a coroutine.
        """
        self.handlers[cls] = handler

    async def dispatch(self, message: Any, sender: str) -> Any:
        """Run the handler of a message and return its answer."""
        handler = self.handlers.get(type(message))
        if handler is None:
            raise GRPCError(Status.UNIMPLEMENTED, f"no handler for {type(message).__name__}")
        answer = handler(message, sender)
        if inspect.isawaitable(answer):
            answer = await answer
        return Ack() if answer is None else answer

    async def Call(self, stream: Stream) -> None:
        """Serve the RPC of the peer protocol."""
        token = str((stream.metadata or {}).get(TOKEN_HEADER, ""))
        if not hmac.compare_digest(token.encode(), self.token.encode()):
            log.warning("Refused a message without the shared token.")
            raise GRPCError(Status.UNAUTHENTICATED, "the shared token is missing or wrong")
        frame = await stream.recv_message()
        if frame is None:
            return
        if frame.sender in self.blocked:
            raise GRPCError(Status.UNAVAILABLE, "the sender is cut off by the partition switch")
        self.received_bytes += len(frame.body)
        try:
            message = decode(frame.kind, frame.body)
        except DecodeError as error:
            raise GRPCError(Status.INVALID_ARGUMENT, str(error)) from error
        self.clock.receive(Stamp(frame.stamp_wall_ms, frame.stamp_count))
        try:
            answer = await self.dispatch(message, frame.sender)
        except GRPCError:
            raise
        except Exception as error:
            log.error("A message handler failed.", kind=frame.kind, error=repr(error))
            raise GRPCError(Status.INTERNAL, type(error).__name__) from error
        await stream.send_message(make_frame(answer, self.instance, self.incarnation, self.clock))

    async def start(self, host: str, port: int) -> None:
        """Listen on an address."""
        self.server = Server([self])
        await self.server.start(host, port)

    async def close(self) -> None:
        """Stop listening and end open calls."""
        if self.server is not None:
            self.server.close()
            await self.server.wait_closed()


def make_frame(message: Any, instance: str, incarnation: int, clock: HybridClock) -> peer_pb2.Frame:
    """Return the frame of a message."""
    kind, body = encode(message)
    stamp = clock.now()
    return peer_pb2.Frame(
        kind=kind,
        body=body,
        sender=instance,
        incarnation=incarnation,
        stamp_wall_ms=stamp.wall_ms,
        stamp_count=stamp.count,
    )
