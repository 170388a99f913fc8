"""Tests of a group that adds voters and replaces lost ones without an operator."""

from __future__ import annotations

import unittest

import attrs

from mulberrygate.agreement.effects import MembersChanged
from mulberrygate.agreement.messages import JoinRequest
from mulberrygate.agreement.node import AgreementNode
from mulberrygate.agreement.tests.cluster import SETTINGS, Cluster, Instance


class GrowingCluster(Cluster):
    """Group with a wanted number of voters, to which instances can be added later."""

    def __init__(self, size, wanted=3, seed=0, node_class=AgreementNode):
        super().__init__(size, seed, node_class)
        self.settings = attrs.evolve(SETTINGS, wanted_voters=wanted)
        self.instances = {name: Instance(self, name) for name in self.first_voters}

    def add(self, name, may_form=True):
        """Start an instance with an empty disk."""
        usual = self.settings
        self.settings = attrs.evolve(usual, may_form=may_form)
        self.instances[name] = Instance(self, name)
        self.settings = usual

    def leader(self):
        """Return the instance that leads."""
        found = [i for i in self.instances.values() if i.node and i.node.role.value == "leader"]
        return found[0] if found else None

    def voters(self):
        """Return the names of the voters in the leader's configuration."""
        return sorted(member.name for member in self.leader().node.members.voters())


class TestGrowth(unittest.TestCase):
    """Promotion of learners and replacement of lost voters."""

    def setUp(self):
        self.cluster = GrowingCluster(3)
        self.cluster.run(10.0)
        self.assertEqual(self.cluster.voters(), ["v0", "v1", "v2"])

    def test_further_instance_stays_a_learner(self):
        """Guards against a fourth voter: commands cost more and the majority rises to three."""
        self.cluster.add("w")
        self.cluster.run(10.0)
        self.assertEqual(self.cluster.voters(), ["v0", "v1", "v2"])
        learners = [m.name for m in self.cluster.leader().node.members.learners()]
        self.assertEqual(learners, ["w"])

    def test_learner_takes_the_place_of_a_lost_voter(self):
        """Guards against a lost voter that stays a voter, so that the next loss stops the group."""
        self.cluster.add("w")
        self.cluster.run(10.0)
        lost = next(n for n in self.cluster.voters() if n != self.cluster.leader().name)
        self.cluster.instances[lost].stop()
        self.cluster.run(15.0)
        self.assertNotIn(lost, self.cluster.voters())
        self.assertIn("w", self.cluster.voters())
        self.assertEqual(len(self.cluster.voters()), 3)

    def test_voter_that_freezes_for_a_moment_stays(self):
        """Guards against replacing a voter that is frozen for only a second or so."""
        self.cluster.add("w")
        self.cluster.run(10.0)
        frozen = next(n for n in self.cluster.voters() if n != self.cluster.leader().name)
        self.cluster.instances[frozen].is_frozen = True
        self.cluster.run(1.5)
        self.cluster.instances[frozen].is_frozen = False
        self.cluster.run(5.0)
        self.assertIn(frozen, self.cluster.voters())

    def test_empty_disk_forms_no_group(self):
        """Guards against a second group formed by instances that are not at their first start."""
        cluster = GrowingCluster(3)
        for name in list(cluster.instances):
            cluster.add(name, may_form=False)
        cluster.run(15.0)
        self.assertIsNone(cluster.leader())

    def test_group_of_two_grows(self):
        """Guards against a group that stays below its wanted number of voters."""
        cluster = GrowingCluster(2)
        cluster.run(10.0)
        cluster.add("w")
        cluster.run(15.0)
        self.assertEqual(cluster.voters(), ["v0", "v1", "w"])

    def test_change_of_members_is_reported(self):
        """Guards against a log that doesn't tell which disks vote."""
        leader = self.cluster.leader().node
        effects = leader.handle(JoinRequest("w", "w:1", "w9"), "w", self.cluster.now)
        reported = [effect for effect in effects if isinstance(effect, MembersChanged)]
        self.assertEqual([r.members for r in reported], [leader.members])
        self.assertIsNotNone(leader.members.by_disk("w9"))

    def grow_to_six(self):
        """Return six instances, three of them seeds, with five voters and a committed command."""
        cluster = GrowingCluster(3, wanted=5)
        for name in ("w0", "w1", "w2"):
            cluster.add(name, may_form=False)
        cluster.run(20.0)
        cluster.propose(cluster.leader().name)
        cluster.run(1.0)
        cluster.settings = attrs.evolve(cluster.settings, may_form=False)
        return cluster

    def assert_taken_in(self, cluster, name):
        """Check that the present disk of an instance is a member of the group."""
        disk = cluster.instances[name].disk.identity.disk
        self.assertIsNotNone(cluster.leader().node.members.by_disk(disk))

    def test_emptied_disk_is_taken_in_under_a_leader_that_is_no_seed(self):
        """Guards against a lost disk that is never replaced, since no instance it knows leads."""
        cluster = self.grow_to_six()
        while cluster.leader().name in cluster.first_voters:
            former = cluster.leader()
            cluster.submit(former, former.node.transfer_leadership(cluster.now))
            cluster.run(3.0)
        self.assertTrue(cluster.lose_disk("v0"))
        cluster.run(20.0)
        self.assertNotIn(cluster.leader().name, cluster.first_voters)
        self.assert_taken_in(cluster, "v0")

    def test_emptied_disk_is_taken_in_while_no_seed_answers(self):
        """Guards against a lost disk that is not replaced because the seeds are down."""
        cluster = self.grow_to_six()
        lost = next(n for n in ("w0", "w1") if n != cluster.leader().name)
        cluster.first_voters = {"gone": "gone:1"}
        self.assertTrue(cluster.lose_disk(lost))
        cluster.run(20.0)
        self.assert_taken_in(cluster, lost)

    def test_new_contact_takes_an_instance_in(self):
        """Guards against an instance that asks only the seeds of its start for ever."""
        cluster = self.grow_to_six()
        cluster.first_voters = {"gone": "gone:1"}
        cluster.add("late", may_form=False)
        cluster.run(10.0)
        cluster.instances["late"].node.contacts.add("v1")
        cluster.run(10.0)
        self.assert_taken_in(cluster, "late")

    def test_lost_learners_leave_room_for_new_instances(self):
        """Guards against a group that takes nobody in, since lost learners fill all its places."""
        cluster = self.grow_to_six()
        for name in ("x0", "x1"):
            learner = cluster.leader().node.members.learners()[-1].name
            cluster.instances[learner].stop()
            cluster.add(name, may_form=False)
            cluster.run(15.0)
            self.assert_taken_in(cluster, name)


if __name__ == "__main__":
    unittest.main()
