"""Records of the quarantine, and their plain values for snapshots."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import TYPE_CHECKING

import attrs

from mulberrygate.control.blame import Candidate, EndpointCrash

if TYPE_CHECKING:
    from mulberrygate.control.quarantine import QuarantineState

QUARANTINE_S = 3600.0
# Fields of the values after the records; the values of earlier releases have fewer.
LATER_FIELDS = 5
# Crashes at which earlier releases quarantine a call.
EARLIER_CRASHES_TO_QUARANTINE = 3


@attrs.define
class Trials:
    """Calls with one identity that were sent although it is suspected or quarantined.

    Parameters
    ==========
    count : int
        Number of trials of a quarantined identity that crashed an endpoint.
    at : float
        Time of the last trial.
    holder : str
        Identifier of the request for the last trial.
    """

    count: int = 0
    at: float = -math.inf
    holder: str = ""


@attrs.define
class QuarantineRecord:
    """Identity in quarantine.

    Parameters
    ==========
    crashes : set[tuple[str, int]]
        Endpoint and incarnation of the crashes that are known for it.
    last_crash_at : float
        Time of the last of them.
    """

    crashes: set[tuple[str, int]]
    last_crash_at: float

    @property
    def expires_at(self) -> float:
        """Time at which the quarantine ends."""
        return self.last_crash_at + QUARANTINE_S


def dump_values(state: QuarantineState) -> list:
    """Return the whole state as plain values."""
    crashes = [
        [*key, crash.at, [attrs.astuple(item) for item in crash.candidates.values()]]
        for key, crash in state.crashes.items()
    ]
    records = [
        [identity, sorted([*crash] for crash in record.crashes), record.last_crash_at]
        for identity, record in state.records.items()
    ]
    trials = [[identity, *attrs.astuple(trials)] for identity, trials in state.trials.items()]
    # Earlier releases read the first three fields, and expect a record for each trial.
    of_records = [row for row in trials if row[0] in state.records]
    of_suspects = [row for row in trials if row[0] not in state.records]
    answers = list(state.answered_at.items())
    return [state.number, records, of_records, of_suspects, state.clock, crashes, answers]


def load_values(state: QuarantineState, values: list) -> None:
    """Replace the whole state, except for verdicts and lists, by dumped values."""
    state.number, records, *later = values
    if len(later) < LATER_FIELDS:
        _load_earlier(state, records, later[0] if later else ())
        return
    of_records, of_suspects, state.clock, crashes, answers = later
    state.records = {
        identity: QuarantineRecord({(name, number) for name, number in keys}, last_crash_at)
        for identity, keys, last_crash_at in records
    }
    state.trials = {identity: Trials(*fields) for identity, *fields in (*of_records, *of_suspects)}
    state.crashes = {
        (endpoint, incarnation): _load_crash(at, candidates)
        for endpoint, incarnation, at, candidates in crashes
    }
    state.answered_at = dict((identity, at) for identity, at in answers)


def _load_crash(at: float, candidates: list) -> EndpointCrash:
    found = {
        call: Candidate(call, tuple(parts), has_head, sent_at)
        for call, parts, has_head, sent_at in candidates
    }
    return EndpointCrash(at, found)


def _load_earlier(state: QuarantineState, records: list, trials: Iterable) -> None:
    """Load the values of an earlier release, which counts the crashes of whole calls."""
    state.clock = max((last_at for _, _, last_at in records), default=-math.inf)
    state.crashes, state.answered_at, state.records = {}, {}, {}
    for call, keys, last_at in records:
        crashes = {(endpoint, incarnation) for endpoint, incarnation in keys}
        if len(crashes) >= EARLIER_CRASHES_TO_QUARANTINE:
            state.records[call] = QuarantineRecord(crashes, last_at)
    state.trials = {call: Trials(*fields) for call, *fields in trials if call in state.records}
