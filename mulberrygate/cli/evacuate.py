"""Subcommand `evacuate`: send nothing more to a failure domain, end that, or list them."""

from __future__ import annotations

import argparse
import sys
from urllib.parse import quote

from mulberrygate.cli.command import (
    OK,
    REFUSED,
    USAGE,
    Reply,
    add_format_argument,
    call_control,
    command,
    print_json,
    print_rows,
)

OK_STATUS = 200
NOT_CERTAIN = 503
COLUMNS = ("failure_domain", "age_s", "running")


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the subcommand."""
    parser.add_argument("--control", required=True, help="host:port of a control process")
    parser.add_argument("failure_domain", nargs="?", help="failure domain, the platform's zone")
    action = parser.add_mutually_exclusive_group()
    action.add_argument("--end", action="store_true", help="withdraw the evacuation")
    action.add_argument("--list", action="store_true", help="list the evacuated failure domains")
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
        return print_list(options)
    method = "DELETE" if options.end else "POST"
    path = f"/evacuate/{quote(options.failure_domain, safe='')}"
    reply = call_control(options.control, method, path)
    if reply.status != OK_STATUS:
        return report_failure(reply)
    state = "no longer evacuated" if options.end else "evacuated"
    print(f"{options.failure_domain} is {state}")
    return OK


def print_list(options: argparse.Namespace) -> int:
    """Print the evacuated failure domains and how many requests still run there."""
    reply = call_control(options.control, "GET", "/evacuate")
    if reply.status != OK_STATUS:
        return report_failure(reply)
    answer = reply.json()
    if options.format == "json":
        print_json(answer)
        return OK
    rows = [
        (row["failure_domain"], round(row["age_s"]), row["running"]) for row in answer["evacuated"]
    ]
    print_rows(COLUMNS, rows)
    for pool in answer["pools_without_endpoint"]:
        print(f"all endpoints of {pool} are evacuated; its requests are refused", file=sys.stderr)
    return OK


def report_failure(reply: Reply) -> int:
    """Print why a control process did not do what it was asked, and return the exit code."""
    if reply.status == NOT_CERTAIN:
        reason = "it can't confirm that, try again or another one"
    else:
        reason = str(reply.json().get("error", f"status {reply.status}"))
    print(f"the control process refused: {reason}", file=sys.stderr)
    return REFUSED
