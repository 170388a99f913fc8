"""Processor time of a daemon per request and per relayed token, and memory per waiting request.

Explanation
===========
One daemon (entry and control voter), one stand-in engine and one stand-in service run on loopback;
this program is the caller. Processor time is read from ``/proc/<pid>/stat`` before and after a
batch, and the idle rate is subtracted. Tokens are measured twice: *paced* streams deliver one event
in each read, as in operation, and *unpaced* ones deliver several. Run ``python -m bench.hot_path``.
With ``--profile FILE``, the daemon runs under the profiler, so the figures are not comparable.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import statistics
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable

import aiohttp

from bench.cost import loop_ns
from mulberrygate.standin.local import (
    LocalSystem,
    pools_table,
    routes_table,
    token_of,
    wait_for,
)

ENTRY = "entry-1"
ACCOUNT = "teranga-field"
TICKS_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# Design goals for the processor time that a daemon adds.
REQUEST_GOAL_S = 0.001
TOKEN_GOAL_S = 15e-6
PARTS = ("requests", "tokens", "waiting")
CONCURRENCY = 16
PROMPT = "Lamp 14: ballast replaced in March, starter in June. " * 20
FEW_TOKENS = 8
MANY_TOKENS = 208
# At this number and speed of streams, each read gets about one event at the daemon's target load.
PACED_TOKENS_S = 100.0
PACED_STREAMS = 32
UNPACED_TOKENS_S = 1e6


def processor_times_s(pid: int) -> tuple[float, float]:
    """Return the processor time of a process in user and in system mode, in seconds."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return int(fields[11]) / TICKS_S, int(fields[12]) / TICKS_S


