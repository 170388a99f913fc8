"""Detection of endpoints that crashed while they ran a call."""

from __future__ import annotations

import asyncio

import attrs

from mulberrygate.endpoints.roster import Roster
from mulberrygate.forward.exchange import EndpointClient, ProbeResult
from mulberrygate.forward.request import Call
from mulberrygate.forward.suspects import Suspects

# A process that ends closes its sockets one by one, and the listening socket may be the last.
FIRST_CHECK_DELAY_S = 0.02
CHECK_INTERVAL_S = 0.5
# By the last check, an endpoint that restarted has registered its new incarnation.
MAX_CHECKS = 7
# A single unanswered connection may only have lost a packet.
UNANSWERED_PROBES = 2


@attrs.frozen
class BrokenExchange:
    """Exchange whose connection broke before the answer was complete.

    Parameters
    ==========
    incarnation : int
        Incarnation of the endpoint at the time of the send, 0 if it was unknown.
    """

    call: Call
    endpoint: str
    incarnation: int
    address: str


class CrashDetector:
    """Detector that reports calls whose endpoint crashed.

    Explanation
    ===========
    After a broken exchange, the endpoint is taken to have ended if it refuses connections, if
    `UNANSWERED_PROBES` connections time out, or if it registers as a new incarnation within a few
    seconds.
    """

    def __init__(self, roster: Roster, endpoints: EndpointClient, suspects: Suspects, lines):
        self.roster = roster
        self.endpoints = endpoints
        self.suspects = suspects
        self.lines = lines

    def incarnation(self, endpoint: str) -> int:
        """Return the registered incarnation of an endpoint, 0 if there is none."""
        row = self.roster.rows.get(endpoint)
        return row.registration.incarnation if row is not None else 0

    async def check(self, broken: BrokenExchange) -> None:
        """Check whether the endpoint ended, and record a crash of the call if it did."""
        row = self.roster.rows.get(broken.endpoint)
        is_leaving = row is not None and row.is_leaving
        reason = await self._detect_end(broken, is_leaving)
        self.lines.log(
            "endpoint.looked_for",
            id=broken.call.head.request,
            fingerprint=broken.call.fingerprint,
            endpoint=broken.endpoint,
            ended=reason,
        )
        if reason:
            self.suspects.record_crash(broken.call, broken.endpoint, broken.incarnation)

    async def _detect_end(self, broken: BrokenExchange, is_leaving: bool) -> str:
        """Return the sign by which the end was detected, empty if there was none."""
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
        """Return whether a later incarnation is registered under this name or at this address."""
        if not broken.incarnation:
            return False
        registrations = [row.registration for row in self.roster.rows.values()]
        return any(
            known.incarnation > broken.incarnation
            and (known.endpoint == broken.endpoint or known.address == broken.address)
            for known in registrations
        )
