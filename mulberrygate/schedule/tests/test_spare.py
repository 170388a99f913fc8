"""Tests of grants to second copies of slow requests."""

from __future__ import annotations

import unittest

from mulberrygate.schedule.codes import NO_SPARE_ROOM
from mulberrygate.schedule.messages import EndpointNotice
from mulberrygate.schedule.tests.support import Bench, make_view


def warm(views, **more):
    """Return a bench whose endpoints have all answered a request."""
    bench = Bench(views, **more)
    for number in range(4 * len(views)):
        bench.ask(f"warm-{number}")
        bench.now += 0.01
    for number in range(4 * len(views)):
        if f"warm-{number}" in bench.grants:
            bench.done(f"warm-{number}", total_s=0.1, first_s=0.1, tokens=1, prompt=1)
    return bench


class TestSpareGrants(unittest.TestCase):
    """One pool scheduler, with requests that ask for a second place."""

    def copy(self, bench, name="r", **ticket):
        """Start a request and ask for a place for its copy; return the first endpoint."""
        bench.ask(name, tokens=1)
        first = bench.endpoint_of(name)
        bench.ask(f"{name}.copy", tokens=1, avoid=(first,), is_spare=True, **ticket)
        return first

    def refusal(self, bench, name="r.copy"):
        """Return the code and the reason of a copy's refusal."""
        return bench.refused[name], bench.scheduler.ended.refusal(name).detail

    def test_other_failure_domain_is_preferred(self):
        """Guards against a copy beside the request whose failure domain is slow."""
        views = [make_view(name, slots=4, domain=name[0]) for name in ("a1", "a2", "a3", "b1")]
        bench = warm(views)
        first = self.copy(bench)
        self.assertNotEqual(bench.endpoint_of("r.copy")[0], first[0])

    def test_same_domain_if_there_is_no_other(self):
        """Guards against no copies at all in a region with one failure domain."""
        bench = warm([make_view("a1", slots=4), make_view("a2", slots=4)])
        first = self.copy(bench)
        self.assertNotEqual(bench.endpoint_of("r.copy"), first)

    def test_copy_stays_in_the_region(self):
        """Guards against copies whose bytes go between regions."""
        bench = warm([make_view("a1", slots=4), make_view("z1", slots=4, region="r2", domain="z")])
        self.copy(bench)
        self.assertEqual(self.refusal(bench), (NO_SPARE_ROOM.number, "no other endpoint"))

    def test_waiting_requests_come_first(self):
        """Guards against a copy that gets a place while requests wait for one."""
        bench = warm([make_view("a1"), make_view("a2")])
        for number in range(3):
            bench.ask(f"r{number}")
        first = bench.endpoint_of("r0")
        bench.ask("copy", avoid=(first,), is_spare=True)
        self.assertEqual(self.refusal(bench, "copy"), (NO_SPARE_ROOM.number, "requests wait"))
        self.assertEqual(len(bench.scheduler.queue), 1)

    def test_last_free_slots_are_kept(self):
        """Guards against copies in the last slots, which other requests need at once."""
        bench = warm([make_view("a1", slots=4), make_view("a2", slots=4)])
        for number in range(7):
            bench.ask(f"r{number}")
        first = bench.endpoint_of("r0")
        bench.ask("copy", avoid=(first,), is_spare=True)
        self.assertEqual(self.refusal(bench, "copy"), (NO_SPARE_ROOM.number, "few free slots"))

    def test_free_slots_of_another_region_do_not_count(self):
        """Guards against copies in a full region because another region is idle."""
        far = make_view("z1", slots=40, region="r2", domain="z")
        bench = warm([make_view("a1", slots=4), make_view("a2", slots=4), far])
        for number in range(7):
            bench.ask(f"r{number}")
        first = next(n for n in (f"r{i}" for i in range(7)) if bench.endpoint_of(n) != "z1")
        bench.ask("copy", avoid=(bench.endpoint_of(first),), is_spare=True)
        self.assertEqual(self.refusal(bench, "copy"), (NO_SPARE_ROOM.number, "few free slots"))

    def test_unsound_endpoint_gets_no_copy(self):
        """Guards against a copy at an endpoint that has just failed or has never answered."""
        bench = warm([make_view("a1", slots=4), make_view("a2", slots=4)])
        first = self.copy(bench)
        bench.done("r.copy", fault="cut")
        bench.ask("second", avoid=(first,), is_spare=True)
        self.assertEqual(bench.refused["second"], NO_SPARE_ROOM.number)
        fresh = Bench([make_view("a1", slots=4), make_view("a2", slots=4)])
        self.copy(fresh)
        self.assertEqual(self.refusal(fresh), (NO_SPARE_ROOM.number, "no other endpoint"))

    def test_pause_and_rate_limit_bar_copies(self):
        """Guards against extra work for a pool whose endpoints ask for less."""
        views = [make_view(name, slots=4) for name in ("a1", "a2", "a3")]
        bench = warm(views)
        paused = (EndpointNotice("a3", 1, pause_s=1.0),)
        self.copy(bench, notices=paused)
        self.assertEqual(self.refusal(bench)[1], "an endpoint's pause")
        limited = (EndpointNotice("a3", 1, rate=5.0, rate_age_s=0.0),)
        self.copy(bench, "q", notices=limited)
        self.assertEqual(self.refusal(bench, "q.copy")[1], "a rate limit")

    def test_version_move_bars_copies(self):
        """Guards against a bad version that gets more than its share through copies."""
        bench = warm([make_view("a1", slots=4), make_view("a2", slots=4, version="v2")])
        bench.call("set_shares", {"v1": 0.9, "v2": 0.1})
        self.copy(bench)
        self.assertEqual(self.refusal(bench)[1], "a version move")

    def test_returned_and_ended_copies_leave_no_trace(self):
        """Guards against slots that stay taken by a copy that was cancelled or never sent."""
        bench = warm([make_view("a1", slots=4), make_view("a2", slots=4)])
        first = self.copy(bench)
        other = bench.scheduler.states[bench.endpoint_of("r.copy")]
        faults = other.consecutive_faults, other.failures.share, other.speed.decode_factor
        self.assertEqual(other.used, 1)
        bench.done("r.copy", total_s=0.2, first_s=0.2, cancelled=True)
        self.assertEqual(other.used, 0)
        after = other.consecutive_faults, other.failures.share, other.speed.decode_factor
        self.assertEqual(faults, after)
        bench.ask("unsent", avoid=(first,), is_spare=True)
        bench.call("withdraw", "unsent")
        self.assertEqual(other.used, 0)

    def test_repeated_ask_gets_the_same_answer(self):
        """Guards against a second place for a copy whose first answer was lost."""
        bench = warm([make_view("a1", slots=4), make_view("a2", slots=4)])
        first = self.copy(bench)
        effects = bench.ask("r.copy", avoid=(first,), is_spare=True)
        self.assertEqual([effect.message.request for effect in effects], ["r.copy"])
        self.assertEqual(len(bench.scheduler.running), 2)


if __name__ == "__main__":
    unittest.main()
