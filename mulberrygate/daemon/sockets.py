"""Listening sockets that are opened before the parts that serve them are loaded."""

from __future__ import annotations

import socket

# Connections that may wait until they are accepted.
BACKLOG = 1024


def split_address(address: str) -> tuple[str, int]:
    """Return host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class Listeners:
    """Sockets that listen already, by address.

    Explanation
    ===========
    Loading the program takes some tenths of a second. A caller that connects meanwhile waits in the
    backlog instead of losing one of its few tries to a refused connection. An address that can't be
    bound is left to the server that needs it.

    Parameters
    ==========
    bind_errors : dict[str, Exception]
        Why addresses could not be bound, to be logged once there is a log.
    """

    def __init__(self, addresses: tuple[str, ...] = ()):
        self.sockets: dict[str, socket.socket] = {}
        self.bind_errors: dict[str, Exception] = {}
        for address in addresses:
            self._open(address)

    def _open(self, address: str) -> None:
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind(split_address(address))
            listener.listen(BACKLOG)
        except (OSError, ValueError, OverflowError) as error:
            listener.close()
            self.bind_errors[address] = error
            return
        listener.setblocking(False)
        self.sockets[address] = listener

    def get(self, address: str) -> socket.socket | None:
        """Return the socket of an address, ``None`` if there is none."""
        return self.sockets.get(address)
