"""Tests of the host of pool schedulers."""

import random
import unittest
from types import SimpleNamespace
from unittest import mock

from mulberrygate.daemon.poolhost import PoolHost
from mulberrygate.schedule.messages import Ask, Ticket
from mulberrygate.tables.model import Move, Pool

TICKET = Ticket("r", "me", "pool", "route", "account", 1.0, 0, 10, 10, (), 60.0)


class PoolHostTest(unittest.TestCase):
    """Schedulers of the pools in force."""

    def setUp(self):
        view = mock.Mock(owner=lambda *_: "me", in_domain=lambda _: ["me"])
        self.in_force = SimpleNamespace(pools={"pool": Pool(version="v1")})
        self.host = PoolHost(
            SimpleNamespace(instance="me", failure_domain="a", region="west"),
            mock.Mock(),
            lambda: view,
            mock.Mock(views=lambda pool, now: []),
            self.in_force,
            mock.Mock(now=lambda: 1.0),
            mock.Mock(),
            mock.Mock(),
            random.Random(1),
        )

    def test_changed_pool_reaches_its_scheduler(self):
        """Guards against a scheduler that keeps the settings of its first request."""
        self.host.on_ask(Ask(TICKET), "me")
        changed = Pool(version="v2", move=Move("v1"), max_waiting=7, engine_queue=3)
        self.in_force.pools["pool"] = changed
        self.host.tick()
        self.assertEqual(self.host.scheduler("pool").pool, changed)


if __name__ == "__main__":
    unittest.main()
