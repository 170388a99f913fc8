"""Failure detection inside a failure domain."""

from __future__ import annotations

import attrs

from mulberrygate.core.codes import register_code
from mulberrygate.core.effects import Effect
from mulberrygate.core.invariant import invariant
from mulberrygate.members.messages import Ask
from mulberrygate.members.view import Member, Status

SUSPECTED_AFTER_PAUSE = register_code(
    9203, "member_suspected_after_pause", "A paused instance suspected another one unheard."
)


@attrs.define
class Probe:
    """Heartbeat that is not answered yet."""

    sent_at: float
    tries: int = 1


class Suspicion:
    """Mixin of `mulberrygate.members.membership.Membership` that detects dead instances.

    Explanation
    ===========
    A heartbeat without an answer is repeated once. Then its receiver is suspected, and counts as
    dead if it doesn't refute. An instance that was itself paused suspects nobody until a peer has
    contacted it or ``contact_grace_s`` has passed.
    """

    def _after_pause(self, now: float) -> None:
        """Restart all timeouts, because messages could not be handled during the pause."""
        self.is_awaiting_contact = True
        self.resumed_at = now
        self.probes.clear()
        for name in self.suspected_at:
            self.suspected_at[name] = now
        for domain in self.domain_heard_at:
            self.domain_heard_at[domain] = now

    def _check_probes(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for name, probe in list(self.probes.items()):
            if now - probe.sent_at < self.settings.probe_s - 1e-6:
                continue
            if probe.tries < 2:
                probe.tries, probe.sent_at = 2, now
                effects.append(Ask(name, self._make_heartbeat(name, now)))
                continue
            del self.probes[name]
            member = self.table.members[name]
            if member.status is Status.ALIVE and not self.is_awaiting_contact:
                effects += self._suspect(member, now)
        return effects

    def _suspect(self, member: Member, now: float) -> list[Effect]:
        invariant(not self.is_awaiting_contact, SUSPECTED_AFTER_PAUSE, member.instance)
        return self._store(attrs.evolve(member, status=Status.SUSPECT), now, urgent=True)

    def _check_suspects(self, now: float) -> list[Effect]:
        if self.is_awaiting_contact:
            return []
        effects: list[Effect] = []
        for name, since in list(self.suspected_at.items()):
            member = self.table.members[name]
            is_due = now - since >= self.settings.suspect_s - 1e-6
            if is_due and member.failure_domain == self.domain:
                effects += self._store(attrs.evolve(member, status=Status.DEAD), now)
        return effects

    def _probe_dead(self, now: float) -> list[Effect]:
        """Occasionally probe a dead instance of the domain, so that a split inside it heals."""
        members = self.table.members
        dead = [
            name
            for name in self.gone_at
            if members[name].status is Status.DEAD and members[name].failure_domain == self.domain
        ]
        peers = len(self.view().in_domain(self.domain))
        if not dead or self.rng.random() * peers > 3:
            return []
        name = self.rng.choice(sorted(dead))
        return [Ask(name, self._make_heartbeat(name, now))]
