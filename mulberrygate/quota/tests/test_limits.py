"""Tests of limits that all entries share."""

from __future__ import annotations

import heapq
import random
import unittest

from mulberrygate.quota import CentralLimits, Limit, LocalUnits, RetryBudget
from mulberrygate.quota.central import MIN_WAIT_S
from mulberrygate.quota.local import ADVANCE_VALID_S

RATE, BURST, SLACK = 1000.0, 1000.0, 1200.0
WINDOW_S = 8.0


class EntriesModel:
    """Entries that spend units of one account while messages get lost and leaders change.

    Parameters
    ==========
    ignores_limit_without_leader : bool
        Mutant: without a leader an entry spends without a limit.
    """

    def __init__(self, seed, entries=8, ignores_limit_without_leader=False):
        self.rng = random.Random(seed)
        self.entries = [LocalUnits() for _ in range(entries)]
        self.max_advance = SLACK * 0.4 / entries
        self.now = 0.0
        self.ignores_limit_without_leader = ignores_limit_without_leader
        self.spent: list[tuple[float, float]] = []
        self.replace_leader()

    def replace_leader(self):
        """Replace the leader by one without state."""
        self.central = CentralLimits()
        self.central.set_limits({"x": Limit(RATE, BURST)}, self.now)

    def request(self, number, units, is_leader_unreachable):
        """Let an entry try to spend the units of a request."""
        local = self.entries[number]
        is_allowed = local.spend("x", units, self.now)
        if not is_allowed and is_leader_unreachable:
            is_spent_without_leader = local.spend_without_leader("x", units, RATE, self.now)
            is_allowed = is_spent_without_leader or self.ignores_limit_without_leader
        elif not is_allowed:
            granted = self.central.grant(str(number), "x", units, self.max_advance, self.now)
            if self.rng.random() < 0.05:
                return
            if granted.units >= units:
                is_allowed = True
                local.add_grant(
                    "x", granted.units - units, granted.share, self.max_advance, self.now
                )
        if is_allowed:
            self.spent.append((self.now, units))

    def max_units_in_window(self):
        """Return the maximum number of units spent in any window."""
        most, start, total = 0.0, 0, 0.0
        for at, units in self.spent:
            total += units
            while self.spent[start][0] < at - WINDOW_S:
                total -= self.spent[start][1]
                start += 1
            most = max(most, total)
        return most


