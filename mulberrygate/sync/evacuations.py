"""Evacuated failure domains as a process knows them."""

from __future__ import annotations

import math

# A process that counts as current may lack what its group has committed in the last 1.5 s, and its
# answer takes up to a second. So it knows what was learned elsewhere longer ago than this.
OLDER_STATE_AFTER_S = 3.0


class KnownEvacuations:
    """Failure domains to whose endpoints nothing may be sent.

    Explanation
    ===========
    The state with the highest number counts, from whichever control process it comes: it is
    committed. A lower number is taken over only from a current process that must have the state
    known here by now; then the control group has lost its log and begun another one.

    Attributes
    ==========
    number : int
        Number of the state that is known, 0 for none.
    learned_at : float
        Monotonic time at which it was learned.
    evacuated : frozenset[str]
        Evacuated failure domains.
    ended_at : dict[str, float]
        Monotonic time at which the last evacuation of a failure domain was withdrawn.

    Examples
    ========
    >>> from mulberrygate.sync.evacuations import KnownEvacuations
    >>> known = KnownEvacuations()
    >>> known.update(7, ("a",), (), is_current=True, now=0.0)
    True
    >>> known.update(5, (), (), is_current=True, now=1.0)
    False
    >>> known.is_evacuated("a"), known.is_evacuated("b")
    (True, False)
    """

    def __init__(self):
        self.number = 0
        self.learned_at = -math.inf
        self.evacuated: frozenset[str] = frozenset()
        self.ended_at: dict[str, float] = {}

    def update(
        self,
        number: int,
        evacuated: tuple[str, ...],
        withdrawn: tuple[tuple[str, float], ...],
        is_current: bool,
        now: float,
    ) -> bool:
        """Take over the state of a control process; return whether other domains are evacuated.

        Parameters
        ==========
        number : int
            Number of the state, -1 from a process of an earlier release, which has none.
        withdrawn : tuple[tuple[str, float], ...]
            Failure domains whose evacuation was withdrawn, and the seconds since.
        is_current : bool
            Whether the process recently held all committed state.
        """
        if number < 0 or number == self.number:
            return False
        is_reset = is_current and now - self.learned_at > OLDER_STATE_AFTER_S
        if number < self.number and not is_reset:
            return False
        self.number = number
        self.learned_at = now
        before, self.evacuated = self.evacuated, frozenset(evacuated)
        for name, age_s in withdrawn:
            self.ended_at[name] = now - age_s
        for name in before - self.evacuated:
            # The clocks of control processes differ, so the age that one of them states may be too
            # high; but until now nothing was sent there from here.
            self.ended_at[name] = now
        return before != self.evacuated

    def is_evacuated(self, failure_domain: str) -> bool:
        """Return whether nothing may be sent to the endpoints of a failure domain."""
        return failure_domain in self.evacuated

    def ended_s(self, failure_domain: str, now: float) -> float:
        """Return the seconds since the last evacuation was withdrawn, infinite without one."""
        return max(0.0, now - self.ended_at.get(failure_domain, -math.inf))
