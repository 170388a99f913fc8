"""Measure how the cost of a daemon grows with the size of the system, for ``docs/CAPACITY.md``.

Explanation
===========
Each part measures at several values of one size and fits a line by least squares. A line is printed
as ``intercept + slope * size``, with the standard error of the slope and the largest distance of a
point from the line. Up to 24 daemons run as real processes; larger systems are simulated with the
decision classes at virtual time. Processor time comes from ``/proc/<pid>/stat``; bytes are message
bodies from ``/metrics``, without the overhead of frames, HTTP/2 and TCP. Run
``python -m bench.slopes``, or one part with ``--parts``.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import json
import random
import statistics
import sys
import tempfile
import time
import tracemalloc
from collections import Counter
from collections.abc import Callable, Iterable

import attrs

from bench import cost, ledger
from bench.hot_path import FEW_TOKENS, Caller, processor_s
from bench.members import OVERHEAD_BYTES, System
from mulberrygate.control.commands import ApplyTable
from mulberrygate.control.configuration import Configuration
from mulberrygate.control.decoded import DecodedConfiguration
from mulberrygate.control.state import ControlState, encode_value
from mulberrygate.control.views import ViewPlanner
from mulberrygate.core import encode
from mulberrygate.daemon.control_voter import LEADER_TICK_S
from mulberrygate.endpoints import Announcement, Directory
from mulberrygate.ledger import ReplicaId, Shard, View
from mulberrygate.members.membership import Membership
from mulberrygate.members.rendezvous import choose, rank
from mulberrygate.members.tests.network import make_member
from mulberrygate.members.view import MembershipView
from mulberrygate.schedule.messages import pool_subject
from mulberrygate.standin.local import LocalSystem, pools_table, routes_table
from mulberrygate.tables import parse_table

ACCOUNT = "teranga-field"
SENT_MESSAGES = "mulberrygate_peer_sent_messages_total"
SENT_BYTES = "mulberrygate_peer_sent_bytes_total"
# Time until all connections are open and the membership tables are complete.
WARMUP_S = 8.0
DOMAINS = ("a", "b", "c")


@attrs.frozen
class FittedLine:
    """Line fitted to points by least squares, with the standard error of its slope."""

    intercept: float
    slope: float
    slope_error: float
    largest_residual: float


def fit_line(points: Iterable[tuple[float, float]]) -> FittedLine:
    """Fit a line to points; the standard error needs at least three points."""
    xs, ys = zip(*points, strict=True)
    slope, intercept = statistics.linear_regression(xs, ys)
    residuals = [y - intercept - slope * x for x, y in zip(xs, ys, strict=True)]
    mean_x = statistics.mean(xs)
    squares_x = sum((x - mean_x) ** 2 for x in xs)
    degrees_of_freedom = max(1, len(xs) - 2)
    error = (sum(residual**2 for residual in residuals) / degrees_of_freedom / squares_x) ** 0.5
    return FittedLine(intercept, slope, error, max(map(abs, residuals)))


def print_line(name: str, unit: str, size: str, points: list[tuple[float, float]]) -> None:
    """Print points and the line fitted to them."""
    line = fit_line(points)
    text = ", ".join(f"{x:g}: {y:.4g}" for x, y in points)
    print(
        f"  {name} [{unit}] by {size}: {line.intercept:.4g} + {line.slope:.4g} "
        f"(+-{line.slope_error:.2g}) * {size}; largest distance {line.largest_residual:.2g}; "
        f"points {text}",
        flush=True,
    )


@attrs.frozen
class Sample:
    """Counters of one daemon, read at one time; messages and bytes sent are by kind."""

    at: float
    processor_s: float
    messages: Counter[str]
    bytes: Counter[str]


def parse_counter(text: str, name: str) -> Counter[str]:
    """Return a counter's values by kind from the text of ``/metrics``."""
    values: Counter[str] = Counter()
    for line in text.splitlines():
        if line.startswith(name + "{"):
            labels, _, value = line.rpartition(" ")
            values[labels.partition('kind="')[2].partition('"')[0]] = int(float(value))
    return values


