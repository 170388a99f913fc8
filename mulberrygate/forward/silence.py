"""Search for endpoints that have ended while connections to them stay open and silent."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from mulberrygate.core.timers import TimerService
from mulberrygate.forward.exchange import ProbeResult
from mulberrygate.forward.probes import SharedProbes
from mulberrygate.forward.unanswered import RunningSend

# Few sends are silent for this long, as endpoints get no more calls than they have slots.
SILENT_AFTER_S = 1.0
WATCH_INTERVAL_S = 0.2
# Time until an endpoint that accepts connections is probed again.
RECHECK_S = 2.0
# A single unanswered connection may only have lost a packet.
UNANSWERED_PROBES = 2
PROBE_PAUSE_S = 0.25


class SilenceMonitor:
    """Watches running sends, and probes the endpoints of those that are silent.

    Explanation
    ===========
    An endpoint that loses power or its network, or whose connections have gone silent, breaks no
    connection when it ends. Without a search, that shows only when the call's time is over.

    Parameters
    ==========
    has_restarted : Callable[[RunningSend], bool]
        Returns whether a later process of the endpoint has registered.
    on_end : Callable[[RunningSend, str], None]
        Called with each running send whose endpoint has ended, and the sign of the end.

    Attributes
    ==========
    sends : set[RunningSend]
        Sends that wait for their answers.
    next_probe_at : dict[str, float]
        Monotonic time of the next probe of each endpoint with silent sends, by address.
    """

    def __init__(
        self,
        probes: SharedProbes,
        timers: TimerService,
        has_restarted: Callable[[RunningSend], bool],
        on_end: Callable[[RunningSend, str], None],
    ):
        self.probes = probes
        self.timers = timers
        self.has_restarted = has_restarted
        self.on_end = on_end
        self.sends: set[RunningSend] = set()
        self.next_probe_at: dict[str, float] = {}
        timers.every(WATCH_INTERVAL_S, self.check_all, "endpoints.silence")

    def check_all(self) -> None:
        """Look for silent sends, and start probes of their endpoints that are due."""
        now = self.timers.now()
        silent = [send for send in self.sends if self._is_silent(send, now)]
        for send in silent:
            if self.has_restarted(send):
                self._count(send, "restarted")
        addresses = {send.address for send in silent if not send.is_counted}
        self.next_probe_at = {a: at for a, at in self.next_probe_at.items() if a in addresses}
        for address in addresses:
            if self.next_probe_at.get(address, 0.0) <= now:
                self.next_probe_at[address] = now + RECHECK_S
                self.timers.spawn(self._check(address))

    def _is_silent(self, send: RunningSend, now: float) -> bool:
        is_waiting = send.is_connected and not send.is_counted
        return is_waiting and now - send.silent_since > SILENT_AFTER_S

    async def _check(self, address: str) -> None:
        """Probe an endpoint, and count its silent sends if it has ended."""
        began_at = self.timers.now()
        reason = await self._probe(address)
        if not reason:
            return
        for send in list(self.sends):
            is_silent = send.silent_since < began_at and not send.is_counted
            if send.address == address and is_silent:
                self._count(send, reason)

    async def _probe(self, address: str) -> str:
        """Return the sign by which the end was detected, empty if there was none."""
        for number in range(UNANSWERED_PROBES):
            if number:
                await asyncio.sleep(PROBE_PAUSE_S)
            result = await self.probes.probe(address, self.timers.now())
            if result is ProbeResult.REFUSES:
                return "refused"
            if result in (ProbeResult.LISTENS, ProbeResult.UNKNOWN):
                return ""
        return "unreachable"

    def _count(self, send: RunningSend, reason: str) -> None:
        send.is_counted = True
        self.on_end(send, reason)
