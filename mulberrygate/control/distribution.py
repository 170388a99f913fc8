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
# Incarnation and revision of an instance, as acknowledgements carry them.
KnownRevision = tuple[int, int]


@message("control.push")
@attrs.frozen
class Push:
    """Changes of the configuration, and the instances to which the receiver passes them on."""

    delta: Delta
    members: tuple[str, ...] = ()


@message("control.applied")
@attrs.frozen
class Applied:
    """Incarnations and revisions in force, towards the leader; also the answer to a `Push`."""

    held: dict[str, KnownRevision]


@message("control.pull")
@attrs.frozen
class Pull:
    """Ask for the changes since a revision; the answer is a `Delta`."""

    revision: int


@message("control.ask_revision")
@attrs.frozen
class AskRevision:
    """Ask for the revision in force; the answer is a `HeldRevision`."""


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
        Instances that one instance passes a change on to. At 60 instances in a domain, 8 makes a
        tree of two levels.
    retry_s : float
        Time after which the leader tries the missing instances of a domain through another one.
        Three attempts fit into the limit of 4 s.
    pull_after_s : float
        Time that a change which a peer holds already may take to be pushed to this instance.
    isolated_after_s : float
        Time after which an instance that finds no current peer counts as current.
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
    """Attempts of the leader to reach one failure domain."""

    last_at: float
    count: int = 0


class ConfigurationReplica:
    """Hold the configuration in force on this instance and take part in its delivery.

    Explanation
    ===========
    The leader calls `publish`. It pushes small deltas; a receiver that is older than a delta's base
    pulls from the sender. Each receiver of a push passes it on to a part of its domain and reports
    upwards which instances hold which revision.

    Parameters
    ==========
    configuration : Configuration
        Configuration that this instance serves with.
    membership : Membership
        Names the instances; is told the revision in force.
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
        """Call a listener with each delta after it was applied."""
        self.listeners.append(listener)

    def is_current(self) -> bool:
        """Return whether the instance was up to date with its reachable peers since its start."""
        return self.has_become_current

    def changes_since(self, revision: int) -> Delta:
        """Return the delta that brings a holder of a revision to this one."""
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

    # Leader.

    def publish(self, source: Configuration, now: float) -> list[Effect]:
        """Put the newest configuration of the control log in force and push it to all instances.

        Explanation
        ===========
        Also to be called once by a new leader; instances that are up to date answer so. The
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
        """Stop pushing; the instance is not the leader any more."""
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
        """Push to each failure domain in which instances are missing."""
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
        """Pass a delta on to instances, each of which gets a part of the others."""
        names = sorted(n for n in names if n != self.name)
        self.rng.shuffle(names)
        count = self.settings.fanout
        groups = [names[n::count] for n in range(min(count, len(names)))]
        return [Ask(group[0], Push(delta, tuple(group[1:]))) for group in groups]

    # Incoming messages.

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
        """Put a delta in force if it is newer and fits, and call the listeners."""
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

    # Time.

    def tick(self, now: float) -> list[Effect]:
        """Advance to a time; to be called about four times a second."""
        if self.started_at is None:
            self.started_at = now
        effects = self._flush_report()
        if self.is_leader:
            effects += self._push_latest(now) + self._push_to_behind(now)
        effects += self._catch_up(now)
        if not self.has_become_current:
            effects += self._check_current(now)
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

    # Readiness after a start.

    def _check_current(self, now: float) -> list[Effect]:
        """Become current when no reachable peer of the domain or other relay holds more."""
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
        """Return whether nobody who is up to date can be expected any more.

        Explanation
        ===========
        After a start of the whole system all peers answer that they are not current. An instance
        that hears nobody may serve what it has, but one that has nothing and knows seeds is cut
        off rather than alone.
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
