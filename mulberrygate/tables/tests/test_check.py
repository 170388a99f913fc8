"""Tests of the semantic checks of tables."""

import json
import unittest

from mulberrygate.tables import Route, check_table, parse_table
from mulberrygate.tables.check import (
    BAD_MOVE,
    BAD_NAME,
    BAD_TOKEN,
    MISSING_ACCOUNT,
    MISSING_POOL,
    UNKNOWN_DOMAIN,
    WRONG_PREVIOUS,
)


def parse(kind, **sections):
    return parse_table(json.dumps({"table": kind, "version": 1, **sections}), kind)


class CheckTest(unittest.TestCase):
    def codes(self, parsed, **known):
        return [fault.code for fault in check_table(parsed, **known)]

    def test_routes(self):
        """Guards against routes and accounts that refer to unknown names."""
        account = {"token_sha256": ["ab"], "home": "x"}
        route = {"pool": "lamp", "accounts": ["b"]}
        parsed = parse("routes", accounts={"a": account}, routes={"r": route})
        found = self.codes(parsed, pools=["other"], failure_domains=["y"])
        self.assertEqual(found, [MISSING_POOL, MISSING_ACCOUNT, UNKNOWN_DOMAIN, BAD_TOKEN])
        self.assertEqual(self.codes(parsed), [MISSING_ACCOUNT, BAD_TOKEN])

    def test_token_of_two_accounts(self):
        """Guards against a token that identifies two client accounts."""
        account = {"token_sha256": ["0" * 64], "home": "x"}
        parsed = parse("routes", accounts={"a": account, "b": account})
        self.assertEqual(self.codes(parsed), [BAD_TOKEN])

    def test_names(self):
        """Guards against names that can't be part of a path."""
        self.assertEqual(self.codes(parse("pools", pools={"a/b": {}, "": {}})), [BAD_NAME] * 2)

    def test_removed_pool_in_use(self):
        """Guards against the removal of a pool that a route in force still uses."""
        parsed = parse("pools", pools={"wash": {}})
        self.assertEqual(self.codes(parsed, routes={"r": Route("lamp")}), [MISSING_POOL])
        self.assertEqual(self.codes(parsed, routes={"r": Route("wash")}), [])

    def test_moves(self):
        """Guards against moves without two distinct versions, or from one that does not serve."""
        for version, previous, code in (("", "a", BAD_MOVE), ("b", "", BAD_MOVE)):
            pool = {"version": version, "move": {"previous": previous}}
            self.assertEqual(self.codes(parse("pools", pools={"p": pool})), [code])
        same = parse("pools", pools={"p": {"version": "a", "move": {"previous": "a"}}})
        self.assertEqual(self.codes(same), [BAD_MOVE])
        parsed = parse("pools", pools={"p": {"version": "c", "move": {"previous": "a"}}})
        self.assertEqual(self.codes(parsed, serving={"p": ("b",)}), [WRONG_PREVIOUS])
        self.assertEqual(self.codes(parsed, serving={"p": ("a", "b")}), [])
