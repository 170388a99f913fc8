"""Replicated record of calls during which endpoints crashed.

Explanation
===========
A call that crashes every endpoint that runs it is refused after `CRASHES_TO_QUARANTINE` crashes.
Entries report the crashes that they see. The reports go through the control log, so that every
control process counts the same crashes, also after restarts and network partitions. An innocent
call that ran at the same time as a crashing one is cleared by the first valid answer to it.

A quarantined call is half-open, as a circuit breaker is: after a pause one entry may send it once.
A valid answer to this trial clears the call. The number of trials is limited, because each trial of
a call that does crash endpoints costs another one.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

import attrs

CRASHES_TO_QUARANTINE = 3
# A single crash doesn't make a call suspect, since a lost endpoint may have run many calls.
CRASHES_TO_SUSPECT = 2
SUSPECT_S = 900.0
QUARANTINE_S = 3600.0
# Pauses in seconds before the trials of a quarantined call, counted from the crash or the trial
# before. There are no trials after the last one.
TRIAL_PAUSES_S = (1.0, 20.0)
MAX_CALLS = 4096


@attrs.define
class CrashRecord:
    """Endpoints that crashed during one call.

    Parameters
    ==========
    crashes : set[tuple[str, int]]
        Endpoint and incarnation of each crash.
    last_report_at : float
        Unix time in seconds of the last report of a new crash.
    trials : int
        Number of trials since the call was quarantined.
    trial_at : float
        Unix time in seconds of the last trial.
    trial_holder : str
        Identifier of the request for the last trial.
    """

    crashes: set[tuple[str, int]] = attrs.field(factory=set)
    last_report_at: float = 0.0
    trials: int = 0
    trial_at: float = 0.0
    trial_holder: str = ""

    @property
    def is_quarantined(self) -> bool:
        """Whether no endpoint may run the call."""
        return len(self.crashes) >= CRASHES_TO_QUARANTINE

    @property
    def is_suspect(self) -> bool:
        """Whether one more crash would put the call into quarantine."""
        return CRASHES_TO_SUSPECT <= len(self.crashes) < CRASHES_TO_QUARANTINE

    def trial_wait_s(self, at: float) -> float:
        """Return the seconds from a Unix time until a trial is due, infinite if none is left."""
        if self.trials >= len(TRIAL_PAUSES_S):
            return math.inf
        since = max(self.last_report_at, self.trial_at)
        return max(0.0, since + TRIAL_PAUSES_S[self.trials] - at)

    @property
    def expires_at(self) -> float:
        """Unix time in seconds at which the record is dropped."""
        return self.last_report_at + (QUARANTINE_S if self.is_quarantined else SUSPECT_S)


@attrs.frozen
class QuarantinedCall:
    """Quarantined call as shown to operators.

    Parameters
    ==========
    fingerprint : str
        Fingerprint of the call, as in the log lines.
    crashes : int
        Number of endpoints that crashed during it.
    trials : int
        Number of times that it was sent since.
    expires_s : float
        Seconds until the quarantine ends.
    """

    fingerprint: str
    crashes: int
    trials: int
    expires_s: float


class QuarantineState:
    """Calls that crash endpoints, as recorded in the control log.

    Attributes
    ==========
    number : int
        Rises with each change of `quarantined` or `suspects`; the same in all control processes.
    quarantined : tuple[str, ...]
        Fingerprints of calls that no endpoint may run.
    suspects : tuple[str, ...]
        Fingerprints of calls that one more crash would put into quarantine.

    Examples
    ========
    >>> from mulberrygate.control.quarantine import QuarantineState
    >>> quarantine = QuarantineState()
    >>> for endpoint in ("e1", "e2", "e3"):
    ...     _ = quarantine.put([("call", endpoint, 1)], [], at=0.0)
    >>> quarantine.quarantined
    ('call',)
    """

    def __init__(self):
        self.number = 0
        self.records: dict[str, CrashRecord] = {}
        self.quarantined: tuple[str, ...] = ()
        self.suspects: tuple[str, ...] = ()

    def put(
        self, crashes: Iterable[tuple[str, str, int]], cleared: Iterable[str], at: float
    ) -> bool:
        """Apply reports; return whether anything changed.

        Parameters
        ==========
        crashes : Iterable[tuple[str, str, int]]
            Fingerprint, endpoint and incarnation.
        cleared : Iterable[str]
            Fingerprints of calls that an endpoint has answered.
        at : float
            Unix time in seconds at the process that proposes the reports.
        """
        is_change = self._drop_expired(at)
        for call in cleared:
            is_change |= self.records.pop(call, None) is not None
        for call, endpoint, incarnation in crashes:
            is_change |= self._add_crash(call, (endpoint, incarnation), at)
        self._drop_oldest(len(self.records) - MAX_CALLS)
        before = self.quarantined, self.suspects
        self._update_lists()
        if before != (self.quarantined, self.suspects):
            self.number += 1
        return is_change

    def begin_trial(self, call: str, holder: str, at: float) -> bool:
        """Begin a trial of a call; return whether one was due.

        Parameters
        ==========
        holder : str
            Identifier of the request for the trial.
        at : float
            Unix time in seconds at the process that proposes the trial.
        """
        record = self.records.get(call)
        if record is None or not record.is_quarantined or record.trial_wait_s(at) > 0:
            return False
        record.trials += 1
        record.trial_at = at
        record.trial_holder = holder
        return True

    def _update_lists(self) -> None:
        rows = self.records.items()
        self.quarantined = tuple(call for call, record in rows if record.is_quarantined)
        self.suspects = tuple(call for call, record in rows if record.is_suspect)

    def _add_crash(self, call: str, crash: tuple[str, int], at: float) -> bool:
        record = self.records.setdefault(call, CrashRecord())
        if crash in record.crashes:
            return False
        record.crashes.add(crash)
        record.last_report_at = max(record.last_report_at, at)
        return True

    def _drop_oldest(self, count: int) -> None:
        """Drop the oldest records, those of calls in quarantine last."""
        if count <= 0:
            return
        oldest = sorted(self.records, key=lambda call: self.records[call].is_quarantined)
        for call in oldest[:count]:
            del self.records[call]

    def _drop_expired(self, at: float) -> bool:
        expired = [call for call, record in self.records.items() if record.expires_at <= at]
        for call in expired:
            del self.records[call]
        return bool(expired)

    def has_expired(self, at: float) -> bool:
        """Return whether a record has expired."""
        return any(record.expires_at <= at for record in self.records.values())

    def list_quarantined(self, at: float) -> list[QuarantinedCall]:
        """Return the quarantined calls at a Unix time, for operators."""
        return [
            QuarantinedCall(
                call, len(record.crashes), record.trials, max(0.0, record.expires_at - at)
            )
            for call, record in self.records.items()
            if record.is_quarantined
        ]

    def dump(self) -> list:
        """Return the whole state as plain values.

        Explanation
        ===========
        Earlier releases don't know trials. They can read the values as long as there are none.
        """
        rows = [
            [call, sorted([*crash] for crash in record.crashes), record.last_report_at]
            for call, record in self.records.items()
        ]
        trials = [
            [call, record.trials, record.trial_at, record.trial_holder]
            for call, record in self.records.items()
            if record.trials
        ]
        return [self.number, rows, trials] if trials else [self.number, rows]

    def load(self, values: list) -> None:
        """Replace the whole state by dumped values."""
        self.number, rows, *later = values
        self.records = {
            call: CrashRecord(
                {(endpoint, incarnation) for endpoint, incarnation in crashes}, last_report_at
            )
            for call, crashes, last_report_at in rows
        }
        for call, trials, trial_at, trial_holder in later[0] if later else ():
            record = self.records[call]
            record.trials, record.trial_at, record.trial_holder = trials, trial_at, trial_holder
        self._update_lists()
