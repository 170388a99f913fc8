"""When requests of lower tiers go before those of upper tiers.

Explanation
===========
These rules are for overloads in which the upper tiers alone could take all slots. Each rule is
bounded by the share of its requests that a tier was recently granted:

- A late answer takes as much capacity as a timely one and is worth less. If all late requests of
  upper tiers went first, a backlog of them would persist after a burst, since newer requests would
  become late behind it. Timely requests of a tier therefore go before late ones of upper tiers, as
  long as the tier was granted a smaller share of its requests than each of these.
- In wide pools, timely requests of a starved tier go before all others. A tier is starved if its
  granted share is less than `STARVED_RATIO` of the granted share of all requests.

With both, no upper tier is served less often than a lower one.
"""

from __future__ import annotations

import enum

import attrs

from mulberrygate.core.invariant import invariant
from mulberrygate.schedule.codes import LATE_TIER_OVERTAKEN, TIER_NOT_STARVED
from mulberrygate.schedule.fair_queue import FairQueue, TierQueue, WaitingRequest
from mulberrygate.schedule.served import ServedShares

# Users require every kind of request to be served at least a quarter as often as all requests.
STARVED_RATIO = 1 / 3


class Overtakes(enum.Enum):
    """Requests of upper tiers that a priority class may overtake."""

    NONE = 0
    LATE = 1
    ALL = 2


@attrs.frozen
class PriorityClass:
    """Requests of one tier that are examined together.

    Parameters
    ==========
    is_late : bool or None
        True for late requests only, False for timely ones only, None for both, timely ones first.
    """

    tier: int
    is_late: bool | None = None
    overtakes: Overtakes = Overtakes.NONE

    def count(self, queue: TierQueue) -> int:
        """Return the number of requests in the class.

        Parameters
        ==========
        queue : TierQueue
            Requests of the class's tier.
        """
        if self.is_late is None:
            return queue.count
        return queue.late if self.is_late else queue.count - queue.late

    def contains(self, waiting: WaitingRequest) -> bool:
        """Return whether a request is in the class."""
        return waiting.ticket.tier == self.tier and self.is_late in (None, waiting.is_late)


@attrs.frozen
class Precedence:
    """Tiers that go before requests of upper tiers.

    Parameters
    ==========
    starved : tuple[int, ...]
        Tiers whose timely requests go before all others.
    last_overtaking : int
        Lowest tier whose timely requests go before late ones of upper tiers, with those of all
        tiers above it; -1 for none.
    """

    starved: tuple[int, ...] = ()
    last_overtaking: int = -1

    def priority_classes(self, queue: FairQueue) -> list[PriorityClass]:
        """Return the non-empty classes in the order in which they are examined."""
        ahead = range(self.last_overtaking + 1)
        priority_classes = [PriorityClass(tier, False, Overtakes.ALL) for tier in self.starved]
        priority_classes += [PriorityClass(tier, False, Overtakes.LATE) for tier in ahead]
        priority_classes += [PriorityClass(tier, True) for tier in ahead]
        priority_classes += [
            PriorityClass(tier) for tier in range(self.last_overtaking + 1, len(queue.tiers))
        ]
        return [
            priority_class
            for priority_class in priority_classes
            if priority_class.count(queue.tiers[priority_class.tier])
        ]


STRICT = Precedence()


def find_precedence(
    queue: FairQueue, served: ServedShares, prioritizes_starved: bool, now: float
) -> Precedence:
    """Return which tiers go before requests of upper tiers.

    Parameters
    ==========
    prioritizes_starved : bool
        Whether starved tiers go before all others.
    """
    starved = _starved(queue, served, now) if prioritizes_starved else ()
    return Precedence(starved, _last_overtaking(queue, served, now))


def _starved(queue: FairQueue, served: ServedShares, now: float) -> tuple[int, ...]:
    """Return `Precedence.starved`; none has a larger granted share than a tier above it."""
    least = STARVED_RATIO * served.share_of_all(now)
    starved = []
    for tier, waiting in enumerate(queue.tiers):
        share = served.share(tier, now)
        if share < least and waiting.count > waiting.late:
            starved.append(tier)
        least = min(least, share)
    return tuple(starved)


def _last_overtaking(queue: FairQueue, served: ServedShares, now: float) -> int:
    """Return `Precedence.last_overtaking`.

    Explanation
    ===========
    The range ends before the first tier whose granted share is as large as that of a tier above it
    with late requests; otherwise a lower tier would overtake the timely requests of that tier.
    """
    last = -1
    least_upper = 0.0
    has_late = False
    for tier, waiting in enumerate(queue.tiers):
        if not waiting.count:
            continue
        share = served.share(tier, now)
        if has_late and waiting.count > waiting.late:
            if share >= least_upper:
                break
            last = tier
        if waiting.late:
            least_upper = min(least_upper, share) if has_late else share
            has_late = True
    return last


def check_precedence(
    priority_class: PriorityClass, queue: FairQueue, served: ServedShares, now: float
) -> None:
    """Check at a grant that its class may overtake requests of upper tiers."""
    if priority_class.overtakes is Overtakes.NONE:
        return
    share = served.share(priority_class.tier, now)
    if priority_class.overtakes is Overtakes.ALL:
        all_share = served.share_of_all(now)
        invariant(
            share < all_share,
            TIER_NOT_STARVED,
            f"tier {priority_class.tier} is granted {share:.3f}",
        )
        return
    for upper in range(priority_class.tier):
        if queue.tiers[upper].late:
            invariant(
                share < served.share(upper, now),
                LATE_TIER_OVERTAKEN,
                f"tier {priority_class.tier} before late requests of tier {upper}",
            )
