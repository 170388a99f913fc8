"""Tables of routes and pools."""

from mulberrygate.tables.model import Account, Move, Pool, PoolsTable, Route, RoutesTable

__all__ = ["Account", "Move", "Pool", "PoolsTable", "Route", "RoutesTable"]
