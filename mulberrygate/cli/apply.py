"""Subcommand `apply`: put a table in force."""

from __future__ import annotations

import argparse
import sys
import time

from mulberrygate.cli.check import print_faults
from mulberrygate.cli.command import (
    NOT_EVERYWHERE,
    OK,
    REFUSED,
    add_entry_arguments,
    add_format_argument,
    call_entry,
    command,
    print_json,
    print_problem,
)
from mulberrygate.tables.parse import Faults, parse_table

POLL_S = 0.25


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the subcommand."""
    parser.add_argument("file", metavar="FILE", help="routes or pools table")
    parser.add_argument(
        "--wait",
        type=float,
        default=0.0,
        metavar="SECONDS",
        help="wait until the table is in force on every reachable instance",
    )
    add_entry_arguments(parser)
    add_format_argument(parser)


@command("apply", "Put a version of a table in force.", add_arguments)
def run(options: argparse.Namespace) -> int:
    """Send the table to the leader; sending it again after a lost answer is safe."""
    try:
        with open(options.file, "rb") as file:
            content = file.read()
    except OSError as error:
        print(f"{options.file}: {error.strerror}", file=sys.stderr)
        return REFUSED
    parsed = parse_table(content, "")
    if isinstance(parsed, Faults):
        print_faults(options.file, parsed.faults)
        return REFUSED
    reply = call_entry(options, "POST", f"/admin/tables/{parsed.kind}", content)
    if reply.status != 200:
        return print_problem(reply)
    answer = reply.json()
    if options.format == "table":
        print(
            f"{parsed.kind} version {parsed.table.version} accepted, revision {answer['revision']}"
        )
    return wait_in_force(options, answer) if options.wait else finish(options, answer, OK)


def finish(options: argparse.Namespace, answer: dict, code: int) -> int:
    """Print the answer as JSON if that is asked for."""
    if options.format == "json":
        print_json(answer)
    return code


def wait_in_force(options: argparse.Namespace, answer: dict) -> int:
    """Wait until the revision is in force everywhere and say where it is not."""
    limit = time.monotonic() + options.wait
    while True:
        reply = call_entry(options, "GET", "/admin/status")
        if reply.status != 200:
            return print_problem(reply)
        status = reply.json()
        states = status["instances"]
        behind = [n for n, s in states.items() if s["revision"] < answer["revision"]]
        answer |= {"in_force_on": len(states) - len(behind), "behind": behind}
        answer["unreachable"] = status["unreachable"]
        if not behind or time.monotonic() >= limit:
            break
        time.sleep(POLL_S)
    if options.format == "table":
        print(f"in force on {answer['in_force_on']} of {len(states)} reachable instances")
        for title in ("behind", "unreachable"):
            if answer[title]:
                print(f"{title}: {', '.join(answer[title])}")
    return finish(options, answer, NOT_EVERYWHERE if behind else OK)
