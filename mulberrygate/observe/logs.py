"""Log lines with a prefix for each component and fields as ``name=value``."""

from __future__ import annotations

import sys
from typing import Any

import logbook

FORMAT = "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name} {record.message}"


def _printable(text: str) -> str:
    """Escape characters that are not printable, such as line breaks.

    Values may come from other systems and must not forge a log line.
    """
    if text.isprintable():
        return text
    return "".join(char if char.isprintable() else ascii(char)[1:-1] for char in text)


class ComponentLogger:
    """Logger of one component.

    Explanation
    ===========
    A line consists of the component's name, one short sentence, and fields as ``name=value``.
    """

    def __init__(self, component: str):
        self.component = component
        self.logbook = logbook.Logger(component)

    def _line(self, sentence: str, fields: dict[str, Any]) -> str:
        tail = "".join(f" {name}={_printable(str(value))}" for name, value in fields.items())
        return f"{self.component}: {sentence}{tail}"

    def log(self, event: str, **fields: Any) -> None:
        """Log an event by its name, as `mulberrygate.observe.jsonlines.JsonLines.log` does."""
        self.info(event, **fields)

    def info(self, sentence: str, **fields: Any) -> None:
        """Log an ordinary event."""
        self.logbook.info(self._line(sentence, fields))

    def warning(self, sentence: str, **fields: Any) -> None:
        """Log an event that an operator may have to investigate."""
        self.logbook.warning(self._line(sentence, fields))

    def error(self, sentence: str, **fields: Any) -> None:
        """Log a failure of the component itself."""
        self.logbook.error(self._line(sentence, fields))


def logger(component: str) -> ComponentLogger:
    """Return the logger of a component."""
    return ComponentLogger(component)


def start_logging(level: str = "INFO") -> logbook.Handler:
    """Write log lines of this level and above to standard error."""
    handler = logbook.StreamHandler(sys.stderr, level=level, format_string=FORMAT)
    handler.push_application()
    return handler
