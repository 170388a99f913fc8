"""Catalog of routes, pools and client accounts that a control group keeps as one document."""

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
