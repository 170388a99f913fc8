"""Scheduling of a pool: order, fairness, choice of endpoint and load shedding."""

from mulberrygate.schedule.messages import (
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

__all__ = [
    "Ask",
    "Done",
    "Grant",
    "Present",
    "Progress",
    "Refuse",
    "Running",
    "Ticket",
    "Withdraw",
]
