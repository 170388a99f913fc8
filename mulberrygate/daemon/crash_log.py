"""Reports of crashed endpoints on their way into the control log, many in one command."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Awaitable, Callable

from mulberrygate.control.catalogs import CatalogStateMachine, PutCrashes
from mulberrygate.core.timers import TimerService
from mulberrygate.observe.jsonlines import JsonLines
from mulberrygate.sync.messages import CrashReport, CrashReportResult

# The calls of a lost endpoint are reported by many entries within some hundredths of a second.
GATHER_S = 0.03
FORGET_CRASHES_S = 30.0
# While a control process of an earlier release was heard within this time, nothing is committed,
# because its voter would stop at the command.
EARLIER_RELEASE_S = 10.0


class CrashLog:
    """Commit what entries report, one command at a time.

    Explanation
    ===========
    The end of one endpoint brings a report from each entry. A command for each would keep a leader
    with a slow disk from its heartbeats.

    Parameters
    ==========
    machine : Callable[[], CatalogStateMachine]
        Returns the replicated state, which a reopened voter replaces.
    commit : Callable[[PutCrashes], Awaitable[bool]]
        Puts a command into the log; returns whether it is committed for certain.
    """

    def __init__(
        self,
        machine: Callable[[], CatalogStateMachine],
        commit: Callable[[PutCrashes], Awaitable[bool]],
        timers: TimerService,
        lines: JsonLines,
    ):
        self.machine = machine
        self.commit = commit
        self.timers = timers
        self.lines = lines
        self.crashes: dict[tuple[str, str, int], None] = {}
        self.cleared: dict[str, None] = {}
        self.waiting: list[asyncio.Future] = []
        self.is_committing = False
        self.earlier_release_at = -math.inf
        self.number = 0
        self.quarantined: frozenset[str] = frozenset()

    async def on_report(self, report: CrashReport, sender: str) -> CrashReportResult:
        """Take an entry's report, and answer when it is in the log or could not be put there."""
        crashes = [(crash.call, crash.endpoint, crash.incarnation) for crash in report.crashes]
        for call, endpoint, incarnation in crashes:
            self.lines.log(
                "call.crash_heard",
                fingerprint=call,
                endpoint=endpoint,
                incarnation=incarnation,
                entry=sender,
            )
        self.crashes.update(dict.fromkeys(crashes))
        self.cleared.update(dict.fromkeys(report.cleared))
        result = asyncio.get_running_loop().create_future()
        self.waiting.append(result)
        if not self.is_committing:
            self.is_committing = True
            self.timers.spawn(self._commit_all())
        return CrashReportResult(await result)

    def note_earlier_release(self, now: float) -> None:
        """Take note that a control process can't apply the command."""
        self.earlier_release_at = now

    async def _put(self, command: PutCrashes) -> bool:
        if self.timers.now() - self.earlier_release_at < EARLIER_RELEASE_S:
            return False
        return await self.commit(command)

    async def _commit_all(self) -> None:
        try:
            while self.waiting:
                await asyncio.sleep(GATHER_S)
                await self._commit_batch()
        finally:
            self.is_committing = False

    async def _commit_batch(self) -> None:
        """Commit what has gathered, in one command."""
        crashes, self.crashes = tuple(self.crashes), {}
        cleared, self.cleared = tuple(self.cleared), {}
        waiting, self.waiting = self.waiting, []
        is_committed = False
        try:
            is_committed = await self._put(PutCrashes(crashes, cleared, time.time()))
        finally:
            for result in waiting:
                if not result.done():
                    result.set_result(is_committed)

    def follow(self) -> None:
        """Log the calls that came into quarantine and those that left it."""
        quarantine = self.machine().quarantine
        if quarantine.number <= self.number:
            return
        self.number = quarantine.number
        quarantined = frozenset(quarantine.quarantined)
        for call in quarantined - self.quarantined:
            self.lines.log("call.quarantined", fingerprint=call)
        for call in self.quarantined - quarantined:
            self.lines.log("call.released", fingerprint=call)
        self.quarantined = quarantined

    async def forget_old(self) -> None:
        """Let the log forget records whose time is over; for the leader."""
        now = time.time()
        if self.machine().quarantine.has_expired(now):
            await self._put(PutCrashes((), (), now))
