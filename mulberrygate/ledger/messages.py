"""Messages and records of the ledger.

Explanation
===========
Fields are encoded under one-letter names in the order of declaration, and fields that hold their
default are left out, because the ledger's messages are most of the control traffic of a daemon. A
field that is added later goes to the end of its class and needs a default.
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

# Records are kept for this long after their last change. After that a re-send of the key is run
# again.
RETENTION_S = 3600.0
# Answers are kept for this long and up to this size; keeping 16 KiB for an hour would not fit in
# memory.
ANSWER_RETENTION_S = 600.0
MAX_ANSWER_BYTES = 16 * 1024

NOT_RUN = Execution.NOT_RUN.value
COMPLETED = Execution.COMPLETED.value


class Phase(enum.Enum):
    """Phase of a record.

    Explanation
    ===========
    ``WAITING`` is claimed, ``RUNNING`` has begun, ``FINISHED`` has an outcome. ``UNCERTAIN`` means
    that it is not known whether an attempt ran, so that none may begin.
    """

    WAITING = "w"
    RUNNING = "r"
    FINISHED = "f"
    UNCERTAIN = "u"


@attrs.frozen(order=True)
class Attempt:
    """Attempt of an entry to run a request; an incarnation uses each number only once."""

    instance: str = attrs.field(converter=sys.intern)
    incarnation: int
    number: int


NO_ATTEMPT = Attempt("", 0, 0)


@message("ledger.record")
@attrs.frozen
class Record:
    """Record of a key at a replica.

    Parameters
    ==========
    fingerprint : bytes
        Digest of the request's body.
    endpoint, address : str
        Endpoint to which the attempt is sent, once it has begun, and its address.
    outcome : str
        Empty until the attempt has finished; ``not_run`` if the attempt began at this replica and
        its entry released it without dispatching it.
    answer : bytes
        Answer of at most `MAX_ANSWER_BYTES`, set in messages only; empty if none is kept.
    expires : float
        Seconds left in messages; monotonic time of expiry in a replica's memory.
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
    """Claim a key for an attempt; replaces the attempt ``replaces`` if that is still waiting."""

    shard: str
    view: int
    key: str
    fingerprint: bytes
    attempt: Attempt
    replaces: Attempt = NO_ATTEMPT


@message("ledger.begin")
@attrs.frozen
class Begin:
    """Begin an attempt, which may be dispatched only after a majority of one view accepted this."""

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
    """Give up an attempt that was not dispatched and never will be."""

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
    """The replica accepted the step."""


@message("ledger.existing")
@attrs.frozen
class Existing:
    """Refusal of a step because of this record, or the result of a lookup."""

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
    """The replica does not serve the view; ``view`` is the newest view that it serves, or 0."""

    view: int = 0


@message("ledger.copy")
@attrs.frozen
class CopyShard:
    """Request to seal the view ``base`` and to send its records from a position on."""

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
    """Message of a replica to itself to merge the next batch of records of a copy."""

    shard: str
    view: int


@message("ledger.copied")
@attrs.frozen
class CopyReport:
    """Report to the control leader that the replica holds a complete copy for the view."""

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
