"""Tests of limits over changes of the leader, with simulated entries."""

from __future__ import annotations

import random
import unittest
from unittest import mock

from mulberrygate.quota import CentralLimits, GrantHistory, Limit
from mulberrygate.quota.history import restore_level
from mulberrygate.quota.takeover import Takeover

ENTRIES = 8
RATE = 1000.0
# The burst of a minute, which a predecessor may have granted within a moment.
BURST = 60 * RATE
SLACK = 1200.0
WINDOW_S = 8.0
# About 20 times the rate of the limit, so that all that is granted is used.
REQUESTS_PER_S = 200.0
LARGEST_REQUEST = 200.0
# Units of one account that may arrive in a window.
BOUND = 1.1 * (RATE * WINDOW_S + BURST) + SLACK


class Fleet:
    """Entries of one account that spend units of leaders which follow each other.

    Parameters
    ==========
    has_reports : bool
        Whether entries tell a new leader what they were granted. Without reports and the bound on
        the initial level, the leader starts with half of the burst, as it once did.
    """

    def __init__(self, seed, has_reports=True):
        self.rng = random.Random(seed)
        self.has_reports = has_reports
        self.now = 0.0
        self.histories = [GrantHistory() for _ in range(ENTRIES)]
        self.started_at = [-1000.0] * ENTRIES
        self.unreported: set[int] = set()
        self.spent: list[tuple[float, float]] = []
        self.refused = 0
        self.leader = CentralLimits()
        self.replace_leader(reports=ENTRIES)

    def replace_leader(self, reports=0):
        """Replace the leader; some entries report at once and the others with later requests."""
        self.leader = CentralLimits(self.leader.epoch + 1)
        self.leader.set_limits({"x": Limit(RATE, BURST)}, self.now)
        if not self.has_reports:
            self.leader.accounts["x"].level = 0.5 * BURST
            return
        self.unreported = set(range(ENTRIES))
        for entry in range(reports):
            self.report(entry)

    def report(self, entry):
        """Let an entry report, as it does until the leader has confirmed it."""
        self.unreported.discard(entry)
        spent = {n: list(items) for n, items in self.histories[entry].report(self.now).items()}
        up_s = self.now - self.started_at[entry]
        self.leader.record_spent(str(entry), spent, up_s, ENTRIES, self.now)

    def request(self, units):
        """Let a random entry ask for the units of a request."""
        entry = self.rng.randrange(ENTRIES)
        if self.unreported and self.rng.random() < 0.5:
            self.report(self.rng.choice(sorted(self.unreported)))
        granted = self.leader.grant(str(entry), "x", units, 0.0, self.now)
        if granted.units >= units:
            self.histories[entry].add("x", granted.units, self.leader.epoch, self.now)
            self.spent.append((self.now, granted.units))
        else:
            self.refused += 1

    def run(self, seconds, requests_per_s, change_probability=0.0):
        """Simulate requests of up to `LARGEST_REQUEST` units."""
        end = self.now + seconds
        while self.now < end:
            self.now += self.rng.expovariate(requests_per_s)
            if self.rng.random() < change_probability:
                self.replace_leader()
            self.request(self.rng.uniform(1.0, LARGEST_REQUEST))

    def most_units_in_window(self):
        """Return the most units that were spent in any window."""
        most, start, total = 0.0, 0, 0.0
        for at, units in self.spent:
            total += units
            while self.spent[start][0] < at - WINDOW_S:
                total -= self.spent[start][1]
                start += 1
            most = max(most, total)
        return most


