"""Choice of the ways to an endpoint: a direct connection, or a tunnel through another entry.

Explanation
===========
An entry may lose its links to endpoints while other entries keep theirs. It can't tell that from an
endpoint that has ended, but another entry can: each entry opens connections on behalf of others.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence

import attrs

# The direct way has no other entry in between.
DIRECT = ""
# Entries that are tried for one connection.
MAX_RELAYS = 4
# Time after which an entry that opened no connection is asked again, and after which the direct way
# to an endpoint that is reached through another entry is tried again.
RELAY_RETRY_S = 2.0
DIRECT_RETRY_S = 1.0
# Time for which an endpoint that no way has reached is tried only directly.
UNREACHABLE_S = 1.0


@attrs.define
class AddressState:
    """What the last attempts have shown of one endpoint's address.

    Parameters
    ==========
    relay : str
        Entry through which it was reached last, empty if it was reached directly.
    direct_tried_at : float
        Monotonic time of the last direct attempt while it is reached through another entry.
    unreachable_until : float
        Monotonic time until which only the direct way is tried.
    """

    relay: str = DIRECT
    direct_tried_at: float = -math.inf
    unreachable_until: float = -math.inf


class Paths:
    """Ways to the addresses of endpoints, in the order in which they are tried.

    Parameters
    ==========
    instance : str
        This entry.
    rng : random.Random
        Spreads the connections over the other entries.

    Attributes
    ==========
    addresses : dict[str, AddressState]
        State of the addresses that are not simply reached directly.
    avoided_until : dict[str, float]
        Monotonic time until which an entry is not asked, since it opened no connection.

    Examples
    ========
    >>> import random
    >>> from mulberrygate.forward.paths import Paths
    >>> paths = Paths("a", random.Random(0))
    >>> paths.plan("10.0.0.9:80", ["a", "b"], 0.0)
    ['', 'b']
    >>> paths.record_open("10.0.0.9:80", "b", 0.0)
    >>> paths.plan("10.0.0.9:80", ["a", "b"], 0.5)
    ['b', '']
    >>> paths.record_open("10.0.0.9:80", "", 1.5)
    >>> paths.plan("10.0.0.9:80", ["a", "b"], 1.5)
    ['', 'b']
    """

    def __init__(self, instance: str, rng: random.Random):
        self.instance = instance
        self.rng = rng
        self.addresses: dict[str, AddressState] = {}
        self.avoided_until: dict[str, float] = {}

    def plan(self, address: str, entries: Sequence[str], now: float) -> list[str]:
        """Return the ways to try in turn: `DIRECT`, or the name of another entry.

        Parameters
        ==========
        entries : Sequence[str]
            Live entries.
        """
        state = self.addresses.get(address)
        if state is not None and now < state.unreachable_until:
            return [DIRECT]
        relays = self._choose_relays(entries, now)
        if state is None or not state.relay or not relays:
            return [DIRECT, *relays]
        if now - state.direct_tried_at < DIRECT_RETRY_S:
            return [relays[0], DIRECT, *relays[1:]]
        state.direct_tried_at = now
        return [DIRECT, *relays]

    def is_direct_doubtful(self, address: str) -> bool:
        """Return whether the direct way failed last, so that others should not wait for it."""
        state = self.addresses.get(address)
        return state is not None and bool(state.relay)

    def _choose_relays(self, entries: Sequence[str], now: float) -> list[str]:
        """Return entries to ask, in random order; those that have opened connections come first."""
        others = [name for name in entries if name != self.instance]
        usable = [name for name in others if self.avoided_until.get(name, -math.inf) <= now]
        # Without anybody to ask, lost links can't be told from an endpoint that has ended.
        usable = usable or others
        proven = {state.relay for state in self.addresses.values()}
        self.rng.shuffle(usable)
        usable.sort(key=lambda name: name not in proven)
        return usable[:MAX_RELAYS]

    def record_open(self, address: str, way: str, now: float) -> None:
        """Record the way on which a connection was made."""
        if way == DIRECT:
            self.addresses.pop(address, None)
            return
        state = self.addresses.setdefault(address, AddressState(direct_tried_at=now))
        state.relay = way
        state.unreachable_until = -math.inf
        self.avoided_until.pop(way, None)

    def record_relay_failure(self, relay: str, now: float) -> None:
        """Record that an entry opened no connection, although others do or it can't itself."""
        self.avoided_until[relay] = now + RELAY_RETRY_S

    def record_unreachable(self, address: str, now: float) -> None:
        """Record that no way has reached an address."""
        self.addresses[address] = AddressState(unreachable_until=now + UNREACHABLE_S)

    def count_relayed(self) -> int:
        """Return how many endpoints are reached through other entries."""
        return sum(bool(state.relay) for state in self.addresses.values())

    def retain(self, addresses: set[str], now: float) -> None:
        """Drop what is known of other addresses, and of entries that may be asked again."""
        self.addresses = {a: state for a, state in self.addresses.items() if a in addresses}
        self.avoided_until = {n: at for n, at in self.avoided_until.items() if at > now}
