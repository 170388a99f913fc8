"""Tagged outcomes of the coordinator's steps.

Explanation
===========
``execution`` says what the entry may tell its caller: ``not_run`` is a promise that no attempt of
the key was dispatched by this step's attempt, ``unknown`` that an earlier attempt may have run.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import attrs

from mulberrygate.core.codes import Code
from mulberrygate.core.outcome import Execution
from mulberrygate.ledger import codes
from mulberrygate.ledger.messages import Attempt, Record


@attrs.define(eq=False)
class OpenAttempt:
    """Attempt that its entry may still begin.

    Parameters
    ==========
    key : str
    fingerprint : bytes
    shard : str
        Name of the key's shard.
    attempt : Attempt
    asked : set[str]
        Instances that may hold a record of the attempt.
    is_used : bool
        ``begin`` or ``release`` was called; the attempt can't begin any more.
    """

    key: str
    fingerprint: bytes
    shard: str
    attempt: Attempt
    asked: set[str] = attrs.Factory(set)
    is_used: bool = False


@dataclass(frozen=True)
class Claimed:
    """The key is claimed for the attempt, which may begin."""

    attempt: OpenAttempt


@dataclass(frozen=True)
class InProgress:
    """Another attempt waits or runs; ``record`` says at which entry and endpoint."""

    record: Record
    code: Code = codes.IN_PROGRESS
    execution: Execution = Execution.UNKNOWN


@dataclass(frozen=True)
class Finished:
    """An attempt has finished.

    Explanation
    ===========
    ``record.answer`` is empty if none is kept. The outcome ``not_run`` says that the key is spent
    on an attempt that its entry gave up before it was dispatched; ``execution`` follows it.
    """

    record: Record
    code: Code = codes.FINISHED

    @property
    def execution(self) -> Execution:
        """Return what the recorded outcome says about the execution."""
        return Execution.COMPLETED if self.record.has_run() else Execution.NOT_RUN


@dataclass(frozen=True)
class Conflicting:
    """The key was used for a request with another body."""

    code: Code = codes.CONFLICTING
    execution: Execution = Execution.NOT_RUN


@dataclass(frozen=True)
class Uncertain:
    """It can't be determined whether an attempt ran.

    Explanation
    ===========
    From ``claim`` and ``lookup`` the execution is ``unknown``. From ``begin`` it is ``not_run``:
    a replica may have accepted the begin, so the key is spent, but the attempt is not dispatched.
    ``record`` is a begin that only a minority knows: if that attempt was dispatched, its endpoint
    is the one that the record names, so a stream can be looked for there.
    """

    detail: str = ""
    code: Code = codes.UNCERTAIN
    execution: Execution = Execution.UNKNOWN
    record: Record | None = None


@dataclass(frozen=True)
class Unavailable:
    """No majority answered in time; this attempt did not run and will not."""

    detail: str = ""
    code: Code = codes.UNAVAILABLE
    execution: Execution = Execution.NOT_RUN


@dataclass(frozen=True)
class Begun:
    """A majority accepted the begin: the entry may dispatch once.

    Explanation
    ===========
    The entry asks ``may_dispatch`` right before the first byte, since it may have been paused. If
    the answer is no, it releases the attempt and answers ``not_run``.

    Parameters
    ==========
    attempt : Attempt
    dispatch_before : float
        Monotonic time after which no first byte may be sent any more.
    """

    attempt: Attempt
    dispatch_before: float

    def may_dispatch(self, now: float) -> bool:
        """Return whether the first byte may still be sent."""
        return now < self.dispatch_before


@dataclass(frozen=True)
class Superseded:
    """Another attempt owns the key; this one did not run and will not."""

    code: Code = codes.SUPERSEDED
    execution: Execution = Execution.NOT_RUN


@dataclass(frozen=True)
class Recorded:
    """A majority recorded the outcome, or the release."""


@dataclass(frozen=True)
class Missing:
    """A majority has no record of the key."""


@dataclass(frozen=True)
class Pending:
    """Not decided yet: ask more replicas, or ask again later.

    Parameters
    ==========
    waiting_for : tuple[Attempt, ...]
        Other attempts whose next step may decide.
    replaceable : tuple[Attempt, ...]
        Waiting attempts of entries that are gone; the claim may be repeated with one of them.
    """

    waiting_for: tuple[Attempt, ...] = field(default=())
    replaceable: tuple[Attempt, ...] = field(default=())
