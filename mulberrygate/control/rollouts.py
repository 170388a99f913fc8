"""Verdict on a version move from the answers that entries report.

Explanation
===========
The sequential test is the one of `mulberrygate.control.stratum`, which weighs the answers of both
versions over the same period. A version takes over only on evidence for it: without answers, or
with answers as likely under a fault as without one, it is withdrawn before the deadline.
"""

from __future__ import annotations

import math

import attrs

from mulberrygate.control import stratum
from mulberrygate.control.catalogs import DONE, ROLLED_BACK, Move
from mulberrygate.control.versiontest import VersionTest
from mulberrygate.core.sums import Sums
from mulberrygate.sync.messages import VersionEvidence
from mulberrygate.tables import model

# Smallest fault: an excess of failures, and a ratio of times. Engines that don't tell their
# hardware differ by a factor of four, so that a smaller ratio may come from the engines compared.
LEAST_EXCESS = 0.15
LEAST_SLOWDOWN = 3.0
SMALLEST_FAULT = model.Move(previous="", max_error_excess=LEAST_EXCESS, max_slowdown=LEAST_SLOWDOWN)
# Parts of the time from which a version takes over on full evidence, then on weak evidence, and
# after which it is withdrawn.
DONE_AFTER = 0.75
LATE_AFTER = 0.85
LAST_PART = 0.92
# Probability with which a version with the smallest fault passes on full and on weak evidence.
RISK = 0.05
LATE_RISK = 0.6
# Odds for the smallest fault at which a version is withdrawn, and answers that it has before. The
# test for a fault takes longer where only a part of the answers is slow.
FAULT_ODDS = 50.0
LEAST_ANSWERS = 20
# Smallest ratio of the variances of times of a version of which a part of the answers is slow. One
# that is slow in two of ten answers by a factor of six has three times the variance or more.
LEAST_SPREAD = 2.5
# Odds for a fault on one route from which the version doesn't take over.
ROUTE_ODDS = 10.0
# Bound of the probability with which a good version is called faulty. It is larger than for moves
# of hours: a bad version must be found in the few answers of some seconds, and an operator can
# order a move again.
FALSE_ALARM = 0.1
# Share of the exposure bound that is used, since entries round their own shares up.
EARLY_PART = 0.8
# Load levels are not told apart, since the small share never loads the new version.
NO_BUCKET = 0


@attrs.define
class Track:
    """Evidence on one move."""

    test: VersionTest
    fault: str = ""


def describe(test: stratum.StratumTest) -> str:
    """Return what both versions did, for the log."""
    texts = []
    for name, sums in (("former", test.previous), ("new", test.new)):
        times = math.exp(sums.total / max(sums.timed(), 1.0))
        texts.append(f"{name}: {sums.errors:.1f} of {sums.count:.1f} bad, {times:.2f} of the time")
    return "; ".join(texts)


def spread_evidence(test: stratum.StratumTest) -> float:
    """Return the evidence in nats that a version's times vary no more than the former one's.

    Explanation
    ===========
    A part of the answers that is slow moves the mean of the logarithms little and their variance
    much. Engines that are unlike by themselves vary as much in both versions.
    """
    former, new = test.previous, test.new
    if former.timed() < stratum.MIN_BASELINE or new.timed() < 1:
        return 0.0
    variance = max(former.variance(), stratum.MIN_VARIANCE) * stratum.VARIANCE_MARGIN
    freedom = new.timed() - 1.0
    squares = new.variance() * freedom
    excess = squares / (2.0 * variance) * (1.0 - 1.0 / LEAST_SPREAD)
    return freedom / 2.0 * math.log(LEAST_SPREAD) - excess


class RolloutJudge:
    """Judge version moves of pools from evidence of entries.

    Parameters
    ==========
    exposure_share : float
        Share of the pool's requests that a bad version may get.
    """

    def __init__(self, exposure_share: float):
        self.early_share = exposure_share * EARLY_PART
        self.tracks: dict[tuple[str, str], Track] = {}
        self.numbers: dict[tuple[str, int], int] = {}

    def restart(self) -> None:
        """Forget the evidence of an earlier leadership."""
        self.tracks.clear()
        self.numbers.clear()

    def _track(self, pool: str, target: str) -> Track:
        track = self.tracks.get((pool, target))
        if track is None:
            test = VersionTest(SMALLEST_FAULT, FALSE_ALARM)
            track = self.tracks[pool, target] = Track(test)
        return track

    def observe(self, evidence: VersionEvidence, now: float) -> None:
        """Count an entry's report once.

        Parameters
        ==========
        now : float
            Seconds on the monotonic clock.
        """
        sender = (evidence.instance, evidence.incarnation)
        if evidence.number <= self.numbers.get(sender, -1):
            return
        self.numbers[sender] = evidence.number
        track = self._track(evidence.pool, evidence.target)
        increments = [
            ((route, is_new, NO_BUCKET), Sums(*sums)) for route, is_new, *sums in evidence.cells
        ]
        track.test.add(increments, now)
        track.fault = track.fault or track.test.fault()

    def verdict(self, pool: str, move: Move, now: float) -> tuple[str, str]:
        """Return the verdict on a running move and its reason, empty while there is none.

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
        is_enough = track.test.pooled().new.count >= LEAST_ANSWERS
        if is_enough and evidence <= -math.log(FAULT_ODDS):
            return ROLLED_BACK, f"{evidence:.1f} nats for it; {describe(track.test.pooled())}"
        if part < DONE_AFTER:
            return "", ""
        needed = -math.log(RISK if part < LATE_AFTER else LATE_RISK)
        reason = f"{evidence:.1f} nats for the version; {describe(track.test.pooled())}"
        if evidence >= needed:
            return DONE, reason
        return (ROLLED_BACK, reason) if part >= LAST_PART else ("", "")

    def evidence_for(self, track: Track) -> float:
        """Return the evidence for a version in nats, negative if one of its routes has a fault."""
        start = stratum.Acceptance()
        pooled = track.test.pooled()
        whole = min(pooled.acceptance().since(start), spread_evidence(pooled))
        routes = track.test.routes().values()
        least = min((test.acceptance().since(start) for test in routes), default=0.0)
        return min(whole, least) if least < -math.log(ROUTE_ODDS) else whole
