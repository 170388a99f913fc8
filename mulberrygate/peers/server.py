"""Server side of the peer protocol, which dispatches messages to handlers by class."""

from __future__ import annotations

import asyncio
import hmac
import inspect
from collections.abc import Awaitable, Callable
from typing import Any

from grpclib import GRPCError, Status
from grpclib.exceptions import StreamTerminatedError
from grpclib.server import Server, Stream

from mulberrygate.core.clock import HybridClock, Stamp
from mulberrygate.core.wire import Ack, DecodeError, EncodeError, decode, encode
from mulberrygate.observe.logs import logger
from mulberrygate.peers import peer_grpc
from mulberrygate.peers.outbox import Outbox
from mulberrygate.peers.peer_pb2 import Frame

log = logger("peers")

Handler = Callable[[Any, str], Any | Awaitable[Any]]

TOKEN_HEADER = "mulberrygate-token"


class UnhandledMessage(Exception):
    """No handler is registered for a message class."""


class PeerServer(peer_grpc.PeerBase):
    """Server that receives messages from other instances.

    Parameters
    ==========
    instance : str
        Name of this instance.
    incarnation : int
        Incarnation of this process.
    token : str
        Secret that all processes of the system share, which clients must present.
    clock : HybridClock
        Clock that received timestamps advance.

    Attributes
    ==========
    on_connected : Callable[[str], None]
        Called with the name of an instance that has opened a stream.
    """

    def __init__(self, instance: str, incarnation: int, token: str, clock: HybridClock):
        self.instance = instance
        self.incarnation = incarnation
        self.token = token
        self.clock = clock
        self.handlers: dict[type, Handler] = {}
        self.blocked: set[str] = set()
        self.received_bytes = 0
        self.on_sent: Callable[[str, int], None] = lambda kind, size: None
        self.on_connected: Callable[[str], None] = lambda sender: None
        self.server: Server | None = None
        self.tasks: set[asyncio.Task] = set()

    def on(self, cls: type, handler: Handler) -> None:
        """Register the handler of a message class.

        Explanation
        ===========
        The handler is called with the message and the sender's name. It returns the answer, or
        ``None`` for an acknowledgement, and may be a coroutine function.
        """
        self.handlers[cls] = handler

    def dispatch(self, message: Any, sender: str) -> Any | Awaitable[Any]:
        """Run the handler of a message and return its answer, or an awaitable of it.

        Raises
        ======
        UnhandledMessage
            No handler is registered.
        """
        handler = self.handlers.get(type(message))
        if handler is None:
            raise UnhandledMessage(f"no handler for {type(message).__name__}")
        return handler(message, sender)

    async def Exchange(self, stream: Stream) -> None:
        """Serve the stream of one client."""
        token = str((stream.metadata or {}).get(TOKEN_HEADER, ""))
        if not hmac.compare_digest(token.encode(), self.token.encode()):
            log.warning("Refused a connection without the shared token.")
            raise GRPCError(Status.UNAUTHENTICATED, "the shared token is missing or wrong")
        outbox = Outbox(self.instance, self.incarnation, self.clock)
        writer = asyncio.ensure_future(outbox.write_to(stream))
        is_new = True
        try:
            async for batch in stream:
                # A blocked sender gets no answer, as in a network partition that drops packets.
                if batch.sender in self.blocked:
                    continue
                if is_new:
                    is_new = False
                    self.on_connected(batch.sender)
                self.clock.receive(Stamp(batch.stamp_wall_ms, batch.stamp_count))
                for frame in batch.frames:
                    self.received_bytes += len(frame.body)
                    self._handle(frame, batch.sender, outbox)
        except (StreamTerminatedError, ConnectionError):
            pass
        finally:
            writer.cancel()

    def _handle(self, frame: Frame, sender: str, outbox: Outbox) -> None:
        try:
            answer = self.dispatch(decode(frame.kind, frame.body), sender)
        except (DecodeError, UnhandledMessage) as error:
            self._answer(frame, outbox, error=str(error))
            return
        except Exception as error:
            self._answer_failure(frame, outbox, error)
            return
        if inspect.isawaitable(answer):
            task = asyncio.ensure_future(self._answer_later(frame, outbox, answer))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        else:
            self._answer(frame, outbox, answer)

    async def _answer_later(self, frame: Frame, outbox: Outbox, work: Awaitable[Any]) -> None:
        try:
            self._answer(frame, outbox, await work)
        except Exception as error:
            self._answer_failure(frame, outbox, error)

    def _answer_failure(self, frame: Frame, outbox: Outbox, error: Exception) -> None:
        log.error("A message handler failed.", kind=frame.kind, error=repr(error))
        self._answer(frame, outbox, error=type(error).__name__)

    def _answer(self, frame: Frame, outbox: Outbox, answer: Any = None, error: str = "") -> None:
        if not frame.id:
            return
        if error:
            outbox.add(Frame(id=frame.id, is_answer=True, error=error))
            return
        try:
            kind, body = encode(Ack() if answer is None else answer)
        except EncodeError as error:
            # Raised on, it would end the stream with all other messages on it.
            self._answer_failure(frame, outbox, error)
            return
        self.on_sent(kind, len(body))
        outbox.add(Frame(kind=kind, body=body, id=frame.id, is_answer=True))

    async def start(self, host: str, port: int) -> None:
        """Start to listen on an address."""
        self.server = Server([self])
        await self.server.start(host, port)

    async def close(self) -> None:
        """Stop listening and end open streams."""
        for task in list(self.tasks):
            task.cancel()
        if self.server is not None:
            self.server.close()
            await self.server.wait_closed()