def processor_s(pid: int) -> float:
    """Return the processor time of a process in seconds."""
    return sum(processor_times_s(pid))


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    with open(f"/proc/{pid}/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * PAGE_BYTES


class BenchSystem(LocalSystem):
    """Local system whose daemons can run under the profiler."""

    def __init__(self, folder: str, profile: str = ""):
        super().__init__(folder)
        self.profile = profile

    def start_daemon(self, name: str) -> None:
        """Start a daemon, under the profiler if a file was given."""
        daemon = self.daemons[name]
        program = ["-m", "mulberrygate.daemon.run", "--settings", daemon.path]
        if self.profile:
            program = ["-m", "cProfile", "-o", os.path.abspath(self.profile), *program]
        daemon.process = self._spawn(program, daemon.log)


def make_system(folder: str, profile: str = "") -> BenchSystem:
    """Return the system of the bench, not yet started."""
    system = BenchSystem(folder, profile)
    system.add_daemons({ENTRY: ("dakar", "dakar-a")}, (ENTRY,))
    fast = {"slots": 256, "prefill_tokens_s": 1e9}
    for name, speed in (("paced", PACED_TOKENS_S), ("unpaced", UNPACED_TOKENS_S)):
        system.add_endpoint("engine", name, name, "dakar-a", decode_tokens_s=speed, **fast)
    system.add_endpoint("engine", "single", "single", "dakar-a", slots=1, decode_tokens_s=0.2)
    system.add_endpoint("service", "booking-1", "booking", "dakar-a", slots=256, delay_s=0.001)
    return system


def make_tables() -> tuple[dict, dict]:
    """Return the tables of the bench, pools first."""
    models = ("paced", "unpaced", "single")
    pools = {name: {"version": "v1", "max_waiting": 10_000} for name in models}
    pools["booking"] = {"kind": "service", "max_waiting": 10_000}
    routes: dict[str, dict] = {
        f"{name}-{tokens}": {"pool": name, "tier": 0, "max_output_tokens": tokens}
        for name in models
        for tokens in (FEW_TOKENS, MANY_TOKENS)
    }
    routes["booking"] = {"pool": "booking", "tier": 0}
    account = {ACCOUNT: {"max_waiting": 10_000}}
    return pools_table(1, pools), routes_table(1, {ACCOUNT: "dakar-a"}, routes, **account)


class Caller:
    """Client that sends requests over persistent connections, as a load balancer does."""

    def __init__(self, address: str):
        self.address = address
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        self.headers = {"Authorization": f"Bearer {token_of(ACCOUNT)}", "Request-Timeout": "60"}

    async def send_model_request(self, route: str) -> None:
        """Send a streamed model request and read its answer to the end."""
        message = {"role": "user", "content": PROMPT}
        body = {"model": route, "messages": [message], "stream": True}
        url = f"http://{self.address}/v1/chat/completions"
        async with self.session.post(url, json=body, headers=self.headers) as answer:
            data = await answer.read()
            if answer.status != 200 or b"[DONE]" not in data:
                raise RuntimeError(f"{route}: {answer.status} {data[-200:]!r}")

    async def send_service_request(self, method: str) -> None:
        """Call the plain service; a POST holds a claim, a GET does not."""
        url = f"http://{self.address}/services/booking/visits"
        async with self.session.request(method, url, headers=self.headers) as answer:
            data = await answer.read()
            if answer.status != 200:
                raise RuntimeError(f"booking: {answer.status} {data!r}")

    async def run_concurrently(
        self, call: Callable[[], Awaitable[None]], count: int, concurrency: int
    ) -> None:
        """Make a number of calls, several at a time."""
        left = iter(range(count))

        async def work() -> None:
            for _ in left:
                await call()

        await asyncio.gather(*(work() for _ in range(concurrency)))


class Meter:
    """Processor time of the daemon beyond its idle rate."""

    def __init__(self, pid: int):
        self.pid = pid
        self.idle_rate = 0.0
        self.user_s = self.system_s = 0.0

    async def measure_idle(self, seconds: float) -> None:
        """Measure the processor time per second without requests."""
        before = processor_s(self.pid)
        started = time.monotonic()
        await asyncio.sleep(seconds)
        self.idle_rate = (processor_s(self.pid) - before) / (time.monotonic() - started)

    async def measure_cost(self, work: Awaitable[None]) -> float:
        """Await some work and return the processor seconds that it took beyond the idle rate."""
        user, system = processor_times_s(self.pid)
        started = time.monotonic()
        await work
        new_user, new_system = processor_times_s(self.pid)
        self.user_s += new_user - user
        self.system_s += new_system - system
        idle = self.idle_rate * (time.monotonic() - started)
        return new_user - user + new_system - system - idle

    def take_system_share(self) -> float:
        """Return the share of system mode since the last call, and reset the counters."""
        share = self.system_s / max(1e-9, self.user_s + self.system_s)
        self.user_s = self.system_s = 0.0
        return share


def print_result(
    name: str, values: list[float], scale: float, unit: str, goal: float, in_system: float
) -> None:
    """Print the median and the range of repeated measurements."""
    middle = statistics.median(values)
    verdict = "reached" if middle < goal else "NOT REACHED"
    print(
        f"{name}: {middle * scale:.3g} {unit} "
        f"({min(values) * scale:.3g} to {max(values) * scale:.3g}; {in_system:.0%} in the kernel), "
        f"goal {goal * scale:g}: {verdict}",
        flush=True,
    )


async def measure_requests(caller: Caller, meter: Meter, count: int, repeats: int) -> None:
    """Print processor time per request by kind."""
    calls = {
        "model request, 8 tokens included": lambda: caller.send_model_request(
            f"unpaced-{FEW_TOKENS}"
        ),
        "plain request with claim (POST)": lambda: caller.send_service_request("POST"),
        "plain request without claim (GET)": lambda: caller.send_service_request("GET"),
    }
    for name, call in calls.items():
        await caller.run_concurrently(call, CONCURRENCY, CONCURRENCY)
        meter.take_system_share()
        values = [
            await meter.measure_cost(caller.run_concurrently(call, count, CONCURRENCY)) / count
            for _ in range(repeats)
        ]
        print_result(name, values, 1e3, "ms", REQUEST_GOAL_S, meter.take_system_share())


async def measure_tokens(caller: Caller, meter: Meter, streams: int, repeats: int) -> None:
    """Print processor time per relayed token, from the difference of long and short answers."""
    for pool, concurrency in (("paced", PACED_STREAMS), ("unpaced", CONCURRENCY)):
        values = []
        for _ in range(repeats):
            spent = [
                await meter.measure_cost(
                    caller.run_concurrently(
                        lambda t=t, p=pool: caller.send_model_request(f"{p}-{t}"),
                        streams,
                        concurrency,
                    )
                )
                for t in (FEW_TOKENS, MANY_TOKENS)
            ]
            values.append((spent[1] - spent[0]) / streams / (MANY_TOKENS - FEW_TOKENS))
        in_system = meter.take_system_share()
        print_result(f"relayed token, {pool}", values, 1e6, "us", TOKEN_GOAL_S, in_system)


async def measure_waiting(system: LocalSystem, caller: Caller, pid: int, count: int) -> None:
    """Print resident memory per waiting request, from the difference of two queue lengths."""
    points = []
    tasks: list[asyncio.Task] = []

    async def waiting() -> int:
        status = await system.json(ENTRY, "/admin/status")
        state = status.get("instances", {}).get(ENTRY, {})
        return state.get("pools", {}).get("single", {}).get("waiting", 0)

    async def has_waiting(number: int) -> bool:
        return await waiting() >= number

    for number in (count // 3, count):
        while len(tasks) < number + 8:
            tasks.append(asyncio.ensure_future(caller.send_model_request(f"single-{MANY_TOKENS}")))
        await wait_for(lambda n=number: has_waiting(n), f"{number} requests wait")
        points.append((await waiting(), resident_bytes(pid)))
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    (few, small), (many, large) = points
    bytes_per_request = (large - small) / (many - few)
    print(
        f"resident memory per waiting request ({few} to {many}): {bytes_per_request / 1e3:.1f} kB"
    )
    print(f"resident memory with {many} waiting: {large / 1e6:.0f} MB", flush=True)


async def measure(folder: str, options: argparse.Namespace) -> None:
    """Start the system, run the selected measurements and stop it."""
    system = make_system(folder, options.profile)
    caller = None
    try:
        await system.start()
        for table in make_tables():
            await system.apply_and_wait(ENTRY, table)
        await system.wait_ready()
        await system.wait_endpoints(ENTRY)
        pid = system.daemons[ENTRY].process.pid
        caller, meter = Caller(system.daemons[ENTRY].http_address), Meter(pid)
        await meter.measure_idle(2.0 if options.quick else 5.0)
        print(f"idle: {100 * meter.idle_rate:.2f}% of a core, {resident_bytes(pid) / 1e6:.0f} MB")
        print(f"an empty loop takes {loop_ns():.0f} ns a step, as a measure of the machine's speed")
        if "requests" in options.parts:
            await measure_requests(caller, meter, options.requests, options.repeats)
        if "tokens" in options.parts:
            await measure_tokens(caller, meter, options.streams, options.repeats)
        if "waiting" in options.parts:
            await measure_waiting(system, caller, pid, options.waiting)
        system.terminate(ENTRY)
        await system.wait_ended(ENTRY)
    finally:
        if caller is not None:
            await caller.session.close()
        await system.close()


def main() -> int:
    """Parse the options and run the bench in a temporary folder."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=400)
    parser.add_argument("--streams", type=int, default=96)
    parser.add_argument("--waiting", type=int, default=600)
    parser.add_argument("--repeats", type=int, default=3)
    parser.add_argument("--quick", action="store_true", help="shorter run with wider errors")
    parser.add_argument("--parts", nargs="*", choices=PARTS, default=list(PARTS))
    parser.add_argument("--profile", default="", metavar="FILE", help="profile the daemon")
    options = parser.parse_args()
    if options.quick:
        options.requests, options.streams, options.repeats = 200, 64, 2
    with tempfile.TemporaryDirectory(prefix="mulberrygate-hot-") as folder:
        asyncio.run(measure(folder, options))
    return 0


if __name__ == "__main__":
    sys.exit(main())
