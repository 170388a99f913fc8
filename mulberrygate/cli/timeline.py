"""Subcommand `timeline`: merged events of all instances."""

from __future__ import annotations

import argparse
import datetime

from mulberrygate.cli.command import (
    OK,
    add_entry_arguments,
    add_format_argument,
    call_entry,
    command,
    print_json,
    print_problem,
)

SUBJECTS = ("request", "endpoint", "move", "table", "instance", "failure_domain")


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the subcommand."""
    for subject in SUBJECTS:
        words = subject.split("_")
        about = " ".join(words)
        parser.add_argument(f"--{'-'.join(words)}", help=f"only events about this {about}")
    parser.add_argument("--limit", type=int, default=200, help="newest events to show")
    add_entry_arguments(parser)
    add_format_argument(parser)


@command("timeline", "Show the events of all instances in one order.", add_arguments)
def run(options: argparse.Namespace) -> int:
    """Print the events, oldest first, and the instances that were not reached."""
    subjects = {s: getattr(options, s) for s in SUBJECTS if getattr(options, s)}
    reply = call_entry(options, "GET", "/admin/timeline", limit=str(options.limit), **subjects)
    if reply.status != 200:
        return print_problem(reply)
    timeline = reply.json()
    if options.format == "json":
        print_json(timeline)
        return OK
    for event in timeline["events"]:
        time = datetime.datetime.fromtimestamp(event["wall_ms"] / 1000, datetime.UTC)
        about = " ".join(f"{name}={value}" for name, value in event["subjects"].items())
        detail = f" ({event['detail']})" if event["detail"] else ""
        clock = time.strftime("%H:%M:%S.%f")[:-3]
        print(f"{clock} {event['instance']:<12} {event['kind']:<22} {about}{detail}")
    for name in timeline["unreachable"]:
        print(f"not reached: {name}; its events are missing")
    return OK
