"""Simulated network in virtual time, for tests and benchmarks of decision classes."""

from __future__ import annotations

import heapq
import itertools
import random
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

from mulberrygate.core.effects import Reply, Send
from mulberrygate.core.wire import decode, encode
from mulberrygate.members.membership import Membership
from mulberrygate.members.messages import Ask, SendAddress
from mulberrygate.members.view import Member

TICK_S = 0.25


class Host:
    """One instance: decision classes that share a name and an address."""

    def __init__(self, network: Network, name: str, domain: str, parts: list[Any]):
        self.network = network
        self.name = name
        self.domain = domain
        self.parts = parts
        self.is_up = True
        self.is_frozen = False
        self.backlog: list[Callable[[], None]] = []
        self.sent_bytes = 0
        self.sent_messages = 0
        self.calls = 0
        self.cpu_seconds = 0.0
        self.received_calls = 0
        self.received_messages = 0
        self.kinds: Counter[str] = Counter()
        self.kind_bytes: Counter[str] = Counter()

    def run(self, action: Callable[[], Any]) -> Any:
        """Run a step of a decision class or of the codec and measure its processor time."""
        if not self.network.is_measured:
            return action()
        start = time.process_time_ns()
        result = action()
        self.cpu_seconds += (time.process_time_ns() - start) / 1e9
        return result

    def reset(self) -> None:
        """Reset the counters."""
        self.sent_bytes = self.sent_messages = self.calls = self.received_calls = 0
        self.received_messages = 0
        self.cpu_seconds = 0.0
        self.kinds.clear()
        self.kind_bytes.clear()

    def tick(self) -> None:
        """Run the periodic step of all parts."""
        for part in self.parts:
            effects = self.run(lambda part=part: part.tick(self.network.now))
            self.network.carry_out(self, part, effects)


