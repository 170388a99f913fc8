"""Lookup of routes, pools and client accounts of a catalog."""

from __future__ import annotations

import zlib

from mulberrygate.catalog.model import BackendPool, Catalog, ClientAccount, RouteRule

# Number of scheduler tiers that requests are mapped to, as `mulberrygate.schedule.wide.WIDE_TIERS`.
MAX_TIERS = 12


class CatalogIndex:
    """Lookup tables of one catalog for the request path.

    Examples
    ========
    >>> from mulberrygate.catalog import Catalog, CatalogIndex, RetryPolicy, RouteRule, WeightedPool
    >>> pools = (WeightedPool("care", 1.0),)
    >>> short = RouteRule("short", "a.example", "/notes/", RetryPolicy.STREAM, pools, 5.0)
    >>> long = RouteRule("long", "a.example", "/notes/wool/", RetryPolicy.STREAM, pools, 5.0)
    >>> index = CatalogIndex(Catalog(1, (short, long)))
    >>> index.route("a.example", "/notes/wool/7?x=1").name
    'long'
    >>> index.route("a.example", "/other/") is None
    True
    """

    def __init__(self, catalog: Catalog):
        self.catalog = catalog
        self.version = catalog.version
        self.pools: dict[str, BackendPool] = {pool.name: pool for pool in catalog.pools}
        self.accounts: dict[str, ClientAccount] = {a.name: a for a in catalog.accounts}
        self.accounts_by_key: dict[str, ClientAccount] = {}
        for account in catalog.accounts:
            self.accounts_by_key.update(dict.fromkeys(account.keys, account))
        self.tier_pairs = self._tier_pairs()
        self.routes_by_host: dict[str, dict[str, RouteRule]] = {}
        for route in catalog.routes:
            self.routes_by_host.setdefault(route.host, {})[route.path_prefix] = route

    def _tier_pairs(self) -> list[tuple[int, int]]:
        """Return the pairs of account tier and route tier that can occur, most urgent first.

        Requests without an account tier count with their route's tier in both places.
        """
        account_tiers = [
            account.tier for account in self.catalog.accounts if account.tier is not None
        ]
        has_untiered = not account_tiers or len(account_tiers) < len(self.catalog.accounts)
        tiers = {route.tier for route in self.catalog.routes}
        tier_pairs = {(first, second) for first in account_tiers for second in tiers}
        if has_untiered:
            tier_pairs |= {(tier, tier) for tier in tiers}
        return sorted(tier_pairs)

    def tier(self, route: RouteRule, account: ClientAccount | None) -> int:
        """Return the scheduler's tier of a request.

        Explanation
        ===========
        Requests are ordered by the tier of their account, then by the tier of their route. The
        pairs that can occur in the catalog are spread over the scheduler's tiers.
        """
        account_tier = account.tier if account is not None else None
        pair = (route.tier if account_tier is None else account_tier, route.tier)
        position = sum(known < pair for known in self.tier_pairs)
        if len(self.tier_pairs) <= MAX_TIERS:
            return min(position, MAX_TIERS - 1)
        return min(position * MAX_TIERS // len(self.tier_pairs), MAX_TIERS - 1)

    @property
    def needs_keys(self) -> bool:
        """Whether requests must carry the API key of a client account."""
        return bool(self.accounts)

    def route(self, host: str, path: str) -> RouteRule | None:
        """Return the route with the longest matching path prefix, ``None`` if none matches."""
        prefixes = self.routes_by_host.get(host.lower())
        if not prefixes:
            return None
        end = len(path.partition("?")[0])
        while end > 0:
            end = path.rfind("/", 0, end)
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def account(self, key: str) -> ClientAccount | None:
        """Return the client account of an API key, ``None`` if the key is unknown."""
        return self.accounts_by_key.get(key)

    def home_regions(
        self, route: RouteRule, account: ClientAccount | None
    ) -> frozenset[str] | None:
        """Return the regions in which a request may be served, ``None`` for any.

        Explanation
        ===========
        If both the route and the account have home regions, both bind. The result is empty if they
        have none in common.
        """
        limits = [route.home_regions, account.home_regions if account is not None else ()]
        homes = [frozenset(regions) for regions in limits if regions]
        return frozenset.intersection(*homes) if homes else None

    def choose_pool(self, route: RouteRule, request: str) -> str:
        """Return the pool of a request, chosen by weight.

        The choice is a hash of the request's identifier, so every entry makes the same one.
        """
        pools = [item for item in route.pools if item.weight > 0]
        if len(pools) == 1:
            return pools[0].pool
        total = sum(item.weight for item in pools)
        point = zlib.crc32(request.encode()) / 2**32 * total
        for item in pools:
            point -= item.weight
            if point < 0:
                return item.pool
        return pools[-1].pool
