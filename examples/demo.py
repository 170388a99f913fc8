"""Demo: a small system on loopback serves requests of each kind.

It has three daemons in two failure domains, two model engines of different speeds and a booking
service.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import tempfile

from mulberrygate.cli.main import main as operate
from mulberrygate.standin.local import (
    LocalSystem,
    pools_table,
    routes_table,
    token_of,
)

ENDPOINTS = {"dakar-a": ("engine-new", "booking-1"), "dakar-b": ("engine-old",)}
HISTORY = "Salon Ngor, lamp 14: ballast replaced in March, starter in June. " * 60


def print_heading(text: str) -> None:
    """Print a heading."""
    print(f"\n== {text} ==", flush=True)


def make_system(folder: str) -> LocalSystem:
    """Return the system of the demo, not yet started."""
    system = LocalSystem(folder)
    places = {
        "entry-1": ("dakar", "dakar-a"),
        "entry-2": ("dakar", "dakar-a"),
        "entry-3": ("dakar", "dakar-b"),
    }
    system.add_daemons(places, tuple(places))
    system.add_endpoint(
        "engine", "engine-new", "diagnosis", "dakar-a", hardware="gen-3", decode_tokens_s=400
    )
    system.add_endpoint(
        "engine", "engine-old", "diagnosis", "dakar-b", hardware="gen-1", decode_tokens_s=80
    )
    system.add_endpoint("service", "booking-1", "booking", "dakar-a")
    return system


def write_tables(folder: str) -> list[str]:
    """Write the two tables of the demo and return their paths, pools first."""
    pools = pools_table(1, {"diagnosis": {"version": "v1"}, "booking": {"kind": "service"}})
    routes = routes_table(
        1,
        {"teranga-field": "dakar-a", "teranga-salons": "dakar-b"},
        {
            "write-up": {"pool": "diagnosis", "tier": 0, "max_output_tokens": 400},
            "quick-answer": {"pool": "diagnosis", "tier": 1, "max_output_tokens": 60},
            "part-code": {"pool": "diagnosis", "tier": 2, "max_output_tokens": 12},
            "booking": {"pool": "booking", "tier": 0},
        },
    )
    paths = []
    for table in (pools, routes):
        paths.append(os.path.join(folder, f"{table['table']}.json"))
        with open(paths[-1], "w", encoding="utf-8") as file:
            json.dump(table, file, indent=2)
    return paths


async def run_operator_command(*arguments: str) -> int:
    """Print and run an operator command, and return its exit code."""
    print(f"$ mulberrygate {' '.join(arguments)}", flush=True)
    code = await asyncio.to_thread(operate, list(arguments))
    sys.stdout.flush()
    return code


async def send_completion(
    system: LocalSystem, entry: str, route: str, text: str, key: str = "", stream: bool = False
) -> tuple[int, bytes, dict[str, str]]:
    """Send a chat completion as an ordinary client does."""
    body = {"model": route, "messages": [{"role": "user", "content": text}], "stream": stream}
    headers = {"Idempotency-Key": key} if key else {}
    return await system.call(
        entry, "POST", "/v1/chat/completions", token_of("teranga-field"), headers, body
    )


async def send_requests(system: LocalSystem) -> str:
    """Send requests of each kind and return the identifier of the last model request."""
    print_heading("a long write-up, a quick answer and a part-code lookup")
    request = ""
    for entry, route, text in (
        ("entry-1", "write-up", HISTORY + "Write up the diagnosis."),
        ("entry-2", "quick-answer", "The left tube flickers. Swap the tube or the ballast?"),
        ("entry-3", "part-code", "Part code of the 100 W starter?"),
    ):
        status, body, headers = await send_completion(system, entry, route, text)
        request = headers["X-Request-Id"]
        answer = json.loads(body)
        content = answer["choices"][0]["message"]["content"]
        print(f"{route}: {status}, {answer['usage']['completion_tokens']} tokens: {content[:60]}…")
    print_heading("the same answer as server-sent events")
    _, body, _ = await send_completion(
        system, "entry-1", "part-code", "Part code of the tube?", stream=True
    )
    print(body.decode()[:230] + "…")
    print_heading("a booking, sent three times under one key to different entries")
    for entry in ("entry-1", "entry-2", "entry-3"):
        status, body, _ = await system.call(
            entry,
            "POST",
            "/services/booking/visits",
            token_of("teranga-salons"),
            {"Idempotency-Key": "dakar-b/visit-17", "Content-Type": "application/json"},
            {"salon": "Ngor", "day": "Friday"},
        )
        print(f"{entry}: {status} {body.decode()}")
    runs = await system.json("booking-1", "/standin")
    print(f"the booking service ran {len(runs['bookings'])} booking")
    print_heading("a stock read, and a refusal")
    status, body, _ = await system.call(
        "entry-3", "GET", "/services/booking/stock/tubes", token_of("teranga-salons")
    )
    print(f"stock: {status} {body.decode()}")
    status, body, _ = await send_completion(system, "entry-1", "no-such-route", "?")
    print(f"refusal: {status} {body.decode()}")
    return request


async def run(folder: str) -> int:
    """Run the demo."""
    system = make_system(folder)
    tables = write_tables(folder)
    os.environ["MULBERRYGATE_ENTRY"] = system.daemons["entry-1"].http_address
    os.environ["MULBERRYGATE_OPERATOR_TOKEN_FILE"] = os.path.join(folder, "operator.token")
    try:
        print_heading("three daemons and three endpoints start")
        await system.start()
        code = 0
        for path in tables:
            for _ in range(40):
                code = await run_operator_command("apply", path, "--wait", "10")
                if code == 0:
                    break
                await asyncio.sleep(0.5)
        await system.wait_ready()
        for entry, daemon in system.daemons.items():
            # Only the owners of pools know the endpoints of other failure domains.
            await system.wait_endpoints(entry, *ENDPOINTS[daemon.settings["failure_domain"]])
        request = await send_requests(system)
        print_heading("tables in force and state")
        code = (
            code
            or await run_operator_command("get", "routes")
            or await run_operator_command("status")
        )
        print_heading("timeline of the last lookup, over all processes")
        code = code or await run_operator_command("timeline", "--request", request)
        print_heading("timeline of the routes table")
        return code or await run_operator_command("timeline", "--table", "routes")
    finally:
        await system.close()


def main() -> int:
    """Run the demo in a temporary folder."""
    with tempfile.TemporaryDirectory(prefix="mulberrygate-demo-") as folder:
        return asyncio.run(run(folder))


if __name__ == "__main__":
    sys.exit(main())
