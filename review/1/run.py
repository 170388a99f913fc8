"""A request that may run once is run twice when its answer is lost, if its method is PUT."""

from __future__ import annotations

import asyncio
import collections
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

import deployment as d

# Methods of the requests; all use one route of the kind `non_idempotent`.
METHODS = ("PUT", "DELETE", "GET", "POST")
REQUESTS = 200
CLIENTS = 10
SEED = 1
# Three of five servers lose the answers of two in five requests that they ran.
SERVERS, LOSING_SERVERS = 5, 3
LOST, OF = 2, 5


class LosingServer(d.Server):
    """Server that runs requests and whose connection is reset before some answers."""

    loses = False

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.counts: collections.Counter = collections.Counter()

    def answer_run(self, run, writer) -> bool:
        """Answer a request that ran, or reset its connection."""
        if self.loses:
            self.counts[run.method] += 1
            if self.counts[run.method] % OF < LOST:
                self.record.add(f"{self.name} resets the connection of {run.request}")
                writer.transport.abort()
                return False
        return super().answer_run(run, writer)


async def case(record: d.Record, has_trouble: bool) -> bool:
    """Send bookings, count the runs of each, and return whether none ran twice."""
    deployment = d.Deployment(record)
    servers = [
        LosingServer(deployment, f"i-{number}", "tournee", list(d.ZONES)[number % len(d.ZONES)])
        for number in range(SERVERS)
    ]
    statuses: collections.Counter = collections.Counter()
    try:
        await deployment.start()
        for server in servers:
            await server.start()
        booking = d.route("booking", "/visits/", "non_idempotent", "tournee")
        await deployment.apply(d.document(1, [booking], ["tournee"]))
        await deployment.wait_ready()
        await asyncio.sleep(4.0)
        for server in servers[:LOSING_SERVERS]:
            server.loses = has_trouble

        rng = random.Random(SEED)

        async def send(number: int) -> None:
            method = rng.choice(METHODS)
            request = f"{number:04d}-{method.lower()}"
            frontend = rng.choice(deployment.frontends)
            record.add(f"client sends {request} to {frontend.name}: {method} /visits/{number}")
            answer = await d.ask(
                frontend.ip,
                deployment.entry_port,
                method,
                f"/visits/{number}",
                b"" if method in ("GET", "DELETE") else b"van 4, tube 7",
                d.client_headers(request),
            )
            status = answer.status if answer else 0
            statuses[method, status] += 1
            record.add(f"client gets {status or 'no answer'} for {request}")

        for first in range(0, REQUESTS, CLIENTS):
            await asyncio.gather(*(send(n) for n in range(first, min(first + CLIENTS, REQUESTS))))
            await asyncio.sleep(0.1)
        await asyncio.sleep(1.0)
    finally:
        for server in servers:
            await server.stop()
        deployment.stop()
    runs = collections.Counter(run.request for server in servers for run in server.runs)
    if len(runs) < REQUESTS // 2:
        raise d.NotRun(f"only {len(runs)} requests ran")
    twice = sorted(request for request, count in runs.items() if count > 1)
    for (method, status), count in sorted(statuses.items()):
        record.say(f"{method}: status {status or 'none'}: {count}")
    record.say(f"{len(runs)} of {REQUESTS} requests ran, {len(twice)} of them twice: {twice}")
    return not twice


if __name__ == "__main__":
    sys.exit(d.run_case(Path(__file__).parent, case))
