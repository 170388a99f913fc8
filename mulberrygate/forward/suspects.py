"""Calls that end with the loss of the endpoint that runs them."""

from __future__ import annotations

from collections.abc import Callable

from mulberrygate.control.quarantine import CRASHES_TO_QUARANTINE
from mulberrygate.forward.request import Call
from mulberrygate.sync.messages import Crash, CrashReport

MAX_CALLS = 1024
# Reports that fit into one message.
MAX_REPORTED = 256


def drop_oldest(items: dict) -> None:
    """Drop the oldest items beyond the bound."""
    while len(items) > MAX_CALLS:
        del items[next(iter(items))]


class Suspects:
    """Report calls that crash endpoints, and know those that are quarantined.

    Explanation
    ===========
    A call is the same if its path, client account and body are. Crashes that are not in the control
    log yet stay here and are reported again; enough of them let this entry refuse the call by
    itself.

    Parameters
    ==========
    on_crash : Callable[[Crash], None]
        Called with each crash that was not known.
    on_report : Callable[[], None]
        Called when there is something to report.

    Attributes
    ==========
    quarantine_number : int
        Number of the quarantine that the entry has, as the control processes count it.
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
        """Take the quarantine of a control process, unless it is older than the one known."""
        if quarantine_number <= self.quarantine_number:
            return
        self.quarantine_number = quarantine_number
        self.quarantined = frozenset(quarantined)
        self.suspected = frozenset(suspected)

    def is_quarantined(self, call: Call) -> bool:
        """Return whether a call may not be sent to any endpoint."""
        if not self.quarantined and not self.unreported:
            return False
        fingerprint = call.fingerprint
        unreported = sum(crash.call == fingerprint for crash in self.unreported)
        return fingerprint in self.quarantined or unreported >= CRASHES_TO_QUARANTINE

    def record_answered(self, call: Call) -> None:
        """Take note that an endpoint answered a call."""
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

    def record_crash(self, call: Call, endpoint: str, incarnation: int) -> None:
        """Take note that an endpoint was lost while it ran a call."""
        crash = Crash(call.fingerprint, endpoint, incarnation)
        self.unreported[crash] = None
        drop_oldest(self.unreported)
        self.on_crash(crash)
        self.on_report()

    def next_report(self) -> CrashReport | None:
        """Return what no control process has taken yet, ``None`` if there is nothing."""
        crashes = tuple(self.unreported)[:MAX_REPORTED]
        cleared = tuple(self.uncleared)[:MAX_REPORTED]
        return CrashReport(crashes, cleared) if crashes or cleared else None

    def record_reported(self, report: CrashReport) -> None:
        """Take note that a report is in the control log."""
        for crash in report.crashes:
            self.unreported.pop(crash, None)
            self.reported[crash.call] = None
        drop_oldest(self.reported)
        for fingerprint in report.cleared:
            self.uncleared.pop(fingerprint, None)
