"""Decision whether a call may be sent to another endpoint."""

from __future__ import annotations

import enum

from mulberrygate.catalog import Repeat, RouteRule

# Sends of one call, including those that endpoints turned down without running it.
MOST_SENDS = 4


class Fate(enum.Enum):
    """What is known of a call after a send."""

    # No byte of it can have reached an endpoint.
    UNSENT = "unsent"
    # The endpoint said that it did not run it.
    TURNED_DOWN = "turned_down"
    # It ran and failed.
    FAILED = "failed"
    # It may have run.
    UNKNOWN = "unknown"


class Attempts:
    """Sends of one call.

    Explanation
    ===========
    A call that may have run is sent again only if its route allows a repetition, up to the route's
    number of attempts. A call that was turned down may go elsewhere in any case.

    Examples
    ========
    >>> from mulberrygate.catalog import Repeat, RouteRule, WeightedPool
    >>> from mulberrygate.forward.attempts import Attempts, Fate
    >>> route = RouteRule("r", "h", "/", Repeat.ONCE, (WeightedPool("p", 1.0),), 1.0)
    >>> attempts = Attempts(route)
    >>> attempts.note(Fate.TURNED_DOWN)
    >>> attempts.may_repeat(), attempts.may_have_run
    (True, False)
    >>> attempts.note(Fate.UNKNOWN)
    >>> attempts.may_repeat(), attempts.may_have_run
    (False, True)
    """

    def __init__(self, route: RouteRule):
        self.route = route
        self.runs = 0
        self.sends = 0
        self.arrivals = 0
        self.last = Fate.UNSENT

    def note(self, fate: Fate) -> None:
        """Count a send and what became of it."""
        self.last = fate
        self.sends += 1
        if fate is not Fate.UNSENT:
            self.arrivals += 1
        if fate in (Fate.FAILED, Fate.UNKNOWN):
            self.runs += 1

    def correct(self, fate: Fate) -> None:
        """Replace what was noted of the last send."""
        if self.last is not Fate.UNSENT:
            self.arrivals -= 1
        if self.last in (Fate.FAILED, Fate.UNKNOWN):
            self.runs -= 1
        self.sends -= 1
        self.note(fate)

    @property
    def may_have_run(self) -> bool:
        """Whether the call may have run at an endpoint."""
        return self.runs > 0

    def may_repeat(self) -> bool:
        """Return whether the call may be sent once more."""
        if self.sends >= MOST_SENDS:
            return False
        if not self.may_have_run:
            return True
        may_run_again = self.route.may_repeat or self.route.repeat is Repeat.IDEMPOTENT
        return may_run_again and self.runs < self.route.most_attempts
