"""Structured logs with a fixed prefix for each part."""

from __future__ import annotations

import sys
from typing import Any

import logbook

FORMAT = "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name} {record.message}"


def _printable(text: str) -> str:
    """Return a text that can't end its line, since values may come from outside."""
    if text.isprintable():
        return text
    return "".join(char if char.isprintable() else ascii(char)[1:-1] for char in text)


class PartLogger:
    """Logger of one part.

    Explanation
    ===========
    A line is the part's prefix, one short sentence, and fields as ``name=value``.
    """

    def __init__(self, part: str):
        self.part = part
        self.logbook = logbook.Logger(part)

    def _line(self, sentence: str, fields: dict[str, Any]) -> str:
        tail = "".join(f" {name}={_printable(str(value))}" for name, value in fields.items())
        return f"{self.part}: {sentence}{tail}"

    def info(self, sentence: str, **fields: Any) -> None:
        """Log an ordinary event."""
        self.logbook.info(self._line(sentence, fields))

    def warning(self, sentence: str, **fields: Any) -> None:
        """Log an event that an operator may have to look at."""
        self.logbook.warning(self._line(sentence, fields))

    def error(self, sentence: str, **fields: Any) -> None:
        """Log a failure of the part itself."""
        self.logbook.error(self._line(sentence, fields))


def logger(part: str) -> PartLogger:
    """Return the logger of a part."""
    return PartLogger(part)


def start_logging(level: str = "INFO") -> logbook.Handler:
    """Write log lines of this level and above to standard error."""
    handler = logbook.StreamHandler(sys.stderr, level=level, format_string=FORMAT)
    handler.push_application()
    return handler
