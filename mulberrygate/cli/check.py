"""Subcommand `check`: validate tables without a running system."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Iterable

from mulberrygate.cli.command import OK, REFUSED, command
from mulberrygate.tables.check import check_table
from mulberrygate.tables.parse import POOLS, ROUTES, Fault, Faults, ParsedTable, parse_table


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the subcommand."""
    parser.add_argument("files", nargs="+", metavar="FILE", help="routes or pools tables")


@command(
    "check", "Validate tables offline; both together also check their references.", add_arguments
)
def run(options: argparse.Namespace) -> int:
    """Validate the files and print each fault with its file, line and column."""
    parsed: list[tuple[str, ParsedTable]] = []
    count = 0
    for path in options.files:
        try:
            with open(path, "rb") as file:
                content = file.read()
        except OSError as error:
            print(f"{path}: {error.strerror}", file=sys.stderr)
            return REFUSED
        result = parse_table(content, "")
        if isinstance(result, Faults):
            count += print_faults(path, result.faults)
        else:
            parsed.append((path, result))
    tables_by_kind = {result.kind: result for _, result in parsed}
    for path, result in parsed:
        count += print_faults(path, check_references(result, tables_by_kind))
    if count:
        print(f"{count} faults", file=sys.stderr)
        return REFUSED
    for path, result in parsed:
        print(f"{path}: {result.kind} version {result.table.version} is valid")
    return OK


def check_references(result: ParsedTable, parsed: dict[str, ParsedTable]) -> list[Fault]:
    """Return the faults of a table and of its references to the other table, if that is given."""
    routes = parsed[ROUTES].table.routes if ROUTES in parsed else None
    pools = parsed[POOLS].table.pools if POOLS in parsed else None
    if result.kind == ROUTES:
        return check_table(result, pools=pools)
    return check_table(result, routes=routes)


def print_faults(path: str, faults: Iterable[Fault]) -> int:
    """Print faults and return their number."""
    faults = list(faults)
    for fault in faults:
        print(f"{path}:{fault.line}:{fault.column}: {fault.detail}", file=sys.stderr)
    return len(faults)
