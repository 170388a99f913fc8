"""Tests of the crash reports and the quarantine of an entry."""

import unittest

from mulberrygate.control.blame import TRUST_S, part_identity
from mulberrygate.forward.request import Call, CallHead
from mulberrygate.forward.suspects import (
    AWAIT_LIST_S,
    EXEMPT_S,
    LOWER_NUMBER_S,
    Standing,
    Suspects,
)
from mulberrygate.forward.unanswered import UnansweredSend

BAD = part_identity("bad")
FIRST = part_identity("aa")


def call(path="/plain/1", account="a", request="id-1", parts=()):
    """Return a call with the given path, account, identifier and shared parts."""
    head = CallHead(request, "a.example", "POST", path, shared_parts=parts)
    return Call(head, {}, 0.0, account=account)


def ended(sent, endpoint="e1", has_head=False):
    """Return a send of a call that ended without an answer."""
    return UnansweredSend(
        sent.fingerprint, "id-1", endpoint, 1, "10.0.0.1:80", 0.0, 1.0, True, sent.parts, has_head
    )


class TestSuspects(unittest.TestCase):
    """Crash reports of one entry, and the quarantine that it takes over from control processes."""

    def setUp(self):
        self.crashes = []
        self.wakes = []
        self.now = 1000.0
        self.suspects = Suspects(
            self.crashes.append, lambda: self.wakes.append(1), lambda: self.now
        )

    def standing(self, sent):
        """Return the standing of a call."""
        return self.suspects.find(sent).standing

    def crash(self, sent, endpoint="e1", has_head=False):
        """Record a crash, a second after whatever was before."""
        self.now += 1.0
        self.suspects.record_crash(ended(sent, endpoint, has_head), 1)

    def test_report_stays_until_it_is_in_the_log(self):
        """Guards against a lost report that is never repeated, so that the call is sent on."""
        self.crash(call())
        report = self.suspects.next_report()
        self.assertEqual(self.suspects.next_report(), report)
        self.suspects.record_reported(report, 1)
        self.assertIsNone(self.suspects.next_report())

    def test_report_that_is_repeated_has_its_age(self):
        """Guards against crashes that seem to have happened when their report was delivered."""
        self.crash(call())
        self.now += 3.0
        self.assertEqual(self.suspects.next_report().crashes[0].age_s, 3.0)

    def test_call_that_was_answered_before_is_reported(self):
        """Guards against a call that is never reported after it was answered once."""
        self.suspects.record_answered(call())
        self.crash(call(request="id-2"))
        self.assertEqual(len(self.suspects.next_report().crashes), 1)

    def test_entry_alone_refuses_what_it_could_not_report(self):
        """Guards against an entry without control processes that crashes many endpoints."""
        for endpoint in ("e1", "e2"):
            self.assertEqual(self.standing(call()), Standing.CLEAR)
            self.crash(call(), endpoint)
        self.assertEqual(self.standing(call()), Standing.SUSPECTED)
        self.crash(call(), "e3")
        self.assertEqual(self.standing(call(request="id-9")), Standing.QUARANTINED)
        self.assertEqual(self.standing(call(path="/plain/2")), Standing.CLEAR)
        self.assertEqual(self.standing(call(account="b")), Standing.CLEAR)

    def test_entry_alone_refuses_a_part_that_it_could_not_report(self):
        """Guards against an entry without control processes that sends a crashing part on."""
        self.suspects.record_answered(call(parts=("aa",)))
        for number in range(2):
            sent = call(f"/stream/{number}", parts=("aa", "bad"))
            self.crash(sent, f"e{number}", has_head=True)
            self.assertNotEqual(self.standing(call("/stream/9", parts=("bad",))), Standing.CLEAR)
        found = self.suspects.find(call("/stream/9", parts=("aa", "bad")))
        self.assertEqual((found.standing, found.identities), (Standing.QUARANTINED, (BAD,)))
        self.assertEqual(self.standing(call("/stream/9", parts=("aa",))), Standing.CLEAR)

    def test_parts_that_are_quarantined_jointly(self):
        """Guards against refusing calls with one of two parts that can't be told apart."""
        self.suspects.update_quarantine(1, ("part-aa+part-bad",), (FIRST, BAD))
        found = self.suspects.find(call(parts=("aa", "0c", "bad")))
        self.assertEqual(found.standing, Standing.QUARANTINED)
        self.assertEqual(found.identities, ("part-aa+part-bad",))
        self.assertEqual(self.standing(call(parts=("aa",))), Standing.SUSPECTED)
        self.assertEqual(self.standing(call(parts=("0c",))), Standing.CLEAR)

    def test_older_list_changes_nothing(self):
        """Guards against an older quarantine of a lagging control process that releases a call."""
        self.suspects.update_quarantine(2, (call().fingerprint,), ())
        self.suspects.update_quarantine(1, (), ())
        self.assertEqual(self.standing(call()), Standing.QUARANTINED)

    def test_list_of_a_group_that_was_formed_anew(self):
        """Guards against an old list that holds until a new group's numbers have passed it."""
        self.suspects.update_quarantine(50, (call().fingerprint,), ())
        self.suspects.update_quarantine(1, (), ())
        self.now += LOWER_NUMBER_S
        self.suspects.update_quarantine(1, (), ())
        self.assertEqual(self.standing(call()), Standing.CLEAR)
        self.assertEqual(self.suspects.quarantine_number, 1)

    def test_lagging_process_between_current_ones(self):
        """Guards against taking over an older list because it came twice, long apart."""
        self.suspects.update_quarantine(2, (call().fingerprint,), ())
        for number in (1, 2, 1):
            self.suspects.update_quarantine(number, (), ())
            self.now += LOWER_NUMBER_S - 0.1
        self.assertEqual(self.standing(call()), Standing.QUARANTINED)

    def test_answered_suspect_is_reported(self):
        """Guards against an ordinary call that stays a suspect as it ran beside crashing ones."""
        self.suspects.update_quarantine(1, (), (call().fingerprint,))
        self.suspects.record_answered(call(path="/plain/2"))
        self.assertIsNone(self.suspects.next_report())
        self.suspects.record_answered(call())
        answers = self.suspects.next_report().answers
        self.assertEqual([answer.identity for answer in answers], [call().fingerprint])

    def test_own_report_is_cleared_by_an_answer(self):
        """Guards against a crash that still counts here after the call was answered."""
        self.crash(call())
        self.suspects.record_answered(call())
        report = self.suspects.next_report()
        self.assertEqual(report.answers[0].identity, call().fingerprint)
        for endpoint in ("e2", "e3"):
            self.crash(call(), endpoint)
        self.assertEqual(self.standing(call()), Standing.CLEAR)

    def test_answer_that_waits_is_older_than_a_later_crash(self):
        """Guards against a late report of an answer that erases crashes seen after it."""
        self.suspects.update_quarantine(1, (), (call().fingerprint,))
        self.suspects.record_answered(call())
        self.crash(call(request="id-2"))
        report = self.suspects.next_report()
        self.assertGreater(report.answers[0].age_s, report.crashes[0].age_s)

    def test_earlier_answer_speaks_for_a_part(self):
        """Guards against holding back a popular part until its next answer."""
        self.suspects.record_answered(call(parts=("aa",)))
        self.now += TRUST_S / 2
        self.suspects.update_quarantine(1, (), (FIRST, BAD))
        answers = self.suspects.next_report().answers
        self.assertEqual([(a.identity, a.age_s) for a in answers], [(FIRST, TRUST_S / 2)])
        self.assertEqual(self.standing(call(parts=("aa",))), Standing.CLEAR)
        self.assertEqual(self.standing(call(parts=("bad",))), Standing.SUSPECTED)

    def test_part_that_stays_suspected_after_an_earlier_answer(self):
        """Guards against sending a part on that was answered before it began to crash endpoints."""
        self.suspects.record_answered(call(parts=("bad",)))
        self.now += 1.0
        self.suspects.update_quarantine(1, (), (BAD,))
        self.now += EXEMPT_S
        self.assertEqual(self.standing(call(parts=("bad",))), Standing.SUSPECTED)

    def test_crash_counts_until_a_list_takes_it_into_account(self):
        """Guards against sending a call between the commit of its crash and the new list."""
        sent = call(parts=("bad",))
        self.crash(sent, has_head=True)
        self.suspects.record_reported(self.suspects.next_report(), 5)
        self.assertEqual(self.standing(sent), Standing.SUSPECTED)
        self.suspects.update_quarantine(4, (), ())
        self.assertEqual(self.standing(sent), Standing.SUSPECTED)
        self.suspects.update_quarantine(5, (), ())
        self.assertEqual(self.standing(sent), Standing.CLEAR)

    def test_list_that_does_not_come(self):
        """Guards against a suspicion that stays because a list was lost on its way."""
        sent = call(parts=("bad",))
        self.crash(sent, has_head=True)
        self.suspects.record_reported(self.suspects.next_report(), 5)
        self.now += AWAIT_LIST_S
        self.assertEqual(self.standing(sent), Standing.CLEAR)

    def test_suspect_with_a_crash_that_is_not_in_the_list(self):
        """Guards against sending a call whose next crash waits for its commit."""
        sent = call(parts=("bad",))
        self.suspects.update_quarantine(1, (), (BAD,))
        self.assertEqual(self.standing(sent), Standing.SUSPECTED)
        self.crash(call("/stream/2", parts=("bad",)), has_head=True)
        self.assertEqual(self.standing(sent), Standing.QUARANTINED)


if __name__ == "__main__":
    unittest.main()
