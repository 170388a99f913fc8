"""Tests of the endpoints of a roster as schedulers see them."""

from __future__ import annotations

import unittest
from types import SimpleNamespace
from unittest import mock

import attrs

from mulberrygate.catalog import BackendPool
from mulberrygate.daemon.placement import RosterDirectory
from mulberrygate.endpoints.roster import Registration, Roster

FIRST = Registration("e1", 1, 1, "care", "10.0.0.1:80", "a")


class TestRosterDirectory(unittest.TestCase):
    """Regions of endpoints, and how long they are cold."""

    def setUp(self):
        self.roster = Roster()
        site = SimpleNamespace(regions={"a": "north", "b": "south"})
        self.directory = RosterDirectory(site, self.roster)
        pool = BackendPool("care", is_engine=True, cold_start_s=3.0, cold_rate=11.0)
        self.directory.pools = {"care": pool}

    def report(self, now, **changes):
        """Record a report."""
        self.roster.record_report(attrs.evolve(FIRST, **changes), now)

    def cold_s(self, now):
        """Return the cold time and the limit in the view of the endpoint."""
        view = self.directory.views("care", now)[0]
        return view.cold_s, view.cold_rate

    def evacuate_and_return(self, failure_domain, now):
        """Evacuate a failure domain and withdraw that."""
        known = self.directory.evacuations
        known.update(known.number + 1, (failure_domain,), (), True, now)
        known.update(known.number + 1, (), ((failure_domain, 0.0),), True, now)

    def test_views_tell_how_long_endpoints_are_cold(self):
        """Guards against schedulers that don't hear of the cold time, or for too long."""
        self.report(10.0, warmup_s=2.0)
        self.assertEqual(self.cold_s(10.5), (1.5, 11.0))
        self.assertEqual(self.directory.count_cold(10.5), 1)
        self.assertEqual(self.cold_s(13.0), (0.0, 11.0))
        self.assertEqual(self.directory.count_cold(13.0), 0)
        self.report(20.0, incarnation=2, states_warmup=False)
        self.assertEqual(self.cold_s(21.0), (2.0, 11.0))

    def test_failure_domain_that_gets_requests_again(self):
        """Guards against full load on endpoints whose news that they became cold is under way."""
        self.report(10.0)
        self.evacuate_and_return("b", 12.0)
        self.assertEqual(self.cold_s(12.0)[0], 0.0)
        self.evacuate_and_return("a", 12.0)
        self.assertEqual(self.cold_s(12.5)[0], 2.5)
        self.assertEqual(self.cold_s(15.5)[0], 0.0)
        self.evacuate_and_return("a", 20.0)
        self.report(20.4, sequence=2)
        self.assertEqual(self.cold_s(20.5)[0], 2.5, "the report may be from before the return")

    def test_regions_with_endpoints(self):
        """Guards against calls refused or kept waiting by a wrong view of where endpoints are."""
        self.assertTrue(self.directory.has_endpoint_in("care", frozenset({"south"})))
        self.report(0.0)
        self.assertTrue(self.directory.has_endpoint_in("care", frozenset({"north"})))
        self.assertFalse(self.directory.has_endpoint_in("care", frozenset({"south"})))
        self.report(0.0, endpoint="e2", address="10.0.0.2:80", failure_domain="b")
        self.assertTrue(self.directory.has_endpoint_in("care", frozenset({"south"})))
        self.directory.silent_endpoints = frozenset({"e2"})
        self.assertFalse(self.directory.has_endpoint_in("care", frozenset({"south"})))

    def test_changes_between_requests(self):
        """Guards against requests that are judged by endpoints, orders or losses of before."""
        directory, south = self.directory, frozenset({"south"})
        self.report(0.0)
        self.assertFalse(directory.has_endpoint_in("care", south))
        self.report(0.0, endpoint="e2", address="10.0.0.2:80", failure_domain="b")
        self.assertTrue(directory.has_endpoint_in("care", south))
        directory.evacuations.update(1, ("b",), (), True, 1.0)
        self.assertFalse(directory.has_endpoint_in("care", south))
        self.assertFalse(directory.is_pool_evacuated("care"))
        directory.evacuations.update(2, ("a", "b"), (), True, 2.0)
        self.assertTrue(directory.is_pool_evacuated("care"))
        directory.evacuations.update(3, (), (), True, 3.0)
        self.assertFalse(directory.is_pool_evacuated("care"))
        self.assertTrue(directory.has_endpoint_in("care", south))
        self.roster.mark_leaving("e2", 1)
        self.assertFalse(directory.has_endpoint_in("care", south))
        self.roster.rows.pop("e1")
        self.assertTrue(directory.has_endpoint_in("care", south), "none is known at all")

    def test_work_for_a_request(self):
        """Guards against a pass over all endpoints for each request, at entries with many."""
        self.report(0.0)
        self.directory.evacuations.update(1, ("a",), (), True, 1.0)
        with mock.patch.object(self.roster, "usable", wraps=self.roster.usable) as usable:
            for _ in range(50):
                self.directory.has_endpoint_in("care", frozenset({"north"}))
                self.directory.is_pool_evacuated("care")
        self.assertLessEqual(usable.call_count, 2)


if __name__ == "__main__":
    unittest.main()
