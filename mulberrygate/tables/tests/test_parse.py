"""Reading of tables."""

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


# A refusal of a hostile input takes a fixed number of steps, whatever its size.
FEW_CALLS = 2000


class ParseTest(unittest.TestCase):
    def fault(self, text, name=""):
        result = parse_table(text, name)
        self.assertIsInstance(result, Faults)
        return result.faults[0]

    def place(self, text):
        fault = self.fault(text)
        return fault.line, fault.column, fault.path, fault.code

    def test_reads_a_table_with_comments(self):
        """Guards against refusing comments and trailing commas."""
        parsed = parse_table(ROUTES, "routes")
        self.assertEqual((parsed.table.version, parsed.kind), (3, "routes"))
        self.assertEqual(parsed.table.routes["care"].pool, "lamp")

    def test_digest_is_of_the_values(self):
        """Guards against a conflict for a table that was only reformatted."""
        other = POOLS.replace("\n", " /* x */ ").replace('"a"', "'a'").replace("60", "6.0e1")
        self.assertEqual(parse_table(POOLS, "").digest, parse_table(other, "").digest)
        changed = POOLS.replace("60", "61")
        self.assertNotEqual(parse_table(POOLS, "").digest, parse_table(changed, "").digest)

    def test_faults_name_their_position(self):
        """Guards against a fault that the operator has to search for."""
        wrong_type = ROUTES.replace('"tier": 1', '"tier": "x"')
        self.assertEqual(self.place(wrong_type), (5, 39, "routes.care.tier", INVALID))
        unknown = ROUTES.replace('"tier"', '"teir"')
        self.assertEqual(self.place(unknown), (5, 39, "routes.care.teir", INVALID))
        out_of_range = POOLS.replace("60", "1")
        line = POOLS.splitlines()[1]
        place = (2, line.index('"deadline_s"') + 1, "pools.lamp.move.deadline_s", INVALID)
        self.assertEqual(self.place(out_of_range), place)
        missing = POOLS.replace('"previous": "a", ', "")
        place = (2, line.index('"move"') + 1, "pools.lamp.move.previous", INVALID)
        self.assertEqual(self.place(missing), place)
        self.assertEqual(self.place('{\n "table": }'), (2, 11, "", MALFORMED))

    def test_all_faults_are_reported(self):
        """Guards against one round trip for each fault."""
        text = ROUTES.replace('"tier": 1', '"tier": "9", "x": 1').replace('"dakar-a"', "4")
        self.assertEqual(len(parse_table(text, "").faults), 3)

    def test_duplicate_names(self):
        """Guards against silently taking the last of two entries with one name."""
        text = '{"table": "pools", "version": 1,\n "pools": {"a": {}, "\\u0061": {}}}'
        self.assertEqual(self.place(text), (2, 21, "pools.a", DUPLICATE))

    def test_names_inside_strings_and_comments_do_not_count(self):
        """Guards against a locator that reads strings and comments as structure."""
        pools = '{"a": {"model": "\\"}, \'a\':"}}'
        text = '{"table": "pools", /* {"a": */ "version": 1, "pools": ' + pools + "}"
        self.assertIsInstance(parse_table(text, ""), ParsedTable)

    def test_wrong_shapes(self):
        """Guards against a string that is taken letter by letter, and unclear messages."""
        for wrong in ('"pools": []', '"pools": {"a": 3}', '"pools": {"a": {"move": 3}}'):
            fault = self.fault('{"table": "pools", "version": 1, ' + wrong + "}")
            self.assertEqual(fault.detail, "expected an object")
        fault = self.fault(ROUTES.replace('["salon"]', '"salon"'))
        self.assertEqual(fault.detail, "expected a list of strings")

    def test_values_that_the_codec_cannot_carry(self):
        """Guards against a table that is accepted and then can't be encoded."""
        for value in ("Infinity", "NaN", "1" + "0" * 30, '"\\ud800"'):
            text = POOLS.replace('"version": "b"', f'"max_waiting": {value}')
            self.assertIn(self.fault(text).code, (INVALID, MALFORMED))

    def test_kind(self):
        """Guards against a pools table sent as a routes table."""
        self.assertEqual(self.fault(POOLS, "routes").code, INVALID)
        self.assertEqual(self.fault('{"table": "pool", "version": 1}').code, UNKNOWN_KIND)
        self.assertEqual(self.fault("[]").code, INVALID)

    def test_unusable_files(self):
        """Guards against slow or unclear answers to files that are no tables."""
        with calls_at_most(FEW_CALLS):
            self.assertEqual(self.fault(b" " * 10_000_000).code, TOO_LARGE)
            self.assertEqual(self.place(b'{\n "a\xff": 1}'), (2, 4, "", NOT_UTF8))
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
