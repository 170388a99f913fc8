"""Random faults on a small network, shared by the stateful tests of several packages."""

from __future__ import annotations

import random

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from mulberrygate.members.membership import Membership
from mulberrygate.members.tests.network import (
    Host,
    Network,
    assign_domains,
    have_converged,
    make_member,
    start_members,
)

INSTANCES = 6
DOMAINS = 2
# Long enough for leases to end, for lost domains to return and for joins to reach every seed.
CONVERGENCE_LIMIT_S = 90.0
SETTINGS = settings(
    derandomize=True,
    deadline=None,
    max_examples=25,
    stateful_step_count=25,
    suppress_health_check=list(HealthCheck),
    # Shrinking a failure took more than five minutes; the run is reproducible without it.
    phases=[Phase.generate],
)
NAMES = st.sampled_from(sorted(assign_domains(INSTANCES, DOMAINS)))


class FaultMachine(RuleBasedStateMachine):
    """Crashes, restarts, freezes, separates and reconnects instances while messages get lost.

    Explanation
    ===========
    Invariants in the code under test raise while the network runs. At the end all faults are
    removed, and `check` compares the final state with the expected one.
    """

    def make_parts(self, membership: Membership) -> list:
        """Return the decision classes of an instance."""
        return [membership]

    def check(self) -> None:
        """Check the state after all faults have ended."""
        limit = self.network.run_until(self.has_converged, CONVERGENCE_LIMIT_S, 1.0)
        views = {name: sorted(self.members[name].view().live) for name in self.running()}
        assert limit < CONVERGENCE_LIMIT_S, f"not converged to {sorted(self.running())}: {views}"

    @initialize(
        seed=st.integers(0, 1 << 20),
        loss=st.sampled_from([0.0, 0.05, 0.2]),
        repeat=st.sampled_from([0.0, 0.3]),
        slow_s=st.sampled_from([0.0, 0.4]),
    )
    def start(self, seed, loss, repeat, slow_s):
        """Start all instances."""
        self.network = Network(seed, loss, repeat)
        self.network.slow_s = self.slow_s = slow_s
        self.places = assign_domains(INSTANCES, DOMAINS)
        self.incarnation = 1
        self.members = start_members(self.network, self.places, self.make_parts)
        # All addresses: empty instances whose seeds are all dead cannot find each other.
        self.seeds = tuple(f"{name}:7000" for name in sorted(self.places))
        self.leaving: set[str] = set()
        self.network.run(3)

    def running(self) -> set[str]:
        """Return the instances that the others must see as alive."""
        up = {name for name, host in self.network.hosts.items() if host.is_up}
        return up - self.leaving

    def has_converged(self) -> bool:
        """Return whether all running instances see exactly the running ones as alive."""
        return have_converged(self.network, self.members, self.running())

    @rule(seconds=st.sampled_from([0.1, 0.5, 2.0, 5.0, 15.0]))
    def run_for(self, seconds):
        """Let time pass."""
        self.network.run(seconds)

    @rule(name=NAMES)
    def crash(self, name):
        """Stop an instance without notice."""
        self.network.crash(name)

    @rule(name=NAMES)
    def restart(self, name):
        """Replace an instance by a new incarnation."""
        self.incarnation += 1
        self.leaving.discard(name)
        self.network.crash(name)
        domain = self.places[name]
        member = make_member(name, domain, self.incarnation)
        seed = random.Random(self.network.rng.random())
        membership = Membership(member, self.seeds, seed)
        self.members[name] = membership
        self.network.add(Host(self.network, name, domain, self.make_parts(membership)))

    @rule(name=NAMES)
    def freeze(self, name):
        """Suspend an instance."""
        self.network.freeze(name)

    @rule(name=NAMES)
    def thaw(self, name):
        """Resume an instance; it handles the messages that waited."""
        if self.network.hosts[name].is_frozen:
            self.network.thaw(name)

    @rule(names=st.sets(NAMES, min_size=1, max_size=3))
    def separate(self, names):
        """Cut some instances off from the rest."""
        self.network.is_cut = lambda a, b: (a.name in names) != (b.name in names)

    @rule()
    def separate_domains(self):
        """Cut the failure domains off from each other."""
        self.network.is_cut = lambda a, b: a.domain != b.domain

    @rule()
    def heal(self):
        """End the partition."""
        self.network.is_cut = lambda a, b: False

    @rule(name=NAMES)
    def leave(self, name):
        """Shut an instance down gracefully: it announces that it leaves."""
        host = self.network.hosts[name]
        if host.is_up and not host.is_frozen and name not in self.leaving:
            self.leaving.add(name)
            membership = self.members[name]
            self.network.carry_out(host, membership, membership.leave(self.network.now))

    def teardown(self):
        """End all faults and check the final state."""
        if not hasattr(self, "network"):
            return
        self.network.loss = self.network.repeat = self.network.slow_s = 0.0
        self.heal()
        for name in self.places:
            self.thaw(name)
        self.check()
