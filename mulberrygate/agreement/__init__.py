"""Raft-like replicated log among 3, 5 or 7 voters."""

from mulberrygate.agreement.effects import Role
from mulberrygate.agreement.node import AgreementNode
from mulberrygate.agreement.outcomes import (
    ChangeRefused,
    Committed,
    NotLeader,
    ReadOk,
    Undetermined,
    VoterStopped,
)
from mulberrygate.agreement.service import AgreementService, AgreementStatus, open_service
from mulberrygate.agreement.settings import AgreementSettings
from mulberrygate.agreement.storage import Storage, StorageError

__all__ = [
    "AgreementNode",
    "AgreementService",
    "AgreementSettings",
    "AgreementStatus",
    "ChangeRefused",
    "Committed",
    "NotLeader",
    "ReadOk",
    "Role",
    "Storage",
    "StorageError",
    "Undetermined",
    "VoterStopped",
    "open_service",
]
