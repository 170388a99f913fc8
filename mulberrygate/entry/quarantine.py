"""Filter: refuse content that crashes endpoints."""

from __future__ import annotations

from mulberrygate.core.outcome import Refusal
from mulberrygate.entry.codes import QUARANTINED
from mulberrygate.entry.context import EntryParts, RequestContext


class Quarantine:
    """Refuse requests whose content crashed too many endpoints.

    See Also
    ========
    mulberrygate.entry.crashes.CrashTracker
    """

    def __init__(self, parts: EntryParts):
        self.parts = parts

    async def __call__(self, request: RequestContext, proceed):
        now = self.parts.timers.now()
        if self.parts.crashes.is_quarantined(request.fingerprint, now):
            self.parts.events.add("entry.quarantined", request=request.request_id)
            return Refusal(QUARANTINED)
        return await proceed()
