"""Delivery of the configuration from the control leader to every instance."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import Any

import attrs

from mulberrygate.control.configuration import Configuration, Delta
from mulberrygate.core.codes import register_code
from mulberrygate.core.effects import Effect, Record, Reply, Send
from mulberrygate.core.invariant import invariant
from mulberrygate.core.wire import message
from mulberrygate.members import Ask, Membership
from mulberrygate.observe.events import Event

HELD_REVISION_FELL = register_code(
    9220, "held_revision_fell", "The configuration in force on an instance went back."
)
CURRENT_TOO_EARLY = register_code(
    9221, "current_too_early", "An instance became ready with an older configuration than a peer."
)
REPORT_FELL = register_code(
    9222, "reported_revision_fell", "A revision reported for an incarnation went back."
)

Listener = Callable[[Delta], None]
# Incarnation of an instance and its revision in force, as in acknowledgements.
KnownRevision = tuple[int, int]


@message("control.push")
@attrs.frozen
class Push:
    """Changes of the configuration, and the instances that the receiver forwards them to."""

    delta: Delta
    members: tuple[str, ...] = ()


@message("control.applied")
@attrs.frozen
class Applied:
    """Report to the leader of revisions in force on instances; also the answer to a `Push`."""

    held: dict[str, KnownRevision]


@message("control.pull")
@attrs.frozen
class Pull:
    """Request for the changes since a revision; the answer is a `Delta`."""

    revision: int


@message("control.ask_revision")
@attrs.frozen
class AskRevision:
    """Request for the revision in force; the answer is a `HeldRevision`."""


@message("control.held_revision")
@attrs.frozen
class HeldRevision:
    """Revision in force, and whether the sender itself is up to date."""

    revision: int
    is_current: bool


@attrs.frozen
class DistributionSettings:
    """Periods in seconds and limits of the distribution.

    Parameters
    ==========
    fanout : int
        Number of instances that one instance forwards a change to. For 60 instances in a domain, 8
        gives a tree of two levels.
    retry_s : float
        Time after which the leader pushes to the missing instances of a domain through another
        one, and shortest time between two pulls. Three attempts fit into the limit of 4 s.
    slow_retry_s, fast_retries : float, int
        Retry time after the first `fast_retries` attempts.
    min_push_period_s : float
        Shortest time between pushes of two revisions.
    pull_after_s : float
        Time for which an instance waits for the push of a revision that a peer already has, before
        it pulls.
    isolated_after_s : float
        Time after which an instance that finds no current peer counts as current.
    ask_period_s, max_asks : float, int
        Period and largest number of requests for a peer's revision after a start.
    """

    fanout: int = 8
    retry_s: float = 0.8
    slow_retry_s: float = 5.0
    fast_retries: int = 6
    min_push_period_s: float = 0.2
    pull_after_s: float = 0.75
    pull_timeout_s: float = 2.0
    isolated_after_s: float = 5.0
    ask_period_s: float = 0.5
    max_asks: int = 3


def is_later(held: KnownRevision, known: KnownRevision) -> bool:
    """Return whether a report is of a later incarnation, or of a later revision of the same one."""
    return held > known


@attrs.define
class PushAttempts:
    """Time of the leader's last push to a failure domain, and number of pushes so far."""

    last_at: float
    count: int = 0


