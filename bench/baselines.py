"""Baseline policies with the interface of the pool scheduler."""

from __future__ import annotations

import random

from mulberrygate.core.effects import Send
from mulberrygate.schedule.messages import Grant


class ImmediateDispatch:
    """Grant an endpoint to each request at once; the engines queue in arrival order."""

    def __init__(self, failure_domain, region, pool, rng: random.Random):
        self.rng = rng
        self.views = []
        self.turn = 0

    def choose_endpoint(self):
        """Return the view of the endpoint for the next request."""
        raise NotImplementedError

    def ask(self, ticket, now):
        """Grant an endpoint at once."""
        if not self.views:
            return []
        view = self.choose_endpoint()
        grant = Grant(ticket.pool, ticket.request, view.endpoint, view.address, view.version)
        return [Send(ticket.entry, grant)]

    def set_endpoints(self, views, now):
        """Replace the views by those of the endpoints that accept work."""
        self.views = [view for view in views if view.accepts_work]
        return []

    def ignore(self, *arguments):
        """Ignore a message."""
        return []

    withdraw = progress = done = tick = ignore


class RoundRobin(ImmediateDispatch):
    """Policy that grants endpoints in turn."""

    def choose_endpoint(self):
        """Return the next endpoint in turn."""
        self.turn += 1
        return self.views[self.turn % len(self.views)]


class LeastConnections(ImmediateDispatch):
    """Policy that grants the endpoint with the least reported load, which is stale."""

    def choose_endpoint(self):
        """Return the endpoint with the least reported load."""
        self.turn += 1
        least = min(view.load for view in self.views)
        equal = [view for view in self.views if view.load == least]
        return equal[self.turn % len(equal)]


class RandomOfTwo(ImmediateDispatch):
    """Policy that grants the less loaded of two random endpoints, by reported load."""

    def choose_endpoint(self):
        """Return the less loaded of two endpoints."""
        pair = self.rng.sample(self.views, min(2, len(self.views)))
        return min(pair, key=lambda view: view.load)


BASELINES = {
    "round-robin": RoundRobin,
    "least-connections": LeastConnections,
    "random-of-two": RandomOfTwo,
}
