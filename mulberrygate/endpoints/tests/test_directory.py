"""Tests of the endpoint directory."""

import random
import unittest
from unittest.mock import patch

import attrs
import msgpack

from mulberrygate.core.effects import Send
from mulberrygate.core.invariant import InvariantError
from mulberrygate.endpoints import LEAVE_LIMIT_S, Announcement, Directory
from mulberrygate.endpoints.lease import MAX_AGE_UNITS, Lease, LeaseTable
from mulberrygate.endpoints.messages import Forwarded, Reports, Summary
from mulberrygate.members import MembershipView
from mulberrygate.members.tests.network import Network, assign_domains, make_member, start_members

ANNOUNCEMENT = Announcement("e1", 1, 1, "10.0.0.1:80", "lamp", "d0", "r0", slots=4)


class DirectoryCase(unittest.TestCase):
    """One directory in a domain of three instances."""

    def setUp(self):
        view = MembershipView({name: make_member(name, "d0") for name in "abc"})
        self.directory = Directory("a", "d0", lambda: view, random.Random(1), lambda d, p: "a")
        self.deaths = []
        self.directory.on_death(lambda *death: self.deaths.append(death))
        self.directory.tick(0.0)

    def announce(self, now, **changes):
        return self.directory.announce(attrs.evolve(ANNOUNCEMENT, **changes), now)

    def view(self, now):
        return self.directory.views("lamp", now)[0]

    def run_ticks(self, start, end):
        now = start
        while now <= end:
            self.directory.tick(now)
            now += 0.25

    def expect(self, number, act):
        with self.assertRaises(InvariantError) as caught:
            act()
        self.assertEqual(int(caught.exception.code), number)


class AnnouncementTest(DirectoryCase):
    """Handling of announcements."""

    def test_new_endpoint_is_forwarded_to_all_entries(self):
        """Guards against new endpoints that only one entry knows."""
        effects = self.announce(0.0)
        sent = {e.to for e in effects if isinstance(e, Send) and isinstance(e.message, Forwarded)}
        self.assertEqual(sent, {"b", "c"})

    def test_forwarded_announcement_is_not_forwarded_again(self):
        """Guards against entries that forward an announcement to each other endlessly."""
        effects = self.directory.handle(Forwarded(ANNOUNCEMENT), "b", 0.0)
        self.assertFalse([e for e in effects if isinstance(e, Send)])
        self.assertTrue(self.view(0.0).accepts_work)

    def test_renewal_is_not_forwarded(self):
        """Guards against a message to every entry for each announcement."""
        self.announce(0.0)
        effects = self.announce(1.0, sequence=2, load=3)
        self.assertFalse([e for e in effects if isinstance(e, Send)])

    def test_repeated_and_older_sequences_change_nothing(self):
        """Guards against a late announcement that restores an old state."""
        self.announce(0.0, sequence=5, slots=8)
        for sequence in (5, 4):
            self.assertEqual(self.announce(1.0, sequence=sequence, slots=2, leaving=True), [])
        self.assertTrue(self.view(1.0).accepts_work)
        self.assertEqual(self.view(1.0).slots, 8)
        self.assertFalse(self.view(3.0).accepts_work)

    def test_new_incarnation_replaces_the_old(self):
        """Guards against a restarted endpoint that keeps its cache or is not reported as dead."""
        self.announce(0.0, cached_prefixes=("p",), cache_sequence=1)
        self.assertEqual(self.view(0.0).prefixes, {"p"})
        self.announce(1.0, incarnation=2)
        self.assertEqual(self.view(1.0).prefixes, frozenset())
        self.assertEqual(self.deaths, [("e1", 1, "incarnation")])

    def test_leaving(self):
        """Guards against a leaving endpoint that gets work or counts as dead later."""
        self.announce(0.0)
        self.announce(1.0, sequence=2, leaving=True)
        self.assertFalse(self.view(1.0).accepts_work)
        self.run_ticks(1.0, 10.0)
        self.assertEqual(self.deaths, [])

    def test_lease_ends(self):
        """Guards against work for a silent endpoint, however long its lease is."""
        self.announce(0.0, lease_s=20.0)
        self.assertTrue(self.view(LEAVE_LIMIT_S - 0.01).accepts_work)
        self.assertFalse(self.view(LEAVE_LIMIT_S).accepts_work)
        self.run_ticks(0.25, 21.75)
        self.assertEqual(self.deaths, [])
        self.run_ticks(22.0, 22.0)
        self.assertEqual(self.deaths, [("e1", 1, "lease")])

    def test_future_load_is_clamped(self):
        """Guards against a negative load age when the clock of the endpoint is ahead."""
        self.announce(0.0, load_at=5000.0)
        self.announce(1.0, sequence=2, load_at=9000.0, load=7)
        self.assertEqual((self.view(1.0).load, self.view(1.0).load_age_s), (7, 0.0))
        self.announce(2.0, sequence=3, load_at=9000.5)
        self.assertAlmostEqual(self.view(2.0).load_age_s, 0.5, places=2)

    def test_gap_in_cache_events(self):
        """Guards against counting prefixes as cached whose eviction was lost."""
        self.announce(0.0, cached_prefixes=("p", "q"), cache_sequence=2)
        self.announce(1.0, sequence=2, evicted_prefixes=("p",), cache_sequence=3)
        self.assertEqual(self.view(1.0).prefixes, {"q"})
        self.announce(2.0, sequence=3, cached_prefixes=("r",), cache_sequence=5)
        self.assertEqual(self.view(2.0).prefixes, {"r"})
        self.assertTrue(self.directory.table.leases["e1"].is_cache_uncertain)

    def test_messages_that_waited_in_a_pause_renew_nothing(self):
        """Guards against queued announcements that renew dead endpoints after a pause."""
        self.announce(0.0)
        self.announce(60.0, sequence=2)
        self.directory.handle(Forwarded(attrs.evolve(ANNOUNCEMENT, sequence=3)), "b", 60.0)
        self.assertFalse(self.view(60.0).accepts_work)
        self.directory.tick(60.0)
        self.directory.tick(60.6)
        self.assertEqual(self.deaths, [("e1", 1, "lease")])

    def test_paused_instance_forwards_the_age(self):
        """Guards against forwarding an announcement as new after it waited at a paused entry."""
        sent = [e.message for e in self.announce(60.0) if isinstance(e, Send)]
        self.assertEqual({message.age for message in sent}, {MAX_AGE_UNITS})
        self.directory.tick(60.0)
        self.directory.tick(61.0)
        self.directory.handle(sent[0], "b", 61.0)
        self.assertFalse(self.directory.views("lamp", 61.0)[0].accepts_work)

    def test_wrong_domain_is_redirected(self):
        """Guards against storing an endpoint of another failure domain as a local one."""
        effects = self.announce(0.0, failure_domain="d1")
        self.assertEqual([e.to for e in effects], ["a"])
        self.assertEqual(self.directory.views("lamp", 0.0), [])

    def test_evacuated_failure_domain(self):
        """Guards against a grant from before an evacuation that is used after it."""
        self.announce(0.0)
        self.assertTrue(self.directory.accepts_work("e1", 0.5))
        self.directory.evacuated = frozenset(["d0"])
        self.assertFalse(self.directory.accepts_work("e1", 0.5))
        self.assertFalse(self.view(0.5).accepts_work)
        # An entry that doesn't own the pool may not know the endpoint of a grant.
        self.assertFalse(self.directory.accepts_work("e9", 0.5, "d0"))
        self.assertTrue(self.directory.accepts_work("e9", 0.5, "d1"))