class Network:
    """Delivers messages between hosts with delay, loss, duplication, freezes and partitions."""

    def __init__(self, seed: int, loss: float = 0.0, repeat: float = 0.0, is_measured=False):
        self.rng = random.Random(seed)
        self.loss = loss
        self.repeat = repeat
        self.is_measured = is_measured
        self.now = 100.0
        self.hosts: dict[str, Host] = {}
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.is_cut: Callable[[Host, Host], bool] = lambda a, b: False
        self.events: list[tuple[float, str, Any]] = []
        self.slow_s = 0.0

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Schedule a call at a virtual time."""
        heapq.heappush(self.queue, (when, next(self.order), action))

    def add(self, host: Host) -> Host:
        """Add or replace a host and start its ticks."""
        self.hosts[host.name] = host
        self.at(self.now + self.rng.uniform(0, TICK_S), lambda: self._tick(host))
        return host

    def _tick(self, host: Host) -> None:
        if self.hosts.get(host.name) is not host or not host.is_up:
            return
        if not host.is_frozen:
            host.tick()
        self.at(self.now + TICK_S, lambda: self._tick(host))

    def run(self, seconds: float) -> None:
        """Advance the virtual time."""
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self.queue)
            action()
        self.now = end

    def run_until(self, is_done: Callable[[], bool], limit_s: float, step_s: float = 0.1) -> float:
        """Advance until a condition holds; return the elapsed seconds, or infinity at the limit."""
        start = self.now
        while not is_done():
            if self.now - start >= limit_s:
                return float("inf")
            self.run(step_s)
        return self.now - start

    def carry_out(self, host: Host, part: Any, effects: list[Any]) -> Any:
        """Carry out effects; return the message of a `Reply`."""
        answer = None
        for effect in effects:
            if isinstance(effect, Send):
                self._send(host, part, effect.to, effect.message, None)
            elif isinstance(effect, Ask):
                self._send(host, part, effect.to, effect.message, effect.timeout_s)
            elif isinstance(effect, SendAddress):
                self._send(host, part, effect.address.split(":")[0], effect.message, None)
            elif isinstance(effect, Reply):
                answer = effect.message
            else:
                self.events.append((self.now, host.name, effect))
        return answer

    def _delay(self, a: Host, b: Host) -> float:
        base = 0.0003 if a.domain == b.domain else 0.003
        return base + self.rng.uniform(0, 0.001) + self.rng.uniform(0, self.slow_s)

    def _count(self, host: Host, kind: str, body: bytes) -> None:
        host.sent_bytes += len(body)
        host.sent_messages += 1
        host.kinds[kind] += 1
        host.kind_bytes[kind] += len(body)

    def _send(self, host: Host, part: Any, to: str, message: Any, timeout: float | None) -> None:
        kind, body = host.run(lambda: encode(message))
        self._count(host, kind, body)
        host.calls += 1
        target = self.hosts.get(to)
        if target is None or self.is_cut(host, target):
            return
        index = host.parts.index(part)
        times = 2 if self.rng.random() < self.repeat else 1
        sent_at = self.now
        for _ in range(times):
            if self.rng.random() < self.loss:
                continue
            when = self.now + self._delay(host, target)
            self.at(when, lambda: self._arrive(host, target, index, kind, body, timeout, sent_at))

    def _arrive(self, host, target, index, kind, body, timeout, sent_at) -> None:
        if self.hosts.get(target.name) is not target or not target.is_up:
            return
        if target.is_frozen:
            target.backlog.append(
                lambda: self._arrive(host, target, index, kind, body, timeout, sent_at)
            )
            return
        part = target.parts[index]
        target.received_calls += 1
        target.received_messages += 1
        effects = target.run(lambda: part.handle(decode(kind, body), host.name, self.now))
        answer = self.carry_out(target, part, effects)
        if timeout is None or answer is None:
            return
        answer_kind, answer_body = target.run(lambda: encode(answer))
        self._count(target, answer_kind, answer_body)
        if self.is_cut(target, host) or self.rng.random() < self.loss:
            return
        when = self.now + self._delay(target, host)
        if when - sent_at > timeout:
            return
        self.at(when, lambda: self._answer(host, target, index, answer_kind, answer_body))

    def _answer(self, host: Host, target: Host, index: int, kind: str, body: bytes) -> None:
        if self.hosts.get(host.name) is not host or not host.is_up or host.is_frozen:
            return
        part = host.parts[index]
        host.received_messages += 1
        effects = host.run(lambda: part.handle(decode(kind, body), target.name, self.now))
        self.carry_out(host, part, effects)

    def crash(self, name: str) -> None:
        """Stop a host without notice."""
        self.hosts[name].is_up = False

    def freeze(self, name: str) -> None:
        """Suspend a host; messages to it wait."""
        self.hosts[name].is_frozen = True

    def thaw(self, name: str) -> None:
        """Resume a host; it handles the messages that waited."""
        host = self.hosts[name]
        host.is_frozen = False
        backlog, host.backlog = host.backlog, []
        for action in backlog:
            action()


def make_member(name: str, domain: str, incarnation: int = 1) -> Member:
    """Return a member whose address starts with its name, as `Network` expects."""
    return Member(
        instance=name,
        address=f"{name}:7000",
        http_address=f"{name}:8000",
        region=f"region{int(domain[1:]) // 2}" if domain[1:].isdigit() else "region0",
        failure_domain=domain,
        incarnation=incarnation,
    )


def assign_domains(number: int, domains: int) -> dict[str, str]:
    """Return the failure domain of each of a number of instances, by name."""
    return {f"i{n:03d}": f"d{n % domains}" for n in range(number)}


def start_members(
    network: Network,
    places: dict[str, str],
    make_parts: Callable[[Membership], list[Any]] = lambda membership: [membership],
) -> dict[str, Membership]:
    """Start instances that know one seed in each failure domain."""
    found: dict[str, str] = {}
    for name, domain in places.items():
        found.setdefault(domain, f"{name}:7000")
    seeds = tuple(found.values())
    result = {}
    for number, (name, domain) in enumerate(places.items()):
        member = make_member(name, domain)
        membership = Membership(member, seeds, random.Random(network.rng.random() + number))
        result[name] = membership
        network.add(Host(network, name, domain, make_parts(membership)))
    return result


def restart_member(
    network: Network, name: str, incarnation: int, seeds: tuple[str, ...]
) -> Membership:
    """Replace a host with an empty one of a higher incarnation."""
    domain = network.hosts[name].domain
    network.hosts[name].is_up = False
    member = make_member(name, domain, incarnation)
    membership = Membership(member, seeds, random.Random(network.rng.random()))
    network.add(Host(network, name, domain, [membership]))
    return membership


def have_converged(network: Network, members: dict[str, Membership], live: set[str]) -> bool:
    """Return whether each live host sees exactly the live hosts as alive."""
    return all(set(members[name].view().live) == live for name in live)
