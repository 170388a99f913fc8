"""Tests of the parser of chat completion requests."""

import json
import random
import unittest

from mulberrygate.core import Refusal
from mulberrygate.core.tests.call_limit import calls_at_most
from mulberrygate.entry.codes import MALFORMED
from mulberrygate.entry.completion import MAX_DEPTH, exceeds_depth, parse_completion

GOOD = {
    "model": "lookup",
    "messages": [{"role": "user", "content": [{"type": "text", "text": 'héllo \\ " \n'}]}],
    "max_tokens": 12,
    "temperature": 0.5,
    "stream": True,
}
PIECES = (b"{", b"]", b'"', b":", b",", b"\\ud800", b"\xff", b"\x00", b"1e999", b"-", b"null")


# Function calls for refusing a hostile input, whatever its size.
FEW_CALLS = 2000
# Parsing is linear in the size of the input.
CALLS_PER_BYTE = 20


def mutate(data: bytes, rng: random.Random) -> bytes:
    """Return data with a few random changes."""
    changed = bytearray(data)
    for _ in range(rng.randint(1, 5)):
        at = rng.randrange(len(changed))
        changed[at : at + rng.randint(0, 4)] = rng.choice(PIECES)
    return bytes(changed)


class ParseTest(unittest.TestCase):
    """Bodies of chat completion requests."""

    def test_random_changes_never_raise(self):
        """Guards against an exception, or superlinear work, for any body."""
        rng = random.Random(3)
        good = json.dumps(GOOD, ensure_ascii=False).encode()
        self.assertEqual(parse_completion(good), GOOD)
        accepted = 0
        for _ in range(5000):
            body = mutate(good, rng)
            with calls_at_most(CALLS_PER_BYTE * len(body) + FEW_CALLS):
                result = parse_completion(body)
            if isinstance(result, Refusal):
                self.assertEqual(result.code, MALFORMED)
            else:
                accepted += 1
                json.dumps(result, allow_nan=False).encode()
        self.assertGreater(accepted, 0)

    def test_hostile_bodies_are_refused_with_little_work(self):
        """Guards against a body that blocks the event loop."""
        bodies = (
            b"[" * 4_000_000,
            b'{"a":' * 800_000,
            b'"' + b"\\u0000" * 600_000,
            b"9" * 4_000_000,
        )
        for body in bodies:
            with self.subTest(body[:9]):
                with calls_at_most(FEW_CALLS):
                    self.assertEqual(parse_completion(body).code, MALFORMED)

    def test_depth(self):
        """Guards against a limit that is off by one, or that counts only lists."""
        for wrap in (lambda v: [v], lambda v: {"a": v}):
            value = 1
            for _ in range(MAX_DEPTH):
                value = wrap(value)
            self.assertFalse(exceeds_depth(value, MAX_DEPTH))
            self.assertTrue(exceeds_depth(wrap(wrap(value)), MAX_DEPTH))


if __name__ == "__main__":
    unittest.main()
