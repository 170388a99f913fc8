"""Registry of subcommands and their shared options, calls and output."""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import sys
from collections.abc import Callable
from dataclasses import dataclass

import aiohttp

from mulberrygate.core.http_client import open_session

ENTRY_VARIABLE = "MULBERRYGATE_ENTRY"
TOKEN_VARIABLE = "MULBERRYGATE_OPERATOR_TOKEN_FILE"
TIMEOUT_S = 30.0

# Exit codes.
OK = 0
REFUSED = 1
USAGE = 2
UNREACHABLE = 3
NOT_EVERYWHERE = 4

Run = Callable[[argparse.Namespace], int]


@dataclass(frozen=True)
class Command:
    """Registered subcommand of the operator command."""

    name: str
    summary: str
    add_arguments: Callable[[argparse.ArgumentParser], None]
    run: Run


commands: dict[str, Command] = {}


def command(
    name: str,
    summary: str,
    add_arguments: Callable[[argparse.ArgumentParser], None] = lambda parser: None,
) -> Callable[[Run], Run]:
    """Return a decorator that registers a function as a subcommand."""

    def register(run: Run) -> Run:
        commands[name] = Command(name, summary, add_arguments, run)
        return run

    return register


class EntryUnreachable(Exception):
    """No entry instance or control process answered."""


@dataclass(frozen=True)
class Reply:
    """Answer of an entry instance."""

    status: int
    body: bytes
    headers: dict[str, str]

    def json(self) -> dict:
        """Return the body as a JSON object.

        Raises
        ======
        EntryUnreachable
            The body is not a JSON object, so the answer is not that of an entry instance.
        """
        try:
            value = json.loads(self.body)
        except ValueError:
            value = None
        if not isinstance(value, dict):
            raise EntryUnreachable("the answer is not a JSON object; is this an entry instance?")
        return value


class InvalidAccess(Exception):
    """The entry instance or the token file is not specified, or the file can't be read."""


def add_entry_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the options of commands that talk to an entry instance."""
    parser.add_argument(
        "--entry",
        default=os.environ.get(ENTRY_VARIABLE),
        help=f"host:port of an entry instance (default: ${ENTRY_VARIABLE})",
    )
    parser.add_argument(
        "--token-file",
        default=os.environ.get(TOKEN_VARIABLE),
        help=f"file with the operator token (default: ${TOKEN_VARIABLE})",
    )


def add_format_argument(parser: argparse.ArgumentParser) -> None:
    """Add the option that chooses the form of the output."""
    parser.add_argument("--format", choices=("table", "json"), default="table")


def call_entry(
    options: argparse.Namespace, method: str, path: str, body: bytes | None = None, **query: str
) -> Reply:
    """Call an entry instance as an operator.

    Raises
    ======
    InvalidAccess
        The entry or the token file is not given, or the file can't be read.
    EntryUnreachable
        The entry instance does not answer.
    """
    if not options.entry or not options.token_file:
        raise InvalidAccess(
            f"--entry and --token-file are needed, or {ENTRY_VARIABLE} and {TOKEN_VARIABLE}"
        )
    try:
        with open(options.token_file, encoding="utf-8") as file:
            token = file.read().strip()
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidAccess(f"the token file can't be read: {error}") from error
    try:
        headers = {"Authorization": f"Bearer {token}"}
        return asyncio.run(_call(options.entry, headers, method, path, body, query))
    except (TimeoutError, OSError, aiohttp.ClientError, ValueError) as error:
        raise EntryUnreachable(f"{options.entry}: {error or type(error).__name__}") from error


def call_control(control: str, method: str, path: str, /, **query: str) -> Reply:
    """Call a control process of a deployment on the users' platform, which asks for no token.

    Raises
    ======
    EntryUnreachable
        The control process does not answer.
    """
    try:
        return asyncio.run(_call(control, {}, method, path, None, query))
    except (TimeoutError, OSError, aiohttp.ClientError, ValueError) as error:
        raise EntryUnreachable(f"{control}: {error or type(error).__name__}") from error


async def _call(
    instance: str,
    headers: dict[str, str],
    method: str,
    path: str,
    body: bytes | None,
    query: dict[str, str],
) -> Reply:
    headers = {**headers, "X-Operator": os.environ.get("USER", "operator")}
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    async with open_session(timeout=timeout) as session:
        url = f"http://{instance}{path}"
        async with session.request(method, url, data=body, headers=headers, params=query) as answer:
            return Reply(answer.status, await answer.read(), dict(answer.headers))


def print_problem(reply: Reply) -> int:
    """Print the problem document of a refusal and return the exit code."""
    try:
        problem = reply.json()
        print(f"{problem['code']} {problem['title']}: {problem['detail']}", file=sys.stderr)
    except (EntryUnreachable, KeyError):
        print(f"the entry instance answered {reply.status}", file=sys.stderr)
    return REFUSED


def print_json(value: object) -> None:
    """Print a value as JSON."""
    print(json.dumps(value, indent=2, ensure_ascii=False))


def print_rows(header: tuple[str, ...], rows: list[tuple]) -> None:
    """Print a header and rows in aligned columns."""
    cells = [header, *[tuple(str(cell) for cell in row) for row in rows]]
    widths = [max(len(row[i]) for row in cells) for i in range(len(header))]
    for row in cells:
        print("  ".join(cell.ljust(w) for cell, w in zip(row, widths, strict=True)).rstrip())
