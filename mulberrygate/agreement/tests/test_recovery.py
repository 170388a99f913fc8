"""Losses that a core of six control instances, two of which may be lost, has to survive."""

import unittest

from mulberrygate.agreement.tests.core_cluster import CATCH_UP_S, CoreCluster
from mulberrygate.agreement.tests.core_series import Series

# Time in which the group is checked after an instance stops counting as lost: one heartbeat.
MARGIN_S = 0.15


def failure_of(check):
    """Return the failure of a check, empty if it passes."""
    try:
        check()
    except AssertionError as error:
        return str(error)
    return ""


class TestRecovery(unittest.TestCase):
    """Single faults, each followed by calm and by the loss of two more disks."""

    def setUp(self):
        self.cluster = CoreCluster(1)
        self.cluster.form()

    def voters(self):
        """Return the voters except the leader."""
        return [name for name in self.cluster.voters() if name != self.cluster.leader().name]

    def learner(self):
        """Return the newest instance that is no voter."""
        return [n for n in self.cluster.instances if n not in self.cluster.voters()][-1]

    def replace(self, name):
        """Remove an instance for good, start its successor and let that catch up."""
        self.cluster.remove(name)
        successor = self.cluster.succeed(name)
        self.cluster.run(CATCH_UP_S + MARGIN_S)
        return successor

    def assert_whole(self):
        """Check that all voters have disks, and that the group survives the loss of two more."""
        cluster = self.cluster
        self.assertEqual(cluster.counting(), set())
        calm = failure_of(cluster.check_calm_group)
        cluster.commit()
        disks = cluster.voter_disks()
        holders = [name for name in cluster.holders() if cluster.disk_of(name) in disks]
        cluster.close(holders[:2])
        read_back = failure_of(cluster.check_read_back)
        self.assertEqual((calm, read_back), ("", ""), "\n".join(cluster.history))

    def test_emptied_disks_join_when_the_leader_is_no_seed(self):
        """Guards against emptied disks that ask only seeds, which don't lead, to join."""
        cluster = self.cluster
        cluster.lead("v3")
        emptied = self.voters()[:2]
        for name in emptied:
            cluster.empty(name)
        cluster.run(0.5)
        for name in emptied:
            cluster.start(name)
        cluster.run(CATCH_UP_S + MARGIN_S)
        self.assert_whole()

    def test_returned_voter_asks_a_leader_that_joined_while_it_was_away(self):
        """Guards against a removed voter that knows no leader by name and stays out for good."""
        cluster = self.cluster
        cluster.lead("v0")
        away = self.voters()[0]
        cluster.stop(away)
        cluster.run(CATCH_UP_S)
        learner = next(n for n in self.voters() if n not in cluster.seeds)
        successor = self.replace(learner)
        cluster.lead(successor)
        cluster.start(away)
        cluster.run(CATCH_UP_S + MARGIN_S)
        members = {m.disk for m in cluster.leader().node.members.members}
        self.assertIn(cluster.disk_of(away), members, "\n".join(cluster.history))

    def test_change_of_leader_does_not_delay_the_replacement_of_a_lost_voter(self):
        """Guards against a dead voter that stays a voter because each leader waits anew."""
        cluster = self.cluster
        removed = self.voters()[0]
        cluster.remove(removed)
        cluster.succeed(removed)
        cluster.run(2.5)
        # A split loses no instance, but its leader.
        cluster.split({cluster.leader().name}, 1.0)
        cluster.run(CATCH_UP_S - 3.5 + MARGIN_S)
        self.assert_whole()

    def test_removed_learners_do_not_keep_successors_out(self):
        """Guards against dead learners that fill the group, so that no further instance joins."""
        cluster = self.cluster
        cluster.lead("v0")
        for _ in range(2):
            self.replace(self.learner())
        self.replace(self.voters()[0])
        self.assert_whole()

    def test_emptied_disk_catches_up_while_snapshots_are_taken(self):
        """Guards against a snapshot transfer that each newer snapshot starts anew, without end."""
        cluster = self.cluster
        cluster.lead("v0")
        self.propose_often(20.0)
        name = next(n for n in self.voters() if n in cluster.seeds)
        cluster.empty(name)
        cluster.start(name)
        self.propose_often(10.0)
        members = cluster.leader().node.members
        self.assertEqual(cluster.leader().name, "v0")
        member = members.by_disk(cluster.disk_of(name))
        self.assertIsNotNone(member, "\n".join(cluster.history))
        leader = cluster.leader().node
        self.assertGreater(leader.progress[member.disk].match, leader.commit - 20)

    def propose_often(self, seconds):
        """Propose ten commands a second; a snapshot is taken after every six."""
        for _ in range(int(seconds * 10)):
            self.cluster.propose(self.cluster.leader().name)
            self.cluster.run(0.1)

    def test_stop_of_all_between_removal_and_promotion(self):
        """Guards against a group that stays at four voters after a replacement is interrupted."""
        cluster = self.cluster
        cluster.lead("v0")
        removed = self.voters()[0]
        cluster.remove(removed)
        cluster.succeed(removed)
        while len(cluster.leader().node.members.voters()) == 5:
            cluster.step_finely()
        cluster.stop_all(0.5)
        cluster.run(CATCH_UP_S + MARGIN_S)
        self.assert_whole()

    def test_frozen_voter_and_two_lost_disks(self):
        """Guards against a replacement that is cut short and leaves the group a voter short."""
        cluster = self.cluster
        cluster.lead("v0")
        frozen, *others = self.voters()
        cluster.freeze(frozen)
        while len(cluster.leader().node.members.voters()) == 5:
            cluster.step_finely()
        cluster.commit()
        cluster.close(others[:2])
        cluster.check_read_back()

    def test_leader_that_leads_again_keeps_voters_that_answer_late(self):
        """Guards against replacing a voter for the time in which nobody listened to it."""
        cluster = self.cluster
        cluster.lead("v0")
        frozen = self.voters()[0]
        cluster.freeze(frozen)
        node = cluster.leader().node
        node.become_follower(node.term, "", cluster.now)
        node.heard_reported_at -= 20.0
        node.heard_at = {disk: at - 20.0 for disk, at in node.heard_at.items()}
        node.set_term(node.term + 1, node.disk)
        node.become_leader(cluster.now)
        later = cluster.now + 0.5
        silent = next(m for m in node.members.voters() if m.name == frozen)
        self.assertFalse(node.is_lost(silent, later))
        self.assertTrue(node.is_lost(silent, later + 2.0))

    def test_voter_that_is_silent_for_longest_is_replaced(self):
        """Guards against replacing a voter that is away briefly, and not the one that is gone."""
        cluster = self.cluster
        cluster.lead("v0")
        node = cluster.leader().node
        gone, away = sorted(m.disk for m in node.members.voters() if m.disk != node.disk)[-2:][::-1]
        now = cluster.now
        node.leader_since = now - 10.0
        for disk, silent_s in ((gone, 9.0), (away, 2.0)):
            node.progress[disk].last_contact_at = float("-inf")
            node.heard_at[disk] = now - silent_s
        self.assertEqual(node.find_lost_voter(now).disk, gone)

    def test_removed_voter_returns(self):
        """Guards against a voter that was replaced while it was away and never joins again."""
        for end in ("stop", "freeze", "cut"):
            with self.subTest(end=end):
                self.setUp()
                cluster = self.cluster
                cluster.lead("v0")
                away = self.voters()[0]
                back = {"stop": cluster.start, "freeze": cluster.thaw, "cut": cluster.join}[end]
                getattr(cluster, end)(away)
                cluster.run(5.0)
                self.assertNotIn(away, cluster.voters())
                back(away)
                cluster.run(CATCH_UP_S + MARGIN_S)
                members = {m.disk for m in cluster.leader().node.members.members}
                self.assertIn(cluster.disk_of(away), members)
                self.assert_whole()


class TestSeries(unittest.TestCase):
    """Random series of losses within the tolerance, each with a closing."""

    def test_series(self):
        """Guards against combinations of losses after which the group serves no read again."""
        failed = {}
        for seed in range(60):
            series = Series(seed)
            violations = series.run(20)
            if violations:
                failed[seed] = violations
        print(f"{len(failed)} of 60 series with violations: {failed}")
        self.assertEqual(failed, {})


if __name__ == "__main__":
    unittest.main()
