"""Membership protocol: heartbeats inside a failure domain, summaries between relays."""

from __future__ import annotations

import random
from typing import Any

import attrs

from mulberrygate.core.codes import register_code
from mulberrygate.core.effects import Effect, Record, Reply, Send
from mulberrygate.core.invariant import invariant
from mulberrygate.members.messages import Ask, Compare, Heartbeat, Join, Table
from mulberrygate.members.relaying import Relaying
from mulberrygate.members.rows import (
    full_row,
    pack,
    read_full,
    read_short,
    short_row,
    unpack,
)
from mulberrygate.members.settings import MembershipSettings
from mulberrygate.members.suspicion import Probe, Suspicion
from mulberrygate.members.table import LIVE, MemberTable, precedence
from mulberrygate.members.view import Member, MembershipView, Status
from mulberrygate.observe.events import Event

OWN_ENTRY_DEAD = register_code(
    9202, "member_own_entry_dead", "An instance holds itself for suspected or dead."
)


class Membership(Suspicion, Relaying):
    """Detects which instances are alive, by heartbeats, suspicion and gossip.

    Explanation
    ===========
    Only a member itself raises its ``heartbeat``, when it refutes a suspicion or leaves. Heartbeat
    messages tell the receiver that the sender is alive; this is not gossiped, which keeps messages
    small. Instances of another failure domain are never probed: their own domain detects failures,
    and its relays report them. When no relay of a failure domain has been heard from, the view
    shows its members as dead, but their entries in the table don't change, so nothing has to be
    undone when the partition heals.

    Parameters
    ==========
    self_member : Member
        This instance.
    seeds : tuple[str, ...]
        Peer addresses of a few instances.
    rng : random.Random
        Source of random numbers.

    Attributes
    ==========
    probes : dict[str, Probe]
        Heartbeats that are not answered yet, by receiver.
    suspected_at, gone_at : dict[str, float]
        When members became suspect, and when they became dead or leaving.
    changed_at, introduced_at, revised_at : dict[str, float]
        When an entry changed, when a new incarnation was stored and when a revision rose; recent
        changes are gossiped.
    domain_heard_at : dict[str, float]
        When each failure domain was last heard from, by this instance or by a peer.
    summary_at : dict[str, float]
        When the last summary was sent to each failure domain.
    unanswered_domains : set[str]
        Failure domains whose last summary is not answered yet.
    urgent_until : float
        Time until which heartbeats are sent at each tick, to spread an urgent change.
    is_superseded : bool
        Whether a later incarnation of this instance is known.
    is_awaiting_contact : bool
        Whether this process was paused and no peer has been heard from since.

    See Also
    ========
    mulberrygate.members.view.MembershipView
    """

    def __init__(
        self,
        self_member: Member,
        seeds: tuple[str, ...],
        rng: random.Random,
        settings: MembershipSettings | None = None,
    ):
        self.settings = settings or MembershipSettings()
        self.rng = rng
        self.table = MemberTable(self_member)
        self.name = self_member.instance
        self.domain = self_member.failure_domain
        self.seeds = tuple(seed for seed in seeds if seed != self_member.address)
        self.probes: dict[str, Probe] = {}
        self.suspected_at: dict[str, float] = {}
        self.changed_at: dict[str, float] = {}
        self.introduced_at: dict[str, float] = {}
        self.revised_at: dict[str, float] = {}
        self.gone_at: dict[str, float] = {}
        self.domain_heard_at: dict[str, float] = {}
        self.summary_at: dict[str, float] = {}
        self.unanswered_domains: set[str] = set()
        self.last_tick: float | None = None
        self.last_contact = float("-inf")
        self.last_compare = float("-inf")
        self.last_join = float("-inf")
        self.urgent_until = float("-inf")
        self.next_round = float("-inf")
        self.next_seed = rng.randrange(1000)
        self.is_superseded = False
        self.is_awaiting_contact = False
        self.resumed_at = float("-inf")
        self.has_new_revisions = False

    def view(self) -> MembershipView:
        """Return the current view; the same object until something changes."""
        return self.table.view()

    def set_revision(self, revision: int) -> None:
        """Set the configuration revision that is in force on this instance."""
        if self.table.set_revision(self.name, revision):
            self.table.invalidate_view()

    def leave(self, now: float) -> list[Effect]:
        """Announce that this instance leaves; heartbeats continue until the process ends."""
        own = self.table.own
        was_relay = self._is_relay()
        self._store(
            attrs.evolve(own, status=Status.LEAVING, heartbeat=own.heartbeat + 1), now, urgent=True
        )
        effects = self._send_heartbeats(2 * self.settings.fanout, now)
        return effects + (self._send_summaries(now) if was_relay else [])

    def merge(self, members: list[Member], now: float) -> list[Effect]:
        """Merge statements about members from another instance; older ones are ignored."""
        effects: list[Effect] = []
        for member in members:
            effects += self._merge_member(member, now)
        return effects

    def handle(self, message: Any, sender: str, now: float) -> list[Effect]:
        """Handle a message or the answer to an `Ask`."""
        if isinstance(message, Heartbeat):
            return self._on_heartbeat(message, sender, now)
        if isinstance(message, Join):
            return self._on_join(message, now)
        if isinstance(message, Compare):
            domains = self.table.differing_domains(message.digests)
            return [Reply(Table(self._pack_rows(domains), tuple(domains)))]
        if isinstance(message, Table):
            return self._on_table(message, sender, now)
        return []

    def _on_heartbeat(self, message: Heartbeat, sender: str, now: float) -> list[Effect]:
        members = self.table.members
        origin = unpack(message.origin)
        effects = self.merge(
            [m for m in map(read_full, unpack(message.rows)) if m is not None], now
        )
        short = [read_short(row, members) for row in [origin, *unpack(message.updates)]]
        effects += self.merge([m for m in short if m is not None], now)
        for name, revision in unpack(message.revisions):
            self._on_revision(name, revision, now)
        known = members.get(sender)
        if known is not None:
            self._on_contact(known, now)
        self._merge_contact_times(message.heard, now)
        is_known = known is not None and bool(origin) and known.incarnation >= origin[1]
        if message.introduce:
            effects.append(Send(sender, Table(pack([full_row(self.table.own)]))))
        if not message.is_answer:
            answer = self._make_heartbeat(sender, now, bool(message.digests), is_answer=True)
            effects.append(Reply(attrs.evolve(answer, introduce=not is_known)))
        return effects + self._compare(message, sender, now)

    def _on_contact(self, member: Member, now: float) -> None:
        self.last_contact = now
        self.is_awaiting_contact = False
        self.probes.pop(member.instance, None)
        self.unanswered_domains.discard(member.failure_domain)
        self.domain_heard_at[member.failure_domain] = now

    def _merge_contact_times(self, ages: dict[str, int], now: float) -> None:
        for domain, tenths in ages.items():
            at = now - max(0, tenths) / 10
            if at > self.domain_heard_at.get(domain, float("-inf")):
                self.domain_heard_at[domain] = at

    def _on_revision(self, name: str, revision: int, now: float) -> None:
        if name != self.name and self.table.set_revision(name, revision):
            self.revised_at[name] = now
            self.has_new_revisions = True

    def _on_join(self, message: Join, now: float) -> list[Effect]:
        joined = read_full((unpack(message.row) or [[]])[0])
        if joined is None:
            return []
        effects = self._merge_member(joined, now)
        domains = self.table.differing_domains(message.digests)
        return [*effects, Send(joined.instance, Table(self._pack_rows(domains), tuple(domains)))]

    def _on_table(self, message: Table, sender: str, now: float) -> list[Effect]:
        rows = [read_full(row) for row in unpack(message.rows)]
        effects = self.merge([member for member in rows if member is not None], now)
        if sender in self.table.members:
            self._on_contact(self.table.members[sender], now)
        if message.want:
            effects.append(Send(sender, Table(self._pack_rows(message.want))))
        return effects

    def _compare(self, message: Heartbeat, sender: str, now: float) -> list[Effect]:
        """Request the full rows of differing domains, if gossip should have converged by now."""
        settings = self.settings
        if message.digests:
            differs = bool(self.table.differing_domains(message.digests))
        else:
            differs = message.digest != self.table.digest
        last_change = max(self.changed_at.values(), default=float("-inf"))
        if not differs or now - last_change < settings.convergence_s:
            return []
        if now - self.last_compare < settings.round_s:
            return []
        self.last_compare = now
        return [Ask(sender, Compare(dict(self.table.digests)))]

    def _merge_member(self, member: Member, now: float) -> list[Effect]:
        if member.instance == self.name:
            return self._on_self(member, now)
        known = self.table.members.get(member.instance)
        self._on_revision(member.instance, member.revision, now)
        if known is None:
            if member.status in (Status.DEAD, Status.LEAVING):
                return []
            self.domain_heard_at.setdefault(member.failure_domain, now)
            return self._store(member, now)
        known = self.table.members[member.instance]
        if precedence(member) <= precedence(known):
            return []
        if member.status is Status.DEAD and self._needs_suspicion(member, known):
            # Inside a failure domain, another instance's DEAD is stored as a suspicion first: the
            # sender may have been cut off, and the member must get the time to refute.
            member = attrs.evolve(member, status=Status.SUSPECT)
            if precedence(member) <= precedence(known):
                return []
        return self._store(member, now, urgent=self._is_urgent(member))

    def _is_urgent(self, member: Member) -> bool:
        is_local = member.failure_domain == self.domain
        return member.status is Status.LEAVING or (is_local and member.status is Status.SUSPECT)

    def _needs_suspicion(self, member: Member, known: Member) -> bool:
        if member.failure_domain != self.domain:
            return False
        return known.status is not Status.SUSPECT or precedence(member)[:3] != precedence(known)[:3]

    def _on_self(self, member: Member, now: float) -> list[Effect]:
        """Refute a statement about this instance, or record that it is superseded."""
        own = self.table.own
        if member.incarnation > own.incarnation:
            is_first_notice, self.is_superseded = not self.is_superseded, True
            return [Record(Event("members.superseded", {"instance": self.name}))] * is_first_notice
        if member.incarnation < own.incarnation or precedence(member) <= precedence(own):
            return []
        if member.status is Status.DEAD:
            self._forget_own_domain_deaths()
        return self._store(attrs.evolve(own, heartbeat=member.heartbeat + 1), now)

    def _forget_own_domain_deaths(self) -> None:
        """Remove the dead of this domain, since it was this instance that was cut off."""
        for name, member in list(self.table.members.items()):
            if member.status is Status.DEAD and member.failure_domain == self.domain:
                self._forget(name)

    def _store(self, member: Member, now: float, urgent: bool = False) -> list[Effect]:
        name = member.instance
        is_own = name == self.name
        status = member.status
        invariant(not is_own or status in (Status.ALIVE, Status.LEAVING), OWN_ENTRY_DEAD, name)
        known = self.table.members.get(name)
        if known is None or known.incarnation != member.incarnation:
            self.introduced_at[name] = now
        if known is not None:
            member = attrs.evolve(member, revision=max(member.revision, known.revision))
        self.table.put(member)
        self.changed_at[name] = now
        self.suspected_at.pop(name, None)
        self.gone_at.pop(name, None)
        if status is Status.SUSPECT:
            self.suspected_at[name] = now
        elif not is_own and status not in LIVE:
            self.gone_at[name] = now
            self.probes.pop(name, None)
        if urgent:
            self.urgent_until = now + 3 * self.settings.probe_s
        return [Record(Event("members." + status.value, {"instance": name}))]

    def _forget(self, name: str) -> None:
        self.table.remove(name)
        for times in (self.changed_at, self.introduced_at, self.revised_at, self.gone_at):
            times.pop(name, None)
        self.suspected_at.pop(name, None)
        self.probes.pop(name, None)

    def tick(self, now: float) -> list[Effect]:
        """Run what is due at a time; to be called about four times a second."""
        if self.last_tick is not None and now - self.last_tick > self.settings.pause_s:
            self._after_pause(now)
        elif now - self.resumed_at > self.settings.contact_grace_s:
            # Ticks have been regular since the pause, so it is the peers that don't answer.
            self.is_awaiting_contact = False
        self.last_tick = now
        effects = self._check_probes(now) + self._check_suspects(now)
        self._expire(now)
        if self.has_new_revisions:
            self.has_new_revisions = False
            self.table.invalidate_view()
        if now >= self.next_round:
            self.next_round = now + self.settings.round_s * self.rng.uniform(0.9, 1.1)
            effects += self._run_round(now)
        elif now < self.urgent_until:
            effects += self._send_heartbeats(2, now)
        if self._is_relay():
            effects += self._send_summaries(now)
        return effects + self._join_seeds(now)

    def _expire(self, now: float) -> None:
        settings = self.settings
        limit = now - settings.domain_lost_s
        lost = {d for d, at in self.domain_heard_at.items() if at < limit and d != self.domain}
        self.table.set_lost_domains(frozenset(lost))
        for name, at in list(self.gone_at.items()):
            if now - at > settings.expire_s:
                self._forget(name)

    def _run_round(self, now: float) -> list[Effect]:
        limit = now - 2 * self.settings.gossip_s
        for times in (self.changed_at, self.introduced_at, self.revised_at):
            for name in [name for name, at in times.items() if at < limit]:
                del times[name]
        return self._send_heartbeats(self.settings.fanout, now) + self._probe_dead(now)

    def _send_heartbeats(self, count: int, now: float) -> list[Effect]:
        """Send heartbeats to random peers, one of them to a suspect if there is one."""
        peers = [name for name in self.view().in_domain(self.domain) if name != self.name]
        chosen = self.rng.sample(peers, min(count, len(peers)))
        suspects = [n for n in self.suspected_at if n in self.view().live and n not in chosen]
        suspects = [n for n in suspects if self.table.members[n].failure_domain == self.domain]
        if suspects and chosen:
            chosen[-1] = self.rng.choice(sorted(suspects))
        effects: list[Effect] = []
        for name in chosen:
            self.probes.setdefault(name, Probe(now))
            effects.append(Ask(name, self._make_heartbeat(name, now)))
        return effects

    def _pack_rows(self, domains: Any) -> bytes:
        wanted = set(domains)
        members = self.table.members.values()
        return pack(full_row(m) for m in members if m.failure_domain in wanted)

    def _make_heartbeat(
        self, to: str, now: float, is_summary: bool = False, is_answer: bool = False
    ) -> Heartbeat:
        members = self.table.members
        changed = self._recent_names(self.changed_at, self.settings.max_changes, now, is_summary)
        rows = [name for name in changed if name in self.introduced_at]
        updates = [name for name in changed if name not in self.introduced_at]
        peer = members.get(to)
        if peer is not None and peer.status is not Status.ALIVE and to not in changed:
            updates.append(to)
        revised = self._recent_names(self.revised_at, self.settings.max_revisions, now, True)
        ages = {
            d: int((now - at) * 10) + 1
            for d, at in self.domain_heard_at.items()
            if d != self.domain
        }
        return Heartbeat(
            origin=pack_short_row(self.table.own),
            digest=self.table.digest,
            updates=pack(short_row(members[name]) for name in updates),
            rows=pack(full_row(members[name]) for name in rows),
            revisions=pack([name, members[name].revision] for name in revised),
            heard=ages,
            digests=dict(self.table.digests) if is_summary else {},
            is_answer=is_answer,
        )

    def _recent_names(
        self, times: dict[str, float], limit: int, now: float, is_own_domain: bool
    ) -> list[str]:
        """Return recently changed names, newest first, optionally of the own domain only."""
        since = now - self.settings.gossip_s
        names = [name for name, at in times.items() if at >= since and name in self.table.members]
        if is_own_domain:
            names = [name for name in names if self._is_own_domain(name)]
        names.sort(key=lambda name: (-times[name], name))
        return names[:limit]


def pack_short_row(member: Member) -> bytes:
    """Return the short row of a member, encoded."""
    return pack(short_row(member))
