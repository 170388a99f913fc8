"""Random runs of the pool scheduler with lost, repeated and late messages."""

from __future__ import annotations

import math
import random

import attrs
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from mulberrygate.endpoints import EndpointView
from mulberrygate.schedule import Done, Grant, PoolScheduler, Present, Progress, Refuse, Running
from mulberrygate.schedule.messages import Ticket
from mulberrygate.schedule.running import GRANT_DELIVERY_S
from mulberrygate.tables.model import Move, Pool

ROUTES = ("note", "quick")
ENTRIES = ("entry-1", "entry-2")
NAMES = ("a", "b", "c", "d", "near", "far")
PLACES = {"near": ("d2", "r1"), "far": ("d3", "r2")}
POOL = Pool(max_waiting=6, version="v2", move=Move(previous="v1"))


def make_view(name: str, incarnation: int, accepts_work: bool, load: int) -> EndpointView:
    """Return the view of an endpoint; half of them serve the version under the move."""
    domain, region = PLACES.get(name, ("d1", "r1"))
    return EndpointView(
        endpoint=name,
        incarnation=incarnation,
        address=f"{name}:1",
        pool="care",
        failure_domain=domain,
        region=region,
        version="v2" if name in "bd" else "v1",
        hardware="old" if name in "ab" else "new",
        slots=3,
        kv_tokens=20_000,
        accepts_work=accepts_work,
        load=load,
        prefixes=frozenset({f"p{ord(name[0]) % 3}"}),
    )


