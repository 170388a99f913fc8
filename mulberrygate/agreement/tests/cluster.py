"""Simulated group of voters in virtual time, with checks of what callers may observe."""

from __future__ import annotations

import random
from collections import deque

import attrs
import msgpack

from mulberrygate.agreement.effects import (
    Apply,
    CaughtUp,
    EntryRecord,
    InstallSnapshot,
    JoinRecord,
    ReadFailed,
    ReadReady,
    Role,
    RoleChanged,
    SaveSnapshot,
    TakeSnapshot,
    TermRecord,
)
from mulberrygate.agreement.node import AgreementNode
from mulberrygate.agreement.outcomes import Proposed, ReadStarted
from mulberrygate.agreement.settings import AgreementSettings
from mulberrygate.agreement.state import Identity, StorageState
from mulberrygate.agreement.storage import Segment, pack_entry
from mulberrygate.core.effects import Persist, Reply, Send

# Small sizes, so that short runs take snapshots and transfer them in several parts.
SETTINGS = AgreementSettings(snapshot_entries=6, keep_entries=2, batch_bytes=48)


class MemoryDisk:
    """Simulated disk: the state that a voter has synced."""

    def __init__(self, voter: str, disk: str):
        self.identity = Identity(voter, disk)
        self.segment = Segment()
        self.snapshot = None

    def persist(self, records) -> None:
        """Store records as synced."""
        for record in records:
            if isinstance(record, JoinRecord):
                self.identity = attrs.evolve(self.identity, cluster=record.cluster)
            elif isinstance(record, TermRecord):
                self.segment.term, self.segment.voted_for = record.term, record.voted_for
            elif isinstance(record, EntryRecord):
                self.segment.add_record(pack_entry(record.entry))

    def save_snapshot(self, effect: SaveSnapshot) -> None:
        """Store a snapshot as synced, and compact the log."""
        self.snapshot = effect.snapshot
        segment = self.segment
        keeps_log = segment.term_at(effect.snapshot.index) == effect.snapshot.term
        first = max(0, effect.base_index - segment.base_index)
        segment.entries = segment.entries[first:] if keeps_log else []
        segment.base_index, segment.base_term = effect.base_index, effect.base_term

    def load(self) -> StorageState:
        """Return the state that a restarted voter loads."""
        s = self.segment
        return StorageState(
            self.identity,
            s.term,
            s.voted_for,
            self.snapshot,
            s.base_index,
            s.base_term,
            tuple(s.entries),
        )


class Instance:
    """One process and its disk."""

    def __init__(self, cluster: Cluster, name: str):
        self.cluster = cluster
        self.name = name
        self.is_frozen = False
        self.stopped_at: float | None = None
        self.node: AgreementNode | None = None
        self.new_disk()
        self.start()

    def new_disk(self) -> None:
        """Replace the disk by an empty one."""
        self.cluster.disk_count += 1
        self.disk = MemoryDisk(self.name, f"{self.name}{self.cluster.disk_count}")

    def start(self) -> None:
        """Start the process with the state of its disk."""
        self.pending: deque = deque()
        self.applied: list = []
        self.is_frozen = False
        cluster = self.cluster
        rng = random.Random(cluster.rng.random())
        state = self.disk.load()
        silent_since = None
        if self.stopped_at is not None:
            # The process starts at some time after the end of the former one.
            silent_since = rng.uniform(self.stopped_at, cluster.now)
        self.node = cluster.node_class(
            self.name,
            cluster.first_voters_of(self.name),
            state,
            rng,
            cluster.settings_of(self.name),
            f"{self.name}:1",
            silent_since,
        )
        if state.snapshot is not None:
            self.applied = msgpack.unpackb(state.snapshot.data)

    def stop(self) -> None:
        """Stop the process; effects that it has not carried out are lost."""
        self.node = None
        self.pending = deque()
        self.stopped_at = self.cluster.now

    @property
    def is_running(self) -> bool:
        """Whether the process is started and not frozen."""
        return self.node is not None and not self.is_frozen


