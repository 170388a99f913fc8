"""Grants of trials, by which a quarantined call may be sent once."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable

from mulberrygate.control.catalogs import CatalogStateMachine, PutTrial
from mulberrygate.core.timers import TimerService
from mulberrygate.daemon.command_gate import CommandGate
from mulberrygate.observe.jsonlines import JsonLines
from mulberrygate.sync.messages import TrialRequest, TrialResult

# Time after which an entry may ask again if no trial could be decided.
UNDECIDED_WAIT_S = 1.0


class TrialGranter:
    """Grants trials of quarantined calls to entries, at the leader only.

    Explanation
    ===========
    A trial is a command of the control log, so that over all entries and leaders there are no more
    than the quarantine allows.

    Parameters
    ==========
    machine : Callable[[], CatalogStateMachine]
        Returns the current state machine; reopening the voter replaces it.
    is_leader : Callable[[], bool]
        Returns whether this process leads the control group.
    commit : Callable[[PutTrial], Awaitable[bool]]
        Proposes a command; returns whether it is certainly committed.
    """

    def __init__(
        self,
        machine: Callable[[], CatalogStateMachine],
        is_leader: Callable[[], bool],
        commit: Callable[[PutTrial], Awaitable[bool]],
        timers: TimerService,
        lines: JsonLines,
    ):
        self.machine = machine
        self.is_leader = is_leader
        self.commit = commit
        self.timers = timers
        self.lines = lines
        self.gate = CommandGate()

    async def on_request(self, request: TrialRequest, sender: str) -> TrialResult:
        """Grant a trial if one is due, or return how long the entry has to wait."""
        if not self.is_leader() or not self.gate.is_open(self.timers.now()):
            return TrialResult(False, UNDECIDED_WAIT_S)
        record = self.machine().quarantine.records.get(request.call)
        if record is None or not record.is_quarantined:
            return TrialResult(False, UNDECIDED_WAIT_S)
        wait_s = record.trial_wait_s(time.time())
        if wait_s > 0:
            return TrialResult(False, wait_s)
        is_committed = await self.commit(PutTrial(request.call, request.holder, time.time()))
        record = self.machine().quarantine.records.get(request.call)
        is_granted = is_committed and record is not None and record.trial_holder == request.holder
        self.lines.log(
            "call.trial",
            fingerprint=request.call,
            entry=sender,
            number=record.trials if record is not None else 0,
            is_granted=is_granted,
        )
        return TrialResult(is_granted, 0.0 if is_granted else UNDECIDED_WAIT_S)