class SchedulerMachine(RuleBasedStateMachine):
    """Entries, endpoints and a scheduler whose owner may change."""

    scheduler_class = PoolScheduler
    is_wide = False

    def __init__(self):
        super().__init__()
        self.now = 10.0
        self.number = 0
        self.tickets: dict[str, Ticket] = {}
        self.deadlines: dict[str, float] = {}
        self.grants: dict[str, Grant] = {}
        self.refused: set[str] = set()
        self.ended: set[str] = set()
        self.views = {name: make_view(name, 1, True, 0) for name in ("a", "b", "c")}
        self.scheduler = None
        self.start()

    def start(self):
        """Start a new owner; entries that got a refusal from the former one don't ask again."""
        self.ended |= self.refused
        self.scheduler = self.scheduler_class(
            "d1", "r1", POOL, random.Random(1), is_wide=self.is_wide
        )
        self.scheduler.set_endpoints(list(self.views.values()), self.now)

    def take(self, effects):
        """Check and record grants and refusals."""
        for effect in effects:
            message = getattr(effect, "message", None)
            if isinstance(message, Grant):
                known = self.grants.get(message.request)
                assert known in (None, message), f"{known} and then {message}"
                assert message.request not in self.refused
                if known is None:
                    assert self.views[message.endpoint].accepts_work
                self.grants[message.request] = message
            elif isinstance(message, Refuse):
                assert message.request not in self.grants
                self.refused.add(message.request)

    def running(self):
        """Return the requests that entries have dispatched."""
        return [name for name in self.grants if name not in self.ended]

    @rule(
        tier=st.integers(0, 3),
        route=st.sampled_from(ROUTES),
        account=st.sampled_from(("x", "y")),
        size=st.sampled_from((10, 100, 5000)),
        deadline=st.sampled_from((0.2, 3.0, 30.0)),
        avoid=st.sampled_from(((), ("a",))),
        entry=st.sampled_from(ENTRIES),
        prefix=st.sampled_from(((), ("p0",), ("p1", "p2"))),
        count=st.integers(1, 6),
        first_by=st.sampled_from((0.0, 0.5, math.inf)),
    )
    def ask(self, tier, route, account, size, deadline, avoid, entry, prefix, count, first_by):
        for _ in range(count):
            name = f"q{self.number}"
            self.number += 1
            ticket = Ticket(
                name, entry, "care", route, account, 1.0, tier, size, size, prefix, deadline
            )
            ticket = attrs.evolve(ticket, avoid=avoid)
            if self.is_wide:
                ticket = attrs.evolve(ticket, first_by_s=first_by, start_by_s=first_by + 1.0)
            self.tickets[name] = ticket
            self.deadlines[name] = self.now + deadline
            self.take(self.scheduler.ask(ticket, self.now))

    @precondition(lambda self: self.tickets)
    @rule(data=st.data())
    def ask_again(self, data):
        name = data.draw(st.sampled_from(sorted(self.tickets)))
        # Entries don't ask after the deadline; ended requests are forgotten some time later.
        if name not in self.ended and self.now <= self.deadlines[name]:
            self.take(self.scheduler.ask(self.tickets[name], self.now))

    @precondition(lambda self: self.tickets)
    @rule(data=st.data())
    def withdraw(self, data):
        name = data.draw(st.sampled_from(sorted(self.tickets)))
        self.ended.add(name)
        self.take(self.scheduler.withdraw(name, self.now))

    @precondition(lambda self: self.grants)
    @rule(data=st.data(), fault=st.sampled_from(("", "", "", "error")), repeats=st.integers(1, 2))
    def done(self, data, fault, repeats):
        name = data.draw(st.sampled_from(sorted(self.grants)))
        grant, ticket = self.grants[name], self.tickets[name]
        self.ended.add(name)
        total_s = data.draw(st.sampled_from((0.01, 1.0, 20.0)))
        message = Done(
            "care",
            name,
            grant.endpoint,
            grant.version,
            ticket.route,
            ticket.prompt_tokens,
            ticket.output_tokens,
            total_s / 4,
            total_s,
            fault,
        )
        for _ in range(repeats):
            self.take(self.scheduler.done(message, self.now))

    @rule(data=st.data())
    def progress(self, data):
        emitted = {name: data.draw(st.integers(0, 200)) for name in list(self.grants)[:3]}
        self.take(self.scheduler.progress(Progress("care", emitted), "entry", self.now))

    @rule(name=st.sampled_from(NAMES), load=st.integers(0, 9), is_up=st.booleans())
    def endpoint_changes(self, name, load, is_up):
        known = self.views.get(name)
        incarnation = known.incarnation if known else 1
        self.views[name] = make_view(name, incarnation, is_up, load)
        self.take(self.scheduler.set_endpoints(list(self.views.values()), self.now))

    @rule(name=st.sampled_from(NAMES), is_back=st.booleans())
    def endpoint_dies(self, name, is_back):
        known = self.views.pop(name, None)
        if known is not None and is_back:
            self.views[name] = make_view(name, known.incarnation + 1, True, 0)
        self.take(self.scheduler.set_endpoints(list(self.views.values()), self.now))

    @rule(share=st.sampled_from((None, 0.0, 0.05, 0.5, 1.0)))
    def move(self, share):
        shares = {} if share is None else {"v1": 1 - share, "v2": share}
        self.take(self.scheduler.set_shares(shares, self.now))

    @rule(entry=st.sampled_from(ENTRIES))
    def entry_dies(self, entry):
        self.take(self.scheduler.forget_entry(entry, self.now))
        for name, ticket in self.tickets.items():
            if ticket.entry == entry:
                self.ended.add(name)

    @rule(is_late=st.booleans())
    def owner_changes(self, is_late):
        if not is_late:
            self.start()
        for entry in ENTRIES:
            own = [name for name in self.tickets if self.tickets[name].entry == entry]
            waiting = [
                self.tickets[name]
                for name in own
                if name not in self.grants and name not in self.refused and name not in self.ended
            ]
            running = [
                Running(self.tickets[name], self.grants[name].endpoint, "v1", 1)
                for name in own
                if name in self.grants and name not in self.ended
            ]
            message = Present("care", tuple(waiting), tuple(running))
            self.take(self.scheduler.present(message, entry, self.now))

    @rule(seconds=st.sampled_from((0.01, 0.5, 3.0, 40.0)))
    def time_passes(self, seconds):
        self.now += seconds
        self.take(self.scheduler.tick(self.now))

    @invariant()
    def counts_agree(self):
        scheduler = self.scheduler
        queues = scheduler.queue.tiers
        for state in scheduler.states.values():
            assert state.used == len(state.running) + state.external_load
        free = [0, 0, 0]
        for state in scheduler.states.values():
            free[state.distance] += max(0, state.slots - state.used)
        assert free == scheduler.capacity.free_slots
        assert scheduler.local_slots == sum(
            state.slots for state in scheduler.states.values() if state.distance == 0
        )
        assert all(queue.late == sum(w.is_late for w in queue.all()) for queue in queues)
        assert len(scheduler.queue) == sum(tier.count for tier in scheduler.queue.tiers)
        for waiting in scheduler.queue.by_request.values():
            assert waiting.ticket.request not in scheduler.running
        by_entry = [
            granted for own in scheduler.running_by_entry.values() for granted in own.values()
        ]
        assert sorted(map(id, by_entry)) == sorted(map(id, scheduler.running.values()))

    def teardown(self):
        """Check that every waiting request is answered by its deadline."""
        for _ in range(40):
            self.now += 1.0
            self.take(self.scheduler.tick(self.now))
        assert not len(self.scheduler.queue)


class ReportingMachine(SchedulerMachine):
    """Entries that also report what they hold, and whose ends of requests get lost."""

    @precondition(lambda self: self.running())
    @rule(data=st.data())
    def end_is_not_told(self, data):
        self.ended.add(data.draw(st.sampled_from(sorted(self.running()))))

    @rule(entry=st.sampled_from(ENTRIES))
    def entry_reports(self, entry):
        own = [name for name, ticket in self.tickets.items() if ticket.entry == entry]
        held = tuple(name for name in own if name not in self.ended)
        self.take(self.scheduler.progress(Progress("care", {}, held, True), entry, self.now))
        for granted in self.scheduler.running.values():
            if granted.ticket.entry == entry and granted.ticket.request not in held:
                assert self.now - granted.granted_at <= GRANT_DELIVERY_S
