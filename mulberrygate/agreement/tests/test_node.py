"""Randomised runs and scenarios of `AgreementNode` in virtual time."""

import contextlib
import unittest
from collections.abc import Iterator
from unittest import mock

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from mulberrygate.agreement import codes
from mulberrygate.agreement.effects import Role
from mulberrygate.agreement.messages import FirstEntry, Members, TimeoutNow, VoteRequest
from mulberrygate.agreement.node import AgreementNode
from mulberrygate.agreement.outcomes import ChangeRefused, NotProposed
from mulberrygate.agreement.tests import mutants
from mulberrygate.agreement.tests.cluster import SETTINGS, Cluster, run_at_random
from mulberrygate.core import InvariantError
from mulberrygate.core.effects import Send

NAMES = st.integers(0, 4)
POSITIONS = st.integers(0, 200)


class GroupMachine(RuleBasedStateMachine):
    """Random operations on a group; `Cluster` and the invariants of the node check them."""

    size = 3

    @initialize(seed=st.integers(0, 1000))
    def form(self, seed):
        self.cluster = Cluster(self.size, seed)
        self.cluster.run(3.0)

    def name(self, number):
        return f"v{number % self.size}"

    def acting(self, number):
        return self.cluster.leader() or self.name(number)

    @rule(seconds=st.sampled_from([0.1, 0.5, 1.5]), loss=st.sampled_from([0, 0.1, 0.4]))
    def run_group(self, seconds, loss):
        self.cluster.run(seconds, loss, True)

    @rule(seconds=st.sampled_from([0.01, 0.2, 1.0, 3.0]))
    def pass_time(self, seconds):
        self.cluster.tick(seconds)

    @rule(position=POSITIONS, keeps_copy=st.booleans())
    def deliver_one(self, position, keeps_copy):
        self.cluster.deliver(position, keeps_copy)

    @rule(position=POSITIONS)
    def lose_one(self, position):
        self.cluster.drop(position)

    @rule(number=NAMES)
    def carry_out_effects(self, number):
        self.cluster.flush(self.cluster.instances[self.name(number)])

    @rule(number=NAMES, is_leader=st.booleans())
    def propose(self, number, is_leader):
        self.cluster.propose(self.acting(number) if is_leader else self.name(number))

    @rule(number=NAMES, is_leader=st.booleans())
    def read(self, number, is_leader):
        self.cluster.read(self.acting(number) if is_leader else self.name(number))

    @rule(number=NAMES)
    def restart(self, number):
        self.cluster.crash(self.name(number))

    @rule(number=NAMES)
    def freeze(self, number):
        self.cluster.instances[self.name(number)].is_frozen = True

    @rule(number=NAMES)
    def lose_disk(self, number):
        self.cluster.lose_disk(self.name(number))

    @rule(numbers=st.sets(NAMES, max_size=2))
    def cut_off(self, numbers):
        self.cluster.isolated = {self.name(number) for number in numbers}

    @rule()
    def heal(self):
        self.cluster.heal()

    @rule(number=NAMES, is_added=st.booleans())
    def change_voters(self, number, is_added):
        self.cluster.change(self.acting(number), self.name(number), is_added)

    @rule()
    def transfer(self):
        instance = self.cluster.instances[self.acting(0)]
        self.cluster.submit(instance, instance.node.transfer_leadership(self.cluster.now))

    def teardown(self):
        if hasattr(self, "cluster"):
            self.cluster.check_recovery()


class GroupMachineOfFive(GroupMachine):
    """Random operations on a group of five voters."""

    size = 5


GroupMachine.TestCase.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=50, deadline=None
)
GroupMachineOfFive.TestCase.settings = GroupMachine.TestCase.settings


class StatefulTest(GroupMachine.TestCase):
    """Random operations on three voters, chosen by hypothesis."""


class StatefulTestOfFive(GroupMachineOfFive.TestCase):
    """Random operations on five voters, chosen by hypothesis."""


