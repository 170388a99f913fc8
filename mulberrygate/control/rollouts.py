"""Verdicts on version moves, from the answers that entries report.

Explanation
===========
The sequential test is the one of `mulberrygate.control.sequential`, which compares the answers of
both versions over the same period. A version takes over only if there is evidence for it. Without
answers, or with answers that are as likely with a fault as without one, it is withdrawn before the
deadline.
"""

from __future__ import annotations

import math

import attrs

from mulberrygate.control import sequential
from mulberrygate.control.catalogs import DONE, ROLLED_BACK, Move
from mulberrygate.control.versiontest import VersionTest
from mulberrygate.core.sums import RequestSums
from mulberrygate.sync.messages import VersionEvidence
from mulberrygate.tables import model

# Smallest fault: an excess of the error rate, and a ratio of times. Engines that don't report their
# hardware differ by up to a factor of four, so a smaller ratio may stem from the engines compared.
FAULT_ERROR_EXCESS = 0.15
FAULT_SLOWDOWN = 3.0
SMALLEST_FAULT = model.Move(
    previous="", max_error_excess=FAULT_ERROR_EXCESS, max_slowdown=FAULT_SLOWDOWN
)
# Fractions of the move's time from which a version takes over on full evidence, from which it takes
# over on weak evidence, and from which it is withdrawn otherwise.
FULL_EVIDENCE_FROM = 0.75
WEAK_EVIDENCE_FROM = 0.85
WITHDRAW_FROM = 0.92
# Probability with which a version with the smallest fault passes on full and on weak evidence.
FULL_EVIDENCE_RISK = 0.05
WEAK_EVIDENCE_RISK = 0.6
# Odds for the smallest fault at which a version is withdrawn early, and the answers that it must
# have by then. The sequential test takes longer where only some of the answers are slow.
FAULT_ODDS = 50.0
MIN_ANSWERS = 20
# Smallest ratio of the variances of times that shows that some answers of a version are slow. If
# two of ten answers are slow by a factor of six, the variance is at least three times as large.
MIN_VARIANCE_RATIO = 2.5
# Odds for a fault on a single route from which the version doesn't take over.
ROUTE_ODDS = 10.0
# Bound on the probability with which a good version is called faulty. It is larger than for moves
# that take hours, since a bad version must be detected from the few answers of some seconds, and an
# operator can order a move again.
FALSE_ALARM_RISK = 0.1
# Fraction of the exposure bound that is used, since entries round their own shares up.
EXPOSURE_FRACTION = 0.8
# All evidence has one load bucket, since a small share never puts much load on the new version.
ONLY_BUCKET = 0


@attrs.define
class Track:
    """Sequential test of one move, and the fault that it has found."""

    test: VersionTest
    fault: str = ""


def describe(test: sequential.SequentialTest) -> str:
    """Return the errors and the mean relative time of both versions, for the log."""
    texts = []
    for name, sums in (("former", test.previous), ("new", test.new)):
        times = math.exp(sums.log_sum / max(sums.timed_count(), 1.0))
        texts.append(
            f"{name}: {sums.errors:.1f} of {sums.count:.1f} failed, times {times:.2f} of expected"
        )
    return "; ".join(texts)


def variance_evidence(test: sequential.SequentialTest) -> float:
    """Return the evidence in nats that a version's times vary no more than the previous one's.

    Explanation
    ===========
    If only some answers are slow, the mean of the logarithms changes little and their variance
    much. Differences between engines add as much variance to both versions.
    """
    previous, new = test.previous, test.new
    if previous.timed_count() < sequential.MIN_BASELINE or new.timed_count() < 1:
        return 0.0
    variance = max(previous.variance(), sequential.MIN_VARIANCE) * sequential.VARIANCE_MARGIN
    freedom = new.timed_count() - 1.0
    squares = new.variance() * freedom
    excess = squares / (2.0 * variance) * (1.0 - 1.0 / MIN_VARIANCE_RATIO)
    return freedom / 2.0 * math.log(MIN_VARIANCE_RATIO) - excess


class RolloutEvaluator:
    """Decides version moves of pools from the evidence of entries.

    Parameters
    ==========
    exposure_share : float
        Share of the pool's requests that a bad version may get.
    """

    def __init__(self, exposure_share: float):
        self.early_share = exposure_share * EXPOSURE_FRACTION
        self.tracks: dict[tuple[str, str], Track] = {}
        self.last_numbers: dict[tuple[str, int], int] = {}

    def reset(self) -> None:
        """Discard the evidence of an earlier leadership."""
        self.tracks.clear()
        self.last_numbers.clear()

    def _track(self, pool: str, target: str) -> Track:
        track = self.tracks.get((pool, target))
        if track is None:
            test = VersionTest(SMALLEST_FAULT, FALSE_ALARM_RISK)
            track = self.tracks[pool, target] = Track(test)
        return track

    def observe(self, evidence: VersionEvidence, now: float) -> None:
        """Add an entry's report to the evidence; repeated reports are ignored.

        Parameters
        ==========
        now : float
            Seconds on the monotonic clock.
        """
        sender = (evidence.instance, evidence.incarnation)
        if evidence.number <= self.last_numbers.get(sender, -1):
            return
        self.last_numbers[sender] = evidence.number
        track = self._track(evidence.pool, evidence.target)
        increments = [
            ((route, is_new, ONLY_BUCKET), RequestSums(*sums))
            for route, is_new, *sums in evidence.cells
        ]
        track.test.add(increments, now)
        track.fault = track.fault or track.test.detect_fault()

    def verdict(self, pool: str, move: Move, now: float) -> tuple[str, str]:
        """Return the verdict on a running move and its reason; both are empty before the verdict.

        Parameters
        ==========
        now : float
            Unix time in seconds.
        """
        track = self._track(pool, move.target)
        if track.fault:
            return ROLLED_BACK, track.fault
        part = (now - move.started_at) / max(move.deadline_at - move.started_at, 1e-3)
        evidence = self.evidence_for(track)
        is_enough = track.test.pooled().new.count >= MIN_ANSWERS
        if is_enough and evidence <= -math.log(FAULT_ODDS):
            return ROLLED_BACK, f"evidence {evidence:.1f} nats; {describe(track.test.pooled())}"
        if part < FULL_EVIDENCE_FROM:
            return "", ""
        needed = -math.log(FULL_EVIDENCE_RISK if part < WEAK_EVIDENCE_FROM else WEAK_EVIDENCE_RISK)
        reason = f"evidence {evidence:.1f} nats; {describe(track.test.pooled())}"
        if evidence >= needed:
            return DONE, reason
        return (ROLLED_BACK, reason) if part >= WITHDRAW_FROM else ("", "")

    def evidence_for(self, track: Track) -> float:
        """Return the evidence for a version in nats; negative if a route shows a fault."""
        start = sequential.Acceptance()
        pooled = track.test.pooled()
        whole = min(pooled.acceptance().since(start), variance_evidence(pooled))
        routes = track.test.routes().values()
        lowest = min((test.acceptance().since(start) for test in routes), default=0.0)
        return min(whole, lowest) if lowest < -math.log(ROUTE_ODDS) else whole
