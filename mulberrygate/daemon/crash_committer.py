"""Batching of entries' crash reports into commands of the control log."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import attrs

from mulberrygate.control.blame import Case
from mulberrygate.control.catalogs import CatalogStateMachine, PutEvidence
from mulberrygate.core.timers import TimerService
from mulberrygate.daemon.command_gate import CommandGate
from mulberrygate.daemon.log_clock import LogClock
from mulberrygate.observe.jsonlines import JsonLines
from mulberrygate.sync.messages import Crash, CrashReport, CrashReportResult

# Many entries report the calls of a lost endpoint within some hundredths of a second.
BATCH_DELAY_S = 0.03
CRASH_EXPIRY_INTERVAL_S = 30.0
# Crashes, and eliminated identities, in one log line.
MAX_LOGGED = 8


@attrs.frozen
class PendingCrash:
    """Reported crash that the next command will hold.

    Parameters
    ==========
    crash : Crash
        Without its age.
    at : float
        Time on the log clock.
    """

    crash: Crash
    at: float


class CrashCommitter:
    """Commits entries' reports in batches, one command at a time.

    Explanation
    ===========
    When an endpoint is lost, each entry sends a report. One command per report would delay the
    heartbeats of a leader with a slow disk.

    Parameters
    ==========
    machine : Callable[[], CatalogStateMachine]
        Returns the current state machine; reopening the voter replaces it.
    commit : Callable[[PutEvidence], Awaitable[bool]]
        Proposes a command; returns whether it is certainly committed.
    clock : LogClock
        Clock of the times in commands.

    Attributes
    ==========
    crashes : dict[Crash, PendingCrash]
        Crashes that the next command will hold, without their ages.
    answers : dict[str, float]
        Time of the latest answer of each identity that the next command will hold.
    released : dict[str, None]
        Identities that an operator releases, as an ordered set.
    pending_results : list[asyncio.Future]
        Results of the reports that wait for the next command.
    quarantine_number : int
        Number of the quarantine whose changes were logged last.
    logged_quarantine, logged_suspects : frozenset[str]
        Identities as logged last.
    """

    def __init__(
        self,
        machine: Callable[[], CatalogStateMachine],
        commit: Callable[[PutEvidence], Awaitable[bool]],
        clock: LogClock,
        timers: TimerService,
        lines: JsonLines,
    ):
        self.machine = machine
        self.commit = commit
        self.clock = clock
        self.timers = timers
        self.lines = lines
        self.crashes: dict[Crash, PendingCrash] = {}
        self.answers: dict[str, float] = {}
        self.released: dict[str, None] = {}
        self.pending_results: list[asyncio.Future] = []
        self.is_committing = False
        self.gate = CommandGate()
        self.quarantine_number = 0
        self.logged_quarantine: frozenset[str] = frozenset()
        self.logged_suspects: frozenset[str] = frozenset()

    async def on_report(self, report: CrashReport, sender: str) -> CrashReportResult:
        """Queue an entry's report; answer when its command is committed or has failed."""
        now = self.clock.now()
        for crash in report.crashes:
            self.lines.log(
                "call.crash_heard",
                fingerprint=crash.call,
                parts=",".join(crash.parts),
                has_head=crash.has_head,
                endpoint=crash.endpoint,
                incarnation=crash.incarnation,
                entry=sender,
                age_s=round(crash.age_s, 3),
            )
            known = attrs.evolve(crash, age_s=0.0)
            self.crashes.setdefault(known, PendingCrash(known, now - crash.age_s))
        answers = [(answer.identity, now - answer.age_s) for answer in report.answers]
        answers += [(call, now) for call in report.cleared]
        for identity, at in answers:
            self.answers[identity] = max(at, self.answers.get(identity, at))
        is_committed = await self._commit_next()
        number = self.machine().quarantine.number if is_committed else 0
        return CrashReportResult(is_committed, number)

    async def release(self, identity: str) -> bool:
        """Release an identity on an operator's order; return whether that is committed."""
        self.released[identity] = None
        return await self._commit_next()

    async def _commit_next(self) -> bool:
        """Wait for the next command; return whether it is certainly committed."""
        result = asyncio.get_running_loop().create_future()
        self.pending_results.append(result)
        if not self.is_committing:
            self.is_committing = True
            self.timers.spawn(self._commit_all())
        return await result

    async def _put(self, command: PutEvidence) -> bool:
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
        command = self._take_command()
        results, self.pending_results = self.pending_results, []
        is_committed = False
        try:
            is_committed = await self._put(command)
        finally:
            for result in results:
                if not result.done():
                    result.set_result(is_committed)

    def _take_command(self) -> PutEvidence:
        """Return the command with all that is queued, and empty the queues."""
        now = self.clock.now()
        crashes = tuple(
            (
                pending.crash.call,
                pending.crash.parts,
                pending.crash.has_head,
                pending.crash.endpoint,
                pending.crash.incarnation,
                round(now - pending.at, 3),
                pending.crash.ran_s,
            )
            for pending in self.crashes.values()
        )
        answers = tuple((identity, round(now - at, 3)) for identity, at in self.answers.items())
        released = tuple(self.released)
        self.crashes, self.answers, self.released = {}, {}, {}
        return PutEvidence(crashes, answers, released, now)

    def log_quarantine_changes(self) -> None:
        """Log which identities were suspected, quarantined and released, and why."""
        quarantine = self.machine().quarantine
        if quarantine.number <= self.quarantine_number:
            return
        self.quarantine_number = quarantine.number
        quarantined = frozenset(quarantine.quarantined)
        suspects = frozenset(quarantine.suspects)
        for identity in sorted(suspects - self.logged_suspects):
            self._log_case("quarantine.suspected", quarantine.verdicts.suspects[identity])
        for identity in sorted(quarantined - self.logged_quarantine):
            case = quarantine.verdicts.guilty.get(identity)
            if case is not None:
                self._log_case("quarantine.added", case)
            else:
                self.lines.log("quarantine.known", identity=identity)
        for identity in sorted(self.logged_suspects - suspects - quarantined):
            answered_at = quarantine.answered_at.get(identity)
            self.lines.log(
                "quarantine.cleared", identity=identity, answer_age_s=self._age_s(answered_at)
            )
        for identity in sorted(self.logged_quarantine - quarantined):
            answered_at = quarantine.answered_at.get(identity)
            self.lines.log(
                "quarantine.released", identity=identity, answer_age_s=self._age_s(answered_at)
            )
        self.logged_quarantine = quarantined
        self.logged_suspects = suspects

    def _log_case(self, event: str, case: Case) -> None:
        """Log a verdict with the crashes that decided it and what was eliminated."""
        quarantine = self.machine().quarantine
        keys = quarantine.crash_keys(case)[-MAX_LOGGED:]
        self.lines.log(
            event,
            identity=case.identity,
            endpoints=",".join(endpoint for endpoint, _ in keys),
            ages_s=[self._age_s(quarantine.crashes[key].at) for key in keys],
            calls=len(case.calls),
            episodes=case.episodes,
            heads=case.heads,
            is_trusted=case.is_trusted,
            eliminated=",".join(quarantine.eliminated(case)[:MAX_LOGGED]),
        )

    def _age_s(self, at: float | None) -> float:
        """Return the age of a time on the log clock in seconds, -1 for no time."""
        return -1.0 if at is None else round(max(0.0, self.clock.now() - at), 3)

    async def expire_records(self) -> None:
        """Commit an empty command if crash records have expired; only called at the leader.

        Explanation
        ===========
        The command's time removes the records, so that all control processes drop the same ones.
        """
        now = self.clock.now()
        if self.machine().quarantine.has_expired(now):
            await self._put(PutEvidence((), (), (), now))
