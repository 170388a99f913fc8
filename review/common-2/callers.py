"""Ordinary callers of one entry beside others that misbehave, and what they get."""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from deployment import (
    Answer,
    Deployment,
    Endpoint,
    Record,
    answer_well,
    configuration,
    encode_head,
    exchange,
    has_trouble,
    new_id,
    read_answer,
    request_headers,
    route,
    service,
)

KEY = "key-of-an-ordinary-caller"
ORDINARY = 8
# A round trip to the callers of the sheet (3 ms one way): the platform opens the connection to the
# entry when the caller connects, and the caller's request comes a round trip later.
ROUND_TRIP_S = 0.006
CALM_S, TROUBLE_S = 4.0, 20.0
CONTACT_S = 3.0
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


def processor_s(pid: int) -> float:
    """Return the processor time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8").rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


async def ask_ordinarily(address: tuple[str, int]) -> Answer:
    """Send an ordinary request on a new connection."""
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), 1.0)
        await asyncio.sleep(ROUND_TRIP_S)
        headers = request_headers(new_id(), 2000, Authorization=f"Bearer {KEY}")
        writer.write(encode_head("GET /stock/7 HTTP/1.1", headers))
        return await asyncio.wait_for(read_answer(reader), 2.0)
    except (OSError, TimeoutError):
        return Answer()
    finally:
        if writer is not None:
            writer.close()


def longest_outage(tries: list[tuple[float, int, int]], not_ready: list[float]) -> float:
    """Return the longest time in which seven callers or more tried and a ready entry took none."""
    longest, first_at, who = 0.0, 0.0, set()
    for at, number, status in sorted(tries):
        if status or any(abs(moment - at) < 0.6 for moment in not_ready):
            who = set()
            continue
        if not who:
            first_at = at
        who.add(number)
        if len(who) >= 7:
            longest = max(longest, at - first_at)
    return longest


async def serve_beside(
    deployment: Deployment,
    record: Record,
    misbehave: Callable[[tuple[str, int], Record], Awaitable[None]],
    trouble_s: float = TROUBLE_S,
) -> bool:
    """Return whether a ready entry went on to take new connections of ordinary callers.

    `misbehave` runs beside them until it is cancelled.
    """
    routes = [route("stock", "idempotent", "tournee", timeoutMs=2000)]
    tenants = [{"name": "t1", "apiKeys": [KEY], "priority": 1}]
    document = configuration(1, routes, [service("tournee")], tenants=tenants)
    await deployment.put_config(document)
    await deployment.wait_ready()
    endpoints = [Endpoint(deployment, "tournee", n, answer_well) for n in range(3)]
    for endpoint in endpoints:
        await endpoint.start()
    address = deployment.entry_address(0)
    readiness = (deployment.entries[0].ip, deployment.readiness_port)
    pid = deployment.entries[0].process.pid

    await deployment.wait_served(lambda _number: ask_ordinarily(address))
    await asyncio.sleep(CALM_S)
    tries: list[tuple[float, int, int]] = []
    not_ready: list[float] = []
    began, used_s = time.monotonic(), processor_s(pid)

    async def ordinary(number: int) -> None:
        await asyncio.sleep(0.025 * number)
        while time.monotonic() < began + trouble_s:
            at = time.monotonic() - began
            status = (await ask_ordinarily(address)).status
            record.write("tried", caller=number, status=status)
            tries.append((at, number, status))
            await asyncio.sleep(0.2)

    async def watch_ready() -> None:
        while time.monotonic() < began + trouble_s:
            status = (await exchange(readiness, "GET", "/ready", {"Host": "x"})).status
            record.write("ready", status=status)
            not_ready.extend([time.monotonic() - began] if status != 200 else [])
            await asyncio.sleep(0.5)

    crowd = asyncio.ensure_future(misbehave(address, record)) if has_trouble() else None
    await asyncio.gather(watch_ready(), *(ordinary(number) for number in range(ORDINARY)))
    used = (processor_s(pid) - used_s) / trouble_s
    if crowd is not None:
        crowd.cancel()
        await asyncio.gather(crowd, return_exceptions=True)
    longest = longest_outage(tries, not_ready)
    failed = sum(not status for _at, _number, status in tries)
    is_alive = deployment.entries[0].process.poll() is None
    record.write(
        "count",
        tries=len(tries),
        failed=failed,
        longest_s=round(longest, 2),
        entry_processor=round(used, 2),
        is_running=is_alive,
    )
    print(f"{len(tries)} tries of {ORDINARY} callers, {failed} got no answer; the entry used")
    print(f"{used:.2f} of a core; longest time in which it took none of them: {longest:.1f} s")
    return longest <= CONTACT_S and is_alive
