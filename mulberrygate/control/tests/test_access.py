"""Tests of reads of the newest configuration from any control process."""

from __future__ import annotations

import asyncio
import unittest
from types import SimpleNamespace

from mulberrygate.agreement.effects import Role
from mulberrygate.control.access import LogAccess
from mulberrygate.control.catalogs import PutCatalog
from mulberrygate.core.timers import TimerService
from mulberrygate.sync.messages import LatestCatalog, ProposeResult

NEWEST = LatestCatalog(True, 7, b"document", b"{}")


class Peers:
    """Peer client with a set answer, or none within the timeout, for each process."""

    def __init__(self, answers):
        self.answers = answers
        self.calls = []

    async def call(self, name, _message, timeout_s):
        """Return the answer of a process, after its delay in seconds."""
        self.calls.append(name)
        delay_s, answer = self.answers.get(name, (timeout_s, None))
        await asyncio.sleep(min(delay_s, timeout_s))
        return answer


class TestReads(unittest.IsolatedAsyncioTestCase):
    """Reads by a process that doesn't lead."""

    async def read(self, known_leader, others, answers):
        """Return the result of a read, and the names asked."""
        timers = TimerService(lambda name, error: None)
        self.addAsyncCleanup(timers.close)
        machine = SimpleNamespace(version=0, document=b"", moves_json=lambda: b"{}")
        peers = Peers(answers)
        access = LogAccess("a", machine, peers, timers, lambda: others)
        access.service = SimpleNamespace(role=Role.FOLLOWER, leader=known_leader)
        return await access.read_latest(), peers.calls

    async def test_process_without_a_leader_asks_the_others(self):
        """Guards against 503 from a process with a new disk while the group has a leader."""
        answers = {"b": (0.0, LatestCatalog(False, leader="c")), "c": (0.0, NEWEST)}
        latest, _ = await self.read("", ["b"], answers)
        self.assertEqual(latest, NEWEST)

    async def test_leader_that_is_gone(self):
        """Guards against a read that waits for a leader that is gone until its time is over."""
        latest, _ = await self.read("b", ["b", "c"], {"c": (0.0, NEWEST)})
        self.assertEqual(latest, NEWEST)

    async def test_slow_leader_is_waited_for(self):
        """Guards against giving up a leader that answers slowly, but in time."""
        answers = {"b": (0.6, NEWEST), "c": (0.0, LatestCatalog(False, leader="b"))}
        latest, calls = await self.read("b", ["b", "c"], answers)
        self.assertEqual(latest, NEWEST)
        self.assertEqual(calls.count("b"), 1)

    async def test_nobody_is_certain(self):
        """Guards against an answer that no leader has confirmed."""
        answers = {"c": (0.0, LatestCatalog(False, leader="b"))}
        latest, _ = await self.read("b", ["b", "c"], answers)
        self.assertFalse(latest.is_certain)

    async def test_reason_without_a_leader(self):
        """Guards against a log that blames a process for a group that has no leader."""
        timers = TimerService(lambda name, error: None)
        self.addAsyncCleanup(timers.close)
        machine = SimpleNamespace(version=0, document=b"", moves_json=lambda: b"{}")
        peers = Peers({"b": (0.0, LatestCatalog(False))})
        access = LogAccess("a", machine, peers, timers, lambda: ["b"])
        access.service = SimpleNamespace(role=Role.FOLLOWER, leader="")
        await access.read_latest()
        self.assertTrue(access.read_failure.startswith("no leader is known"))

    async def test_commit_goes_to_the_successor_of_a_leader_that_is_gone(self):
        """Guards against a commit that waits for a leader that is gone until its time is over."""
        timers = TimerService(lambda name, error: None)
        self.addAsyncCleanup(timers.close)
        peers = Peers({"c": (0.0, ProposeResult(True))})
        access = LogAccess("a", SimpleNamespace(), peers, timers)
        access.service = service = SimpleNamespace(role=Role.FOLLOWER, leader="b")
        asyncio.get_running_loop().call_later(0.2, lambda: setattr(service, "leader", "c"))
        self.assertTrue(await access.commit(PutCatalog(1, b"document")))


if __name__ == "__main__":
    unittest.main()
