"""Tests of the membership in virtual time."""

import random
import unittest
from unittest.mock import patch

import attrs

from mulberrygate.core.invariant import InvariantError
from mulberrygate.core.wire import encode
from mulberrygate.members import Membership, Status
from mulberrygate.members.messages import Ask, SendAddress
from mulberrygate.members.tests.network import (
    Network,
    assign_domains,
    have_converged,
    make_member,
    restart_member,
    start_members,
)

MODULE = "mulberrygate.members.membership."


class MembershipCase(unittest.TestCase):
    """Starts a system and waits until it has converged."""

    def start(self, number, domains, seed=1, **faults):
        self.network = Network(seed, **faults)
        self.places = assign_domains(number, domains)
        self.members = start_members(self.network, self.places)
        self.live = set(self.places)
        self.await_convergence(60)

    def await_convergence(self, limit_s):
        done = self.network.run_until(
            lambda: have_converged(self.network, self.members, self.live), limit_s
        )
        self.assertLess(done, limit_s)
        return done

    def statuses(self, name, observers):
        return {self.members[o].view().members[name].status for o in observers}


class ConvergenceTest(MembershipCase):
    """Time until a failure is detected and known everywhere, by number of instances."""

    def check_detection(self, number, domains):
        self.start(number, domains)
        self.network.run(5)
        for victim in (self.members["i000"].view().relays("d0")[0], sorted(self.live)[-1]):
            self.network.crash(victim)
            self.live.discard(victim)
            near = [n for n in self.live if self.places[n] == self.places[victim]]
            own = self.network.run_until(
                lambda v=victim, near=near: all(v not in self.members[n].view().live for n in near),
                20,
            )
            self.assertLess(own, 5)
            self.assertLess(own + self.await_convergence(20), 8)

    def test_7(self):
        """Guards against dead instances that stay in the views of a small system."""
        self.check_detection(7, 2)

    def test_60(self):
        """Guards against a domain without reports to others after its relay died."""
        self.check_detection(60, 3)

    def test_360(self):
        """Guards against changes that do not reach all instances at the target size."""
        self.check_detection(360, 6)

    def test_budget(self):
        """Guards against heartbeats above 2 KB/s or 4 calls/s for each of 60 instances."""
        self.start(60, 1)
        for host in self.network.hosts.values():
            host.sent_bytes = host.calls = 0
        self.network.run(20)
        for host in self.network.hosts.values():
            self.assertLess(host.sent_bytes / 20, 2000)
            self.assertLess(host.calls / 20, 4)


class FaultTest(MembershipCase):
    """Effects of a single fault."""

    def test_leave(self):
        """Guards against using an instance that leaves until it is suspected."""
        self.start(60, 3)
        name = "i010"
        membership = self.members[name]
        effects = membership.leave(self.network.now)
        self.network.carry_out(self.network.hosts[name], membership, effects)
        self.live.discard(name)
        self.assertLess(self.await_convergence(5), 2)
        self.assertEqual(self.statuses(name, self.live), {Status.LEAVING})

    def test_restart(self):
        """Guards against old statements that exclude a restarted instance."""
        self.start(12, 2)
        self.network.crash("i005")
        self.network.run(10)
        self.members["i005"] = restart_member(self.network, "i005", 2, ("i000:7000",))
        self.assertLess(self.await_convergence(30), 10)
        self.assertEqual(self.members["i000"].view().members["i005"].incarnation, 2)

    def test_pause(self):
        """Guards against a paused instance that declares the others dead when it resumes."""
        self.start(12, 2)
        self.network.freeze("i003")
        self.network.run(30)
        self.network.thaw("i003")
        self.network.run(0.6)
        self.assertEqual(set(self.members["i003"].view().live), self.live)
        self.await_convergence(10)

    def test_pause_of_relay_loses_no_domain(self):
        """Guards against a paused relay that reports the other failure domains as lost."""
        self.start(12, 2)
        relay = self.members["i000"].view().relays("d0")[0]
        self.network.freeze(relay)
        self.network.run(30)
        self.network.thaw(relay)
        self.network.run(0.6)
        self.assertEqual(self.members[relay].table.lost_domains, frozenset())

    def test_isolated_domain(self):
        """Guards against an isolated domain that loses its own members or does not merge again."""
        self.start(18, 3)
        self.network.is_cut = lambda a, b: (a.domain == "d1") != (b.domain == "d1")
        self.network.run(20)
        inside = {n for n in self.live if self.places[n] == "d1"}
        for name in inside:
            self.assertEqual(set(self.members[name].view().live), inside)
        for name in self.live - inside:
            self.assertEqual(set(self.members[name].view().live), self.live - inside)
        self.network.is_cut = lambda a, b: False
        self.assertLess(self.await_convergence(30), 15)

    def test_cut_between_two_domains_of_three(self):
        """Guards against domains counted as lost though a third domain connects them."""
        self.start(18, 3)
        self.network.is_cut = lambda a, b: {a.domain, b.domain} == {"d0", "d1"}
        self.network.run(30)
        self.assertTrue(have_converged(self.network, self.members, self.live))

    def test_split_in_which_all_instances_are_replaced(self):
        """Guards against a partition that never heals since all relays changed meanwhile."""
        self.start(12, 2)
        self.network.is_cut = lambda a, b: a.domain != b.domain
        self.network.run(15)
        for number, name in enumerate(sorted(self.live)):
            seeds = ("i000:7000", "i001:7000")
            self.members[name] = restart_member(self.network, name, 2 + number, seeds)
        self.network.run(30)
        self.network.is_cut = lambda a, b: False
        self.assertLess(self.await_convergence(60), 40)

    def test_split_inside_a_domain(self):
        """Guards against halves of a domain that declared each other dead and never merge."""
        self.start(20, 1)
        half = set(sorted(self.live)[:10])
        self.network.is_cut = lambda a, b: (a.name in half) != (b.name in half)
        self.network.run(40)
        self.network.is_cut = lambda a, b: False
        self.assertLess(self.await_convergence(60), 40)

    def test_loss_kills_nobody(self):
        """Guards against lost messages that remove an instance which can refute."""
        self.start(30, 1, loss=0.05)
        for _ in range(60):
            self.network.run(0.5)
            for name in self.live:
                self.assertEqual(set(self.members[name].view().live), self.live)

    def test_dead_members_are_forgotten(self):
        """Guards against a table that keeps every instance that ever existed."""
        self.start(6, 1)
        self.network.crash("i005")
        self.live.discard("i005")
        self.network.run(620)
        self.assertNotIn("i005", self.members["i000"].view().members)

    def test_revision_spreads_in_the_domain(self):
        """Guards against a revision in force on an instance that its domain does not learn."""
        self.start(30, 1)
        self.members["i007"].set_revision(9)
        self.network.run(4)
        for name in self.live:
            self.assertEqual(self.members[name].view().members["i007"].revision, 9)


