"""The promise that the status of an answer makes to the caller about the run of its request.

Explanation
===========
A caller that gets one of `NOT_RUN_STATUSES` sends its request again, even one that may run only
once. So both delivery paths, `mulberrygate.forward` and `mulberrygate.entry`, ask `keeps_promise`
before an answer leaves, whether it is their own or that of an endpoint.
"""

from __future__ import annotations

from mulberrygate.core.outcome import Execution

# They promise that the request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Status of an answer of our own that promises nothing.
UNCERTAIN_STATUS = 502


def promises_not_run(status: int) -> bool:
    """Return whether an HTTP status promises that the request has not run and never will."""
    return status in NOT_RUN_STATUSES


def keeps_promise(status: int, execution: Execution) -> bool:
    """Return whether the promise of an HTTP status is true.

    Parameters
    ==========
    execution : Execution
        What is known about the execution of the request, over all sends to endpoints.

    Examples
    ========
    >>> from mulberrygate.core.outcome import Execution
    >>> from mulberrygate.core.promises import keeps_promise
    >>> keeps_promise(503, Execution.NOT_RUN), keeps_promise(503, Execution.UNKNOWN)
    (True, False)
    >>> keeps_promise(502, Execution.UNKNOWN)
    True
    """
    return execution is Execution.NOT_RUN or not promises_not_run(status)


def true_status(status: int, execution: Execution) -> int:
    """Return a status if its promise is true, else one that promises nothing."""
    return status if keeps_promise(status, execution) else UNCERTAIN_STATUS
