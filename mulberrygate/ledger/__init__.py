"""Ledger of claims: at most one run of each request."""

from mulberrygate.ledger.coordinator import Coordinator
from mulberrygate.ledger.keys import home_of
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
    Answered,
    Attached,
    Begun,
    Claimed,
    Conflicting,
    Missing,
    OpenAttempt,
    Recorded,
    Superseded,
    Unavailable,
    Uncertain,
)
from mulberrygate.ledger.replica import Replica, ReportCopy
from mulberrygate.ledger.views import ReplicaId, Shard, View, shard_number

__all__ = [
    "Answered",
    "Attached",
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
    "ReportCopy",
    "Shard",
    "Superseded",
    "Unavailable",
    "Uncertain",
    "View",
    "home_of",
    "shard_number",
]
