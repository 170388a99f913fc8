"""Subcommand `evacuate`: send nothing more to a failure domain, end that, or list them.

Explanation
===========
With ``--control`` it talks to a control process of a deployment on the users' platform, else to an
entry instance of the product's own daemons.
"""

from __future__ import annotations

import argparse
import sys
import time
from typing import Any
from urllib.parse import quote

from mulberrygate.cli.command import (
    OK,
    REFUSED,
    USAGE,
    Reply,
    add_entry_arguments,
    add_format_argument,
    call_control,
    call_entry,
    command,
    print_json,
    print_problem,
    print_rows,
)

OK_STATUS = 200
NOT_CERTAIN = 503
COLUMNS = ("failure_domain", "age_s", "running")


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the subcommand."""
    parser.add_argument("failure_domain", nargs="?", help="failure domain, the platform's zone")
    action = parser.add_mutually_exclusive_group()
    action.add_argument("--end", action="store_true", help="withdraw the evacuation")
    action.add_argument("--list", action="store_true", help="list the evacuated failure domains")
    parser.add_argument("--control", help="host:port of a control process on the users' platform")
    add_entry_arguments(parser)
    add_format_argument(parser)


@command(
    "evacuate",
    "Send nothing more to the endpoints of a failure domain, end that, or list them.",
    add_arguments,
)
def run(options: argparse.Namespace) -> int:
    """Evacuate a failure domain, withdraw that, or list the evacuated ones."""
    if options.list is (options.failure_domain is not None):
        print("give a failure domain or --list", file=sys.stderr)
        return USAGE
    if options.list:
        return list_of_control(options) if options.control else list_of_entry(options)
    method = "DELETE" if options.end else "POST"
    name = quote(options.failure_domain, safe="")
    if options.control:
        reply = call_control(options.control, method, f"/evacuate/{name}")
    else:
        reply = call_entry(options, method, f"/admin/evacuations/{name}")
    if reply.status != OK_STATUS:
        return report_failure(options, reply)
    state = "no longer evacuated" if options.end else "evacuated"
    print(f"{options.failure_domain} is {state}")
    return OK


def list_of_control(options: argparse.Namespace) -> int:
    """Print what a control process knows of the evacuations and return the exit code."""
    reply = call_control(options.control, "GET", "/evacuate")
    if reply.status != OK_STATUS:
        return report_failure(options, reply)
    answer = reply.json()
    notes = [
        f"all endpoints of {pool} are evacuated; its requests are refused"
        for pool in answer["pools_without_endpoint"]
    ]
    return print_list(options, answer, notes)


def list_of_entry(options: argparse.Namespace) -> int:
    """Print what all instances tell an entry of the evacuations and return the exit code."""
    reply = call_entry(options, "GET", "/admin/status")
    if reply.status != OK_STATUS:
        return report_failure(options, reply)
    status = reply.json()
    now = time.time()
    known = status["summary"].get("evacuations", {})
    evacuated = [
        {"failure_domain": name, "age_s": max(0.0, now - row["at"]), **row}
        for name, row in sorted(known.items())
    ]
    notes = [f"not reached: {name}; its requests are missing" for name in status["unreachable"]]
    notes += [
        f"{name} is not evacuated yet on {len(status['instances']) - row['in_force_on']} instances"
        for name, row in sorted(known.items())
        if row["in_force_on"] < len(status["instances"])
    ]
    return print_list(options, {"evacuated": evacuated}, notes)


def print_list(options: argparse.Namespace, answer: dict[str, Any], notes: list[str]) -> int:
    """Print the evacuated failure domains and how many requests still run there."""
    if options.format == "json":
        print_json(answer)
        return OK
    rows = [tuple(row[name] for name in COLUMNS) for row in answer["evacuated"]]
    print_rows(COLUMNS, [(name, round(age_s), running) for name, age_s, running in rows])
    for note in notes:
        print(note, file=sys.stderr)
    return OK


def report_failure(options: argparse.Namespace, reply: Reply) -> int:
    """Print why an order or a list was refused, and return the exit code."""
    if not options.control:
        return print_problem(reply)
    if reply.status == NOT_CERTAIN:
        reason = "it can't confirm that, try again or another one"
    else:
        reason = str(reply.json().get("error", f"status {reply.status}"))
    print(f"the control process refused: {reason}", file=sys.stderr)
    return REFUSED
