"""Filter: set the tier and the deadline."""

from __future__ import annotations

import re

from mulberrygate.core.outcome import Refusal
from mulberrygate.entry.codes import BAD_DEADLINE
from mulberrygate.entry.context import EntryParts, RequestContext

DEADLINE_HEADER = "Request-Timeout"
MIN_DEADLINE_S = 0.1
MAX_DEADLINE_S = 3600.0
# float() would also accept "nan", "1_0" and digits of other scripts.
_SECONDS = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")


class ChooseTier:
    """Set the deadline, and the tier, which is limited by the best tier of the client account."""

    def __init__(self, parts: EntryParts):
        self.parts = parts

    async def __call__(self, request: RequestContext, proceed):
        request.tier = max(request.route.tier, request.account.best_tier)
        seconds = request.route.deadline_s
        header = request.http.headers.get(DEADLINE_HEADER)
        if header is not None:
            if not _SECONDS.fullmatch(header):
                return Refusal(BAD_DEADLINE)
            seconds = float(header)
            if not MIN_DEADLINE_S <= seconds <= MAX_DEADLINE_S:
                return Refusal(BAD_DEADLINE)
        request.deadline_at = request.received_at + seconds
        return await proceed()
