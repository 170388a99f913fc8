"""Roster of the endpoints that report to control processes.

Explanation
===========
An endpoint reports to any control process, which forwards the report together with its age. Every
process keeps a `Roster` and merges reports that arrive in any order: a report counts only if its
incarnation and sequence are higher than the known ones. An incarnation that has reported that it
leaves gets no work again. In contrast to `mulberrygate.endpoints.directory` there are no leases;
endpoints without reports are removed by `Roster.forget_silent`.
"""

from __future__ import annotations

import math

import attrs

from mulberrygate.core.wire import message

# A change of the time until which an endpoint is cold counts as one from this on. Reports take
# hundredths of a second, and each change wakes all entries.
COLD_CHANGE_S = 0.3
# Ended incarnations that are remembered, so that late reports don't restore them.
MAX_ENDED = 4096


@message("endpoints.registration")
@attrs.frozen
class Registration:
    """Report of an endpoint about itself.

    Parameters
    ==========
    incarnation : int
        Increases with each start of an endpoint of this name.
    sequence : int
        Increases with each report of one incarnation.
    address : str
        ``host:port`` of its HTTP server.
    slots : int
        Requests that it runs at the same time.
    warmup_s : float
        Seconds from the report for which it is cold: slower than usual, and it takes few requests.
    states_warmup : bool
        Whether the report states `warmup_s`.
    """

    endpoint: str
    incarnation: int
    sequence: int
    pool: str
    address: str
    failure_domain: str
    version: str = ""
    slots: int = 1
    is_leaving: bool = False
    warmup_s: float = 0.0
    states_warmup: bool = True

    @property
    def order_key(self) -> tuple[int, int]:
        """Incarnation and sequence, by which reports of one endpoint are ordered."""
        return self.incarnation, self.sequence


@message("endpoints.heard")
@attrs.frozen
class AgedRegistration:
    """A registration and its age: the seconds since a process received it."""

    registration: Registration
    age_s: float


@attrs.define
class Row:
    """Endpoint in the roster; times are on the monotonic clock of this process.

    Parameters
    ==========
    first_heard_at : float
        Time of the first report of the incarnation.
    cold_until : float or None
        Time until which it is cold, ``-inf`` if it is warm, ``None`` if no report of the
        incarnation has stated either.
    """

    registration: Registration
    heard_at: float
    is_leaving: bool = False
    first_heard_at: float = -math.inf
    cold_until: float | None = -math.inf

    def take_warmup(self, before: Row | None, reported_at: float) -> None:
        """Set until when the endpoint is cold, from its report and the one before."""
        known = self.registration
        is_same = before is not None and before.registration.incarnation == known.incarnation
        self.first_heard_at = before.first_heard_at if is_same else reported_at
        if known.states_warmup:
            is_cold = known.warmup_s > 0
            self.cold_until = reported_at + known.warmup_s if is_cold else -math.inf
        else:
            self.cold_until = before.cold_until if is_same else None

    def cold_s(self, start_s: float, now: float) -> float:
        """Return the seconds for which the endpoint is still cold, as far as known.

        Parameters
        ==========
        start_s : float
            Seconds for which an endpoint is cold after its start, if no report states it.
        """
        until = self.first_heard_at + start_s if self.cold_until is None else self.cold_until
        return max(0.0, until - now)

    def aged(self, now: float) -> AgedRegistration:
        """Return the registration in the form in which it is passed on to other processes.

        Explanation
        ===========
        `heard_at` is newer than the registration if later reports only renewed it. So ``warmup_s``
        is stated again as what was left of it at `heard_at`, to which the age refers.
        """
        left_s = 0.0 if self.cold_until is None else max(0.0, self.cold_until - self.heard_at)
        known = attrs.evolve(
            self.registration,
            is_leaving=self.is_leaving,
            warmup_s=left_s,
            states_warmup=self.cold_until is not None,
        )
        return AgedRegistration(known, max(0.0, now - self.heard_at))


