"""Subcommand `get`: read a table in force."""

from __future__ import annotations

import argparse
import sys

from mulberrygate.cli.command import (
    OK,
    add_entry_arguments,
    call_entry,
    command,
    print_problem,
)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the subcommand."""
    parser.add_argument("table", choices=("routes", "pools"))
    add_entry_arguments(parser)


@command(
    "get",
    "Print a table in force, confirmed by a majority, without comments and default values.",
    add_arguments,
)
def run(options: argparse.Namespace) -> int:
    """Print the table in its normal form, without comments and default values."""
    reply = call_entry(options, "GET", f"/admin/tables/{options.table}")
    if reply.status != 200:
        return print_problem(reply)
    sys.stdout.write(reply.body.decode())
    return OK
