"""Batching of entries' crash reports into commands of the control log."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

from mulberrygate.control.catalogs import CatalogStateMachine, PutCrashes
from mulberrygate.core.timers import TimerService
from mulberrygate.daemon.command_gate import CommandGate
from mulberrygate.observe.jsonlines import JsonLines
from mulberrygate.sync.messages import CrashReport, CrashReportResult

# Many entries report the calls of a lost endpoint within some hundredths of a second.
BATCH_DELAY_S = 0.03
CRASH_EXPIRY_INTERVAL_S = 30.0


class CrashCommitter:
    """Commits entries' crash reports in batches, one command at a time.

    Explanation
    ===========
    When an endpoint is lost, each entry sends a report. One command per report would delay the
    heartbeats of a leader with a slow disk.

    Parameters
    ==========
    machine : Callable[[], CatalogStateMachine]
        Returns the current state machine; reopening the voter replaces it.
    commit : Callable[[PutCrashes], Awaitable[bool]]
        Proposes a command; returns whether it is certainly committed.

    Attributes
    ==========
    crashes, cleared : dict
        Reported crashes and cleared calls that the next command will hold, as ordered sets.
    pending_results : list[asyncio.Future]
        Results of the reports that wait for the next command.
    quarantine_number : int
        Number of the quarantine whose changes were logged last.
    logged_quarantine : frozenset[str]
        Quarantined calls as logged last.
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
        self.pending_results: list[asyncio.Future] = []
        self.is_committing = False
        self.gate = CommandGate()
        self.quarantine_number = 0
        self.logged_quarantine: frozenset[str] = frozenset()

    async def on_report(self, report: CrashReport, sender: str) -> CrashReportResult:
        """Queue an entry's report; answer when its command is committed or has failed."""
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
        self.pending_results.append(result)
        if not self.is_committing:
            self.is_committing = True
            self.timers.spawn(self._commit_all())
        return CrashReportResult(await result)

    async def _put(self, command: PutCrashes) -> bool:
        if not self.gate.is_open(self.timers.now()):
            return False
        return await self.commit(command)

    async def _commit_all(self) -> None:
        try:
            while self.pending_results:
                await asyncio.sleep(BATCH_DELAY_S)
                await self._commit_batch()
        finally:
            self.is_committing = False

    async def _commit_batch(self) -> None:
        """Commit the queued reports in one command."""
        crashes, self.crashes = tuple(self.crashes), {}
        cleared, self.cleared = tuple(self.cleared), {}
        results, self.pending_results = self.pending_results, []
        is_committed = False
        try:
            is_committed = await self._put(PutCrashes(crashes, cleared, time.time()))
        finally:
            for result in results:
                if not result.done():
                    result.set_result(is_committed)

    def log_quarantine_changes(self) -> None:
        """Log the calls that were added to the quarantine and those that were released."""
        quarantine = self.machine().quarantine
        if quarantine.number <= self.quarantine_number:
            return
        self.quarantine_number = quarantine.number
        quarantined = frozenset(quarantine.quarantined)
        for call in quarantined - self.logged_quarantine:
            self.lines.log("call.quarantined", fingerprint=call)
        for call in self.logged_quarantine - quarantined:
            self.lines.log("call.released", fingerprint=call)
        self.logged_quarantine = quarantined

    async def expire_records(self) -> None:
        """Commit an empty command if crash records have expired; only called at the leader.

        Explanation
        ===========
        The command's time removes the records, so that all control processes drop the same ones.
        """
        now = time.time()
        if self.machine().quarantine.has_expired(now):
            await self._put(PutCrashes((), (), now))