class Roster:
    """Endpoints that are known to this process, with the newest report of each.

    Examples
    ========
    >>> from mulberrygate.endpoints.roster import Registration, Roster
    >>> roster = Roster()
    >>> roster.record_report(Registration("e1", 1, 4, "care", "10.0.0.1:80", "a"), heard_at=0.0)
    True
    >>> roster.record_report(Registration("e1", 1, 3, "booking", "10.0.0.1:80", "a"), heard_at=1.0)
    False
    >>> roster.mark_leaving("e1", 1)
    True
    >>> roster.usable("care")
    []
    """

    def __init__(self):
        self.rows: dict[str, Row] = {}
        self.ended: dict[str, int] = {}
        # Number of changes other than renewals, by which followers request what is new to them.
        self.changes = 0
        self.changed_at: dict[str, int] = {}

    def record_report(self, registration: Registration, heard_at: float) -> bool:
        """Merge a report; return whether it changed more than the time of the last report."""
        name = registration.endpoint
        if registration.incarnation <= self.ended.get(name, -1):
            return False
        row = self.rows.get(name)
        if row is not None and registration.order_key <= row.registration.order_key:
            if registration.order_key == row.registration.order_key:
                row.heard_at = max(row.heard_at, heard_at)
            return False
        if self._is_superseded(registration, heard_at):
            return False
        is_leaving = registration.is_leaving
        reported_at = heard_at
        if row is not None and row.registration.incarnation == registration.incarnation:
            is_leaving = is_leaving or row.is_leaving
            heard_at = max(heard_at, row.heard_at)
        self._remove_others_at(registration)
        new = self.rows[name] = Row(registration, heard_at, is_leaving)
        new.take_warmup(row, reported_at)
        is_change = row is None or is_changed(row, new) or is_cold_changed(row, new, reported_at)
        if is_change:
            self._record_change(name)
        return is_change

    def incarnation(self, name: str) -> int:
        """Return the registered incarnation of an endpoint, 0 if there is none."""
        row = self.rows.get(name)
        return row.registration.incarnation if row is not None else 0

    def renew(self, name: str, incarnation: int, heard_at: float) -> None:
        """Record that another process received a report of an endpoint at a time."""
        row = self.rows.get(name)
        if row is not None and row.registration.incarnation == incarnation:
            row.heard_at = max(row.heard_at, heard_at)

    def mark_leaving(self, name: str, incarnation: int) -> bool:
        """Record that an incarnation takes no new work; return whether that is new."""
        row = self.rows.get(name)
        if row is None or row.registration.incarnation > incarnation or row.is_leaving:
            return False
        row.is_leaving = True
        self._record_change(name)
        return True

    def mark_ended(self, name: str, incarnation: int) -> bool:
        """Record that an incarnation has ended; return whether it accepted work until now."""
        is_new = self.mark_leaving(name, incarnation)
        self.ended[name] = max(self.ended.get(name, -1), incarnation)
        while len(self.ended) > MAX_ENDED:
            del self.ended[next(iter(self.ended))]
        return is_new

    def forget_silent(self, now: float, limit_s: float) -> list[str]:
        """Remove endpoints whose last report is older than a limit; return their names."""
        silent = [name for name, row in self.rows.items() if now - row.heard_at > limit_s]
        for name in silent:
            del self.rows[name]
            self._record_change(name)
        return silent

    def usable(self, pool: str) -> list[Row]:
        """Return the endpoints of a pool that accept new work."""
        return [
            row
            for row in self.rows.values()
            if row.registration.pool == pool and not row.is_leaving
        ]

    def changed_since(self, number: int) -> list[str]:
        """Return the names of the endpoints whose last change has a higher number."""
        return [name for name, at in self.changed_at.items() if at > number]

    def _is_superseded(self, registration: Registration, heard_at: float) -> bool:
        """Return whether another endpoint at the same address has started later."""
        for row in self.rows.values():
            known = row.registration
            if known.address == registration.address and known.endpoint != registration.endpoint:
                if known.incarnation > registration.incarnation:
                    return True
                if known.incarnation == registration.incarnation and row.heard_at > heard_at:
                    return True
        return False

    def _remove_others_at(self, registration: Registration) -> None:
        """Remove earlier endpoints at the address of a new one."""
        for name, row in list(self.rows.items()):
            known = row.registration
            if known.address == registration.address and name != registration.endpoint:
                self.ended[name] = max(self.ended.get(name, -1), known.incarnation)
                del self.rows[name]
                self._record_change(name)

    def _record_change(self, name: str) -> None:
        self.changes += 1
        self.changed_at[name] = self.changes


def is_changed(before: Row, after: Row) -> bool:
    """Return whether two rows differ in more than sequence and time."""
    changing = {"sequence": 0, "warmup_s": 0.0, "states_warmup": True}
    first = attrs.evolve(before.registration, **changing)
    second = attrs.evolve(after.registration, **changing)
    return first != second or before.is_leaving != after.is_leaving


def is_cold_changed(before: Row, after: Row, now: float) -> bool:
    """Return whether an endpoint has become cold, or will be cold for another time than known."""
    if before.cold_until is None or after.cold_until is None:
        return before.cold_until is not after.cold_until
    return abs(max(before.cold_until, now) - max(after.cold_until, now)) > COLD_CHANGE_S
