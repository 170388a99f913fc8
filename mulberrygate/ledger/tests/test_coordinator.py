"""Tests of the results of the coordinator's steps, in virtual time."""

import asyncio
import random
import unittest

from mulberrygate.core import Execution, InvariantError
from mulberrygate.ledger import (
    Attempt,
    Begin,
    Begun,
    Claim,
    Claimed,
    Coordinator,
    Finished,
    InProgress,
    Missing,
    Phase,
    Recorded,
    Replica,
    ReplicaId,
    Shard,
    Superseded,
    Unavailable,
    Uncertain,
    View,
    shard_number,
)
from mulberrygate.ledger.coordinator import BEGIN_VALID_S
from mulberrygate.ledger.tests.simulation import WALL, VirtualLoop
from mulberrygate.peers import Unreachable

KEY, SHARD = "d/k", f"d/{shard_number('d/k')}"
OTHER = Attempt("z", 1, 1)


class Peers:
    """Peer client over replicas in one process, each of which can be made unreachable."""

    def __init__(self, loop):
        self.loop = loop
        self.replicas = {name: Replica(name, 1, WALL) for name in "abc"}
        self.down = set()
        self.calls = []
        self.delay = 0.001

    async def call(self, name, message, timeout_s):
        self.calls.append((name, type(message)))
        if name in self.down:
            await asyncio.sleep(timeout_s)
            return Unreachable(name, "cut off")
        await asyncio.sleep(self.delay)
        answer = self.replicas[name].handle(message, "e", self.loop.time())[0].message
        await asyncio.sleep(self.delay)
        return answer

    def send(self, name, message):
        if name not in self.down:
            self.replicas[name].handle(message, "e", self.loop.time())


