"""Order of grants: tiers, fairness, reservation, shedding."""

from __future__ import annotations

import unittest

from mulberrygate.schedule import Present, Running, codes
from mulberrygate.schedule.messages import Progress
from mulberrygate.schedule.running import GRANT_DELIVERY_S
from mulberrygate.schedule.tests.support import Bench, make_ticket, make_view
from mulberrygate.tables.model import Pool


def serve(bench, count):
    """End running requests one after another; return all granted requests in order."""
    order = list(bench.grants)
    for _ in range(count):
        bench.now += 1.0
        bench.done(order[-1])
        order = list(bench.grants)
    return order


class TierTest(unittest.TestCase):
    def test_urgent_tier_is_granted_first(self):
        """Guards against granting requests in order of arrival, whatever their tier."""
        bench = Bench([make_view()])
        for name, tier in (("first", 3), ("low", 3), ("middle", 1), ("top", 0)):
            bench.ask(name, tier=tier)
        self.assertEqual(serve(bench, 3), ["first", "top", "middle", "low"])

    def test_lower_tier_leaves_reserved_slots(self):
        """Guards against lower tiers that fill all slots while urgent requests keep coming."""
        bench = Bench([make_view(slots=12)])
        bench.ask("top", tier=0)
        for number in range(20):
            bench.ask(f"low-{number}", tier=3)
        low = [name for name in bench.grants if name.startswith("low")]
        self.assertLess(len(low), 11)
        bench.ask("urgent", tier=0)
        self.assertIn("urgent", bench.grants)

    def test_reservation_ends_without_urgent_requests(self):
        """Guards against slots that stay idle for a tier that sends nothing any more."""
        bench = Bench([make_view(slots=12)])
        bench.ask("top", tier=0)
        bench.done("top")
        bench.now = 100.0
        for number in range(12):
            bench.ask(f"low-{number}", tier=3)
        self.assertEqual(len(bench.grants), 13)

    def test_queue_position_is_kept_for_the_top_tier(self):
        """Guards against urgent requests behind long ones in an engine's queue."""
        bench = Bench([make_view()], Pool(engine_queue=1))
        bench.ask("top", tier=0)
        bench.ask("low", tier=3)
        self.assertNotIn("low", bench.grants)
        bench.ask("next", tier=0)
        self.assertIn("next", bench.grants)


class FairnessTest(unittest.TestCase):
    def serve_two(self, weights=(1.0, 1.0), tokens=(100, 100), count=24):
        """Return how many requests of each of two accounts are granted."""
        bench = Bench([make_view()])
        bench.ask("first", account="z")
        for number in range(40):
            for name, weight, size in zip("xy", weights, tokens, strict=True):
                bench.ask(f"{name}{number}", account=name, weight=weight, tokens=size)
        for _ in range(count):
            name = list(bench.grants)[-1]
            size = {"x": tokens[0], "y": tokens[1]}.get(name[0], 100)
            bench.now += 1.0
            bench.done(name, tokens=size, prompt=size)
        return [sum(name.startswith(account) for name in bench.grants) for account in "xy"]

    def test_equal_accounts_share_equally(self):
        """Guards against one account that takes more than its share."""
        x, y = self.serve_two()
        self.assertLessEqual(abs(x - y), 2)

    def test_weight_counts(self):
        """Guards against weights that have no effect."""
        x, y = self.serve_two(weights=(3.0, 1.0))
        self.assertAlmostEqual(x / y, 3.0, delta=0.8)

    def test_tokens_count_and_not_requests(self):
        """Guards against an account that gains by sending long requests."""
        x, y = self.serve_two(tokens=(400, 100), count=30)
        self.assertAlmostEqual(y / x, 4.0, delta=1.2)

    def test_idle_account_gains_no_credit(self):
        """Guards against an account that starts after an idle time and blocks the others."""
        bench = Bench([make_view()])
        for number in range(30):
            bench.ask(f"x{number}", account="x")
        serve(bench, 15)
        for number in range(15):
            bench.ask(f"y{number}", account="y")
        late = serve(bench, 8)[-8:]
        self.assertGreaterEqual(sum(name.startswith("x") for name in late), 3)

    def test_actual_tokens_replace_the_estimate(self):
        """Guards against an account that gains by estimating too low."""
        bench = Bench([make_view()])
        bench.ask("first", account="z")
        for number in range(30):
            bench.ask(f"x{number}", account="x", tokens=100)
            bench.ask(f"y{number}", account="y", tokens=100)
        for _ in range(20):
            name = list(bench.grants)[-1]
            bench.now += 1.0
            bench.done(name, tokens=700 if name.startswith("x") else 100)
        x, y = (sum(name.startswith(account) for name in bench.grants) for account in "xy")
        self.assertGreater(y, 2 * x)


