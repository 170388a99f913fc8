"""Delivery of an entry's crash reports to the control log."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable

from mulberrygate.core.timers import TimerService
from mulberrygate.sync.messages import CrashReport, CrashReportResult

# A control process commits within this time or answers that it could not.
REPORT_TIMEOUT_S = 1.0
RETRY_S = 0.1
# All calls of a crashed endpoint fail at about the same time and are reported together.
BATCH_DELAY_S = 0.02


class CrashReporter:
    """Sends an entry's reports until a control process has committed them.

    Parameters
    ==========
    client : PeerClient
        Client for messages to control processes.
    suspects : Suspects
        Source of the reports; see `mulberrygate.forward.suspects`.
    list_controls : Callable[[], list[str]]
        Returns the control processes in the order in which they are tried.
    """

    def __init__(self, client, suspects, timers: TimerService, list_controls):
        self.client = client
        self.suspects = suspects
        self.timers = timers
        self.list_controls: Callable[[], list[str]] = list_controls
        self.is_sending = False

    def wake(self) -> None:
        """Start sending, unless it is running already."""
        if not self.is_sending:
            self.is_sending = True
            self.timers.spawn(self._send_all())

    async def _send_all(self) -> None:
        try:
            await asyncio.sleep(BATCH_DELAY_S)
            for attempt in itertools.count():
                report = self.suspects.next_report()
                if report is None:
                    return
                if not await self._send(report, attempt):
                    await asyncio.sleep(RETRY_S)
        finally:
            self.is_sending = False

    async def _send(self, report: CrashReport, attempt: int) -> bool:
        """Send one report; return whether it is committed."""
        controls = self.list_controls()
        if not controls:
            return False
        control = controls[attempt % len(controls)]
        answer = await self.client.call(control, report, REPORT_TIMEOUT_S)
        is_committed = isinstance(answer, CrashReportResult) and answer.is_committed
        if is_committed:
            self.suspects.record_reported(report, answer.quarantine)
        return is_committed
