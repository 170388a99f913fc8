"""Tests of the decisions about second copies, in virtual time."""

from __future__ import annotations

import heapq
import math
import random
import unittest

import attrs

from mulberrygate.forward.hedging import HedgeState, Hedging
from mulberrygate.quota import RetryBudget
from mulberrygate.settings.product import HedgeSettings

USUAL_S = 0.02
SLOW_S = 0.6
TIMEOUT_S = 2.0


@attrs.define
class Outcome:
    """What callers got, and the work that it took."""

    times: list[float]
    sends: int
    copies: int

    def quantile_s(self, share: float) -> float:
        """Return a quantile of the times of the second half of the requests."""
        times = sorted(self.times[len(self.times) // 2 :])
        return times[min(len(times) - 1, int(share * len(times)))]


class Load:
    """Requests to a pool of endpoints, some of which are sometimes slow, in virtual time.

    Parameters
    ==========
    slow_share : float
        Part of the sends that are slow, whichever endpoint gets them.
    grey : int
        Endpoints that are always slow, out of `endpoints`.
    slow_from : float
        Time from which all endpoints are slow.
    slots : int
        Requests that the pool runs at a time; a copy needs a free quarter of them.
    """

    def __init__(self, settings=None, slow_share=0.0, grey=0, slots=1000, ratio=0.2, slack=20.0):
        self.rng = random.Random(7)
        self.hedging = Hedging(settings) if settings else None
        self.budget = RetryBudget(ratio, slack, 1)
        self.slow_share, self.grey, self.endpoints = slow_share, grey, 20
        self.slots = slots
        self.slow_from = math.inf
        self.denied: dict[str, int] = {}

    def response_s(self, endpoint: int, now: float) -> float:
        """Return the time of a send to an endpoint."""
        is_slow = endpoint < self.grey or self.rng.random() < self.slow_share
        is_slow = is_slow or now >= self.slow_from
        usual_s = USUAL_S * (0.5 + self.rng.random())
        return SLOW_S + usual_s if is_slow else usual_s

    def run(self, requests=20_000, rate=200.0) -> Outcome:
        """Send requests at a constant rate and return what callers got."""
        outcome = Outcome([0.0] * requests, 0, 0)
        running = 0
        # Time, order, kind, and the values of each event.
        events = [(number / rate, number, "arrive", (number,)) for number in range(requests)]
        heapq.heapify(events)
        order = requests
        first: dict[int, tuple[float, float, int, float | None]] = {}

        def push(at, kind, *values):
            nonlocal order
            order += 1
            heapq.heappush(events, (at, order, kind, values))

        while events:
            now, _, kind, values = heapq.heappop(events)
            number = values[0]
            if kind == "arrive":
                endpoint = self.rng.randrange(self.endpoints)
                ends_at = now + self.response_s(endpoint, now)
                delay_s = None
                self.budget.count_first_send()
                outcome.sends += 1
                running += 1
                if self.hedging is not None:
                    self.hedging.allowance("pool").count_first_send()
                    delay_s = self.hedging.delay_s("read", now)
                first[number] = (now, ends_at, endpoint, delay_s)
                push(ends_at, "end", number, False)
                if delay_s is not None and now + delay_s < ends_at:
                    push(now + delay_s, "due", number)
            elif kind == "due":
                sent_at, _, endpoint, _ = first[number]
                state = HedgeState(
                    left_s=sent_at + TIMEOUT_S - now, may_retry=self.budget.has_spare()
                )
                denial = self.hedging.denial("read", "pool", state, now)
                if not denial and self.slots - running < self.slots / 4:
                    denial = "no_room"
                if denial:
                    self.denied[denial] = self.denied.get(denial, 0) + 1
                    continue
                self.budget.take()
                self.hedging.allowance("pool").take()
                outcome.copies += 1
                running += 1
                other = (endpoint + self.rng.randrange(1, self.endpoints)) % self.endpoints
                push(now + self.response_s(other, now), "end", number, True)
            elif number in first:
                sent_at, _, _, _ = first.pop(number)
                running -= 1
                outcome.times[number] = now - sent_at
                if self.hedging is not None:
                    self.hedging.record("read", now - sent_at, now)
            else:
                # The redundant send, which is the copy or the first one.
                running -= 1
        return outcome


class TestHedging(unittest.TestCase):
    """Callers of one entry, with and without second copies."""

    def test_slow_answers_under_load(self):
        """Guards against copies that don't cut the slowest answers or exceed the operators' limit.

        One send in 60 takes 600 ms instead of 20 ms.
        """
        without = Load(slow_share=1 / 60).run()
        load = Load(HedgeSettings(0.03), slow_share=1 / 60)
        outcome = load.run()
        self.assertGreater(without.quantile_s(0.99), 0.5)
        self.assertLess(outcome.quantile_s(0.99), 0.15)
        self.assertLessEqual(
            outcome.copies, 0.03 * outcome.sends + load.hedging.allowance("").limit
        )
        self.assertEqual(outcome.sends, without.sends)

    def test_operators_limit_holds(self):
        """Guards against more copies than the share, however many answers are slow."""
        for share in (0.0, 0.005, 0.02, 0.2):
            with self.subTest(share=share):
                load = Load(HedgeSettings(share, 0.6), slow_share=0.3, slack=1e6)
                outcome = load.run(6000)
                self.assertLessEqual(outcome.copies, share * outcome.sends)
                if share:
                    self.assertGreater(outcome.copies, 0.8 * share * outcome.sends)
                    self.assertGreater(load.denied["share"], 0)

    def test_grey_endpoint(self):
        """Guards against callers that wait for an endpoint that has become slow without failing."""
        without = Load(grey=1).run()
        load = Load(HedgeSettings(0.06), grey=1)
        outcome = load.run()
        self.assertGreater(without.quantile_s(0.98), 0.5)
        self.assertLess(outcome.quantile_s(0.98), 0.15)

    def test_slowdown_of_all_endpoints(self):
        """Guards against copies that add to an overload in which all answers are slow.

        All answers are above the quantile of the time before, so each request would have a copy.
        """
        load = Load(HedgeSettings(0.02), slots=100)
        load.slow_from = 20.0
        outcome = load.run(4800)
        self.assertLessEqual(outcome.copies, 0.02 * outcome.sends)
        self.assertGreater(load.denied["no_room"], 100)
        # Once the new times are known, requests of the usual time get no copy.
        self.assertGreater(load.hedging.delay_s("read", 24.0), SLOW_S)

    def test_exhausted_retry_budget(self):
        """Guards against copies that use up the budget which failed requests need."""
        load = Load(HedgeSettings(0.1, 0.6), slow_share=0.3, ratio=0.0, slack=20.0)
        outcome = load.run(6000)
        self.assertLessEqual(outcome.copies, 8)
        self.assertGreaterEqual(load.budget.level, 0.4 * load.budget.limit)
        self.assertGreater(load.denied["retry_budget"], 0)

    def test_no_copy_without_knowledge(self):
        """Guards against a delay that rests on a handful of response times."""
        hedging = Hedging(HedgeSettings(0.02, min_samples=50))
        for _ in range(49):
            hedging.record("read", 0.1, now=1.0)
        self.assertIsNone(hedging.delay_s("read", 1.0))
        hedging.record("read", 0.1, now=1.0)
        self.assertAlmostEqual(hedging.delay_s("read", 1.0), 0.1, delta=0.01)
        self.assertIsNone(hedging.delay_s("write", 1.0))

    def test_old_times_are_forgotten(self):
        """Guards against copies after a delay from a time when the route was faster."""
        hedging = Hedging(HedgeSettings(0.02, min_samples=50))
        for _ in range(500):
            hedging.record("read", 0.01, now=5.0)
        for second in range(10, 80):
            for _ in range(10):
                hedging.record("read", 0.5, now=float(second))
        self.assertAlmostEqual(hedging.delay_s("read", 79.0), 0.5, delta=0.05)
        self.assertIsNone(hedging.delay_s("read", 200.0))

    def test_least_delay(self):
        """Guards against copies of all requests of a route that is answered at once."""
        hedging = Hedging(HedgeSettings(0.02, min_delay_s=0.05))
        for _ in range(200):
            hedging.record("read", 0.001, now=1.0)
        self.assertEqual(hedging.delay_s("read", 1.0), 0.05)

    def test_reasons_against_a_copy(self):
        """Guards against a copy in each state in which it is forbidden."""
        hedging = Hedging(HedgeSettings(0.2))
        for _ in range(200):
            hedging.record("read", 0.1, now=1.0)
        sound = HedgeState(left_s=1.0)
        self.assertEqual(hedging.denial("read", "pool", sound, 1.0), "share")
        for _ in range(10):
            hedging.allowance("pool").count_first_send()
        self.assertEqual(hedging.denial("read", "pool", sound, 1.0), "")
        for fields, reason in (
            ({"is_stopping": True}, "stopping"),
            ({"is_suspected": True}, "suspected"),
            ({"has_head": True}, "answering"),
            ({"is_paused": True}, "paused"),
            ({"left_s": 0.05}, "no_time"),
            ({"timer_delay_s": 0.1}, "entry_busy"),
            ({"may_retry": False}, "retry_budget"),
        ):
            state = attrs.evolve(sound, **fields)
            self.assertEqual(hedging.denial("read", "pool", state, 1.0), reason)

    def test_forgotten_routes(self):
        """Guards against memory that grows with each route that ever was in force."""
        hedging = Hedging(HedgeSettings(0.02))
        hedging.record("read", 0.1, 1.0)
        hedging.allowance("pool")
        hedging.retain({"write"}, {"other"})
        self.assertEqual((hedging.times, hedging.allowances), ({}, {}))


class TestInitialDelay(unittest.TestCase):
    """Routes of which an entry knows few times."""

    def test_entry_with_few_requests_waits_for_the_delay_of_the_operators(self):
        """Guards against large fleets without any copy, since no entry knows enough times."""
        hedging = Hedging(HedgeSettings(share=0.02, initial_delay_s=0.3))
        self.assertEqual(hedging.delay_s("read", 0.0), 0.3)
        for _ in range(hedging.settings.min_samples):
            hedging.record("read", 0.1, 0.0)
        self.assertLess(hedging.delay_s("read", 1.0), 0.2)
        self.assertIsNone(Hedging(HedgeSettings(share=0.02)).delay_s("read", 0.0))

    def test_copy_without_known_times(self):
        """Guards against copies that are denied for lack of times although a delay is set."""
        hedging = Hedging(HedgeSettings(share=0.2, initial_delay_s=0.3))
        for _ in range(5):
            hedging.allowance("pool").count_first_send()
        self.assertEqual(hedging.denial("read", "pool", HedgeState(left_s=1.0), 0.0), "")
        self.assertEqual(hedging.denial("read", "pool", HedgeState(left_s=0.0), 0.0), "no_time")


if __name__ == "__main__":
    unittest.main()
