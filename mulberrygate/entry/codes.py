"""Result codes of the entry."""

from mulberrygate.core.codes import register_code

UNAUTHORIZED = register_code(
    1001, "unauthorized", "The bearer token is missing or belongs to no client account.", 401
)
BODY_TOO_LARGE = register_code(1002, "body_too_large", "The body is over the route's limit.", 413)
MALFORMED = register_code(1003, "malformed_request", "The request can't be understood.", 400)
UNKNOWN_ROUTE = register_code(1004, "unknown_route", "No route of this name is in force.", 404)
NOT_ALLOWED = register_code(1005, "not_allowed", "The client account may not use the route.", 403)
BAD_DEADLINE = register_code(
    1006, "bad_deadline", "Request-Timeout is not a number of seconds from 0.1 to 3600.", 400
)
QUARANTINED = register_code(
    1007, "quarantined", "Requests with this content crashed several endpoints.", 422
)
BAD_KEY = register_code(
    1008, "bad_key", "Idempotency-Key is not 1 to 200 visible ASCII characters.", 400
)
TOO_MANY_WAITING = register_code(
    1009, "too_many_waiting", "The client account has too many requests waiting here.", 429
)
STOPPING = register_code(1010, "stopping", "The instance is stopping; use another one.", 503)
WRONG_KIND = register_code(
    1011, "wrong_kind", "The route belongs to a pool of the other kind.", 400
)
UNKNOWN_PATH = register_code(1012, "unknown_path", "Nothing is served under this path.", 404)
WRONG_METHOD = register_code(1013, "wrong_method", "The path does not take this method.", 405)
BAD_HTTP = register_code(
    1014, "bad_http", "The request is not valid HTTP or its head is too large.", 400
)
BAD_QUERY = register_code(1015, "bad_query", "A query parameter has a wrong value.", 400)
BODY_SILENT = register_code(1016, "body_silent", "The body stopped arriving.", 408)
MEMORY_SHORT = register_code(
    1017, "memory_short", "The instance has too little memory for the request.", 503
)
TOO_MANY_VALUES = register_code(
    1018, "too_many_values", "The body has more JSON values than the memory allows.", 413
)
DEADLINE_PASSED = register_code(
    2101, "deadline_passed", "The deadline passed while the request waited.", 504
)
NO_GRANT = register_code(2102, "no_grant", "No endpoint took the request in several tries.", 503)
ANSWER_NOT_KEPT = register_code(
    3008, "answer_not_kept", "The request completed, but its answer is no longer kept.", 410
)
ANSWER_CUT = register_code(6101, "answer_cut", "The endpoint's answer broke off.", 502)
ENDPOINT_SILENT = register_code(6102, "endpoint_silent", "The endpoint stopped sending.", 504)
ENDPOINT_ERROR = register_code(6103, "endpoint_error", "The endpoint answered with an error.", 502)
ANSWER_TOO_LARGE = register_code(
    6104, "answer_too_large", "The endpoint's answer is over the limit.", 502
)
AMBIGUOUS_ANSWER = register_code(
    6105,
    "ambiguous_answer",
    "The service's status means \"not run\", which it can't state; the call may have run.",
    502,
)
INTERNAL = register_code(1099, "internal_error", "The entry failed; its log has the cause.", 500)
