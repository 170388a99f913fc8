"""Connections without a request in work, and which of them goes first when places are short."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from mulberrygate.daemon.bounded_connection import BoundedConnection

# Connections that are looked at when one has to go.
MOST_TRIES = 32


class IdleConnections:
    """Connections of a server without a request in work.

    Attributes
    ==========
    new, kept : dict[BoundedConnection, float]
        Connections without a request so far, and those kept for further requests, the longest idle
        first, with the monotonic time in seconds since when.
    unread : dict[BoundedConnection, tuple[float, Any]]
        Connections whose request was answered before its body had arrived, the longest answered
        first, with the time of the answer and the body. The HTTP library waits for the rest of it.
    """

    def __init__(self):
        self.new: dict[BoundedConnection, float] = {}
        self.kept: dict[BoundedConnection, float] = {}
        self.unread: dict[BoundedConnection, tuple[float, Any]] = {}

    def forget(self, connection: BoundedConnection) -> None:
        """Remove a connection that has a request or is closed."""
        for connections in (self.new, self.kept, self.unread):
            connections.pop(connection, None)

    def find_silent(
        self, newest: BoundedConnection, now: float
    ) -> tuple[float, BoundedConnection] | None:
        """Return the connection on which a head or the rest of a body is missing for longest.

        Parameters
        ==========
        newest : BoundedConnection
            Connection that is not to be returned.

        Returns
        =======
        tuple or None
            Since when, and the connection.
        """
        self._keep_read(now)
        found = []
        connection = find_idle(self.new, newest)
        if connection is not None:
            found.append((self.new[connection], connection))
        connection = find_idle(self.unread, newest)
        if connection is not None:
            found.append((self.unread[connection][0], connection))
        return min(found, key=lambda item: item[0], default=None)

    def find_kept(self, newest: BoundedConnection) -> BoundedConnection | None:
        """Return the connection that was kept without a request for longest."""
        return find_idle(self.kept, newest)

    def _keep_read(self, now: float) -> None:
        """Count connections whose body has arrived since the answer as kept ones."""
        first = [item for item, _ in zip(self.unread, range(MOST_TRIES), strict=False)]
        for connection in first:
            if self.unread[connection][1].is_eof():
                del self.unread[connection]
                self.kept[connection] = now


def find_idle(
    connections: Mapping[BoundedConnection, Any], newest: BoundedConnection
) -> BoundedConnection | None:
    """Return the first connection on which nothing is being sent or worked on."""
    for connection, _ in zip(connections, range(MOST_TRIES), strict=False):
        if connection is not newest and connection.is_idle:
            return connection
    return None
