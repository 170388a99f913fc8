"""Subcommand `explain`: the log events and the outcome of one request, from structured logs."""

from __future__ import annotations

import argparse
import datetime
import json
import sys
from collections.abc import Iterable
from typing import Any

from mulberrygate.cli.codes import load_codes
from mulberrygate.cli.command import OK, REFUSED, add_format_argument, command, print_json
from mulberrygate.control.blame import matching
from mulberrygate.core.codes import Code
from mulberrygate.forward.codes import CRASHES_ENDPOINTS, MAY_CRASH_ENDPOINTS

Line = dict[str, Any]

CRASH_CODES = tuple(f"{code.number} " for code in (CRASHES_ENDPOINTS, MAY_CRASH_ENDPOINTS))

# Events that change the state on which a process bases its decisions about requests.
CONTEXT_EVENTS = (
    "catalog.in_force",
    "control.followed",
    "control.left",
    "endpoint.known",
    "endpoint.leaves",
    "endpoint.notice",
    "endpoint.forgotten",
    "evacuation.in_force",
    "evacuation.ended",
    "process.started",
    "process.stopping",
    "process.unfinished",
)
# Events on an identity that is blamed for crashes, see `mulberrygate.control.blame`.
VERDICT_EVENTS = ("quarantine.suspected", "quarantine.added", "quarantine.known")
# Reports of crashes, and verdicts, that are shown of one refused request.
MAX_CRASH_LINES = 24
# Context events up to this long before the request's end are shown.
CONTEXT_S = 20.0


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the subcommand."""
    parser.add_argument("request", help="identifier of the caller's attempt")
    parser.add_argument("files", nargs="*", help="log files; standard input without one")
    add_format_argument(parser)


def parse_lines(texts: Iterable[str]) -> list[Line]:
    """Return the structured log lines of a text, in time order.

    Explanation
    ===========
    Log collectors put a prefix before the JSON object, and other programs write to the same files.
    Lines without a complete object are skipped.
    """
    lines = []
    for text in texts:
        start = text.find('{"at"')
        if start < 0:
            continue
        try:
            line = json.loads(text[start:])
        except ValueError:
            continue
        if isinstance(line, dict) and "event" in line and "node" in line:
            lines.append(line)
    return sorted(lines, key=lambda line: line["at"])


def collect_request_lines(lines: list[Line], request: str) -> list[Line]:
    """Return the lines of a request, and the context events of its processes before its end."""
    request_lines = [line for line in lines if line.get("id") == request]
    if not request_lines:
        return []
    nodes = {line["node"] for line in request_lines}
    endpoints = {line.get("endpoint") for line in request_lines} - {"", None}
    end = request_lines[-1]["at"]
    context = [
        line
        for line in lines
        if line["event"] in CONTEXT_EVENTS
        and line["node"] in nodes
        and end - CONTEXT_S <= line["at"] <= end
        and ("endpoint" not in line or line["endpoint"] in endpoints)
    ]
    crashes = collect_crash_lines(lines, request_lines[-1])
    return sorted(request_lines + context + crashes, key=lambda line: line["at"])


def collect_crash_lines(lines: list[Line], end: Line) -> list[Line]:
    """Return the verdicts and crashes for which a request was refused, the latest of them.

    Parameters
    ==========
    end : Line
        Last line of the request, whose detail names the identities that are blamed.
    """
    if not str(end.get("code", "")).startswith(CRASH_CODES):
        return []
    blamed = set(str(end.get("detail", "")).split(","))
    found = [
        line
        for line in lines
        if line["at"] <= end["at"] and (is_verdict_on(line, blamed) or is_crash_with(line, blamed))
    ]
    return found[-MAX_CRASH_LINES:]


def is_verdict_on(line: Line, blamed: set[str]) -> bool:
    """Return whether a line tells that one of some identities is suspected or quarantined."""
    return line["event"] in VERDICT_EVENTS and line.get("identity") in blamed


def is_crash_with(line: Line, blamed: set[str]) -> bool:
    """Return whether a line reports a crash during a call with one of some identities."""
    if line["event"] != "call.crashed":
        return False
    known = {line.get("fingerprint"), *str(line.get("parts", "")).split(",")}
    return bool(matching(blamed, known))


def describe_outcome(lines: list[Line], request: str, codes: dict[int, Code]) -> str:
    """Return a sentence that explains a request's outcome."""
    request_lines = [line for line in lines if line.get("id") == request]
    ends = [line for line in request_lines if line["event"].startswith("request.")]
    breaks = [line for line in request_lines if line["event"] == "endpoint.broke"]
    ambiguous = [line for line in request_lines if line["event"] == "endpoint.ambiguous"]
    if not ends:
        return "The logs hold no end of this request; its process may have ended before it."
    last = ends[-1]
    waited = last.get("granted_s", -1.0)
    where = f" at {last['endpoint']}" if last.get("endpoint") else ""
    if last["event"] == "request.left":
        what = "waited for an endpoint" if waited < 0 else f"ran{where}"
        return f"The caller left after {last['total_s']} s, while the request {what}."
    if last["event"] == "request.refused":
        number = str(last.get("code", "")).partition(" ")[0]
        code = codes.get(int(number)) if number.isdigit() else None
        meaning = code.meaning if code else "Refused for a reason that this release doesn't know."
        before = [f" Before, {line['endpoint']} broke off: {line['reason']}." for line in breaks]
        before += [f" Before, {line['endpoint']} answered {line['status']}." for line in ambiguous]
        return f"{meaning} Decided after {last['total_s']} s.{before[-1] if before else ''}"
    if last.get("fault"):
        reason = f": {breaks[-1]['reason']}" if breaks else ""
        return f"The answer{where} was {last['fault']}{reason}."
    if last.get("status", 0) >= 500:
        return f"The endpoint{where} answered {last['status']} itself, after {last['sends']} sends."
    return f"Answered {last['status']}{where} in {last['total_s']} s, after {waited} s of waiting."


def format_line(line: Line) -> str:
    """Return one log line as text in columns."""
    time = datetime.datetime.fromtimestamp(line["at"], datetime.UTC).strftime("%H:%M:%S.%f")[:-3]
    shown = {k: v for k, v in line.items() if k not in ("at", "node", "event", "id")}
    fields = " ".join(f"{name}={value}" for name, value in shown.items() if value not in ("", -1))
    return f"{time} {line['node']:<24} {line['event']:<20} {fields}"


def read_texts(files: list[str]) -> Iterable[str]:
    """Yield the lines of files, or of standard input."""
    if not files:
        yield from sys.stdin
    for path in files:
        with open(path, encoding="utf-8", errors="replace") as file:
            yield from file


@command("explain", "Explain one request from log files.", add_arguments)
def run(options: argparse.Namespace) -> int:
    """Print the log lines of a request and the cause of its outcome."""
    lines = parse_lines(read_texts(options.files))
    found = collect_request_lines(lines, options.request)
    if not found:
        print(f"no line of {options.request} among {len(lines)} lines", file=sys.stderr)
        return REFUSED
    reason = describe_outcome(lines, options.request, {code.number: code for code in load_codes()})
    if options.format == "json":
        print_json({"request": options.request, "cause": reason, "lines": found})
        return OK
    for line in found:
        print(format_line(line))
    print(reason)
    return OK
