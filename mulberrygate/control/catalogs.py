"""State machine of the control log: the replicated state of a deployment.

Explanation
===========
The document of a catalog is kept as the operator sent it, compressed, since a read returns it in
full and entries decode it themselves. The state machine knows only the version.
"""

from __future__ import annotations

import json
from collections.abc import Callable

import attrs
import msgpack

from mulberrygate.control.blame import Candidate
from mulberrygate.control.evacuations import Evacuations, PutEvacuation
from mulberrygate.control.quarantine import AnswerEvidence, CrashEvidence, QuarantineState
from mulberrygate.core.codes import register_code
from mulberrygate.core.invariant import invariant

# Endpoints that left are remembered, so that a late report can't undo an acknowledged departure.
MAX_LEFT_ENDPOINTS = 2048

CATALOG_REVERTED = register_code(
    9610, "catalog_reverted", "A catalog was replaced by one of a lower version."
)

RUNNING = "running"
DONE = "done"
ROLLED_BACK = "rolled_back"


@attrs.frozen
class PutCatalog:
    """Put a catalog in force if its version is higher than the one in force."""

    version: int
    document: bytes


@attrs.frozen
class PutLeaving:
    """Record that an incarnation of an endpoint accepts no new work."""

    endpoint: str
    incarnation: int


@attrs.frozen
class PutMove:
    """Start a version move, or record its verdict.

    Parameters
    ==========
    state : str
        `RUNNING`, `DONE` or `ROLLED_BACK`.
    started_at, deadline_at : float
        Unix time in seconds.
    """

    pool: str
    target: str
    state: str
    started_at: float = 0.0
    deadline_at: float = 0.0


@attrs.frozen
class Move:
    """Version move as recorded in the log."""

    target: str
    state: str
    started_at: float
    deadline_at: float


@attrs.frozen
class PutEvidence:
    """Record crashes of endpoints, answers, and the releases of operators.

    Parameters
    ==========
    crashes : tuple[tuple[str, tuple[str, ...], bool, str, int, float, float], ...]
        For each call that had yielded nothing at a crash: its fingerprint, the identities of its
        shared parts, whether the head of an answer had arrived, endpoint, incarnation, age in
        seconds, and seconds from the send to the crash.
    answers : tuple[tuple[str, float], ...]
        Identities that were answered, and the ages of the answers in seconds.
    released : tuple[str, ...]
        Identities that an operator releases.
    at : float
        Unix time in seconds.
    """

    crashes: tuple[tuple[str, tuple[str, ...], bool, str, int, float, float], ...]
    answers: tuple[tuple[str, float], ...]
    released: tuple[str, ...]
    at: float


@attrs.frozen
class PutTrials:
    """Begin a trial of a call with suspected or quarantined identities, if one is due.

    Parameters
    ==========
    holder : str
        Identifier of the request for the trial.
    at : float
        Unix time in seconds.
    """

    identities: tuple[str, ...]
    holder: str
    at: float


@attrs.frozen
class PutCrashes:
    """Command of earlier releases: `PutEvidence` for whole calls.

    Parameters
    ==========
    crashes : tuple[tuple[str, str, int], ...]
        Fingerprint of the call, endpoint and incarnation, for each crash.
    cleared : tuple[str, ...]
        Fingerprints of the answered calls.
    at : float
        Unix time in seconds.
    """

    crashes: tuple[tuple[str, str, int], ...]
    cleared: tuple[str, ...]
    at: float


@attrs.frozen
class PutTrial:
    """Command of earlier releases: `PutTrials` for one whole call.

    Parameters
    ==========
    call : str
        Fingerprint of the call.
    holder : str
        Identifier of the request for the trial.
    at : float
        Unix time in seconds.
    """

    call: str
    holder: str
    at: float


COMMANDS = {
    "catalog": PutCatalog,
    "leaving": PutLeaving,
    "move": PutMove,
    "crashes": PutCrashes,
    "trial": PutTrial,
    "evidence": PutEvidence,
    "trials": PutTrials,
    "evacuation": PutEvacuation,
}
KINDS = {cls: kind for kind, cls in COMMANDS.items()}


def encode_command(command: object) -> bytes:
    """Return the log entry of a command."""
    return msgpack.packb([KINDS[type(command)], list(attrs.astuple(command))])


def decode_command(data: bytes) -> object:
    """Return the command of a log entry."""
    kind, values = msgpack.unpackb(data)
    return COMMANDS[kind](*values)