async def take_sample(system: LocalSystem, name: str) -> Sample:
    """Read a daemon's counters."""
    used = processor_s(system.daemons[name].process.pid)
    _, body, _ = await system.call(name, "GET", "/metrics")
    text = body.decode()
    return Sample(
        time.monotonic(), used, parse_counter(text, SENT_MESSAGES), parse_counter(text, SENT_BYTES)
    )


async def take_samples(system: LocalSystem) -> dict[str, Sample]:
    """Read the counters of all daemons."""
    return {name: await take_sample(system, name) for name in system.daemons}


def daemon_places(number: int) -> dict[str, tuple[str, str]]:
    """Return the region and failure domain of each of a number of daemons."""
    return {f"n{i:02d}": ("west", DOMAINS[i % len(DOMAINS)]) for i in range(number)}


async def start_system(system: LocalSystem) -> None:
    """Start a system with one model pool and one service pool, and wait until it serves."""
    await system.start()
    entry = next(iter(system.daemons))
    pools = {"model": {"max_waiting": 10_000}, "booking": {"kind": "service"}}
    routes = {
        "model": {"pool": "model", "tier": 0, "max_output_tokens": FEW_TOKENS},
        "booking": {"pool": "booking", "tier": 0},
    }
    await system.apply_and_wait(entry, pools_table(1, pools))
    await system.apply_and_wait(entry, routes_table(1, {ACCOUNT: "a"}, routes))
    await system.wait_ready()
    await asyncio.sleep(WARMUP_S)


async def find_leader(system: LocalSystem) -> str:
    """Return the name of the control leader."""
    status = await system.json(next(iter(system.daemons)), "/admin/status")
    instances = status["instances"].items()
    return next(name for name, state in instances if state.get("control") == "leader")


def assign_roles(places: dict[str, tuple[str, str]], voters: tuple[str, ...], leader: str) -> dict:
    """Return the names of the daemons by role; a relay that is also a voter counts as a voter."""
    relays = set()
    for domain in DOMAINS:
        domain_members = [name for name, (_, place) in places.items() if place == domain]
        relays.update(rank("relay", domain_members)[:2])
    rest = set(places) - relays - set(voters)
    others = {"relay": relays - set(voters), "voter": set(voters) - {leader}, "plain entry": rest}
    return {"leader": {leader}, **others}


async def measure_idle(number: int, seconds: float) -> dict[str, dict[str, float]]:
    """Return the mean figures of a daemon by role, in a system without requests."""
    places = daemon_places(number)
    voters = tuple(places)[:3]
    with tempfile.TemporaryDirectory(prefix="mulberrygate-slopes-") as folder:
        system = LocalSystem(folder)
        system.add_daemons(places, voters)
        try:
            await start_system(system)
            roles = assign_roles(places, voters, await find_leader(system))
            before = await take_samples(system)
            await asyncio.sleep(seconds)
            after = await take_samples(system)
        finally:
            await system.close()
    return {
        role: compute_idle_figures(names, before, after)
        for role, names in roles.items()
        if len(names)
    }


def compute_idle_figures(names: set[str], before: dict, after: dict) -> dict[str, float]:
    """Return the mean figures per second of a group of daemons, between two samples."""
    figures: Counter[str] = Counter()
    for name in names:
        old, new = before[name], after[name]
        share = 1 / len(names) / (new.at - old.at)
        figures["processor %"] += 100 * share * (new.processor_s - old.processor_s)
        figures["sent B/s"] += share * ((new.bytes - old.bytes).total())
        figures["sent messages/s"] += share * ((new.messages - old.messages).total())
        for kind, size in (new.bytes - old.bytes).items():
            figures[f"B/s {kind.partition('.')[0]}"] += share * size
    return dict(figures)


