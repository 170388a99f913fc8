"""Structured log, one JSON object per line, with bounded memory and non-blocking writes.

Explanation
===========
A line is written at once if the pipe accepts all of it. Otherwise it waits in a bounded buffer.
Lines that don't fit into the buffer are dropped and counted, and a summary line reports the counts.
The number of lines per second is limited for each event, so that a burst of one event doesn't crowd
out the others.
"""

from __future__ import annotations

import json
import math
import os
import select
import time
from collections import deque
from collections.abc import Callable
from typing import Any

import logbook

BUFFER_BYTES = 256 << 10
# Limit on the lines of one event in a second; further ones are only counted.
LINES_PER_SECOND = 100
# Writes to a pipe are atomic up to this size (PIPE_BUF).
PIPE_BYTES = 4096


def rounded_age(seconds: float) -> float:
    """Return an age in seconds as a JSON value, -1 for an infinite one."""
    return round(seconds, 3) if math.isfinite(seconds) else -1


def encode(record: dict[str, Any]) -> bytes:
    """Return a record as a line of JSON."""
    text = json.dumps(record, separators=(",", ":"), default=str)
    return text.encode(errors="replace") + b"\n"


class JsonLines:
    """Writer of structured log lines.

    Parameters
    ==========
    node : str
        Name of the machine or instance, written in each line.
    file : int
        File descriptor to write to.
    wall : Callable[[], float]
        Wall clock, which returns Unix time in seconds.
    limit : int
        Limit on the lines of one event per second.
    """

    def __init__(
        self,
        node: str,
        file: int = 1,
        wall: Callable[[], float] = time.time,
        limit: int = LINES_PER_SECOND,
    ):
        self.node = node
        self.file = file
        self.wall = wall
        self.limit = limit
        self.buffer: deque[bytes] = deque()
        self.buffered = 0
        self.second = 0
        self.counts: dict[str, int] = {}
        self.dropped: dict[str, int] = {}
        self.dropped_total = 0
        self.poll = select.poll()
        self.poll.register(file, select.POLLOUT)

    def log(self, event: str, **fields: Any) -> None:
        """Write a line for an event with its fields, within the limit per second."""
        now = self.wall()
        if int(now) != self.second:
            self._start_second(int(now), now)
        count = self.counts.get(event, 0)
        self.counts[event] = count + 1
        if count >= self.limit:
            self._drop(event)
            return
        self._write(event, self._line(now, event, fields))

    def _line(self, now: float, event: str, fields: dict[str, Any]) -> bytes:
        record = {"at": round(now, 4), "node": self.node, "event": event, **fields}
        line = encode(record)
        if len(line) > PIPE_BYTES:
            cut = {"at": record["at"], "node": self.node, "event": event, "cut_bytes": len(line)}
            line = encode(cut)
        return line

    def _start_second(self, second: int, now: float) -> None:
        self.second = second
        self.counts.clear()
        if self.dropped:
            dropped, self.dropped = self.dropped, {}
            self._write("log.dropped", self._line(now, "log.dropped", {"lines": dropped}))

    def _write(self, event: str, line: bytes) -> None:
        if self.buffered + len(line) > BUFFER_BYTES:
            self._drop(event)
            return
        self.buffer.append(line)
        self.buffered += len(line)
        self.flush()

    def flush(self) -> None:
        """Write as many buffered lines as possible without blocking."""
        while self.buffer and self._is_writable():
            line = self.buffer[0]
            try:
                written = os.write(self.file, line)
            except OSError:
                # The reader has closed the pipe, so the buffered lines are discarded.
                self.buffer.clear()
                self.buffered = 0
                return
            self.buffered -= written
            if written < len(line):
                self.buffer[0] = line[written:]
                return
            self.buffer.popleft()

    def _is_writable(self) -> bool:
        # A regular file or a terminal is always writable. A pipe is writable if a page is free, so
        # that a write of `PIPE_BYTES` does not block.
        return any(mask & select.POLLOUT for _, mask in self.poll.poll(0))

    def _drop(self, event: str) -> None:
        self.dropped[event] = self.dropped.get(event, 0) + 1
        self.dropped_total += 1


class JsonHandler(logbook.Handler):
    """Log handler that writes records of `mulberrygate.observe.logs` as structured lines."""

    def __init__(self, lines: JsonLines, level: str = "INFO"):
        super().__init__(level=level)
        self.lines = lines

    def emit(self, record: logbook.LogRecord) -> None:
        """Write one log record."""
        self.lines.log(f"log.{record.level_name.lower()}", text=record.message)
