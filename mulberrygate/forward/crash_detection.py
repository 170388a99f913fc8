"""Detection of endpoints that crashed while they ran a call."""

from __future__ import annotations

import asyncio

from mulberrygate.core.timers import TimerService
from mulberrygate.endpoints.roster import Roster
from mulberrygate.forward.exchange import EndpointClient, ProbeResult
from mulberrygate.forward.notices import EndpointNotices
from mulberrygate.forward.observed_ends import ObservedEnds
from mulberrygate.forward.probes import SharedProbes
from mulberrygate.forward.silence import UNANSWERED_PROBES, SilenceMonitor
from mulberrygate.forward.suspects import Suspects
from mulberrygate.forward.unanswered import RunningSend, UnansweredSend

# A process that ends closes its sockets one by one, and the listening socket may be the last.
BROKEN_CHECK_DELAY_S = 0.02
# Callers that leave at about the same time share a probe.
CANCELLED_CHECK_DELAY_S = 0.25
CHECK_INTERVAL_S = 0.5
# By the last check, an endpoint that restarted has registered its new incarnation.
MAX_CHECKS = 7
# The first accepted connection after a broken one may be the last of a process that ends.
BROKEN_ACCEPTED_PROBES = 2
# An endpoint that has sent bytes this shortly before its caller left is not checked.
SIGN_OF_LIFE_S = 0.5
# Checks that run at the same time; sends beyond them are not checked.
MAX_RUNNING_CHECKS = 1024


class CrashDetector:
    """Detector that reports calls whose endpoint crashed.

    Explanation
    ===========
    A crash may show as a broken connection, as silence until the call's deadline, or not at all if
    the caller leaves first. So every send without a complete answer is checked, and those that are
    silent for long are checked while they run. The endpoint is taken to have ended if it refuses
    connections, if `UNANSWERED_PROBES` connections time out, or if it registers as a new
    incarnation within a few seconds. Only calls that had yielded no event can have caused the end.
    """

    def __init__(
        self,
        roster: Roster,
        endpoints: EndpointClient,
        suspects: Suspects,
        notices: EndpointNotices,
        timers: TimerService,
        lines,
    ):
        self.roster = roster
        self.notices = notices
        self.suspects = suspects
        self.timers = timers
        self.lines = lines
        self.probes = SharedProbes(endpoints, timers)
        self.ends = ObservedEnds()
        self.monitor = SilenceMonitor(
            self.probes, timers, self._has_restarted_unplanned, self._count_running
        )
        self.running = 0

    def incarnation(self, endpoint: str) -> int:
        """Return the registered incarnation of an endpoint, 0 if there is none."""
        return self.roster.incarnation(endpoint)

    def start_check(self, send: UnansweredSend) -> asyncio.Task | None:
        """Check in the background whether the endpoint of a send has ended.

        Returns
        =======
        asyncio.Task or None
            The check, ``None`` if too many are running.
        """
        if self.running >= MAX_RUNNING_CHECKS:
            self.lines.log("endpoint.not_checked", id=send.request, endpoint=send.endpoint)
            return None
        return self.timers.spawn(self.check(send))

    async def check(self, send: UnansweredSend) -> None:
        """Check whether the endpoint ended, and record a crash of the call if it did."""
        is_leaving = self._is_leaving(send)
        self.running += 1
        try:
            reason = await self._detect_end(send, is_leaving)
        finally:
            self.running -= 1
        self._record(send, reason)

    def _is_leaving(self, send: UnansweredSend | RunningSend) -> bool:
        """Return whether an endpoint leaves, by its reports or by its answers."""
        row = self.roster.rows.get(send.endpoint)
        if row is not None and row.is_leaving:
            return True
        return self.notices.is_leaving(send.endpoint, send.incarnation)

    def _has_restarted_unplanned(self, send: RunningSend) -> bool:
        return not self._is_leaving(send) and self.has_restarted(send)

    def _count_running(self, send: RunningSend, reason: str) -> None:
        self._record(send.end(self.timers.now(), is_broken=False), reason)

    def _record(self, send: UnansweredSend, reason: str) -> None:
        """Log the result of a check, and record a crash if there is a sign of one."""
        incarnation = self.ends.add(send) if reason else send.incarnation
        self.lines.log(
            "endpoint.looked_for",
            id=send.request,
            fingerprint=send.call,
            endpoint=send.endpoint,
            incarnation=incarnation,
            is_broken=send.is_broken,
            parts=",".join(send.parts),
            has_head=send.has_head,
            events=send.events,
            ended=reason,
        )
        # A call that has yielded events ran beside the cause.
        if reason and not send.events:
            age_s = max(0.0, self.timers.now() - send.ended_at)
            self.suspects.record_crash(send, incarnation, age_s)

    async def _detect_end(self, send: UnansweredSend, is_leaving: bool) -> str:
        """Return the sign by which the end was detected, empty if there was none."""
        await asyncio.sleep(BROKEN_CHECK_DELAY_S if send.is_broken else CANCELLED_CHECK_DELAY_S)
        unanswered = accepted = 0
        since = send.ended_at
        for _ in range(MAX_CHECKS):
            if accepted < (BROKEN_ACCEPTED_PROBES if send.is_broken else 1):
                result = await self.probes.probe(send.address, since)
                if result is ProbeResult.REFUSES:
                    return "refused"
                unanswered += result is ProbeResult.SILENT
                accepted += result is ProbeResult.LISTENS
            if unanswered >= UNANSWERED_PROBES:
                return "unreachable"
            if self.has_restarted(send) and not is_leaving:
                return "restarted"
            since = self.timers.now()
            await asyncio.sleep(CHECK_INTERVAL_S)
        return ""

    def has_restarted(self, send: UnansweredSend | RunningSend) -> bool:
        """Return whether a later process is registered under this name or at this address."""
        if not send.incarnation or self.ends.is_to_unknown_process(send):
            return False
        registrations = [row.registration for row in self.roster.rows.values()]
        return any(
            known.incarnation > send.incarnation
            and (known.endpoint == send.endpoint or known.address == send.address)
            for known in registrations
        )
