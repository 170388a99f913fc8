"""Result codes of the pool scheduler."""

from __future__ import annotations

from mulberrygate.core.codes import register_code

QUEUE_FULL = register_code(
    2001, "queue_full", "The pool's queue is full and holds no request of a lower tier.", 503
)
DEADLINE_UNREACHABLE = register_code(
    2002, "deadline_unreachable", "The request can't be answered before its deadline any more.", 503
)
EVICTED = register_code(
    2003, "evicted", "The request made room for one of a higher tier while it waited.", 503
)
NO_ENDPOINT = register_code(2004, "no_endpoint", "No endpoint of the pool accepts work.", 503)
WAIT_TOO_LONG = register_code(
    2005, "wait_too_long", "The expected wait is longer than the caller's patience; not run.", 503
)
NO_HOME_ENDPOINT = register_code(
    2006,
    "no_home_endpoint",
    "No endpoint in the home regions of the call takes work; not run.",
    503,
)
NO_SPARE_ROOM = register_code(
    2007, "no_spare_room", "The pool has no room to spare for a second copy of a request.", 503
)

SHED_BEFORE_LOWER_TIER = register_code(
    9400, "shed_before_lower_tier", "A request was shed while one of a lower tier was waiting."
)
LOWER_TIER_ADMITTED = register_code(
    9401, "lower_tier_admitted", "A request of a lower tier was admitted before a higher one."
)
SHARE_EXCEEDED = register_code(
    9402, "version_share_exceeded", "A version received more than its share of a route's traffic."
)
SLOTS_MISCOUNTED = register_code(
    9403, "slots_miscounted", "The outstanding grants of an endpoint do not match its count."
)
QUEUE_OVER_LIMIT = register_code(
    9404, "queue_over_limit", "More requests wait for a pool than its limit allows."
)
DEADLINE_SHED_EARLY = register_code(
    9405, "deadline_shed_early", "A request was shed for its deadline while it could still meet it."
)
LATE_TIER_OVERTAKEN = register_code(
    9406,
    "late_tier_overtaken",
    "A request went before a late one of an upper tier that had been served less often.",
)
TIER_NOT_STARVED = register_code(
    9407,
    "tier_not_starved",
    "A request went before those of upper tiers although its tier was served as often as all.",
)
