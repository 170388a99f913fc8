"""Tests of the lookup of routes, accounts and tiers."""

from __future__ import annotations

import unittest

from mulberrygate.catalog import (
    Catalog,
    CatalogIndex,
    ClientAccount,
    RetryPolicy,
    RouteRule,
    WeightedPool,
)
from mulberrygate.catalog.index import MAX_TIERS
from mulberrygate.schedule.scheduler import WIDE_TIERS

POOLS = (WeightedPool("care", 1.0),)


def rule(name, prefix, tier=2, pools=POOLS):
    """Return a route of one host."""
    return RouteRule(name, "a.example", prefix, RetryPolicy.STREAM, pools, 5.0, tier=tier)


class TestRoutes(unittest.TestCase):
    """Selection by host and path."""

    def test_query_is_no_part_of_the_path(self):
        """A slash in the query selected a route of its own."""
        index = CatalogIndex(Catalog(1, (rule("notes", "/notes/"),)))
        self.assertEqual(index.route("a.example", "/notes/?next=/other/").name, "notes")
        self.assertIsNone(index.route("a.example", "/?next=/notes/"))

    def test_path_without_its_last_slash_is_another_path(self):
        """``/notes`` was served by the route of ``/notes/``."""
        index = CatalogIndex(Catalog(1, (rule("notes", "/notes/"),)))
        self.assertIsNone(index.route("a.example", "/notes"))

    def test_pool_without_weight_gets_nothing(self):
        """A pool of weight 0 got requests whose point was at the end of the range."""
        pools = (WeightedPool("old", 0.0), WeightedPool("new", 1.0))
        index = CatalogIndex(Catalog(1))
        chosen = {index.choose_pool(rule("r", "/", pools=pools), str(n)) for n in range(200)}
        self.assertEqual(chosen, {"new"})

    def test_split_follows_the_weights(self):
        """All requests of a split route went to its first pool."""
        pools = (WeightedPool("old", 90.0), WeightedPool("new", 10.0))
        index = CatalogIndex(Catalog(1))
        chosen = [index.choose_pool(rule("r", "/", pools=pools), f"id-{n}") for n in range(2000)]
        self.assertTrue(0.05 < chosen.count("new") / 2000 < 0.15)


class TestTiers(unittest.TestCase):
    """Urgency of accounts and routes."""

    def setUp(self):
        self.routes = (rule("a", "/a/", 0), rule("b", "/b/", 1), rule("c", "/c/", 2))

    def index(self, *tiers):
        """Return the index of a catalog with accounts of these tiers."""
        accounts = tuple(ClientAccount(f"x{n}", (f"k{n}",), tier) for n, tier in enumerate(tiers))
        return CatalogIndex(Catalog(1, self.routes, (), accounts))

    def test_routes_differ_within_one_tier_of_accounts(self):
        """Accounts of one tier hid the urgency of routes, and write-ups waited behind lookups."""
        index = self.index(1, 1)
        account = index.account("k0")
        self.assertEqual([index.tier(route, account) for route in self.routes], [0, 1, 2])

    def test_account_goes_before_route(self):
        """A route's urgency went before its account's."""
        index = self.index(0, 3)
        urgent, other = index.account("k0"), index.account("k1")
        self.assertLess(index.tier(self.routes[2], urgent), index.tier(self.routes[0], other))

    def test_tiers_stay_in_the_schedulers_range(self):
        """Many combinations led to a tier that the scheduler doesn't have."""
        index = self.index(0, 1, 2, 3, 7, None)
        for route in self.routes:
            for account in [*index.accounts.values(), None]:
                self.assertIn(index.tier(route, account), range(WIDE_TIERS))

    def test_urgencies_of_routes_stay_apart_under_two_accounts(self):
        """Write-ups and short notes of one account shared a tier."""
        index = self.index(0, 1)
        tiers = [index.tier(r, a) for a in index.accounts.values() for r in self.routes]
        self.assertEqual(tiers, [0, 1, 2, 3, 4, 5])

    def test_scheduler_knows_as_many_tiers(self):
        """The catalog named tiers that the scheduler doesn't have."""
        self.assertEqual(MAX_TIERS, WIDE_TIERS)


if __name__ == "__main__":
    unittest.main()
