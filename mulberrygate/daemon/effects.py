"""Carries out the effects of decision classes.

A decision class is a state machine without I/O: it turns messages and clock ticks into effects.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, Protocol

from mulberrygate.core.effects import Effect, Record, Reply, Send
from mulberrygate.core.timers import TimerService
from mulberrygate.core.wire import Ack
from mulberrygate.members.messages import Ask, SendAddress
from mulberrygate.observe.events import EventRing
from mulberrygate.peers.client import PeerClient, Unreachable

EffectHandler = Callable[[Effect], None]


class Decider(Protocol):
    """Interface of a decision class."""

    def handle(self, message: Any, sender: str, now: float) -> list[Effect]:
        """Handle a message and return the effects to carry out."""

    def tick(self, now: float) -> list[Effect]:
        """Return the effects of everything that is due."""


class EffectRunner:
    """Connect a decision class to the peers, the timers and the timeline.

    Parameters
    ==========
    decider : Decider
        Decision class that handles the messages and the answers to its calls.
    messages : Iterable[type]
        Message classes to register the decision class for.
    handle_other : Callable[[Effect], None]
        Carries out the effects that only this decision class has.
    """

    def __init__(
        self,
        decider: Decider,
        messages: Iterable[type],
        peers: PeerClient,
        timers: TimerService,
        events: EventRing,
        handle_other: EffectHandler | None = None,
    ):
        self.decider = decider
        self.peers = peers
        self.timers = timers
        self.events = events
        self.handle_other = handle_other
        for cls in messages:
            peers.on(cls, self.on_message)

    def on_message(self, message: Any, sender: str) -> Any:
        """Handle a message of another instance and return the answer, if there is one."""
        return self.run(self.decider.handle(message, sender, self.timers.now()))

    def tick(self) -> None:
        """Run the decision class's periodic work."""
        self.run(self.decider.tick(self.timers.now()))

    def run(self, effects: list[Effect]) -> Any:
        """Carry out effects in order and return the message of a `Reply`."""
        answer = None
        for effect in effects:
            if isinstance(effect, Reply):
                answer = effect.message
            elif isinstance(effect, Send):
                self.peers.send(effect.to, effect.message)
            elif isinstance(effect, SendAddress):
                self.spawn(self.call_address(effect))
            elif isinstance(effect, Ask):
                self.spawn(self.call(effect))
            elif isinstance(effect, Record):
                self.events.record(effect.event)
            elif self.handle_other is not None:
                self.handle_other(effect)
        return answer

    def spawn(self, work: Any) -> None:
        """Run a call in the background; closing the timer service cancels it."""
        self.timers.spawn(work)

    async def call(self, effect: Ask) -> None:
        """Call an instance and pass its answer to the decision class."""
        answer = await self.peers.call(effect.to, effect.message, effect.timeout_s)
        if not isinstance(answer, (Unreachable, Ack)):
            self.on_message(answer, effect.to)

    async def call_address(self, effect: SendAddress) -> None:
        """Call an address whose instance is unknown and pass on the answer."""
        answer = await self.peers.call_address(effect.address, effect.message, 1.0)
        if not isinstance(answer, (Unreachable, Ack)):
            self.on_message(answer, "")
