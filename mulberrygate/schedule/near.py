"""Preference for endpoints near the entry of a request."""

from __future__ import annotations

from typing import Protocol

from mulberrygate.endpoints.model import EndpointView
from mulberrygate.schedule.endpoint import HOP_S, LOCAL, OTHER_DOMAIN, OTHER_REGION
from mulberrygate.schedule.messages import Ticket

# Share of its predicted run by which a request has to end earlier at a more distant endpoint than
# at one in its failure domain. Learned speeds of equal endpoints differ by about a tenth, so less
# isn't worth sending a prompt to another region.
MIN_GAIN = {LOCAL: 0.0, OTHER_DOMAIN: 0.02, OTHER_REGION: 0.1}


class Place(Protocol):
    """Anything that has a place: the ticket of an entry, or a scheduler."""

    failure_domain: str
    region: str


def distance(origin: Place, view: EndpointView) -> int:
    """Return the distance from a place to an endpoint, as an index of `HOP_S`."""
    if view.failure_domain == origin.failure_domain:
        return LOCAL
    return OTHER_DOMAIN if view.region == origin.region else OTHER_REGION


def distance_cost_s(ticket: Ticket, view: EndpointView, run_s: float) -> float:
    """Return the seconds by which a distant endpoint has to be faster to be chosen.

    Explanation
    ===========
    The entry passes the bytes on, so its distance counts and not that of the scheduler.

    Parameters
    ==========
    run_s : float
        Predicted seconds of the request at the endpoint.

    Examples
    ========
    >>> from mulberrygate.schedule.near import distance_cost_s
    >>> from mulberrygate.schedule.tests.support import make_ticket, make_view
    >>> ticket = make_ticket("r", failure_domain="d1", region="r1")
    >>> near, far = make_view("a", domain="d1"), make_view("b", domain="d2", region="r2")
    >>> distance_cost_s(ticket, near, 1.0), round(distance_cost_s(ticket, far, 1.0), 3)
    (0.001, 0.12)
    """
    from_entry = distance(ticket, view)
    return HOP_S[from_entry] + MIN_GAIN[from_entry] * run_s
