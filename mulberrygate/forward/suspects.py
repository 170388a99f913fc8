"""Calls that crash endpoints: local reports and the known quarantine."""

from __future__ import annotations

import asyncio
import enum
import math
from collections.abc import Callable

import attrs

from mulberrygate.control.blame import TRUST_S, Candidate, matching, members
from mulberrygate.control.quarantine import AnswerEvidence, CrashEvidence, QuarantineState
from mulberrygate.core.boot_time import seconds_since_boot
from mulberrygate.forward.request import Call
from mulberrygate.forward.unanswered import UnansweredSend
from mulberrygate.sync.messages import Answered, Crash, CrashReport

MAX_KEPT = 1024
# Parts whose last answers are remembered.
MAX_ANSWERS = 4096
# Crashes, and answers, in one message.
MAX_REPORTED = 256
# Time until an answer to the same identity is reported again.
REPORT_AGAIN_S = 1.0
# Time for which an earlier answer exempts a part from a new suspicion. By then the control group
# has this answer and has ended the suspicion if that suffices.
EXEMPT_S = 1.0
# Time for which a reported crash counts here while the list that takes it into account is awaited.
AWAIT_LIST_S = 2.0
# Time after which a list with a lower number counts: the control group was formed anew.
LOWER_NUMBER_S = 5.0


class Standing(enum.Enum):
    """Whether a call may be sent."""

    # Nothing is known against it.
    CLEAR = "clear"
    # It may be sent as a trial, one call at a time over all entries.
    SUSPECTED = "suspected"
    # It may not be sent, but for a few trials.
    QUARANTINED = "quarantined"


@attrs.frozen
class Finding:
    """Standing of a call, and its identities that are suspected or quarantined."""

    standing: Standing
    identities: tuple[str, ...] = ()


CLEAR = Finding(Standing.CLEAR)


@attrs.define
class LocalCrash:
    """Crash that this entry has seen.

    Parameters
    ==========
    at : float
        Seconds since the boot of the machine.
    list_number : int
        Number of the list that takes it into account, 0 while it is not in the control log.
    reported_at : float
        Time at which it was in the control log.
    """

    crash: Crash
    at: float
    list_number: int = 0
    reported_at: float = math.inf


def drop_oldest(items: dict, limit: int) -> None:
    """Drop the oldest items beyond a limit."""
    while len(items) > limit:
        del items[next(iter(items))]


