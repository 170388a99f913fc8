"""Filter: set the tier and the deadline."""

from __future__ import annotations

import math

from mulberrygate.core.outcome import Refusal
from mulberrygate.entry.codes import BAD_DEADLINE
from mulberrygate.entry.context import EntryParts, RequestContext

DEADLINE_HEADER = "Request-Timeout"
MIN_DEADLINE_S = 0.1
MAX_DEADLINE_S = 3600.0


class ChooseTier:
    """Set the tier, no more urgent than the client account may ask for, and the deadline."""

    def __init__(self, parts: EntryParts):
        self.parts = parts

    async def __call__(self, request: RequestContext, proceed):
        request.tier = max(request.route.tier, request.account.best_tier)
        seconds = request.route.deadline_s
        header = request.http.headers.get(DEADLINE_HEADER)
        if header is not None:
            try:
                seconds = float(header)
            except ValueError:
                return Refusal(BAD_DEADLINE)
            if not math.isfinite(seconds) or not MIN_DEADLINE_S <= seconds <= MAX_DEADLINE_S:
                return Refusal(BAD_DEADLINE)
        request.deadline_at = request.received_at + seconds
        return await proceed()
