"""Tests of the roster of endpoints."""

from __future__ import annotations

import unittest

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from mulberrygate.endpoints.roster import Registration, Roster


def report(name="e1", incarnation=1, sequence=1, pool="care", address="10.0.0.1:80", **more):
    """Return an endpoint's report."""
    return Registration(name, incarnation, sequence, pool, address, "a", **more)


class TestRoster(unittest.TestCase):
    """Order of reports, ends and reused addresses."""

    def setUp(self):
        self.roster = Roster()

    def names(self, pool="care"):
        """Return the names of the endpoints that take work."""
        return [row.registration.endpoint for row in self.roster.usable(pool)]

    def test_late_report_does_not_undo_leaving(self):
        """A report that was sent before the endpoint began to leave brought it back."""
        self.roster.record_report(report(sequence=5), 0.0)
        self.roster.record_report(report(sequence=7, is_leaving=True), 1.0)
        self.roster.record_report(report(sequence=6), 2.0)
        self.assertEqual(self.names(), [])
        self.roster.record_report(report(sequence=8), 3.0)
        self.assertEqual(self.names(), [], "an incarnation that leaves never returns")

    def test_new_incarnation_takes_work_again(self):
        """An endpoint that started again under its name stayed out."""
        self.roster.record_report(report(sequence=9, is_leaving=True), 0.0)
        self.roster.record_report(report(incarnation=2, sequence=1), 1.0)
        self.assertEqual(self.names(), ["e1"])

    def test_ended_incarnation_stays_out(self):
        """A report on its way while the endpoint ended brought it back."""
        self.roster.record_report(report(sequence=3), 0.0)
        self.roster.mark_ended("e1", 1)
        self.roster.rows.clear()
        self.assertFalse(self.roster.record_report(report(sequence=4), 1.0))
        self.assertEqual(self.names(), [])

    def test_reused_address(self):
        """Requests for one pool went to an endpoint of another one at the same address."""
        self.roster.record_report(report("old", incarnation=5), 0.0)
        self.roster.record_report(report("new", incarnation=9, pool="booking"), 10.0)
        self.assertEqual((self.names(), self.names("booking")), ([], ["new"]))
        # A delayed report of the former owner of the address.
        self.roster.record_report(report("old", incarnation=5, sequence=50), 11.0)
        self.assertEqual((self.names(), self.names("booking")), ([], ["new"]))

    def test_older_start_at_an_address_changes_nothing(self):
        """A report held up by a cut arrived after a new endpoint had the address."""
        self.roster.record_report(report("new", incarnation=9), 0.0)
        self.assertFalse(self.roster.record_report(report("old", incarnation=5), 1.0))
        self.assertEqual(self.names(), ["new"])

    def test_renewal_is_no_change(self):
        """Each heartbeat woke all entries."""
        self.assertTrue(self.roster.record_report(report(sequence=1), 0.0))
        changes = self.roster.changes
        self.assertFalse(self.roster.record_report(report(sequence=2), 1.0))
        self.assertEqual((self.roster.changes, self.roster.rows["e1"].heard_at), (changes, 1.0))

    def test_silent_endpoints_are_forgotten(self):
        """Endpoints that crashed stayed in the roster for ever."""
        self.roster.record_report(report(), 0.0)
        self.roster.record_report(report("e2", address="10.0.0.2:80"), 15.0)
        before = self.roster.changes
        self.assertEqual(self.roster.forget_silent(21.0, 20.0), ["e1"])
        self.assertEqual(self.roster.changed_since(before), ["e1"])

    def test_renewal_by_others_never_makes_older(self):
        """An old age passed on by another process made a live endpoint look silent."""
        self.roster.record_report(report(), 10.0)
        self.roster.renew("e1", 1, 4.0)
        self.roster.renew("e1", 2, 99.0)
        self.assertEqual(self.roster.rows["e1"].heard_at, 10.0)


REPORTS = st.lists(
    st.builds(
        report,
        name=st.sampled_from(["e1", "e2"]),
        incarnation=st.integers(1, 3),
        sequence=st.integers(1, 6),
        is_leaving=st.booleans(),
    ),
    max_size=25,
)


def place(registration):
    """Return a report with an address of the endpoint's own."""
    return attrs.evolve(registration, address=f"10.0.0.{registration.endpoint[1:]}:80")


class TestOrder(unittest.TestCase):
    """Reports that come in any order, more than once, by way of several processes."""

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(REPORTS, st.randoms(use_true_random=False))
    def test_copies_agree_on_the_newest_report(self, reports, rng):
        """Two processes that had heard the same reports disagreed on an endpoint."""
        reports = [place(registration) for registration in reports]
        newest = {}
        for registration in reports:
            # A report is sent once, so of two with one order the first one counts.
            newest.setdefault((registration.endpoint, registration.order_key), registration)
        reports = list(newest.values())
        copies = []
        for _ in range(2):
            rng.shuffle(reports)
            roster = Roster()
            for number, registration in enumerate(reports + reports[::2]):
                roster.record_report(registration, float(number))
            copies.append({n: row.registration for n, row in roster.rows.items()})
        self.assertEqual(copies[0], copies[1])
        for name, registration in copies[0].items():
            orders = [other.order_key for other in reports if other.endpoint == name]
            self.assertEqual(registration.order_key, max(orders))

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(REPORTS, st.integers(0, 24))
    def test_incarnation_that_leaves_takes_no_work_again(self, reports, at):
        """A report that came after an endpoint's leaving brought it back."""
        roster = Roster()
        left = set()
        for number, registration in enumerate(place(item) for item in reports):
            if number == at:
                for name, row in roster.rows.items():
                    roster.mark_ended(name, row.registration.incarnation)
                    left.add((name, row.registration.incarnation))
            roster.record_report(registration, float(number))
            for row in roster.usable("care"):
                known = row.registration
                self.assertNotIn((known.endpoint, known.incarnation), left)
                self.assertFalse(known.is_leaving)


if __name__ == "__main__":
    unittest.main()
