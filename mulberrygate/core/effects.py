"""Effects: actions that decision classes return and that the daemon carries out in order."""

from __future__ import annotations

from typing import Any

import attrs


class Effect:
    """Base class of effects; an effect describes an action and does not perform it."""


@attrs.frozen
class Send(Effect):
    """Send a message to an instance without a delivery guarantee."""

    to: str
    message: Any


@attrs.frozen
class Reply(Effect):
    """Answer the message that is currently handled."""

    message: Any


@attrs.frozen
class Persist(Effect):
    """Write and sync records before the effects that follow are carried out."""

    records: tuple[Any, ...]


@attrs.frozen
class Record(Effect):
    """Add an event to the time line."""

    event: Any
