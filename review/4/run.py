"""Requests that wait for a replica at a planned stop are cut off without an answer."""

from __future__ import annotations

import asyncio
import collections
import signal
import subprocess
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

import deployment as d

# The replica serves 2 requests a second, so that some of them wait.
SLOTS, WORK_S = 6, 3.0
REQUESTS_PER_S = 4.0
# One request in this number goes to the frontend that isn't stopped; the balancer shares unevenly.
OTHER_EVERY = 6
LOAD_S = 24.0
# The balancer opens no new connections once two readiness checks, one a second, have failed.
SENT_AFTER_S = 1.5
DEADLINE_MS = 12_000


async def case(record: d.Record, has_trouble: bool) -> bool:
    """Stop a frontend with waiting requests; return whether all of them get an answer."""
    deployment = d.Deployment(record)
    server = d.Server(deployment, "i-server", "tournee", "thies-nord", slots=SLOTS, work_s=WORK_S)
    stopped, other = deployment.frontends
    answers: dict[str, int] = {}
    cut_early: set[str] = set()
    tasks: list[asyncio.Task] = []

    async def send(frontend: d.Machine, request: str) -> None:
        sent_at = time.monotonic()
        record.add(f"client sends {request} to {frontend.name}")
        headers = {
            **d.client_headers(request),
            "X-Mulberrygate-Request-Deadline": str(DEADLINE_MS),
        }
        answer = await d.ask(
            frontend.ip,
            deployment.entry_port,
            "POST",
            "/visits/1",
            b"van 4, tube 7",
            headers,
            limit_s=DEADLINE_MS / 1000 + 1.0,
        )
        took_s = time.monotonic() - sent_at
        answers[request] = answer.status if answer else 0
        if answer is None and took_s < DEADLINE_MS / 1000 - 0.5:
            cut_early.add(request)
        what = f"a complete answer, status {answer.status}" if answer else "no complete answer"
        record.add(f"client has {what} to {request} after {took_s:.2f} s")

    async def load(seconds: float, phase: str) -> None:
        for number in range(int(seconds * REQUESTS_PER_S)):
            frontend = other if number % OTHER_EVERY == 0 else stopped
            request = f"{phase}-{number}-at-{frontend.name}"
            tasks.append(asyncio.create_task(send(frontend, request)))
            await asyncio.sleep(1 / REQUESTS_PER_S)

    async def stop_frontend() -> None:
        try:
            await asyncio.to_thread(stopped.process.wait, d.BOUNDS["graceS"])
        except subprocess.TimeoutExpired:
            deployment.signal_machine(stopped, signal.SIGKILL)
        record.add(f"process {stopped.name} has ended")

    try:
        await deployment.start()
        await server.start()
        visits = d.route("visits", "/visits/", "non_idempotent", "tournee", timeoutMs=DEADLINE_MS)
        await deployment.apply(d.document(1, [visits], ["tournee"]))
        await deployment.wait_ready()
        await asyncio.sleep(5.0)
        await load(LOAD_S, "before")
        if has_trouble:
            deployment.signal_machine(stopped, signal.SIGTERM)
            await asyncio.gather(stop_frontend(), load(SENT_AFTER_S, "after"))
        await asyncio.gather(*tasks)
    finally:
        await server.stop()
        deployment.stop()
    lost = sorted(cut_early - server.arrivals)
    for status, count in sorted(collections.Counter(answers.values()).items()):
        record.say(f"status {status or 'none'}: {count}")
    if not server.runs:
        raise d.NotRun("no request was served")
    record.say(f"{len(cut_early)} connections ended without an answer before the deadline")
    record.say(f"of these requests, {len(lost)} never reached the replica: {lost}")
    return not lost


if __name__ == "__main__":
    sys.exit(d.run_case(Path(__file__).parent, case))
