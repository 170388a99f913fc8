"""Effects of the pool scheduler other than `Send`."""

from __future__ import annotations

import attrs

from mulberrygate.core.effects import Effect


@attrs.frozen
class ObservedRequest(Effect):
    """Result of a granted request, as evidence for version moves.

    Parameters
    ==========
    load : float
        Mean number of requests at the endpoint while the request ran.
    expected_s : float
        Seconds predicted for the request's length and this load on the hardware generation, by a
        model that has not learned from the version under a move.
    total_s, first_token_s : float
        Observed seconds.
    fault : str
        As in `Done`; ``cancelled`` for a request that its caller cancelled.
    """

    route: str
    version: str
    endpoint: str
    hardware: str
    load: float
    expected_s: float
    total_s: float
    first_token_s: float
    fault: str = ""
