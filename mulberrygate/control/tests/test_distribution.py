"""Tests of the delivery of the configuration at virtual time."""

import random
import unittest
from unittest.mock import patch

from hypothesis import strategies as st
from hypothesis.stateful import precondition, rule

from mulberrygate.control import distribution
from mulberrygate.control.configuration import Configuration
from mulberrygate.control.distribution import (
    Applied,
    ConfigurationReplica,
    HeldRevision,
)
from mulberrygate.core.invariant import InvariantError
from mulberrygate.members import Membership
from mulberrygate.members.tests.faults import NAMES, SETTINGS, FaultMachine
from mulberrygate.members.tests.network import (
    Host,
    Network,
    assign_domains,
    make_member,
    start_members,
)

LIMIT_S = 4.0


def make_replica(membership):
    """Return a replica with an empty configuration."""
    return ConfigurationReplica(Configuration(), membership, random.Random(membership.name))


class DistributionCase(unittest.TestCase):
    """Starts a system whose instances have revision 1 in force."""

    def start(self, number, domains, **faults):
        self.network = Network(5, **faults)
        self.places = assign_domains(number, domains)
        self.replicas = {}
        self.source = Configuration()

        def make_parts(membership):
            replica = make_replica(membership)
            self.replicas[membership.name] = replica
            return [membership, replica]

        self.members = start_members(self.network, self.places, make_parts)
        self.live = set(self.places)
        self.network.run(15)
        self.publish()
        self.await_in_force(30)
        self.network.run(5)

    def publish(self, leader="i001"):
        self.source.put("pools", "a", self.source.revision + 1, b"x" * 100)
        replica = self.replicas[leader]
        effects = replica.publish(self.source, self.network.now)
        self.network.carry_out(self.network.hosts[leader], replica, effects)

    def is_in_force(self):
        return all(self.replicas[n].revision == self.source.revision for n in self.live)

    def await_in_force(self, limit_s=LIMIT_S):
        self.assertLess(self.network.run_until(self.is_in_force, limit_s, 0.05), limit_s)

    def crash(self, name):
        self.network.crash(name)
        self.live.discard(name)

    def restart(self, name):
        self.network.crash(name)
        member = make_member(name, self.places[name], 2)
        membership = Membership(member, ("i000:7000", "i001:7000"), random.Random(9))
        replica = make_replica(membership)
        self.members[name], self.replicas[name] = membership, replica
        parts = [membership, replica]
        self.network.add(Host(self.network, name, self.places[name], parts))
        return replica


class DeliveryTest(DistributionCase):
    """A change is in force everywhere in time, and the leader knows it."""

    def test_all_instances(self):
        """Guards against a change that misses instances, and against lost acknowledgements."""
        self.start(60, 3)
        self.publish()
        self.await_in_force(1.0)
        self.network.run(2.0)
        self.assertEqual(self.replicas["i001"].instances_behind(self.source.revision), [])

    def test_dead_relay(self):
        """Guards against a domain that gets no change as its relay died just before."""
        self.start(60, 3)
        self.crash(self.members["i001"].view().relays("d0")[0])
        self.publish()
        self.await_in_force()

    def test_relay_that_dies_in_the_middle(self):
        """Guards against a domain that gets no change as its relay died before forwarding it."""
        for delay_s in (0.001, 0.003, 0.005):
            with self.subTest(delay_s=delay_s):
                self.start(60, 3)
                relay = self.members["i001"].view().relays("d0")[0]
                self.publish()
                self.network.run(delay_s)
                self.crash(relay)
                self.await_in_force()

    def test_frozen_inner_instances(self):
        """Guards against instances that get no change as another one never forwards it."""
        self.start(60, 2)
        frozen = sorted(n for n in self.live if self.places[n] == "d0")[3:9]
        for name in frozen:
            self.network.freeze(name)
            self.live.discard(name)
        self.publish()
        self.await_in_force()

    def test_isolated_domain_catches_up(self):
        """Guards against a domain that keeps the old configuration after a network partition."""
        self.start(18, 3)
        self.network.is_cut = lambda a, b: (a.domain == "d0") != (b.domain == "d0")
        self.network.run(1)
        for _ in range(5):
            self.publish()
            self.network.run(5)
        self.network.is_cut = lambda a, b: False
        self.await_in_force(20)

    def test_pull_without_leader(self):
        """Guards against instances that stay behind when the leader dies during a push."""
        self.start(18, 3)
        self.publish()
        self.network.run(0.002)
        self.crash("i001")
        self.assertTrue(any(self.replicas[n].revision == self.source.revision for n in self.live))
        self.await_in_force(12)

    def test_new_leader_sends_only_small_deltas(self):
        """Guards against a new leader that sends everyone the complete configuration."""
        self.start(18, 3)
        for host in self.network.hosts.values():
            host.kind_bytes.clear()
        self.publish(leader="i002")
        self.await_in_force(1.0)
        self.network.run(3)
        pushed = sum(h.kind_bytes["control.push"] for h in self.network.hosts.values())
        self.assertLess(pushed, 18 * 400)
        self.assertEqual(self.replicas["i002"].instances_behind(self.source.revision), [])


