"""Subcommand `status`: state of all instances."""

from __future__ import annotations

import argparse

from mulberrygate.cli.command import (
    OK,
    add_entry_arguments,
    add_format_argument,
    call_entry,
    command,
    print_json,
    print_problem,
    print_rows,
)

YES_NO = {True: "yes", False: "no"}


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the subcommand."""
    add_entry_arguments(parser)
    add_format_argument(parser)


@command("status", "Show tables, moves, instances, pools and endpoints.", add_arguments)
def run(options: argparse.Namespace) -> int:
    """Print the state that the instances report."""
    reply = call_entry(options, "GET", "/admin/status")
    if reply.status != 200:
        return print_problem(reply)
    status = reply.json()
    if options.format == "json":
        print_json(status)
        return OK
    print_tables(status["summary"])
    print_evacuations(status["summary"].get("evacuations", {}))
    print_instances(status)
    print_pools(status["instances"])
    print_goodput(status["instances"])
    return OK


def print_tables(summary: dict) -> None:
    """Print the tables and moves in force."""
    for name, table in sorted(summary["tables"].items()):
        print(f"{name} version {table['version']} in force, applied by {table['operator'] or '-'}")
    print(f"revision {summary['revision']} in force on {summary['in_force_on']} instances")
    if summary["behind"]:
        print(f"behind: {', '.join(summary['behind'])}")
    for name, move in sorted(summary["moves"].items()):
        stage = f"stage {move['stage']}"
        reason = f" ({move['reason']})" if move["reason"] not in ("", stage) else ""
        state = f"{move['verdict'] or stage}, share {move['share']:.1%}{reason}"
        print(f"move of {name} {move['previous']} -> {move['version']}: {state}")


def print_evacuations(evacuations: dict) -> None:
    """Print the evacuated failure domains and the requests that still run there."""
    for name, row in sorted(evacuations.items()):
        print(
            f"{name} is evacuated on {row['in_force_on']} instances by {row['operator'] or '-'}, "
            f"{row['running']} requests run there"
        )


def print_instances(status: dict) -> None:
    """Print one row for each instance."""
    rows = [
        (
            name,
            state["failure_domain"],
            YES_NO[state["ready"]],
            state["revision"],
            state["control"],
            state["active_requests"],
            state["cut_off"] or "-",
        )
        for name, state in sorted(status["instances"].items())
    ]
    rows += [(name, "-", "unreachable", "-", "-", "-", "-") for name in status["unreachable"]]
    header = (
        "instance",
        "failure domain",
        "ready",
        "revision",
        "control",
        "active",
        "cut off from",
    )
    print()
    print_rows(header, rows)


def print_pools(instances: dict[str, dict]) -> None:
    """Print one row for each pool scheduler and each endpoint."""
    pools = [
        (pool, state["failure_domain"], name, figures["waiting"], figures["running"])
        for name, state in sorted(instances.items())
        for pool, figures in sorted(state["pools"].items())
        if figures["owner"]
    ]
    if pools:
        print()
        print_rows(("pool", "failure domain", "scheduler", "waiting", "running"), pools)
    endpoints = {}
    for state in instances.values():
        for endpoint in state["endpoints"]:
            if endpoint["failure_domain"] == state["failure_domain"]:
                endpoints[endpoint["endpoint"]] = endpoint
    if endpoints:
        print()
        rows = [
            (
                name,
                e["pool"],
                e["failure_domain"],
                e["version"],
                "yes" if e["accepts_work"] else "no",
            )
            for name, e in sorted(endpoints.items())
        ]
        print_rows(("endpoint", "pool", "failure domain", "version", "accepts work"), rows)


def print_goodput(instances: dict[str, dict]) -> None:
    """Print goodput and wasted prefill by tier, summed over the instances."""
    totals: dict[str, list[float]] = {}
    for state in instances.values():
        for tier, figures in state["tiers"].items():
            row = totals.setdefault(tier, [0, 0, 0])
            row[0] += figures["goodput"]
            row[1] += figures["shed"]
            row[2] += figures["wasted_prefill_tokens"]
    if totals:
        print()
        rows = [(tier, *(int(v) for v in row)) for tier, row in sorted(totals.items())]
        print_rows(("tier", "good answers", "shed", "wasted prefill tokens"), rows)
