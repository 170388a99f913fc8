"""Tests of reading announcements."""

import json
import random
import unittest

import attrs

from mulberrygate.core import Refusal
from mulberrygate.core.tests.call_limit import calls_at_most
from mulberrygate.core.wire import decode, encode
from mulberrygate.daemon.announcements import (
    BAD_ANNOUNCEMENT,
    MAX_LEASE_S,
    pool_fault,
    read_announcement,
)
from mulberrygate.endpoints.model import Announcement
from mulberrygate.tables.model import Pool

GOOD = Announcement(
    "e", 1, 2, "127.0.0.1:9", "care", "a", "west", kv_tokens=9, cached_prefixes=("ab", "cd")
)


# Function calls for each byte of the input, in which reading is linear.
CALLS_PER_BYTE = 20


class ReadTest(unittest.TestCase):
    """Bodies of announcements."""

    def test_random_changes_never_raise(self):
        """Guards against an exception, or an announcement that other instances can't decode."""
        rng = random.Random(4)
        good = json.dumps(attrs.asdict(GOOD)).encode()
        pieces = (b"{", b"]", b'"', b",", b"\\ud800", b"\xff", b"NaN", b"-9", b"9" * 30, b"1e999")
        accepted = 0
        for _ in range(4000):
            data = bytearray(good)
            for _ in range(rng.randint(1, 3)):
                at = rng.randrange(len(data))
                data[at : at + rng.randint(0, 3)] = rng.choice(pieces)
            with calls_at_most(CALLS_PER_BYTE * len(data)):
                result = read_announcement(bytes(data))
            if isinstance(result, Refusal):
                self.assertEqual(result.code, BAD_ANNOUNCEMENT)
                self.assertTrue(result.detail)
            else:
                accepted += 1
                self.assertEqual(decode(*encode(result)), result)
        self.assertGreater(accepted, 0)

    def test_values_that_pass_the_types_alone(self):
        """Guards against a number or a text that fails only where it is used or sent on."""
        for values in (
            {"load_at": float("inf")},
            {"lease_s": float("inf")},
            {"lease_s": float("nan")},
            {"cached_prefixes": ["\ud800"]},
            {"evicted_prefixes": [""]},
            {"load": 2**64},
            {"address": "127.0.0.1:9/path"},
        ):
            with self.subTest(values):
                body = json.dumps({**attrs.asdict(GOOD), **values}).encode()
                self.assertIsInstance(read_announcement(body), Refusal)

    def test_lease_is_bounded(self):
        """Guards against a dead endpoint that counts as alive for an hour."""
        body = json.dumps(attrs.asdict(attrs.evolve(GOOD, lease_s=3600.0))).encode()
        self.assertEqual(read_announcement(body).lease_s, MAX_LEASE_S)

    def test_kind_of_the_pool(self):
        """Guards against a plain service that gets chat completions."""
        service = attrs.evolve(GOOD, kv_tokens=0)
        self.assertEqual(pool_fault(GOOD, Pool()), "")
        self.assertEqual(pool_fault(service, Pool(kind="service")), "")
        for announcement, pool in ((service, Pool()), (GOOD, Pool(kind="service")), (GOOD, None)):
            self.assertTrue(pool_fault(announcement, pool))


if __name__ == "__main__":
    unittest.main()
