"""Subcommand `explain-placement`: where a request would go now, and why, without sending it."""

from __future__ import annotations

import argparse
import sys
from typing import Any

from mulberrygate.cli.command import (
    OK,
    REFUSED,
    Reply,
    add_format_argument,
    call_control,
    command,
    print_json,
    print_rows,
)

OK_STATUS = 200
COLUMNS = (
    "endpoint",
    "failure_domain",
    "version",
    "used",
    "others",
    "slots",
    "may_use",
    "load_age_s",
    "report_age_s",
    "first_s",
    "end_s",
    "obstacle",
)
# Steps that are printed as one line each, in the order in which a request takes them.
STEPS = ("catalog", "route", "account", "quarantine", "copies")
# Figures of the scheduler that are printed before the endpoints.
FIGURES = (
    "scheduler",
    "is_owner",
    "tier",
    "ahead",
    "waiting",
    "expected_wait_s",
    "free_slots",
    "deadline_s",
    "expected_tokens",
    "version_shares",
)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the subcommand."""
    parser.add_argument("--control", required=True, help="host:port of a control process")
    parser.add_argument("--entry", default="", help="instance of the entry; any one by default")
    parser.add_argument("--host", required=True, help="Host header of the request")
    parser.add_argument("--path", required=True, help="path of the request")
    parser.add_argument("--account", default="", help="name of the client account, not its key")
    parser.add_argument("--tokens", default="", help="prompt and largest output tokens: 1460,80")
    parser.add_argument("--expected", default="", help="output tokens that the caller expects")
    parser.add_argument("--parts", default="", help="identifiers of the prompt's shared parts")
    parser.add_argument("--timeout", default="", help="seconds for which the caller waits")
    parser.add_argument("--request", default="", help="identifier; chooses among split pools")
    add_format_argument(parser)


def make_query(options: argparse.Namespace) -> dict[str, str]:
    """Return the query for a control process."""
    prompt, _, output = options.tokens.partition(",")
    query = {
        "entry": options.entry,
        "host": options.host,
        "path": options.path,
        "account": options.account,
        "prompt_tokens": prompt.strip(),
        "output_tokens": output.strip(),
        "expected_tokens": options.expected,
        "parts": options.parts,
        "timeout_s": options.timeout,
        "request": options.request,
    }
    return {name: value for name, value in query.items() if value}


@command(
    "explain-placement",
    "Explain where a request would go now, without sending it or spending units.",
    add_arguments,
)
def run(options: argparse.Namespace) -> int:
    """Print the steps, the endpoints and the choice or the refusal."""
    reply = call_control(options.control, "GET", "/placement", **make_query(options))
    if reply.status != OK_STATUS:
        return report_failure(reply)
    found = reply.json()
    if options.format == "json":
        print_json(found)
        return OK
    print_steps(found)
    placement = found.get("placement", {})
    if placement.get("endpoints"):
        rows = placement["endpoints"]
        print_rows(COLUMNS, [tuple(format_cell(row, name) for name in COLUMNS) for row in rows])
        if placement.get("endpoints_left_out"):
            print(f"and {placement['endpoints_left_out']} more")
    print(found.get("outcome", ""))
    return OK


def print_steps(found: dict[str, Any]) -> None:
    """Print the figures of each step."""
    print(f"entry       {found.get('entry', '')}")
    for name in STEPS:
        if found.get(name) is not None:
            print(f"{name:<11} {format_fields(found[name])}")
    placement = found.get("placement", {})
    figures = {name: placement[name] for name in FIGURES if name in placement}
    if figures:
        print(f"{'pool':<11} {format_fields(figures)}")


def format_fields(fields: dict[str, Any]) -> str:
    """Return fields as text; empty ones are left out."""
    shown = {name: value for name, value in fields.items() if value not in ("", None, [], {})}
    return " ".join(f"{name}={value}" for name, value in shown.items())


def format_cell(row: dict[str, Any], name: str) -> object:
    """Return a cell of the table of endpoints."""
    if name == "obstacle" and row.get("is_chosen"):
        return "chosen"
    value = row.get(name)
    return "-" if value is None or value == "" else value


def report_failure(reply: Reply) -> int:
    """Print why there is no explanation, and return the exit code."""
    print(f"no explanation: {reply.json().get('error', reply.status)}", file=sys.stderr)
    return REFUSED
