"""Tests of the time for which a voter reports that it holds all committed entries."""

import unittest

import attrs

from mulberrygate.agreement.effects import CaughtUp
from mulberrygate.agreement.messages import Append
from mulberrygate.agreement.tests.cluster import Cluster
from mulberrygate.core.effects import Persist


class TestCaughtUp(unittest.TestCase):
    """Heartbeats of one leader to one follower."""

    def setUp(self):
        self.cluster = Cluster(3, 1)
        self.cluster.run(3.0)
        leader = self.cluster.leader()
        self.leader = self.cluster.instances[leader].node
        name = next(name for name in self.cluster.instances if name != leader)
        self.follower = self.cluster.instances[name].node

    def heartbeat(self, entries=()):
        """Return an `Append` of the leader to the follower."""
        leader, log = self.leader, self.follower.log
        prev = log.last_index
        return Append(
            leader.cluster, leader.term, leader.disk, self.follower.disk,
            prev, log.term_at(prev), leader.commit, leader.round, self.cluster.now, entries,
        )  # fmt: skip

    def reported_times(self, message):
        """Return the times in the `CaughtUp` effects of the follower for a message."""
        effects = self.follower.handle(message, self.leader.voter, self.cluster.now)
        return [effect.at for effect in effects if isinstance(effect, CaughtUp)]

    def test_heartbeat_with_nothing_new(self):
        """Guards against a follower that holds everything and never reports it."""
        self.assertEqual(self.reported_times(self.heartbeat()), [self.cluster.now])

    def test_heartbeat_without_the_entries_that_are_committed(self):
        """Guards against a follower that reports to be caught up but lacks committed entries."""
        message = attrs.evolve(self.heartbeat(), commit=self.leader.commit + 2)
        self.assertEqual(self.reported_times(message), [])

    def test_entries_that_are_not_synced_yet(self):
        """Guards against a follower that reports to be caught up before it has synced entries."""
        last = self.leader.log.last_index
        entry = attrs.evolve(self.leader.log.entry_at(last), index=last + 1)
        message = attrs.evolve(self.heartbeat((entry,)), commit=last + 1)
        effects = self.follower.handle(message, self.leader.voter, self.cluster.now)
        kinds = [type(effect) for effect in effects]
        self.assertLess(kinds.index(Persist), kinds.index(CaughtUp))
        self.assertEqual(kinds[-1], CaughtUp)

    def test_leader_that_has_committed_nothing_yet(self):
        """Guards against a report based on a leader that doesn't know its predecessor's commits."""
        message = attrs.evolve(self.heartbeat(), term=self.leader.term + 1)
        self.assertEqual(self.reported_times(message), [])


if __name__ == "__main__":
    unittest.main()
