"""Stateful test of the endpoint directory under random faults."""

import random

from hypothesis import strategies as st
from hypothesis.stateful import rule

from mulberrygate.endpoints import LEAVE_LIMIT_S, Announcement, Directory
from mulberrygate.members.tests.faults import NAMES, SETTINGS, FaultMachine

ENDPOINTS = st.sampled_from(["e0", "e1", "e2"])


class Checker:
    """Part of an instance that verifies its directory at each tick, before a new dispatch."""

    def __init__(self, machine, directory):
        self.machine = machine
        self.directory = directory

    def tick(self, now):
        self.machine.verify(self.directory, now)
        return []


class DirectoryMachine(FaultMachine):
    """Guards against work for endpoints that left or died, and against lost endpoints."""

    def make_parts(self, membership):
        rng = random.Random(membership.name)
        directory = Directory(membership.name, membership.domain, membership.view, rng)
        self.directories[membership.name] = directory
        return [membership, directory, Checker(self, directory)]

    def __init__(self):
        super().__init__()
        self.directories = {}
        self.states = {}

    @rule(name=NAMES, endpoint=ENDPOINTS, leaving=st.booleans(), restarted=st.booleans())
    def announce(self, name, endpoint, leaving, restarted):
        """Announce an endpoint of d0 to any instance."""
        host = self.network.hosts[name]
        if not host.is_up or host.is_frozen:
            return
        incarnation, sequence, has_left, _ = self.states.get(endpoint, (1, 0, False, 0.0))
        if restarted:
            incarnation, sequence, has_left = incarnation + 1, 0, False
        is_leaving = leaving or has_left
        # A leaving endpoint goes on announcing; what counts is when it first said so.
        said_at = self.states[endpoint][3] if has_left else self.network.now
        self.states[endpoint] = (incarnation, sequence + 1, is_leaving, said_at)
        announcement = Announcement(
            endpoint,
            incarnation,
            sequence + 1,
            "h:1",
            "lamp",
            "d0",
            "r0",
            load_at=self.network.now,
            leaving=is_leaving,
        )
        part = self.directories[name]
        self.verify(part, self.network.now)
        effects = part.announce(announcement, self.network.now)
        self.network.carry_out(host, part, effects)

    def verify(self, directory, now):
        """No entry offers an endpoint that left or was last heard before the limit."""
        for view in directory.views("lamp", now):
            state = self.states[view.endpoint]
            # A renewal that is passed on counts from its arrival less its age, so each of up to
            # three hops adds its delay; with none, the limit is kept exactly.
            limit = LEAVE_LIMIT_S + 3 * self.slow_s
            is_old = view.accepts_work and now - state[3] > limit
            assert not is_old, f"{directory.name} offers {view} at {now} after {state}"

    def check(self):
        super().check()
        staying = {endpoint for endpoint, state in self.states.items() if not state[2]}
        for _ in range(8):
            for endpoint in sorted(staying):
                host = min(n for n in self.running()) if self.running() else ""
                if host:
                    self.announce(host, endpoint, False, False)
            self.network.run(1.0)
        for name in self.running():
            if self.places[name] == "d0":
                views = self.directories[name].views("lamp", self.network.now)
                assert {v.endpoint for v in views if v.accepts_work} == staying


TestDirectory = DirectoryMachine.TestCase
TestDirectory.settings = SETTINGS
