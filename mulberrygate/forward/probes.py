"""Probes of endpoints that several callers of this process share."""

from __future__ import annotations

import asyncio

import attrs

from mulberrygate.core.timers import TimerService
from mulberrygate.forward.exchange import EndpointClient, ProbeResult

MAX_ADDRESSES = 1024


@attrs.frozen
class Probe:
    """Probe that began at a monotonic time; its task returns a `ProbeResult`."""

    begun_at: float
    task: asyncio.Task


class SharedProbes:
    """Connection attempts to endpoints, one for all who need it at about the same time.

    Explanation
    ===========
    When many callers leave at once, each of their sends needs to know whether its endpoint still
    runs. One connection answers that for all sends that ended before it was attempted.
    """

    def __init__(self, endpoints: EndpointClient, timers: TimerService):
        self.endpoints = endpoints
        self.timers = timers
        self.latest: dict[str, Probe] = {}

    async def probe(self, address: str, since: float) -> ProbeResult:
        """Return the result of a probe that began at a monotonic time or later."""
        probe = self.latest.get(address)
        if probe is None or probe.begun_at < since:
            task = self.timers.spawn(self.endpoints.probe(address))
            probe = Probe(self.timers.now(), task)
            self.latest.pop(address, None)
            self.latest[address] = probe
            while len(self.latest) > MAX_ADDRESSES:
                del self.latest[next(iter(self.latest))]
        return await asyncio.shield(probe.task)
