"""Measure membership, configuration delivery and endpoint directory at virtual time.

Explanation
===========
Bytes are message bodies; the column ``wire`` adds an estimate for frames and headers. Processor
time is measured for the decision classes and the codec; the column ``with calls`` adds an estimate
for gRPC, whose calls cost about 0.45 ms each, caller and callee together. Run as
``python bench/members.py --numbers 7,60``.
"""

from __future__ import annotations

import argparse
import random
import sys
import time

from mulberrygate.control.configuration import Configuration
from mulberrygate.control.distribution import ConfigurationReplica
from mulberrygate.endpoints import Announcement, Directory
from mulberrygate.members.tests.network import (
    Network,
    assign_domains,
    have_converged,
    start_members,
)

# Estimated frame fields, HTTP/2 frame headers and compressed headers of one message.
OVERHEAD_BYTES = 150
CALL_SIDE_S = 0.00045 / 2
PREFIXES = tuple(f"{random.Random(n).getrandbits(64):016x}" for n in range(4000))
PARTS = ("members", "control", "endpoints")


class System:
    """Simulated instances with membership, configuration and directory, and their endpoints."""

    def __init__(self, number: int, domains: int, endpoints: int, pools: int, seed: int):
        self.rng = random.Random(seed)
        self.network = Network(seed, is_measured=True)
        self.places = assign_domains(number, domains)
        self.replicas: dict[str, ConfigurationReplica] = {}
        self.directories: dict[str, Directory] = {}
        self.members = start_members(self.network, self.places, self.make_parts)
        self.live = set(self.places)
        self.source = Configuration()
        self.leader = "i001"
        self.pools = pools
        self.sequences: dict[str, int] = {}
        for index in range(endpoints):
            self.start_endpoint(f"e{index:04d}", f"d{index % domains}", index)

    def make_parts(self, membership) -> list:
        rng = random.Random(self.rng.random())
        replica = ConfigurationReplica(Configuration(), membership, rng)
        name, domain = membership.name, membership.domain
        directory = Directory(name, domain, membership.view, rng)
        self.replicas[name], self.directories[name] = replica, directory
        return [membership, replica, directory]

    def start_endpoint(self, endpoint: str, domain: str, index: int) -> None:
        """Announce an endpoint about once a second to a random entry of its domain."""
        start = self.network.now + 20 + self.rng.random()
        self.sequences[endpoint] = 0
        self.network.at(start, lambda: self.announce(endpoint, domain, index))

    def announce(self, endpoint: str, domain: str, index: int) -> None:
        if endpoint not in self.sequences:
            return
        self.sequences[endpoint] += 1
        sequence = self.sequences[endpoint]
        announcement = Announcement(
            endpoint=endpoint,
            incarnation=1,
            sequence=sequence,
            address="10.0.0.1:8000",
            pool=f"pool{index // len(set(self.places.values())) % self.pools}",
            failure_domain=domain,
            region="region0",
            version="v1",
            hardware="h1",
            slots=16,
            load=self.rng.randrange(20),
            load_at=1.7e9 + self.network.now,
            cached_prefixes=tuple(self.rng.sample(PREFIXES, 8)),
            cache_sequence=8 * sequence,
        )
        near = [n for n in sorted(self.live) if self.places[n] == domain]
        name = self.rng.choice(near)
        host, part = self.network.hosts[name], self.directories[name]
        effects = host.run(lambda: part.announce(announcement, self.network.now))
        self.network.carry_out(host, part, effects)
        when = self.network.now + self.rng.uniform(0.95, 1.1)
        self.network.at(when, lambda: self.announce(endpoint, domain, index))

    def crash(self, name: str) -> None:
        self.network.crash(name)
        self.live.discard(name)

    def can_crash(self, name: str) -> bool:
        """Return whether an instance may crash: its domain keeps one, and it isn't the leader."""
        near = [n for n in self.live if self.places[n] == self.places.get(name)]
        return len(near) > 1 and name in self.live and name != self.leader

    def publish(self, entries: int = 1) -> None:
        for _ in range(entries):
            revision = self.source.revision + 1
            self.source.put("pools", f"p{revision % 200}", revision, b"x" * 300)
        part = self.replicas[self.leader]
        effects = part.publish(self.source, self.network.now)
        self.network.carry_out(self.network.hosts[self.leader], part, effects)

    def is_in_force(self) -> bool:
        return all(self.replicas[n].revision == self.source.revision for n in self.live)

    def is_acknowledged(self) -> bool:
        missing = self.replicas[self.leader].instances_behind(self.source.revision)
        return not self.live.intersection(missing)


