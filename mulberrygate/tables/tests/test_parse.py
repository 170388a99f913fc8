"""Tests of the parser of tables."""

import random
import unittest

from mulberrygate.core.tests.call_limit import calls_at_most
from mulberrygate.tables import Faults, ParsedTable, parse_table
from mulberrygate.tables.parse import (
    DUPLICATE,
    EMPTY,
    INVALID,
    MALFORMED,
    MAX_BYTES,
    NOT_UTF8,
    TOO_LARGE,
    UNKNOWN_KIND,
)

ROUTES = """{
  // table of the salon routes
  "table": "routes", "version": 3,
  "accounts": {"salon": {"token_sha256": [], "home": "dakar-a"}},
  "routes": {"care": {"pool": "lamp", "tier": 1, "accounts": ["salon"]}},
}"""
POOLS = """{"table": "pools", "version": 2,
  "pools": {"lamp": {"version": "b", "move": {"previous": "a", "deadline_s": 60}}}}"""


# Call limit for the refusal of a hostile input, independent of its size.
MAX_REFUSAL_CALLS = 2000


class ParseTest(unittest.TestCase):
    def fault(self, text, name=""):
        result = parse_table(text, name)
        self.assertIsInstance(result, Faults)
        return result.faults[0]

    def fault_position(self, text):
        fault = self.fault(text)
        return fault.line, fault.column, fault.path, fault.code

    def test_reads_a_table_with_comments(self):
        """Guards against a parser that refuses comments and trailing commas."""
        parsed = parse_table(ROUTES, "routes")
        self.assertEqual((parsed.table.version, parsed.kind), (3, "routes"))
        self.assertEqual(parsed.table.routes["care"].pool, "lamp")

    def test_digest_is_of_the_values(self):
        """Guards against a version conflict for a table that was only reformatted."""
        other = POOLS.replace("\n", " /* x */ ").replace('"a"', "'a'").replace("60", "6.0e1")
        self.assertEqual(parse_table(POOLS, "").digest, parse_table(other, "").digest)
        changed = POOLS.replace("60", "61")
        self.assertNotEqual(parse_table(POOLS, "").digest, parse_table(changed, "").digest)

    def test_faults_name_their_position(self):
        """Guards against faults without the position of the wrong value."""
        wrong_type = ROUTES.replace('"tier": 1', '"tier": "x"')
        self.assertEqual(self.fault_position(wrong_type), (5, 39, "routes.care.tier", INVALID))
        unknown = ROUTES.replace('"tier"', '"teir"')
        self.assertEqual(self.fault_position(unknown), (5, 39, "routes.care.teir", INVALID))
        out_of_range = POOLS.replace("60", "1")
        line = POOLS.splitlines()[1]
        expected = (2, line.index('"deadline_s"') + 1, "pools.lamp.move.deadline_s", INVALID)
        self.assertEqual(self.fault_position(out_of_range), expected)
        missing = POOLS.replace('"previous": "a", ', "")
        expected = (2, line.index('"move"') + 1, "pools.lamp.move.previous", INVALID)
        self.assertEqual(self.fault_position(missing), expected)
        self.assertEqual(self.fault_position('{\n "table": }'), (2, 11, "", MALFORMED))

    def test_all_faults_are_reported(self):
        """Guards against reports that show an operator only one fault at a time."""
        text = ROUTES.replace('"tier": 1', '"tier": "9", "x": 1').replace('"dakar-a"', "4")
        self.assertEqual(len(parse_table(text, "").faults), 3)

    def test_duplicate_names(self):
        """Guards against a parser that silently keeps the last of two values with one name."""
        text = '{"table": "pools", "version": 1,\n "pools": {"a": {}, "\\u0061": {}}}'
        self.assertEqual(self.fault_position(text), (2, 21, "pools.a", DUPLICATE))

    def test_names_inside_strings_and_comments_do_not_count(self):
        """Guards against a parser that takes text in strings and comments for names."""
        pools = '{"a": {"model": "\\"}, \'a\':"}}'
        text = '{"table": "pools", /* {"a": */ "version": 1, "pools": ' + pools + "}"
        self.assertIsInstance(parse_table(text, ""), ParsedTable)

    def test_wrong_shapes(self):
        """Guards against a string that is split into letters, and against unclear messages."""
        for wrong in ('"pools": []', '"pools": {"a": 3}', '"pools": {"a": {"move": 3}}'):
            fault = self.fault('{"table": "pools", "version": 1, ' + wrong + "}")
            self.assertEqual(fault.detail, "expected an object")
        fault = self.fault(ROUTES.replace('["salon"]', '"salon"'))
        self.assertEqual(fault.detail, "expected a list of strings")

    def test_values_that_the_codec_cannot_carry(self):
        """Guards against a table that is accepted but can't be sent between instances."""
        for value in ("Infinity", "NaN", "1" + "0" * 30, '"\\ud800"'):
            text = POOLS.replace('"version": "b"', f'"max_waiting": {value}')
            self.assertIn(self.fault(text).code, (INVALID, MALFORMED))

    def test_kind(self):
        """Guards against a pools table that is applied as a routes table."""
        self.assertEqual(self.fault(POOLS, "routes").code, INVALID)
        self.assertEqual(self.fault('{"table": "pool", "version": 1}').code, UNKNOWN_KIND)
        self.assertEqual(self.fault("[]").code, INVALID)

    def test_unusable_files(self):
        """Guards against slow or unclear refusals of files that are not tables."""
        with calls_at_most(MAX_REFUSAL_CALLS):
            self.assertEqual(self.fault(b" " * 10_000_000).code, TOO_LARGE)
            self.assertEqual(self.fault_position(b'{\n "a\xff": 1}'), (2, 4, "", NOT_UTF8))
            self.assertEqual(self.fault(b" \n").code, EMPTY)
            self.assertEqual(self.fault("[" * (MAX_BYTES - 1)).code, MALFORMED)
            self.assertEqual(self.fault('{"a":' * 100_000).code, MALFORMED)

    def test_random_changes_never_raise(self):
        """Guards against an exception or a position outside the text for any input."""
        rng = random.Random(7)
        for _ in range(4000):
            data = bytearray(rng.choice((ROUTES, POOLS)).encode())
            for _ in range(rng.randint(1, 6)):
                at = rng.randrange(len(data))
                action = rng.randrange(3)
                if action == 0:
                    data[at] = rng.choice(b"{}[],:\"'\\/*x0\n\xc3\x80")
                elif action == 1:
                    del data[at : at + rng.randint(1, 8)]
                else:
                    data[at:at] = data[at : at + rng.randint(1, 30)]
                data = data or bytearray(b"{")
            result = parse_table(bytes(data), "")
            if isinstance(result, Faults):
                lines = bytes(data).decode("utf-8", "replace").replace("\r", "\n").split("\n")
                for fault in result.faults:
                    self.assertLessEqual(fault.line, len(lines))
                    self.assertLessEqual(fault.column, len(lines[fault.line - 1]) + 1)
