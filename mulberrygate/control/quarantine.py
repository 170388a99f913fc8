"""Replicated record of crashes of endpoints, and the quarantine of what causes them.

Explanation
===========
Entries report the crashes that they see and the answers to what is suspected. The reports go
through the control log, so that every control process comes to the same verdicts, also after
restarts and network partitions. `mulberrygate.control.blame` decides who is guilty; its identities
are whole calls and shared parts of prompts.

Calls with a suspected identity are sent one at a time over all entries. Those with a quarantined
one are refused, except for a few trials, as a half-open circuit breaker allows them. An answer ends
suspicion and quarantine.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

import attrs

from mulberrygate.control.blame import (
    Candidate,
    Case,
    EndpointCrash,
    Verdicts,
    is_part,
    judge,
    matching,
    members,
)
from mulberrygate.control.quarantine_records import (
    QuarantineRecord,
    Trials,
    dump_values,
    load_values,
)

# Time for which a crash counts.
EVIDENCE_S = 900.0
# Pauses in seconds before the trials of a quarantined identity, counted from the crash or the trial
# before; there are no trials after the last one. A part has had its trials as a suspect.
TRIAL_PAUSES_S = (1.0, 20.0)
PART_TRIAL_PAUSES_S = (20.0, 120.0)
# Pause after a trial of a quarantined identity that had no outcome, as its caller left first. Such
# trials aren't limited; an innocent call would be refused until its quarantine expires.
TRIAL_RETRY_S = 10.0
# Pause before a suspected call is sent again.
SUSPECT_CALL_PAUSE_S = 5.0
# Pause before a call with a suspected part is sent: calls that were on their way at the crash have
# been answered by then, or have ended their endpoints.
SUSPECT_PART_PAUSE_S = 1.0
# The same for a call with several suspected parts. An answer to a call with one of them comes first
# and tells them apart.
SUSPECT_PARTS_PAUSE_S = 3.0
# Time for which a call stays suspected. Its caller repeats it within seconds, if at all.
SUSPECT_CALL_S = 60.0
# Time after which a trial of a suspect without an outcome counts as lost.
TRIAL_TIMEOUT_S = 3.0
# Many entries report the answers to one identity; more of them tell nothing until it is listed.
ANSWER_RENEWAL_S = 5.0
MAX_CRASHES = 128
MAX_ANSWERS = 4096
MAX_QUARANTINED = 1024


@attrs.frozen
class CrashEvidence:
    """Report that a call had yielded nothing when its endpoint crashed.

    Parameters
    ==========
    age_s : float
        Seconds from the crash to the report.
    ran_s : float
        Seconds from the send to the crash.
    """

    candidate: Candidate
    endpoint: str
    incarnation: int
    age_s: float = 0.0
    ran_s: float = math.inf


@attrs.frozen
class AnswerEvidence:
    """Report that an endpoint has answered a call with an identity, ``age_s`` seconds ago."""

    identity: str
    age_s: float = 0.0


@attrs.frozen
class QuarantinedIdentity:
    """Identity in quarantine as shown to operators.

    Parameters
    ==========
    identity : str
        Fingerprint of a call, or a part, as in the log lines.
    kind : str
        ``call`` or ``part``.
    crashes : int
        Number of endpoints that crashed.
    trials : int
        Number of trials since that crashed an endpoint.
    expires_s : float
        Seconds until the quarantine ends.
    """

    identity: str
    kind: str
    crashes: int
    trials: int
    expires_s: float


class QuarantineState:
    """Crashes and verdicts as recorded in the control log.

    Explanation
    ===========
    Times are those of the processes that propose the reports, but never go back, since a clock may
    be set.

    Attributes
    ==========
    number : int
        Rises with each change of `quarantined` or `suspects`; the same in all control processes.
    quarantined, suspects : tuple[str, ...]
        Identities whose calls may not be sent, and those whose calls are sent one at a time.
    verdicts : Verdicts
        Evidence against the identities that were found guilty last, and against the suspects.

    Examples
    ========
    >>> from mulberrygate.control.blame import Candidate
    >>> from mulberrygate.control.quarantine import CrashEvidence, QuarantineState
    >>> quarantine = QuarantineState()
    >>> for number in range(2):
    ...     candidate = Candidate(f"call-{number}", ("part-5c1e",), has_head=True)
    ...     _ = quarantine.put([CrashEvidence(candidate, f"e{number}", 1)], at=10.0 * number)
    >>> quarantine.quarantined
    ('part-5c1e',)
    """

    def __init__(self):
        self.number = 0
        self.clock = -math.inf
        self.crashes: dict[tuple[str, int], EndpointCrash] = {}
        self.answered_at: dict[str, float] = {}
        self.records: dict[str, QuarantineRecord] = {}
        self.trials: dict[str, Trials] = {}
        self.verdicts = Verdicts({}, {})
        self.quarantined: tuple[str, ...] = ()
        self.suspects: tuple[str, ...] = ()

    def put(
        self,
        crashes: Iterable[CrashEvidence] = (),
        answers: Iterable[AnswerEvidence] = (),
        released: Iterable[str] = (),
        at: float = 0.0,
    ) -> bool:
        """Apply reports; return whether anything changed.

        Parameters
        ==========
        released : Iterable[str]
            Identities that an operator releases.
        at : float
            Unix time in seconds at the process that proposes the reports.
        """
        self.clock = max(self.clock, at)
        is_change = self._drop_expired()
        for answer in answers:
            is_change |= self._add_answer(answer.identity, self.clock - answer.age_s)
        for released_identity in released:
            for identity in members(released_identity):
                is_change |= self._add_answer(identity, self.clock)
        for crash in crashes:
            is_change |= self._add_crash(crash)
        if is_change:
            self._judge()
        return is_change

    def _add_answer(self, identity: str, at: float) -> bool:
        renewal_s = 0.0 if self.is_listed(identity) else ANSWER_RENEWAL_S
        if at <= self.answered_at.get(identity, -math.inf) + renewal_s:
            return False
        self.answered_at.pop(identity, None)
        self.answered_at[identity] = at
        while len(self.answered_at) > MAX_ANSWERS:
            del self.answered_at[next(iter(self.answered_at))]
        self._drop_records_with(identity, at)
        return True

    def _drop_records_with(self, identity: str, at: float) -> None:
        """Drop the records of an identity, and of its joint ones, without a crash since a time."""
        found = [
            name
            for name, record in self.records.items()
            if identity in members(name) and record.last_crash_at <= at
        ]
        for name in found:
            del self.records[name]

    def _add_crash(self, evidence: CrashEvidence) -> bool:
        key = (evidence.endpoint, evidence.incarnation)
        at = self.clock - evidence.age_s
        crash = self.crashes.setdefault(key, EndpointCrash(at))
        is_change = crash.add(attrs.evolve(evidence.candidate, sent_at=at - evidence.ran_s))
        while len(self.crashes) > MAX_CRASHES:
            oldest = min(self.crashes, key=lambda other: self.crashes[other].at)
            del self.crashes[oldest]
        for name in matching(self.records, evidence.candidate.identities):
            self._add_crash_to_record(name, key, crash.at)
        return is_change

    def _add_crash_to_record(self, identity: str, key: tuple[str, int], at: float) -> None:
        """Add a crash to a quarantined identity, as the outcome of its trial if there is one."""
        record = self.records[identity]
        if key in record.crashes:
            return
        trials = self.trials.get(identity)
        if trials is not None and record.last_crash_at < trials.at <= at:
            trials.count += 1
        record.crashes.add(key)
        record.last_crash_at = max(record.last_crash_at, at)

    def _judge(self) -> None:
        """Update the verdicts, and the lists if these change."""
        self.verdicts = judge(self.crashes.values(), self.answered_at, self.records)
        for identity, case in self.verdicts.guilty.items():
            if identity not in self.records:
                self.records[identity] = QuarantineRecord(
                    set(self.crash_keys(case)), case.crashes[-1].at
                )
                self.trials.pop(identity, None)
        self._drop_decided_records()
        self._drop_oldest_records()
        before = self.quarantined, self.suspects
        self._update_lists()
        listed = {*self.quarantined, *self.suspects}
        self.trials = {name: trials for name, trials in self.trials.items() if name in listed}
        if before != (self.quarantined, self.suspects):
            self.number += 1

    def _update_lists(self) -> None:
        self.quarantined = tuple(self.records)
        suspects = self.verdicts.suspects.items()
        self.suspects = tuple(
            name
            for name, case in suspects
            if name not in self.records and self._suspicion_ends_at(case) > self.clock
        )

    @staticmethod
    def _suspicion_ends_at(case: Case) -> float:
        """Return the time at which a suspicion ends without an answer."""
        kept_s = EVIDENCE_S if is_part(case.identity) else SUSPECT_CALL_S
        return case.crashes[-1].at + kept_s

    def _drop_decided_records(self) -> None:
        """Drop the records of joint identities with a part that is quarantined by itself."""
        decided = [
            name
            for name in self.records
            if len(members(name)) > 1 and any(part in self.records for part in members(name))
        ]
        for name in decided:
            del self.records[name]

    def _drop_oldest_records(self) -> None:
        while len(self.records) > MAX_QUARANTINED:
            del self.records[min(self.records, key=lambda name: self.records[name].last_crash_at)]

    def _drop_expired(self) -> bool:
        old_crashes = [
            key for key, crash in self.crashes.items() if crash.at + EVIDENCE_S <= self.clock
        ]
        old_records = [
            name for name, record in self.records.items() if record.expires_at <= self.clock
        ]
        for key in old_crashes:
            del self.crashes[key]
        for name in old_records:
            del self.records[name]
        is_suspicion_over = any(
            self._suspicion_ends_at(self.verdicts.suspects[name]) <= self.clock
            for name in self.suspects
        )
        return bool(old_crashes or old_records or is_suspicion_over)

    def has_expired(self, at: float) -> bool:
        """Return whether a crash, a suspicion or a quarantine has expired at a Unix time."""
        ends = [crash.at + EVIDENCE_S for crash in self.crashes.values()]
        ends += [self._suspicion_ends_at(self.verdicts.suspects[name]) for name in self.suspects]
        ends += [record.expires_at for record in self.records.values()]
        return any(end <= at for end in ends)

    def is_listed(self, identity: str) -> bool:
        """Return whether an identity is suspected or quarantined."""
        return identity in self.records or identity in self.suspects

    def listed(self, identities: Iterable[str]) -> tuple[str, ...]:
        """Return what is suspected or quarantined, singly or jointly, of a call's identities."""
        known = tuple(identities)
        single = tuple(identity for identity in known if self.is_listed(identity))
        joint = matching((name for name in self.records if name not in known), known)
        return single + joint

    def trial_wait_s(self, identities: Iterable[str], at: float) -> float:
        """Return the seconds from a Unix time until a trial of a call is due.

        Parameters
        ==========
        identities : Iterable[str]
            All identities of the call.

        Returns
        =======
        float
            Infinite if no trial is left.
        """
        listed = self.listed(identities)
        suspected = [name for name in listed if name not in self.records and is_part(name)]
        part_pause_s = SUSPECT_PARTS_PAUSE_S if len(suspected) > 1 else SUSPECT_PART_PAUSE_S
        due_at = max((self._trial_due_at(name, part_pause_s) for name in listed), default=0.0)
        return max(0.0, due_at - max(self.clock, at))

    def _trial_due_at(self, identity: str, part_pause_s: float) -> float:
        """Return the time at which a trial of a call with a listed identity is due."""
        trials = self.trials.get(identity, Trials())
        record = self.records.get(identity)
        if record is not None:
            pauses = PART_TRIAL_PAUSES_S if is_part(identity) else TRIAL_PAUSES_S
            if trials.count >= len(pauses):
                return math.inf
            pause_s = pauses[trials.count]
            due_at = record.last_crash_at + pause_s
            has_outcome = trials.at <= record.last_crash_at
            return due_at if has_outcome else max(due_at, trials.at + max(pause_s, TRIAL_RETRY_S))
        crashed_at = self.verdicts.suspects[identity].crashes[-1].at
        due_at = crashed_at + (part_pause_s if is_part(identity) else SUSPECT_CALL_PAUSE_S)
        # A crash after the trial is its outcome.
        is_running = crashed_at <= trials.at
        return max(due_at, trials.at + TRIAL_TIMEOUT_S) if is_running else due_at

    def begin_trial(self, identities: Iterable[str], holder: str, at: float) -> bool:
        """Begin a trial of a call; return whether one was due for all its listed identities.

        Parameters
        ==========
        holder : str
            Identifier of the request for the trial.
        at : float
            Unix time in seconds at the process that proposes the trial.
        """
        known = tuple(identities)
        listed = self.listed(known)
        if not listed or self.trial_wait_s(known, at) > 0:
            return False
        self.clock = max(self.clock, at)
        for identity in listed:
            trials = self.trials.setdefault(identity, Trials())
            trials.at = self.clock
            trials.holder = holder
        return True

    def list_quarantined(self, at: float) -> list[QuarantinedIdentity]:
        """Return the quarantined identities at a Unix time, for operators."""
        return [
            QuarantinedIdentity(
                identity,
                "part" if is_part(identity) else "call",
                len(record.crashes),
                self.trials.get(identity, Trials()).count,
                max(0.0, record.expires_at - at),
            )
            for identity, record in self.records.items()
        ]

    def crash_keys(self, case: Case) -> list[tuple[str, int]]:
        """Return endpoint and incarnation of the crashes of a case."""
        found = {id(crash) for crash in case.crashes}
        return [key for key, crash in self.crashes.items() if id(crash) in found]

    def eliminated(self, case: Case) -> list[str]:
        """Return the other identities of a case's candidates that were answered."""
        found = {
            identity
            for crash in case.crashes
            for candidate in crash.candidates.values()
            for identity in candidate.identities
            if identity != case.identity and identity in self.answered_at
        }
        return sorted(found)

    def dump(self) -> list:
        """Return the whole state as plain values."""
        return dump_values(self)

    def load(self, values: list) -> None:
        """Replace the whole state by dumped values, also those of an earlier release."""
        load_values(self, values)
        self.verdicts = judge(self.crashes.values(), self.answered_at, self.records)
        self._update_lists()