class ShedTest(unittest.TestCase):
    def setUp(self):
        self.bench = Bench([make_view()], Pool(max_waiting=2, engine_queue=0))
        self.bench.ask("running", tier=3)

    def test_lower_tier_is_evicted_before_an_upper_one_is_refused(self):
        """Guards against refusing an urgent request while others wait."""
        for name, tier in (("low-1", 3), ("low-2", 3), ("top", 0)):
            self.bench.ask(name, tier=tier)
        self.assertEqual(list(self.bench.refused.values()), [codes.EVICTED.number])
        self.assertNotIn("top", self.bench.refused)

    def test_new_request_of_the_lowest_tier_is_refused(self):
        """Guards against evicting an upper tier for a lower one."""
        for name, tier in (("a", 1), ("b", 1), ("low", 3)):
            self.bench.ask(name, tier=tier)
        self.assertEqual(self.bench.refused, {"low": codes.QUEUE_FULL.number})

    def test_eviction_inside_a_tier_is_reported_as_a_full_queue(self):
        """Guards against a refusal that blames a higher tier when there is none."""
        for number in range(5):
            self.bench.ask(f"q{number}", tier=1, deadline=600.0 - number)
        self.assertEqual(set(self.bench.refused.values()), {codes.QUEUE_FULL.number})

    def test_request_past_its_latest_start_is_shed(self):
        """Guards against running requests that miss their deadline anyway."""
        self.bench.ask("short", deadline=5.0, tokens=200)
        self.bench.now = 4.0
        self.bench.call("tick")
        self.assertEqual(self.bench.refused, {"short": codes.DEADLINE_UNREACHABLE.number})

    def test_refusal_is_repeated(self):
        """Guards against an entry that waits for ever after a lost refusal."""
        for name in ("a", "b", "c"):
            self.bench.ask(name, tier=1)
        refused = next(iter(self.bench.refused))
        self.bench.refused.clear()
        self.bench.ask(refused, tier=1)
        self.assertIn(refused, self.bench.refused)

    def test_pool_without_endpoints_refuses(self):
        """Guards against requests that wait until their deadline in a pool without endpoints."""
        self.bench.ask("a", tier=1)
        self.bench.call("set_endpoints", [])
        self.bench.now = 5.0
        self.bench.call("tick")
        self.assertEqual(self.bench.refused, {"a": codes.NO_ENDPOINT.number})


class OwnerTest(unittest.TestCase):
    def test_presented_requests_are_taken_over(self):
        """Guards against oversubscription after a change of owner."""
        bench = Bench([make_view()])
        running = Running(make_ticket("r"), "a", "v1", 3)
        bench.call("present", Present("care", (make_ticket("w"),), (running,)), "entry-1")
        self.assertEqual(bench.grants, {})
        bench.grants["r"] = Bench([make_view()]).call("ask", make_ticket("r"))[0].message
        bench.done("r")
        self.assertIn("w", bench.grants)

    def test_dead_entry_loses_its_queue_but_keeps_the_slots_in_use(self):
        """Guards against grants to a dead entry, and against reusing its slots too early."""
        bench = Bench([make_view()])
        bench.ask("r", entry="dead")
        bench.ask("w", entry="dead")
        bench.ask("live")
        bench.call("forget_entry", "dead")
        self.assertEqual(list(bench.grants), ["r"])
        bench.now = 60.0
        bench.call("tick")
        self.assertEqual(list(bench.grants), ["r", "live"])

    def test_lost_grant_is_repeated(self):
        """Guards against a second grant, or none, when the first was lost."""
        bench = Bench([make_view(slots=2)])
        first = bench.ask("r")
        self.assertEqual(bench.ask("r"), first)

    def test_late_ask_after_withdrawal_is_ignored(self):
        """Guards against a grant to a request that nobody waits for."""
        bench = Bench([make_view()])
        bench.call("withdraw", "r")
        self.assertEqual(bench.ask("r"), [])


class LostEndTest(unittest.TestCase):
    """Requests whose end was not reported to the owner."""

    def setUp(self):
        self.bench = Bench([make_view(slots=1)], Pool(engine_queue=0))
        for name in ("first", "second"):
            self.bench.ask(name)
        self.assertEqual(list(self.bench.grants), ["first"])
        self.entry = self.bench.scheduler.running["first"].ticket.entry

    def report(self, *held, entry=None):
        """Report the requests that an entry still holds."""
        message = Progress("care", {}, held, True)
        self.bench.call("progress", message, entry or self.entry)

    def test_slot_of_a_request_that_its_entry_does_not_hold_is_free(self):
        """A slot stayed taken when the message about the request's end got lost."""
        self.bench.now += GRANT_DELIVERY_S + 0.1
        self.report("second")
        self.assertEqual(list(self.bench.grants), ["first", "second"])

    def test_slot_of_a_request_that_runs_is_kept(self):
        """Guards against a report that releases the slot of a running request."""
        self.bench.now += GRANT_DELIVERY_S + 0.1
        self.report("first", "second")
        self.assertEqual(list(self.bench.grants), ["first"])

    def test_grant_in_transit_is_kept(self):
        """Guards against releasing a grant on a report sent before the grant arrived."""
        self.report("second")
        self.assertEqual(list(self.bench.grants), ["first"])

    def test_report_of_another_entry_changes_nothing(self):
        """Guards against an entry's report that releases slots of another entry's requests."""
        self.bench.now += GRANT_DELIVERY_S + 0.1
        self.report(entry="other")
        self.assertEqual(list(self.bench.grants), ["first"])


if __name__ == "__main__":
    unittest.main()