class RandomRunTest(unittest.TestCase):
    """Longer random runs with fixed seeds."""

    def test_long_runs_keep_all_invariants(self):
        """Guards against faults that need more steps than a hypothesis example has."""
        commits = reads = losses = 0
        for seed in range(120):
            cluster = Cluster(3 if seed % 2 else 5, seed)
            run_at_random(cluster, 300)
            cluster.check_recovery()
            commits += len(cluster.committed)
            reads += cluster.reads_done
            losses += cluster.disk_count - len(cluster.instances)
        print(f"{commits} commits, {reads} reads, {losses} lost disks in 120 runs of 300 steps")
        # Runs with hardly any commits, reads or lost disks would prove little.
        self.assertGreater(min(commits, reads, losses), 100)


def violations(mutant: type, seeds: range, checks_caught_up: bool) -> Iterator[str]:
    """Yield the first violation of each random run of a mutant."""
    for seed in seeds:
        cluster = Cluster(3 if seed % 2 else 5, seed, mutant)
        cluster.checks_caught_up = checks_caught_up
        try:
            run_at_random(cluster, 200)
            cluster.check_recovery()
        except (InvariantError, AssertionError) as error:
            yield str(error)
        except (IndexError, ValueError):
            continue


@contextlib.contextmanager
def no_invariants():
    """Disable the invariants of the program, so that only the checks of `Cluster` remain."""
    with contextlib.ExitStack() as stack:
        for module in ("base", "replication", "snapshots"):
            stack.enter_context(mock.patch(f"mulberrygate.agreement.{module}.invariant"))
        yield


class MutantTest(unittest.TestCase):
    """Each check fails on a mutant that breaks the rule that it checks."""

    def assert_found(self, mutant, text, checks_caught_up=False):
        seen = set()
        for violation in violations(mutant, range(400), checks_caught_up):
            seen.add(violation[:30])
            if violation.startswith(text):
                return
        self.fail(f"{mutant.__name__}: no {text!r} in {seen}")

    def test_invariants_of_the_program(self):
        """Guards against an invariant that never fails."""
        expected = {
            mutants.VotesTwice: codes.VOTED_TWICE,
            mutants.VotesForShorterLog: codes.COMMITTED_CUT,
            mutants.CommitsUnknownEntries: codes.COMMIT_RANGE,
            mutants.CommitsEarlierTerms: codes.COMMIT_TERM,
            mutants.AppliesAgain: codes.APPLY_ORDER,
            mutants.SwapsVoters: codes.CHANGE_STEP,
            mutants.ReadsWithoutMajority: codes.READ_UNCONFIRMED,
            mutants.KeepsLeading: codes.STALE_LEADER,
            mutants.InstallsOldSnapshots: codes.SNAPSHOT_STALE,
            mutants.ExtendsLeaseAlone: codes.LEASE_RANGE,
        }
        for mutant, code in expected.items():
            with self.subTest(mutant=mutant.__name__):
                self.assert_found(mutant, str(code))

    def test_checks_of_the_harness(self):
        """Guards against a harness that accepts two leaders, lost entries or stale reads."""
        expected = {
            mutants.LeadsWithoutMajority: "two leaders in term",
            mutants.ForgetsToSync: "entry ",
            mutants.VotesForShorterLog: "v",
            mutants.CommitsAlone: "v",
            mutants.AppliesAgain: "applied twice",
            mutants.ExtendsLeaseAlone: "leases of",
            mutants.ReadsAlone: "stale read",
        }
        with no_invariants():
            for mutant, text in expected.items():
                with self.subTest(mutant=mutant.__name__):
                    self.assert_found(mutant, text)

    def test_check_of_leases_after_restarts(self):
        """Guards against a harness that accepts a leader beside one that still has its lease."""
        found = [self.finds_two_leases(mutants.ForgetsLeases, seed) for seed in range(20)]
        # A split vote can outlast the lease.
        self.assertGreater(sum(found), 10)
        self.assertFalse(any(self.finds_two_leases(AgreementNode, seed) for seed in range(20)))

    @staticmethod
    def finds_two_leases(node_class, seed):
        """Return whether two leases are found after all voters but a cut-off leader restart."""
        cluster = Cluster(3, seed, node_class)
        cluster.run(3.0)
        leader = cluster.leader()
        cluster.isolated = {leader}
        for name in cluster.instances:
            if name != leader:
                cluster.instances[name].stop()
                cluster.instances[name].start()
        try:
            cluster.run(2.0)
        except AssertionError as error:
            if not str(error).startswith("leases of"):
                raise
            return True
        return False

    def test_check_of_what_a_leader_knows(self):
        """Guards against a leader that reports to be caught up before it is."""
        self.assert_found(mutants.ClaimsCaughtUpTooEarly, "unknown to", checks_caught_up=True)

    def test_second_leader_is_noticed_by_voters(self):
        """Guards against a voter that follows two leaders of one term."""
        cluster = formed_cluster()
        leader = cluster.instances[cluster.leader()]
        other = next(i for i in cluster.instances.values() if i is not leader)
        other.node.begin_step(cluster.now)
        other.node.term_leader = ""
        other.node.become_leader(cluster.now)
        cluster.submit(other, other.node.effects)
        with self.assertRaises(InvariantError) as caught:
            cluster.leaders.clear()
            cluster.run(1.0)
        self.assertEqual(caught.exception.code, codes.TWO_LEADERS)

    def test_disk_that_joins_two_groups_is_noticed(self):
        """Guards against a disk that takes the first entry of a second group."""
        cluster = formed_cluster(mutants.JoinsTwice)
        node = cluster.instances["v1"].node
        with self.assertRaises(InvariantError) as caught:
            node.handle(FirstEntry("other", node.disk, Members()), "v0", cluster.now)
        self.assertEqual(caught.exception.code, codes.FORMED_TWICE)


