"""Tests of the crash reports and the quarantine of an entry."""

import unittest

from mulberrygate.forward.request import Call, CallHead
from mulberrygate.forward.suspects import Suspects


def call(path="/plain/1", account="a", request="id-1"):
    """Return a call with the given path, account and identifier."""
    return Call(CallHead(request, "a.example", "POST", path), {}, 0.0, account=account)


class TestSuspects(unittest.TestCase):
    """Crash reports of one entry, and the quarantine that it takes over from control processes."""

    def setUp(self):
        self.crashes = []
        self.wakes = []
        self.suspects = Suspects(self.crashes.append, lambda: self.wakes.append(1))

    def test_report_stays_until_it_is_in_the_log(self):
        """Guards against a lost report that is never repeated, so that the call is sent on."""
        self.suspects.record_crash(call().fingerprint, "e1", 1)
        report = self.suspects.next_report()
        self.assertEqual(self.suspects.next_report(), report)
        self.suspects.record_reported(report)
        self.assertIsNone(self.suspects.next_report())

    def test_call_that_was_answered_before_is_reported(self):
        """Guards against a call that is never reported after it was answered once."""
        self.suspects.record_answered(call())
        self.suspects.record_crash(call(request="id-2").fingerprint, "e1", 1)
        self.assertEqual(len(self.suspects.next_report().crashes), 1)

    def test_entry_alone_refuses_what_it_could_not_report(self):
        """Guards against an entry without control processes that crashes many endpoints."""
        for endpoint in ("e1", "e2", "e3"):
            self.assertFalse(self.suspects.is_quarantined(call()))
            self.suspects.record_crash(call().fingerprint, endpoint, 1)
        self.assertTrue(self.suspects.is_quarantined(call(request="id-9")))
        self.assertFalse(self.suspects.is_quarantined(call(path="/plain/2")))
        self.assertFalse(self.suspects.is_quarantined(call(account="b")))

    def test_older_list_changes_nothing(self):
        """Guards against an older quarantine of a lagging control process that releases a call."""
        fingerprint = call().fingerprint
        self.suspects.update_quarantine(2, (fingerprint,), ())
        self.suspects.update_quarantine(1, (), ())
        self.assertTrue(self.suspects.is_quarantined(call()))

    def test_answered_suspect_is_cleared(self):
        """Guards against an ordinary call that stays a suspect as it ran beside crashing ones."""
        self.suspects.update_quarantine(1, (), (call().fingerprint,))
        self.suspects.record_answered(call(path="/plain/2"))
        self.assertIsNone(self.suspects.next_report())
        self.suspects.record_answered(call())
        self.assertEqual(self.suspects.next_report().cleared, (call().fingerprint,))

    def test_own_report_is_cleared_by_an_answer(self):
        """Guards against a reported crash that still counts after the call was answered."""
        self.suspects.record_crash(call().fingerprint, "e1", 1)
        self.suspects.record_reported(self.suspects.next_report())
        self.suspects.record_answered(call())
        self.assertEqual(self.suspects.next_report().cleared, (call().fingerprint,))

    def test_clearance_that_waits_does_not_erase_a_later_crash(self):
        """Guards against a late clearance that erases crashes seen after the answer."""
        self.suspects.update_quarantine(1, (), (call().fingerprint,))
        self.suspects.record_answered(call())
        self.suspects.record_crash(call(request="id-2").fingerprint, "e1", 1)
        report = self.suspects.next_report()
        self.assertEqual((len(report.crashes), report.cleared), (1, ()))


if __name__ == "__main__":
    unittest.main()
