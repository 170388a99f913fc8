"""Interim directory of endpoints; forwards every announcement to the failure domain."""

from __future__ import annotations

import random
from collections.abc import Callable

import attrs

from mulberrygate.core.effects import Effect, Send
from mulberrygate.core.wire import message
from mulberrygate.endpoints.model import Announcement, EndpointView
from mulberrygate.members.membership import Membership

LEAVE_LIMIT_S = 3.0


@message("endpoints.forward")
@attrs.frozen
class Forward:
    """Announcement that an entry instance passes on."""

    announcement: Announcement


DirectoryMessages = (Forward,)


@attrs.define
class Known:
    """Endpoint that announced itself."""

    announcement: Announcement
    lease_until: float


class Directory:
    """Endpoints that announced themselves."""

    def __init__(self, failure_domain: str, membership: Membership, rng: random.Random):
        self.failure_domain = failure_domain
        self.membership = membership
        self.known: dict[str, Known] = {}
        self.death_listeners: list[Callable[[str], None]] = []

    def on_death(self, listener: Callable[[str], None]) -> None:
        self.death_listeners.append(listener)

    def announce(self, announcement: Announcement, now: float, wall_s: float) -> list[Effect]:
        self._take(announcement, now)
        own = self.membership.name
        return [Send(n, Forward(announcement)) for n in self.membership.view().live if n != own]

    def handle(self, forward: Forward, sender: str, now: float) -> list[Effect]:
        self._take(forward.announcement, now)
        return []

    def _take(self, announcement: Announcement, now: float) -> None:
        known = self.known.get(announcement.endpoint)
        order = (announcement.incarnation, announcement.sequence)
        if known is not None:
            before = known.announcement
            if order <= (before.incarnation, before.sequence):
                return
            if announcement.incarnation != before.incarnation:
                self._died(announcement.endpoint)
        self.known[announcement.endpoint] = Known(announcement, now + announcement.lease_s)

    def _died(self, name: str) -> None:
        for listener in self.death_listeners:
            listener(name)

    def tick(self, now: float) -> list[Effect]:
        for name, known in list(self.known.items()):
            if now >= known.lease_until:
                del self.known[name]
                self._died(name)
        return []

    def find(self, endpoint: str) -> EndpointView | None:
        known = self.known.get(endpoint)
        return self._view(known, known.lease_until - 1) if known else None

    def accepts_work(self, endpoint: str, now: float) -> bool:
        known = self.known.get(endpoint)
        return known is not None and self._view(known, now).accepts_work

    def is_in_region(self, endpoint: str, region: str) -> bool:
        known = self.known.get(endpoint)
        return known is None or known.announcement.region == region

    def views(self, pool: str, now: float) -> list[EndpointView]:
        return [self._view(k, now) for k in self.known.values() if k.announcement.pool == pool]

    def _view(self, known: Known, now: float) -> EndpointView:
        a = known.announcement
        return EndpointView(
            a.endpoint,
            a.incarnation,
            a.address,
            a.pool,
            a.failure_domain,
            a.region,
            a.version,
            a.hardware,
            a.slots,
            a.kv_tokens,
            now < known.lease_until and not a.leaving,
            a.load,
            0.0,
            frozenset(a.cached_prefixes),
        )
