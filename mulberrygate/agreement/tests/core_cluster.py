"""Simulated core: six control instances of which two may be lost at the same time."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from mulberrygate.agreement.node import AgreementNode
from mulberrygate.agreement.tests.cluster import SETTINGS, Instance
from mulberrygate.agreement.tests.test_growth import GrowingCluster

# An instance counts as lost for this time after it is back, or after its first start.
CATCH_UP_S = 4.0
# Time within which the group has to serve reads again once all instances are back.
RECOVERY_S = 12.0
TOLERANCE = 2
WANTED_VOTERS = 2 * TOLERANCE + 1
# Times of `mulberrygate.daemon.controller`.
CORE_SETTINGS = attrs.evolve(
    SETTINGS,
    election_timeout_s=0.45,
    heartbeat_s=0.12,
    wanted_voters=WANTED_VOTERS,
    lost_after_s=1.5,
)


class CoreCluster(GrowingCluster):
    """Group of six instances, with the settings of a deployment that tolerates two losses.

    Explanation
    ===========
    Only the seeds are named in the settings of a process. Only the first start of the whole core
    may form a group.

    Attributes
    ==========
    seeds : list[str]
        Seeds in the settings of processes that start now.
    counts_until : dict[str, float]
        Time until which an instance counts as lost; infinite while it is lost.
    disturbed_at : float
        Time of the last fault that counts for no instance, as a split or a stop of all.
    """

    def __init__(self, seed: int = 0, node_class: type = AgreementNode, size: int = 6):
        self.seeds = [f"v{number}" for number in range(3)]
        self.may_form = True
        super().__init__(size, WANTED_VOTERS, seed, node_class)
        self.settings = CORE_SETTINGS
        self.instances = {name: Instance(self, name) for name in self.first_voters}
        self.may_form = False
        self.added = 0
        self.counts_until: dict[str, float] = {}
        self.disturbed_at = self.now
        self.history: list[str] = []
        self.due: list[tuple[float, Callable[[], None]]] = []

    def first_voters_of(self, name):
        """Return the seeds, the only names that a process with an empty disk knows."""
        return {seed: f"{seed}:1" for seed in self.seeds}

    def settings_of(self, name):
        """Return the settings; only the first start may form a group."""
        return attrs.evolve(self.settings, may_form=self.may_form)

    def note(self, text: str) -> None:
        """Add a line to the history of the run."""
        leader = self.leader()
        self.history.append(f"{self.now - 100:.2f} {text} (leader {leader and leader.name})")

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule an action, as the end of a loss."""
        self.due.append((self.now + seconds, action))

    def run(self, seconds, loss=0.0, is_shuffled=False):
        """Run the group for a time and carry out the scheduled actions."""
        end = self.now + seconds
        while self.now < end:
            super().run(0.05, loss, is_shuffled)
            now_due = [item for item in self.due if item[0] <= self.now]
            self.due = [item for item in self.due if item[0] > self.now]
            for _, action in now_due:
                action()

    def exchange(self, loss=0.0, is_shuffled=False):
        """Carry out effects and deliver messages in four rounds.

        Explanation
        ===========
        Messages to a frozen process wait without holding up those to others.
        """
        for _ in range(4):
            for instance in self.instances.values():
                self.flush(instance)
            messages, self.network = self.network, []
            if is_shuffled:
                self.rng.shuffle(messages)
            waiting = []
            for message in messages:
                target = self.instances.get(message[1])
                if target is not None and target.is_frozen:
                    waiting.append(message)
                elif self.rng.random() >= loss:
                    self.network.append(message)
                    self.deliver(0)
            self.network = waiting + self.network

    def form(self) -> None:
        """Let the group form and commit a command."""
        self.run(8.0)
        self.commit()

    def leader(self):
        """Return the running instance that leads under a lease, ``None`` if there is none."""
        for instance in self.instances.values():
            node = instance.node
            if instance.is_running and node.role.value == "leader" and node.lease_until > self.now:
                return instance
        return None

    def voter_disks(self) -> set[str]:
        """Return the disks of the voters in the leader's configuration."""
        return {member.disk for member in self.leader().node.members.voters()}

    def dead_voters(self) -> list[str]:
        """Return the names of the leader's voters whose disk no instance has any more."""
        disks = {instance.disk.identity.disk for instance in self.instances.values()}
        return sorted(m.name for m in self.leader().node.members.voters() if m.disk not in disks)

    def lead(self, name: str) -> None:
        """Make a voter the leader."""
        for _ in range(200):
            leader = self.leader()
            if leader is not None and leader.name == name:
                return
            if leader is not None:
                self.transfer()
            self.run(1.0)
        raise AssertionError(f"{name} does not become leader")

    def transfer(self) -> None:
        """Make the leader hand over its leadership to any other voter."""
        leader = self.leader()
        if leader is not None:
            node = leader.node
            others = [m.name for m in node.members.voters() if m.disk != node.disk]
            # The best voter is chosen by its name when several hold the same entries.
            favoured = self.rng.choice(others)
            for member in node.members.voters():
                if member.name != favoured and member.disk in node.progress:
                    progress = node.progress[member.disk]
                    progress.match = min(progress.match, node.commit - 1)
            self.submit(leader, node.transfer_leadership(self.now))

    def commit(self) -> bool:
        """Propose a command and return as soon as the leader has applied it."""
        leader = self.leader()
        if leader is None:
            return False
        self.propose(leader.name)
        index = leader.node.log.last_index
        for _ in range(4000):
            if leader.node.applied >= index:
                self.flush(leader)
                return index in self.committed
            self.step_finely()
        return False

    def step_finely(self) -> None:
        """Carry out all effects and deliver one message, chosen at random."""
        for instance in self.instances.values():
            self.flush(instance)
        ready = [
            position
            for position, (_, to, _) in enumerate(self.network)
            if to not in self.instances or not self.instances[to].is_frozen
        ]
        if ready:
            self.deliver(self.rng.choice(ready))
        else:
            self.tick(0.05)

    def disk_of(self, name: str) -> str:
        """Return the disk of an instance."""
        return self.instances[name].disk.identity.disk

    def holders(self) -> list[str]:
        """Return the instances with the newest entry, in random order, and then the others."""
        names = sorted(self.instances)
        self.rng.shuffle(names)

        def last_index(name: str) -> int:
            segment = self.instances[name].disk.segment
            return segment.base_index + len(segment.entries)

        return sorted(names, key=last_index, reverse=True)

    def counting(self) -> set[str]:
        """Return the instances that count as lost now."""
        return {name for name, until in self.counts_until.items() if until > self.now}

    def begin_loss(self, name: str) -> None:
        """Count an instance as lost until `end_loss`."""
        self.counts_until[name] = float("inf")

    def end_loss(self, name: str) -> None:
        """Count an instance as lost only for the time in which it may catch up."""
        self.counts_until[name] = self.now + CATCH_UP_S

    def stop(self, name: str) -> None:
        """Stop a process."""
        self.note(f"stop {name}")
        self.begin_loss(name)
        self.instances[name].stop()
        self.forget_reads(name)

    def start(self, name: str) -> None:
        """Start the process of an instance that was stopped."""
        self.note(f"start {name}, seeds {self.seeds}")
        self.instances[name].start()
        self.end_loss(name)

    def empty(self, name: str) -> None:
        """Stop a process and replace its disk by an empty one."""
        self.stop(name)
        self.note(f"empty disk of {name}")
        self.instances[name].new_disk()

    def remove(self, name: str) -> None:
        """Remove an instance for good."""
        self.stop(name)
        self.note(f"remove {name}")
        del self.instances[name]
        # The settings name instances that are in operation when a process starts.
        others = sorted(set(self.instances) - set(self.seeds))
        self.seeds = [self.rng.choice(others) if seed == name else seed for seed in self.seeds]

    def succeed(self, name: str) -> str:
        """Start an instance of a new name with an empty disk in place of a removed one."""
        self.added += 1
        successor = f"w{self.added}"
        self.note(f"{successor} succeeds {name}, seeds {self.seeds}")
        self.instances[successor] = Instance(self, successor)
        self.end_loss(name)
        return successor

    def freeze(self, name: str) -> None:
        """Freeze a process."""
        self.note(f"freeze {name}")
        self.begin_loss(name)
        self.instances[name].is_frozen = True

    def thaw(self, name: str) -> None:
        """Let a frozen process go on."""
        self.note(f"thaw {name}")
        self.instances[name].is_frozen = False
        self.end_loss(name)

    def cut(self, name: str) -> None:
        """Cut an instance off from the others."""
        self.note(f"cut off {name}")
        self.begin_loss(name)
        self.isolated = self.isolated | {name}

    def join(self, name: str) -> None:
        """End the partition of an instance."""
        self.note(f"join {name}")
        self.isolated = self.isolated - {name}
        self.end_loss(name)

    def split(self, names: set[str], seconds: float) -> None:
        """Partition the core for a time; this loses no instance."""
        self.note(f"split off {sorted(names)} for {seconds} s")
        self.isolated = set(names)
        self.run(seconds)
        self.isolated = set()
        is_half = 2 * len(names) >= len(self.instances)
        self.disturb(set(self.counts_until) if is_half else set(names))

    def disturb(self, names: set[str]) -> None:
        """Record a fault that counts for no instance; some that catch up begin anew."""
        self.disturbed_at = self.now
        for name in names & self.counting():
            if self.counts_until[name] < float("inf"):
                self.end_loss(name)

    def stop_all(self, seconds: float) -> None:
        """Stop all running processes and start them again after a time."""
        self.note(f"stop all for {seconds} s")
        names = [name for name, instance in self.instances.items() if instance.node is not None]
        for name in names:
            self.instances[name].stop()
            self.forget_reads(name)
        self.network = []
        self.run(seconds)
        for name in names:
            self.instances[name].start()
        self.disturb(set(self.counts_until))

    def close(self, names: list[str]) -> None:
        """Empty the disks of instances while all processes stop; start all of them later."""
        self.note(f"closing: empty disks of {names}")
        for name in [*self.instances]:
            self.instances[name].stop()
            self.forget_reads(name)
        for name in names:
            self.instances[name].new_disk()
        self.network = []
        waiting, self.due = [action for _, action in self.due], []
        self.run(1.5)
        self.isolated = set()
        for instance in self.instances.values():
            instance.start()
        for action in waiting:
            action()

    def check_read_back(self) -> None:
        """Check that a read completes in time after all instances are back."""
        floor = max(self.committed)
        end = self.now + RECOVERY_S
        while self.now < end:
            leader = self.leader()
            if leader is not None:
                done = self.reads_done
                self.read(leader.name)
                self.run(0.2)
                if self.reads_done > done and leader.node.applied >= floor:
                    return
            else:
                self.run(0.1)
        raise AssertionError(f"no read within {RECOVERY_S} s after all instances are back")

    def check_calm_group(self) -> None:
        """Check that a group that has been calm for longer than the catch-up time is whole."""
        leader = self.leader()
        assert leader is not None, "no leader in calm"
        voters = leader.node.members.voters()
        assert not self.dead_voters(), f"voters without a disk: {self.dead_voters()}"
        assert len(voters) == WANTED_VOTERS, f"{len(voters)} voters in calm"
