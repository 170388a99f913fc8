"""A replica runs a booking and answers 503 without saying that it did not run it."""

from __future__ import annotations

import asyncio
import json
import random
from pathlib import Path

from deployment import (
    Answer,
    Deployment,
    Endpoint,
    Record,
    answer_well,
    configuration,
    exchange,
    has_trouble,
    new_id,
    request_headers,
    route,
    run_case,
    service,
)

BOOKINGS = 150
CALLERS = 6
# `srv_grey` of the kinds: a share of the replicas fails 0.4 of its requests, health good.
FAILING_SHARE = 0.4
PROMISES = (408, 421, 429, 503)


async def book(deployment: Deployment, record: Record, number: int) -> list[tuple[str, int]]:
    """Send a booking; once more after a promise, as callers do. Return attempts and statuses."""
    attempts = []
    body = json.dumps({"booking": number}).encode()
    for _ in range(2):
        identifier = new_id()
        address = deployment.entry_address(random.randrange(len(deployment.entries)))
        record.write("sent", id=identifier, booking=number)
        answer = await exchange(
            address, "POST", "/book/visit", request_headers(identifier, 2000), body
        )
        record.write("answered", id=identifier, booking=number, status=answer.status)
        attempts.append((identifier, answer.status))
        if answer.status not in PROMISES:
            break
        await asyncio.sleep(float(answer.headers.get("retry-after", "0.2")))
    return attempts


async def case(deployment: Deployment, record: Record) -> bool:
    """Return whether no booking that ran was answered with a promise that it did not."""
    routes = [route("book", "non_idempotent", "tournee", timeoutMs=2000, maxAttempts=2)]
    await deployment.put_config(configuration(1, routes, [service("tournee")]))
    await deployment.wait_ready()
    is_on = False
    rng = random.Random(7)

    async def answer_grey(endpoint: Endpoint, seen, writer) -> bool:
        if not is_on or rng.random() >= FAILING_SHARE:
            return await answer_well(endpoint, seen, writer)
        await asyncio.sleep(0.02)
        head = {"X-Mulberrygate-Server-Signature": endpoint.signature(seen)}
        return await endpoint.reply(seen, writer, 503, b"the ledger behind did not answer", head)

    answers = [answer_grey, answer_well, answer_well]
    endpoints = [Endpoint(deployment, "tournee", n, a) for n, a in enumerate(answers)]
    for endpoint in endpoints:
        await endpoint.start()

    async def ask(number: int) -> Answer:
        address = deployment.entry_address(number)
        return await exchange(address, "POST", "/book/probe", request_headers(new_id()), b"{}")

    await deployment.wait_served(ask)
    await asyncio.sleep(3.0)
    is_on = has_trouble()
    numbers = iter(range(BOOKINGS))
    attempts: list[tuple[str, int]] = []

    async def caller() -> None:
        for number in numbers:
            attempts.extend(await book(deployment, record, number))
            await asyncio.sleep(0.05)

    await asyncio.gather(*(caller() for _ in range(CALLERS)))
    ran = {seen.id for endpoint in endpoints for seen in endpoint.ran}
    broken = [(i, status) for i, status in attempts if status in PROMISES and i in ran]
    bodies = [seen.body for endpoint in endpoints for seen in endpoint.ran if len(seen.body) > 2]
    twice = len(bodies) - len(set(bodies))
    for identifier, status in broken:
        record.write("broken", rule="REFUSED", id=identifier, status=status)
    record.write("count", attempts=len(attempts), refused_and_run=len(broken), booked_twice=twice)
    print(f"{len(attempts)} attempts, {len(broken)} refused although run, {twice} booked twice")
    return not broken


if __name__ == "__main__":
    run_case(str(Path(__file__).parent), case)
