"""Tests of the explanation of a choice."""

from __future__ import annotations

import pickle
import random
import unittest

from mulberrygate.schedule.explain import explain_choice
from mulberrygate.schedule.messages import Done, EndpointNotice, Grant
from mulberrygate.schedule.scheduler import PoolScheduler
from mulberrygate.schedule.tests.support import Bench, make_ticket, make_view
from mulberrygate.tables.model import SERVICE, Pool


def snapshot(scheduler):
    """Return all state of a scheduler that decisions depend on."""
    chooser = scheduler.chooser
    states = {
        name: [getattr(state, field) for field in sorted(vars(state)) if is_plain(state, field)]
        for name, state in scheduler.states.items()
    }
    return pickle.dumps(
        (
            chooser.comparison_count,
            chooser.rng.getstate(),
            scheduler.rng.getstate(),
            scheduler.sequence,
            scheduler.reserved,
            scheduler.top_tier,
            sorted(scheduler.shares.routes),
            [(n, r.credit, r.total) for n, r in sorted(scheduler.shares.routes.items())],
            sorted(scheduler.queue.by_request),
            sorted(scheduler.running),
            list(scheduler.ended.items),
            vars(scheduler.demand),
            scheduler.capacity.free_slots,
            scheduler.served.__dict__,
            states,
        )
    )


def is_plain(state, field):
    """Return whether a field of an endpoint's state is a number or a flag."""
    return isinstance(getattr(state, field), int | float)


