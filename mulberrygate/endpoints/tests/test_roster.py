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
    """Late reports, ended incarnations and reused addresses."""

    def setUp(self):
        self.roster = Roster()

    def names(self, pool="care"):
        """Return the names of the endpoints that accept work."""
        return [row.registration.endpoint for row in self.roster.usable(pool)]

    def test_late_report_does_not_undo_leaving(self):
        """Guards against a report from before the leave that makes the endpoint usable again."""
        self.roster.record_report(report(sequence=5), 0.0)
        self.roster.record_report(report(sequence=7, is_leaving=True), 1.0)
        self.roster.record_report(report(sequence=6), 2.0)
        self.assertEqual(self.names(), [])
        self.roster.record_report(report(sequence=8), 3.0)
        self.assertEqual(self.names(), [], "an incarnation that leaves never returns")

    def test_new_incarnation_takes_work_again(self):
        """Guards against excluding an endpoint that has restarted under its name."""
        self.roster.record_report(report(sequence=9, is_leaving=True), 0.0)
        self.roster.record_report(report(incarnation=2, sequence=1), 1.0)
        self.assertEqual(self.names(), ["e1"])

    def test_ended_incarnation_stays_out(self):
        """Guards against a report in transit that restores an ended endpoint."""
        self.roster.record_report(report(sequence=3), 0.0)
        self.roster.mark_ended("e1", 1)
        self.roster.rows.clear()
        self.assertFalse(self.roster.record_report(report(sequence=4), 1.0))
        self.assertEqual(self.names(), [])

    def test_reused_address(self):
        """Guards against requests of one pool to an endpoint of another one at the same address."""
        self.roster.record_report(report("old", incarnation=5), 0.0)
        self.roster.record_report(report("new", incarnation=9, pool="booking"), 10.0)
        self.assertEqual((self.names(), self.names("booking")), ([], ["new"]))
        # A delayed report of the endpoint that had the address before.
        self.roster.record_report(report("old", incarnation=5, sequence=50), 11.0)
        self.assertEqual((self.names(), self.names("booking")), ([], ["new"]))

    def test_older_start_at_an_address_changes_nothing(self):
        """Guards against a report that a partition delayed until a new endpoint had the address."""
        self.roster.record_report(report("new", incarnation=9), 0.0)
        self.assertFalse(self.roster.record_report(report("old", incarnation=5), 1.0))
        self.assertEqual(self.names(), ["new"])

    def test_renewal_is_no_change(self):
        """Guards against renewals that wake all entries."""
        self.assertTrue(self.roster.record_report(report(sequence=1), 0.0))
        changes = self.roster.changes
        self.assertFalse(self.roster.record_report(report(sequence=2), 1.0))
        self.assertEqual((self.roster.changes, self.roster.rows["e1"].heard_at), (changes, 1.0))

    def test_silent_endpoints_are_forgotten(self):
        """Guards against crashed endpoints that stay in the roster forever."""
        self.roster.record_report(report(), 0.0)
        self.roster.record_report(report("e2", address="10.0.0.2:80"), 15.0)
        before = self.roster.changes
        self.assertEqual(self.roster.forget_silent(21.0, 20.0), ["e1"])
        self.assertEqual(self.roster.changed_since(before), ["e1"])

    def test_renewal_by_others_never_makes_older(self):
        """Guards against an old age from another process that makes a live endpoint look silent."""
        self.roster.record_report(report(), 10.0)
        self.roster.renew("e1", 1, 4.0)
        self.roster.renew("e1", 2, 99.0)
        self.assertEqual(self.roster.rows["e1"].heard_at, 10.0)


class TestColdEndpoints(unittest.TestCase):
    """How long endpoints stay cold, by their reports and by reports passed on."""

    START_S = 3.0

    def setUp(self):
        self.roster = Roster()

    def cold_s(self, now, roster=None):
        """Return the seconds for which the endpoint is still cold."""
        return (roster or self.roster).rows["e1"].cold_s(self.START_S, now)

    def record(self, sequence, warmup_s, heard_at, **more):
        """Record a report; return whether it is a change."""
        return self.roster.record_report(
            report(sequence=sequence, warmup_s=warmup_s, **more), heard_at
        )

    def test_endpoint_that_turns_cold_is_a_change(self):
        """Guards against entries that hear only at the next change that an endpoint is cold."""
        self.assertTrue(self.record(1, 0.0, 0.0))
        self.assertTrue(self.record(2, 3.0, 10.0))
        self.assertEqual(self.cold_s(11.0), 2.0)
        self.assertFalse(self.record(3, 1.8, 11.2), "the time that is left just goes by")
        self.assertFalse(self.record(4, 0.0, 13.5))
        self.assertTrue(self.record(5, 3.0, 20.0))
        self.assertTrue(self.record(6, 0.0, 20.5), "warm earlier than it had said")
        self.assertEqual(self.cold_s(20.5), 0.0)

    def test_late_report_changes_nothing(self):
        """Guards against a report from before that ends the cold time."""
        self.record(5, 3.0, 10.0)
        self.assertFalse(self.record(4, 0.0, 10.5))
        self.assertEqual(self.cold_s(10.5), 2.5)

    def test_report_passed_on_later(self):
        """Guards against an old cold time that begins anew each time a report is passed on."""
        self.record(1, 3.0, 0.0)
        self.roster.renew("e1", 1, 20.0)
        other = Roster()
        aged = self.roster.rows["e1"].aged(21.0)
        self.assertEqual(aged.age_s, 1.0)
        other.record_report(aged.registration, 50.0 - aged.age_s)
        self.assertEqual(self.cold_s(50.0, other), 0.0)
        self.record(2, 4.0, 21.0)
        aged = self.roster.rows["e1"].aged(22.0)
        other.record_report(aged.registration, 51.0 - aged.age_s)
        self.assertEqual(self.cold_s(51.0, other), 3.0)

    def test_report_that_does_not_state_it(self):
        """Guards against a new incarnation that counts as warm since nobody has said otherwise."""
        self.record(1, 0.0, 10.0, states_warmup=False)
        self.assertEqual(self.cold_s(11.0), 2.0)
        self.record(2, 0.0, 12.0, states_warmup=False)
        self.assertEqual(self.cold_s(14.0), 0.0)
        aged = self.roster.rows["e1"].aged(12.5)
        self.assertFalse(aged.registration.states_warmup)
        self.record(3, 5.0, 15.0)
        self.record(4, 0.0, 16.0, states_warmup=False)
        self.assertEqual(self.cold_s(16.0), 4.0, "what it stated before still holds")
        self.record(1, 0.0, 17.0, incarnation=2, states_warmup=False)
        self.assertEqual(self.cold_s(17.0), self.START_S)


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


def with_own_address(registration):
    """Return a report with an address that no other endpoint has."""
    return attrs.evolve(registration, address=f"10.0.0.{registration.endpoint[1:]}:80")


class TestOrder(unittest.TestCase):
    """Reports that arrive in any order and repeatedly, through several processes."""

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(REPORTS, st.randoms(use_true_random=False))
    def test_copies_agree_on_the_newest_report(self, reports, rng):
        """Guards against processes that got the same reports and disagree on an endpoint."""
        reports = [with_own_address(registration) for registration in reports]
        newest = {}
        for registration in reports:
            # A real endpoint never reuses an order key, so only the first report with one is kept.
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
        """Guards against a report that makes a leaving or ended incarnation usable again."""
        roster = Roster()
        left = set()
        for number, registration in enumerate(with_own_address(item) for item in reports):
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
