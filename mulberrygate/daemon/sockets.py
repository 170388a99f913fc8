"""Listening sockets that are opened before the servers that accept on them are imported."""

from __future__ import annotations

import resource
import socket

# Connections that may wait to be accepted.
BACKLOG = 1024
# Descriptors of a process that are kept for files.
FILE_DESCRIPTORS = 200


def count_sockets(max_descriptors: int) -> int:
    """Return how many sockets a process may open.

    Parameters
    ==========
    max_descriptors : int
        Descriptors that the operators allow; the operating system may allow fewer.
    """
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if allowed != resource.RLIM_INFINITY:
        max_descriptors = min(max_descriptors, allowed)
    return max_descriptors - FILE_DESCRIPTORS


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an address ``host:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class Listeners:
    """Listening sockets by address, opened at the start of the process.

    Explanation
    ===========
    Importing the program takes some tenths of a second. A caller that connects meanwhile waits in
    the backlog; a refused connection would use up one of its few attempts. For an address that
    can't be bound there is no socket, and the server that needs it opens its own.

    Attributes
    ==========
    bind_errors : dict[str, Exception]
        Errors of the addresses that could not be bound, kept until logging is set up.
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