class ReadinessTest(DistributionCase):
    """A restarted instance becomes ready only with the newest configuration of its peers."""

    def test_restarted_instance(self):
        """Guards against a restarted entry that serves with an old configuration."""
        self.start(12, 2)
        replica = self.restart("i006")
        self.assertFalse(replica.is_current())
        seconds = self.network.run_until(replica.is_current, 10)
        self.assertEqual(replica.revision, self.source.revision)
        self.assertLess(seconds, 5)

    def test_isolated_restart(self):
        """Guards against a restarted entry that serves without configuration or peers."""
        self.start(12, 2)
        self.network.is_cut = lambda a, b: "i006" in (a.name, b.name)
        replica = self.restart("i006")
        self.network.run(60)
        self.assertFalse(replica.is_current())
        self.network.is_cut = lambda a, b: False
        self.assertLess(self.network.run_until(replica.is_current, 20), 20)
        self.assertEqual(replica.revision, self.source.revision)

    def test_only_instance(self):
        """Guards against a system of one instance that never becomes ready."""
        replica = make_replica(Membership(make_member("a", "d0"), (), random.Random(1)))
        now = 0.0
        while now < 6.0:
            replica.tick(now)
            now += 0.25
        self.assertTrue(replica.is_current())

    def test_whole_system_starts(self):
        """Guards against instances that start at the same time and wait for each other forever."""
        self.network = Network(1)
        self.start(6, 2)
        for name in sorted(self.places):
            self.restart(name)
        done = self.network.run_until(
            lambda: all(h.is_current() for h in self.replicas.values()), 60
        )
        self.assertLess(done, 30)


class InvariantTest(DistributionCase):
    """Each invariant detects a mutant that leaves out one rule."""

    def expect(self, number, act):
        with self.assertRaises(InvariantError) as caught:
            act()
        self.assertEqual(int(caught.exception.code), number)

    def setUp(self):
        membership = Membership(make_member("a", "d0"), (), random.Random(1))
        membership.merge([make_member("b", "d0")], 0.0)
        self.replica = make_replica(membership)
        self.source = Configuration()
        self.source.put("pools", "a", 1, b"x")

    def test_applied_revision_must_rise(self):
        """A mutant that applies a delta without raising the revision is detected (code 9220)."""
        with patch.object(Configuration, "apply", return_value=True):
            delta = self.source.changes_since(0)
            self.expect(9220, lambda: self.replica.apply_delta(delta, 0.0))

    def test_current_needs_the_newest_revision(self):
        """A mutant that does not compare the revisions of peers is detected (code 9221)."""
        self.replica.tick(0.0)
        self.replica.handle(HeldRevision(5, True), "b", 0.0)
        with patch.object(ConfigurationReplica, "_newest_revision", return_value=0):
            self.expect(9221, lambda: self.replica.tick(1.0))

    def test_reported_revision_never_falls(self):
        """A mutant that lets a late acknowledgement replace a newer one is detected (code 9222)."""
        self.replica.handle(Applied({"b": (1, 5)}), "b", 0.0)
        with patch.object(distribution, "is_later", return_value=True):
            self.expect(9222, lambda: self.replica.handle(Applied({"b": (1, 4)}), "b", 0.0))


class DistributionMachine(FaultMachine):
    """Guards against falling revisions, mixed states and instances that stay behind."""

    def __init__(self):
        super().__init__()
        self.replicas = {}
        self.source = Configuration()
        self.states = {0: {}}

    def make_parts(self, membership):
        replica = make_replica(membership)
        replica.add_listener(lambda delta: self.verify(replica))
        self.replicas[membership.name] = replica
        return [membership, replica]

    def verify(self, replica):
        """Compare a configuration in force with the log at the same revision."""
        assert replica.configuration.section("pools") == self.states[replica.revision]

    @rule(name=st.sampled_from("abc"), is_removed=st.booleans(), leader=NAMES)
    @precondition(lambda self: hasattr(self, "network"))
    def publish(self, name, is_removed, leader):
        """Commit a change; any instance may lead, and stale leaders go on pushing."""
        revision = self.source.revision + 1
        if is_removed:
            self.source.remove("pools", name, revision)
        else:
            self.source.put("pools", name, revision, b"%d" % revision)
        self.states[revision] = self.source.section("pools")
        host = self.network.hosts[leader]
        if host.is_up and not host.is_frozen:
            effects = self.replicas[leader].publish(self.source, self.network.now)
            self.network.carry_out(host, self.replicas[leader], effects)

    def check(self):
        super().check()
        running = self.running()
        held = [self.replicas[name].revision for name in running]
        limit = self.network.run_until(
            lambda: all(self.replicas[n].revision == max(held) for n in running), 30.0, 1.0
        )
        assert limit < 30.0, f"{[(n, self.replicas[n].revision) for n in sorted(running)]}"


TestDistribution = DistributionMachine.TestCase
TestDistribution.settings = SETTINGS
