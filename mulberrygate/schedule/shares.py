"""Shares of a pool's traffic that may go to each version, counted per route."""

from __future__ import annotations

from mulberrygate.core.invariant import invariant
from mulberrygate.schedule.codes import SHARE_EXCEEDED

# Largest credit, in grants, that a version keeps from an unused share. Without this limit a version
# whose endpoints return after a long absence would receive a run of consecutive requests.
LARGEST_CREDIT = 2.0
# Tolerance of credits and counts for rounding errors.
ROUNDING = 1e-9


class RouteShare:
    """Credit of each limited version on one route, and exact counts for the invariant."""

    __slots__ = ("credit", "granted", "total")

    def __init__(self, versions):
        self.credit = dict.fromkeys(versions, 0.0)
        self.granted = dict.fromkeys(versions, 0)
        self.total = 0


class VersionShares:
    """Decide which versions a route's next request may go to.

    Explanation
    ===========
    Each grant on a route adds a version's share to its credit, and a grant to the version takes 1.
    Of any first N grants on a route, a limited version therefore receives at most its share of N.
    The base version takes all requests that the others may not. It isn't limited, since strict
    limits on all versions would block the first request. A version without a share gets nothing.

    Parameters
    ==========
    base : str
        Version that a move starts from; the version with the largest share if it isn't named.

    Examples
    ========
    >>> from mulberrygate.schedule.shares import VersionShares
    >>> shares = VersionShares()
    >>> shares.set({"a": 0.75, "b": 0.25}, base="a")
    >>> taken = []
    >>> for _ in range(8):
    ...     version = "b" if shares.is_allowed("care", "b") else "a"
    ...     shares.count("care", version)
    ...     taken.append(version)
    >>> "".join(taken)
    'aaabaaab'
    """

    def __init__(self):
        self.shares: dict[str, float] = {}
        self.limited: dict[str, float] = {}
        self.base = ""
        self.routes: dict[str, RouteShare] = {}
        # Incremented when the counts are reset; a grant is only taken back from the epoch that
        # counted it.
        self.epoch = 0

    def set(self, shares: dict[str, float], base: str = "") -> None:
        """Replace the shares; credit is kept where a version stays limited."""
        self.shares = dict(shares)
        if shares.get(base, 0.0) <= 0.0:
            base = max(shares, key=lambda version: (shares[version], version), default="")
        limited = {version: share for version, share in shares.items() if version != base}
        if limited != self.limited or base != self.base:
            self.routes.clear()
            self.epoch += 1
        self.base = base
        self.limited = limited

    def _route(self, route: str) -> RouteShare:
        state = self.routes.get(route)
        if state is None:
            state = self.routes[route] = RouteShare(self.limited)
        return state

    def is_allowed(self, route: str, version: str) -> bool:
        """Return whether the route's next request may go to the version."""
        if not self.shares or version == self.base:
            return True
        share = self.limited.get(version, 0.0)
        return share > 0 and self._route(route).credit[version] + share >= 1.0 - ROUNDING

    def due_versions(self, route: str) -> list[str]:
        """Return the limited versions that may have the route's next request."""
        return [version for version in self.limited if self.is_allowed(route, version)]

    def count(self, route: str, version: str) -> None:
        """Count a grant of the route to the version."""
        if not self.shares:
            return
        state = self._route(route)
        state.total += 1
        for limited, share in self.limited.items():
            state.credit[limited] = min(LARGEST_CREDIT, state.credit[limited] + share)
        if version != self.base:
            state.credit[version] -= 1.0
            state.granted[version] += 1
            most = self.limited[version] * state.total + ROUNDING * state.total
            invariant(
                state.granted[version] <= most,
                SHARE_EXCEEDED,
                f"{route}: {state.granted[version]} of {state.total} to {version}",
            )

    def undo_count(self, route: str, version: str, epoch: int) -> None:
        """Take back a grant that was not used.

        Parameters
        ==========
        epoch : int
            Value of `epoch` when the grant was counted.
        """
        state = self.routes.get(route)
        if state is None or epoch != self.epoch:
            return
        state.total -= 1
        for limited, share in self.limited.items():
            state.credit[limited] -= share
        if version in state.credit:
            state.credit[version] = min(LARGEST_CREDIT, state.credit[version] + 1.0)
            state.granted[version] -= 1
