"""Gate for commands of the control log that voters of earlier releases can't apply."""

from __future__ import annotations

import math

# A voter stops at a command that it doesn't know. So nothing is proposed within this time after a
# message from a control process that can't apply the command.
EARLIER_RELEASE_WINDOW_S = 10.0


class CommandGate:
    """Whether all control processes that were heard lately can apply a command.

    Attributes
    ==========
    earlier_release_at : float
        Monotonic time of the last message from a control process of an earlier release.
    """

    def __init__(self):
        self.earlier_release_at = -math.inf

    def record_earlier_release(self, now: float) -> None:
        """Record the time at which a control process of an earlier release sent a message."""
        self.earlier_release_at = now

    def is_open(self, now: float) -> bool:
        """Return whether the command may be proposed."""
        return now - self.earlier_release_at >= EARLIER_RELEASE_WINDOW_S
