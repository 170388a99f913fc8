"""Scheduling of a pool: order, fairness, choice of endpoint and load shedding."""

from mulberrygate.schedule.effects import ObservedRequest
from mulberrygate.schedule.messages import (
    PREFIX_TOKENS,
    Ask,
    Done,
    Grant,
    Present,
    Progress,
    Refuse,
    Running,
    Ticket,
    Withdraw,
)
from mulberrygate.schedule.scheduler import PoolScheduler

__all__ = [
    "PREFIX_TOKENS",
    "Ask",
    "Done",
    "Grant",
    "ObservedRequest",
    "PoolScheduler",
    "Present",
    "Progress",
    "Refuse",
    "Running",
    "Ticket",
    "Withdraw",
]
