"""Tests of the rate limits of client accounts at an entry."""

from __future__ import annotations

import asyncio
import unittest

from mulberrygate.catalog import ClientAccount
from mulberrygate.forward import codes
from mulberrygate.forward.limits import AccountLimits
from mulberrygate.peers.client import Unreachable
from mulberrygate.quota import CentralLimits, Limit
from mulberrygate.quota.local import UnitsReceipt
from mulberrygate.sync.messages import Units

ACCOUNT = ClientAccount("x", ("k",), rate=100.0, burst=10.0)


class Leader:
    """Leader that can be made unreachable, and deputies with fixed answers."""

    def __init__(self, clock):
        self.clock = clock
        self.limits = CentralLimits(epoch=1)
        self.limits.set_limits({"x": Limit(ACCOUNT.rate, ACCOUNT.burst)}, clock())
        self.is_reachable = True
        self.asked = 0
        self.deputies = {}
        self.client = self
        self.advances = []

    async def call(self, instance, message, _timeout_s):
        """Answer a request for units, unless unreachable."""
        if instance in self.deputies:
            return self.deputies[instance]
        self.asked += 1
        if not self.is_reachable:
            return Unreachable("leader", "test")
        self.advances.append(message.advance)
        granted = self.limits.grant("e", "x", message.need, message.advance, self.clock())
        return Units(True, granted.units, granted.wait_s, granted.share, self.limits.epoch)

    def send(self, _instance, message):
        """Take back units of the present leadership."""
        if message.epoch == self.limits.epoch:
            self.limits.put_back(message.account, message.units, self.clock())


class TestAccountLimits(unittest.IsolatedAsyncioTestCase):
    """Waiting for units, and operation without a leader."""

    async def asyncSetUp(self):
        clock = asyncio.get_running_loop().time
        self.leader = Leader(clock)
        self.limits = AccountLimits("e", self.leader, lambda: "leader", 0.0, clock)

    async def test_request_waits_for_units_available_soon(self):
        """Guards against refusals when all callers arrive at once after a restart."""
        self.assertIsNone(await self.limits.spend(ACCOUNT, 20.0))
        self.assertIsNone(await self.limits.spend(ACCOUNT, 20.0, max_wait_s=5.0))

    async def test_request_without_time_to_wait_is_refused_at_once(self):
        """Guards against delaying a request whose caller has no time left for it."""
        self.assertIsNone(await self.limits.spend(ACCOUNT, 20.0))
        refused = await self.limits.spend(ACCOUNT, 20.0, max_wait_s=0.01)
        self.assertIs(refused.code, codes.OVER_LIMIT)
        self.assertGreater(refused.retry_after_s, 0)

    async def test_account_far_over_its_limit_is_refused(self):
        """Guards against delaying requests of an account far over its limit for seconds."""
        self.assertIsNone(await self.limits.spend(ACCOUNT, 1000.0))
        refused = await self.limits.spend(ACCOUNT, 20.0, max_wait_s=60.0)
        self.assertIs(refused.code, codes.OVER_LIMIT)
        self.assertEqual(self.leader.asked, 2)

    async def test_leader_that_does_not_answer_is_avoided(self):
        """Guards against each request waiting for a leader that has stopped."""
        self.leader.is_reachable = False
        for _ in range(3):
            refused = await self.limits.spend(ACCOUNT, 1.0)
            self.assertIs(refused.code, codes.NO_SHARE)
        self.assertEqual(self.leader.asked, 1)

    def lose_leader(self, **deputies):
        """Make the leader unreachable, with deputies that give these answers."""
        self.leader.is_reachable = False
        self.leader.deputies = deputies
        self.limits.find_deputies = lambda: tuple(deputies)

    async def test_deputies_are_asked_in_turn_without_a_leader(self):
        """Guards against refusals of an entry that never spent units of an account before."""
        self.lose_leader(one=Unreachable("one", "test"), two=Units(False), three=Units(True, 5.0))
        for _ in range(3):
            self.assertIsNone(await self.limits.spend(ACCOUNT, 5.0))
        self.assertEqual(self.leader.asked, 1)

    async def test_deputy_without_units_refuses(self):
        """Guards against an account that spends at the next deputy what the first one refused."""
        self.lose_leader(one=Units(True, 0.0, 9.0), two=Units(True, 5.0))
        refused = await self.limits.spend(ACCOUNT, 5.0, max_wait_s=5.0)
        self.assertIs(refused.code, codes.NO_SHARE)
        self.assertEqual(refused.retry_after_s, 9.0)

    async def test_one_request_at_a_time_tries_a_leader_that_did_not_answer(self):
        """Guards against all requests waiting for a stopped leader each time it is tried again."""
        self.lose_leader(one=Units(True, 5.0))
        self.assertIsNone(await self.limits.spend(ACCOUNT, 5.0))
        self.limits.avoided_until.clear()
        await asyncio.gather(*(self.limits.spend(ACCOUNT, 5.0) for _ in range(5)))
        self.assertEqual(self.leader.asked, 2)

    async def test_new_leader_is_asked_at_once(self):
        """Guards against a new leader that is avoided since its predecessor did not answer."""
        self.lose_leader(one=Units(True, 5.0))
        await self.limits.spend(ACCOUNT, 5.0)
        self.leader.is_reachable = True
        self.limits.find_leader = lambda: "next leader"
        self.assertIsNone(await self.limits.spend(ACCOUNT, 5.0))
        self.assertEqual(self.leader.asked, 2)

    async def test_units_of_a_refused_request_serve_another_entry(self):
        """Guards against a limit that is used up by requests that were refused in an overload."""
        receipt = UnitsReceipt()
        self.assertIsNone(await self.limits.spend(ACCOUNT, 200.0, spent=receipt))
        self.assertLess(self.leader.limits.accounts["x"].level, 0)
        self.limits.refund("x", receipt)
        other = AccountLimits("f", self.leader, lambda: "leader", 0.0, self.limits.clock)
        self.assertIsNone(await other.spend(ACCOUNT, 200.0))

    async def test_units_of_an_earlier_leader_are_not_returned_to_the_next(self):
        """Guards against a new leader that gets units which it never granted."""
        receipt = UnitsReceipt()
        await self.limits.spend(ACCOUNT, 200.0, spent=receipt)
        self.leader.limits = CentralLimits(epoch=2)
        self.leader.limits.set_limits({"x": Limit(0.0, 10.0)}, self.limits.clock())
        await self.limits.spend(ACCOUNT, 200.0)
        self.limits.refund("x", receipt)
        self.assertLessEqual(self.leader.limits.accounts["x"].level, 0)

    async def test_no_units_are_asked_in_advance_that_no_request_could_use(self):
        """Guards against units that expire at entries, each of which may hold only a few."""
        self.limits.slack = 50.0
        self.leader.limits.set_limits({"x": Limit(100.0, 1000.0)}, self.limits.clock())
        self.leader.limits.put_back("x", 1000.0, self.limits.clock())
        await self.limits.spend(ACCOUNT, 30.0)
        await self.limits.spend(ACCOUNT, 5.0)
        await self.limits.spend(ACCOUNT, 20.0)
        self.assertEqual(self.leader.advances, [0.0, 20.0])


if __name__ == "__main__":
    unittest.main()