def formed_cluster(node_class: type = AgreementNode, size: int = 3) -> Cluster:
    """Return a group with a leader and two committed commands."""
    cluster = Cluster(size, 1, node_class)
    cluster.run(4.0)
    for _ in range(2):
        cluster.propose(cluster.leader())
        cluster.run(0.5)
    return cluster


class LeaseTest(unittest.TestCase):
    """Leases, votes and leadership transfer."""

    def overlap(self, node_class):
        """Return whether a voter that was cut off becomes leader during the leader's lease."""
        cluster = formed_cluster(node_class)
        leader = cluster.leader()
        outsider = next(name for name in cluster.instances if name != leader)
        cluster.isolated = {outsider}
        cluster.run(3.0)
        cluster.heal()
        lease = cluster.instances[leader].node.lease_until
        node = cluster.instances[outsider].node
        cluster.network = []
        cluster.submit(cluster.instances[outsider], node.tick(node.election_due))
        for _ in range(6):
            for instance in cluster.instances.values():
                cluster.flush(instance)
            cluster.network = [m for m in cluster.network if leader not in m[:2]]
            while cluster.network:
                cluster.deliver(0)
        return node.role is Role.LEADER and cluster.now < lease

    def test_voters_refuse_while_they_hear_the_leader(self):
        """Guards against two leases at once; the mutant votes during the lease."""
        self.assertFalse(self.overlap(AgreementNode))
        self.assertTrue(self.overlap(mutants.VotesDuringLease))

    def test_frozen_leader_accepts_nothing(self):
        """Guards against a leader that acts on an expired lease after it was frozen."""
        for action in ("propose", "read_index", "add_voter"):
            with self.subTest(action=action):
                cluster = formed_cluster()
                node = cluster.instances[cluster.leader()].node
                arguments = {"propose": (b"x",), "read_index": (), "add_voter": ("v9",)}[action]
                outcome = getattr(node, action)(*arguments, cluster.now + 5.0)
                self.assertIsInstance(outcome, NotProposed)
                self.assertIs(node.role, Role.FOLLOWER)

    def test_isolated_leader_steps_down(self):
        """Guards against a leader that stays leader without a majority."""
        cluster = formed_cluster()
        leader = cluster.leader()
        cluster.isolated = {leader}
        cluster.run(1.2)
        self.assertIsNot(cluster.instances[leader].node.role, Role.LEADER)

    def test_restarted_voter_does_not_vote_at_once(self):
        """Guards against a vote, after a restart, during a lease that the voter confirmed."""
        cluster = formed_cluster()
        name = next(n for n in cluster.instances if n != cluster.leader())
        cluster.crash(name)
        node = cluster.instances[name].node
        request = VoteRequest(node.cluster, node.term + 1, "v01", node.disk, 99, 99, False)
        replies = node.handle(request, "v0", cluster.now)
        self.assertFalse(replies[0].message.is_granted)

    def test_restart_that_lasted_an_election_timeout_costs_no_other_one(self):
        """Guards against another election timeout after all processes were down for one."""
        cluster = formed_cluster()
        cluster.crash_all(0.0)
        for instance in cluster.instances.values():
            instance.node.silent_since = cluster.now - SETTINGS.election_timeout_s
        cluster.run(0.5)
        self.assertTrue(cluster.leader())

    def test_voter_that_started_during_the_lease_does_not_vote(self):
        """Guards against two leases when a process restarts within the time of a lease."""
        cluster = formed_cluster()
        name = next(n for n in cluster.instances if n != cluster.leader())
        cluster.crash(name)
        node = cluster.instances[name].node
        node.silent_since = cluster.now - 0.5
        request = VoteRequest(node.cluster, node.term + 1, "v01", node.disk, 99, 99, False)
        replies = node.handle(request, "v0", cluster.now)
        self.assertFalse(replies[0].message.is_granted)

    def test_members_apply_a_command_before_the_next_heartbeat(self):
        """Guards against followers that apply a command only with the next heartbeat."""
        cluster = formed_cluster()
        leader = cluster.instances[cluster.leader()]
        while leader.node.heartbeat_due < cluster.now + 0.2:
            cluster.tick(0.05)
            cluster.exchange()
        cluster.propose(leader.name)
        cluster.exchange()
        applied = {i.applied[-1][1] for i in cluster.instances.values()}
        self.assertEqual(applied, {b"c%d" % cluster.command_count})

    def test_transfer_changes_the_leader_without_an_election_timeout(self):
        """Guards against a planned stop after which the group waits for an election timeout."""
        cluster = formed_cluster()
        leader = cluster.leader()
        instance = cluster.instances[leader]
        effects = instance.node.transfer_leadership(cluster.now)
        self.assertIsNot(instance.node.role, Role.LEADER)
        self.assertTrue(any(isinstance(getattr(e, "message", None), TimeoutNow) for e in effects))
        cluster.submit(instance, effects)
        cluster.run(0.3)
        self.assertNotIn(cluster.leader(), ("", leader))