class InvariantTest(DirectoryCase):
    """Each invariant detects a small mutation of the code."""

    def test_9210(self):
        """Mutant: older announcements are accepted."""
        self.announce(0.0, sequence=2)
        with patch.object(Directory, "_is_newer", return_value=True):
            self.expect(9210, lambda: self.announce(1.0, sequence=1))

    def test_9211(self):
        """Mutant: leases never end."""
        self.announce(0.0)
        with patch.object(Lease, "accepts_work", return_value=True):
            self.expect(9211, lambda: self.view(3.5))

    def test_9212(self):
        """Mutant: ages have the wrong sign."""
        self.announce(0.0)
        with patch("mulberrygate.endpoints.lease.AGE_UNIT_S", -0.05):
            self.expect(9212, lambda: self.directory.table.renew_all(b"\x05", 1.0))


class SpreadTest(unittest.TestCase):
    """Directories in a simulated network in virtual time."""

    def start(self, number, domains):
        self.network = Network(3)
        self.places = assign_domains(number, domains)
        self.directories = {}

        def make_parts(membership):
            rng = random.Random(membership.name)
            directory = Directory(membership.name, membership.domain, membership.view, rng)
            self.directories[membership.name] = directory
            return [membership, directory]

        self.members = start_members(self.network, self.places, make_parts)
        self.network.run(15)

    def announce(self, name, **changes):
        announcement = attrs.evolve(ANNOUNCEMENT, **changes)
        part = self.directories[name]
        effects = part.announce(announcement, self.network.now)
        self.network.carry_out(self.network.hosts[name], part, effects)

    def accepting(self):
        return {
            name
            for name, directory in self.directories.items()
            if any(view.accepts_work for view in directory.views("lamp", self.network.now))
        }

    def test_renewals_reach_all_entries(self):
        """Guards against renewals that reach only the entry that got the announcement."""
        self.start(30, 1)
        for sequence in range(1, 10):
            self.announce(f"i{sequence:03d}", sequence=sequence)
            self.network.run(0.1)
            self.assertEqual(self.accepting(), set(self.places))
            self.network.run(0.9)

    def test_slow_network_keeps_no_dead_endpoint(self):
        """Guards against entries on a slow network that renew a dead endpoint for each other."""
        self.start(6, 1)
        self.announce("i001")
        self.network.slow_s = 0.4
        self.network.run(LEAVE_LIMIT_S + 1.0)
        self.assertEqual(self.accepting(), set())

    def test_lost_forwarding_is_repaired(self):
        """Guards against an entry that missed a leave and sends work until the lease ends."""
        self.start(12, 1)
        self.announce("i001")
        self.network.run(0.5)
        self.network.loss = 1.0
        self.announce("i002", sequence=2, leaving=True)
        self.network.loss = 0.0
        self.assertTrue(self.accepting())
        self.network.run(2.0)
        self.assertEqual(self.accepting(), set())

    def test_owner_gets_load_and_cache(self):
        """Guards against a pool owner that has no loads and prefixes."""
        self.start(12, 1)
        owner = self.members["i000"].view().owner("d0", "lamp")
        other = next(name for name in sorted(self.places) if name != owner)
        self.announce(other, load=5, cached_prefixes=("p",), cache_sequence=1)
        self.network.run(1.0)
        view = self.directories[owner].views("lamp", self.network.now)[0]
        self.assertEqual((view.load, view.prefixes), (5, {"p"}))
        self.assertTrue(
            any(name == "endpoints.reports" for name in self.network.hosts[other].kinds)
        )

    def test_report_of_a_leave_extends_no_lease(self):
        """Guards against reports that renew an endpoint at an owner that missed its leave."""
        self.start(4, 1)
        owner = self.members["i000"].view().owner("d0", "lamp")
        other = next(name for name in sorted(self.places) if name != owner)
        self.announce(other)
        self.network.run(0.2)
        directory, lease = self.directories[owner], self.directories[owner].table.leases["e1"]
        before = lease.renewed_at
        changed = attrs.evolve(ANNOUNCEMENT, sequence=2, leaving=True)
        self.directories[other].announce(changed, self.network.now)
        reports = [row for _, _, row in self.directories[other].reports]
        directory.handle(Reports(msgpack.packb(reports)), other, self.network.now + 1)
        self.assertEqual(lease.renewed_at, before)

    def test_summary_reaches_other_domains(self):
        """Guards against an owner in another domain that lacks endpoints or keeps one that left."""
        self.start(12, 2)
        owner = self.members["i000"].view().owner("d1", "lamp")
        self.announce("i000", load=5)
        self.network.run(2.0)
        view = self.directories[owner].views("lamp", self.network.now)[0]
        self.assertEqual((view.failure_domain, view.load, view.accepts_work), ("d0", 5, True))
        self.announce("i000", sequence=2, leaving=True)
        self.network.run(0.5)
        self.assertNotIn(owner, self.accepting())

    def test_endpoint_of_another_domain_is_redirected(self):
        """Guards against losing an announcement to an entry of the wrong domain."""
        self.start(12, 2)
        self.announce("i001")
        self.network.run(0.5)
        near = {name for name, domain in self.places.items() if domain == "d0"}
        self.assertLessEqual(near, self.accepting())


