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
    EntryUnreachable,
    Reply,
    add_entry_arguments,
    add_format_argument,
    call_entry,
    command,
    print_json,
    print_problem,
)
from mulberrygate.control.client import ANSWER_LOST, NO_LEADER, UNDETERMINED
from mulberrygate.tables.parse import Faults, parse_table

POLL_S = 0.25
# After these codes the same version may be sent again: the leader accepts it at most once.
RETRYABLE_CODES = {code.number for code in (NO_LEADER, ANSWER_LOST, UNDETERMINED)}


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the subcommand."""
    parser.add_argument("file", metavar="FILE", help="routes or pools table")
    parser.add_argument(
        "--wait",
        type=float,
        default=0.0,
        metavar="SECONDS",
        help="wait for a leader, and until the table is in force on every reachable instance",
    )
    add_entry_arguments(parser)
    add_format_argument(parser)


@command("apply", "Put a version of a table in force.", add_arguments)
def run(options: argparse.Namespace) -> int:
    """Send the table to the leader; a retry after a lost answer is safe."""
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
    deadline = time.monotonic() + options.wait
    reply = send(options, parsed.kind, content, deadline)
    if reply.status != 200:
        return print_problem(reply)
    answer = reply.json()
    if options.format == "table":
        print(
            f"{parsed.kind} version {parsed.table.version} accepted, revision {answer['revision']}"
        )
    return (
        wait_in_force(options, answer, deadline)
        if options.wait
        else print_answer(options, answer, OK)
    )


def send(options: argparse.Namespace, kind: str, content: bytes, deadline: float) -> Reply:
    """Send the table, and retry until the deadline if there is no answer or no leader.

    Raises
    ======
    EntryUnreachable
        The entry instance did not answer before the deadline.
    """
    while True:
        is_last = time.monotonic() >= deadline
        try:
            reply = call_entry(options, "POST", f"/admin/tables/{kind}", content)
            if is_last or not is_retryable(reply):
                return reply
        except EntryUnreachable:
            if is_last:
                raise
        time.sleep(POLL_S)


def is_retryable(reply: Reply) -> bool:
    """Return whether the same table may be sent again after this reply."""
    try:
        return reply.status != 200 and reply.json()["code"] in RETRYABLE_CODES
    except (ValueError, KeyError, TypeError):
        return False


def print_answer(options: argparse.Namespace, answer: dict, code: int) -> int:
    """Print the answer if the output format is JSON, and return the exit code."""
    if options.format == "json":
        print_json(answer)
    return code


def wait_in_force(options: argparse.Namespace, answer: dict, deadline: float) -> int:
    """Wait until the revision is in force everywhere, and print the instances where it is not."""
    while True:
        reply = call_entry(options, "GET", "/admin/status")
        if reply.status != 200:
            return print_problem(reply)
        status = reply.json()
        states = status["instances"]
        behind = [n for n, s in states.items() if s["revision"] < answer["revision"]]
        answer |= {"in_force_on": len(states) - len(behind), "behind": behind}
        answer["unreachable"] = status["unreachable"]
        if not behind or time.monotonic() >= deadline:
            break
        time.sleep(POLL_S)
    if options.format == "table":
        print(f"in force on {answer['in_force_on']} of {len(states)} reachable instances")
        for title in ("behind", "unreachable"):
            if answer[title]:
                print(f"{title}: {', '.join(answer[title])}")
    return print_answer(options, answer, NOT_EVERYWHERE if behind else OK)
