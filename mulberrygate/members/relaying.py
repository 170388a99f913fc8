"""Membership traffic between failure domains."""

from __future__ import annotations

from mulberrygate.core.effects import Effect
from mulberrygate.members.messages import Ask, Join, SendAddress
from mulberrygate.members.rows import full_row, pack


class Relaying:
    """Mixin of `mulberrygate.members.membership.Membership` that sends summaries and joins.

    Explanation
    ===========
    Only relays talk to other failure domains, so that the traffic between domains doesn't grow with
    the number of instances.
    """

    def _is_relay(self) -> bool:
        return self.name in self.view().relays(self.domain)

    def _send_summaries(self, now: float) -> list[Effect]:
        """Exchange summaries with relays of the other failure domains."""
        period = self.settings.summary_s
        if self.view().relays(self.domain, 1) != [self.name]:
            period *= 2
        changed = [self.changed_at[n] for n in self.changed_at if self._is_own_domain(n)]
        newest = max(changed, default=float("-inf"))
        effects: list[Effect] = []
        for domain in sorted(self.table.digests):
            last = self.summary_at.get(domain, float("-inf"))
            is_due = now - last >= period - 1e-6 or newest > last
            if domain == self.domain or not is_due:
                continue
            target = self._choose_relay(domain)
            if target:
                self.summary_at[domain] = now
                self.unanswered_domains.add(domain)
                effects.append(Ask(target, self._make_heartbeat(target, now, is_summary=True)))
        return effects

    def _is_own_domain(self, name: str) -> bool:
        return self.table.members[name].failure_domain == self.domain

    def _choose_relay(self, domain: str) -> str:
        """Return a relay of a domain, or any instance if the last summary was not answered."""
        relays = self.view().relays(domain)
        if relays and domain not in self.unanswered_domains:
            return self.rng.choice(relays)
        known = [n for n, m in self.table.members.items() if m.failure_domain == domain]
        live = [name for name in known if self.view().is_alive(name)]
        return self.rng.choice(sorted(live or known)) if known else ""

    def _join_seeds(self, now: float) -> list[Effect]:
        """Send a join to the next seeds, if one is due.

        Explanation
        ===========
        An instance without contact, or a relay that has lost a failure domain or knows no other
        one, sends joins every ``join_period_s``. Other relays send them every
        ``slow_join_period_s``, since parts of the system that started separately, or whose members
        were all replaced during a partition, have no record of the members that they lack.
        """
        settings = self.settings
        is_first = self.last_join == float("-inf")
        if not self.seeds or now - self.last_join < settings.join_period_s:
            return []
        is_alone = now - self.last_contact > 2 * settings.join_period_s
        is_relay = self._is_relay()
        others = [
            d for d in self.table.digests if d != self.domain and d not in self.table.lost_domains
        ]
        is_missing = is_alone or (is_relay and (not others or bool(self.table.lost_domains)))
        is_routine = is_relay and now - self.last_join >= settings.slow_join_period_s
        if not is_missing and not is_routine:
            return []
        self.last_join = now
        join = Join(pack([full_row(self.table.own)]), dict(self.table.digests))
        count = min(len(self.seeds), settings.fanout if is_first else 1)
        self.next_seed += count
        chosen = [self.seeds[(self.next_seed - n) % len(self.seeds)] for n in range(count)]
        view = self.view()
        inactive = [m.address for name, m in sorted(view.members.items()) if name not in view.live]
        if is_missing and inactive:
            # A restarted member keeps its address and may be up while all seeds are dead.
            chosen.append(self.rng.choice(inactive))
        return [SendAddress(seed, join) for seed in chosen]
