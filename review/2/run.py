"""One heartbeat that can't be read keeps all frontends from new configurations."""

from __future__ import annotations

import asyncio
import collections
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

import deployment as d

STRAY = "i-stray"
# The name of the service holds half of a surrogate pair, so it is no Unicode text.
UNREADABLE = json.dumps(
    {
        "service": "tournee\ud800",
        "address": "127.0.0.1:9",
        "zone": "thies-nord",
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": 1,
        "born": 1_700_000_000_000,
    }
).encode()
# Requests are judged from this time after the acknowledgement on; `configApplyMs` is 2.5 s.
JUDGED_AFTER_S = 3.0
JUDGED_FOR_S = 8.0


async def send_stray(deployment: d.Deployment) -> None:
    """Send one heartbeat as a replica does: to the next daemon as long as none accepts it."""
    for core in deployment.cores:
        answer = await d.ask(
            core.ip,
            deployment.control_port,
            "PUT",
            f"/instances/{STRAY}",
            UNREADABLE,
            limit_s=1.0,
        )
        status = answer.status if answer else "no answer"
        deployment.record.say(f"the other writer's heartbeat at {core.name}: {status}")
        if answer is not None and 200 <= answer.status < 300:
            return


async def case(record: d.Record, has_trouble: bool) -> bool:
    """Move a route to another service; return whether all frontends obey in time."""
    deployment = d.Deployment(record)
    servers = [
        d.Server(deployment, f"i-{service}-{number}", service, zone)
        for service in ("tournee", "tournee2")
        for number, zone in enumerate(d.ZONES, 1)
    ]
    results: collections.Counter = collections.Counter()
    services = ["tournee", "tournee2"]

    async def send(frontend: d.Machine, request: str, phase: str) -> None:
        record.add(f"client sends {request} to {frontend.name}")
        answer = await d.ask(
            frontend.ip,
            deployment.entry_port,
            "GET",
            "/stock/7",
            headers=d.client_headers(request),
        )
        status = answer.status if answer else 0
        server = answer.headers.get("x-mulberrygate-server-signature", "") if answer else ""
        ran_at = server.split(".")[0].rpartition("-")[0] or "no server"
        record.add(f"client gets {status or 'no answer'} for {request} from {server}")
        results[phase, frontend.name, status, ran_at] += 1

    try:
        await deployment.start()
        for server in servers:
            await server.start()
        stock = d.route("stock", "/stock/", "idempotent", "tournee")
        await deployment.apply(d.document(1, [stock], services))
        await deployment.wait_ready()
        await asyncio.sleep(5.0)
        for number in range(10):
            for frontend in deployment.frontends:
                await send(frontend, f"before-{frontend.name}-{number}", "before")
        if has_trouble:
            await send_stray(deployment)
            await asyncio.sleep(1.0)
        moved = d.route("stock", "/stock/", "idempotent", "tournee2")
        acknowledged_at = await deployment.apply(d.document(2, [moved], services))
        await asyncio.sleep(acknowledged_at + JUDGED_AFTER_S - time.monotonic())
        number = 0
        while time.monotonic() < acknowledged_at + JUDGED_AFTER_S + JUDGED_FOR_S:
            for frontend in deployment.frontends:
                await send(frontend, f"after-{frontend.name}-{number}", "after")
            number += 1
            await asyncio.sleep(0.2)
    finally:
        for server in servers:
            await server.stop()
        deployment.stop()
    for (phase, name, status, ran_at), count in sorted(results.items()):
        record.say(f"{phase} {name}: status {status or 'none'} of {ran_at}: {count}")
    before = sum(
        n for (phase, *_, at), n in results.items() if (phase, at) == ("before", "i-tournee")
    )
    if not before:
        raise d.NotRun("no request was served before the change")
    old = sum(n for (phase, *_, at), n in results.items() if (phase, at) == ("after", "i-tournee"))
    record.say(f"{old} requests were run by the old service after version 2 had to be in force")
    return not old


if __name__ == "__main__":
    sys.exit(d.run_case(Path(__file__).parent, case))
