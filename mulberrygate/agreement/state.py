"""Durable state of a voter, as read from its disk."""

from __future__ import annotations

import attrs

from mulberrygate.agreement.messages import Entry, Snapshot


@attrs.frozen
class Identity:
    """Contents of the identity file.

    Parameters
    ==========
    voter : str
        Name of the instance for which the folder was made.
    disk : str
        Random identifier of the disk, made with the folder.
    cluster : str
        Random identifier of the group; empty before the disk belongs to one.
    """

    voter: str
    disk: str
    cluster: str = ""


@attrs.frozen
class StorageState:
    """Durable state of a voter."""

    identity: Identity
    term: int = 0
    voted_for: str = ""
    snapshot: Snapshot | None = None
    base_index: int = 0
    base_term: int = 0
    entries: tuple[Entry, ...] = ()
