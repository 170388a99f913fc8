"""A GET that crashes the replicas that run it is sent to replicas on and on."""

from __future__ import annotations

import asyncio
import collections
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

import deployment as d

DEADLY_PATH = "/stock/deadly"
# A replica that crashed is back after this time, as a new incarnation under a new name.
DOWN_S = 2.0
LOAD_S = 25.0
# Time between two repetitions of the request, and of each ordinary client.
REPEAT_S, ORDINARY_S = 0.5, 0.2
ORDINARY_CLIENTS = 4
# The rule allows so many retries later than `contactMs` after the third crash.
MOST_RETRIES = 3


class CrashingServer(d.Server):
    """Replica that ends when it begins to run one request, and comes back after a while."""

    def __init__(self, *arguments, crashes: bool, log: list[float]):
        super().__init__(*arguments)
        self.first_name = self.name
        self.starts = 1
        self.crashes = crashes
        self.log = log
        self.writers: set[asyncio.StreamWriter] = set()
        self.is_down = False

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            await super()._serve(reader, writer)
        finally:
            self.writers.discard(writer)

    async def handle(self, run: d.Run, writer: asyncio.StreamWriter) -> bool:
        """Run a request, or crash under it."""
        if not self.crashes or run.path != DEADLY_PATH or self.is_down:
            return await super().handle(run, writer)
        self.log.append(time.monotonic())
        self.record.add(f"{self.name} crashes under {run.request}")
        self.is_down = True
        self.listener.close()
        while self.tasks:
            self.tasks.pop().cancel()
        for open_writer in list(self.writers):
            open_writer.transport.abort()
        self.restart = asyncio.create_task(self._restart())
        return False

    async def _restart(self) -> None:
        await asyncio.sleep(DOWN_S)
        host, port = self.address.split(":")
        self.starts += 1
        self.name = f"{self.first_name}-{self.starts}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.is_down = False
        self.listener = await asyncio.start_server(self._serve, host, int(port), reuse_address=True)
        self.tasks.append(asyncio.create_task(self._beat_forever()))
        self.record.add(f"{self.name} is up")


async def case(record: d.Record, has_trouble: bool) -> bool:
    """Repeat one request at all frontends; return whether it stops to reach replicas."""
    deployment = d.Deployment(record)
    log: list[float] = []
    servers = [
        CrashingServer(deployment, f"i-{number}", "tournee", zone, crashes=has_trouble, log=log)
        for number, zone in enumerate(d.ZONES, 1)
    ]
    statuses: collections.Counter = collections.Counter()

    async def repeat(kind: str, path: str, pause_s: float, end: float) -> None:
        number = 0
        while time.monotonic() < end:
            request = f"{kind}-{number}"
            frontend = deployment.frontends[number % len(deployment.frontends)]
            number += 1
            answer = await d.ask(
                frontend.ip, deployment.entry_port, "GET", path, headers=d.client_headers(request)
            )
            status = answer.status if answer else 0
            statuses[kind.split("-")[0], status] += 1
            record.add(f"client gets {status or 'no answer'} for {request}")
            await asyncio.sleep(pause_s)

    try:
        await deployment.start()
        for server in servers:
            await server.start()
        stock = d.route("stock", "/stock/", "idempotent", "tournee")
        await deployment.apply(d.document(1, [stock], ["tournee"]))
        await deployment.wait_ready()
        await asyncio.sleep(5.0)
        end = time.monotonic() + LOAD_S
        ordinary = [
            repeat(f"ordinary-{number}", f"/stock/{number}", ORDINARY_S, end)
            for number in range(ORDINARY_CLIENTS)
        ]
        await asyncio.gather(repeat("deadly", DEADLY_PATH, REPEAT_S, end), *ordinary)
    finally:
        for server in servers:
            await server.stop()
        deployment.stop()
    for (kind, status), count in sorted(statuses.items()):
        record.say(f"{kind}: status {status or 'none'}: {count}")
    if not statuses["ordinary", 200]:
        raise d.NotRun("no ordinary request was served")
    if not has_trouble:
        return True
    if len(log) < 3:
        raise d.NotRun(f"the request has crashed {len(log)} replicas only")
    from_s = log[2] + d.BOUNDS["contactMs"] / 1000
    late = sum(at > from_s for at in log)
    record.say(f"{len(log)} crashes, {late} of them later than contactMs after the third")
    return late <= MOST_RETRIES


if __name__ == "__main__":
    sys.exit(d.run_case(Path(__file__).parent, case))
