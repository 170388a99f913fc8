"""Subcommand `codes`: table of result codes."""

from __future__ import annotations

import argparse
import importlib
import pkgutil

import mulberrygate
from mulberrygate.cli.command import OK, add_format_argument, command, print_json, print_rows
from mulberrygate.core.codes import Code, all_codes


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the subcommand."""
    add_format_argument(parser)
    parser.add_argument("--markdown", action="store_true", help="print docs/result-codes.md")


def load_codes() -> list[Code]:
    """Return the codes of all modules."""
    for info in pkgutil.walk_packages(mulberrygate.__path__, "mulberrygate."):
        if ".tests" not in info.name:
            importlib.import_module(info.name)
    return all_codes()


def markdown() -> str:
    """Return the text of ``docs/result-codes.md``."""
    lines = [
        "# Result codes",
        "",
        "Written by `mulberrygate codes --markdown`; a test compares this page with the registry.",
        "",
        "| code | name | HTTP | meaning |",
        "|---|---|---|---|",
    ]
    lines += [f"| {c.number} | `{c.name}` | {c.http_status} | {c.meaning} |" for c in load_codes()]
    return "\n".join(lines) + "\n"


@command("codes", "Show the numbered result codes.", add_arguments)
def run(options: argparse.Namespace) -> int:
    """Print the registry of result codes."""
    if options.markdown:
        print(markdown(), end="")
        return OK
    codes = load_codes()
    if options.format == "json":
        rows = [
            {"code": c.number, "name": c.name, "http_status": c.http_status, "meaning": c.meaning}
            for c in codes
        ]
        print_json(rows)
        return OK
    print_rows(
        ("code", "name", "HTTP", "meaning"),
        [(c.number, c.name, c.http_status, c.meaning) for c in codes],
    )
    return OK
