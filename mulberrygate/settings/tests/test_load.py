"""Tests of loading settings."""

import json
import os
import random
import tempfile
import unittest

from mulberrygate.core import Refusal
from mulberrygate.core.tests.call_limit import calls_at_most
from mulberrygate.daemon.run import read_tokens
from mulberrygate.settings import Settings, load_settings, read_token
from mulberrygate.settings.load import INVALID, MALFORMED, UNREADABLE

VALUES = {
    "instance": "a1",
    "region": "west",
    "failure_domain": "a",
    "peer_address": "127.0.0.1:7000",
    "http_address": "127.0.0.1:7001",
    "peer_token_file": "peer",
    "operator_token_file": "operator",
    "endpoint_token_file": "endpoint",
    "voters": {"a1": "127.0.0.1:7000"},
}


# Call limit per byte of a settings file; the cost of loading is linear in its size.
CALLS_PER_BYTE = 20


class FileTest(unittest.TestCase):
    """Base class of tests that write files."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory(prefix="mulberrygate-test-")
        self.addCleanup(folder.cleanup)
        self.folder = folder.name

    def write(self, content: bytes, name: str = "settings.json") -> str:
        """Write a file and return its path."""
        path = os.path.join(self.folder, name)
        with open(path, "wb") as file:
            file.write(content)
        return path

    def refused(self, content: bytes) -> Refusal:
        """Return the refusal of a settings file."""
        refusal = load_settings(self.write(content))
        self.assertIsInstance(refusal, Refusal, content[:80])
        self.assertTrue(refusal.detail)
        return refusal


class LoadTest(FileTest):
    """Faulty settings files."""

    def test_wrong_values_are_named(self):
        """Guards against a daemon that starts with a wrong value, and unclear messages about it."""
        wrong = {
            "instance": ("", "a b", "é", "x" * 65, 7, None, ["a"]),
            "peer_address": ("x", "x:", ":1", "x:0", "x:70000", "x:²", "http://x:1", "x:1/"),
            "seeds": ("127.0.0.1:1", [7], ["x"], {"a": "x:1"}, None),
            "parts": ("entry", ["none"], ["control"], [7]),
            "voters": ([], "x", {"a1": "x"}, {"a1": 7}),
            "log_level": ("LOUD", "info", 7),
            "stop_grace_s": ("10 s", -1, True, None, 10**400),
            "partition_switch": ("yes", 0, 1, None),
            "stop_grace_ms": (10,),
        }
        for name, values in wrong.items():
            for value in values:
                with self.subTest(name, value=str(value)[:20]):
                    refusal = self.refused(json.dumps({**VALUES, name: value}).encode())
                    self.assertEqual(refusal.code, INVALID)
                    self.assertIn(name if name != "parts" else "part", refusal.detail)
        for number in (b"NaN", b"Infinity", b"-Infinity"):
            text = json.dumps(VALUES).encode()[:-1] + b', "stop_grace_s": ' + number + b"}"
            self.assertIn("stop_grace_s", self.refused(text).detail)

    def test_missing_and_repeated_names(self):
        """Guards against a duplicate name whose first value is silently ignored."""
        for name in list(VALUES)[:8]:
            with self.subTest(name):
                rest = {n: v for n, v in VALUES.items() if n != name}
                self.assertIn(name, self.refused(json.dumps(rest).encode()).detail)
        text = json.dumps(VALUES, indent=1).encode()[:-1] + b', "region": "east"}'
        detail = self.refused(text).detail
        self.assertIn("line 13, column 3: the name 'region' occurs twice", detail)

    def test_unusable_files(self):
        """Guards against a traceback instead of a refusal with a message."""
        cases = {
            b"": MALFORMED,
            b" \n": MALFORMED,
            b"{": MALFORMED,
            b"[" * 100_000: MALFORMED,
            b"[]": INVALID,
            b"7": INVALID,
            b'{"a": "\xff"}': UNREADABLE,
            b" " * (2 << 20): UNREADABLE,
        }
        for content, code in cases.items():
            with self.subTest(content[:9]):
                self.assertEqual(self.refused(content).code, code)
        detail = self.refused(b'{"a": 1,\n  "b" 2}').detail
        self.assertRegex(detail, "line 2, column [0-9]+: ")
        for path in (self.folder, os.path.join(self.folder, "none"), "a\0b", "\ud800"):
            with self.subTest(repr(path)):
                self.assertEqual(load_settings(path).code, UNREADABLE)

    def test_comments_and_relative_paths(self):
        """Guards against relative paths that are resolved against the working directory."""
        text = b"\xef\xbb\xbf// one instance\n" + json.dumps(VALUES).encode()
        settings = load_settings(self.write(text))
        self.assertEqual(settings.peer_token_file, os.path.join(self.folder, "peer"))

    def test_random_changes_never_raise(self):
        """Guards against an exception or superlinear cost for any content."""
        rng = random.Random(5)
        good = json.dumps({**VALUES, "seeds": ["127.0.0.1:1"], "stop_grace_s": 1.5}).encode()
        pieces = (b"{", b"]", b'"', b":", b"//", b"/*", b"\\", b"\x00", b"\xff", b"1e9", b"[" * 50)
        for _ in range(3000):
            data = bytearray(good)
            for _ in range(rng.randint(1, 5)):
                at = rng.randrange(len(data))
                data[at : at + rng.randint(0, 8)] = rng.choice(pieces)
            path = self.write(bytes(data))
            with calls_at_most(CALLS_PER_BYTE * len(data)):
                result = load_settings(path)
            self.assertIsInstance(result, Settings | Refusal)


class TokenTest(FileTest):
    """Files with secrets."""

    def test_unusable_tokens(self):
        """Guards against a secret that is empty, short, or not valid in an HTTP header."""
        cases = {
            b"": INVALID,
            b"short": INVALID,
            b"with space in the middle": INVALID,
            "zwölf-und-vier-zeichen".encode(): INVALID,
            b"\xff" * 20: UNREADABLE,
        }
        for content, code in cases.items():
            with self.subTest(content):
                refusal = read_token(self.write(content, "token"))
                self.assertEqual(refusal.code, code)
                if len(content) > 8:
                    self.assertNotIn(content.decode("utf-8", "replace"), refusal.detail)
        path = self.write(b"sixteen-letters-x\n", "token")
        self.assertEqual(read_token(path), "sixteen-letters-x")

    def test_equal_tokens_are_refused(self):
        """Guards against endpoints that share the operators' secret."""
        for name in ("peer", "operator", "endpoint"):
            self.write(f"{name[0]}-token-0123456789".encode(), name)
        settings = load_settings(self.write(json.dumps(VALUES).encode()))
        self.assertNotIsInstance(read_tokens(settings), Refusal)
        self.write(b"o-token-0123456789", "endpoint")
        self.assertEqual(read_tokens(settings).code, INVALID)


if __name__ == "__main__":
    unittest.main()
