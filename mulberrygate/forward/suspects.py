"""Calls that crash the endpoints that run them: local reports and the known quarantine."""

from __future__ import annotations

from collections.abc import Callable

from mulberrygate.control.quarantine import CRASHES_TO_QUARANTINE, CRASHES_TO_SUSPECT
from mulberrygate.forward.request import Call
from mulberrygate.sync.messages import Crash, CrashReport

MAX_CALLS = 1024
# Crashes, and cleared calls, in one message.
MAX_REPORTED = 256


def drop_oldest(items: dict) -> None:
    """Drop the oldest items beyond `MAX_CALLS`."""
    while len(items) > MAX_CALLS:
        del items[next(iter(items))]


class Suspects:
    """Crash reports of this entry, and the quarantine of the control processes.

    Explanation
    ===========
    Calls are identified by the fingerprint of their content, see
    `mulberrygate.forward.request.Call`. Crashes are kept and reported again until they are in the
    control log; an entry with enough unreported crashes of a call refuses it on its own.

    Parameters
    ==========
    on_crash : Callable[[Crash], None]
        Called with each new crash.
    on_report : Callable[[], None]
        Called when there is a new report.

    Attributes
    ==========
    quarantine_number : int
        Number of the last quarantine taken over, as the control processes count them.
    quarantined, suspected : frozenset of str
        Fingerprints of calls that crash endpoints, and of those that may.
    unreported, reported : dict
        Crashes that are not yet in the control log, and the fingerprints of calls with crashes
        that are.
    uncleared : dict
        Fingerprints of answered calls whose clearance is not yet in the control log.
    """

    def __init__(self, on_crash: Callable[[Crash], None], on_report: Callable[[], None]):
        self.on_crash = on_crash
        self.on_report = on_report
        self.quarantine_number = 0
        self.quarantined: frozenset[str] = frozenset()
        self.suspected: frozenset[str] = frozenset()
        self.unreported: dict[Crash, None] = {}
        self.reported: dict[str, None] = {}
        self.uncleared: dict[str, None] = {}

    def update_quarantine(
        self, quarantine_number: int, quarantined: tuple[str, ...], suspected: tuple[str, ...]
    ) -> None:
        """Take over the quarantine of a control process if it is newer than the known one."""
        if quarantine_number <= self.quarantine_number:
            return
        self.quarantine_number = quarantine_number
        self.quarantined = frozenset(quarantined)
        self.suspected = frozenset(suspected)

    def is_quarantined(self, call: Call) -> bool:
        """Return whether a call must not be sent to any endpoint."""
        if not self.quarantined and not self.unreported:
            return False
        fingerprint = call.fingerprint
        crashes = sum(crash.call == fingerprint for crash in self.unreported)
        # An unreported crash may be one that is in the log; until its report is committed, the
        # entry can't tell and refuses the call.
        if crashes and fingerprint in self.suspected:
            crashes += CRASHES_TO_SUSPECT
        return fingerprint in self.quarantined or crashes >= CRASHES_TO_QUARANTINE

    def may_try(self, call: Call) -> bool:
        """Return whether a trial of a quarantined call may be requested.

        Explanation
        ===========
        The control log limits the trials, so all crashes of the call must be in it.
        """
        fingerprint = call.fingerprint
        is_reported = all(crash.call != fingerprint for crash in self.unreported)
        return is_reported and fingerprint in self.quarantined

    def record_answered(self, call: Call) -> None:
        """Record that an endpoint answered a call, which clears it of suspicion."""
        if not (self.unreported or self.reported or self.suspected or self.quarantined):
            return
        fingerprint = call.fingerprint
        own = [crash for crash in self.unreported if crash.call == fingerprint]
        for crash in own:
            del self.unreported[crash]
        is_reported = fingerprint in self.reported
        self.reported.pop(fingerprint, None)
        if is_reported or fingerprint in self.suspected or fingerprint in self.quarantined:
            self.uncleared[fingerprint] = None
            self.on_report()

    def record_crash(self, call: str, endpoint: str, incarnation: int) -> None:
        """Record that an endpoint crashed while it ran the call with a fingerprint."""
        crash = Crash(call, endpoint, incarnation)
        self.unreported[crash] = None
        drop_oldest(self.unreported)
        # A clearance that is committed late must not erase this crash.
        self.uncleared.pop(call, None)
        self.on_crash(crash)
        self.on_report()

    def next_report(self) -> CrashReport | None:
        """Return a report of what is not yet in the control log, ``None`` if there is nothing."""
        crashes = tuple(self.unreported)[:MAX_REPORTED]
        cleared = tuple(self.uncleared)[:MAX_REPORTED]
        return CrashReport(crashes, cleared) if crashes or cleared else None

    def record_reported(self, report: CrashReport) -> None:
        """Record that a report is in the control log."""
        for crash in report.crashes:
            self.unreported.pop(crash, None)
            self.reported[crash.call] = None
        drop_oldest(self.reported)
        for fingerprint in report.cleared:
            self.uncleared.pop(fingerprint, None)
