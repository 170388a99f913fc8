"""Reports over all instances: state and merged timeline."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any

from mulberrygate.control.messages import EventsAnswer, EventsQuery, StatusAnswer, StatusQuery
from mulberrygate.members.view import MembershipView, Status
from mulberrygate.observe.events import EventRing, StampedEvent
from mulberrygate.peers.client import PeerClient

QUERY_TIMEOUT_S = 2.0
# Limits the connections that a report over 360 instances opens at once.
MAX_PARALLEL_QUERIES = 32


class Reporter:
    """Collect the state and the events of all instances.

    Parameters
    ==========
    local_status : Callable[[], dict]
        State of this instance.
    """

    def __init__(
        self,
        peers: PeerClient,
        view: Callable[[], MembershipView],
        events: EventRing,
        local_status: Callable[[], dict],
    ):
        self.peers = peers
        self.view = view
        self.events = events
        self.local_status = local_status
        peers.on(EventsQuery, self.on_events)
        peers.on(StatusQuery, self.on_status)

    def on_events(self, message: EventsQuery, _sender: str) -> EventsAnswer:
        """Answer with the newest events of this instance."""
        return EventsAnswer(tuple(self.events.select(message.subjects, message.limit)))

    def on_status(self, _message: StatusQuery, _sender: str) -> StatusAnswer:
        """Answer with the state of this instance."""
        return StatusAnswer(json.dumps(self.local_status()))

    async def _query_all(self, message: Any, kind: type) -> tuple[dict[str, Any], list[str]]:
        """Return the answers by instance, and the instances that gave none."""
        semaphore = asyncio.Semaphore(MAX_PARALLEL_QUERIES)

        async def query(instance: str) -> Any:
            async with semaphore:
                return await self.peers.call(instance, message, QUERY_TIMEOUT_S)

        members = self.view().members
        names = sorted(name for name, m in members.items() if m.status is not Status.DEAD)
        answers = await asyncio.gather(*(query(name) for name in names))
        answered = {n: a for n, a in zip(names, answers, strict=True) if isinstance(a, kind)}
        missing = [name for name in members if name not in answered]
        return answered, sorted(missing)

    async def timeline(self, subjects: dict[str, str], limit: int) -> dict:
        """Return the merged events, and the instances that could not be reached."""
        answers, missing = await self._query_all(EventsQuery(subjects, limit), EventsAnswer)
        merged: list[StampedEvent] = [
            entry for answer in answers.values() for entry in answer.entries
        ]
        merged.sort(key=lambda entry: (entry.stamp, entry.instance))
        events = [
            {
                "stamp": str(entry.stamp),
                "wall_ms": entry.stamp.wall_ms,
                "instance": entry.instance,
                "kind": entry.event.kind,
                "subjects": entry.event.subjects,
                "detail": entry.event.detail,
            }
            for entry in merged[-limit:]
        ]
        return {"events": events, "unreachable": missing}

    async def status(self) -> dict:
        """Return the state of all instances, and those that could not be reached."""
        answers, missing = await self._query_all(StatusQuery(), StatusAnswer)
        instances = {name: json.loads(answer.text) for name, answer in answers.items()}
        return {"instances": instances, "unreachable": missing, "summary": summarise(instances)}


def summarise(instances: dict[str, dict]) -> dict:
    """Return the newest revision with its tables and moves, and the instances behind it."""
    revisions = {name: state.get("revision", 0) for name, state in instances.items()}
    newest = max(revisions.values(), default=0)
    behind = sorted(name for name, revision in revisions.items() if revision < newest)
    tables: dict = {}
    moves: dict = {}
    for state in instances.values():
        if state.get("revision", 0) == newest:
            tables, moves = state.get("tables", {}), state.get("moves", {})
            break
    return {
        "revision": newest,
        "in_force_on": len(revisions) - len(behind),
        "behind": behind,
        "tables": tables,
        "moves": moves,
        "evacuations": sum_evacuations(instances),
    }


def sum_evacuations(instances: dict[str, dict]) -> dict[str, dict]:
    """Return the evacuated failure domains that any instance knows.

    Explanation
    ===========
    ``running`` is the number of requests of all reached instances that still run there, and
    ``in_force_on`` the number of instances that know the evacuation.
    """
    found: dict[str, dict] = {}
    for state in instances.values():
        for name, known in state.get("evacuations", {}).items():
            row = found.setdefault(name, {**known, "running": 0, "in_force_on": 0})
            row["running"] += known["running"]
            row["in_force_on"] += 1
    return found