class Cluster:
    """Simulated instances, their network and a virtual clock.

    Parameters
    ==========
    size : int
        Number of first voters.
    seed : int
    node_class : type
        Class under test; a mutant in tests that show that a check fails.
    """

    def __init__(self, size: int, seed: int = 0, node_class: type = AgreementNode):
        self.rng = random.Random(seed)
        self.node_class = node_class
        self.settings = SETTINGS
        self.now = 100.0
        self.disk_count = 0
        names = [f"v{number}" for number in range(size)]
        self.first_voters = {name: f"{name}:1" for name in names}
        self.network: list[tuple[str, str, object]] = []
        self.isolated: set[str] = set()
        self.leaders: dict[int, str] = {}
        self.committed: dict[int, bytes] = {}
        self.committed_at: dict[int, float] = {}
        self.checks_caught_up = True
        self.clusters: set[str] = set()
        self.reads: dict[tuple[str, int], int] = {}
        self.reads_done = 0
        self.command_count = 0
        self.instances = {name: Instance(self, name) for name in names}

    def first_voters_of(self, name: str) -> dict[str, str]:
        """Return the first voters in the settings with which an instance starts now."""
        return self.first_voters

    def settings_of(self, name: str) -> AgreementSettings:
        """Return the settings with which an instance starts now."""
        return self.settings

    def submit(self, instance: Instance, effects, sender: str = "") -> None:
        """Queue effects after those that are not carried out yet."""
        instance.pending.append((effects, sender))

    def flush(self, instance: Instance) -> None:
        """Carry out the queued effects of an instance, in order."""
        while instance.pending and instance.is_running:
            effects, sender = instance.pending.popleft()
            for effect in effects:
                self.carry_out(instance, effect, sender)

    def carry_out(self, instance: Instance, effect, sender: str) -> None:
        """Carry out one effect, and check its result that callers can observe."""
        if isinstance(effect, Persist):
            instance.disk.persist(effect.records)
        elif isinstance(effect, SaveSnapshot):
            instance.disk.save_snapshot(effect)
        elif isinstance(effect, Send):
            self.network.append((instance.name, effect.to, effect.message))
        elif isinstance(effect, Reply):
            self.network.append((instance.name, sender, effect.message))
        elif isinstance(effect, Apply):
            self.apply(instance, effect)
        elif isinstance(effect, TakeSnapshot):
            data = msgpack.packb(instance.applied)
            self.submit(instance, instance.node.snapshot_taken(effect.index, data))
        elif isinstance(effect, InstallSnapshot):
            instance.applied = msgpack.unpackb(effect.snapshot.data)
            for index, command in instance.applied:
                self.check_committed(index, command)
        elif isinstance(effect, CaughtUp):
            self.check_caught_up(instance, effect)
        elif isinstance(effect, RoleChanged):
            self.check_single_leader(instance, effect)
        elif isinstance(effect, ReadReady):
            self.check_read(instance, effect)
        elif isinstance(effect, ReadFailed):
            self.reads.pop((instance.node.disk, effect.number), None)

    def check_caught_up(self, instance: Instance, effect: CaughtUp) -> None:
        """Check that a leader has applied what any voter had applied by the reported time."""
        node = instance.node
        if (
            not self.checks_caught_up
            or node.role is not Role.LEADER
            or effect.at < node.leader_since
        ):
            return
        last = instance.applied[-1][0] if instance.applied else 0
        missed = [i for i, at in self.committed_at.items() if at <= effect.at and i > last]
        assert not missed, f"unknown to {instance.name} at {effect.at}: {missed}"

    def check_single_leader(self, instance: Instance, effect: RoleChanged) -> None:
        """Check that no term has two leaders."""
        if effect.role is Role.LEADER:
            known = self.leaders.setdefault(effect.term, instance.disk.identity.disk)
            assert known == instance.disk.identity.disk, f"two leaders in term {effect.term}"

    def apply(self, instance: Instance, effect: Apply) -> None:
        """Apply a command, and check that all voters apply the same one at its index."""
        assert not instance.applied or instance.applied[-1][0] < effect.index, "applied twice"
        self.check_committed(effect.index, effect.command)
        self.clusters.add(instance.node.cluster)
        assert len(self.clusters) == 1, "two groups committed commands"
        instance.applied.append([effect.index, effect.command])

    def check_committed(self, index: int, command: bytes) -> None:
        """Check that a committed entry never changes."""
        known = self.committed.setdefault(index, command)
        self.committed_at.setdefault(index, self.now)
        assert known == command, f"entry {index} changed from {known} to {command}"

    def check_read(self, instance: Instance, effect: ReadReady) -> None:
        """Check that a read sees what was committed before it began."""
        floor = self.reads.pop((instance.node.disk, effect.number), None)
        if floor is None:
            return
        self.reads_done += 1
        expected = {index for index in self.committed if index <= floor}
        seen = {index for index, _ in instance.applied}
        assert expected <= seen, f"stale read at {instance.name}: misses {expected - seen}"

    def check_leases(self) -> None:
        """Check that at most one voter holds a lease."""
        holders = [
            i.name
            for i in self.instances.values()
            if i.node and i.node.role is Role.LEADER and i.node.lease_until > self.now
        ]
        assert len(holders) <= 1, f"leases of {holders}"

    def tick(self, seconds: float) -> None:
        """Advance the clock and tick the running processes."""
        self.now += seconds
        for instance in self.instances.values():
            if instance.is_running:
                self.submit(instance, instance.node.tick(self.now))
        self.check_leases()

    def deliver(self, position: int, keeps_copy: bool = False) -> None:
        """Deliver one message of the network, or drop it at the boundary of a partition."""
        if not self.network:
            return
        position %= len(self.network)
        sender, to, message = self.network[position]
        target = self.instances.get(to)
        if target is not None and target.is_frozen:
            return
        if not keeps_copy:
            self.network.pop(position)
        is_partitioned = (sender in self.isolated) != (to in self.isolated)
        if target is not None and target.node is not None and not is_partitioned:
            self.submit(target, target.node.handle(message, sender, self.now), sender)

    def drop(self, position: int) -> None:
        """Drop one message of the network."""
        if self.network:
            self.network.pop(position % len(self.network))

    def run(self, seconds: float, loss: float = 0.0, is_shuffled: bool = False) -> None:
        """Run the group for a time."""
        end = self.now + seconds
        while self.now < end:
            self.tick(0.05)
            self.exchange(loss, is_shuffled)

    def exchange(self, loss: float = 0.0, is_shuffled: bool = False) -> None:
        """Carry out effects and deliver messages in four rounds, without advancing the clock."""
        for _ in range(4):
            for instance in self.instances.values():
                self.flush(instance)
            messages = len(self.network)
            for _ in range(messages):
                if self.rng.random() < loss:
                    self.drop(self.rng.randrange(1 << 16))
                else:
                    self.deliver(self.rng.randrange(1 << 16) if is_shuffled else 0)

    def propose(self, name: str) -> None:
        """Propose a command to an instance."""
        instance = self.instances[name]
        if instance.is_running:
            self.command_count += 1
            outcome = instance.node.propose(b"c%d" % self.command_count, self.now)
            self.submit(instance, outcome.effects)

    def read(self, name: str) -> None:
        """Start a read at an instance, and store which entries it has to see."""
        instance = self.instances[name]
        if not instance.is_running:
            return
        floor = max(self.committed, default=0)
        outcome = instance.node.read_index(self.now)
        if isinstance(outcome, ReadStarted):
            self.reads[instance.node.disk, outcome.number] = floor
        self.submit(instance, outcome.effects)

    def change(self, name: str, target: str, is_added: bool) -> bool:
        """Ask an instance to add or remove a voter."""
        instance = self.instances[name]
        if not instance.is_running or not (is_added or self.has_all_disks()):
            return False
        action = instance.node.add_voter if is_added else instance.node.remove_voter
        outcome = action(target, self.now)
        self.submit(instance, outcome.effects)
        return isinstance(outcome, Proposed)

    def crash(self, name: str, down_s: float = 0.0) -> None:
        """Stop a process and restart it on its disk after a time."""
        self.instances[name].stop()
        self.forget_reads(name)
        if down_s:
            self.run(down_s)
        self.instances[name].start()

    def crash_all(self, down_s: float) -> None:
        """Stop all processes and restart them on their disks after a time."""
        for instance in self.instances.values():
            instance.stop()
            self.forget_reads(instance.name)
        self.network = []
        self.run(down_s)
        for instance in self.instances.values():
            instance.start()

    def forget_reads(self, name: str) -> None:
        """Remove the pending reads of a process that has stopped."""
        disk = self.instances[name].disk.identity.disk
        self.reads = {key: floor for key, floor in self.reads.items() if key[0] != disk}

    def can_lose_disk(self, name: str) -> bool:
        """Return whether every set of voters in use keeps a majority of its disks without it."""
        lost = self.instances[name].disk.identity.disk
        disks = {i.disk.identity.disk for i in self.instances.values()} - {lost}
        configurations = [i.node.members for i in self.instances.values() if i.node]
        configurations += [i.node.members_at(i.node.commit) for i in self.instances.values()]
        return all(
            sum(m.disk in disks for m in members.voters()) >= members.majority()
            for members in configurations
            if members.voters()
        )

    def has_all_disks(self) -> bool:
        """Return whether no voter has lost its disk.

        Explanation
        ===========
        Two of five voters may lose their disks. Removing a healthy voter then would be a third
        loss, which a group of five does not tolerate.
        """
        disks = {i.disk.identity.disk for i in self.instances.values()}
        nodes = [i.node for i in self.instances.values()]
        return all(m.disk in disks for n in nodes if n for m in n.members.voters())

    def lose_disk(self, name: str) -> bool:
        """Replace the disk of an instance by an empty one, unless that loses a majority."""
        if not self.clusters or not self.can_lose_disk(name):
            return False
        self.instances[name].stop()
        self.forget_reads(name)
        self.instances[name].new_disk()
        self.instances[name].start()
        return True

    def leader(self) -> str:
        """Return the name of a running leader with a lease, empty if there is none."""
        for instance in self.instances.values():
            is_leading = instance.is_running and instance.node.role is Role.LEADER
            if is_leading and instance.node.lease_until > self.now:
                return instance.name
        return ""

    def heal(self) -> None:
        """End all partitions and freezes."""
        self.isolated = set()
        for instance in self.instances.values():
            instance.is_frozen = False

    def check_recovery(self) -> None:
        """Check that a healed group has a leader, and that its voters hold all commits."""
        self.heal()
        self.run(12.0)
        name = self.leader()
        assert name, "no leader after the group was healed"
        self.propose(name)
        self.run(2.0)
        voters = [m.name for m in self.instances[name].node.members.voters()]
        for voter in voters:
            seen = dict(self.instances[voter].applied)
            assert seen == self.committed, f"{voter} lacks {set(self.committed) - set(seen)}"


