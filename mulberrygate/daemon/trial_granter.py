"""Grants of trials, by which a suspected or quarantined call may be sent once."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from mulberrygate.control.catalogs import CatalogStateMachine, PutTrials
from mulberrygate.core.timers import TimerService
from mulberrygate.daemon.command_gate import CommandGate
from mulberrygate.daemon.log_clock import LogClock
from mulberrygate.observe.jsonlines import JsonLines
from mulberrygate.sync.messages import TrialRequest, TrialResult

# Time after which an entry may ask again if no trial could be decided.
UNDECIDED_WAIT_S = 1.0


class TrialGranter:
    """Grants trials of suspected and quarantined calls to entries, at the leader only.

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
    commit : Callable[[PutTrials], Awaitable[bool]]
        Proposes a command; returns whether it is certainly committed.
    clock : LogClock
        Clock of the times in commands.
    """

    def __init__(
        self,
        machine: Callable[[], CatalogStateMachine],
        is_leader: Callable[[], bool],
        commit: Callable[[PutTrials], Awaitable[bool]],
        clock: LogClock,
        timers: TimerService,
        lines: JsonLines,
    ):
        self.machine = machine
        self.is_leader = is_leader
        self.commit = commit
        self.clock = clock
        self.timers = timers
        self.lines = lines
        self.gate = CommandGate()

    async def on_request(self, request: TrialRequest, sender: str) -> TrialResult:
        """Grant a trial if one is due, or return how long the entry has to wait."""
        if not self.is_leader() or not self.gate.is_open(self.timers.now()):
            return TrialResult(False, UNDECIDED_WAIT_S)
        quarantine = self.machine().quarantine
        identities = (request.call, *request.parts)
        listed = quarantine.listed(identities)
        if not listed:
            return TrialResult(False, UNDECIDED_WAIT_S)
        wait_s = quarantine.trial_wait_s(identities, self.clock.now())
        if wait_s > 0:
            return TrialResult(False, wait_s)
        is_committed = await self.commit(PutTrials(identities, request.holder, self.clock.now()))
        is_granted = is_committed and self._is_holder(listed, request.holder)
        self.lines.log(
            "call.trial",
            fingerprint=request.call,
            identities=",".join(listed),
            entry=sender,
            is_granted=is_granted,
        )
        return TrialResult(is_granted, 0.0 if is_granted else UNDECIDED_WAIT_S)

    def _is_holder(self, identities: tuple[str, ...], holder: str) -> bool:
        """Return whether a request holds the last trial of all identities."""
        trials = self.machine().quarantine.trials
        return all(name in trials and trials[name].holder == holder for name in identities)
