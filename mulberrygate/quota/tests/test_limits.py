"""Tests of limits that all entries share."""

from __future__ import annotations

import random
import unittest

from mulberrygate.quota import CentralLimits, Limit, LocalUnits, RetryBudget
from mulberrygate.quota.local import HELD_S

RATE, BURST, SLACK = 1000.0, 1000.0, 1200.0
WINDOW_S = 8.0


class Model:
    """Entries that spend units of one account, over messages that are lost and leaders that change.

    Parameters
    ==========
    spends_alone_freely : bool
        Mutant: without a leader an entry spends what it likes.
    """

    def __init__(self, seed, entries=8, spends_alone_freely=False):
        self.rng = random.Random(seed)
        self.entries = [LocalUnits() for _ in range(entries)]
        self.most = SLACK * 0.4 / entries
        self.now = 0.0
        self.spends_alone_freely = spends_alone_freely
        self.runs: list[tuple[float, float]] = []
        self.elect()

    def elect(self):
        """Replace the leader."""
        self.central = CentralLimits()
        self.central.set_limits({"x": Limit(RATE, BURST)}, self.now)

    def ask(self, number, units, is_cut):
        """Let an entry take a request."""
        local = self.entries[number]
        is_taken = local.take("x", units, self.now)
        if not is_taken and is_cut:
            is_alone_taken = local.take_alone("x", units, RATE, self.now)
            is_taken = is_alone_taken or self.spends_alone_freely
        elif not is_taken:
            granted = self.central.ask(str(number), "x", units, self.most, self.now)
            if self.rng.random() < 0.05:
                return
            if granted.units >= units:
                is_taken = True
                local.give("x", granted.units - units, granted.share, self.most, self.now)
        if is_taken:
            self.runs.append((self.now, units))

    def most_in_a_window(self):
        """Return the most units that ran in any window."""
        most, start, total = 0.0, 0, 0.0
        for at, units in self.runs:
            total += units
            while self.runs[start][0] < at - WINDOW_S:
                total -= self.runs[start][1]
                start += 1
            most = max(most, total)
        return most


class TestUnits(unittest.TestCase):
    """Units from one leader."""

    def play(self, seed, seconds=60.0, **options):
        """Play an account that asks for much more than its limit."""
        model = Model(seed, **options)
        cut_until = [0.0] * len(model.entries)
        while model.now < seconds:
            model.now += model.rng.expovariate(150.0)
            number = model.rng.randrange(len(model.entries))
            if model.rng.random() < 0.001:
                cut_until[number] = model.now + model.rng.uniform(1.0, 10.0)
            if model.rng.random() < 0.0003:
                model.elect()
            model.ask(number, model.rng.choice((5, 20, 60, 200)), model.now < cut_until[number])
        return model

    def test_bound_holds_under_cuts_and_elections(self):
        """Entries that were cut off, or asked a new leader, passed the account's limit."""
        bound = (RATE * WINDOW_S + BURST) * 1.1 + SLACK
        for seed in range(6):
            self.assertLess(self.play(seed).most_in_a_window(), bound, f"seed {seed}")

    def test_most_of_the_limit_can_be_used(self):
        """Shares that lay at idle entries were lost to the others."""
        model = self.play(1, seconds=30.0)
        used = sum(units for at, units in model.runs if at > 5.0) / 25.0
        self.assertGreater(used, 0.9 * RATE)

    def test_units_in_advance_expire(self):
        """Units that an entry held through a cut were spent in a later window."""
        units = LocalUnits()
        units.give("x", 50.0, 1.0, 100.0, now=0.0)
        self.assertFalse(units.take("x", 10.0, now=HELD_S))
        self.assertTrue(units.take("x", 10.0, now=HELD_S - 0.1))

    def test_check_finds_entries_that_spend_freely_without_a_leader(self):
        """The check of the bound could not fail."""
        bound = (RATE * WINDOW_S + BURST) * 1.1 + SLACK
        model = self.play(0, spends_alone_freely=True)
        self.assertGreater(model.most_in_a_window(), bound)

    def test_request_larger_than_the_burst_is_served(self):
        """The largest requests of an account never fitted into its burst."""
        limits = CentralLimits()
        limits.set_limits({"x": Limit(10.0, 20.0)}, 0.0)
        self.assertEqual(limits.ask("e", "x", 500.0, 0.0, 0.0).units, 500.0)
        self.assertEqual(limits.ask("e", "x", 1.0, 0.0, 1.0).units, 0.0)

    def test_lower_limit_binds_at_once(self):
        """After a change to a lower limit the former burst could still be spent."""
        limits = CentralLimits()
        limits.set_limits({"x": Limit(1000.0, 1000.0)}, 0.0)
        limits.set_limits({"x": Limit(10.0, 10.0)}, 10.0)
        self.assertLessEqual(limits.accounts["x"].level, 10.0)

    def test_entry_that_never_had_a_leader_spends_nothing(self):
        """A restarted entry without a leader took a share that it never had."""
        self.assertFalse(LocalUnits().take_alone("x", 1.0, 1000.0, now=5.0))


class TestRetries(unittest.TestCase):
    """Budget of further sends."""

    def test_sum_over_entries_keeps_the_bound(self):
        """Budgets of entries that don't talk to each other added up to more than the bound."""
        ratio, slack, entries = 0.2, 56.0, 8
        budgets = [RetryBudget(ratio, slack, entries) for _ in range(entries)]
        rng = random.Random(3)
        firsts = further = 0
        for _ in range(1000):
            budget = rng.choice(budgets)
            budget.first_send()
            firsts += 1
            further += sum(budget.take() for _ in range(3))
        self.assertLessEqual(further, ratio * firsts + slack)
        self.assertGreater(further, 0.5 * ratio * firsts)

    def test_more_entries_share_the_slack(self):
        """Entries that were added each had the part of before."""
        budget = RetryBudget(0.2, 56.0, 1)
        budget.set_entries(56)
        self.assertLess(sum(budget.take() for _ in range(10)), 1)


if __name__ == "__main__":
    unittest.main()