def step_at_random(cluster: Cluster) -> None:
    """Perform one randomly chosen operation."""
    rng = cluster.rng
    name = rng.choice(sorted(cluster.instances))
    leader = cluster.leader() or name
    choice = rng.random()
    if choice < 0.30:
        cluster.run(rng.choice((0.05, 0.2, 0.6)), rng.choice((0, 0, 0.1, 0.4)), True)
    elif choice < 0.52:
        cluster.deliver(rng.randrange(1 << 16), rng.random() < 0.2)
    elif choice < 0.58:
        cluster.drop(rng.randrange(1 << 16))
    elif choice < 0.64:
        cluster.flush(cluster.instances[name])
    elif choice < 0.68:
        cluster.tick(rng.choice((0.01, 0.3, 1.2)))
    elif choice < 0.80:
        cluster.propose(rng.choice((leader, name)))
    elif choice < 0.86:
        cluster.read(rng.choice((leader, name)))
    elif choice < 0.89:
        cluster.crash(name, rng.choice((0.0, 0.0, 0.4, 1.2)))
    elif choice < 0.895:
        cluster.crash_all(rng.choice((0.05, 0.8, 1.5)))
    elif choice < 0.91:
        cluster.instances[name].is_frozen = True
    elif choice < 0.93:
        cluster.heal()
    elif choice < 0.95:
        cluster.isolated = set(rng.sample(sorted(cluster.instances), len(cluster.instances) // 2))
    elif choice < 0.965:
        cluster.lose_disk(name)
    elif choice < 0.98:
        node = cluster.instances[leader].node
        cluster.submit(cluster.instances[leader], node.transfer_leadership(cluster.now))
    elif choice < 0.99:
        cluster.change(leader, name, False)
    else:
        cluster.change(leader, name, True)


def run_at_random(cluster: Cluster, steps: int) -> None:
    """Let the group form, then perform ``steps`` random operations."""
    cluster.run(3.0)
    for _ in range(steps):
        step_at_random(cluster)