class Suspects:
    """Evidence of this entry, and the quarantine of the control processes.

    Explanation
    ===========
    Calls are identified by the fingerprint of their content and by the shared parts of their
    prompts. Crashes are reported until they are in the control log. Until a list takes them into
    account, the entry judges them by itself, as the control processes do.

    Parameters
    ==========
    on_crash : Callable[[Crash], None]
        Called with each new crash.
    on_report : Callable[[], None]
        Called when there is a new report.
    clock : Callable[[], float]
        Seconds, also counted while the machine is suspended.

    Attributes
    ==========
    quarantine_number : int
        Number of the list that was taken over last, as the control processes count them.
    quarantined, suspected : dict[str, float]
        Identities of that list, with the times since which they are in it.
    joint : tuple[str, ...]
        Joint identities among the quarantined ones.
    changed : asyncio.Event
        Set and replaced by a new event when a call's standing may have changed.
    crashes : dict[Crash, LocalCrash]
        Crashes that are not yet in a list.
    answered_parts : dict[str, float]
        Time of the last answer to calls with a part, by identity.
    unreported_answers, reported_answers : dict[str, float]
        Times of answers to listed identities, to be reported and reported last.
    """

    def __init__(
        self,
        on_crash: Callable[[Crash], None],
        on_report: Callable[[], None],
        clock: Callable[[], float] = seconds_since_boot,
    ):
        self.on_crash = on_crash
        self.on_report = on_report
        self.clock = clock
        self.quarantine_number = 0
        self.lower_number_since = math.inf
        self.quarantined: dict[str, float] = {}
        self.suspected: dict[str, float] = {}
        self.joint: tuple[str, ...] = ()
        self.changed = asyncio.Event()
        self.crashes: dict[Crash, LocalCrash] = {}
        self.local = QuarantineState()
        self.answered_parts: dict[str, float] = {}
        self.unreported_answers: dict[str, float] = {}
        self.reported_answers: dict[str, float] = {}

    def update_quarantine(
        self, quarantine_number: int, quarantined: tuple[str, ...], suspected: tuple[str, ...]
    ) -> None:
        """Take over the list of a control process that is current.

        Explanation
        ===========
        A process may lag behind by a second, so a list with a lower number counts only if no
        other one has come for `LOWER_NUMBER_S`.
        """
        now = self.clock()
        if quarantine_number == self.quarantine_number:
            self.lower_number_since = math.inf
            return
        if quarantine_number < self.quarantine_number:
            self.lower_number_since = min(self.lower_number_since, now)
            if now < self.lower_number_since + LOWER_NUMBER_S:
                return
        self.lower_number_since = math.inf
        self.quarantine_number = quarantine_number
        self.quarantined = {name: self.quarantined.get(name, now) for name in quarantined}
        self.suspected = {name: self.suspected.get(name, now) for name in suspected}
        self.joint = tuple(name for name in quarantined if len(members(name)) > 1)
        self._drop_listed_crashes(now)
        self._report_earlier_answers(now)
        self._announce_change()

    def _announce_change(self) -> None:
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def _drop_listed_crashes(self, now: float) -> None:
        """Drop the crashes that the list takes into account, and judge the rest."""
        kept = {
            crash: local
            for crash, local in self.crashes.items()
            if (local.list_number or math.inf) > self.quarantine_number
            and now < local.reported_at + AWAIT_LIST_S
        }
        if len(kept) < len(self.crashes):
            self.crashes = kept
            self._judge_again()

    def _judge_again(self) -> None:
        self.local = QuarantineState()
        for local in self.crashes.values():
            self._judge(local)

    def _judge(self, local: LocalCrash) -> None:
        """Add a crash to the local verdicts, with the earlier answers to its parts."""
        crash = local.crash
        candidate = Candidate(crash.call, crash.parts, crash.has_head)
        evidence = CrashEvidence(candidate, crash.endpoint, crash.incarnation, ran_s=crash.ran_s)
        answers = [
            AnswerEvidence(part, max(0.0, local.at - self.answered_parts[part]))
            for part in crash.parts
            if part in self.answered_parts
        ]
        self.local.put([], answers, at=local.at)
        self.local.put([evidence], at=local.at)

    def _report_earlier_answers(self, now: float) -> None:
        """Report the earlier answers to parts that are listed now."""
        listed = [*self.suspected, *self.quarantined]
        recent = {
            name: self.answered_parts[name]
            for name in listed
            if self.answered_parts.get(name, -math.inf) > now - TRUST_S
        }
        for name, at in recent.items():
            if at > self.reported_answers.get(name, -math.inf):
                self.unreported_answers[name] = at
        if self.unreported_answers:
            self.on_report()

    def find(self, call: Call) -> Finding:
        """Return the standing of a call."""
        if not (self.quarantined or self.suspected or self.crashes):
            return CLEAR
        now = self.clock()
        self._drop_awaited_crashes(now)
        identities = call.identities
        quarantined = self._quarantined_of(identities)
        quarantined = quarantined or tuple(
            name for name in identities if self._has_crash_beyond_list(name, now)
        )
        if quarantined:
            return Finding(Standing.QUARANTINED, quarantined)
        suspected = tuple(name for name in identities if self._is_suspected(name, now))
        if suspected:
            return Finding(Standing.SUSPECTED, suspected)
        return CLEAR

    def _quarantined_of(self, identities: tuple[str, ...]) -> tuple[str, ...]:
        """Return what is quarantined of a call's identities, singly or jointly."""
        single = (name for name in identities if name in self.quarantined)
        joint = matching(self.joint, identities)
        local = matching(self.local.records, identities)
        return tuple(dict.fromkeys((*single, *joint, *local)))

    def _drop_awaited_crashes(self, now: float) -> None:
        if any(now >= local.reported_at + AWAIT_LIST_S for local in self.crashes.values()):
            self._drop_listed_crashes(now)

    def _has_crash_beyond_list(self, identity: str, now: float) -> bool:
        """Return whether a suspect has one more crash, which isn't in the list yet."""
        if identity not in self.suspected or self._is_exempt(identity, now):
            return False
        return self._is_of_local_crash(identity)

    def _is_of_local_crash(self, identity: str) -> bool:
        """Return whether an identity is that of a call in a crash that isn't in a list yet."""
        return any(identity in (crash.call, *crash.parts) for crash in self.crashes)

    def _is_suspected(self, identity: str, now: float) -> bool:
        if identity in self.local.verdicts.suspects:
            return True
        return identity in self.suspected and not self._is_exempt(identity, now)

    def _is_exempt(self, identity: str, now: float) -> bool:
        """Return whether an answer that this entry has seen speaks for a suspected part."""
        since = self.suspected[identity]
        answered_at = self.answered_parts.get(identity, -math.inf)
        return answered_at > since - TRUST_S and now < max(since, answered_at) + EXEMPT_S

    def is_unreported(self, call: Call) -> bool:
        """Return whether a crash of a call or of its parts is not in the control log yet."""
        identities = set(call.identities)
        return any(
            not local.list_number and not identities.isdisjoint((crash.call, *crash.parts))
            for crash, local in self.crashes.items()
        )

    def record_answered(self, call: Call) -> None:
        """Record that an endpoint has begun to answer a call, which clears it of suspicion."""
        now = self.clock()
        for part in call.parts:
            self.answered_parts.pop(part, None)
            self.answered_parts[part] = now
        drop_oldest(self.answered_parts, MAX_ANSWERS)
        if not (self.quarantined or self.suspected or self.crashes):
            return
        is_new = False
        for identity in call.identities:
            if self._is_of_interest(identity):
                is_new |= self._queue_answer(identity, now)
        if is_new:
            self.on_report()

    def _is_of_interest(self, identity: str) -> bool:
        """Return whether an answer to an identity may end a suspicion."""
        if identity in self.quarantined or identity in self.suspected:
            return True
        return self._is_of_local_crash(identity)

    def _queue_answer(self, identity: str, now: float) -> bool:
        """Queue the report of an answer; return whether it is due."""
        self.local.put([], [AnswerEvidence(identity)], at=now)
        if now < self.reported_answers.get(identity, -math.inf) + REPORT_AGAIN_S:
            return False
        self.unreported_answers[identity] = now
        return True

    def record_crash(self, send: UnansweredSend, incarnation: int, age_s: float = 0.0) -> None:
        """Record that an endpoint crashed before it had yielded anything of a call's answer.

        Parameters
        ==========
        age_s : float
            Seconds since the end of the send.
        """
        ran_s = round(send.ended_at - send.sent_at, 3)
        crash = Crash(send.call, send.endpoint, incarnation, send.parts, send.has_head, ran_s=ran_s)
        if crash in self.crashes:
            return
        local = LocalCrash(crash, self.clock() - age_s)
        self.crashes[crash] = local
        drop_oldest(self.crashes, MAX_KEPT)
        self._judge(local)
        self._announce_change()
        self.on_crash(crash)
        self.on_report()

    def next_report(self) -> CrashReport | None:
        """Return a report of what is not yet in the control log, ``None`` if there is nothing."""
        now = self.clock()
        unreported = [local for local in self.crashes.values() if not local.list_number]
        crashes = tuple(
            attrs.evolve(local.crash, age_s=max(0.0, now - local.at))
            for local in unreported[:MAX_REPORTED]
        )
        answers = tuple(
            Answered(identity, max(0.0, now - at))
            for identity, at in list(self.unreported_answers.items())[:MAX_REPORTED]
        )
        return CrashReport(crashes, answers=answers) if crashes or answers else None

    def record_reported(self, report: CrashReport, list_number: int) -> None:
        """Record that a report is in the control log.

        Parameters
        ==========
        list_number : int
            Number of the list that takes it into account.
        """
        now = self.clock()
        for crash in report.crashes:
            local = self.crashes.get(attrs.evolve(crash, age_s=0.0))
            if local is not None:
                local.list_number = max(1, list_number)
                local.reported_at = now
        for answer in report.answers:
            at = self.unreported_answers.pop(answer.identity, now)
            self.reported_answers.pop(answer.identity, None)
            self.reported_answers[answer.identity] = at
        drop_oldest(self.reported_answers, MAX_KEPT)
        self._drop_listed_crashes(now)
