"""Tests of a group that fills itself up and replaces lost voters without an operator."""

from __future__ import annotations

import unittest

import attrs

from mulberrygate.agreement.tests.cluster import SETTINGS, Cluster, Instance


class GrowingCluster(Cluster):
    """Group that wants three voters, with instances that come later."""

    def __init__(self, size, wanted=3):
        super().__init__(size)
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
        """Return the names of the voters, as the leader has them."""
        return sorted(member.name for member in self.leader().node.members.voters())


class TestGrowth(unittest.TestCase):
    """Learners and lost voters."""

    def setUp(self):
        self.cluster = GrowingCluster(3)
        self.cluster.run(10.0)
        self.assertEqual(self.cluster.voters(), ["v0", "v1", "v2"])

    def test_further_instance_stays_a_learner(self):
        """A fourth voter made each command dearer and raised the majority to three."""
        self.cluster.add("w")
        self.cluster.run(10.0)
        self.assertEqual(self.cluster.voters(), ["v0", "v1", "v2"])
        learners = [m.name for m in self.cluster.leader().node.members.learners()]
        self.assertEqual(learners, ["w"])

    def test_learner_takes_the_place_of_a_lost_voter(self):
        """After a machine was replaced by one elsewhere, the next loss stopped the group."""
        self.cluster.add("w")
        self.cluster.run(10.0)
        lost = next(n for n in self.cluster.voters() if n != self.cluster.leader().name)
        self.cluster.instances[lost].stop()
        self.cluster.run(15.0)
        self.assertNotIn(lost, self.cluster.voters())
        self.assertIn("w", self.cluster.voters())
        self.assertEqual(len(self.cluster.voters()), 3)

    def test_voter_that_freezes_for_a_moment_stays(self):
        """A voter was replaced while it was frozen for a second."""
        self.cluster.add("w")
        self.cluster.run(10.0)
        frozen = next(n for n in self.cluster.voters() if n != self.cluster.leader().name)
        self.cluster.instances[frozen].is_frozen = True
        self.cluster.run(1.5)
        self.cluster.instances[frozen].is_frozen = False
        self.cluster.run(5.0)
        self.assertIn(frozen, self.cluster.voters())

    def test_empty_disk_forms_no_group(self):
        """Instances that are not at their first start formed a second group."""
        cluster = GrowingCluster(3)
        for name in list(cluster.instances):
            cluster.add(name, may_form=False)
        cluster.run(15.0)
        self.assertIsNone(cluster.leader())

    def test_group_of_two_grows(self):
        """A group that was formed by fewer instances than it wants stayed small."""
        cluster = GrowingCluster(2)
        cluster.run(10.0)
        cluster.add("w")
        cluster.run(15.0)
        self.assertEqual(cluster.voters(), ["v0", "v1", "w"])


if __name__ == "__main__":
    unittest.main()
