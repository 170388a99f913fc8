"""Admission of calls by the quarantine: holding back, trials, refusals and cancellation."""

from __future__ import annotations

import asyncio

from mulberrygate.core.timers import TimerService
from mulberrygate.forward import codes
from mulberrygate.forward.request import Call, Refused
from mulberrygate.forward.suspects import Finding, Standing, Suspects
from mulberrygate.forward.unanswered import RunningSend
from mulberrygate.observe.jsonlines import JsonLines
from mulberrygate.sync.trials import TrialClient

# Limits of the Retry-After for quarantined calls.
MIN_QUARANTINED_RETRY_S = 0.2
QUARANTINED_RETRY_S = 5.0
# Longest wait of a suspected call, in seconds and as a fraction of the caller's timeout.
SUSPECT_WAIT_S = 2.0
SUSPECT_WAIT_FRACTION = 0.25


class QuarantineGate:
    """Decides whether a call may be sent, in view of what is suspected and quarantined.

    Parameters
    ==========
    sends : set[RunningSend]
        Sends that wait for their answers; see `mulberrygate.forward.silence`.
    """

    def __init__(
        self,
        suspects: Suspects,
        trials: TrialClient,
        sends: set[RunningSend],
        timers: TimerService,
        lines: JsonLines,
    ):
        self.suspects = suspects
        self.trials = trials
        self.sends = sends
        self.timers = timers
        self.lines = lines

    async def check(self, call: Call) -> Refused | None:
        """Hold back a call that may crash endpoints, and refuse one that does.

        Explanation
        ===========
        A call that is only suspected waits for a while: for an answer to a call with the same
        identity, or for a trial of its own. If a trial may be due, the call goes on; `may_send`
        requests the trial before the send.
        """
        patience_s = SUSPECT_WAIT_FRACTION * (call.deadline_at - call.received_at)
        give_up_at = call.received_at + min(SUSPECT_WAIT_S, patience_s)
        while True:
            changed = self.suspects.changed
            finding = self.suspects.find(call)
            if finding.standing is Standing.CLEAR or self._may_request_trial(call, finding):
                return None
            left_s = give_up_at - self.timers.now()
            if finding.standing is Standing.QUARANTINED or left_s <= 0:
                return self.refuse_listed(finding)
            wait_s = self.trials.wait_s(finding.identities) or left_s
            await self._wait_for_change(changed, min(left_s, wait_s))

    @staticmethod
    async def _wait_for_change(changed: asyncio.Event, timeout_s: float) -> None:
        """Wait until the list or the local evidence changes, up to a timeout."""
        try:
            async with asyncio.timeout(timeout_s):
                await changed.wait()
        except TimeoutError:
            pass

    def _may_request_trial(self, call: Call, finding: Finding) -> bool:
        if self.suspects.is_unreported(call):
            return False
        return self.trials.wait_s(finding.identities) <= 0

    def refuse_listed(self, finding: Finding) -> Refused:
        """Return the refusal of a suspected or quarantined call, with the time of the next try."""
        wait_s = self.trials.wait_s(finding.identities) or QUARANTINED_RETRY_S
        retry_after_s = min(QUARANTINED_RETRY_S, max(MIN_QUARANTINED_RETRY_S, wait_s))
        is_quarantined = finding.standing is Standing.QUARANTINED
        code = codes.CRASHES_ENDPOINTS if is_quarantined else codes.MAY_CRASH_ENDPOINTS
        return Refused(code, ",".join(finding.identities), retry_after_s)

    async def may_send(self, call: Call, may_have_run: bool) -> bool:
        """Return whether a call may be sent to an endpoint, if need be as a trial.

        Explanation
        ===========
        A call may have been listed while it waited or while an earlier send ran. A trial is used up
        once the call may have run.
        """
        finding = self.suspects.find(call)
        if finding.standing is Standing.CLEAR:
            return True
        if may_have_run:
            return False
        if not call.is_trial and self._may_request_trial(call, finding):
            call.is_trial = await self.trials.request(
                call.fingerprint, call.parts, finding.identities
            )
            self.lines.log(
                "call.trial_requested",
                id=call.head.request,
                fingerprint=call.fingerprint,
                identities=",".join(finding.identities),
                is_granted=call.is_trial,
            )
        return call.is_trial

    def cancel_quarantined(self) -> None:
        """Cancel the sends of quarantined calls that endpoints have not begun to answer.

        Explanation
        ===========
        An endpoint drops a call whose connection closes, so those that have not begun it survive.
        """
        for send in self.sends:
            if send.has_head or send.call.is_trial:
                continue
            if self.suspects.find(send.call).standing is Standing.QUARANTINED:
                send.cancel()
