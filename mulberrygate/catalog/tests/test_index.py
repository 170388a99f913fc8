"""Tests of the lookup of routes, pools and tiers in a catalog."""

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
    """Selection of routes by host and path, and of pools by weight."""

    def test_query_does_not_select_a_route(self):
        """Guards against a path in the query string that selects a route."""
        index = CatalogIndex(Catalog(1, (rule("notes", "/notes/"),)))
        self.assertEqual(index.route("a.example", "/notes/?next=/other/").name, "notes")
        self.assertIsNone(index.route("a.example", "/?next=/notes/"))

    def test_path_without_its_last_slash_is_another_path(self):
        """Guards against ``/notes`` being served by the route of ``/notes/``."""
        index = CatalogIndex(Catalog(1, (rule("notes", "/notes/"),)))
        self.assertIsNone(index.route("a.example", "/notes"))

    def test_pool_without_weight_gets_nothing(self):
        """Guards against rounding that sends requests to a pool of weight 0."""
        pools = (WeightedPool("old", 0.0), WeightedPool("new", 1.0))
        index = CatalogIndex(Catalog(1))
        chosen = {index.choose_pool(rule("r", "/", pools=pools), str(n)) for n in range(200)}
        self.assertEqual(chosen, {"new"})

    def test_split_follows_the_weights(self):
        """Guards against a split route that sends all requests to its first pool."""
        pools = (WeightedPool("old", 90.0), WeightedPool("new", 10.0))
        index = CatalogIndex(Catalog(1))
        chosen = [index.choose_pool(rule("r", "/", pools=pools), f"id-{n}") for n in range(2000)]
        self.assertTrue(0.05 < chosen.count("new") / 2000 < 0.15)


class TestTiers(unittest.TestCase):
    """Scheduler tiers from the tiers of accounts and routes."""

    def setUp(self):
        self.routes = (rule("a", "/a/", 0), rule("b", "/b/", 1), rule("c", "/c/", 2))

    def index(self, *tiers):
        """Return the index of a catalog with accounts of these tiers."""
        accounts = tuple(ClientAccount(f"x{n}", (f"k{n}",), tier) for n, tier in enumerate(tiers))
        return CatalogIndex(Catalog(1, self.routes, (), accounts))

    def test_routes_differ_within_one_tier_of_accounts(self):
        """Guards against routes that share one tier if all accounts have the same tier."""
        index = self.index(1, 1)
        account = index.account("k0")
        self.assertEqual([index.tier(route, account) for route in self.routes], [0, 1, 2])

    def test_account_tier_takes_precedence(self):
        """Guards against a route's tier that takes precedence over the account's."""
        index = self.index(0, 3)
        urgent, other = index.account("k0"), index.account("k1")
        self.assertLess(index.tier(self.routes[2], urgent), index.tier(self.routes[0], other))

    def test_tiers_stay_in_the_schedulers_range(self):
        """Guards against a tier outside the scheduler's range if many pairs of tiers occur."""
        index = self.index(0, 1, 2, 3, 7, None)
        for route in self.routes:
            for account in [*index.accounts.values(), None]:
                self.assertIn(index.tier(route, account), range(WIDE_TIERS))

    def test_routes_differ_under_accounts_of_two_tiers(self):
        """Guards against routes of one account that share a tier though enough are free."""
        index = self.index(0, 1)
        tiers = [index.tier(r, a) for a in index.accounts.values() for r in self.routes]
        self.assertEqual(tiers, [0, 1, 2, 3, 4, 5])

    def test_number_of_tiers_equals_the_schedulers(self):
        """Guards against a catalog that uses tiers that the scheduler doesn't have."""
        self.assertEqual(MAX_TIERS, WIDE_TIERS)


class TestHomeRegions(unittest.TestCase):
    """Regions in which a request may be served."""

    def homes(self, of_route=(), of_account=()):
        """Return the home regions of a request to a route with a client account."""
        pools = (WeightedPool("care", 1.0),)
        route = RouteRule(
            "r", "a.example", "/", RetryPolicy.ONCE, pools, 5.0, home_regions=of_route
        )
        account = ClientAccount("x", ("k",), home_regions=of_account)
        index = CatalogIndex(Catalog(1, (route,), accounts=(account,)))
        return index.home_regions(route, account)

    def test_route_and_account_both_bind(self):
        """Guards against a limit of the route or the account that the other one replaces."""
        self.assertIsNone(self.homes())
        self.assertEqual(self.homes(("n", "s")), {"n", "s"})
        self.assertEqual(self.homes((), ("s",)), {"s"})
        self.assertEqual(self.homes(("n", "s"), ("s", "w")), {"s"})

    def test_no_common_region_is_not_any_region(self):
        """Guards against an empty intersection that counts as no limit."""
        self.assertEqual(self.homes(("n",), ("s",)), frozenset())


if __name__ == "__main__":
    unittest.main()
