"""Work of a pool's owner while many endpoints crash beside a long queue."""

from __future__ import annotations

import random
import unittest

from mulberrygate.endpoints.model import EndpointView
from mulberrygate.schedule.messages import Done, Grant, Ticket
from mulberrygate.schedule.scheduler import PoolScheduler
from mulberrygate.tables.model import MODEL, Pool

ENDPOINTS, SLOTS = 56, 6
ASKS_PER_S, ENDS_PER_S = 800, 200
STEP_S = 0.001
# Part of a second that the owner of a pool may spend on scheduling. It also leads the control
# group, and loses its lease if it doesn't answer for some tenths of a second.
MAX_WORK_SHARE = 0.4
# Examining one pair of a request and an endpoint takes about half a microsecond.
PAIR_S = 5e-7


class Play:
    """Requests far beyond what engines can take, of which a quarter crashes."""

    def __init__(self):
        self.rng = random.Random(3)
        pool = Pool(kind=MODEL, max_waiting=2000, engine_queue=1)
        self.scheduler = PoolScheduler("a", "r", pool, self.rng, is_wide=True)
        self.now = 0.0
        self.running: dict[str, tuple[str, float]] = {}
        self.tickets: dict[str, Ticket] = {}
        self.crashed = frozenset()
        self.refresh()

    def refresh(self):
        """Update the endpoints as an owner does at each tick."""
        views = [
            EndpointView(
                endpoint=f"e{number}",
                incarnation=1,
                address="",
                pool="p",
                failure_domain=f"z{number % 6}",
                region=f"r{number % 3}",
                version="v1",
                hardware="",
                slots=SLOTS,
                kv_tokens=0,
                accepts_work=True,
            )
            for number in range(ENDPOINTS)
        ]
        self.take(self.scheduler.set_endpoints(views, self.now))
        self.take(self.scheduler.tick(self.now))

    def take(self, effects):
        """Record grants."""
        for effect in effects:
            message = getattr(effect, "message", None)
            if isinstance(message, Grant):
                self.running[message.request] = (message.endpoint, self.now)

    def ask(self):
        """Let a request of a random kind and account ask."""
        kind = self.rng.choices(range(3), (66, 63, 118))[0]
        ticket = Ticket(
            request=f"q{len(self.tickets)}",
            entry="entry",
            pool="p",
            route=f"route-{kind}",
            account=f"account-{self.rng.randrange(16)}",
            weight=1.0,
            tier=3 * self.rng.randrange(3) + kind,
            prompt_tokens=(6610, 628, 1800)[kind],
            output_tokens=(384, 288, 24)[kind],
            prefixes=(),
            deadline_s=(12.7, 12.3, 3.0)[kind],
            first_by_s=(1.1, 1.0, 2.0)[kind],
            start_by_s=(4.8, 4.8, 2.4)[kind],
        )
        self.tickets[ticket.request] = ticket
        self.take(self.scheduler.ask(ticket, self.now))

    def end(self, request, fault=""):
        """Report the end of a request."""
        endpoint, started_at = self.running.pop(request)
        ticket = self.tickets[request]
        output = 0 if fault else ticket.output_tokens
        seconds = max(self.now - started_at, 0.3)
        done = Done(
            pool="p",
            request=request,
            endpoint=endpoint,
            version="v1",
            route=ticket.route,
            prompt_tokens=ticket.prompt_tokens,
            output_tokens=output,
            first_token_s=0.2,
            total_s=seconds,
            fault=fault,
        )
        self.take(self.scheduler.done(done, self.now))

    def run(self, seconds):
        """Play some seconds; return the pairs that the owner examined in each."""
        before = self.scheduler.chooser.comparison_count
        for step in range(int(seconds / STEP_S)):
            self.now += STEP_S
            if self.rng.random() < ASKS_PER_S * STEP_S:
                self.ask()
            if self.running and self.rng.random() < ENDS_PER_S * STEP_S:
                self.end(next(iter(self.running)))
            for request in [r for r, (e, _) in self.running.items() if e in self.crashed]:
                self.end(request, "cut")
            if step % 100 == 0:
                self.refresh()
        return (self.scheduler.chooser.comparison_count - before) / seconds


class TestCrashWave(unittest.TestCase):
    """A quarter of the engines crashes while hundreds of requests wait."""

    def test_owner_has_time_for_its_other_work(self):
        """Guards against a leader that loses its lease since it examines all requests each time."""
        play = Play()
        play.run(4.0)
        self.assertGreater(len(play.scheduler.queue), 500)
        play.crashed = frozenset(f"e{number}" for number in range(0, ENDPOINTS, 4))
        self.assertLess(play.run(0.5) * PAIR_S, MAX_WORK_SHARE)
        granted_before = sum(play.scheduler.served.counts.granted)
        play.run(0.5)
        granted = sum(play.scheduler.served.counts.granted) - granted_before
        self.assertGreater(granted, 0.3 * ENDS_PER_S * 0.5, "sound endpoints stay in use")


if __name__ == "__main__":
    unittest.main()
