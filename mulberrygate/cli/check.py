"""Subcommand `check`: validate tables without a running system."""

from __future__ import annotations

import argparse
import sys

from mulberrygate.cli.command import OK, REFUSED, command
from mulberrygate.tables.check import check_tables
from mulberrygate.tables.parse import Fault, Faults, parse_table


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the subcommand."""
    parser.add_argument("files", nargs="+", metavar="FILE", help="routes or pools tables")


@command("check", "Validate tables offline; both together also check their references.", add_arguments)
def run(options: argparse.Namespace) -> int:
    """Print each fault with its file, line and column."""
    parsed = {}
    count = 0
    for path in options.files:
        try:
            with open(path, "rb") as file:
                content = file.read()
        except OSError as error:
            print(f"{path}: {error.strerror}", file=sys.stderr)
            return REFUSED
        result = parse_table(content)
        if isinstance(result, Faults):
            count += print_faults(path, result.faults)
        else:
            parsed[result.kind] = (path, result)
    if not count and len(parsed) == 2:
        faults = check_tables(parsed["routes"][1], parsed["pools"][1])
        for kind, found in faults.items():
            count += print_faults(parsed[kind][0], found)
    if count:
        print(f"{count} faults", file=sys.stderr)
        return REFUSED
    for path, result in parsed.values():
        print(f"{path}: {result.kind} version {result.table.version} is valid")
    return OK


def print_faults(path: str, faults: list[Fault]) -> int:
    """Print faults and return their number."""
    for fault in faults:
        print(f"{path}:{fault.line}:{fault.column}: {fault.detail}", file=sys.stderr)
    return len(faults)
