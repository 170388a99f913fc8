"""Local circuit breaker that stops a new version on one scheduler owner's own evidence.

Explanation
===========
The guard feeds single requests to the test of `mulberrygate.control.sequential`.
"""

from __future__ import annotations

from mulberrygate.control.commands import MoveState
from mulberrygate.control.evidence import Evidence, EvidenceCollector, load_bucket
from mulberrygate.control.versiontest import VersionTest
from mulberrygate.core.sums import request_sums
from mulberrygate.tables.model import Move

# Probability with which a good version may be withdrawn. The goal allows 1% of moves to a good
# version to fail, and late moves count as failed too.
FALSE_ALARM_RISK = 0.005
# The leader's test gets half of the budget; the guards share the other half. There are more guards
# than failure domains, since a scheduler's ownership changes hands during a long move.
GUARD_COUNT = 12
LEADER_BUDGET = FALSE_ALARM_RISK / 2
GUARD_BUDGET = FALSE_ALARM_RISK / 2 / GUARD_COUNT


class VersionGuard:
    """Decides which share of the new version a pool scheduler's owner uses.

    Explanation
    ===========
    The guard stops the new version as soon as the owner's own requests show a fault, without
    waiting for the leader's verdict. The stop is permanent: only a new move ends it. While the
    control group is unreachable, the guard applies lower shares and ignores higher ones. It also
    collects the evidence that the owner sends to the leader.

    Parameters
    ==========
    pool : str
    sender : str
        Instance that owns the pool's scheduler.
    incarnation : int
        Incarnation of that instance.
    """

    def __init__(self, pool: str, sender: str, incarnation: int):
        self.pool = pool
        self.sender = sender
        self.incarnation = incarnation
        self.state: MoveState | None = None
        self.collector: EvidenceCollector | None = None
        self.test: VersionTest | None = None
        self.share = 0.0
        self.stopped = ""
        self.is_control_reachable = True

    def set_move(self, state: MoveState | None, move: Move | None) -> None:
        """Set the move from the configuration, or clear it with ``None``."""
        if state is None or move is None:
            self.state = self.collector = self.test = None
            self.share, self.stopped = 0.0, ""
            return
        if self.state is None or self.state.table_version != state.table_version:
            self.collector = EvidenceCollector(
                self.pool, state.table_version, self.sender, self.incarnation
            )
            self.test = VersionTest(move, GUARD_BUDGET)
            self.share, self.stopped = 0.0, ""
        self.state = state
        self._update_share()

    def set_control_reachable(self, is_reachable: bool) -> None:
        """Set whether the control group is reachable."""
        self.is_control_reachable = is_reachable
        self._update_share()

    def _update_share(self) -> None:
        if self.state is not None and (self.is_control_reachable or self.state.share < self.share):
            self.share = self.state.share

    def shares(self) -> dict[str, float]:
        """Return the share of each version; empty without a move."""
        if self.state is None:
            return {}
        share = 0.0 if self.stopped else self.share
        return {self.state.version: share, self.state.previous: 1.0 - share}

    def observe(
        self,
        route: str,
        version: str,
        load_fraction: float,
        expected_s: float,
        total_s: float,
        is_error: bool,
        now: float,
    ) -> bool:
        """Add a finished request to the evidence; return whether it stopped the new version.

        Parameters
        ==========
        load_fraction : float
            Running requests divided by slots of the endpoint at dispatch.
        expected_s, total_s : float
            Predicted and observed seconds from dispatch to completion.
        now : float
            Seconds on the monotonic clock.
        """
        if self.state is None or version not in (self.state.version, self.state.previous):
            return False
        cell = (route, version == self.state.version, load_bucket(load_fraction))
        sums = request_sums(expected_s, total_s, is_error)
        self.collector.add(cell, sums)
        self.test.add([(cell, sums)], now)
        if self.stopped:
            return False
        self.stopped = self.test.detect_fault()
        return bool(self.stopped)

    def evidence(self) -> Evidence | None:
        """Return the evidence message for the leader, or ``None`` without a move."""
        if self.collector is None:
            return None
        return self.collector.message(self.stopped, self.test.strong_runs())
