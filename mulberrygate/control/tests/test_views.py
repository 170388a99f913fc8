"""Tests of the planner of ledger views."""

import unittest

import attrs

from mulberrygate.control.views import (
    BALANCE_STABLE_S,
    DOMAIN_REPLACE_AFTER_S,
    FILL_STABLE_S,
    MAX_CONCURRENT_MOVES,
    REPLACE_AFTER_S,
    SPREAD_STABLE_S,
    ViewPlanner,
)
from mulberrygate.ledger.messages import CopyReport
from mulberrygate.ledger.views import SHARDS_PER_DOMAIN, ReplicaId
from mulberrygate.members.view import Member, MembershipView, Status

WALL = 1_700_000_000.0


class Cluster:
    """Membership, shards and a planner whose commands take effect at once."""

    def __init__(self, *domains, size=4):
        self.members = {}
        for domain in domains:
            for number in range(size):
                self.add(f"{domain}{number}", domain)
        self.shards = {}
        self.planner = ViewPlanner()
        self.now = 100.0

    def add(self, name, domain):
        region = domain[0]
        self.members[name] = Member(name, "", "", region, domain, 1)

    def change(self, name, **values):
        self.members[name] = attrs.evolve(self.members[name], **values)

    def plan(self, seconds=0.0):
        self.now += seconds
        view = MembershipView(dict(self.members))
        command = self.planner.plan(view, self.shards, self.now, WALL + self.now)
        self.shards |= {shard.name(): shard for shard in command.shards}
        return command.shards

    def report_all(self):
        for name, shard in self.shards.items():
            if shard.preparing is not None:
                for replica in shard.preparing.replicas:
                    self.planner.add_copy_report(CopyReport(name, shard.preparing.number, replica))

    def plan_until_stable(self):
        self.report_all()
        while self.plan():
            self.report_all()
        return self

    def instances(self, name):
        return [replica.instance for replica in self.shards[name].active.replicas]

    def preparing(self):
        return {name for name, shard in self.shards.items() if shard.preparing is not None}


