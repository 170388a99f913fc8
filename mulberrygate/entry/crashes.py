"""Find request contents that crash endpoints.

Explanation
===========
A caller sends a crashing request again under a new key, so contents are told apart by a
fingerprint. When an endpoint dies, each content that ran on it becomes suspect. Ordinary requests
on the same endpoint must not be refused for it:

- A content that completes anywhere is cleared.
- If contents with earlier crashes ran there, only those with the most crashes are blamed.
- Contents with `ISOLATION_CRASHES` crashes are isolated from each other: an entry runs no two of
  them on one endpoint. One crash does not suffice, since the many requests of an endpoint that
  failed for another reason would then wait for each other.

A content is refused for `QUARANTINE_S` after `QUARANTINE_CRASHES` crashes if it was the only
suspect in at least one of them. The reports of all entry instances of the failure domain about one
death are merged before it is evaluated, so that all instances reach the same verdict.
"""

from __future__ import annotations

import collections

import attrs

from mulberrygate.core.wire import message

QUARANTINE_CRASHES = 3
ISOLATION_CRASHES = 2
QUARANTINE_S = 3600.0
# A suspect that is not seen again is forgotten after this time.
SUSPECT_EXPIRY_S = 900.0
# Reports of one death arrive within this time.
REPORT_WINDOW_S = 0.5
MAX_CONTENTS = 10_000
FATAL_FAULTS = frozenset({"cut", "gone", "lost"})


@message("entry.crash_report")
@attrs.frozen
class CrashReport:
    """Contents that ran on an endpoint when it died, as one entry instance saw it."""

    endpoint: str
    contents: tuple[str, ...]


@message("entry.cleared")
@attrs.frozen
class Cleared:
    """Suspects that completed at one entry instance."""

    contents: tuple[str, ...]


@attrs.define
class Suspect:
    """Content that ran on an endpoint that died."""

    crashes: int
    seen_at: float
    was_sole_suspect: bool = False

    def is_over_limit(self) -> bool:
        """Return whether the content is refused."""
        return self.crashes >= QUARANTINE_CRASHES and self.was_sole_suspect


class CrashTracker:
    """Count endpoint deaths by content.

    Explanation
    ===========
    The class reads no clock and sends nothing: `take_reports` and `take_cleared` return what is to
    be sent to the other entry instances of the failure domain.
    """

    def __init__(self):
        self.running: dict[str, collections.Counter[str]] = {}
        self.suspects: collections.OrderedDict[str, Suspect] = collections.OrderedDict()
        self.pending_deaths: dict[str, tuple[float, set[str]]] = {}
        self.evaluated: dict[str, float] = {}
        self.reports: list[CrashReport] = []
        self.cleared: set[str] = set()

    def record_start(self, content: str, endpoint: str) -> None:
        """Note that a content runs on an endpoint."""
        self.running.setdefault(endpoint, collections.Counter())[content] += 1

    def record_end(
        self, content: str, endpoint: str, fault: str, is_complete: bool, now: float
    ) -> None:
        """Note that a content does not run any more, and how it ended."""
        running = self.running.get(endpoint)
        if running is None or not running[content]:
            return
        if fault in FATAL_FAULTS:
            self.record_death(endpoint, now)
        running[content] -= 1
        if not running[content]:
            del running[content]
        if not running:
            self.running.pop(endpoint, None)
        if is_complete and content in self.suspects:
            self.clear(content)
            self.cleared.add(content)

    def record_death(self, endpoint: str, now: float) -> None:
        """Note the death of an endpoint and report what runs on it."""
        contents = tuple(self.running.get(endpoint, ()))
        if contents and endpoint not in self.pending_deaths and endpoint not in self.evaluated:
            report = CrashReport(endpoint, contents)
            self.reports.append(report)
            self.add_report(report, now)

    def add_report(self, report: CrashReport, now: float) -> None:
        """Take a report, own or of another entry instance."""
        if self.evaluated.get(report.endpoint, -REPORT_WINDOW_S) + REPORT_WINDOW_S > now:
            return
        _, contents = self.pending_deaths.setdefault(report.endpoint, (now, set()))
        contents.update(report.contents)

    def clear(self, content: str) -> None:
        """Forget a suspect that completed."""
        self.suspects.pop(content, None)

    def tick(self, now: float) -> None:
        """Judge deaths whose reports are in, and forget old suspects."""
        for endpoint, (since, contents) in list(self.pending_deaths.items()):
            if now >= since + REPORT_WINDOW_S:
                del self.pending_deaths[endpoint]
                self.evaluated[endpoint] = now
                self._evaluate_death(contents, now)
        for endpoint, at in list(self.evaluated.items()):
            if now >= at + REPORT_WINDOW_S:
                del self.evaluated[endpoint]
        for content, suspect in list(self.suspects.items()):
            kept_s = QUARANTINE_S if suspect.is_over_limit() else SUSPECT_EXPIRY_S
            if now >= suspect.seen_at + kept_s:
                del self.suspects[content]

    def _evaluate_death(self, contents: set[str], now: float) -> None:
        crashes = {content: self._crash_count(content) for content in sorted(contents)}
        most = min(ISOLATION_CRASHES, max(crashes.values(), default=0))
        blamed = [content for content, count in crashes.items() if count >= most]
        for content in blamed:
            suspect = self.suspects.setdefault(content, Suspect(0, now))
            suspect.crashes += 1
            suspect.was_sole_suspect |= len(blamed) == 1
            suspect.seen_at = now
        while len(self.suspects) > MAX_CONTENTS:
            self.suspects.popitem(last=False)

    def is_quarantined(self, content: str, now: float) -> bool:
        """Return whether a content is refused."""
        suspect = self.suspects.get(content)
        if suspect is None or not suspect.is_over_limit():
            return False
        return now < suspect.seen_at + QUARANTINE_S

    def _crash_count(self, content: str) -> int:
        suspect = self.suspects.get(content)
        return suspect.crashes if suspect is not None else 0

    def must_isolate(self, content: str, endpoint: str) -> bool:
        """Return whether an endpoint runs another content that has to be kept apart from this."""
        if self._crash_count(content) < ISOLATION_CRASHES:
            return False
        running = self.running.get(endpoint, ())
        return any(
            self._crash_count(other) >= ISOLATION_CRASHES for other in running if other != content
        )

    def avoided_endpoints(self, content: str) -> tuple[str, ...]:
        """Return the endpoints that must not get a content now."""
        return tuple(endpoint for endpoint in self.running if self.must_isolate(content, endpoint))

    def take_reports(self) -> list[CrashReport]:
        """Return the reports to send."""
        reports, self.reports = self.reports, []
        return reports

    def take_cleared(self) -> Cleared | None:
        """Return the cleared suspects to send, if there are any."""
        if not self.cleared:
            return None
        cleared, self.cleared = Cleared(tuple(sorted(self.cleared))), set()
        return cleared
