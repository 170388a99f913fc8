"""Summaries of a failure domain's endpoints for the other failure domains."""

from __future__ import annotations

import attrs

from mulberrygate.core.effects import Effect
from mulberrygate.endpoints.lease import AGE_UNIT_S, MAX_AGE_UNITS, Lease, LeaseTable, age_byte
from mulberrygate.endpoints.messages import Summary, SummaryAck
from mulberrygate.members import Ask

# Work stops 3 s after the last renewal, so a summary has to arrive at least once a second.
SUMMARY_PERIOD_S = 1.0


@attrs.define
class SummaryTarget:
    """Owner of a pool in another failure domain, with the last sent and acknowledged digests."""

    owner: str
    sent_at: float = float("-inf")
    acknowledged_digest: int = 0
    sent_digest: int = 0


class SummarySender:
    """Decides which summaries to send to the owners of a pool in other failure domains.

    Parameters
    ==========
    failure_domain : str
        Failure domain of this instance.
    """

    def __init__(self, failure_domain: str):
        self.failure_domain = failure_domain
        self.targets: dict[tuple[str, str], SummaryTarget] = {}

    def send(
        self, pool: str, leases: dict[str, Lease], owners: dict[str, str], now: float
    ) -> list[Effect]:
        """Return the summaries that are due: every second, and at once after a change."""
        digest = 0
        for lease in leases.values():
            digest ^= lease.fingerprint
        effects: list[Effect] = []
        for domain, owner in owners.items():
            target = self.targets.get((domain, pool))
            if target is None or target.owner != owner:
                target = self.targets[domain, pool] = SummaryTarget(owner)
            is_due = now - target.sent_at >= SUMMARY_PERIOD_S - 1e-6
            if not owner or not (is_due or target.sent_digest != digest):
                continue
            target.sent_at = now
            target.sent_digest = digest
            effects.append(Ask(owner, self._summary(pool, leases, digest, target, now)))
        return effects

    def _summary(
        self, pool: str, leases: dict[str, Lease], digest: int, target: SummaryTarget, now: float
    ) -> Summary:
        names = sorted(leases)
        is_acknowledged = target.acknowledged_digest == digest
        return Summary(
            failure_domain=self.failure_domain,
            pool=pool,
            digest=digest,
            announcements=() if is_acknowledged else tuple(leases[n].announcement for n in names),
            names=() if is_acknowledged else tuple(names),
            ages=bytes(age_byte(now - leases[n].renewed_at) for n in names),
            loads=bytes(min(255, max(0, leases[n].load)) for n in names),
        )

    def acknowledge(self, message: SummaryAck, sender: str) -> None:
        """Record the digest that a receiver has acknowledged."""
        for (_, pool), target in self.targets.items():
            if pool == message.pool and target.owner == sender:
                target.acknowledged_digest = message.digest


def apply_summary(table: LeaseTable, message: Summary, may_renew: bool, now: float) -> None:
    """Apply a summary to the lease table of its failure domain and pool."""
    for announcement in message.announcements:
        lease = table.leases.get(announcement.endpoint)
        order_key = (announcement.incarnation, announcement.sequence)
        if lease is None or order_key > lease.order_key:
            table.put(announcement, float("-inf"))
    if message.names:
        for name in set(table.leases) - set(message.names):
            table.remove(name)
    if message.digest != table.digest or not may_renew:
        return
    for name, units, load in zip(table.names(), message.ages, message.loads, strict=False):
        if units < MAX_AGE_UNITS:
            at = now - units * AGE_UNIT_S
            lease = table.leases[name]
            lease.renew(at, now)
            lease.load = load
            lease.load_at = at
