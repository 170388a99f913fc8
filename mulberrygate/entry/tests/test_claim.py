"""Tests of the names under which requests are claimed."""

import unittest
from types import SimpleNamespace
from unittest import mock

from mulberrygate.entry.claim import Claim
from mulberrygate.entry.context import RequestContext
from mulberrygate.ledger.keys import home_domain


class NameTest(unittest.TestCase):
    """Keys of client accounts in the ledger."""

    def name(self, account: str, key: str) -> RequestContext:
        """Return a request after it was given its name in the ledger."""
        coordinator = mock.Mock(home_domain=home_domain)
        parts = mock.Mock(coordinator=coordinator, known_domains=lambda: {"a"})
        parts.settings.failure_domain = "a"
        request = RequestContext(None, "service", "r", 0.0)
        request.account_name, request.account = account, SimpleNamespace(home="a")
        request.key, request.has_caller_key = key, True
        Claim(parts)._assign_key(request)
        return request

    def test_accounts_do_not_share_a_key(self):
        """Guards against two accounts whose names and keys run together into one."""
        first, second = self.name("lab", "east:7"), self.name("lab:east", "7")
        self.assertNotEqual(first.ledger_key, second.ledger_key)

    def test_fingerprint_has_the_account(self):
        """Guards against an answer given to another account that sends a minted key."""
        key = "a/1700000000500-00000000000000ff"
        first, second = self.name("lab", key), self.name("field", key)
        self.assertEqual(first.ledger_key, second.ledger_key)
        self.assertNotEqual(first.claim_fingerprint, second.claim_fingerprint)


if __name__ == "__main__":
    unittest.main()
