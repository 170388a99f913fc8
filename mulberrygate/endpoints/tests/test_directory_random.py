"""Random runs of the endpoint directory."""

import random

from hypothesis import strategies as st
from hypothesis.stateful import invariant, rule

from mulberrygate.endpoints import LEAVE_LIMIT_S, Announcement, Directory
from mulberrygate.members.tests.faults import NAMES, SETTINGS, FaultMachine

ENDPOINTS = st.sampled_from(["e0", "e1", "e2"])


class DirectoryMachine(FaultMachine):
    """Guards against work for endpoints that left or died, and against lost endpoints."""

    def make_parts(self, membership):
        rng = random.Random(membership.name)
        directory = Directory(membership.name, membership.domain, membership.view, rng)
        self.directories[membership.name] = directory
        return [membership, directory]

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
        effects = part.announce(announcement, self.network.now)
        self.network.carry_out(host, part, effects)

    @invariant()
    def offers_only_what_announced_itself(self):
        """No entry offers an endpoint that left or was last heard before the limit."""
        now = self.network.now if hasattr(self, "network") else 0.0
        for directory in self.directories.values():
            for view in directory.views("lamp", now):
                said_at = self.states[view.endpoint][3]
                if view.accepts_work:
                    assert now - said_at <= LEAVE_LIMIT_S + self.network.slow_s + 0.1

    def check(self):
        super().check()
        self.states = {endpoint: state for endpoint, state in self.states.items() if not state[2]}
        for _ in range(8):
            for endpoint in self.states:
                host = min(n for n in self.running()) if self.running() else ""
                if host:
                    self.announce(host, endpoint, False, False)
            self.network.run(1.0)
        for name in self.running():
            if self.places[name] == "d0":
                views = self.directories[name].views("lamp", self.network.now)
                assert {v.endpoint for v in views if v.accepts_work} == set(self.states)


TestDirectory = DirectoryMachine.TestCase
TestDirectory.settings = SETTINGS
