"""Tests of what an entry knows about calls that crash endpoints."""

import unittest

from mulberrygate.forward.request import Call, CallHead
from mulberrygate.forward.suspects import Suspects


def call(path="/plain/1", account="a", request="id-1"):
    """Return a call."""
    return Call(CallHead(request, "a.example", "POST", path), {}, 0.0, account=account)


class TestSuspects(unittest.TestCase):
    """Reports of one entry and the lists that it takes from control processes."""

    def setUp(self):
        self.crashes = []
        self.wakes = []
        self.suspects = Suspects(self.crashes.append, lambda: self.wakes.append(1))

    def test_report_stays_until_it_is_in_the_log(self):
        """A report that got lost was never sent again, and the call was sent on."""
        self.suspects.record_crash(call(), "e1", 1)
        report = self.suspects.next_report()
        self.assertEqual(self.suspects.next_report(), report)
        self.suspects.record_reported(report)
        self.assertIsNone(self.suspects.next_report())

    def test_call_that_was_answered_before_is_reported(self):
        """A call that had been answered once was never reported again."""
        self.suspects.record_answered(call())
        self.suspects.record_crash(call(request="id-2"), "e1", 1)
        self.assertEqual(len(self.suspects.next_report().crashes), 1)

    def test_entry_alone_refuses_what_it_could_not_report(self):
        """Without control processes an entry crashed one endpoint after the other."""
        for endpoint in ("e1", "e2", "e3"):
            self.assertFalse(self.suspects.is_quarantined(call()))
            self.suspects.record_crash(call(), endpoint, 1)
        self.assertTrue(self.suspects.is_quarantined(call(request="id-9")))
        self.assertFalse(self.suspects.is_quarantined(call(path="/plain/2")))
        self.assertFalse(self.suspects.is_quarantined(call(account="b")))

    def test_older_list_changes_nothing(self):
        """An entry that turned to a process that was behind let crashing calls through."""
        fingerprint = call().fingerprint
        self.suspects.update_quarantine(2, (fingerprint,), ())
        self.suspects.update_quarantine(1, (), ())
        self.assertTrue(self.suspects.is_quarantined(call()))

    def test_answered_suspect_is_cleared(self):
        """An ordinary call that ran beside crashing ones stayed under suspicion."""
        self.suspects.update_quarantine(1, (), (call().fingerprint,))
        self.suspects.record_answered(call(path="/plain/2"))
        self.assertIsNone(self.suspects.next_report())
        self.suspects.record_answered(call())
        self.assertEqual(self.suspects.next_report().cleared, (call().fingerprint,))

    def test_own_report_is_cleared_by_an_answer(self):
        """A crash that an entry had reported counted although the call was answered then."""
        self.suspects.record_crash(call(), "e1", 1)
        self.suspects.record_reported(self.suspects.next_report())
        self.suspects.record_answered(call())
        self.assertEqual(self.suspects.next_report().cleared, (call().fingerprint,))


if __name__ == "__main__":
    unittest.main()
