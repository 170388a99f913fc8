"""Entry point of the operator command."""

from __future__ import annotations

import argparse
import sys

from mulberrygate import __version__
from mulberrygate.cli import (
    apply,
    check,
    codes,
    evacuate,
    explain,
    get,
    placement,
    quarantine,
    status,
    timeline,
)
from mulberrygate.cli.command import UNREACHABLE, USAGE, EntryUnreachable, InvalidAccess, commands

__all__ = [
    "apply",
    "check",
    "codes",
    "evacuate",
    "explain",
    "get",
    "main",
    "placement",
    "quarantine",
    "status",
    "timeline",
]


def make_parser() -> argparse.ArgumentParser:
    """Return the parser with all subcommands."""
    parser = argparse.ArgumentParser(
        prog="mulberrygate",
        description="Edit the tables of routes and pools and read what the system reports.",
        epilog="exit codes: 0 done, 1 refused, 2 usage, 3 no answer, 4 not in force everywhere",
    )
    parser.add_argument("--version", action="version", version=__version__)
    subparsers = parser.add_subparsers(dest="command", required=True, metavar="command")
    for name, command in sorted(commands.items()):
        subparser = subparsers.add_parser(name, help=command.summary, description=command.summary)
        command.add_arguments(subparser)
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Run a subcommand and return its exit code."""
    options = make_parser().parse_args(arguments)
    try:
        return commands[options.command].run(options)
    except EntryUnreachable as error:
        print(f"no answer from an entry instance: {error}", file=sys.stderr)
        return UNREACHABLE
    except InvalidAccess as error:
        print(error, file=sys.stderr)
        return USAGE
    except BrokenPipeError:
        return 0


if __name__ == "__main__":
    sys.exit(main())
