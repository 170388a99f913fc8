"""Routes table and pools table: model, parser and checks."""

from mulberrygate.tables.check import check_table
from mulberrygate.tables.model import Account, Move, Pool, PoolsTable, Route, RoutesTable
from mulberrygate.tables.parse import Fault, Faults, ParsedTable, digest_of, parse_table

__all__ = [
    "Account",
    "Fault",
    "Faults",
    "Move",
    "ParsedTable",
    "Pool",
    "PoolsTable",
    "Route",
    "RoutesTable",
    "check_table",
    "digest_of",
    "parse_table",
]
