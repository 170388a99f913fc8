"""Shards of the ledger and their views, the numbered sets of replicas."""

from __future__ import annotations

import hashlib

import attrs

from mulberrygate.core.wire import message

# At the target size of 360 daemons in 6 failure domains, 32 shards per domain make 192 shards with
# 576 replicas, which is about 1.6 replicas per daemon.
SHARDS_PER_DOMAIN = 32


@attrs.frozen
class ReplicaId:
    """Identity of a replica of a shard: an instance in one incarnation."""

    instance: str
    incarnation: int


@attrs.frozen
class View:
    """Numbered set of replicas of a shard.

    Parameters
    ==========
    number : int
        Increases by one with each view that is proposed for the shard.
    lost_at : float
        Unix time in seconds at which a majority was lost before this view; 0 if none was.
        Until retention ends, keys without a record that may be older are treated as uncertain.
    """

    number: int
    replicas: tuple[ReplicaId, ...]
    lost_at: float = 0.0

    def majority(self) -> int:
        """Return the number of replicas that make a majority."""
        return len(self.replicas) // 2 + 1


@message("ledger.shard")
@attrs.frozen
class Shard:
    """Shard in the control state, with its views.

    Parameters
    ==========
    active : View or None
        View in which coordinators run their steps; ``None`` before the first view.
    preparing : View or None
        View in preparation, whose replicas copy the records of the active one.
    """

    failure_domain: str
    number: int
    active: View | None = None
    preparing: View | None = None

    def name(self) -> str:
        """Return the shard's name, ``failure domain/number``."""
        return f"{self.failure_domain}/{self.number}"


def shard_number(key: str) -> int:
    """Return the number of a key's shard within its home failure domain."""
    digest = hashlib.blake2b(key.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") % SHARDS_PER_DOMAIN
