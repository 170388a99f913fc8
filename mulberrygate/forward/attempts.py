"""Record of the sends of a call, and the decision whether it may be sent again."""

from __future__ import annotations

import enum

from mulberrygate.catalog import RetryPolicy, RouteRule
from mulberrygate.core.outcome import Execution

# Sends of one call, including those that endpoints rejected without running it.
MAX_SENDS = 4


class SendOutcome(enum.Enum):
    """What is known about the execution of a call after one send."""

    # No connection was made, so no byte reached an endpoint.
    UNSENT = "unsent"
    # The endpoint answered that it did not run the call.
    TURNED_DOWN = "turned_down"
    # The endpoint answered that the call ran; it failed unless this answer is final.
    FAILED = "failed"
    # The answer is missing, invalid or ambiguous, so the call may have run.
    UNKNOWN = "unknown"


class Attempts:
    """Sends of one call and their outcomes.

    Explanation
    ===========
    A call that may have run is sent again only if its route allows repetition, up to the route's
    number of attempts. A call that was turned down may always be sent to another endpoint.

    Attributes
    ==========
    runs : int
        Sends after which the call may have run.
    arrivals : int
        Sends whose bytes may have reached an endpoint.

    Examples
    ========
    >>> from mulberrygate.catalog import RetryPolicy, RouteRule, WeightedPool
    >>> from mulberrygate.forward.attempts import Attempts, SendOutcome
    >>> route = RouteRule("r", "h", "/", RetryPolicy.ONCE, (WeightedPool("p", 1.0),), 1.0)
    >>> attempts = Attempts(route)
    >>> attempts.record(SendOutcome.TURNED_DOWN)
    >>> attempts.may_send_again(), attempts.may_have_run
    (True, False)
    >>> attempts.record(SendOutcome.UNKNOWN)
    >>> attempts.may_send_again(), attempts.may_have_run
    (False, True)
    """

    def __init__(self, route: RouteRule):
        self.route = route
        self.runs = 0
        self.sends = 0
        self.arrivals = 0
        self.last_outcome = SendOutcome.UNSENT

    def record(self, outcome: SendOutcome) -> None:
        """Add a send with its outcome."""
        self.last_outcome = outcome
        self.sends += 1
        if outcome is not SendOutcome.UNSENT:
            self.arrivals += 1
        if outcome in (SendOutcome.FAILED, SendOutcome.UNKNOWN):
            self.runs += 1

    def replace(self, before: SendOutcome, outcome: SendOutcome) -> None:
        """Replace the outcome with which a send was recorded.

        Explanation
        ===========
        Two copies of a call may be on their way, so it need not be the last send.
        """
        if before is not SendOutcome.UNSENT:
            self.arrivals -= 1
        if before in (SendOutcome.FAILED, SendOutcome.UNKNOWN):
            self.runs -= 1
        self.sends -= 1
        self.record(outcome)

    @property
    def execution(self) -> Execution:
        """What is known about the execution of the call, over all sends."""
        return Execution.UNKNOWN if self.may_have_run else Execution.NOT_RUN

    @property
    def may_have_run(self) -> bool:
        """Whether the call may have run at an endpoint."""
        return self.runs > 0

    def may_hedge_first(self) -> bool:
        """Return whether the first send of a call may have a copy at a second endpoint."""
        is_repeatable = self.route.retry_policy is RetryPolicy.IDEMPOTENT
        return is_repeatable and not self.sends and self.route.max_attempts > 1

    def may_hedge(self) -> bool:
        """Return whether the copy of a call that was sent once may be sent now."""
        is_repeatable = self.route.retry_policy is RetryPolicy.IDEMPOTENT
        return is_repeatable and self.sends == 1 and self.arrivals < self.route.max_attempts

    def may_send_again(self) -> bool:
        """Return whether the call may be sent again."""
        if self.sends >= MAX_SENDS:
            return False
        if not self.may_have_run:
            return True
        return self.route.may_retry and self.runs < self.route.max_attempts
