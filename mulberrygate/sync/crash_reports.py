"""Reports of crashed endpoints from an entry to the control log."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable

from mulberrygate.core.timers import TimerService
from mulberrygate.sync.messages import CrashReport, CrashReportResult

# A control process commits within this time or says that it could not.
REPORT_TIMEOUT_S = 1.0
RETRY_S = 0.1
# An endpoint's end is seen by all of its calls at about the same time.
BATCH_DELAY_S = 0.02


class CrashReporter:
    """Send an entry's reports until a control process has them in the log.

    Parameters
    ==========
    client : PeerClient
        Messages to control processes.
    suspects : Suspects
        Holder of the reports; see `mulberrygate.forward.suspects`.
    list_controls : Callable[[], list[str]]
        Control processes, the one to ask first at the front.
    """

    def __init__(self, client, suspects, timers: TimerService, list_controls):
        self.client = client
        self.suspects = suspects
        self.timers = timers
        self.list_controls: Callable[[], list[str]] = list_controls
        self.is_sending = False

    def wake(self) -> None:
        """Begin to send, unless that is under way."""
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
        """Send one report; return whether it is in the log."""
        controls = self.list_controls()
        control = controls[attempt % len(controls)]
        answer = await self.client.call(control, report, REPORT_TIMEOUT_S)
        is_committed = isinstance(answer, CrashReportResult) and answer.is_committed
        if is_committed:
            self.suspects.record_reported(report)
        return is_committed
