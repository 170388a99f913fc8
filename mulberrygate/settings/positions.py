"""Positions of names and values in the JSON text of settings or a table."""

from __future__ import annotations

import bisect
import re
from dataclasses import dataclass, field
from typing import Any

import pyjson5

ValuePath = tuple[str | int, ...]

_COMMENT_OR_STRING = re.compile(
    r"""//[^\n\r\u2028\u2029]*|/\*.*?\*/|"(?:\\.|[^"\\])*"|'(?:\\.|[^'\\])*'""", re.DOTALL
)

_ERROR_OFFSET = re.compile(r"near (\d+)")
_BYTES_LITERAL = re.compile(r"b'(\w+)'")

_TOKEN = re.compile(
    r"""(?P<skip>[\s\u00a0\ufeff]+|//[^\n\r\u2028\u2029]*|/\*.*?\*/)
    |(?P<string>"(?:\\.|[^"\\])*"|'(?:\\.|[^'\\])*')
    |(?P<mark>[{}\[\]:,])
    |(?P<word>[^\s{}\[\]:,"'/]+)""",
    re.VERBOSE | re.DOTALL,
)


class LineIndex:
    """Converts offsets in a text to line and column, both from 1.

    Examples
    ========
    >>> from mulberrygate.settings.positions import LineIndex
    >>> LineIndex("ab\\ncd").position(4)
    (2, 2)
    """

    def __init__(self, text: str):
        self.length = len(text)
        self.starts = [0] + [match.end() for match in re.finditer(r"\r\n|\n|\r", text)]

    def position(self, offset: int) -> tuple[int, int]:
        """Return line and column of an offset, which is clamped to the text."""
        offset = max(0, min(offset, self.length))
        line = bisect.bisect_right(self.starts, offset) - 1
        return line + 1, offset - self.starts[line] + 1


@dataclass
class Positions:
    """Offsets of names and values by path, and of names that occur twice in one object."""

    keys: dict[ValuePath, int] = field(default_factory=dict)
    values: dict[ValuePath, int] = field(default_factory=dict)
    duplicates: list[tuple[ValuePath, int]] = field(default_factory=list)

    def offset(self, path: ValuePath) -> int:
        """Return the offset of a path, or of its closest enclosing path that is in the text."""
        for length in range(len(path), -1, -1):
            part = path[:length]
            if part in self.keys:
                return self.keys[part]
            if part in self.values:
                return self.values[part]
        return 0


@dataclass
class _Container:
    """Object or list that is being read, and the name or index of its next value."""

    path: ValuePath
    is_object: bool
    index: int = 0
    key: str | None = None

    def child(self) -> ValuePath:
        return self.path + ((self.key or "") if self.is_object else self.index,)


def count_names(text: str) -> int:
    """Return the number of names in a text that `pyjson5` accepts, with duplicates.

    Examples
    ========
    >>> from mulberrygate.settings.positions import count_names
    >>> count_names("{a: 1, /* b: */ 'c:': {a: 2}, a: 3}")
    4
    """
    return _COMMENT_OR_STRING.sub("", text).count(":")


def count_keys(value: Any) -> int:
    """Return the number of names in decoded values, without duplicates."""
    if isinstance(value, dict):
        return len(value) + sum(map(count_keys, value.values()))
    return sum(map(count_keys, value)) if isinstance(value, list) else 0


def syntax_fault(error: pyjson5.Json5Exception, text: str) -> tuple[int, str]:
    """Return the offset and the description of a syntax error from `pyjson5`."""
    message = str(error.args[0]) if error.args else type(error).__name__
    near = _ERROR_OFFSET.search(message)
    offset = int(near.group(1)) - 1 if near else len(text)
    return offset, _BYTES_LITERAL.sub(r"\1", message[: near.start()] if near else message).strip()


def find_positions(text: str) -> Positions:
    """Return the positions of all names and values of a text that `pyjson5` accepts.

    Explanation
    ===========
    `pyjson5` reports no positions of values, so this function tokenises the text again.
    """
    found = Positions()
    stack: list[_Container] = []
    for match in _TOKEN.finditer(text):
        if match.lastgroup == "skip":
            continue
        token = match.group()
        if match.lastgroup == "mark":
            _read_punctuation(found, stack, token, match.start())
        elif stack and stack[-1].is_object and stack[-1].key is None:
            _read_key(found, stack[-1], token, match.start())
        else:
            found.values.setdefault(_current_path(stack), match.start())
    return found


def _current_path(stack: list[_Container]) -> ValuePath:
    """Return the path of the next value."""
    return stack[-1].child() if stack else ()


def _read_punctuation(found: Positions, stack: list[_Container], token: str, offset: int) -> None:
    if token in "{[":
        path = _current_path(stack)
        found.values.setdefault(path, offset)
        stack.append(_Container(path, token == "{"))
    elif token in "}]" and stack:
        stack.pop()
    elif token == "," and stack:
        stack[-1].index += 1
        stack[-1].key = None


def _read_key(found: Positions, container: _Container, token: str, offset: int) -> None:
    container.key = _decode_key(token)
    path = container.child()
    if path in found.keys:
        found.duplicates.append((path, offset))
    else:
        found.keys[path] = offset


def _decode_key(token: str) -> str:
    if "\\" not in token:
        return token[1:-1] if token[0] in "\"'" else token
    return next(iter(pyjson5.decode("{" + token + ":0}")))
