"""Results of the coordinator's steps, one class for each.

Explanation
===========
``execution`` is what the entry may report to its caller: ``not_run`` guarantees that this attempt
was not dispatched, ``unknown`` means that an earlier attempt may have run.
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
    """Attempt in the hands of its entry, which may begin it once.

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
        Whether ``begin`` or ``release`` was called, after which the attempt can't begin.
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
    """Another attempt waits or runs; ``record`` names its entry and endpoint."""

    record: Record
    code: Code = codes.IN_PROGRESS
    execution: Execution = Execution.UNKNOWN


@dataclass(frozen=True)
class Finished:
    """An attempt has finished.

    Explanation
    ===========
    ``record.answer`` is empty if no answer is kept. The outcome ``not_run`` means that the key was
    used up by an attempt that its entry released after its begin and before any dispatch.
    ``execution`` is derived from the outcome.
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
    """It can't be determined whether an earlier attempt ran, or whether a begin was accepted.

    Explanation
    ===========
    From ``claim`` and ``lookup`` the execution is ``unknown``. From ``begin`` it is ``not_run``:
    a replica may have accepted the begin, so the key is used up, but the attempt is not dispatched.
    ``record`` is a begin that only a minority of replicas holds. If that attempt was dispatched,
    its stream can be found at the endpoint that the record names.
    """

    detail: str = ""
    code: Code = codes.UNCERTAIN
    execution: Execution = Execution.UNKNOWN
    record: Record | None = None


@dataclass(frozen=True)
class Unavailable:
    """No majority answered in time; this attempt has not run and won't run."""

    detail: str = ""
    code: Code = codes.UNAVAILABLE
    execution: Execution = Execution.NOT_RUN


@dataclass(frozen=True)
class Begun:
    """A majority accepted the begin: the entry may dispatch once.

    Explanation
    ===========
    The entry calls ``may_dispatch`` immediately before it sends the first byte, since it may have
    been suspended. If the result is false, it releases the attempt and reports ``not_run``.

    Parameters
    ==========
    attempt : Attempt
    dispatch_before : float
        Monotonic time from which on the first byte may not be sent.
    """

    attempt: Attempt
    dispatch_before: float

    def may_dispatch(self, now: float) -> bool:
        """Return whether the first byte may still be sent."""
        return now < self.dispatch_before


@dataclass(frozen=True)
class Superseded:
    """Another attempt owns the key; this one has not run and won't run."""

    code: Code = codes.SUPERSEDED
    execution: Execution = Execution.NOT_RUN


@dataclass(frozen=True)
class Recorded:
    """A majority of replicas stored the step."""


@dataclass(frozen=True)
class Missing:
    """A majority has no record of the key."""


@dataclass(frozen=True)
class Pending:
    """Not decided yet: more replicas must be queried, or the step repeated later.

    Parameters
    ==========
    waiting_for : tuple[Attempt, ...]
        Other attempts that hold the key; their next step may decide this one.
    replaceable : tuple[Attempt, ...]
        Waiting attempts of entries that have left the membership. The claim may be repeated with
        one of them as ``replaces``.
    """

    waiting_for: tuple[Attempt, ...] = field(default=())
    replaceable: tuple[Attempt, ...] = field(default=())
