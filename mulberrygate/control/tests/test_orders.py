"""Tests of orders to endpoints."""

import random
import unittest
from unittest import mock

from mulberrygate.control.orders import (
    ENDPOINT_GONE,
    FENCE_NOT_NEWER,
    LEADERSHIP_LOST,
    ORDER_EXPIRED,
    ORDER_REFUSED,
    ORDER_REPLACED,
    SENT_TOO_EARLY,
    SENT_WITHOUT_LEASE,
    OrderController,
    OrderEnded,
    OrderKind,
    OrderSettings,
    SendOrder,
)
from mulberrygate.core import InvariantError
from mulberrygate.endpoints.model import Announcement

SETTINGS = OrderSettings(
    lease_s=3, order_life_s=2, margin_s=0.5, store_bytes_per_s=100, max_loads=2
)
FAR = 1e9


def announcement(name, checks_fence=True):
    return Announcement(name, 1, 1, "h:1", "lamp", "d", "r", checks_fence=checks_fence)


class OrdersTest(unittest.TestCase):
    def setUp(self):
        self.orders = OrderController(SETTINGS)
        self.orders.update_endpoint(announcement("checking"))
        self.orders.update_endpoint(announcement("ignoring", checks_fence=False))

    def lead(self, lease_until=FAR):
        self.orders.start_leading(1, lease_until, 100.0)

    def request(self, endpoint, target="b", now=100.0, kind=OrderKind.LOAD_VERSION, size=0):
        return self.orders.request(endpoint, kind, target, now, size)

    def sent(self, now):
        return [e for e in self.orders.tick(now) if isinstance(e, SendOrder)]

    def codes(self, effects):
        return [e.code for e in effects if isinstance(e, OrderEnded)]

    def test_order_carries_the_fence(self):
        """Guards against an order that an endpoint can't tell from an old one."""
        self.lead()
        self.request("checking")
        effect = self.sent(100)[0]
        self.assertEqual((effect.order.fence, effect.order.life_s, effect.address), (1, 2, "h:1"))

    def test_waits_for_the_old_leader_where_the_fence_is_ignored(self):
        """Guards against an old leader's order that arrives after a new one."""
        self.lead()
        self.request("ignoring")
        self.assertEqual(self.sent(104.9), [])
        self.assertEqual(len(self.sent(105)), 1)

    def test_no_order_without_lease_margin(self):
        """Guards against a leader that sends after a pause, when its lease is about to end."""
        self.lead(lease_until=102)
        self.request("checking")
        effect = self.sent(101)[0]
        self.assertTrue(self.orders.may_send(effect, 101.5))
        self.assertFalse(self.orders.may_send(effect, 101.6))
        self.request("checking", "c")
        self.assertEqual(self.sent(101.6), [])
        self.orders.renew_lease(200)
        self.assertTrue(self.orders.may_send(effect, 101.6))

    def test_order_of_an_earlier_term_is_not_sent(self):
        """Guards against an effect that waited while the leadership changed."""
        self.lead()
        self.request("checking")
        effect = self.sent(100)[0]
        self.assertEqual(self.codes(self.orders.stop_leading()), [LEADERSHIP_LOST])
        self.assertFalse(self.orders.may_send(effect, 101))
        self.orders.start_leading(2, FAR, 110)
        self.assertFalse(self.orders.may_send(effect, 120))

    def test_order_is_accepted_and_completed(self):
        """Guards against orders that never end."""
        self.lead()
        self.request("checking")
        order = self.sent(100)[0].order
        self.assertEqual(self.orders.handle_answer(order, True, 101), [])
        self.assertEqual(self.sent(104), [])
        self.assertEqual(self.orders.handle_completion(order), [OrderEnded(order, None)])
        self.assertEqual(self.orders.handle_completion(order), [])

    def test_unanswered_order_is_sent_again_and_then_given_up(self):
        """Guards against a lost order that is never sent again, and one that is sent forever."""
        self.lead()
        self.request("checking")
        self.assertEqual([len(self.sent(now)) for now in (100, 101, 103, 104)], [1, 0, 1, 0])
        self.assertEqual(self.codes(self.orders.tick(221)), [ORDER_EXPIRED])

    def test_refused_order_and_lost_endpoint(self):
        """Guards against waiting for endpoints that will not answer."""
        self.lead()
        self.request("checking")
        order = self.sent(100)[0].order
        self.assertEqual(self.codes(self.orders.handle_answer(order, False, 101)), [ORDER_REFUSED])
        self.request("checking", "c")
        self.assertEqual(self.codes(self.orders.remove_endpoint("checking")), [ENDPOINT_GONE])

    def test_waiting_order_is_replaced(self):
        """Guards against carrying out an order that is no longer wanted."""
        self.lead()
        self.request("checking", "b")
        self.assertEqual(self.request("checking", "b"), [])
        self.assertEqual(self.codes(self.request("checking", "c")), [ORDER_REPLACED])
        self.assertEqual([e.order.target for e in self.sent(100)], ["c"])

    def test_loads_are_paced(self):
        """Guards against concurrent loads that share the weight store and all time out."""
        self.lead()
        for number in range(4):
            self.orders.update_endpoint(announcement(f"e{number}"))
            self.request(f"e{number}", size=1000)
        self.request("checking", "draining", kind=OrderKind.DRAIN)
        first = [effect.order for effect in self.sent(100)]
        self.assertEqual([order.endpoint for order in first], ["e0", "checking"])
        for order in first:
            self.orders.handle_answer(order, True, 101)
        self.assertEqual(self.sent(109), [])
        second = [effect.order for effect in self.sent(110)]
        self.assertEqual([order.endpoint for order in second], ["e1"])
        self.orders.handle_answer(second[0], True, 111)
        self.assertEqual(self.sent(120), [])
        self.orders.handle_completion(first[0])
        self.assertEqual([e.order.endpoint for e in self.sent(120)], ["e2"])

    def test_random_runs_keep_the_invariants(self):
        """Guards against orders outside the lease, for random sequences of events."""
        rng = random.Random(11)
        for _ in range(200):
            self.setUp()
            now, fence, last = 100.0, 0, {}
            for _ in range(60):
                now += rng.choice((0.0, 0.2, 1.0, 4.0))
                action = rng.randrange(5)
                if action == 0:
                    fence += 1
                    self.orders.start_leading(fence, now + 3, now)
                elif action == 1:
                    self.orders.renew_lease(now + 3 if fence else 0)
                elif action == 2:
                    self.orders.stop_leading()
                else:
                    endpoint = rng.choice(("checking", "ignoring"))
                    self.request(endpoint, str(rng.randrange(3)), now)
                for effect in self.sent(now):
                    self.assertTrue(self.orders.may_send(effect, now))
                    self.assertGreaterEqual(effect.order.fence, last.get(effect.endpoint, 0))
                    last[effect.endpoint] = effect.order.fence

    def arrivals(self, rng, has_checks):
        """Run two leaders with pauses and slow delivery; return fences in order of arrival."""
        leaders = [OrderController(SETTINGS) for _ in range(2)]
        for leader in leaders:
            leader.update_endpoint(announcement("ignoring", checks_fence=False))
        leaders[0].start_leading(1, 103.0, 90.0)
        now, elected_at, arrived, pending = 100.0, 100 + rng.uniform(0, 5), [], []
        while now < 120:
            now += rng.choice((0.1, 0.3, 1.0))
            if now < elected_at:
                leaders[0].renew_lease(now + SETTINGS.lease_s)
            elif not leaders[1].fence:
                leaders[1].start_leading(2, FAR, now)
            for leader in leaders:
                leader.request("ignoring", OrderKind.DRAIN, str(rng.random()), now)
                pause = rng.choice((0.0, 0.0, 1.0, 6.0))
                pending += [(now + pause, leader, e) for e in leader.tick(now)]
                for order in [track.order for track in leader.open.values()]:
                    leader.handle_completion(order)
            for due in [entry for entry in pending if entry[0] <= now]:
                pending.remove(due)
                _, leader, effect = due
                if not isinstance(effect, SendOrder):
                    continue
                if not has_checks or leader.may_send(effect, now):
                    delay = rng.uniform(0, SETTINGS.margin_s) + rng.uniform(
                        0, SETTINGS.order_life_s
                    )
                    arrived.append((now + delay, effect.order.fence))
        return [fence for _, fence in sorted(arrived)]

    def test_orders_of_two_leaders_arrive_in_order(self):
        """Guards against an old leader's order after a new one's, with pauses and delays."""
        reordered, orders = 0, 0
        for seed in range(60):
            fences = self.arrivals(random.Random(seed), True)
            orders += len(fences)
            self.assertEqual(fences, sorted(fences), seed)
            unchecked = self.arrivals(random.Random(seed), False)
            reordered += unchecked != sorted(unchecked)
        self.assertGreater(orders, 1000)
        self.assertGreater(reordered, 0)

    def test_mutants_break_the_invariants(self):
        """Guards against invariants that can't fail."""
        cases = ((100.0, "ignoring", SENT_TOO_EARLY), (FAR, "checking", SENT_WITHOUT_LEASE))
        for now, endpoint, code in cases:
            self.setUp()
            self.lead()
            self.request(endpoint)
            with mock.patch.object(OrderController, "_may_send_to", return_value=True):
                with self.assertRaises(InvariantError) as caught:
                    self.orders.tick(now)
            self.assertEqual(caught.exception.code, code)
        with self.assertRaises(InvariantError) as caught:
            self.lead()
        self.assertEqual(caught.exception.code, FENCE_NOT_NEWER)