class SingleInstanceTest(unittest.TestCase):
    """A single membership without a network."""

    def setUp(self):
        self.membership = Membership(make_member("a", "d0"), ("a:7000", "b:7000"), random.Random(1))
        self.peer = make_member("b", "d0")

    def test_view_is_cached(self):
        """Guards against building a new view for every reader."""
        self.membership.merge([self.peer], 0.0)
        view = self.membership.view()
        self.membership.merge([self.peer], 1.0)
        self.assertIs(self.membership.view(), view)

    def test_own_address_is_no_seed(self):
        """Guards against an instance that sends a join to itself."""
        effects = self.membership.tick(0.0)
        sent = [e.address for e in effects if isinstance(e, SendAddress)]
        self.assertEqual(sent, ["b:7000"])

    def test_refutation(self):
        """Guards against an instance that does not refute its own suspicion."""
        own = self.membership.table.own
        self.membership.merge([attrs.evolve(own, status=Status.DEAD, heartbeat=4)], 0.0)
        self.assertEqual(self.membership.table.own.heartbeat, 5)
        self.assertIs(self.membership.table.own.status, Status.ALIVE)

    def test_superseded(self):
        """Guards against a replaced process that reports this not at all or more than once."""
        newer = attrs.evolve(self.membership.table.own, incarnation=2)
        effects = self.membership.merge([newer, newer], 0.0)
        self.assertEqual([e.event.kind for e in effects], ["members.superseded"])
        self.assertTrue(self.membership.is_superseded)

    def test_leave_is_final(self):
        """Guards against a late statement that makes a leaving instance alive again."""
        self.membership.merge([self.peer], 0.0)
        self.membership.merge([attrs.evolve(self.peer, status=Status.LEAVING, heartbeat=1)], 1.0)
        self.membership.merge([attrs.evolve(self.peer, heartbeat=7)], 2.0)
        self.assertFalse(self.membership.view().is_alive("b"))

    def test_malformed_rows_are_ignored(self):
        """Guards against an exception on a malformed message."""
        self.membership.merge([self.peer], 0.0)
        ask = next(e for e in self.membership.tick(1.0) if isinstance(e, Ask))
        broken = attrs.evolve(ask.message, origin=b"\xc1", updates=b"\x01", rows=b"\x91\x91\x01")
        self.membership.handle(broken, "b", 1.0)
        self.assertTrue(encode(broken))


class InvariantTest(MembershipCase):
    """Each invariant detects a small mutation of the code."""

    def expect(self, number, act):
        with self.assertRaises(InvariantError) as caught:
            act()
        self.assertEqual(int(caught.exception.code), number)

    def setUp(self):
        self.start(6, 1)
        self.membership = self.members["i000"]
        self.peer = self.membership.table.members["i001"]

    def test_9200(self):
        """Mutant: older statements take precedence."""
        older = attrs.evolve(self.peer, incarnation=0)
        with patch(MODULE + "precedence", side_effect=lambda m: -m.incarnation):
            self.expect(9200, lambda: self.membership.merge([older], 200.0))

    def test_9201(self):
        """Mutant: a reported death is stored without a suspicion first."""
        dead = attrs.evolve(self.peer, status=Status.DEAD)
        with patch.object(Membership, "_needs_suspicion", return_value=False):
            self.expect(9201, lambda: self.membership.merge([dead], 200.0))

    def test_9202(self):
        """Mutant: an instance stores statements about itself unchecked."""
        dead = attrs.evolve(self.membership.table.own, status=Status.DEAD)
        with patch.object(Membership, "_on_self", Membership._store):
            self.expect(9202, lambda: self.membership.merge([dead], 200.0))

    def test_9203(self):
        """Mutant: an instance suspects others right after a pause."""

        def suspect_all(membership, now):
            return membership._suspect(membership.table.members["i001"], now)

        with patch.object(Membership, "_check_probes", suspect_all):
            self.expect(9203, lambda: self.membership.tick(self.network.now + 60))
