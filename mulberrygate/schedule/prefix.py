"""Estimate of which endpoint has which prompt prefix cached."""

from __future__ import annotations

from collections import OrderedDict

from mulberrygate.schedule.messages import PREFIX_TOKENS

# Share of an endpoint's KV cache that is assumed to hold the prefixes of own grants; running
# requests and those of other owners use the rest.
GRANTED_CACHE_SHARE = 0.5
# Longer prompts are indexed up to this many prefixes, which bounds the time per grant.
MAX_PREFIXES = 128
# The search for endpoints with shorter cached prefixes stops once this many are found.
MAX_HOLDERS = 6


class PrefixIndex:
    """Endpoints by prefix hash, from cache events and from own grants.

    Explanation
    ===========
    Cache events are late and have gaps, so the prefixes of own grants are assumed to be cached for
    as long as the endpoint's memory can hold them or until an event says otherwise.
    """

    def __init__(self):
        # Endpoint names by prefix, as keys of a dict: the order of a set differs between runs.
        self.holders: dict[str, dict[str, None]] = {}
        # Prefixes by endpoint: those reported, and those expected from grants, oldest first.
        self.reported: dict[str, frozenset[str]] = {}
        self.granted: dict[str, OrderedDict[str, None]] = {}

    def _forget(self, endpoint: str, prefix: str) -> None:
        names = self.holders.get(prefix)
        if names is not None:
            names.pop(endpoint, None)
            if not names:
                del self.holders[prefix]

    def set_reported(self, endpoint: str, prefixes: frozenset[str]) -> None:
        """Replace the prefixes that the endpoint is reported to hold."""
        known = self.reported.get(endpoint, frozenset())
        if prefixes is known or prefixes == known:
            return
        own = self.granted.get(endpoint)
        for prefix in known - prefixes:
            if own:
                own.pop(prefix, None)
            self._forget(endpoint, prefix)
        for prefix in prefixes - known:
            self.holders.setdefault(prefix, {})[endpoint] = None
        self.reported[endpoint] = prefixes

    def add_granted(self, endpoint: str, prefixes: tuple[str, ...], kv_tokens: int) -> None:
        """Record that the endpoint will cache the prefixes of a granted request."""
        own = self.granted.get(endpoint)
        if own is None:
            own = self.granted[endpoint] = OrderedDict()
        for prefix in prefixes[:MAX_PREFIXES]:
            if prefix in own:
                own.move_to_end(prefix)
            else:
                own[prefix] = None
                self.holders.setdefault(prefix, {})[endpoint] = None
        max_prefixes = int(kv_tokens * GRANTED_CACHE_SHARE) // PREFIX_TOKENS
        reported = self.reported.get(endpoint, frozenset())
        while len(own) > max_prefixes:
            prefix, _ = own.popitem(last=False)
            if prefix not in reported:
                self._forget(endpoint, prefix)

    def remove(self, endpoint: str) -> None:
        """Forget an endpoint."""
        for prefix in self.reported.pop(endpoint, frozenset()):
            self._forget(endpoint, prefix)
        for prefix in self.granted.pop(endpoint, ()):
            self._forget(endpoint, prefix)

    def cached_tokens(self, prefixes: tuple[str, ...]) -> dict[str, int]:
        """Return the tokens that are probably cached, by endpoint, most first."""
        found: dict[str, int] = {}
        for index in range(min(len(prefixes), MAX_PREFIXES) - 1, -1, -1):
            names = self.holders.get(prefixes[index])
            if names:
                tokens = (index + 1) * PREFIX_TOKENS
                for name in names:
                    if name not in found:
                        found[name] = tokens
                        if len(found) >= MAX_HOLDERS:
                            return found
        return found
