"""Effects that decision classes return and the daemon carries out in order."""

from __future__ import annotations

from typing import Any

import attrs


class Effect:
    """Base class of effects; an effect says what to do and does nothing itself."""


@attrs.frozen
class Send(Effect):
    """Send a message to an instance; it may be lost."""

    to: str
    message: Any


@attrs.frozen
class Reply(Effect):
    """Answer the message that is being handled."""

    message: Any


@attrs.frozen
class Persist(Effect):
    """Write and sync records before the effects that follow are carried out."""

    records: tuple[Any, ...]


@attrs.frozen
class Record(Effect):
    """Add an event to the time line."""

    event: Any
