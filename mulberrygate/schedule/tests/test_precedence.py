"""Tests of the order between tiers while the upper ones could take all slots."""

from __future__ import annotations

import unittest

from mulberrygate.schedule.fair_queue import FairQueue, WaitingRequest
from mulberrygate.schedule.precedence import STRICT, Overtakes, PriorityClass, find_precedence
from mulberrygate.schedule.served import ServedShares
from mulberrygate.schedule.tests.support import make_ticket, make_view
from mulberrygate.schedule.tests.test_burst import KINDS, Burst
from mulberrygate.schedule.tests.test_wide import WideBench

TIERS = 4


class TierFixture:
    """Waiting requests and granted shares by tier."""

    def __init__(self):
        self.queue = FairQueue(tiers=TIERS)
        self.served = ServedShares(TIERS)
        self.number = 0

    def record_grants(self, tier, granted, asked=1000):
        """Record asks of a tier, and that some of them were granted."""
        for _ in range(asked):
            self.served.count_ask(tier, 0.0)
        for _ in range(granted):
            self.served.count_grant(tier, False, 0.0)

    def wait(self, tier, is_late=False):
        """Add a waiting request."""
        self.number += 1
        ticket = make_ticket(f"r{self.number}", tier=tier, first_by_s=0.0 if is_late else 9.0)
        self.queue.add(WaitingRequest(ticket, 1.0, 9.0, self.number, 0.0, 1.0))
        self.queue.demote_late(0.0, self.number)

    def precedence(self, prioritizes_starved=False):
        """Return the precedence of the tiers."""
        return find_precedence(self.queue, self.served, prioritizes_starved, 0.0)


class TestPrecedence(unittest.TestCase):
    """Bounds within which requests of lower tiers go before those of upper tiers."""

    def setUp(self):
        self.tiers = TierFixture()

    def test_order_is_strict_while_nothing_is_late(self):
        """Guards against a lower tier that overtakes timely requests of an upper one."""
        self.tiers.record_grants(0, 900)
        self.tiers.record_grants(1, 100)
        self.tiers.wait(0)
        self.tiers.wait(1)
        self.assertEqual(self.tiers.precedence(), STRICT)

    def test_timely_request_goes_before_late_one_of_an_upper_tier(self):
        """Timely requests of a lower tier got nothing while late ones of an upper tier waited."""
        self.tiers.record_grants(0, 900)
        self.tiers.record_grants(1, 100)
        self.tiers.wait(0, is_late=True)
        self.tiers.wait(1)
        priority_classes = self.tiers.precedence().priority_classes(self.tiers.queue)
        self.assertEqual(
            priority_classes, [PriorityClass(1, False, Overtakes.LATE), PriorityClass(0, True)]
        )

    def test_upper_tier_is_served_more_often_than_the_one_that_overtakes_it(self):
        """Guards against a lower tier that is served more often than the upper one it overtakes."""
        self.tiers.record_grants(0, 500)
        self.tiers.record_grants(1, 500)
        self.tiers.wait(0, is_late=True)
        self.tiers.wait(1)
        self.assertEqual(self.tiers.precedence(), STRICT)

    def test_tier_in_between_overtakes_too(self):
        """Guards against a tier that overtakes a timely request of the one above it."""
        self.tiers.record_grants(0, 900)
        self.tiers.record_grants(1, 800)
        self.tiers.record_grants(2, 100)
        self.tiers.wait(0, is_late=True)
        self.tiers.wait(1)
        self.tiers.wait(2)
        self.assertEqual(self.tiers.precedence().last_overtaking, 2)

    def test_tier_in_between_that_was_served_as_often_ends_the_overtaking(self):
        """Guards against overtaking by a tier that has a larger granted share than the other."""
        self.tiers.record_grants(0, 700)
        self.tiers.record_grants(1, 800)
        self.tiers.record_grants(2, 100)
        self.tiers.wait(0, is_late=True)
        self.tiers.wait(1)
        self.tiers.wait(2)
        self.assertEqual(self.tiers.precedence().last_overtaking, -1)

    def test_starved_tier_goes_first(self):
        """Timely requests of upper tiers filled all slots, and the lowest tier got nothing."""
        self.tiers.record_grants(0, 900)
        self.tiers.record_grants(1, 100)
        self.tiers.wait(0)
        self.tiers.wait(1)
        found = self.tiers.precedence(prioritizes_starved=True)
        self.assertEqual(found.starved, (1,))
        self.assertEqual(
            found.priority_classes(self.tiers.queue)[0], PriorityClass(1, False, Overtakes.ALL)
        )

    def test_starved_tier_waits_while_one_above_it_is_served_less(self):
        """Guards against a lower tier that is served more often than an upper one."""
        self.tiers.record_grants(0, 900)
        self.tiers.record_grants(1, 100)
        self.tiers.record_grants(2, 110)
        self.tiers.wait(1, is_late=True)
        self.tiers.wait(2)
        self.assertEqual(self.tiers.precedence(prioritizes_starved=True).starved, ())


class TestAfterBurst(unittest.TestCase):
    """A burst, and then traffic slightly beyond the capacity of the engines."""

    def test_late_requests_of_an_upper_tier_do_not_keep_a_lower_one_out(self):
        """A backlog of late requests persisted, and no timely tag was served for a long time."""
        burst = Burst(engines=6, slots=15, rate=300.0, upper=0.0)
        burst.simulate(4.0)
        before = len(burst.kinds)
        burst.rate = 170.0
        burst.simulate(12.0)
        names = list(burst.kinds)[before:]
        shares = {}
        for kind in (*KINDS, None):
            asked = [name for name in names if kind in (burst.kinds[name], None)]
            shares[kind] = sum(name in burst.grants for name in asked) / len(asked)
        long_note, short_note, tag = (shares[kind] for kind in KINDS)
        self.assertGreaterEqual(tag, 0.25 * shares[None])
        self.assertGreaterEqual(short_note, tag)
        self.assertGreaterEqual(long_note, short_note)

    def test_late_request_that_was_overtaken_is_refused_when_its_time_is_over(self):
        """Guards against a check that reports permitted overtaking as a violation."""
        bench = WideBench([make_view("a")])
        bench.ask("running", tier=0)
        for number in range(40):
            bench.ask(f"lost{number}", tier=1, first_by_s=9.0)
            bench.call("withdraw", f"lost{number}")
        bench.ask("late", tier=0, first_by_s=0.2, start_by_s=3.0)
        bench.advance(0.5)
        bench.ask("fresh", tier=1, first_by_s=9.0)
        bench.done("running")
        self.assertIn("fresh", bench.grants)
        bench.advance(4.0)
        self.assertIn("late", bench.refused)


if __name__ == "__main__":
    unittest.main()
