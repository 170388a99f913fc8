"""Tests of the keys and fingerprints with which requests are claimed."""

import unittest
from types import SimpleNamespace
from unittest import mock

from mulberrygate.entry.claim import Claim
from mulberrygate.entry.context import RequestContext
from mulberrygate.ledger.keys import home_domain


class AssignKeyTest(unittest.TestCase):
    """Ledger keys of client accounts."""

    def assign_key(self, account: str, key: str) -> RequestContext:
        """Return a request after its ledger key was set."""
        coordinator = mock.Mock(home_domain=home_domain)
        parts = mock.Mock(coordinator=coordinator, known_domains=lambda: {"a"})
        parts.settings.failure_domain = "a"
        request = RequestContext(None, "service", "r", 0.0)
        request.account_name, request.account = account, SimpleNamespace(home="a")
        request.key, request.has_caller_key = key, True
        Claim(parts)._assign_key(request)
        return request

    def test_accounts_do_not_share_a_key(self):
        """Guards against two pairs of account name and key that join to the same ledger key."""
        first, second = self.assign_key("lab", "east:7"), self.assign_key("lab:east", "7")
        self.assertNotEqual(first.ledger_key, second.ledger_key)

    def test_fingerprint_has_the_account(self):
        """Guards against giving an answer to another account that sends the same minted key."""
        key = "a/1700000000500-00000000000000ff"
        first, second = self.assign_key("lab", key), self.assign_key("field", key)
        self.assertEqual(first.ledger_key, second.ledger_key)
        self.assertNotEqual(first.claim_fingerprint, second.claim_fingerprint)


if __name__ == "__main__":
    unittest.main()
