"""Subcommand `quarantine`: list the calls and prompt parts that crash endpoints, or release one."""

from __future__ import annotations

import argparse
import sys

from mulberrygate.cli.command import (
    OK,
    REFUSED,
    add_format_argument,
    call_control,
    command,
    print_json,
    print_rows,
)

OK_STATUS = 200
COLUMNS = ("identity", "kind", "crashes", "trials", "expires_s")


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the subcommand."""
    parser.add_argument("--control", required=True, help="host:port of a control process")
    parser.add_argument("--release", metavar="IDENTITY", help="release this call or part")
    add_format_argument(parser)


@command(
    "quarantine",
    "List the calls and prompt parts that crash endpoints, or release one of them.",
    add_arguments,
)
def run(options: argparse.Namespace) -> int:
    """List the quarantined calls and parts, or release one."""
    if options.release:
        return release(options)
    reply = call_control(options.control, "GET", "/quarantine")
    if reply.status != OK_STATUS:
        return report_failure(reply.status)
    found = reply.json()["quarantined"]
    if options.format == "json":
        print_json(found)
        return OK
    print_rows(COLUMNS, [tuple(format_value(row[name]) for name in COLUMNS) for row in found])
    return OK


def format_value(value: object) -> object:
    """Return a value as it is shown in a table."""
    return round(value) if isinstance(value, float) else value


def release(options: argparse.Namespace) -> int:
    """Release one call or part and return the exit code."""
    reply = call_control(options.control, "DELETE", f"/quarantine/{options.release}")
    if reply.status != OK_STATUS:
        return report_failure(reply.status)
    print(f"released {options.release}")
    return OK


def report_failure(status: int) -> int:
    """Print why a control process did not do what it was asked, and return the exit code."""
    reason = "not current, try another one" if status == 503 else f"status {status}"
    print(f"the control process refused: {reason}", file=sys.stderr)
    return REFUSED
