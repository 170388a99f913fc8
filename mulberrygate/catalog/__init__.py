"""Catalog of routes, pools and client accounts, stored by the control group as one document."""

from mulberrygate.catalog.index import CatalogIndex
from mulberrygate.catalog.model import (
    BackendPool,
    Catalog,
    ClientAccount,
    RequestLimits,
    RetryPolicy,
    RouteRule,
    WeightedPool,
)

__all__ = [
    "BackendPool",
    "Catalog",
    "CatalogIndex",
    "ClientAccount",
    "RetryPolicy",
    "RequestLimits",
    "RouteRule",
    "WeightedPool",
]