def report_idle(quick: bool) -> None:
    """Print the idle control cost of real processes by number of daemons and role."""
    print("(a) idle control cost of real processes, 3 failure domains, 3 voters", flush=True)
    numbers = (3, 6, 12) if quick else (3, 6, 12, 24)
    results = {n: asyncio.run(measure_idle(n, 6.0 if quick else 10.0)) for n in numbers}
    for role in ("leader", "voter", "relay", "plain entry"):
        found = {n: result[role] for n, result in results.items() if role in result}
        if len(found) < 2:
            print(f"  {role}: at fewer than two sizes")
            continue
        for figure in ("processor %", "sent B/s", "sent messages/s"):
            points = [(n, figures.get(figure, 0.0)) for n, figures in found.items()]
            print_line(f"{role}, {figure}", "a daemon", "daemons", points)
        largest = found[max(found)]
        parts = ", ".join(f"{k[4:]} {v:.0f}" for k, v in sorted(largest.items()) if k[:4] == "B/s ")
        print(f"  {role}, bytes/s by part at {max(found)} daemons: {parts}")


def start_virtual_system(number: int) -> System:
    """Return a converged system in 6 failure domains at virtual time, after 20 changes."""
    system = System(number, 6, max(6, number * 100 // 60), 4, 1)
    system.network.run(45)
    system.publish(20)
    system.network.run(10)
    return system


def stop_domain(system: System) -> None:
    """Stop all instances and endpoints of a failure domain that doesn't hold the leader."""
    lost = next(d for d in set(system.places.values()) if d != system.places[system.leader])
    for name, domain in system.places.items():
        if domain == lost:
            system.crash(name)
    domains = len(set(system.places.values()))
    for index, endpoint in enumerate(list(system.sequences)):
        if f"d{index % domains}" == lost:
            del system.sequences[endpoint]


def measure_virtual(system: System, seconds: float) -> dict[str, float]:
    """Return the figures of the decision classes by role, with one change in the interval."""
    network = system.network
    hosts = [network.hosts[name] for name in sorted(system.live)]
    for host in hosts:
        host.reset()
    network.run(1)
    system.publish()
    network.run(seconds - 1)
    view = system.members[system.leader].view()
    relays = {name for domain in view.domains for name in view.relays(domain)}
    leader = network.hosts[system.leader]
    groups = {
        "plain entry": [h for h in hosts if h.name not in relays and h is not leader],
        "relay": [h for h in hosts if h.name in relays],
        "leader": [leader],
    }
    figures: dict[str, float] = {}
    for role, members in groups.items():
        count = max(1, len(members)) * seconds
        sent = sum(h.sent_bytes for h in members) / count
        messages = sum(h.sent_messages for h in members) / count
        figures[f"{role}, sent B/s"] = sent
        figures[f"{role}, wire B/s (estimate)"] = sent + OVERHEAD_BYTES * messages
        figures[f"{role}, messages/s"] = messages
        figures[f"{role}, processor %"] = 100 * sum(h.seconds for h in members) / count
    return figures


def print_virtual_lines(results: dict[int, dict[str, float]]) -> None:
    """Print the fitted line of each figure by number of daemons."""
    for figure in results[max(results)]:
        points = [(n, result[figure]) for n, result in results.items()]
        print_line(figure, "a daemon", "daemons", points)


def report_virtual(quick: bool) -> None:
    """Print the cost of membership, distribution and endpoints by number of daemons."""
    print("(b) decision classes at virtual time, 6 failure domains, 1.7 endpoints a daemon, seed 1")
    numbers = (18, 24, 48) if quick else (24, 60, 120, 360)
    seconds = 10 if quick else 20
    print_virtual_lines({n: measure_virtual(start_virtual_system(n), seconds) for n in numbers})


def report_loss(quick: bool) -> None:
    """Print the cost of `report_virtual` in the seconds after a whole failure domain is lost."""
    print("(b) the same in the 10 s after 1 of 6 failure domains is lost, seed 1")
    results = {}
    for number in (18, 24, 48) if quick else (24, 60, 120, 240):
        system = start_virtual_system(number)
        stop_domain(system)
        system.publish()
        in_force = system.network.run_until(system.is_in_force, 30, 0.02)
        print(f"  {number} daemons: change made at the loss in force after {in_force:.2f} s")
        results[number] = measure_virtual(system, 10)
    print_virtual_lines(results)


async def measure_requests(counts: tuple[int, ...]) -> None:
    """Print cost per request at the entry, the pool's owner and a ledger replica."""
    places = {f"n{i:02d}": ("west", "a") for i in range(6)}
    voters = ("n03", "n04", "n05")
    owners = {choose(pool_subject(p), places) for p in ("model", "booking")}
    entry = next(name for name in places if name not in owners | set(voters))
    with tempfile.TemporaryDirectory(prefix="mulberrygate-slopes-") as folder:
        system = LocalSystem(folder)
        system.add_daemons(places, voters)
        fast = {"slots": 256, "prefill_tokens_s": 1e9, "decode_tokens_s": 1e6}
        system.add_endpoint("engine", "engine", "model", "a", **fast)
        system.add_endpoint("service", "booking", "booking", "a", slots=256, delay_s=0.001)
        caller = None
        try:
            await start_system(system)
            await system.wait_endpoints(entry)
            caller = Caller(system.daemons[entry].http_address)
            idle = await idle_rates(system, 5.0)
            for pool, call in (
                ("model", lambda: caller.send_model_request("model")),
                ("booking", lambda: caller.send_service_request("POST")),
            ):
                owner = choose(pool_subject(pool), places)
                await caller.run_concurrently(call, 32, 16)
                await report_requests(system, caller, call, counts, idle, (pool, entry, owner))
        finally:
            if caller is not None:
                await caller.session.close()
            await system.close()


async def idle_rates(system: LocalSystem, seconds: float) -> dict[str, tuple[float, float]]:
    """Return processor time and bytes a second of each daemon without requests."""
    before = await take_samples(system)
    await asyncio.sleep(seconds)
    after = await take_samples(system)
    return {
        name: (
            (new.processor_s - before[name].processor_s) / (new.at - before[name].at),
            (new.bytes - before[name].bytes).total() / (new.at - before[name].at),
        )
        for name, new in after.items()
    }


async def report_requests(system, caller, call, counts, idle, names) -> None:
    """Print the fitted lines of processor time and bytes by number of requests for each role."""
    pool, entry, owner = names
    rows: dict[str, list[tuple[float, float]]] = {}
    replicas = [n for n in system.daemons if n not in (entry, owner)]
    kinds: Counter[str] = Counter()
    total = 0
    for count in counts:
        before = await take_samples(system)
        await caller.run_concurrently(call, count, 16)
        await asyncio.sleep(0.5)
        after = await take_samples(system)
        spent, sent = {}, {}
        for name, new in after.items():
            old = before[name]
            rate, bytes_rate = idle[name]
            spent[name] = 1e3 * (new.processor_s - old.processor_s - rate * (new.at - old.at))
            sent[name] = (new.bytes - old.bytes).total() - bytes_rate * (new.at - old.at)
            kinds += new.bytes - old.bytes
        total += count
        for role, members in (("entry", [entry]), ("pool's owner", [owner])):
            rows.setdefault(f"{role}, processor ms", []).append((count, spent[members[0]]))
            rows.setdefault(f"{role}, sent B", []).append((count, sent[members[0]]))
        total_others = sum(spent[n] for n in replicas)
        rows.setdefault(f"{len(replicas)} others together, processor ms", []).append(
            (count, total_others)
        )
        total_others = sum(sent[n] for n in replicas)
        rows.setdefault(f"{len(replicas)} others together, sent B", []).append(
            (count, total_others)
        )
    print(f"  {pool}: entry {entry}, owner {owner}; 32 shards spread over 6 daemons")
    for name, points in rows.items():
        print_line(f"{pool}, {name}", "in all", "requests", points)
    used = {k: v for k, v in kinds.items() if k.partition(".")[0] in ("ledger", "schedule")}
    text = ", ".join(f"{k} {v / total:.0f}" for k, v in sorted(used.items()))
    print(f"  {pool}, bytes a request over all daemons, by kind: {text}")


def report_requests_cost(quick: bool) -> None:
    """Print the cost of requests by role."""
    print("(c) requests: 6 daemons in one failure domain, callers at one entry", flush=True)
    asyncio.run(measure_requests((100, 200, 300) if quick else (100, 200, 400, 800)))


def make_routes(version: int, accounts: int) -> dict:
    """Return a routes table with a number of accounts and a tenth as many routes."""
    homes = {f"client-{n:04d}": f"d{n % 6}" for n in range(accounts)}
    routes = {f"route-{n:03d}": {"pool": "care", "tier": n % 4} for n in range(accounts // 10)}
    return routes_table(version, homes, routes)


def apply_table(state: ControlState, index: int, table: dict) -> float:
    """Apply a table and return the processor time."""
    content = json.dumps(table).encode()
    digest = parse_table(content, table["table"]).digest
    command = ApplyTable(table["table"], table["version"], content, digest, "ana", 0.0)
    started = time.process_time()
    result = state.apply(index, command)
    seconds = time.process_time() - started
    if result.code:
        raise RuntimeError(f"the table was refused: {result.detail}")
    return seconds


def make_state(accounts: int) -> ControlState:
    """Return the control state with tables and 192 shards of the ledger."""
    state = ControlState()
    apply_table(state, 1, pools_table(1, {"care": {}}))
    apply_table(state, 2, make_routes(1, accounts))
    for domain in range(6):
        for number in range(32):
            view = View(1, tuple(ReplicaId(f"instance-{domain}-{n}", 1) for n in range(3)))
            shard = Shard(f"d{domain}", number, view)
            state.configuration.put("shards", shard.name(), 2, encode_value(shard))
    return state


def trace_allocations(make: Callable[[], object]) -> tuple[float, object]:
    """Return the bytes that creating an object allocates and keeps, and the object."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    made = make()
    gc.collect()
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return used, made


def measure_accounts(accounts: int) -> dict[str, float]:
    """Return the memory and times of the configuration with a number of client accounts."""
    state = make_state(accounts)

    def copy() -> tuple[Configuration, DecodedConfiguration]:
        configuration = Configuration()
        configuration.apply(state.changes_since(0))
        return configuration, DecodedConfiguration(configuration)

    memory_bytes, (configuration, decoded) = trace_allocations(copy)
    table = make_routes(2, accounts)
    table["accounts"]["client-0000"]["weight"] = 2.0
    leader_s = apply_table(state, 3, table)
    delta = state.changes_since(configuration.revision)
    started = time.process_time()
    configuration.apply(delta)
    decoded.refresh()
    entry_s = time.process_time() - started
    return {
        "copy of the configuration kB": memory_bytes / 1e3,
        "table file kB": len(json.dumps(table)) / 1e3,
        "snapshot kB": len(state.snapshot()) / 1e3,
        "voter applies a change, ms": 1e3 * leader_s,
        "entry takes a change, ms": 1e3 * entry_s,
        "delta of one account, B": len(encode(delta)[1]),
    }


def measure_changes(changes: int) -> dict[str, float]:
    """Return the snapshot size and apply time of the control state after a number of changes."""
    state = make_state(100)
    times = []
    for number in range(changes):
        table = make_routes(2 + number, 100)
        table["accounts"]["client-0000"]["weight"] = 1.0 + number % 7
        times.append(apply_table(state, 3 + number, table))
    return {
        "snapshot kB": len(state.snapshot()) / 1e3,
        "median apply of the last 20, ms": 1e3 * statistics.median(times[-20:]),
    }


def place_shards(view: MembershipView) -> tuple[ViewPlanner, dict[str, Shard]]:
    """Return a planner and the shards of all domains with active views and complete replicas."""
    planner, shards = ViewPlanner(), {}
    while plan := planner.plan(view, shards, 1.0, 1.0).shards:
        for shard in plan:
            if shard.preparing is not None:
                shard = attrs.evolve(shard, active=shard.preparing, preparing=None)
            shards[shard.name()] = shard
    return planner, shards


def measure_planner(daemons: int) -> float:
    """Return the processor time in % of the leader's planner, called every `LEADER_TICK_S`."""
    names = [(f"i{n:03d}", f"d{n % 6}") for n in range(daemons)]
    view = MembershipView({name: make_member(name, domain) for name, domain in names})
    planner, shards = place_shards(view)
    started = time.process_time()
    for _ in range(20):
        planner.plan(view, shards, 2.0, 2.0)
    return 100 * (time.process_time() - started) / 20 / LEADER_TICK_S


def report_planner(quick: bool) -> None:
    """Print the processor time of the leader's planner by number of daemons."""
    print("(d) planner of the ledger's views at the leader, 6 failure domains, 192 shards")
    sizes = (24, 60, 120) if quick else (24, 60, 120, 360)
    points = [(n, measure_planner(n)) for n in sizes]
    print_line("leader, planner, processor %", "a daemon", "daemons", points)


def report_tables(quick: bool) -> None:
    """Print the memory and time of tables by number of accounts and by number of changes."""
    print("(d) tables with 192 shards and a tenth as many routes as accounts", flush=True)
    sizes = (100, 400, 800) if quick else (100, 400, 800, 1200, 1700)
    results = {n: measure_accounts(n) for n in sizes}
    for figure in results[sizes[0]]:
        points = [(n, result[figure]) for n, result in results.items()]
        print_line(figure, "a daemon", "accounts", points)
    counts = (50, 100, 200) if quick else (100, 400, 800)
    results = {n: measure_changes(n) for n in counts}
    for figure in results[counts[0]]:
        points = [(n, result[figure]) for n, result in results.items()]
        print_line(f"100 accounts, {figure}", "a voter", "changes", points)


def make_directory(count: int) -> Directory:
    """Return a directory with a number of endpoints in its failure domain."""
    view = MembershipView({"n": make_member("n", "d0")})
    directory = Directory("n", "d0", lambda: view, random.Random(1))
    for number in range(count):
        announcement = Announcement(
            endpoint=f"endpoint-{number:04d}",
            incarnation=1,
            sequence=1,
            address=f"10.0.0.{number % 250}:8000",
            pool="care",
            failure_domain="d0",
            region="region0",
            version="v1",
            hardware="h1",
            slots=16,
            cached_prefixes=tuple(f"{n + 512 * number:016x}" for n in range(100)),
            cache_sequence=100,
        )
        directory.announce(announcement, 100.0)
    return directory


def make_membership(count: int) -> Membership:
    """Return the membership of an instance that knows a number of members."""
    membership = Membership(make_member("self", "d0"), (), random.Random(1))
    membership.merge([make_member(f"i{n:04d}", f"d{n % 6}") for n in range(count)], 100.0)
    membership.view()
    return membership


def make_replica(count: int) -> object:
    """Return peers whose replica holds a number of ledger records with answers of 200 bytes."""
    peers, _ = ledger.make_cluster(["instance-1"], "")
    ledger.fill_replica(peers.replicas["instance-1"], count, b"x" * 200)
    return peers


def report_memory(quick: bool) -> None:
    """Print the memory of objects by number of their elements."""
    print("(e) memory of objects, traced by the allocator", flush=True)
    for name, make, sizes in (
        ("endpoint with 100 cached prefixes", make_directory, (50, 100, 200)),
        ("member", make_membership, (60, 180, 360)),
        ("ledger record with a 200 B answer", make_replica, (1000, 5000, 20_000)),
    ):
        points = [(n, trace_allocations(lambda make=make, n=n: make(n))[0]) for n in sizes]
        print_line(name, "bytes", name.split()[0], points)
    tickets = [(n, cost.measure(cost.ENDPOINTS * 17, n)[1] * n) for n in (200, 500, 1000)]
    print_line(
        "waiting request at the pool's owner, beside its ticket", "bytes", "waiting", tickets
    )


PARTS = {
    "idle": report_idle,
    "virtual": report_virtual,
    "loss": report_loss,
    "requests": report_requests_cost,
    "tables": report_tables,
    "planner": report_planner,
    "memory": report_memory,
}


def main() -> int:
    """Run the parts and print how long each took."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--parts", nargs="*", choices=PARTS, default=list(PARTS))
    parser.add_argument("--quick", action="store_true", help="fewer and smaller points")
    options = parser.parse_args()
    print(
        f"an empty loop takes {cost.loop_ns():.0f} ns a step, as a measure of the machine's speed"
    )
    for name in options.parts:
        started = time.monotonic()
        PARTS[name](options.quick)
        print(f"  measured in {time.monotonic() - started:.0f} s", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
