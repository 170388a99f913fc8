"""Outcomes of proposals, reads and voter changes."""

from __future__ import annotations

from dataclasses import dataclass

from mulberrygate.core.codes import Code, register_code
from mulberrygate.core.effects import Effect

NOT_LEADER = register_code(
    5101, "not_leader", "This voter does not lead; nothing was proposed.", 503
)
UNDETERMINED = register_code(
    5102, "undetermined", "The command may or may not have been committed.", 504
)
CHANGE_REFUSED = register_code(
    5103, "voter_change_refused", "The voter change can't be made now.", 409
)
STORAGE_FAILED = register_code(
    5104, "voter_storage_failed", "The voter's data folder is not usable.", 500
)


@dataclass(frozen=True)
class Proposed:
    """The leader has appended an entry to its log; it is not committed yet."""

    index: int
    term: int
    effects: list[Effect]


@dataclass(frozen=True)
class NotProposed:
    """Nothing was appended or read, because this voter is not the leader."""

    leader: str
    effects: list[Effect]


@dataclass(frozen=True)
class ReadStarted:
    """A read was started; `ReadReady` or `ReadFailed` with this number follows."""

    number: int
    effects: list[Effect]


@dataclass(frozen=True)
class ChangeRefused:
    """A voter change was refused; nothing was proposed."""

    reason: str
    effects: list[Effect]
    code: Code = CHANGE_REFUSED


@dataclass(frozen=True)
class Committed:
    """A command is durable on a majority and applied here; ``result`` is its outcome."""

    index: int
    result: object


@dataclass(frozen=True)
class ReadOk:
    """All entries that were committed before the call, at least up to ``index``, are applied."""

    index: int


@dataclass(frozen=True)
class NotLeader:
    """The command was not and will not be committed; ``leader`` is empty if it is not known."""

    leader: str
    code: Code = NOT_LEADER


@dataclass(frozen=True)
class VoterStopped:
    """A voter can't start, because its folder is not usable."""

    reason: str
    code: Code = STORAGE_FAILED


@dataclass(frozen=True)
class Undetermined:
    """It is not known whether the command was, or will be, committed."""

    reason: str
    code: Code = UNDETERMINED
