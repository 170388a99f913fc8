"""Print the worth of each kind of request on simulated days, next to the floor of its day.

Run it with ``python -m bench.class_floors SITE_FILE ENTRY...``, where an entry is the identifier of
a run, score or hunt in `journal/`, or a part of it. A hunt prints no floors; its entry in the
journal has what each kind earned. Days without floors of their own are compared with the lowest
floor of the site's days.
"""

from __future__ import annotations

import argparse
import glob
import json
import os
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
# Worth below this multiple of the floor is marked: it can miss the floor with another seed.
FLOOR_MARGIN = 1.25


def load_site(path: str) -> dict:
    """Return the description of a deployment."""
    with open(path, "rb") as file:
        return tomllib.load(file)


def load_entries(parts: list[str]) -> list[dict]:
    """Return the journal's entries whose names contain one of the parts."""
    entries = []
    for path in sorted(glob.glob(os.path.join(ROOT, "journal", "*.json"))):
        if any(part in os.path.basename(path) for part in parts):
            with open(path, encoding="utf-8") as file:
                entries.append(json.load(file))
    return entries


def find_floor(site: dict, name: str) -> tuple[float, str]:
    """Return the floor of a day, and ``*`` if it is the lowest of the site, not its own."""
    floors = {day["name"]: day["floor_classes"][0] for day in site["day"] if "floor_classes" in day}
    own = name.split(" --")[0]
    if own in floors:
        return floors[own], ""
    return min(floors.values(), default=0.0), "*"


def describe_day(site: dict, day: dict) -> str:
    """Return a day as text: worth of each kind of request, floor, broken rules, shortfalls."""
    floor, mark = find_floor(site, day["name"])
    names = [item["name"] for item in site["classes"]]
    cells = []
    for name, worth in zip(names, day["by_class"], strict=False):
        if worth is None:
            continue
        sign = "!!" if worth < floor else "!" if worth < FLOOR_MARGIN * floor else ""
        cells.append(f"{name} {worth:.3f}{sign}")
    faults = [*sorted(day["rules"]), *day["short"]]
    text = f"{day['name']:56} worth {day['G']:6.3f}  floor {floor:.2f}{mark:1}  {', '.join(cells)}"
    return f"{text}  {'; '.join(faults)}" if faults else text


def main() -> None:
    """Print one line for each day of the selected entries."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("site", help="file of the deployment")
    parser.add_argument("entries", nargs="+", help="identifiers of journal entries")
    options = parser.parse_args()
    site = load_site(options.site)
    for entry in load_entries(options.entries):
        if entry["site"] != site["name"]:
            continue
        print(f"{entry['id']} on {entry['head'][:7]}: {entry['why']}")
        for day in entry["days"]:
            print("  " + describe_day(site, day))


if __name__ == "__main__":
    main()
