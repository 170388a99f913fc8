"""Tests of the account of endpoints' memory.

The load is that for which it is designed: long prompts, of which fewer than the slots fit into the
memory of an endpoint.
"""

from __future__ import annotations

import random
import unittest

from mulberrygate.schedule.memory import MARGIN
from mulberrygate.schedule.messages import Present, Progress, Running
from mulberrygate.schedule.tests.support import make_ticket, make_view
from mulberrygate.schedule.tests.test_wide import WideBench

# Memory of the endpoints of `make_view` in tokens.
MEMORY = 100_000


class TestMemory(unittest.TestCase):
    """Requests that one endpoint holds at a time."""

    def test_requests_beyond_the_memory_wait(self):
        """Guards against crashing an endpoint with more prompts than fit into its memory."""
        bench = WideBench([make_view(slots=4)])
        for name in "abc":
            bench.ask(name, prompt=40_000, tokens=100)
        self.assertEqual(set(bench.grants), {"a", "b"})
        bench.ask("small", prompt=1_000, tokens=100)
        self.assertIn("small", bench.grants)
        bench.done("a")
        self.assertIn("c", bench.grants)

    def test_request_larger_than_the_memory_goes_to_an_empty_endpoint(self):
        """Guards against a request that waits for ever since it fits nowhere by the account."""
        bench = WideBench([make_view(slots=4)])
        bench.ask("small", prompt=100, tokens=10)
        bench.ask("large", prompt=2 * MEMORY, tokens=10)
        self.assertNotIn("large", bench.grants)
        bench.done("small")
        self.assertIn("large", bench.grants)

    def test_longer_answers_than_expected_are_counted(self):
        """Guards against an account that trusts wrong estimates of callers."""
        bench = WideBench([make_view(slots=4)])
        bench.ask("a", prompt=40_000, tokens=10)
        bench.call("progress", Progress("care", {"a": 30_000}), "entry-1")
        bench.ask("b", prompt=40_000, tokens=10)
        self.assertNotIn("b", bench.grants)

    def test_new_owner_counts_what_it_did_not_grant(self):
        """Guards against a full endpoint that counts as empty after a change of owner."""
        bench = WideBench([make_view(slots=4)])
        running = Running(make_ticket("a", prompt=70_000, tokens=100), "a", "v1", 1)
        bench.call("present", Present("care", (), (running,)), "entry-1")
        bench.ask("b", prompt=40_000, tokens=10)
        self.assertNotIn("b", bench.grants)

    def test_endpoint_that_was_not_heard_of_for_a_while(self):
        """Guards against an endpoint that counts as empty though its requests ran on."""
        views = [make_view(slots=4)]
        bench = WideBench(views)
        bench.ask("a", prompt=40_000, tokens=100)
        bench.ask("b", prompt=40_000, tokens=100)
        bench.call("set_endpoints", [])
        bench.done("a")
        bench.call("set_endpoints", views)
        bench.ask("c", prompt=60_000, tokens=100)
        self.assertNotIn("c", bench.grants)
        bench.done("b")
        self.assertIn("c", bench.grants)
        bench.call("set_endpoints", [])
        bench.done("c")
        self.assertEqual(bench.scheduler.absent, {})

    def test_new_incarnation_holds_nothing(self):
        """Guards against an endpoint that counts as full after it has started again."""
        bench = WideBench([make_view(slots=4)])
        bench.ask("a", prompt=80_000, tokens=100)
        bench.call("set_endpoints", [])
        bench.call("set_endpoints", [make_view(slots=4, incarnation=2)])
        bench.ask("b", prompt=80_000, tokens=100)
        self.assertIn("b", bench.grants)

    def test_loss_of_a_full_endpoint_is_recorded(self):
        """Guards against a crash for lack of memory that looks like the fault of a request."""
        for prompt, losses in ((1_000, 0), (85_000, 1)):
            with self.subTest(prompt=prompt):
                bench = WideBench([make_view(slots=4)])
                bench.ask("a", prompt=prompt, tokens=100)
                bench.call("set_endpoints", [make_view(slots=4, incarnation=2)])
                found = [(lost.endpoint, lost.requests) for lost in bench.scheduler.lost_while_full]
                self.assertEqual(found, losses * [("a", 1)])

    def test_account_is_empty_after_all_requests(self):
        """Guards against tokens that stay in the account, and fill it with time."""
        bench = WideBench([make_view(slots=8)])
        rng = random.Random(3)
        running = []
        for number in range(400):
            name = f"r{number}"
            bench.ask(name, prompt=rng.randrange(1, 30_000), tokens=rng.randrange(1, 2_000))
            running += [name] if name in bench.grants else []
            memory = bench.scheduler.states["a"].memory
            self.assertLessEqual(memory.held, (1 - MARGIN) * MEMORY)
            if len(running) > 5:
                bench.done(running.pop(rng.randrange(len(running))))
            running = [name for name in bench.grants if name in bench.scheduler.running]
        while bench.scheduler.running:
            bench.done(next(iter(bench.scheduler.running)))
        self.assertEqual(memory.held, 0.0)

    def test_endpoint_without_stated_memory_takes_any_request(self):
        """Guards against another choice where no memory is stated."""
        bench = WideBench([make_view(slots=4)])
        bench.scheduler.states["a"].memory.set_capacity(0)
        for name in "abcd":
            bench.ask(name, prompt=MEMORY, tokens=100)
        self.assertEqual(len(bench.grants), 4)


if __name__ == "__main__":
    unittest.main()
