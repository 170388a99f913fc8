"""Detection of request contents that crash endpoints.

Explanation
===========
A caller may send a crashing request again under a new key, so contents are identified by a
fingerprint. When an endpoint dies, the contents that ran on it are candidates for its cause;
`mulberrygate.control.quarantine` judges them as it does on the platform. Contents that it suspects
are isolated from each other: an entry runs no two of them on one endpoint.

The reports of all entry instances of the failure domain about one death are merged before it is
judged, so that all instances reach the same verdict.
"""

from __future__ import annotations

import collections
import itertools

import attrs

from mulberrygate.control.blame import Candidate
from mulberrygate.control.quarantine import AnswerEvidence, CrashEvidence, QuarantineState
from mulberrygate.core.wire import message

# Reports of one endpoint's death are collected for this time.
REPORT_WINDOW_S = 0.5
# A request without an answer counts as running for this time after its end, since the death of an
# endpoint is known only when its lease has expired.
UNANSWERED_S = 6.0
FATAL_FAULTS = frozenset({"cut", "gone", "lost"})
# Fault of an endpoint that did not run the request.
REFUSED = "refused"


@message("entry.crash_report")
@attrs.frozen
class CrashReport:
    """Contents that one entry instance was running on an endpoint when it died."""

    endpoint: str
    contents: tuple[str, ...]


@message("entry.cleared")
@attrs.frozen
class Cleared:
    """Suspects that one entry instance cleared because they completed."""

    contents: tuple[str, ...]


class CrashTracker:
    """Count of endpoint deaths by content.

    Explanation
    ===========
    The class reads no clock and sends nothing: `take_reports` and `take_cleared` return the
    messages for the other entry instances of the failure domain.

    Attributes
    ==========
    running : dict
        Contents that run on each endpoint, with their counts.
    unanswered : dict
        Time of the end of requests without an answer, by endpoint and content.
    pending_deaths : dict
        Time of the first report and the reported contents, for each death not yet evaluated.
    evaluated : dict
        Time of the evaluation of recent deaths, by endpoint; late reports of them are ignored.
    state : QuarantineState
        Verdicts on contents.
    """

    def __init__(self):
        self.running: dict[str, collections.Counter[str]] = {}
        self.unanswered: dict[str, dict[str, float]] = {}
        self.state = QuarantineState()
        self.deaths = itertools.count()
        self.pending_deaths: dict[str, tuple[float, set[str]]] = {}
        self.evaluated: dict[str, float] = {}
        self.reports: list[CrashReport] = []
        self.cleared: set[str] = set()

    def record_start(self, content: str, endpoint: str) -> None:
        """Record that a content starts to run on an endpoint."""
        self.running.setdefault(endpoint, collections.Counter())[content] += 1

    def record_end(
        self, content: str, endpoint: str, fault: str, is_complete: bool, now: float
    ) -> None:
        """Record that a content has ended, and with which fault."""
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
        if is_complete:
            # The endpoint was alive after the earlier requests had ended.
            self.unanswered.pop(endpoint, None)
        elif fault not in FATAL_FAULTS and fault != REFUSED:
            self.unanswered.setdefault(endpoint, {})[content] = now
        if is_complete and self._is_candidate(content):
            self.clear(content, now)
            self.cleared.add(content)

    def record_death(self, endpoint: str, now: float) -> None:
        """Record the death of an endpoint and report the contents that run on it."""
        unanswered = self.unanswered.pop(endpoint, {})
        recent = [content for content, at in unanswered.items() if now < at + UNANSWERED_S]
        contents = tuple(dict.fromkeys([*self.running.get(endpoint, ()), *recent]))
        if contents and endpoint not in self.pending_deaths and endpoint not in self.evaluated:
            report = CrashReport(endpoint, contents)
            self.reports.append(report)
            self.add_report(report, now)

    def add_report(self, report: CrashReport, now: float) -> None:
        """Add a report of this or another entry instance to the pending death."""
        if self.evaluated.get(report.endpoint, -REPORT_WINDOW_S) + REPORT_WINDOW_S > now:
            return
        _, contents = self.pending_deaths.setdefault(report.endpoint, (now, set()))
        contents.update(report.contents)

    def _is_candidate(self, content: str) -> bool:
        """Return whether a content is quarantined or a candidate of any death."""
        crashes = self.state.crashes.values()
        return content in self.state.records or any(content in c.candidates for c in crashes)

    def clear(self, content: str, now: float) -> None:
        """Clear a content that has completed of the deaths before."""
        self.state.put([], [AnswerEvidence(content)], at=now)

    def tick(self, now: float) -> None:
        """Evaluate deaths whose report window is over, and drop expired suspects."""
        for endpoint, (since, contents) in list(self.pending_deaths.items()):
            if now >= since + REPORT_WINDOW_S:
                del self.pending_deaths[endpoint]
                self.evaluated[endpoint] = now
                self._evaluate_death(endpoint, contents, now)
        for endpoint, at in list(self.evaluated.items()):
            if now >= at + REPORT_WINDOW_S:
                del self.evaluated[endpoint]
        for endpoint, contents in list(self.unanswered.items()):
            kept = {content: at for content, at in contents.items() if now < at + UNANSWERED_S}
            if kept:
                self.unanswered[endpoint] = kept
            else:
                del self.unanswered[endpoint]
        if self.state.has_expired(now):
            self.state.put(at=now)

    def _evaluate_death(self, endpoint: str, contents: set[str], now: float) -> None:
        number = next(self.deaths)
        evidence = [
            CrashEvidence(Candidate(content), endpoint, number) for content in sorted(contents)
        ]
        self.state.put(evidence, at=now)

    def is_quarantined(self, content: str, now: float) -> bool:
        """Return whether requests with a content are refused."""
        record = self.state.records.get(content)
        return record is not None and now < record.expires_at

    def must_isolate(self, content: str, endpoint: str) -> bool:
        """Return whether an endpoint runs another content that must not run beside this one."""
        suspects = self.state.verdicts.suspects
        if content not in suspects:
            return False
        running = self.running.get(endpoint, ())
        return any(other in suspects for other in running if other != content)

    def avoided_endpoints(self, content: str) -> tuple[str, ...]:
        """Return the endpoints to which a content must not be sent at present."""
        return tuple(endpoint for endpoint in self.running if self.must_isolate(content, endpoint))

    def take_reports(self) -> list[CrashReport]:
        """Return and remove the reports to send."""
        reports, self.reports = self.reports, []
        return reports

    def take_cleared(self) -> Cleared | None:
        """Return and remove the cleared suspects to send, ``None`` if there are none."""
        if not self.cleared:
            return None
        cleared, self.cleared = Cleared(tuple(sorted(self.cleared))), set()
        return cleared
