"""Print how stale the entries' documents were on a simulated day, and the owners' counts.

Run it with ``python -m bench.site_log FILE``, where the file holds what ``fleetbench run`` printed
with ``--log all``. It shows how long each acknowledged document took to be in force on entries, the
age of the documents in force when requests ended, and for each owner of an engine pool the requests
that it counted as running beside those that ran.
"""

from __future__ import annotations

import argparse
import bisect
import collections
import json
import re
from collections.abc import Iterator

import attrs

LINE = re.compile(r"\s*(-?[\d.]+) (\S+) (\{.*)")


@attrs.frozen
class LogLine:
    """Line of a process's log, with the second of the day and the name of its machine."""

    at: float
    machine: str
    fields: dict


def read_lines(path: str) -> Iterator[LogLine]:
    """Yield the structured lines of a file."""
    with open(path, encoding="utf-8", errors="replace") as file:
        for text in file:
            found = LINE.match(text)
            if found is None:
                continue
            try:
                yield LogLine(float(found[1]), found[2], json.loads(found[3]))
            except ValueError:
                continue


def print_delays(lines: list[LogLine], until: float) -> None:
    """Print the longest times from the commit of a document until an entry has it in force."""
    committed_at: dict[int, float] = {}
    in_force: dict[str, list[tuple[int, float]]] = collections.defaultdict(list)
    for line in lines:
        fields = line.fields
        if fields["event"] == "catalog.put" and fields["is_committed"]:
            committed_at.setdefault(fields["version"], line.at)
        elif fields["event"] == "catalog.in_force" and "control" in fields:
            in_force[line.machine].append((fields["version"], line.at))
    delays = []
    for version, at in committed_at.items():
        if not 0 <= at <= until:
            continue
        for machine, known in in_force.items():
            position = bisect.bisect_left(known, (version, 0.0))
            delay = known[position][1] - at if position < len(known) else float("inf")
            delays.append((round(delay, 2), version, machine))
    delays.sort(reverse=True)
    print(f"{len(delays)} documents on entries, acknowledged until second {until:g}; the latest:")
    for delay, version, machine in delays[:5]:
        print(f"  {delay:6.2f} s  version {version} on {machine}")


def print_ages(lines: list[LogLine]) -> None:
    """Print the age of the documents in force at the ends of requests, and counts of some codes."""
    ages = sorted(line.fields["catalog_age_s"] for line in lines if "catalog_age_s" in line.fields)
    if ages:
        middle, high = ages[len(ages) // 2], ages[len(ages) * 99 // 100]
        print(f"age at {len(ages)} requests: median {middle}, 99 in 100 {high}, highest {ages[-1]}")
    codes = collections.Counter(line.fields.get("code") for line in lines if "code" in line.fields)
    for code in sorted(code for code in codes if code and code[:4] in ("1202", "1203", "1209")):
        print(f"  {codes[code]} times {code}")


def print_owners(lines: list[LogLine], step: int = 2) -> None:
    """Print the running requests that owners of pools counted, next to those that ran."""
    runs = [
        (line.at - line.fields["total_s"] + line.fields["granted_s"], line.at, line.fields["pool"])
        for line in lines
        if line.fields["event"].startswith("request.") and line.fields["granted_s"] >= 0
    ]
    for line in lines:
        fields = line.fields
        is_wanted = fields["event"] == "pool.state" and fields["is_owner"] and line.at >= 0
        if not is_wanted or not line.machine.startswith("core") or int(line.at) % step:
            continue
        ran = sum(start <= line.at < end for start, end, pool in runs if pool == fields["pool"])
        counted = fields["running"]
        print(f"  {line.at:6.1f} {line.machine} {fields['pool']}: counted {counted}, ran {ran}")


def main() -> None:
    """Print the figures of one file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("file")
    parser.add_argument("--until", type=float, default=1e9, help="last second of acknowledgements")
    options = parser.parse_args()
    lines = [line for line in read_lines(options.file) if "event" in line.fields]
    print_delays(lines, options.until)
    print_ages(lines)
    print_owners(lines)


if __name__ == "__main__":
    main()