class CatalogStateMachine:
    """Replicated state of a deployment.

    Parameters
    ==========
    on_change : Callable[[], None]
        Called after each change of the state.

    Attributes
    ==========
    revision : int
        Log index of the last change; 0 until the first change after the restore of a snapshot of
        an earlier release.
    """

    def __init__(self, on_change: Callable[[], None] = lambda: None):
        self.on_change = on_change
        self.revision = 0
        self.version = -1
        self.document = b""
        self.leaving: dict[str, int] = {}
        self.moves: dict[str, Move] = {}
        self.quarantine = QuarantineState()
        self.evacuations = Evacuations()

    def apply(self, index: int, command: bytes) -> object:
        """Apply a committed command and return whether it changed the state."""
        is_change = self._apply(index, decode_command(command))
        if is_change:
            self.revision = index
            self.on_change()
        return is_change

    def _apply(self, index: int, command: object) -> bool:
        if isinstance(command, PutCatalog):
            return self._put_catalog(command)
        if isinstance(command, PutLeaving):
            return self._put_leaving(command)
        if isinstance(command, PutEvidence):
            return self._put_evidence(command)
        if isinstance(command, PutCrashes):
            return self._put_crashes(command)
        if isinstance(command, PutTrials):
            return self.quarantine.begin_trial(command.identities, command.holder, command.at)
        if isinstance(command, PutTrial):
            return self.quarantine.begin_trial((command.call,), command.holder, command.at)
        if isinstance(command, PutEvacuation):
            return self.evacuations.put(command, index)
        return self._put_move(command)

    def _put_evidence(self, command: PutEvidence) -> bool:
        crashes = [
            CrashEvidence(Candidate(call, tuple(parts), has_head), *crash)
            for call, parts, has_head, *crash in command.crashes
        ]
        answers = [AnswerEvidence(identity, age_s) for identity, age_s in command.answers]
        return self.quarantine.put(crashes, answers, command.released, command.at)

    def _put_crashes(self, command: PutCrashes) -> bool:
        crashes = [
            CrashEvidence(Candidate(call), endpoint, incarnation)
            for call, endpoint, incarnation in command.crashes
        ]
        answers = [AnswerEvidence(call) for call in command.cleared]
        return self.quarantine.put(crashes, answers, (), command.at)

    def _put_catalog(self, command: PutCatalog) -> bool:
        if command.version <= self.version:
            return False
        invariant(command.version > self.version, CATALOG_REVERTED, f"{command.version}")
        self.version = command.version
        self.document = command.document
        return True

    def _put_leaving(self, command: PutLeaving) -> bool:
        if self.leaving.get(command.endpoint, -1) >= command.incarnation:
            return False
        self.leaving.pop(command.endpoint, None)
        self.leaving[command.endpoint] = command.incarnation
        while len(self.leaving) > MAX_LEFT_ENDPOINTS:
            del self.leaving[next(iter(self.leaving))]
        return True

    def _put_move(self, command: PutMove) -> bool:
        known = self.moves.get(command.pool)
        is_known = known is not None and known.target == command.target
        if command.state == RUNNING:
            if is_known:
                return False
            self.moves[command.pool] = Move(
                command.target, RUNNING, command.started_at, command.deadline_at
            )
            return True
        if not is_known or known.state != RUNNING:
            return False
        self.moves[command.pool] = attrs.evolve(known, state=command.state)
        return True

    def snapshot(self) -> bytes:
        """Return the whole state as a snapshot."""
        moves = {pool: list(attrs.astuple(move)) for pool, move in self.moves.items()}
        state = [self.version, self.document, self.leaving, moves]
        # Earlier releases can't read the last field, and can't apply the commands that fill it.
        later = [self.evacuations.dump()] if self.evacuations.domains else []
        return msgpack.packb([*state, self.quarantine.dump(), self.revision, *later])

    def moves_json(self) -> bytes:
        """Return the moves as JSON, for answers to reads of other processes."""
        moves = {pool: [move.state, move.target] for pool, move in self.moves.items()}
        return json.dumps(moves).encode()

    def restore(self, data: bytes) -> None:
        """Replace the whole state by that of a snapshot."""
        # Snapshots of earlier releases have no fields after the moves.
        version, document, leaving, moves, *later = msgpack.unpackb(data)
        invariant(version >= self.version, CATALOG_REVERTED, f"{self.version} to {version}")
        self.version = version
        self.document = document
        self.leaving = dict(leaving)
        self.moves = {pool: Move(*values) for pool, values in moves.items()}
        if later:
            quarantine, self.revision, *evacuations = later
            self.quarantine.load(quarantine)
            self.evacuations = Evacuations()
            if evacuations:
                self.evacuations.load(evacuations[0])
        self.on_change()
