"""Result codes of the forwarding path."""

from __future__ import annotations

from mulberrygate.core.codes import register_code

NO_CATALOG = register_code(1201, "no_catalog", "No catalog is in force here yet; not run.", 503)
NO_ROUTE = register_code(1202, "no_route_for_path", "No route fits the host and path.", 404)
UNKNOWN_KEY = register_code(1203, "unknown_key", "No client account holds this key.", 401)
BODY_TOO_LARGE = register_code(1204, "body_over_limit", "The body is over the limit.", 413)
BODY_BROKEN = register_code(1205, "body_broken", "The body can't be read in full.", 400)
OVER_LIMIT = register_code(
    1206, "over_account_limit", "The client account is over its limit; not run.", 429
)
NO_SHARE = register_code(
    1207, "no_share_of_limit", "No leader, and no units of the account's limit here; not run.", 503
)
CRASHES_ENDPOINTS = register_code(
    1208, "crashes_endpoints", "Such calls crash endpoints that run them; not run.", 503
)
CATALOG_UNCERTAIN = register_code(
    1209, "catalog_uncertain", "A newer catalog may allow the call; not run.", 503
)
MAY_CRASH_ENDPOINTS = register_code(
    1210, "may_crash_endpoints", "Such a call may have crashed an endpoint; not run.", 503
)
UNREADABLE_HEAD = register_code(
    1211, "unreadable_head", "The path or a header holds no Unicode text or a huge number.", 400
)
STOPPING = register_code(
    1212, "entry_stopping", "The entry stops before it could send the call; not run.", 503
)
MEMORY_SHORT = register_code(
    1213, "memory_short", "The instance had no memory for the body in time; not run.", 503
)
BODY_SLOW = register_code(
    1214, "body_too_slow", "The body arrived too slowly while memory was short; not run.", 408
)
NOT_SERVED = register_code(
    2201, "not_served", "No endpoint took the call in the time it had; not run.", 503
)
TURNED_DOWN = register_code(
    2202, "turned_down", "The endpoints that were asked turned the call down; not run.", 503
)
ENDPOINTS_PAUSED = register_code(
    2203, "endpoints_paused", "All endpoints asked for a pause of this entry; not run.", 503
)
NO_HOME_REGION = register_code(
    2204, "no_home_region", "The call has no home region that all its limits allow; not run.", 503
)
ENDPOINTS_EVACUATED = register_code(
    2205, "endpoints_evacuated", "All endpoints are in evacuated failure domains; not run.", 503
)
TIMED_OUT = register_code(
    6201, "answer_timed_out", "The call was sent and got no answer in time; it may have run.", 504
)
ENDPOINT_FAILED = register_code(
    6202, "endpoint_broke_off", "The endpoint broke off or sent no sound answer.", 502
)
CANCELLED = register_code(
    6203, "cancelled_as_crashing", "Such calls crash endpoints; this one may have run.", 502
)
AMBIGUOUS_REJECTION = register_code(
    6204,
    "ambiguous_rejection",
    'The endpoint\'s status means "not run", but it did not state so; the call may have run.',
    502,
)
UNTRUE_PROMISE = register_code(
    9612, "untrue_promise", "A call that may have run was about to be answered as not run.", 502
)
PATH_FAILED = register_code(
    9611, "forwarding_failed", "The forwarding path itself failed; the call may have run.", 502
)
