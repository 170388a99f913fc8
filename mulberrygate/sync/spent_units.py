"""Reports of an entry to a new leader of the units that it was granted."""

from __future__ import annotations

import math
from collections.abc import Callable

from mulberrygate.core.timers import TimerService
from mulberrygate.quota.history import GrantHistory
from mulberrygate.sync.messages import SpentUnits, SpentUnitsResult

REPORT_TIMEOUT_S = 0.3
CHECK_INTERVAL_S = 0.1
# Longest pause before a leader that has not confirmed the report is told again. One of an earlier
# release never does.
MAX_PAUSE_S = 2.0


class SpentUnitsReporter:
    """Tells each new leader once what this entry was granted; see `mulberrygate.quota.takeover`.

    Parameters
    ==========
    client : PeerClient
        Client for messages to control processes.
    find_leader : Callable[[], str]
        Returns the leader, empty if it is not known.
    last_epoch : Callable[[], int]
        Returns the epoch of the leader that granted units last, 0 before the first grant.
    clock : Callable[[], float]
        Returns seconds on the clock of the history.
    up_s : float
        Seconds since the process started, before which it knows of no grants.

    Attributes
    ==========
    informed : tuple[str, int]
        Leader that has the report, and its epoch.
    sent_to : str
        Leader that the report was sent to last, at ``sent_at`` on the same clock.
    pause_s : float
        Seconds before that leader is told again if it does not confirm the report.
    """

    def __init__(
        self,
        instance: str,
        client,
        history: GrantHistory,
        timers: TimerService,
        find_leader: Callable[[], str],
        last_epoch: Callable[[], int],
        clock: Callable[[], float],
        up_s: float = 0.0,
    ):
        self.instance = instance
        self.client = client
        self.history = history
        self.find_leader = find_leader
        self.last_epoch = last_epoch
        self.clock = clock
        self.started_at = clock() - up_s
        self.informed = ("", 0)
        self.sent_to = ""
        self.sent_at = -math.inf
        self.pause_s = CHECK_INTERVAL_S
        timers.every(CHECK_INTERVAL_S, self.report, "units.report")

    def is_due(self, leader: str) -> bool:
        """Return whether a leader lacks the report."""
        known, epoch = self.informed
        return leader != known or self.last_epoch() not in (0, epoch)

    async def report(self) -> None:
        """Send the report to the leader, unless it has it."""
        leader = self.find_leader()
        if not leader or not self.is_due(leader):
            return
        now = self.clock()
        if leader != self.sent_to:
            self.sent_to, self.pause_s = leader, CHECK_INTERVAL_S
        elif now < self.sent_at + self.pause_s:
            return
        self.sent_at = now
        report = SpentUnits(self.instance, now - self.started_at, self.history.report(now))
        result = await self.client.call(leader, report, REPORT_TIMEOUT_S)
        if isinstance(result, SpentUnitsResult) and result.epoch:
            self.informed = (leader, result.epoch)
            self.pause_s = CHECK_INTERVAL_S
        else:
            self.pause_s = min(MAX_PAUSE_S, 2.0 * self.pause_s)
