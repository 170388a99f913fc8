"""Random runs of the scheduler, and of mutants that break one rule each."""

from __future__ import annotations

import unittest
from unittest import mock

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from mulberrygate.core.invariant import InvariantError
from mulberrygate.schedule import PoolScheduler, codes
from mulberrygate.schedule.endpoint import EndpointState
from mulberrygate.schedule.fair_queue import TierQueue
from mulberrygate.schedule.precedence import Precedence
from mulberrygate.schedule.shares import VersionShares
from mulberrygate.schedule.shed_checks import LatestStartQueue
from mulberrygate.schedule.tests.machine import ReportingMachine, SchedulerMachine

SETTINGS = settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=50,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
MUTANT_SETTINGS = settings(SETTINGS, max_examples=400, phases=[Phase.generate])


class ShedsTopTierFirst(PoolScheduler):
    """Mutant: sheds the most urgent waiting tier when the queue is full."""

    def _victim(self):
        return next(tier for tier in self.queue.tiers if tier.count).shed_candidate()


class SkipsUpperTiers(PoolScheduler):
    """Mutant: skips a waiting request of tier 0 or 1 that could be granted an endpoint."""

    def _next_grantable(self, priority_class, skipped, now):
        if priority_class.tier < 2:
            queue = self.queue.tiers[priority_class.tier]
            skipped.extend(waiting for waiting in queue.all() if waiting not in skipped)
            return None
        return super()._next_grantable(priority_class, skipped, now)


class ServesLowerTiersFirst(PoolScheduler):
    """Mutant: serves tiers 2 and 3 as if no request of tiers 0 and 1 waited."""

    def _dispatch(self, now):
        tiers = self.queue.tiers
        self.queue.tiers = (TierQueue(), TierQueue(), *tiers[2:])
        effects = super()._dispatch(now)
        self.queue.tiers = tiers
        return effects + super()._dispatch(now)


class NeverShedsExcess(PoolScheduler):
    """Mutant: lets the queue grow beyond its limit."""

    def _shed_excess(self, now):
        return []


class ShedsBeforeDeadline(PoolScheduler):
    """Mutant: sheds requests for their deadline while they can meet it."""

    def _misses_deadline(self, waiting, cached, now):
        return True


class OvertakesAllLate(PoolScheduler):
    """Mutant: lets all timely requests go before late ones of upper tiers."""

    def _update_precedence(self, now):
        self.precedence = Precedence((), self.tiers - 1)
        return False


class TreatsTiersAsStarved(PoolScheduler):
    """Mutant: lets timely requests of the two lowest tiers go before all others."""

    def _update_precedence(self, now):
        self.precedence = Precedence((3, 2), -1)
        return False


class KeepsUnreportedGrants(PoolScheduler):
    """Mutant: keeps the grant of a request that its entry no longer holds."""

    def _release_ended(self, entry, held, now):
        return False


class KeepsReleasedGrantsOfEntries(PoolScheduler):
    """Mutant: leaves released grants in the index of grants by entry."""

    def _remove_from_entry(self, granted):
        pass


class WideMachine(SchedulerMachine):
    is_wide = True


class StatefulTest(unittest.TestCase):
    def expect(self, code, scheduler_class=PoolScheduler, machine=SchedulerMachine):
        """Run a mutant and expect that the invariant finds it."""
        with self.assertRaises(InvariantError) as raised:
            self.run_mutant(scheduler_class, machine)
        self.assertEqual(raised.exception.code, code)

    def run_mutant(self, scheduler_class, machine):
        """Run a mutant at random."""

        class Mutant(machine):
            pass

        Mutant.scheduler_class = scheduler_class
        run_state_machine_as_test(Mutant, settings=MUTANT_SETTINGS)

    def test_random_runs_hold_the_invariants(self):
        """Guards against any order of messages that breaks a guarantee or a count."""
        run_state_machine_as_test(SchedulerMachine, settings=SETTINGS)

    def test_random_runs_of_wide_pools_hold_the_invariants(self):
        """Guards against an order of late requests that breaks a guarantee or a count."""
        run_state_machine_as_test(WideMachine, settings=SETTINGS)

    def test_random_reports_hold_the_invariants(self):
        """Guards against slots that stay taken or are miscounted after lost reports of ends."""
        run_state_machine_as_test(ReportingMachine, settings=SETTINGS)

    def test_finds_grants_kept_after_their_end(self):
        """Guards against a check that accepts grants of requests that entries no longer hold."""
        for mutant in (KeepsUnreportedGrants, KeepsReleasedGrantsOfEntries):
            with self.subTest(mutant=mutant.__name__), self.assertRaises(AssertionError):
                self.run_mutant(mutant, ReportingMachine)

    def test_finds_late_tier_overtaken(self):
        """Guards against a check that misses a tier going before an upper one served less often."""
        self.expect(codes.LATE_TIER_OVERTAKEN, OvertakesAllLate, WideMachine)

    def test_finds_tier_that_is_not_starved(self):
        """Guards against a check that misses a tier preferred to all others but not starved."""
        self.expect(codes.TIER_NOT_STARVED, TreatsTiersAsStarved, WideMachine)

    def test_finds_shed_of_upper_tier(self):
        """Guards against an invariant that misses a shed before a lower tier."""
        self.expect(codes.SHED_BEFORE_LOWER_TIER, ShedsTopTierFirst)

    def test_finds_grant_to_lower_tier(self):
        """Guards against an invariant that misses a lower tier preferred at a grant."""
        self.expect(codes.LOWER_TIER_ADMITTED, SkipsUpperTiers)

    def test_finds_lower_tier_admitted_before_shed(self):
        """Guards against a check of sheds that ignores earlier grants to lower tiers."""
        self.expect(codes.LOWER_TIER_ADMITTED, ServesLowerTiersFirst)

    def test_finds_excess_share(self):
        """Guards against an invariant that misses a version with more than its share."""
        with mock.patch.object(VersionShares, "is_allowed", lambda *arguments: True):
            self.expect(codes.SHARE_EXCEEDED)

    def test_finds_miscounted_slots(self):
        """Guards against an invariant that misses slots leaked at the end of grants."""
        remove = EndpointState.remove

        def leak(state, granted, now):
            remove(state, granted, now)
            state.used += 1

        with mock.patch.object(EndpointState, "remove", leak):
            self.expect(codes.SLOTS_MISCOUNTED)

    def test_finds_queue_over_limit(self):
        """Guards against an invariant that misses a queue over its limit."""
        self.expect(codes.QUEUE_OVER_LIMIT, NeverShedsExcess)

    def test_finds_early_deadline_shed(self):
        """Guards against an invariant that misses shed requests that could still be answered."""
        with (
            mock.patch.object(LatestStartQueue, "is_due", lambda queue, now: True),
            mock.patch.object(
                LatestStartQueue,
                "pop_due",
                lambda queue, now: [entry[2] for entry in queue.heap if not entry[2].is_removed],
            ),
        ):
            self.expect(codes.DEADLINE_SHED_EARLY, ShedsBeforeDeadline)


if __name__ == "__main__":
    unittest.main()
