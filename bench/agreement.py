"""Measure the cost of an agreement group: processor time, bytes and restart time.

Each voter is a process of its own on loopback, with real files. Bytes are those of HTTP/2 in both
directions, without TCP/IP headers. Run with ``python bench/agreement.py``.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import socket
import subprocess
import sys
import tempfile
import time

import h2.connection

from mulberrygate.agreement import AgreementNode, AgreementService, AgreementSettings, Storage
from mulberrygate.agreement.effects import Apply, SaveSnapshot, TakeSnapshot
from mulberrygate.agreement.messages import Snapshot
from mulberrygate.core import HybridClock, TimerService
from mulberrygate.core.effects import Persist
from mulberrygate.peers import PeerClient, PeerServer

COMMAND = b"x" * 400
IDLE_S = 8.0
COMMANDS = 300


class Counter:
    """Count of the bytes that pass through the HTTP/2 connections of this process."""

    def __init__(self):
        self.total = 0
        send = h2.connection.H2Connection.data_to_send
        receive = h2.connection.H2Connection.receive_data

        def counted_send(connection, amount=None):
            data = send(connection, amount)
            self.total += len(data)
            return data

        def counted_receive(connection, data):
            self.total += len(data)
            return receive(connection, data)

        h2.connection.H2Connection.data_to_send = counted_send
        h2.connection.H2Connection.receive_data = counted_receive


class BenchStateMachine:
    """State machine with a snapshot of about the size of a small configuration."""

    def __init__(self):
        self.count = 0

    def apply(self, index, command):
        self.count += 1
        return self.count

    def snapshot(self):
        return self.count.to_bytes(8, "big") + bytes(20_000)

    def restore(self, data):
        self.count = int.from_bytes(data[:8], "big")


async def run_voter(name: str, folder: str, heartbeat_s: float, addresses: dict[str, str]) -> None:
    """Run one voter; answer each command from standard input with a line of its state."""
    counter = Counter()
    server = PeerServer(name, 1, "bench-token", HybridClock(lambda: int(time.time() * 1000)))
    host, _, port = addresses[name].rpartition(":")
    await server.start(host, int(port))
    timers = TimerService(lambda part, error: print(part, error, file=sys.stderr))
    storage = Storage(folder)
    settings = AgreementSettings(heartbeat_s=heartbeat_s)
    node = AgreementNode(name, addresses, storage.load(name), random.Random(), settings)
    peers = PeerClient(server, addresses.get)
    service = AgreementService(node, storage, peers, timers, BenchStateMachine())
    while line := await read_line():
        words = line.split()
        if words[0] == "propose":
            for _ in range(int(words[1])):
                await service.propose(COMMAND, 5.0)
        usage = time.process_time()
        state = [service.role.value, usage, counter.total, node.commit, storage.synced_bytes]
        print(json.dumps(state), flush=True)
    await service.close()
    await timers.close()
    await peers.close()
    await server.close()


async def read_line() -> str:
    """Return the next line of standard input, empty at its end."""
    return (await asyncio.to_thread(sys.stdin.readline)).strip()


def free_ports(count: int) -> list[int]:
    """Return free ports assigned by the operating system."""
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind(("127.0.0.1", 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


class Group:
    """Voter processes of one measurement."""

    def __init__(self, size: int, heartbeat_s: float, folder: str):
        ports = free_ports(size)
        addresses = {f"v{n}": f"127.0.0.1:{port}" for n, port in enumerate(ports)}
        self.processes = {
            name: subprocess.Popen(
                [
                    sys.executable,
                    os.path.abspath(__file__),
                    "--voter",
                    name,
                    "--folder",
                    os.path.join(folder, name),
                    "--heartbeat",
                    str(heartbeat_s),
                    "--addresses",
                    json.dumps(addresses),
                ],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            )
            for name in addresses
        }

    def send_command(self, name: str, command: str) -> list:
        """Send a command to a voter and return its state."""
        process = self.processes[name]
        process.stdin.write(command + "\n")
        process.stdin.flush()
        return json.loads(process.stdout.readline())

    def states(self) -> dict[str, list]:
        """Return the states of all voters."""
        return {name: self.send_command(name, "state") for name in self.processes}

    def wait_for_leader(self) -> str:
        """Wait for a leader and return its name."""
        for _ in range(100):
            for name, state in self.states().items():
                if state[0] == "leader":
                    return name
            time.sleep(0.1)
        raise RuntimeError("no leader within 10 s")

    def close(self) -> None:
        """End the processes."""
        for process in self.processes.values():
            process.stdin.close()
        for process in self.processes.values():
            try:
                process.wait(10)
            except subprocess.TimeoutExpired:
                process.kill()


def format_costs(before: dict, after: dict, leader: str, divisor: float) -> str:
    """Return the cost per unit of the leader, and the mean cost of the other voters, as text."""
    rows = []
    for part, names in (
        ("leader", [leader]),
        ("voter ", [name for name in before if name != leader]),
    ):
        cpu, sent, synced = (
            sum(after[n][column] - before[n][column] for n in names) / len(names) / divisor
            for column in (1, 2, 4)
        )
        rows.append(f"{part}: {cpu * 1000:7.3f} ms processor, {sent:8.0f} B, {synced:6.0f} B disk")
    return "; ".join(rows)


def measure_group(size: int, heartbeat_s: float, folder: str) -> None:
    """Print the cost per idle second and per command."""
    group = Group(size, heartbeat_s, folder)
    try:
        time.sleep(3.0)
        leader = group.wait_for_leader()
        time.sleep(1.0)
        before = group.states()
        time.sleep(IDLE_S)
        after = group.states()
        title = f"{size} voters, heartbeat {heartbeat_s * 1000:.0f} ms"
        print(f"{title}, idle second: {format_costs(before, after, leader, IDLE_S)}", flush=True)
        start = time.monotonic()
        group.send_command(leader, f"propose {COMMANDS}")
        seconds = time.monotonic() - start
        final = group.states()
        committed = final[leader][3] - after[leader][3]
        print(
            f"{title}, command ({committed} in {seconds:.2f} s): "
            f"{format_costs(after, final, leader, committed)}",
            flush=True,
        )
    finally:
        group.close()


def write_commands(folder: str, count: int) -> None:
    """Write the storage files of a single voter that committed a number of commands."""
    storage = Storage(folder)
    machine = BenchStateMachine()
    node = AgreementNode("v0", {"v0": "h:1"}, storage.load("v0"), random.Random(1))
    queue = [*node.tick(0.0), *node.tick(5.0), *node.tick(5.0)]
    now = 5.0
    for _ in range(count):
        now += 0.01
        queue.extend(node.propose(COMMAND, now).effects)
        while queue:
            effect = queue.pop(0)
            if isinstance(effect, Persist):
                storage.persist(effect.records)
            elif isinstance(effect, SaveSnapshot):
                storage.save_snapshot(effect)
            elif isinstance(effect, TakeSnapshot):
                queue.extend(node.snapshot_taken(effect.index, machine.snapshot()))
            elif isinstance(effect, Apply):
                machine.apply(effect.index, effect.command)
    storage.close()


def measure_restart(count: int, folder: str) -> None:
    """Print the time from opening the folder until all commands are restored."""
    write_commands(folder, count)
    size = sum(os.path.getsize(os.path.join(folder, name)) for name in os.listdir(folder))
    start = time.monotonic()
    storage = Storage(folder)
    state = storage.load("v0")
    node = AgreementNode("v0", {"v0": "h:1"}, state, random.Random(1))
    machine = BenchStateMachine()
    snapshot: Snapshot | None = state.snapshot
    if snapshot is not None:
        machine.restore(snapshot.data)
    node.tick(0.0)
    for effect in node.tick(5.0):
        if isinstance(effect, Apply):
            machine.apply(effect.index, effect.command)
    seconds = time.monotonic() - start
    storage.close()
    print(
        f"restart after {count} commands: {seconds * 1000:.1f} ms, {machine.count} restored, "
        f"{len(state.entries)} entries and {size} B read"
    )


def main() -> None:
    """Run all measurements, or one voter process with ``--voter``."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--voter")
    parser.add_argument("--folder")
    parser.add_argument("--addresses")
    parser.add_argument("--heartbeat", type=float)
    options = parser.parse_args()
    if options.voter:
        addresses = json.loads(options.addresses)
        asyncio.run(run_voter(options.voter, options.folder, options.heartbeat, addresses))
        return
    with tempfile.TemporaryDirectory() as folder:
        for count in (500, 5000):
            measure_restart(count, os.path.join(folder, f"restart-{count}"))
        for heartbeat_s in (0.15, 0.3):
            for size in (3, 5, 7):
                measure_group(size, heartbeat_s, os.path.join(folder, f"{size}-{heartbeat_s}"))


if __name__ == "__main__":
    main()
