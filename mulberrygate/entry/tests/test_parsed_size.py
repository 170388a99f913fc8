"""Tests of the bound on the memory of parsed model requests."""

import json
import tracemalloc
import unittest

from mulberrygate.core.memory_budget import MemoryBudget
from mulberrygate.entry.completion import parse_completion, parsed_bytes, parsing_bytes

MB = 1 << 20
PREFIX = b'{"model": "m", "messages": [{"role": "user", "content": '
# Bodies that take much more memory than their size once they are parsed.
METADATA = {
    "objects": b"[" + b"{}," * 50_000 + b"{}]",
    "lists": b"[" + b"[]," * 50_000 + b"[]]",
    "members": b"[" + b'{"a":1},' * 20_000 + b"{}]",
    "numbers": b"[" + b"1.5," * 50_000 + b"0]",
    "texts": b"[" + b'"ab",' * 50_000 + b"0]",
    "names": json.dumps({f"k{number}": number for number in range(20_000)}).encode(),
}
TEXTS = {
    "ascii": "word " * 50_000,
    "accents": "été " * 50_000,
    "cyrillic": "слово " * 30_000,
    "astral": "word \U0001f600 " * 30_000,
    "one astral": "word " * 50_000 + "\U0001f600",
}


def body_of(text="hello", metadata=b"{}"):
    """Return a model request."""
    content = json.dumps(text, ensure_ascii=False).encode()
    return PREFIX + content + b'}], "metadata": ' + metadata + b"}"


class TestParsedSize(unittest.TestCase):
    """Memory of a parsed request against its bound."""

    def check(self, body):
        """Check both bounds of one body."""
        tracemalloc.start()
        try:
            payload = parse_completion(body)
            kept, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        self.assertIsInstance(payload, dict)
        self.assertLessEqual(kept, parsed_bytes(body) + len(PREFIX) * 20)
        self.assertLessEqual(peak, parsing_bytes(body) + len(PREFIX) * 20)

    def test_values(self):
        """Guards against requests that take more than they were granted, by their values."""
        for name, metadata in METADATA.items():
            with self.subTest(name):
                self.check(body_of(metadata=metadata))

    def test_texts(self):
        """Guards against requests that take more than they were granted, by their text."""
        for name, text in TEXTS.items():
            with self.subTest(name):
                self.check(body_of(text))

    def test_largest_default_body_on_the_smallest_daemon(self):
        """Guards against a legal request of 1 MB of text that is refused in calm."""
        pool = MemoryBudget((128 - 56) * MB).bodies
        for unit in ("a", "é", "я", "\U0001f600"):
            text = unit * ((MB - 200) // len(unit.encode()))
            with self.subTest(unit):
                self.assertLess(parsing_bytes(body_of(text)), pool.capacity)


if __name__ == "__main__":
    unittest.main()
