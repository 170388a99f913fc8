"""Decoded form of the configuration in force on this instance."""

from __future__ import annotations

from mulberrygate.control.commands import EvacuationState, MoveState, TableState
from mulberrygate.control.configuration import Configuration
from mulberrygate.control.state import SECTIONS, decode_value
from mulberrygate.ledger.views import Shard
from mulberrygate.tables.model import Account, Pool, Route


class DecodedConfiguration:
    """Decoded entries of a configuration, rebuilt when its revision rises.

    Explanation
    ===========
    Only entries whose revision changed are decoded again, so the cost depends on the size of the
    change and not on the size of the tables.
    """

    def __init__(self, configuration: Configuration):
        self.configuration = configuration
        self.decoded: dict[tuple[str, str], tuple[int, object]] = {}
        self.revision = -1
        self.routes: dict[str, Route] = {}
        self.accounts: dict[str, Account] = {}
        self.account_by_token: dict[str, str] = {}
        self.pools: dict[str, Pool] = {}
        self.tables: dict[str, TableState] = {}
        self.moves: dict[str, MoveState] = {}
        self.shards: dict[str, Shard] = {}
        self.shard_domains: frozenset[str] = frozenset()
        self.evacuations: dict[str, EvacuationState] = {}
        self.refresh()

    def refresh(self) -> bool:
        """Decode changed entries; return whether the configuration's revision had changed."""
        if self.configuration.revision == self.revision:
            return False
        self.revision = self.configuration.revision
        decoded: dict[tuple[str, str], tuple[int, object]] = {}
        for key, entry in self.configuration.entries.items():
            if entry.section not in SECTIONS:
                # A newer release may deliver sections that this one does not know.
                continue
            known = self.decoded.get(key)
            if known is None or known[0] != entry.revision:
                known = (entry.revision, decode_value(entry.section, entry.body))
            decoded[key] = known
        self.decoded = decoded
        self.routes = self._section("routes")
        self.accounts = self._section("accounts")
        self.pools = self._section("pools")
        self.tables = self._section("tables")
        self.moves = self._section("moves")
        self.shards = self._section("shards")
        self.shard_domains = frozenset(s.failure_domain for s in self.shards.values())
        self.evacuations = self._section("evacuations")
        self.account_by_token = {
            token: name for name, account in self.accounts.items() for token in account.token_sha256
        }
        return True

    def _section(self, section: str) -> dict:
        return {name: value for (kind, name), (_, value) in self.decoded.items() if kind == section}