class FormationTest(unittest.TestCase):
    """Formation of the group, exactly once."""

    def test_no_group_without_all_first_voters(self):
        """Guards against forming a group while a first voter may belong to another one."""
        cluster = Cluster(3)
        cluster.isolated = {"v2"}
        cluster.run(5.0)
        self.assertEqual({i.node.cluster for i in cluster.instances.values()}, {""})
        cluster.heal()
        cluster.run(5.0)
        self.assertTrue(cluster.leader())

    def test_founder_with_an_empty_disk_forms_no_second_group(self):
        """Guards against a second group after the founder lost its disk."""
        cluster = formed_cluster()
        before = cluster.instances["v1"].node.cluster
        self.assertTrue(cluster.lose_disk("v0"))
        cluster.isolated = {"v2"}
        cluster.run(5.0)
        cluster.check_recovery()
        self.assertEqual({i.node.cluster for i in cluster.instances.values()}, {before})

    def test_emptied_voter_gives_no_vote(self):
        """Guards against an empty disk that votes under the identity of the former disk."""
        cluster = formed_cluster()
        former = cluster.instances["v1"].node
        cluster.lose_disk("v1")
        node = cluster.instances["v1"].node
        request = VoteRequest(former.cluster, 9, "v01", former.disk, 99, 99, False, True)
        self.assertEqual(node.handle(request, "v0", cluster.now + 9), [])

    def test_missed_first_entry_is_sent_again(self):
        """Guards against a first voter that never joins because a message was lost."""
        cluster = Cluster(3)
        while not cluster.instances["v0"].node.cluster:
            cluster.run(0.05)
        cluster.network = []
        for name in ("v1", "v2"):
            cluster.crash(name)
        cluster.run(8.0)
        self.assertTrue(cluster.leader())


