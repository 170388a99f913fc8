"""Helpers for the tests of the scheduler."""

from __future__ import annotations

import random

from mulberrygate.endpoints import EndpointView
from mulberrygate.schedule import Done, Grant, PoolScheduler, Refuse, Ticket
from mulberrygate.tables.model import Pool


def make_view(name="a", version="v1", hardware="new", domain="d1", region="r1", slots=1, **more):
    """Return an endpoint that accepts work."""
    return EndpointView(
        endpoint=name,
        incarnation=more.pop("incarnation", 1),
        address=f"{name}:1",
        pool="care",
        failure_domain=domain,
        region=region,
        version=version,
        hardware=hardware,
        slots=slots,
        kv_tokens=100_000,
        accepts_work=more.pop("accepts_work", True),
        **more,
    )


def make_ticket(name, tier=2, account="x", weight=1.0, tokens=100, deadline=600.0, **more):
    """Return a ticket with as many prompt as output tokens."""
    return Ticket(
        request=name,
        entry=more.pop("entry", "entry-1"),
        pool="care",
        route=more.pop("route", "note"),
        account=account,
        weight=weight,
        tier=tier,
        prompt_tokens=more.pop("prompt", tokens),
        output_tokens=tokens,
        prefixes=more.pop("prefixes", ()),
        deadline_s=deadline,
        **more,
    )


class Bench:
    """A scheduler with a clock that records its grants and refusals in order."""

    def __init__(self, views, pool=None):
        self.scheduler = PoolScheduler("d1", "r1", pool or Pool(engine_queue=0), random.Random(1))
        self.now = 0.0
        self.grants: dict[str, Grant] = {}
        self.refused: dict[str, int] = {}
        self.observed = []
        self.views = views
        self.call("set_endpoints", views)

    def call(self, name, *arguments):
        """Call a method of the scheduler and record its effects."""
        effects = getattr(self.scheduler, name)(*arguments, self.now)
        for effect in effects:
            message = getattr(effect, "message", None)
            if isinstance(message, Grant):
                self.grants[message.request] = message
            elif isinstance(message, Refuse):
                self.refused[message.request] = message.code
            else:
                self.observed.append(effect)
        return effects

    def ask(self, name, **ticket):
        """Send the ask of a request."""
        return self.call("ask", make_ticket(name, **ticket))

    def done(self, name, total_s=1.0, first_s=0.1, tokens=100, prompt=100, **more):
        """Report the end of a granted request."""
        grant = self.grants[name]
        route = more.pop("route", "note")
        message = Done(
            "care",
            name,
            grant.endpoint,
            grant.version,
            route,
            prompt,
            tokens,
            first_s,
            total_s,
            **more,
        )
        return self.call("done", message)

    def endpoint_of(self, name):
        """Return the endpoint that a request was granted."""
        return self.grants[name].endpoint
