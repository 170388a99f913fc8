"""Recognition of endpoints that ended while they ran a call."""

from __future__ import annotations

import asyncio

import attrs

from mulberrygate.endpoints.roster import Roster
from mulberrygate.forward.exchange import EndpointClient, ProbeResult
from mulberrygate.forward.request import Call
from mulberrygate.forward.suspects import Suspects

# The end of a process closes its connections one by one, and its listening one may be last.
FIRST_CHECK_DELAY_S = 0.02
CHECK_INTERVAL_S = 0.5
# An endpoint that is up again by then has reported as a new incarnation.
MAX_CHECKS = 7
# One connection that isn't answered may have lost a packet.
UNANSWERED_PROBES = 2


@attrs.frozen
class BrokenExchange:
    """An exchange that broke.

    Parameters
    ==========
    incarnation : int
        Incarnation of the endpoint when the call was sent, 0 if it was not known.
    """

    call: Call
    endpoint: str
    incarnation: int
    address: str


class CrashDetector:
    """Report calls whose endpoint ended.

    Explanation
    ===========
    After an exchange broke, the endpoint has ended if it refuses connections, can't be reached
    twice in a row, or shows within some seconds that it has started again.
    """

    def __init__(self, roster: Roster, endpoints: EndpointClient, suspects: Suspects, lines):
        self.roster = roster
        self.endpoints = endpoints
        self.suspects = suspects
        self.lines = lines

    def incarnation(self, endpoint: str) -> int:
        """Return the incarnation of an endpoint that is known now, 0 if there is none."""
        row = self.roster.rows.get(endpoint)
        return row.registration.incarnation if row is not None else 0

    async def check(self, broken: BrokenExchange) -> None:
        """Find out whether the endpoint ended, and report the call if it did."""
        row = self.roster.rows.get(broken.endpoint)
        is_leaving = row is not None and row.is_leaving
        reason = await self._detect_end(broken, is_leaving)
        self.lines.note(
            "endpoint.looked_for",
            id=broken.call.head.request,
            fingerprint=broken.call.fingerprint,
            endpoint=broken.endpoint,
            ended=reason,
        )
        if reason:
            self.suspects.record_crash(broken.call, broken.endpoint, broken.incarnation)

    async def _detect_end(self, broken: BrokenExchange, is_leaving: bool) -> str:
        """Return how the end was recognised, empty if there is no sign of it."""
        await asyncio.sleep(FIRST_CHECK_DELAY_S)
        unreachable = 0
        result: ProbeResult | None = None
        for _ in range(MAX_CHECKS):
            if result is not ProbeResult.LISTENS:
                result = await self.endpoints.probe(broken.address)
            if result is ProbeResult.REFUSES:
                return "refused"
            unreachable += result is ProbeResult.SILENT
            if unreachable >= UNANSWERED_PROBES:
                return "unreachable"
            if self.has_restarted(broken) and not is_leaving:
                return "restarted"
            await asyncio.sleep(CHECK_INTERVAL_S)
        return ""

    def has_restarted(self, broken: BrokenExchange) -> bool:
        """Return whether a later incarnation is known, under this name or at this address."""
        if not broken.incarnation:
            return False
        registrations = [row.registration for row in self.roster.rows.values()]
        return any(
            known.incarnation > broken.incarnation
            and (known.endpoint == broken.endpoint or known.address == broken.address)
            for known in registrations
        )
