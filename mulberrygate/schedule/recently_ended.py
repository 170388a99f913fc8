"""Recently ended requests, kept so that late and repeated messages have no effect."""

from __future__ import annotations

from collections import OrderedDict

from mulberrygate.schedule.messages import Refuse

# Seconds for which ended requests are kept, and their largest number.
KEPT_S = 120.0
MAX_KEPT = 8192


class RecentlyEnded:
    """Recently ended requests with the refusal that ended them, if it was one."""

    def __init__(self):
        self.items: OrderedDict[str, tuple[float, Refuse | None]] = OrderedDict()

    def __contains__(self, request: str) -> bool:
        return request in self.items

    def add(self, request: str, refusal: Refuse | None, now: float) -> None:
        """Record that a request has ended, with the refusal if it was refused."""
        self.items[request] = (now, refusal)
        if len(self.items) > MAX_KEPT:
            self.items.popitem(last=False)

    def refusal(self, request: str) -> Refuse | None:
        """Return the refusal of a request, or None when it ended otherwise."""
        return self.items[request][1]

    def forget_old(self, now: float) -> None:
        """Forget requests that ended long ago."""
        while self.items:
            request, (at, _) = next(iter(self.items.items()))
            if now - at <= KEPT_S:
                return
            del self.items[request]
