"""Planner of ledger views on the leader of the control group.

Explanation
===========
The planner decides which instances have the replicas of each ledger shard and proposes one
`PutShards` command at a time. A bad proposal can't violate the guarantees of the ledger, since
a new view becomes active only after its replicas have copied a sealed majority of the active one.
But it can make a shard unavailable, because a seal is never removed. Therefore:

- A new view is prepared only while a majority of the active view's replicas can be copied from
  (not dead, in the incarnation that the view names), so that its copies can be completed.
- A replica whose instance has a new incarnation is permanently lost and is replaced at once, and so
  is one whose instance is leaving. One that is only unreachable is replaced after
  `REPLACE_AFTER_S`, and only if its failure domain still has live instances.
- If a whole failure domain is unreachable, its own shards are not changed: it continues with its
  active views. Its replicas of other domains' shards are replaced after
  `DOMAIN_REPLACE_AFTER_S`; the other domain's two replicas are the majority there.
- The majority of a view counts as lost only if new incarnations of the lost replicas' instances
  have been seen, or the operator has declared the replicas lost (`declare_lost`). The next view
  then records the time of loss. If a majority that still serves elsewhere is declared lost,
  requests can run twice.
- A view with too few replicas for lack of instances gets another one soon after an instance joins.
- Other optional moves wait until the better placement has stayed the same for a while, and only a
  few run at the same time.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import attrs

from mulberrygate.control.commands import PutShards
from mulberrygate.ledger.messages import RETENTION_S, CopyReport
from mulberrygate.ledger.views import SHARDS_PER_DOMAIN, ReplicaId, Shard, View
from mulberrygate.members.rendezvous import rank
from mulberrygate.members.view import MembershipView, Status

REPLICAS = 3
HOME_REPLICAS = 2
# A restarted process shows a new incarnation after a few seconds; this is for those that stay away.
REPLACE_AFTER_S = 20.0
# Network partitions between regions last minutes and occur several times a year; replicas are not
# moved for a shorter time than this.
DOMAIN_REPLACE_AFTER_S = 300.0
# A better spread (two replicas at home, one outside) is worth a move soon, better balance is not.
SPREAD_STABLE_S = 60.0
# A missing replica is added almost at once, since until then the shard survives one loss less. The
# delay lets a membership that is still growing become stable.
FILL_STABLE_S = 2.0
BALANCE_STABLE_S = 900.0
MAX_CONCURRENT_MOVES = 4
# Bounds the size of a command in the control log.
SHARDS_PER_COMMAND = 64

Nearest = Callable[[str, list[str]], list[str]]


@attrs.define
class PendingPlacement:
    """Better placement of a shard, and the time since which it has stayed the same."""

    instances: frozenset[str]
    since: float


class ViewPlanner:
    """Decides the views of the ledger's shards.

    Parameters
    ==========
    nearest : Callable[[str, list[str]], list[str]]
        Sorts failure domains of other regions by their distance from a domain; if it is not
        given, they are sorted by name.

    See Also
    ========
    mulberrygate.ledger.replica
        The rules of the ledger.
    """

    def __init__(self, nearest: Nearest | None = None):
        self.nearest = nearest or (lambda domain, others: sorted(others))
        self.absent_since: dict[ReplicaId, float] = {}
        self.pending_placements: dict[str, PendingPlacement] = {}
        self.reports: dict[str, set[CopyReport]] = {}
        self.declared_lost: set[ReplicaId] = set()
        self.live: frozenset[str] = frozenset()
        self.best_placements: dict[str, list[str]] = {}

    def add_copy_report(self, report: CopyReport) -> None:
        """Record that a replica has completed a copy."""
        self.reports.setdefault(report.shard, set()).add(report)

    def declare_lost(self, replica: ReplicaId) -> None:
        """Record an operator's declaration that a replica is permanently lost."""
        self.declared_lost.add(replica)

    def plan(
        self, members: MembershipView, shards: dict[str, Shard], now: float, wall_s: float
    ) -> PutShards:
        """Return the changes to propose; the command has no shards if there are none.

        Parameters
        ==========
        now : float
            Monotonic seconds.
        wall_s : float
            Unix time in seconds, for the time of a loss.
        """
        live = frozenset(members.live)
        if live != self.live:
            self.live, self.best_placements = live, {}
        self._drop_outdated_reports(shards)
        self._update_absent(members, shards, now)
        moving = sum(shard.preparing is not None for shard in shards.values())
        changes: list[tuple[Shard, Shard]] = []
        for shard in _all_shards(members, shards):
            changed = self._next_required_change(shard, members, now, wall_s)
            if changed is shard:
                may_move = moving < MAX_CONCURRENT_MOVES
                changed = self._rebalance(shard, members, now, may_move)
                moving += changed is not shard
            if changed is not shard:
                changes.append((shard, changed))
            if len(changes) == SHARDS_PER_COMMAND:
                break
        expected = tuple((_number(s.active), _number(s.preparing)) for s, _ in changes)
        return PutShards(tuple(changed for _, changed in changes), expected)

    def _drop_outdated_reports(self, shards: dict[str, Shard]) -> None:
        for name, reports in list(self.reports.items()):
            shard = shards.get(name)
            number = _number(shard.preparing) if shard is not None else 0
            self.reports[name] = {report for report in reports if report.view == number}
            if not self.reports[name]:
                del self.reports[name]

    def _update_absent(self, members: MembershipView, shards: dict[str, Shard], now: float) -> None:
        named = {replica for shard in shards.values() for replica in _replicas(shard)}
        absent = {replica for replica in named if not is_present(replica, members)}
        self.absent_since = {r: self.absent_since.get(r, now) for r in absent}
        self.declared_lost &= named

    def _next_required_change(
        self, shard: Shard, members: MembershipView, now: float, wall_s: float
    ) -> Shard:
        """Return the shard after its next required change, or the same shard."""
        if shard.preparing is not None and self._is_copied(shard):
            return attrs.evolve(shard, active=shard.preparing, preparing=None)
        current = shard.preparing or shard.active
        if current is None:
            return self._prepare(shard, self._placement(shard, members, ()), members, 0.0)
        leaving = {r for r in current.replicas if self._must_replace(r, shard, members, now)}
        if not leaving and not self._has_new_loss(shard, members):
            return shard
        lost_at = self._lost_at(shard, members, wall_s)
        if lost_at < 0:
            return shard
        kept = tuple(r.instance for r in current.replicas if r not in leaving)
        return self._prepare(shard, self._placement(shard, members, kept), members, lost_at)

    def _is_copied(self, shard: Shard) -> bool:
        copied = {report.replica for report in self.reports.get(shard.name(), ())}
        return copied.issuperset(shard.preparing.replicas)

    def _must_replace(
        self, replica: ReplicaId, shard: Shard, members: MembershipView, now: float
    ) -> bool:
        if self._is_lost(replica, members):
            return True
        absent_since = self.absent_since.get(replica)
        if absent_since is None:
            return False
        member = members.members.get(replica.instance)
        if member is None or members.in_domain(member.failure_domain):
            is_leaving = member is not None and member.status is Status.LEAVING
            return is_leaving or now >= absent_since + REPLACE_AFTER_S
        is_own = member.failure_domain == shard.failure_domain
        return not is_own and now >= absent_since + DOMAIN_REPLACE_AFTER_S

    def _is_lost(self, replica: ReplicaId, members: MembershipView) -> bool:
        member = members.members.get(replica.instance)
        is_newer = member is not None and member.incarnation > replica.incarnation
        return is_newer or replica in self.declared_lost

    def _is_majority_lost(self, view: View, members: MembershipView) -> bool:
        gone = sum(self._is_lost(replica, members) for replica in view.replicas)
        return len(view.replicas) - gone < view.majority()

    def _has_new_loss(self, shard: Shard, members: MembershipView) -> bool:
        """Return whether the active view lost its majority after a view was prepared from it."""
        active, preparing = shard.active, shard.preparing
        if active is None or not self._is_majority_lost(active, members):
            return False
        return preparing is None or preparing.lost_at <= active.lost_at

    def _lost_at(self, shard: Shard, members: MembershipView, wall_s: float) -> float:
        """Return the time of loss for the next view, or -1 if it can't be copied at present."""
        active = shard.active
        if active is None:
            return 0.0
        if self._is_majority_lost(active, members):
            known = shard.preparing.lost_at if shard.preparing is not None else 0.0
            # The clocks of successive leaders may differ, but a later loss needs a later time.
            return known if known > active.lost_at else max(wall_s, active.lost_at + 1.0)
        if sum(_can_copy_from(replica, members) for replica in active.replicas) < active.majority():
            return -1.0
        return active.lost_at if wall_s < active.lost_at + 2 * RETENTION_S else 0.0

    def _prepare(
        self, shard: Shard, instances: list[str], members: MembershipView, lost_at: float
    ) -> Shard:
        if not instances:
            return shard
        number = max(_number(shard.active), _number(shard.preparing)) + 1
        replicas = tuple(ReplicaId(name, members.members[name].incarnation) for name in instances)
        return attrs.evolve(shard, preparing=View(number, replicas, lost_at))

    def _rebalance(
        self, shard: Shard, members: MembershipView, now: float, may_move: bool
    ) -> Shard:
        """Return the shard with a view of a better placement in preparation, or the same shard."""
        active = shard.active
        is_settled = shard.preparing is None and active is not None
        if not is_settled or not all(is_present(r, members) for r in active.replicas):
            self.pending_placements.pop(shard.name(), None)
            return shard
        current = [replica.instance for replica in active.replicas]
        if shard.name() not in self.best_placements:
            self.best_placements[shard.name()] = self._placement(shard, members, ())
        best = self.best_placements[shard.name()]
        if not best or set(best) == set(current):
            self.pending_placements.pop(shard.name(), None)
            return shard
        pending = self.pending_placements.get(shard.name())
        if pending is None or pending.instances != set(best):
            pending = self.pending_placements[shard.name()] = PendingPlacement(frozenset(best), now)
        is_better = _spread_score(shard, best, members) > _spread_score(shard, current, members)
        stable_s = SPREAD_STABLE_S if is_better else BALANCE_STABLE_S
        if len(best) > len(current):
            stable_s, may_move = FILL_STABLE_S, True
        if not may_move or now < pending.since + stable_s:
            return shard
        lost_at = self._lost_at(shard, members, 0.0)
        return self._prepare(shard, best, members, max(lost_at, 0.0))

    def _placement(self, shard: Shard, members: MembershipView, kept: tuple[str, ...]) -> list[str]:
        """Return instances for a shard, those of the home domain first, including the kept ones.

        Explanation
        ===========
        Two are in the home domain and one is in another domain of the region, else in the nearest
        domain. If the home domain has fewer than two live instances, instances of other domains
        take their place.
        """
        home = shard.failure_domain
        at_home = _ranked_entries(home, shard, members)
        chosen = [name for name in kept if members.is_alive(name)]
        home_count = sum(name in at_home for name in chosen)
        wanted = min(HOME_REPLICAS - home_count, REPLICAS - len(chosen))
        chosen += [name for name in at_home if name not in chosen][: max(0, wanted)]
        others = self._other_domains(shard, members)
        _fill(
            chosen, lambda position: _ranked_entries(others[position], shard, members), len(others)
        )
        chosen += [name for name in at_home if name not in chosen][: REPLICAS - len(chosen)]
        return sorted(chosen, key=lambda name: name not in at_home)

    def _other_domains(self, shard: Shard, members: MembershipView) -> list[str]:
        home = shard.failure_domain
        region = members.regions.get(home, "")
        others = [domain for domain in members.regions if domain != home]
        near = [domain for domain in others if members.regions[domain] == region]
        far = [domain for domain in others if members.regions[domain] != region]
        return rank(shard.name(), near) + self.nearest(home, far)


