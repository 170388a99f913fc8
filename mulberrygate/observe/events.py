"""Ring buffer of typed events, this process's part of the time line."""

from __future__ import annotations

import collections

import attrs

from mulberrygate.core.clock import HybridClock, Stamp
from mulberrygate.core.wire import message


@message("observe.event")
@attrs.frozen
class Event:
    """Event of the time line.

    Parameters
    ==========
    kind : str
        Type of event, ``package.event``.
    subjects : dict[str, str]
        Names of the things that the event concerns, by kind: ``request``, ``endpoint``, ``move``,
        ``table``, ``instance`` …
    detail : str
        One short sentence.
    """

    kind: str
    subjects: dict[str, str] = attrs.field(factory=dict)
    detail: str = ""


@message("observe.entry")
@attrs.frozen
class StampedEvent:
    """Event with its timestamp and the instance that recorded it."""

    stamp: Stamp
    instance: str
    event: Event


class EventRing:
    """Ring buffer of the newest events of this process.

    Parameters
    ==========
    instance : str
        Name of this instance.
    clock : HybridClock
        Source of timestamps.
    size : int
        Largest number of events kept.
    """

    def __init__(self, instance: str, clock: HybridClock, size: int = 20_000):
        self.instance = instance
        self.clock = clock
        self.events: collections.deque[StampedEvent] = collections.deque(maxlen=size)

    def add(self, kind: str, detail: str = "", **subjects: str) -> None:
        """Create an event and record it."""
        self.record(Event(kind, subjects, detail))

    def record(self, event: Event) -> None:
        """Record an event with the current timestamp."""
        self.events.append(StampedEvent(self.clock.now(), self.instance, event))

    def select(self, subjects: dict[str, str], limit: int) -> list[StampedEvent]:
        """Return the newest events that match all given subjects, oldest first."""
        selected: list[StampedEvent] = []
        for stamped in reversed(self.events):
            if len(selected) >= limit:
                break
            if all(stamped.event.subjects.get(name) == value for name, value in subjects.items()):
                selected.append(stamped)
        selected.reverse()
        return selected
