"""Ledger of claims: at most one run of each request."""

from mulberrygate.ledger.views import ReplicaId, Shard, View, shard_number

__all__ = ["ReplicaId", "Shard", "View", "shard_number"]