class TestTakeover(unittest.TestCase):
    """Units of an account whose burst is large against its rate, while leaders change."""

    def test_bound_holds_over_changes_of_the_leader(self):
        """Guards against the burst being granted again by each new leader."""
        for seed in range(6):
            fleet = Fleet(seed)
            fleet.run(30.0, REQUESTS_PER_S, change_probability=0.002)
            self.assertLess(fleet.most_units_in_window(), BOUND, f"seed {seed}")

    def test_check_finds_a_leader_that_knows_nothing(self):
        """Without reports the bound is exceeded, so its check can fail."""
        fleet = Fleet(0, has_reports=False)
        fleet.run(30.0, REQUESTS_PER_S, change_probability=0.002)
        self.assertGreater(fleet.most_units_in_window(), BOUND)

    def test_account_within_its_limit_keeps_its_burst(self):
        """Guards against refusals of a burst within the limit after a change of the leader."""
        fleet = Fleet(1)
        fleet.run(20.0, 0.5 * RATE / LARGEST_REQUEST)
        fleet.replace_leader(reports=ENTRIES)
        fleet.refused = 0
        fleet.run(2.0, 0.4 * BURST / LARGEST_REQUEST)
        self.assertEqual(fleet.refused, 0)

    def test_entry_that_has_just_started_may_have_spent_its_part(self):
        """Guards against a full burst after all entries were restarted and know of no grants."""
        takeover = Takeover(2, 100.0)
        limit = Limit(RATE, BURST)
        for entry in range(ENTRIES):
            takeover.record(str(entry), {}, 1.0, 100.0)
        self.assertLessEqual(takeover.restored_level("x", limit, ENTRIES), RATE)

    def test_entries_that_started_before_a_refill_know_all_grants(self):
        """Guards against refusals within the limit when the whole system starts again."""
        takeover = Takeover(2, 100.0)
        limit = Limit(RATE, RATE)
        for entry in range(ENTRIES):
            takeover.record(str(entry), {}, 1.5, 100.4)
        self.assertEqual(takeover.restored_level("x", limit, ENTRIES), RATE)

    def test_repeated_report_changes_nothing(self):
        """Guards against units that are subtracted twice when an answer was lost."""
        limits = CentralLimits(epoch=2)
        limits.set_limits({"x": Limit(RATE, BURST)}, 0.0)
        for _ in range(2):
            limits.record_spent("e", {"x": [(1.0, 5000.0, 1)]}, 1000.0, 1, 0.0)
            limits.grant("e", "x", need=0.0, advance=0.0, now=0.0)
        self.assertAlmostEqual(limits.accounts["x"].level, BURST - 5000.0 + RATE)

    def test_reports_of_many_entries_take_little_time(self):
        """Guards against a leader that computes all accounts at each report and so stalls.

        With 360 entries and 1,700 accounts that took 43 s after each change of the leader.
        """
        limits = CentralLimits(epoch=2)
        limits.set_limits({str(n): Limit(RATE, BURST) for n in range(400)}, 0.0)
        target = "mulberrygate.quota.takeover.restore_level"
        with mock.patch(target, wraps=restore_level) as restore:
            for entry in range(100):
                spent = {str(n): [(1.0, 50.0, 1)] for n in range(400)}
                limits.record_spent(str(entry), spent, 1000.0, 100, 0.0)
            for account in range(400):
                limits.grant("e", str(account), 1.0, 0.0, 0.0)
        self.assertLessEqual(restore.call_count, 400)
        self.assertAlmostEqual(limits.accounts["7"].level, BURST - 5000.0 + RATE - 1.0)

    def test_account_that_is_added_again_gets_no_second_burst(self):
        """Guards against a new bucket that is filled by reports from before the change."""
        limits = CentralLimits(epoch=2)
        limits.set_limits({"x": Limit(RATE, BURST)}, 0.0)
        limits.record_spent("e", {}, 1000.0, 1, 0.0)
        limits.set_limits({}, 0.0)
        limits.set_limits({"x": Limit(RATE, BURST)}, 0.0)
        limits.grant("e", "x", 1.0, 0.0, 0.0)
        self.assertLess(limits.accounts["x"].level, RATE)


if __name__ == "__main__":
    unittest.main()