class CoordinatorTest(unittest.TestCase):
    """Coordinators of several entries with three replicas."""

    def setUp(self):
        self.loop = VirtualLoop()
        self.addCleanup(self.loop.close)
        self.peers = Peers(self.loop)
        self.view = View(1, tuple(ReplicaId(name, 1) for name in "abc"))
        self.shards = {f"d/{n}": Shard("d", n, self.view) for n in range(32)}
        self.install(
            {name: Shard("d", s.number, None, s.active) for name, s in self.shards.items()}
        )
        self.install(self.shards)
        self.gone = set()
        self.coordinators = []
        self.addCleanup(lambda: self.run_all(*(c.close() for c in self.coordinators)))
        self.one, self.two = self.coordinator("e"), self.coordinator("f")

    def install(self, shards):
        for replica in self.peers.replicas.values():
            replica.install(shards, self.loop.time())

    def coordinator(self, name):
        coordinator = Coordinator(
            self.peers,
            lambda: self.shards,
            name,
            1,
            lambda: WALL + self.loop.time(),
            random.Random(name),
            lambda instance, incarnation: instance not in self.gone,
        )
        self.coordinators.append(coordinator)
        return coordinator

    def run_all(self, *coroutines):
        async def gather():
            return await asyncio.gather(*coroutines)

        return self.loop.run_until_complete(gather())

    def run_one(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    def claim(self, coordinator, timeout_s=1.0, body=b"f"):
        return self.run_one(coordinator.claim(KEY, body, timeout_s))

    def put(self, name, message):
        return self.peers.replicas[name].handle(message, "z", self.loop.time())

    def test_whole_course(self):
        """A re-send finds the state of the first attempt after each step."""
        attempt = self.claim(self.one).attempt
        self.assertIs(self.claim(self.two).record.phase, Phase.WAITING)
        self.assertIsInstance(self.run_one(self.one.begin(attempt, "engine", "h:1")), Begun)
        self.assertEqual(self.claim(self.two).record.endpoint, "engine")
        self.run_one(self.one.finish(attempt, answer=b"answer"))
        known = self.claim(self.two)
        self.assertIsInstance(known, Finished)
        self.assertEqual((known.record.answer, known.execution), (b"answer", Execution.COMPLETED))
        self.assertIsInstance(self.run_one(self.two.lookup(KEY)), Finished)
        self.assertEqual(self.run_one(self.two.lookup("d/other")), Missing())

    def test_waiting_attempt_of_a_lost_entry_is_taken_over(self):
        """A retry takes over the claim of a lost entry instead of waiting for it."""
        attempt = self.claim(self.one).attempt
        self.gone.add("e")
        self.assertIsInstance(self.claim(self.two), Claimed)
        late = self.run_one(self.one.begin(attempt, "engine", "h:1"))
        self.assertIsInstance(late, Superseded)

    def test_released_key_is_claimed_by_the_waiting_retry(self):
        """A waiting retry gets the key once the first attempt is released."""

        async def scenario():
            claimed = await self.one.claim(KEY, b"f", 1.0)
            retry = asyncio.ensure_future(self.two.claim(KEY, b"f", 5.0))
            await asyncio.sleep(0.5)
            await self.one.release(claimed.attempt)
            return await retry

        self.assertIsInstance(self.run_one(scenario()), Claimed)

    def test_cancelled_steps_are_released(self):
        """A cancelled step releases its claim; otherwise the caller's retry would wait for it."""

        async def scenario(seconds):
            first = asyncio.ensure_future(self.begin_slowly())
            await asyncio.sleep(seconds)
            first.cancel()
            await asyncio.sleep(0.5)
            return await self.two.claim(KEY, b"f", 1.0)

        self.peers.delay = 0.05
        for seconds in (0.02, 0.07, 0.12):
            outcome = self.run_one(scenario(seconds))
            self.assertIsInstance(outcome, Claimed, f"after {seconds} s")
            self.run_one(self.two.release(outcome.attempt))
        accepted = self.run_one(scenario(0.17))
        self.assertIs(accepted.execution, Execution.NOT_RUN)

    async def begin_slowly(self):
        claimed = await self.one.claim(KEY, b"f", 1.0)
        await self.one.begin(claimed.attempt, "engine", "h:1")

    def test_resends_everywhere_at_once_have_one_winner(self):
        """Of several simultaneous re-sends one gets the key; partial claims don't deadlock."""
        self.peers.delay = 0.05
        claims = [self.coordinator(f"e{n}").claim(KEY, b"f", 5.0) for n in range(8)]
        kinds = [type(outcome) for outcome in self.run_all(*claims)]
        self.assertEqual((kinds.count(Claimed), kinds.count(InProgress)), (1, 7))

    def test_minority_begin_of_a_lost_entry_is_uncertain(self):
        """A begin that only a minority has is reported as unknown, since it may have run."""
        self.put("a", Begin(SHARD, 1, KEY, b"f", OTHER))
        self.gone.add("z")
        outcome = self.claim(self.two)
        self.assertIsInstance(outcome, Uncertain)
        self.assertIs(outcome.execution, Execution.UNKNOWN)

    def test_minority_begin_does_not_dispatch(self):
        """Acceptance by a minority permits no dispatch; otherwise two entries could dispatch."""
        attempt = self.claim(self.one).attempt
        self.peers.down = {"b", "c"}
        outcome = self.run_one(self.one.begin(attempt, "engine", "h:1", 1.0))
        self.assertIsInstance(outcome, Uncertain)
        self.assertIs(outcome.execution, Execution.NOT_RUN)
        self.run_one(asyncio.sleep(20))
        self.peers.down = set()
        self.run_one(asyncio.sleep(20))
        self.assertIsInstance(self.claim(self.two), Claimed)

    def test_majority_of_replicas_down(self):
        """Without a majority a claim fails at its timeout instead of waiting or succeeding."""
        self.peers.down = {"b", "c"}
        self.assertIsInstance(self.claim(self.one), Unavailable)

    def test_one_replica_down(self):
        """With one replica unreachable all steps still succeed."""
        self.peers.down = {"a"}
        attempt = self.claim(self.one).attempt
        self.assertIsInstance(self.run_one(self.one.begin(attempt, "engine", "h:1")), Begun)
        self.assertEqual(self.run_one(self.one.finish(attempt)), Recorded())

    def test_old_view_waits_for_the_configuration(self):
        """A step under a sealed view waits for the new configuration instead of failing."""
        old, new = self.shards, View(2, self.view.replicas)
        attempt = self.claim(self.one).attempt
        preparing = {n: Shard("d", s.number, s.active, new) for n, s in old.items()}
        for replica in self.peers.replicas.values():
            effects = replica.install(preparing, self.loop.time())
            for effect in effects:
                if hasattr(effect, "to"):
                    answers = self.put(effect.to, effect.message)
                    replica.handle(answers[0].message, effect.to, self.loop.time())

        async def scenario():
            begun = asyncio.ensure_future(self.one.begin(attempt, "engine", "h:1", 5.0))
            await asyncio.sleep(1)
            is_early = begun.done()
            self.shards = {n: Shard("d", s.number, new) for n, s in old.items()}
            return is_early, await begun

        is_early, begun = self.run_one(scenario())
        self.assertFalse(is_early)
        self.assertIsInstance(begun, Begun)

    def test_paused_begin_does_not_dispatch(self):
        """A begin that took too long permits no dispatch.

        Records may have expired during a suspension, and the key may have run again.
        """
        attempt = self.claim(self.one).attempt
        handle = self.peers.replicas["a"].handle

        def pause(message, sender, now):
            self.loop.virtual += BEGIN_VALID_S + 1
            return handle(message, sender, now)

        self.peers.replicas["a"].handle = pause
        outcome = self.run_one(self.one.begin(attempt, "engine", "h:1"))
        self.assertNotIsInstance(outcome, Begun)
        self.assertFalse(Begun(OTHER, 10.0).may_dispatch(10.0))

    def test_attempt_begins_once(self):
        """An attempt can't begin twice, so that its entry can't dispatch it twice."""
        attempt = self.claim(self.one).attempt
        self.run_one(self.one.begin(attempt, "engine", "h:1"))
        with self.assertRaises(InvariantError):
            self.run_one(self.one.begin(attempt, "engine", "h:1"))

    def test_minted_key_needs_one_remote_call_a_step(self):
        """With a local replica each step makes one remote call.

        More calls for each request would exceed the cost that control may have.
        """
        local = self.coordinator("a")
        claimed = local.claim_minted(local.mint_key("d"), b"f")
        self.run_one(local.begin(claimed.attempt, "engine", "h:1"))
        self.run_one(local.finish(claimed.attempt))
        self.assertEqual(len([name for name, _ in self.peers.calls if name != "a"]), 2)

    def test_split_claims_of_lost_entries_are_taken_over(self):
        """Claims of two lost entries, each at one replica, don't block the key."""
        self.put("a", Claim(SHARD, 1, KEY, b"f", OTHER))
        self.put("b", Claim(SHARD, 1, KEY, b"f", Attempt("y", 1, 1)))
        self.gone |= {"z", "y"}
        self.assertIsInstance(self.claim(self.one), Claimed)


if __name__ == "__main__":
    unittest.main()