def report_load(system: System, seconds: float) -> None:
    """Print bytes, messages and processor time per instance, with one change in ``seconds``."""
    network = system.network
    hosts = [network.hosts[name] for name in sorted(system.live)]
    for host in hosts:
        host.reset()
    network.run(1)
    system.publish()
    network.run(seconds - 1)

    def show(name: str, read) -> None:
        values = [read(host) / seconds for host in hosts]
        print(f"  {name}: mean {sum(values) / len(values):.3g}, highest {max(values):.3g}")

    show("bodies sent B/s", lambda h: h.sent_bytes)
    show("wire sent B/s (estimate)", lambda h: h.sent_bytes + OVERHEAD_BYTES * h.sent_messages)
    for part in PARTS:
        show(
            f"  {part} bodies sent B/s",
            lambda h, p=part: sum(v for k, v in h.kind_bytes.items() if k.startswith(p)),
        )
    show("messages sent /s", lambda h: h.sent_messages)
    show("calls made /s", lambda h: h.calls)
    show("calls received /s", lambda h: h.received_calls)
    show("processor % of a core", lambda h: 100 * h.cpu_seconds)
    calls = lambda h: CALL_SIDE_S * (h.calls + h.received_calls)  # noqa: E731
    show("with calls % (estimate)", lambda h: 100 * (h.cpu_seconds + calls(h)))
    messages = sum(h.received_messages + h.sent_messages for h in hosts)
    each = 1e6 * sum(h.cpu_seconds for h in hosts) / messages
    print(f"  processor time a message sent or received, ticks included: {each:.0f} us")


def report_leases(system: System, seconds: float) -> None:
    """Print the age of lease renewals of endpoints at the entries."""
    ages, refused = [], 0
    for _ in range(int(seconds * 4)):
        system.network.run(0.25)
        for name in sorted(system.live)[::5]:
            for lease in system.directories[name].table.leases.values():
                ages.append(system.network.now - lease.renewed_at)
                refused += not lease.accepts_work(system.network.now)
    ages.sort()
    quantiles = ", ".join(f"{q}: {ages[int(len(ages) * q)]:.2f}" for q in (0.5, 0.99, 0.999))
    print(f"  age of renewals s: {quantiles}, highest {ages[-1]:.2f}")
    print(f"  samples {len(ages)}, of which without work though alive: {refused}")


def report_detection(system: System, count: int) -> None:
    """Print how long crashed instances, some of them relays, are still seen as alive."""
    own, others = [], []
    for index in range(count):
        domain = system.places[sorted(system.live - {system.leader})[0]]
        names = [n for n in sorted(system.live) if system.can_crash(n)]
        if not names:
            break
        relays = system.members[system.leader].view().relays(domain)
        victim = relays[0] if index == 0 and relays[0] in names else system.rng.choice(names)
        system.crash(victim)
        near = [n for n in system.live if system.places[n] == system.places[victim]]
        far = [n for n in system.live if n not in near]

        def is_gone(names, victim=victim) -> bool:
            return all(victim not in system.members[n].view().live for n in names)

        first = system.network.run_until(lambda near=near: is_gone(near), 30)  # noqa: B023
        own.append(first)
        others.append(
            first + system.network.run_until(lambda far=far: is_gone(far), 30)
        )  # noqa: B023
        system.network.run(4)
    print(f"  dead instance unseen in its domain after s: {format_seconds(own)}")
    print(f"  dead instance unseen everywhere after s: {format_seconds(others)}")


def report_changes(system: System, count: int) -> None:
    """Print how long a change takes, also with a relay that crashes before or during it."""
    for kind in ("plain", "relay dead before", "relay dies 4 ms after"):
        in_force_s, acknowledged_s = [], []
        for index in range(count):
            domain = f"d{index % len(set(system.places.values()))}"
            relays = system.members[system.leader].view().relays(domain)
            relay = next((name for name in relays if system.can_crash(name)), "")
            if kind == "relay dead before" and relay:
                system.crash(relay)
            system.publish()
            if kind == "relay dies 4 ms after" and relay:
                system.network.run(0.004)
                system.crash(relay)
            in_force_s.append(system.network.run_until(system.is_in_force, 30, 0.02))
            rest = system.network.run_until(system.is_acknowledged, 30, 0.05)
            acknowledged_s.append(in_force_s[-1] + rest)
            system.network.run(5)
        print(f"  change in force everywhere after s, {kind}: {format_seconds(in_force_s)}")
        print(f"  change known to be in force after s, {kind}: {format_seconds(acknowledged_s)}")


def format_seconds(values: list[float]) -> str:
    return " ".join(f"{value:.2f}" for value in sorted(values))


def measure(number: int, domains: int, pools: int, seed: int, repeats: int) -> None:
    """Run all measurements for one number of instances."""
    started = time.monotonic()
    endpoints = max(6, number * 100 // 60)
    system = System(number, domains, endpoints, pools, seed)
    print(
        f"{number} instances, {domains} domains, {endpoints} endpoints, {pools} pools, seed {seed}"
    )
    joined = system.network.run_until(
        lambda: have_converged(system.network, system.members, system.live), 60
    )
    print(f"  all instances that start at once see each other after s: {joined:.1f}")
    system.network.run(25)
    system.publish(20)
    system.network.run(15)
    report_load(system, 26)
    report_leases(system, 10)
    report_changes(system, repeats)
    report_detection(system, repeats)
    print(f"  measured in {time.monotonic() - started:.0f} s", flush=True)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--numbers", default="7,60,120,240,360")
    parser.add_argument("--domains", type=int, default=6)
    parser.add_argument("--pools", type=int, default=4)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--repeats", type=int, default=5)
    options = parser.parse_args()
    for number in map(int, options.numbers.split(",")):
        domains = min(options.domains, max(1, number // 2))
        measure(number, domains, options.pools, options.seed, options.repeats)
    return 0


if __name__ == "__main__":
    sys.exit(main())
