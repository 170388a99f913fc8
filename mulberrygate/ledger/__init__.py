"""Replicated ledger of request keys, which lets each key run at most once."""

from mulberrygate.ledger.coordinator import Coordinator
from mulberrygate.ledger.keys import home_domain
from mulberrygate.ledger.messages import (
    Attempt,
    Begin,
    Claim,
    CopyPart,
    CopyReport,
    CopyShard,
    Finish,
    Lookup,
    MergeStep,
    Phase,
    Record,
    Release,
)
from mulberrygate.ledger.outcomes import (
    Begun,
    Claimed,
    Conflicting,
    Finished,
    InProgress,
    Missing,
    OpenAttempt,
    Recorded,
    Superseded,
    Unavailable,
    Uncertain,
)
from mulberrygate.ledger.replica import Replica, SendCopyReport
from mulberrygate.ledger.views import ReplicaId, Shard, View, shard_number

__all__ = [
    "Finished",
    "InProgress",
    "Attempt",
    "Begin",
    "Begun",
    "Claim",
    "Claimed",
    "Conflicting",
    "Coordinator",
    "CopyPart",
    "CopyReport",
    "CopyShard",
    "Finish",
    "Lookup",
    "MergeStep",
    "Missing",
    "OpenAttempt",
    "Phase",
    "Record",
    "Recorded",
    "Release",
    "Replica",
    "ReplicaId",
    "SendCopyReport",
    "Shard",
    "Superseded",
    "Unavailable",
    "Uncertain",
    "View",
    "home_domain",
    "shard_number",
]
