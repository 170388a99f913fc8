"""Registry and codec of the messages between the system's processes.

Explanation
===========
A message is a frozen ``attrs`` class, registered under a name by the decorator `message`. The
codec ignores unknown fields, and fields that are added in a later release have defaults, so two
releases can run side by side.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

import attrs
from cattrs.preconf.msgpack import make_converter

Class = TypeVar("Class", bound=type)

converter = make_converter()
_classes: dict[str, type] = {}
_names: dict[type, str] = {}


class DecodeError(ValueError):
    """A frame can't be decoded."""


class EncodeError(ValueError):
    """A message holds a value that can't be encoded."""


def message(name: str) -> Callable[[Class], Class]:
    """Register an ``attrs`` class as a message.

    Parameters
    ==========
    name : str
        Name on the wire, ``package.name``.

    Raises
    ======
    ValueError
        Another class is registered under the name.

    Examples
    ========
    >>> import attrs
    >>> from mulberrygate.core.wire import decode, encode, message
    >>> @message("example.ping")
    ... @attrs.frozen
    ... class Ping:
    ...     number: int = 0
    >>> decode(*encode(Ping(7)))
    Ping(number=7)
    """

    def register(cls: Class) -> Class:
        registered = _classes.get(name)
        if registered is not None and registered.__qualname__ != cls.__qualname__:
            raise ValueError(f"message {name} is already registered as {registered.__qualname__}")
        _classes[name] = cls
        _names[cls] = name
        return cls

    return register


def encode(value: Any) -> tuple[str, bytes]:
    """Return the wire name and the bytes of a message.

    Raises
    ======
    EncodeError
        A text is no Unicode, or a whole number has more than 64 bits.
    """
    name = _names[type(value)]
    try:
        return name, converter.dumps(value)
    except (UnicodeEncodeError, OverflowError) as error:
        raise EncodeError(f"message {name} can't be encoded: {error}") from error


def decode(name: str, body: bytes) -> Any:
    """Return the message of a frame.

    Raises
    ======
    DecodeError
        The name is unknown, or the body can't be decoded as the registered class.
    """
    cls = _classes.get(name)
    if cls is None:
        raise DecodeError(f"unknown message {name[:80]!r}")
    try:
        return converter.loads(body, cls)
    except Exception as error:
        raise DecodeError(f"message {name} has a malformed body: {type(error).__name__}") from error


@message("core.ack")
@attrs.frozen
class Ack:
    """Acknowledgement without content; the answer of a handler that returns ``None``."""
