"""Write `docs/DAYS.md`: the standard days of each site over the scores in `journal/`.

Run it with ``python -m bench.journal_table``.
"""

from __future__ import annotations

import glob
import json
import os

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PAGE = os.path.join(ROOT, "docs", "DAYS.md")


def load_scores() -> list[dict]:
    """Return the complete scores in the journal, oldest first."""
    entries = []
    for path in glob.glob(os.path.join(ROOT, "journal", "*.json")):
        with open(path, encoding="utf-8") as file:
            entry = json.load(file)
        if entry.get("cmd") == "score" and entry.get("score") is not None:
            entries.append(entry)
    return sorted(entries, key=lambda entry: entry["at"][0])


def describe_day(day: dict | None) -> str:
    """Return a day's worth as text, with the rules that were broken."""
    if day is None:
        return "–"
    broken = ", ".join(sorted(day["rules"]))
    return f"{day['G']:.3f}" + (f" ({broken} broken)" if broken else "")


def describe_score(entry: dict) -> str:
    """Return the time and name of a score, and whether only light days were played."""
    light = " (light days)" if entry.get("mode") == "quick" else ""
    return f"{entry['at'][0][11:16]} `{entry['id'][:8]}`{light}"


def format_site_table(site: str, entries: list[dict]) -> list[str]:
    """Return the table of one site, with a row for each day and a column for each score."""
    by_entry = [{day["name"]: day for day in entry["days"]} for entry in entries]
    names = [name for name in by_entry[-1] if not name.startswith("fresh")]
    marks = {name: by_entry[-1][name] for name in names}
    heads = [describe_score(entry) for entry in entries]
    lines = [f"## {site}", ""]
    lines.append("| day | zero | one | processor s, wall s | " + " | ".join(heads) + " |")
    lines.append("|---|---|---|---|" + "---|" * len(entries))
    for name in names:
        worths = [describe_day(days.get(name)) for days in by_entry]
        zero, one = marks[name]["naive"], marks[name]["top"]
        times = f"{marks[name].get('cpu_s', 0):.0f}, {marks[name].get('wall_s', 0):.0f}"
        marked = f"| {name} | {zero:.3f} | {one:.3f} | {times} | "
        lines.append(marked + " | ".join(worths) + " |")
    scores = [f"**{entry['score']:.3f}**" for entry in entries]
    lines.append("| score of the site | | | | " + " | ".join(scores) + " |")
    return [*lines, ""]


def format_page() -> str:
    """Return the text of the page."""
    entries = load_scores()
    lines = [
        "# Days of the sites",
        "",
        "Column `worth` of each standard day in the scores of the journal (`bench.journal_table`).",
        "Times are those of the newest score, beside other plays on a shared machine.",
        "A day at its mark `zero` scores 0, at `one` 1. A site's score varies by 0.03 by itself.",
        "",
    ]
    for site in sorted({entry["site"] for entry in entries}):
        lines += format_site_table(site, [entry for entry in entries if entry["site"] == site])
    return "\n".join(lines)


if __name__ == "__main__":
    with open(PAGE, "w", encoding="utf-8") as target:
        target.write(format_page())
