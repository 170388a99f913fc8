"""Messages and records of the ledger.

Explanation
===========
Fields travel under one-letter names in their order, and fields that hold their default are left
out, because the ledger's messages are most of the control traffic of a daemon. A field that is
added later goes to the end of its class and has a default.
"""

from __future__ import annotations

import enum
import sys
from string import ascii_lowercase

import attrs
from cattrs.gen import make_dict_structure_fn, make_dict_unstructure_fn, override

from mulberrygate.core.outcome import Execution
from mulberrygate.core.wire import converter, message
from mulberrygate.ledger.views import ReplicaId

# Records live this long after their last change. After that a re-send of the key runs again.
RETENTION_S = 3600.0
# Answers are kept for this long and up to this size; 16 KiB for an hour would not fit in memory.
ANSWER_RETENTION_S = 600.0
MAX_ANSWER_BYTES = 16 * 1024

NOT_RUN = Execution.NOT_RUN.value
COMPLETED = Execution.COMPLETED.value


class Phase(enum.Enum):
    """Phase of a record."""

    WAITING = "w"
    RUNNING = "r"
    FINISHED = "f"
    UNCERTAIN = "u"


@attrs.frozen(order=True)
class Attempt:
    """Attempt to run a request: the number is used once by an incarnation of an entry."""

    instance: str = attrs.field(converter=sys.intern)
    incarnation: int
    number: int


NO_ATTEMPT = Attempt("", 0, 0)


@message("ledger.record")
@attrs.frozen
class Record:
    """What a replica knows about a key.

    Parameters
    ==========
    fingerprint : bytes
        Digest of the request's body.
    endpoint, address : str
        Where the attempt runs, once it has begun.
    outcome : str
        Empty until the attempt has finished; ``not_run`` for an attempt that began at this replica
        and that its entry gave up without dispatching.
    answer : bytes
        Small answer, only in messages; empty if none is kept.
    expires : float
        Seconds left in messages; monotonic time of the holder in memory.
    """

    key: str
    fingerprint: bytes
    attempt: Attempt
    phase: Phase
    endpoint: str = ""
    address: str = ""
    outcome: str = ""
    answer: bytes = b""
    expires: float = 0.0

    def has_run(self) -> bool:
        """Return whether the attempt has run and ended."""
        return self.phase is Phase.FINISHED and self.outcome != NOT_RUN


@message("ledger.claim")
@attrs.frozen
class Claim:
    """Claim a key for an attempt; takes over from ``replaces`` if that one is still waiting."""

    shard: str
    view: int
    key: str
    fingerprint: bytes
    attempt: Attempt
    replaces: Attempt = NO_ATTEMPT


@message("ledger.begin")
@attrs.frozen
class Begin:
    """Begin an attempt; bytes go out only after a majority of one view has accepted this."""

    shard: str
    view: int
    key: str
    fingerprint: bytes
    attempt: Attempt
    endpoint: str = ""
    address: str = ""


@message("ledger.finish")
@attrs.frozen
class Finish:
    """Record the outcome of an attempt that was dispatched."""

    shard: str
    view: int
    key: str
    fingerprint: bytes
    attempt: Attempt
    outcome: str = COMPLETED
    answer: bytes = b""


@message("ledger.release")
@attrs.frozen
class Release:
    """Give an attempt up that was not dispatched and never will be."""

    shard: str
    view: int
    key: str
    attempt: Attempt


@message("ledger.lookup")
@attrs.frozen
class Lookup:
    """Ask for the record of a key."""

    shard: str
    view: int
    key: str


@message("ledger.accepted")
@attrs.frozen
class Accepted:
    """The step took effect at the replica."""


@message("ledger.existing")
@attrs.frozen
class Existing:
    """The step was refused because of this record, or the record that was looked up."""

    record: Record


@message("ledger.absent")
@attrs.frozen
class Absent:
    """The replica has no record of the key."""


@message("ledger.conflict")
@attrs.frozen
class Conflict:
    """The key was used for a request with another body."""

    record: Record


@message("ledger.withdrawn")
@attrs.frozen
class Withdrawn:
    """The attempt was released or taken over before."""


@message("ledger.not_serving")
@attrs.frozen
class NotServing:
    """The replica does not serve the view; ``view`` is the newest one that it serves, or 0."""

    view: int = 0


@message("ledger.copy")
@attrs.frozen
class CopyShard:
    """Seal the view ``base`` and send its records from a position on, to fill ``view``."""

    shard: str
    base: int
    view: int
    position: int = 0


@message("ledger.part")
@attrs.frozen
class CopyPart:
    """Part of a sealed table; ``next`` is the position of the following part, -1 for the last."""

    shard: str
    base: int
    view: int
    position: int
    next: int
    records: tuple[Record, ...] = ()


@message("ledger.merge_step")
@attrs.frozen
class MergeStep:
    """Message of a replica to itself: merge the next records of a copy."""

    shard: str
    view: int


@message("ledger.copied")
@attrs.frozen
class CopyReport:
    """Report to the control leader: the replica holds a complete copy for the view."""

    shard: str
    view: int
    replica: ReplicaId


def _use_short_names(cls: type) -> None:
    attrs.resolve_types(cls)
    names = {
        field.name: override(rename=letter)
        for field, letter in zip(attrs.fields(cls), ascii_lowercase, strict=False)
    }
    converter.register_unstructure_hook(
        cls, make_dict_unstructure_fn(cls, converter, _cattrs_omit_if_default=True, **names)
    )
    converter.register_structure_hook(cls, make_dict_structure_fn(cls, converter, **names))


for _class in (
    Attempt,
    Record,
    Claim,
    Begin,
    Finish,
    Release,
    Lookup,
    Existing,
    Conflict,
    NotServing,
    CopyShard,
    CopyPart,
):
    _use_short_names(_class)
