"""Messages and effects of the membership protocol."""

from __future__ import annotations

from typing import Any

import attrs

from mulberrygate.core.effects import Effect
from mulberrygate.core.wire import message


@attrs.frozen
class Ask(Effect):
    """Call an instance and pass its answer to `handle`; a missing answer is ignored."""

    to: str
    message: Any
    timeout_s: float = 1.0


@attrs.frozen
class SendAddress(Effect):
    """Send a message to an address whose instance is not known; it may be lost."""

    address: str
    message: Any


@message("members.heartbeat")
@attrs.frozen
class Heartbeat:
    """Heartbeat with recent changes of the table; it is answered by another heartbeat.

    Parameters
    ==========
    origin : bytes
        Short row of the sender.
    digest : int
        Digest of the sender's whole table.
    updates, rows : bytes
        Short rows and full rows that changed recently.
    revisions : bytes
        Names and configuration revisions that rose recently.
    heard : dict[str, int]
        Tenths of a second since each failure domain was last heard from.
    digests : dict[str, int]
        Digest of each failure domain; only between relays.
    introduce : bool
        The sender does not know the receiver and asks for its full row.
    is_answer : bool
        Whether this is the answer to a heartbeat.
    """

    origin: bytes
    digest: int
    updates: bytes = b""
    rows: bytes = b""
    revisions: bytes = b""
    heard: dict[str, int] = attrs.field(factory=dict)
    digests: dict[str, int] = attrs.field(factory=dict)
    introduce: bool = False
    is_answer: bool = False


@message("members.join")
@attrs.frozen
class Join:
    """First message to a seed: the sender's full row and the digests of its table."""

    row: bytes
    digests: dict[str, int]


@message("members.compare")
@attrs.frozen
class Compare:
    """Request for the rows that differ, with the sender's digests; the answer is a `Table`."""

    digests: dict[str, int]


@message("members.table")
@attrs.frozen
class Table:
    """Full rows of failure domains, and the domains whose rows the receiver shall send."""

    rows: bytes
    want: tuple[str, ...] = ()