class TestUnits(unittest.TestCase):
    """Units of client accounts over several entries."""

    def run_overload(self, seed, seconds=60.0, **options):
        """Simulate an account that requests much more than its limit."""
        model = EntriesModel(seed, **options)
        unreachable_until = [0.0] * len(model.entries)
        while model.now < seconds:
            model.now += model.rng.expovariate(150.0)
            number = model.rng.randrange(len(model.entries))
            if model.rng.random() < 0.001:
                unreachable_until[number] = model.now + model.rng.uniform(1.0, 10.0)
            if model.rng.random() < 0.0003:
                model.replace_leader()
            model.request(
                number, model.rng.choice((5, 20, 60, 200)), model.now < unreachable_until[number]
            )
        return model

    def test_bound_holds_under_cuts_and_elections(self):
        """Entries stay within the account's limit while unreachable and after leader changes."""
        bound = (RATE * WINDOW_S + BURST) * 1.1 + SLACK
        for seed in range(6):
            self.assertLess(self.run_overload(seed).max_units_in_window(), bound, f"seed {seed}")

    def test_most_of_the_limit_can_be_used(self):
        """Units that idle entries hold in advance don't reduce the use of the limit much."""
        model = self.run_overload(1, seconds=30.0)
        used = sum(units for at, units in model.spent if at > 5.0) / 25.0
        self.assertGreater(used, 0.9 * RATE)

    def test_units_in_advance_expire(self):
        """Advance units expire, so that an unreachable entry can't spend them in a later window."""
        units = LocalUnits()
        units.add_grant("x", 50.0, 1.0, 100.0, now=0.0)
        self.assertFalse(units.spend("x", 10.0, now=ADVANCE_VALID_S))
        self.assertTrue(units.spend("x", 10.0, now=ADVANCE_VALID_S - 0.1))

    def test_check_finds_entries_that_spend_freely_without_a_leader(self):
        """Without the limit for leaderless entries the bound is exceeded, so its check can fail."""
        bound = (RATE * WINDOW_S + BURST) * 1.1 + SLACK
        model = self.run_overload(0, ignores_limit_without_leader=True)
        self.assertGreater(model.max_units_in_window(), bound)

    def test_request_larger_than_the_burst_is_served(self):
        """A request that needs more than the burst is granted; the next one has to wait."""
        limits = CentralLimits()
        limits.set_limits({"x": Limit(10.0, 20.0)}, 0.0)
        self.assertEqual(limits.grant("e", "x", 500.0, 0.0, 0.0).units, 500.0)
        self.assertEqual(limits.grant("e", "x", 1.0, 0.0, 1.0).units, 0.0)

    def come_back(self, advises_place, seconds=6.0):
        """Return the share of refused callers that are served when they return as advised.

        The account asks for four times its limit for some seconds, then for half of it. A caller
        returns once, within 4 s.
        """
        rng = random.Random(5)
        limits = CentralLimits()
        limits.set_limits({"x": Limit(RATE, BURST)}, 0.0)
        now, returns, returned, served = 0.0, [], 0, 0
        while now < 2 * seconds:
            requests_per_s = (4.0 if now < seconds else 0.5) * RATE / 20.0
            now += rng.expovariate(requests_per_s)
            while returns and returns[0] <= now:
                returned += 1
                served += limits.grant("e", "x", 20.0, 0.0, heapq.heappop(returns)).units > 0
            granted = limits.grant("e", "x", 20.0, 0.0, now)
            if not granted.units:
                wait_s = granted.wait_s if advises_place else MIN_WAIT_S
                heapq.heappush(returns, now + min(wait_s, 4.0))
        return served / returned

    def test_callers_over_the_limit_return_when_there_is_room(self):
        """Guards against refused callers that return together and are refused again."""
        self.assertGreater(self.come_back(True), 1.5 * self.come_back(False))

    def test_lower_limit_binds_at_once(self):
        """After a change to a lower limit the former burst can't be spent any more."""
        limits = CentralLimits()
        limits.set_limits({"x": Limit(1000.0, 1000.0)}, 0.0)
        limits.set_limits({"x": Limit(10.0, 10.0)}, 10.0)
        self.assertLessEqual(limits.accounts["x"].level, 10.0)

    def test_entry_that_never_had_a_leader_spends_nothing(self):
        """An entry that was restarted without a leader has no share to spend from."""
        self.assertFalse(LocalUnits().spend_without_leader("x", 1.0, 1000.0, now=5.0))


class TestRetries(unittest.TestCase):
    """Retry budgets of several entries."""

    def test_sum_over_entries_keeps_the_bound(self):
        """Local budgets of all entries together stay within the bound."""
        ratio, slack, entries = 0.2, 56.0, 8
        budgets = [RetryBudget(ratio, slack, entries) for _ in range(entries)]
        rng = random.Random(3)
        firsts = further = 0
        for _ in range(1000):
            budget = rng.choice(budgets)
            budget.count_first_send()
            firsts += 1
            further += sum(budget.take() for _ in range(3))
        self.assertLessEqual(further, ratio * firsts + slack)
        self.assertGreater(further, 0.5 * ratio * firsts)

    def test_more_entries_share_the_slack(self):
        """An entry's part of the slack shrinks when entries are added."""
        budget = RetryBudget(0.2, 56.0, 1)
        budget.set_entries(56)
        self.assertLess(sum(budget.take() for _ in range(10)), 1)


if __name__ == "__main__":
    unittest.main()
