"""State of an instance as operators see it."""

from __future__ import annotations

import collections
from typing import Any, Protocol

from mulberrygate.control.commands import EvacuationState, MoveState, TableState

# Counters that are reported for each tier, and their names in the status.
TIER_COUNTERS = {
    "goodput_total": "goodput",
    "shed_total": "shed",
    "wasted_prefill_tokens_total": "wasted_prefill_tokens",
}


class Instance(Protocol):
    """Attributes of a daemon that its status is read from."""

    settings: Any
    in_force: Any
    voter: Any
    configuration_replica: Any
    web: Any
    pool_host: Any
    directory: Any
    parts: Any
    metrics: Any

    def view(self) -> Any:
        """Return the current view of the membership."""

    def is_ready(self) -> bool:
        """Return whether the instance takes new requests."""


def instance_status(daemon: Instance) -> dict[str, Any]:
    """Return the state of a daemon as plain values."""
    view = daemon.view()
    in_force = daemon.in_force
    voter = daemon.voter.status() if daemon.voter else {}
    return {
        "failure_domain": daemon.settings.failure_domain,
        "region": daemon.settings.region,
        "ready": daemon.is_ready(),
        "revision": daemon.configuration_replica.revision,
        "tables": {name: _table(state) for name, state in in_force.tables.items()},
        "moves": {name: _move(state) for name, state in in_force.moves.items()},
        "evacuations": _evacuations(daemon),
        "control": voter.get("role", "-"),
        "voter": voter,
        "active_requests": daemon.web.active_requests,
        "cut_off": ", ".join(d for d in sorted(view.regions) if not view.in_domain(d)),
        "pools": daemon.pool_host.status(),
        "endpoints": _endpoints(daemon),
        "shards": _shards(daemon),
        "tiers": _tiers(daemon),
    }


def _table(state: TableState) -> dict[str, Any]:
    return {"version": state.version, "digest": state.digest, "operator": state.operator}


def _evacuations(daemon: Instance) -> dict[str, dict[str, Any]]:
    """Return the evacuated failure domains, and how many requests of this instance run there."""
    running = collections.Counter(daemon.parts.scheduler.running_domains())
    evacuations: dict[str, EvacuationState] = daemon.in_force.evacuations
    return {
        name: {"operator": state.operator, "at": state.at, "running": running[name]}
        for name, state in evacuations.items()
    }


def _move(state: MoveState) -> dict[str, Any]:
    names = ("previous", "version", "stage", "share", "verdict", "reason")
    return {name: getattr(state, name) for name in names}


def _endpoints(daemon: Instance) -> list[dict[str, Any]]:
    names = ("endpoint", "pool", "failure_domain", "version", "accepts_work")
    now = daemon.timers.now()
    return [
        {name: getattr(view, name) for name in names}
        for pool in daemon.in_force.pools
        for view in daemon.directory.views(pool, now)
    ]


def _shards(daemon: Instance) -> dict[str, Any]:
    """Return how many ledger shards there are, and on which instances their replicas are."""
    shards = daemon.in_force.shards.values()
    replicas = [r for shard in shards if shard.active is not None for r in shard.active.replicas]
    is_alive = daemon.coordinator.is_alive
    present = (r.instance for r in replicas if is_alive(r.instance, r.incarnation))
    return {
        "number": len(shards),
        "preparing": sum(shard.preparing is not None for shard in shards),
        "replicas": dict(collections.Counter(present)),
    }


def _tiers(daemon: Instance) -> dict[str, dict[str, float]]:
    """Return the sums of the counters in `TIER_COUNTERS` for each tier."""
    rows: dict[str, dict[str, float]] = {}
    for (name, labels), value in daemon.metrics.counters.items():
        tier = dict(labels).get("tier")
        if name in TIER_COUNTERS and tier is not None:
            row = rows.setdefault(tier, dict.fromkeys(TIER_COUNTERS.values(), 0))
            row[TIER_COUNTERS[name]] += value
    return rows