class ConfigurationReplica:
    """Keeps this instance's copy of the configuration and takes part in delivering it.

    Explanation
    ===========
    The leader calls `publish` and pushes small deltas. A receiver whose revision is older than a
    delta's base pulls from the sender. Each receiver of a push forwards it to a part of its domain
    and reports to its sender which revisions are in force on which instances.

    Parameters
    ==========
    configuration : Configuration
        Configuration that this instance serves with.
    membership : Membership
        Gives the instances, and publishes this instance's revision in force.
    rng : random.Random
        Source of random numbers.
    """

    def __init__(
        self,
        configuration: Configuration,
        membership: Membership,
        rng: random.Random,
        settings: DistributionSettings | None = None,
    ):
        self.configuration = configuration
        self.membership = membership
        self.name = membership.name
        self.rng = rng
        self.settings = settings or DistributionSettings()
        self.listeners: list[Listener] = []
        self.known_revisions: dict[str, KnownRevision] = {}
        self.unsent_report: dict[str, KnownRevision] = {}
        self.parent = ""
        self.is_leader = False
        self.pushed_base = 0
        self.pushed_revision = -1
        self.last_push = float("-inf")
        self.push_attempts: dict[str, PushAttempts] = {}
        self.behind_since: float | None = None
        self.last_pull = float("-inf")
        self.started_at: float | None = None
        self.ask_counts: dict[str, int] = {}
        self.answers: dict[str, HeldRevision] = {}
        self.last_ask = float("-inf")
        self.has_become_current = False
        self._record_revision(self.name, self._own_revision())

    @property
    def revision(self) -> int:
        """Revision in force on this instance."""
        return self.configuration.revision

    def add_listener(self, listener: Listener) -> None:
        """Add a listener that is called with each delta after it was applied."""
        self.listeners.append(listener)

    def is_current(self) -> bool:
        """Return whether the instance has caught up with its reachable peers since its start."""
        return self.has_become_current

    def changes_since(self, revision: int) -> Delta:
        """Return the delta that updates an instance at a revision to the current revision."""
        return self.configuration.changes_since(revision)

    def instances_behind(self, revision: int) -> list[str]:
        """Return the live instances on which a revision is not known to be in force."""
        view = self.membership.view()
        return [name for name in sorted(view.live) if self.revision_of(name) < revision]

    def revision_of(self, name: str) -> int:
        """Return the revision known to be in force on an instance, for its present incarnation."""
        member = self.membership.view().members.get(name)
        if member is None:
            return 0
        incarnation, revision = self.known_revisions.get(name, (0, 0))
        return max(member.revision, revision if incarnation == member.incarnation else 0)

    def publish(self, source: Configuration, now: float) -> list[Effect]:
        """Apply the newest configuration of the control log and push it to all instances.

        Explanation
        ===========
        A new leader also calls it once; instances that are up to date then just acknowledge. The
        control state machine keeps its own copy, ``source``.
        """
        self.is_leader = True
        self.has_become_current = True
        base = self.revision
        effects = self.apply_delta(source.changes_since(base), now)
        if self.pushed_revision < self.revision or self.pushed_revision < 0:
            self.pushed_base = base if self.pushed_revision < 0 else self.pushed_revision
        return effects + self._push_latest(now)

    def stop_leading(self) -> None:
        """Stop pushing, since the instance is no longer the leader."""
        self.is_leader = False
        self.pushed_revision = -1
        self.push_attempts.clear()

    def _push_latest(self, now: float) -> list[Effect]:
        is_new = self.pushed_revision < self.revision
        if not is_new or now - self.last_push < self.settings.min_push_period_s:
            return []
        self.last_push = now
        self.pushed_revision = self.revision
        self.push_attempts.clear()
        return self._push_to_behind(now)

    def _push_to_behind(self, now: float) -> list[Effect]:
        """Push to each failure domain with instances that are behind, if a retry is due."""
        view = self.membership.view()
        behind: dict[str, list[str]] = {}
        for name in self.instances_behind(self.pushed_revision):
            if name != self.name:
                behind.setdefault(view.members[name].failure_domain, []).append(name)
        effects: list[Effect] = []
        for domain, names in behind.items():
            attempts = self.push_attempts.setdefault(domain, PushAttempts(float("-inf")))
            is_fast = attempts.count < self.settings.fast_retries
            period = self.settings.retry_s if is_fast else self.settings.slow_retry_s
            if now - attempts.last_at < period - 1e-6:
                continue
            effects += self._push_domain(domain, names, attempts.count)
            attempts.last_at = now
            attempts.count += 1
        return effects

    def _push_domain(self, domain: str, names: list[str], count: int) -> list[Effect]:
        base = min(self.pushed_base, self.pushed_revision)
        delta = self.configuration.changes_since(base)
        if domain == self.membership.domain:
            return self._fan_out(delta, names)
        relays = self.membership.view().relays(domain)
        via = relays[count] if count < len(relays) else self.rng.choice(names)
        return [Ask(via, Push(delta, tuple(n for n in names if n != via)))]

    def _fan_out(self, delta: Delta, names: Iterable[str]) -> list[Effect]:
        """Push a delta to some instances, each of which forwards it to a part of the others."""
        names = sorted(n for n in names if n != self.name)
        self.rng.shuffle(names)
        count = self.settings.fanout
        groups = [names[n::count] for n in range(min(count, len(names)))]
        return [Ask(group[0], Push(delta, tuple(group[1:]))) for group in groups]

    def handle(self, message: Any, sender: str, now: float) -> list[Effect]:
        """Handle a message or the answer to an `Ask`."""
        if isinstance(message, Push):
            return self._on_push(message, sender, now)
        if isinstance(message, Applied):
            return self._on_applied(message)
        if isinstance(message, Pull):
            return [Reply(self.changes_since(message.revision))]
        if isinstance(message, Delta):
            return self.apply_delta(message, now)
        if isinstance(message, AskRevision):
            return [Reply(HeldRevision(self.revision, self.has_become_current))]
        if isinstance(message, HeldRevision):
            self.answers[sender] = message
            if message.revision > self.revision:
                return self._pull(sender, now)
        return []

    def _on_push(self, message: Push, sender: str, now: float) -> list[Effect]:
        delta = message.delta
        effects = self.apply_delta(delta, now)
        if not self.is_leader:
            self.parent = sender
        if delta.revision > self.revision:
            effects += self._pull(sender, now)
        effects += self._fan_out(delta, message.members)
        self.unsent_report.pop(self.name, None)
        return [*effects, Reply(Applied({self.name: self._own_revision()}))]

    def _on_applied(self, message: Applied) -> list[Effect]:
        for name, held in message.held.items():
            if self._record_revision(name, (held[0], held[1])) and not self.is_leader:
                self.unsent_report[name] = self.known_revisions[name]
        return []

    def _record_revision(self, name: str, held: KnownRevision) -> bool:
        known = self.known_revisions.get(name, (0, 0))
        if not is_later(held, known):
            return False
        fell = held[0] == known[0] and held[1] < known[1]
        invariant(not fell, REPORT_FELL, f"{name}: {known} then {held}")
        self.known_revisions[name] = held
        return True

    def _own_revision(self) -> KnownRevision:
        return self.membership.table.own.incarnation, self.revision

    def apply_delta(self, delta: Delta, now: float) -> list[Effect]:
        """Apply a delta if it is newer and its base fits, and call the listeners."""
        before = self.revision
        if not self.configuration.apply(delta):
            return []
        invariant(self.revision > before, HELD_REVISION_FELL, f"{before} then {self.revision}")
        self.membership.set_revision(self.revision)
        self._record_revision(self.name, self._own_revision())
        self.unsent_report[self.name] = self._own_revision()
        for listener in list(self.listeners):
            listener(delta)
        subjects = {"instance": self.name, "revision": str(self.revision)}
        return [Record(Event("control.applied", subjects))]

    def _pull(self, source: str, now: float) -> list[Effect]:
        if now - self.last_pull < self.settings.retry_s:
            return []
        self.last_pull = now
        return [Ask(source, Pull(self.revision), self.settings.pull_timeout_s)]

    def tick(self, now: float) -> list[Effect]:
        """Do the periodic work; call this about four times a second."""
        if self.started_at is None:
            self.started_at = now
        effects = self._flush_report()
        if self.is_leader:
            effects += self._push_latest(now) + self._push_to_behind(now)
        effects += self._catch_up(now)
        if not self.has_become_current:
            effects += self._try_become_current(now)
        return effects

    def _flush_report(self) -> list[Effect]:
        if not self.unsent_report:
            return []
        report, self.unsent_report = self.unsent_report, {}
        return [Send(self.parent, Applied(report))] if self.parent and not self.is_leader else []

    def _catch_up(self, now: float) -> list[Effect]:
        """Pull from a peer whose heartbeat showed a higher revision."""
        view = self.membership.view()
        ahead = [name for name, member in view.live.items() if member.revision > self.revision]
        if not ahead:
            self.behind_since = None
            return []
        if self.behind_since is None:
            self.behind_since = now
        if now - self.behind_since < self.settings.pull_after_s:
            return []
        near = [name for name in ahead if view.members[name].failure_domain == self._domain]
        return self._pull(self.rng.choice(sorted(near or ahead)), now)

    @property
    def _domain(self) -> str:
        return self.membership.domain

    def _try_become_current(self, now: float) -> list[Effect]:
        """Become current when no reachable peer of the domain and no relay has a newer revision."""
        peers = self._peers()
        answers = [self.answers[name] for name in peers if name in self.answers]
        unheard = [name for name in peers if name not in self.answers]
        pending = [
            name for name in unheard if self.ask_counts.get(name, 0) < self.settings.max_asks
        ]
        has_current = any(answer.is_current for answer in answers)
        is_sure = has_current or self._may_stop_waiting(bool(peers), bool(answers), now)
        if not pending and is_sure and self.revision >= self._newest_revision(answers):
            return self._set_current(answers)
        if now - self.last_ask < self.settings.ask_period_s:
            return []
        self.last_ask = now
        if not pending and not has_current:
            self.answers.clear()
            self.ask_counts.clear()
            return []
        for name in pending:
            self.ask_counts[name] = self.ask_counts.get(name, 0) + 1
        return [Ask(name, AskRevision(), self.settings.ask_period_s) for name in pending]

    def _may_stop_waiting(self, has_peers: bool, has_answers: bool, now: float) -> bool:
        """Return whether there is no point in waiting longer for a peer that is current.

        Explanation
        ===========
        After a start of the whole system all peers answer that they are not current. An instance
        without peers may serve with the configuration that it has. One that has no configuration
        but has seeds is partitioned from the system rather than its only instance.
        """
        if self.started_at is None or now - self.started_at < self.settings.isolated_after_s:
            return False
        is_alone = not has_peers and (self.revision > 0 or not self.membership.seeds)
        return has_answers or is_alone

    def _newest_revision(self, answers: list[HeldRevision]) -> int:
        seen = [member.revision for member in self.membership.view().live.values()]
        return max([answer.revision for answer in answers] + seen, default=0)

    def _set_current(self, answers: list[HeldRevision]) -> list[Effect]:
        detail = f"revision {self.revision}"
        is_newest = all(self.revision >= answer.revision for answer in answers)
        invariant(is_newest, CURRENT_TOO_EARLY, detail)
        self.has_become_current = True
        return [Record(Event("control.current", {"instance": self.name}, detail))]

    def _peers(self) -> list[str]:
        view = self.membership.view()
        names = set(view.in_domain(self._domain))
        for domain in view.domains:
            names.update(view.relays(domain, 1))
        return sorted(names - {self.name})