def is_present(replica: ReplicaId, members: MembershipView) -> bool:
    """Return whether a replica is alive in the incarnation that its view names."""
    member = members.live.get(replica.instance)
    return member is not None and member.incarnation == replica.incarnation


def _can_copy_from(replica: ReplicaId, members: MembershipView) -> bool:
    """Return whether a replica can still be sealed and copied from."""
    member = members.members.get(replica.instance)
    is_there = member is not None and member.status is not Status.DEAD
    return is_there and member.incarnation == replica.incarnation


def _all_shards(members: MembershipView, shards: dict[str, Shard]) -> Iterable[Shard]:
    """Return the shards of all domains, including those that have not been placed yet."""
    known = dict(shards)
    for domain in members.domains:
        for number in range(SHARDS_PER_DOMAIN):
            shard = Shard(domain, number)
            known.setdefault(shard.name(), shard)
    return known.values()


def _ranked_entries(domain: str, shard: Shard, members: MembershipView) -> list[str]:
    names = [n for n in members.in_domain(domain) if "entry" in members.members[n].roles]
    return rank(shard.name(), names)


def _fill(chosen: list[str], entries: Callable[[int], list[str]], count: int) -> None:
    """Add instances up to `REPLICAS`, first one of each group in turn, then the rest."""
    rest: list[str] = []
    for position in range(count):
        if len(chosen) >= REPLICAS:
            return
        group = [name for name in entries(position) if name not in chosen]
        chosen += group[:1]
        rest += group[1:]
    chosen += rest[: REPLICAS - len(chosen)]


def _spread_score(
    shard: Shard, instances: list[str], members: MembershipView
) -> tuple[int, int, int]:
    """Return a score of how well a placement is spread over domains; larger is better."""
    home = shard.failure_domain
    region = members.regions.get(home, "")
    domains = [members.members[name].failure_domain for name in instances]
    outside = [domain for domain in domains if domain != home]
    is_mixed = bool(outside) and len(outside) < len(domains)
    is_near = any(members.regions.get(domain) == region for domain in outside)
    at_home = min(domains.count(home), HOME_REPLICAS)
    return min(len(instances), REPLICAS), at_home + is_mixed, int(is_near)


def _replicas(shard: Shard) -> Iterable[ReplicaId]:
    for view in (shard.active, shard.preparing):
        if view is not None:
            yield from view.replicas


def _number(view: View | None) -> int:
    return view.number if view is not None else 0
