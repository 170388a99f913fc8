"""Bounded ring of typed events, the local part of the time line."""

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
        Type of event, ``part.event``.
    subjects : dict[str, str]
        What the event is about: ``request``, ``endpoint``, ``move``, ``table``, ``instance`` …
    detail : str
        One short sentence.
    """

    kind: str
    subjects: dict[str, str] = attrs.field(factory=dict)
    detail: str = ""


@message("observe.entry")
@attrs.frozen
class StampedEvent:
    """Event with its time and place."""

    stamp: Stamp
    instance: str
    event: Event


class EventRing:
    """Keep the newest events of this process.

    Parameters
    ==========
    instance : str
        Name of this instance.
    clock : HybridClock
        Source of timestamps.
    size : int
        Number of events kept.
    """

    def __init__(self, instance: str, clock: HybridClock, size: int = 20_000):
        self.instance = instance
        self.clock = clock
        self.events: collections.deque[StampedEvent] = collections.deque(maxlen=size)

    def add(self, kind: str, detail: str = "", **subjects: str) -> None:
        """Add an event of the given kind."""
        self.record(Event(kind, subjects, detail))

    def record(self, event: Event) -> None:
        """Add an event that a decision class returned."""
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