class ChangeTest(unittest.TestCase):
    """Membership changes and transfer of the log to members."""

    def test_lost_disk_is_replaced_and_a_second_loss_is_survived(self):
        """Guards against lost entries when a second disk is lost right after a repair."""
        cluster = formed_cluster()
        for name in ("v1", "v2", "v0"):
            self.assertTrue(cluster.lose_disk(name))
            cluster.run(8.0)
            disk = cluster.instances[name].disk.identity.disk
            leader = cluster.instances[cluster.leader()].node
            self.assertTrue(leader.members.by_disk(disk).is_voter, name)
        cluster.check_recovery()
        self.assertEqual(len(leader.members.voters()), 3)

    def test_removed_voter_can_be_added_again(self):
        """Guards against a voter change that leaves its target unusable."""
        cluster = formed_cluster(size=5)
        leader = cluster.leader()
        target = next(name for name in cluster.instances if name != leader)
        self.assertTrue(cluster.change(leader, target, False))
        cluster.run(8.0)
        node = cluster.instances[cluster.leader()].node
        self.assertEqual(len(node.members.voters()), 4)
        self.assertTrue(cluster.change(cluster.leader(), target, True))
        cluster.run(3.0)
        self.assertEqual(len(node.members.voters()), 5)

    def test_second_change_waits_for_the_first(self):
        """Guards against two uncommitted voter changes at a time."""
        cluster = formed_cluster(size=5)
        leader = cluster.leader()
        node = cluster.instances[leader].node
        others = [name for name in cluster.instances if name != leader]
        node.remove_voter(others[0], cluster.now)
        self.assertIsInstance(node.remove_voter(others[1], cluster.now), ChangeRefused)

    def test_removal_without_a_live_majority_is_refused(self):
        """Guards against a removal that the remaining voters can't commit."""
        cluster = formed_cluster(size=5)
        leader = cluster.leader()
        others = [name for name in cluster.instances if name != leader]
        cluster.isolated = set(others[:2])
        cluster.run(2.0)
        outcome = cluster.instances[leader].node.remove_voter(others[2], cluster.now)
        self.assertIsInstance(outcome, ChangeRefused)

    def test_member_far_behind_gets_a_snapshot_in_parts(self):
        """Guards against a member that can't catch up after the log was compacted."""
        cluster = formed_cluster()
        name = next(n for n in cluster.instances if n != cluster.leader())
        cluster.isolated = {name}
        for _ in range(30):
            cluster.propose(cluster.leader())
            cluster.run(0.2)
        cluster.check_recovery()
        snapshot = cluster.instances[name].node.snapshot
        self.assertGreater(len(snapshot.data), SETTINGS.batch_bytes)

    def test_silent_member_gets_no_entries(self):
        """Guards against sending entries repeatedly to a member that does not answer."""
        cluster = formed_cluster()
        leader = cluster.leader()
        instance = cluster.instances[leader]
        name = next(n for n in cluster.instances if n != leader)
        cluster.isolated = {name}
        cluster.run(2.0)
        cluster.propose(leader)
        cluster.run(0.5)
        effects = instance.node.tick(cluster.now + SETTINGS.heartbeat_s)
        sent = [e.message for e in effects if isinstance(e, Send) and e.to == name]
        self.assertEqual([message.entries for message in sent], [()])


if __name__ == "__main__":
    unittest.main()