class RemoteGrantTest(DirectoryCase):
    """Grants by another owner, for endpoints of another failure domain."""

    def take_summary(self, **changes):
        """Handle a summary as the owner of the pool does."""
        remote = attrs.evolve(ANNOUNCEMENT, endpoint="e2", failure_domain="d1", **changes)
        sender = LeaseTable()
        sender.put(remote, 0.0)
        message = Summary("d1", "lamp", sender.digest, (remote,), ("e2",), b"\x00", b"\x00")
        self.directory.handle(message, "x", 0.0)

    def test_former_owner_accepts_endpoints_whose_lease_is_no_longer_renewed(self):
        """Guards against a former owner that refuses all grants of its successor (code 2102)."""
        self.take_summary()
        late = LEAVE_LIMIT_S + 0.5
        self.assertFalse(self.directory.find("e2", late).accepts_work)
        self.assertTrue(self.directory.accepts_work("e2", late))

    def test_endpoint_of_another_evacuated_failure_domain(self):
        """Guards against a grant of an owner of an earlier release, which names no domain."""
        self.take_summary()
        self.directory.evacuated = frozenset(["d1"])
        self.assertFalse(self.directory.accepts_work("e2", 0.5))

    def test_endpoint_known_to_be_leaving_is_not_accepted(self):
        """Guards against new work for a leaving endpoint of another failure domain."""
        self.take_summary(leaving=True)
        self.assertFalse(self.directory.accepts_work("e2", 0.5))


class ReportsTest(DirectoryCase):
    """Batched reports to the owner of a pool."""

    def test_reports_are_collected(self):
        """Guards against a message to the owner for each announcement."""
        self.directory.owner_of = lambda domain, pool: "b"
        for sequence in range(1, 4):
            self.announce(0.1 * sequence, sequence=sequence)
        effects = self.directory.tick(0.5)
        reports = [e for e in effects if isinstance(e, Send) and isinstance(e.message, Reports)]
        self.assertEqual([e.to for e in reports], ["b"])
