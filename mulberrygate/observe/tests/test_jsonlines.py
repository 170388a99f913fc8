"""Tests of the structured log."""

from __future__ import annotations

import fcntl
import json
import os
import unittest

from mulberrygate.observe.jsonlines import BUFFER_BYTES, JsonLines


class TestJsonLines(unittest.TestCase):
    """Full and closed pipes, line limits and values of any type."""

    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.now = 100.0
        self.lines = JsonLines("entry-1", self.writer, lambda: self.now, limit=1_000_000)
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)

    def read(self):
        """Return the lines that the pipe and the buffer hold."""
        os.set_blocking(self.reader, False)
        data = b""
        while True:
            try:
                chunk = os.read(self.reader, 1 << 20)
            except BlockingIOError:
                break
            data += chunk
            self.lines.flush()
        self.assertTrue(data.endswith(b"\n"))
        return [json.loads(line) for line in data.splitlines()]

    def test_full_pipe_neither_blocks_nor_tears_lines(self):
        """Guards against a full pipe that blocks the process, and against partial lines."""
        fcntl.fcntl(self.writer, 1031, 4096)  # F_SETPIPE_SZ
        for number in range(5000):
            self.lines.log("request.refused", id=f"id-{number}", text="x" * 100)
        self.assertLessEqual(self.lines.buffered, BUFFER_BYTES)
        self.assertGreater(self.lines.dropped_total, 0)
        found = self.read()
        numbers = [int(line["id"][3:]) for line in found if line["event"] == "request.refused"]
        self.assertEqual(numbers, list(range(len(numbers))))

    def test_drops_are_counted_in_a_line(self):
        """Guards against dropped lines that no summary line reports."""
        self.lines.limit = 10
        for _ in range(50):
            self.lines.log("request.refused")
        self.lines.log("process.started")
        self.now += 1.0
        self.lines.log("request.answered")
        events = [line["event"] for line in self.read()]
        self.assertEqual(events.count("request.refused"), 10)
        self.assertIn("process.started", events)
        self.now += 1.0
        self.assertIn("log.dropped", events)

    def test_closed_pipe_raises_nothing(self):
        """Guards against an exception in this process after the reading process has ended."""
        reader, writer = os.pipe()
        lines = JsonLines("entry-1", writer, lambda: 1.0)
        os.close(reader)
        lines.log("process.started")
        os.close(writer)

    def test_line_longer_than_a_pipe_write_stays_json(self):
        """Guards against a truncated line that is not JSON, as with the state of 45 endpoints."""
        self.lines.log("pool.state", endpoints=["x" * 100] * 60)
        line = self.read()[0]
        self.assertEqual(line["event"], "pool.state")
        self.assertGreater(line["cut_bytes"], 6000)

    def test_value_of_any_kind(self):
        """Guards against a value without a JSON form that ends the request being logged."""
        self.lines.log("odd", value=object(), text="a\nb")
        self.assertEqual(self.read()[0]["text"], "a\nb")


if __name__ == "__main__":
    unittest.main()