class TestExplain(unittest.TestCase):
    """One scheduler, asked where a request would go."""

    def random_scheduler(self, seed):
        """Return a busy wide scheduler of a service or a model, and the time."""
        rng = random.Random(seed)
        kind = rng.choice((SERVICE, "model"))
        scheduler = PoolScheduler(
            "d1", "r1", Pool(kind=kind, engine_queue=2), random.Random(seed), is_wide=True
        )
        views = [
            make_view(
                f"e{n}", rng.choice("ab"), "", rng.choice(("d1", "d2")), slots=rng.randint(1, 4)
            )
            for n in range(rng.randint(1, 20))
        ]
        scheduler.set_endpoints(views, 0.0)
        now, grants = 0.0, []
        for number in range(rng.randint(0, 60)):
            now += rng.random() * 0.2
            ticket = make_ticket(f"q{number}", rng.randrange(4), tokens=rng.randint(1, 300))
            effects = scheduler.ask(ticket, now)
            if rng.random() < 0.6 and grants:
                grant = grants.pop(rng.randrange(len(grants)))
                seconds = 0.01 + rng.random()
                fault = rng.choice(("", "", "", "cut", "refused"))
                effects += scheduler.done(
                    Done("care", grant.request, grant.endpoint, grant.version, "note", 10, 10,
                         seconds / 2, seconds, fault),
                    now,
                )  # fmt: skip
            sent = (getattr(effect, "message", None) for effect in effects)
            grants += [message for message in sent if isinstance(message, Grant)]
            if rng.random() < 0.1:
                scheduler.tick(now)
        if rng.random() < 0.3:
            scheduler.set_shares({"a": 0.7, "b": 0.3}, now)
        scheduler.tick(now + 0.05)
        return scheduler, now + 0.05, rng

    def test_choice_is_the_one_that_an_ask_gets(self):
        """Guards against an explanation that differs from what the scheduler does."""
        granted = waits = 0
        for seed in range(400):
            scheduler, now, rng = self.random_scheduler(seed)
            if len(scheduler.queue):
                continue
            ticket = make_ticket(
                "new",
                rng.randrange(4),
                tokens=rng.randint(1, 300),
                deadline=rng.choice((0.5, 5.0, 60.0)),
                avoid=(f"e{rng.randrange(4)}",) if rng.random() < 0.5 else (),
                notices=(EndpointNotice("e1", 1, pause_s=1.0),) if rng.random() < 0.3 else (),
            )
            before = snapshot(scheduler)
            found = explain_choice(scheduler, ticket, now)
            self.assertEqual(snapshot(scheduler), before)
            effects = scheduler.ask(ticket, now)
            sent = [getattr(effect, "message", None) for effect in effects]
            got = [m.endpoint for m in sent if isinstance(m, Grant) and m.request == "new"]
            self.assertEqual([found["endpoint"]] if found["endpoint"] else [], got, f"seed {seed}")
            granted += bool(got)
            waits += not got
        self.assertGreater(granted, 100)
        self.assertGreater(waits, 10)

    def test_nothing_changes_while_requests_wait(self):
        """Guards against a question that moves shares, random numbers or the queue."""
        count = 0
        for seed in range(200):
            scheduler, now, _ = self.random_scheduler(seed)
            before = snapshot(scheduler)
            found = explain_choice(scheduler, make_ticket("new"), now)
            self.assertEqual(snapshot(scheduler), before)
            self.assertEqual(found["ahead"], sum(q.count for q in scheduler.queue.tiers[:3]))
            count += bool(len(scheduler.queue))
        self.assertGreater(count, 10)

    def test_obstacles(self):
        """Guards against an endpoint that is left out without a reason."""
        views = [
            make_view("free", slots=2),
            make_view("full", slots=1),
            make_view("leaving", slots=2, accepts_work=False),
            make_view("paused", slots=2),
            make_view("avoided", slots=2),
            make_view("faulty", slots=2),
            make_view("laden", slots=2),
        ]
        bench = Bench(views)
        state = bench.scheduler.states
        state["full"].external_load = 1
        state["full"].used = 1
        bench.scheduler.capacity.update(state["full"])
        state["laden"].memory.add(89_900)
        for _ in range(2):
            state["faulty"].record_fault(bench.now)
        bench.scheduler._update_limits(state["faulty"], bench.now)
        notices = (EndpointNotice("paused", 1, pause_s=1.0),)
        ticket = make_ticket("new", avoid=("avoided",), notices=notices)
        found = explain_choice(bench.scheduler, ticket, bench.now)
        self.assertEqual(found["endpoint"], "free")
        self.assertIn("free at once", found["verdict"])
        self.assertEqual(
            {row["endpoint"]: row["obstacle"] for row in found["endpoints"]},
            {
                "free": "",
                "full": "no free slot",
                "leaving": "takes no new work",
                "paused": "told the entry that it leaves or wants a pause",
                "avoided": "has failed the request",
                "faulty": "blocked for 0.50 s after faults",
                "laden": "the request doesn't fit into its memory",
            },
        )

    def test_first_token_before_the_end(self):
        """Guards against a first token that is shown without the slowdown of its machine."""
        scheduler, now, _ = self.random_scheduler(3)
        for state in scheduler.states.values():
            state.report_slowdown(0.1, now, now)
        rows = explain_choice(scheduler, make_ticket("new", tokens=1), now)["endpoints"]
        self.assertTrue(any(state.slowdown.excess < 0 for state in scheduler.states.values()))
        for row in rows:
            self.assertLess(row["first_s"], row["end_s"])

    def test_refusals(self):
        """Guards against an explanation that names a place where there is none."""
        nowhere = Bench([make_view("a", accepts_work=False)])
        found = explain_choice(nowhere.scheduler, make_ticket("new"), 1.0)
        self.assertIn("no_endpoint", found["verdict"])
        busy = Bench([make_view("a")], Pool(engine_queue=0, max_waiting=1))
        busy.ask("r0")
        busy.ask("r1")
        found = explain_choice(busy.scheduler, make_ticket("new"), 0.0)
        self.assertIn("queue_full", found["verdict"])
        self.assertEqual((found["endpoint"], found["ahead"]), ("", 1))

    def test_many_endpoints_are_cut(self):
        """Guards against an answer that grows with the fleet."""
        bench = Bench([make_view(f"e{n}") for n in range(80)])
        found = explain_choice(bench.scheduler, make_ticket("new"), 0.0)
        self.assertEqual((len(found["endpoints"]), found["endpoints_left_out"]), (50, 30))
        self.assertTrue(found["endpoints"][0]["is_chosen"])


if __name__ == "__main__":
    unittest.main()