class PlannerTest(unittest.TestCase):
    """Views that the planner proposes."""

    def setUp(self):
        self.cluster = Cluster("a1", "a2", "b1").plan_until_stable()
        self.instance = self.cluster.instances("a1/0")[0]
        self.instance_shards = {
            n for n in self.cluster.shards if self.instance in self.cluster.instances(n)
        }

    def test_first_placement_has_two_at_home_and_one_near(self):
        """Guards against replicas in one domain only, and against slow remote ones."""
        self.assertEqual(len(self.cluster.shards), 3 * SHARDS_PER_DOMAIN)
        for name, shard in self.cluster.shards.items():
            domains = [instance[:2] for instance in self.cluster.instances(name)]
            self.assertEqual(domains[:2], [shard.failure_domain] * 2)
            if shard.failure_domain == "a1":
                self.assertEqual(domains[2], "a2")

    def test_view_waits_for_all_reports(self):
        """Guards against an active view with an incomplete copy."""
        self.cluster.change(self.instance, incarnation=2)
        self.cluster.plan()
        preparing = self.cluster.shards["a1/0"].preparing
        for replica in preparing.replicas[:2]:
            self.cluster.planner.add_copy_report(CopyReport("a1/0", preparing.number, replica))
        stale = CopyReport("a1/0", preparing.number - 1, preparing.replicas[2])
        self.cluster.planner.add_copy_report(stale)
        self.assertEqual(self.cluster.plan(), ())
        last = CopyReport("a1/0", preparing.number, preparing.replicas[2])
        self.cluster.planner.add_copy_report(last)
        self.cluster.plan()
        self.assertEqual(self.cluster.shards["a1/0"].active, preparing)

    def test_restart_is_repaired_at_once(self):
        """Guards against a shard that keeps an empty replica after a restart."""
        self.cluster.change(self.instance, incarnation=2)
        self.cluster.plan()
        self.assertEqual(self.cluster.preparing(), self.instance_shards)
        self.assertNotIn(
            ReplicaId(self.instance, 1), self.cluster.shards["a1/0"].preparing.replicas
        )

    def test_unreachable_instance_is_replaced_after_a_delay(self):
        """Guards against moving shards when an instance is unreachable for a short time."""
        self.cluster.change(self.instance, status=Status.DEAD)
        self.assertEqual(self.cluster.plan(), ())
        self.assertEqual(self.cluster.plan(REPLACE_AFTER_S - 1), ())
        self.cluster.plan(2)
        self.assertEqual(self.cluster.preparing(), self.instance_shards)

    def test_flapping_instance_moves_nothing(self):
        """Guards against repeated moves of the shards of an instance that flaps."""
        for number in range(200):
            status = Status.DEAD if number % 2 else Status.ALIVE
            self.cluster.change(self.instance, status=status)
            self.assertEqual(self.cluster.plan(REPLACE_AFTER_S / 2), ())

    def test_cut_off_domain_keeps_its_shards(self):
        """Guards against sealing the shards of a partitioned domain, which still uses its views."""
        for name in self.cluster.members:
            if name.startswith("a1"):
                self.cluster.change(name, status=Status.DEAD)
        self.cluster.plan()
        self.cluster.plan(DOMAIN_REPLACE_AFTER_S * 10)
        self.cluster.plan(10)
        touched = {name for name in self.cluster.preparing() if name.startswith("a1/")}
        self.assertEqual(touched, set())
        self.assertTrue(any(name.startswith("a2/") for name in self.cluster.preparing()))

    def test_nothing_is_prepared_without_a_majority_to_copy_from(self):
        """Guards against sealing the remaining replica for a copy that can't be completed."""
        one, two, _ = self.cluster.instances("a1/0")
        self.cluster.change(one, incarnation=2)
        self.cluster.change(two, status=Status.DEAD)
        self.cluster.plan(REPLACE_AFTER_S * 5)
        self.cluster.plan(REPLACE_AFTER_S * 5)
        self.assertNotIn("a1/0", self.cluster.preparing())

    def test_lost_majority_carries_the_time_of_loss(self):
        """Guards against running keys again that ran before the loss."""
        for name in self.cluster.instances("a1/0")[:2]:
            self.cluster.change(name, incarnation=2)
        self.cluster.plan()
        lost_at = self.cluster.shards["a1/0"].preparing.lost_at
        self.assertEqual(lost_at, WALL + self.cluster.now)
        self.cluster.plan_until_stable()
        self.cluster.change(self.cluster.instances("a1/0")[0], incarnation=3)
        self.cluster.plan()
        self.assertEqual(self.cluster.shards["a1/0"].preparing.lost_at, lost_at)

    def test_operator_declares_a_majority_lost(self):
        """Guards against ignoring an operator who declares an unreachable majority lost."""
        for replica in self.cluster.shards["a1/0"].active.replicas[:2]:
            self.cluster.change(replica.instance, status=Status.DEAD)
            self.cluster.planner.declare_lost(replica)
        self.cluster.plan()
        self.assertGreater(self.cluster.shards["a1/0"].preparing.lost_at, WALL)

    def test_second_loss_prepares_the_next_number_from_the_same_view(self):
        """Guards against a repair that waits for a lost replica."""
        self.cluster.change(self.instance, incarnation=2)
        self.cluster.plan()
        first = self.cluster.shards["a1/0"]
        new = next(r for r in first.preparing.replicas if r not in first.active.replicas)
        self.cluster.change(new.instance, incarnation=new.incarnation + 1)
        self.cluster.plan()
        second = self.cluster.shards["a1/0"]
        self.assertEqual(second.active, first.active)
        self.assertEqual(second.preparing.number, first.preparing.number + 1)
        self.assertNotIn(new, second.preparing.replicas)

    def test_missing_replica_is_added_soon(self):
        """Guards against shards of a small system that stay at two replicas for a minute."""
        cluster = Cluster("a1", size=3).plan_until_stable()
        cluster.change("a10", status=Status.LEAVING)
        cluster.plan_until_stable()
        self.assertEqual(len(cluster.instances("a1/0")), 2)
        cluster.change("a10", status=Status.ALIVE, incarnation=2)
        cluster.plan()
        cluster.plan(FILL_STABLE_S + 0.1)
        cluster.plan_until_stable()
        self.assertEqual({len(cluster.instances(n)) for n in cluster.shards}, {3})

    def test_better_spread_is_adopted_few_shards_at_a_time(self):
        """Guards against moving all shards of a domain at once when instances return."""
        cluster = Cluster("a1", size=4).plan_until_stable()
        for number in range(4):
            cluster.add(f"a2{number}", "a2")
        cluster.plan_until_stable()
        cluster.plan(SPREAD_STABLE_S + 1)
        self.assertEqual(len(cluster.preparing()), MAX_CONCURRENT_MOVES)
        for _ in range(100):
            cluster.plan_until_stable()
        domains = {tuple(i[:2] for i in cluster.instances(f"a1/{n}")) for n in range(32)}
        self.assertEqual(domains, {("a1", "a1", "a2")})

    def test_new_instance_gets_its_share_slowly(self):
        """Guards against moving shards to an instance that joins only briefly."""
        self.cluster.add("a19", "a1")
        self.assertEqual(self.cluster.plan(BALANCE_STABLE_S - 1), ())
        self.assertEqual(self.cluster.plan(BALANCE_STABLE_S - 1), ())
        self.cluster.plan(2)
        self.assertEqual(len(self.cluster.preparing()), MAX_CONCURRENT_MOVES)


if __name__ == "__main__":
    unittest.main()
