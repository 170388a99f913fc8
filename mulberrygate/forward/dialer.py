"""Connections to endpoints, directly or through a tunnel of another entry."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable, Sequence

import aiohttp

from mulberrygate.core.http_client import StrictConnector
from mulberrygate.forward.paths import DIRECT, Paths
from mulberrygate.forward.tunnel import TunnelResult, encode_greeting, set_keepalive

# A live endpoint accepts within a round trip; one that is down or partitioned never does.
CONNECT_TIMEOUT_S = 0.4
# Longest time for all ways together.
ALL_WAYS_TIMEOUT_S = 0.6
# Head start of one way before the next one is tried beside it; several round trips between regions.
NEXT_WAY_S = 0.08
# Head start of the direct way where it failed last.
DOUBTFUL_WAY_S = 0.03
# Entries that must have found an endpoint unreachable before it counts as such. One alone may have
# lost its links in the same moment.
VERDICTS = 2


class NoWay(OSError):
    """An endpoint was reached neither directly nor through another entry.

    Parameters
    ==========
    is_endpoint_down : bool
        Whether others have found the endpoint unreachable as well.
    """

    def __init__(self, is_endpoint_down: bool):
        super().__init__("no way leads to the endpoint")
        self.is_endpoint_down = is_endpoint_down


class NoTunnel(OSError):
    """Another entry opened no connection to the endpoint.

    Parameters
    ==========
    result : bytes
        Value of a `TunnelResult`, empty if the entry closed the connection.
    """

    def __init__(self, entry: str, result: bytes):
        super().__init__(f"{entry} opened no connection: {result!r}")
        self.result = result

    @property
    def is_verdict(self) -> bool:
        """Whether the other entry found the endpoint unreachable, and not just refused to try."""
        return self.result in (TunnelResult.REFUSED.value, TunnelResult.SILENT.value)


async def connect_directly(host: str, port: int) -> socket.socket:
    """Return a socket that is connected to an address.

    Raises
    ======
    OSError
        The connection was refused or can't be made.
    """
    connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    connection.setblocking(False)
    try:
        await asyncio.get_running_loop().sock_connect(connection, (host, port))
    except BaseException:
        connection.close()
        raise
    return connection


class Dialer:
    """Opens connections to endpoints.

    Explanation
    ===========
    The ways are tried one after the other with a head start each, and the first that is open is
    used. No byte of a request is sent before, so a request goes out at most once.

    Parameters
    ==========
    paths : Paths
        Chooses the ways.
    list_entries : Callable[[], Sequence[str]]
        Returns the live entries.
    tunnel_port : int or None
        Port of all entries' tunnels, ``None`` to connect only directly.
    now : Callable[[], float]
        Monotonic clock in seconds.
    on_way : Callable[[str, str], None]
        Called with an endpoint's address and the entry through which it is reached from now on,
        empty for directly.
    connect : Callable
        Coroutine function that returns a socket that is connected directly to a host and a port.
    """

    def __init__(
        self,
        paths: Paths,
        list_entries: Callable[[], Sequence[str]],
        tunnel_port: int | None,
        now: Callable[[], float],
        on_way: Callable[[str, str], None] = lambda address, way: None,
        connect: Callable = connect_directly,
    ):
        self.paths = paths
        self.list_entries = list_entries
        self.tunnel_port = tunnel_port
        self.now = now
        self.on_way = on_way
        self.connect = connect

    async def open(self, host: str, port: int) -> tuple[socket.socket, str]:
        """Return a connected socket, and the entry through which it leads, empty for none.

        Raises
        ======
        NoWay
            This entry doesn't reach the endpoint, and others haven't found it unreachable.
        OSError
            The endpoint refused the connection.
        TimeoutError
            No way has led to the endpoint in time.
        """
        address = f"{host}:{port}"
        entries = self.list_entries() if self.tunnel_port is not None else ()
        ways = self.paths.plan(address, entries, self.now())
        was_relayed = self.paths.is_direct_doubtful(address)
        head_start_s = DOUBTFUL_WAY_S if was_relayed else NEXT_WAY_S
        race = Race(lambda way: self._try(way, host, port), ways, head_start_s)
        limit_s = ALL_WAYS_TIMEOUT_S if len(ways) > 1 else CONNECT_TIMEOUT_S
        try:
            async with asyncio.timeout(limit_s):
                connection, way = await race.run()
        except (OSError, TimeoutError) as error:
            if len(ways) > 1 and not self._record_failures(race, address):
                raise NoWay(is_endpoint_down=False) from error
            raise
        for failed in race.failures:
            if failed != DIRECT:
                self.paths.record_relay_failure(failed, self.now())
        self.paths.record_open(address, way, self.now())
        if was_relayed != (way != DIRECT):
            self.on_way(address, way)
        return connection, way

    def _record_failures(self, race: Race, address: str) -> bool:
        """Record that no way was open; return whether the endpoint counts as unreachable."""
        now = self.now()
        if race.is_decided:
            self.paths.record_unreachable(address, now)
            return True
        for way in race.failures:
            if way != DIRECT:
                self.paths.record_relay_failure(way, now)
        return False

    async def _try(self, way: str, host: str, port: int) -> socket.socket:
        if way == DIRECT:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                return await self.connect(host, port)
        connection = await connect_directly(way, self.tunnel_port)
        try:
            set_keepalive(connection)
            loop = asyncio.get_running_loop()
            await loop.sock_sendall(connection, encode_greeting(f"{host}:{port}"))
            answer = await loop.sock_recv(connection, 1)
            if answer != TunnelResult.OPEN.value:
                raise NoTunnel(way, answer)
        except BaseException:
            connection.close()
            raise
        return connection


class Race:
    """Attempts that start one after the other; the first that succeeds wins.

    Attributes
    ==========
    relays : int
        Number of ways through other entries.
    failures : dict[str, OSError]
        Ways that have failed so far.
    """

    def __init__(self, attempt: Callable, ways: Sequence[str], head_start_s: float):
        self.attempt = attempt
        self.ways = deque(ways)
        self.relays = sum(way != DIRECT for way in ways)
        self.head_start_s = head_start_s
        self.running: dict[asyncio.Task, str] = {}
        self.failures: dict[str, OSError] = {}

    async def run(self) -> tuple[socket.socket, str]:
        """Return the first open socket and its way.

        Raises
        ======
        OSError
            All ways have failed; the error of the direct one, if it was tried.
        """
        try:
            while self.ways or self.running:
                if self.ways:
                    way = self.ways.popleft()
                    self.running[asyncio.ensure_future(self.attempt(way))] = way
                done, _ = await asyncio.wait(
                    self.running,
                    timeout=self.head_start_s if self.ways else None,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for task in done:
                    way = self.running.pop(task)
                    error = task.exception()
                    if error is None:
                        return task.result(), way
                    if not isinstance(error, OSError):
                        raise error
                    self.failures[way] = error
                if self.is_decided:
                    self._drop_relays()
        finally:
            for task in self.running:
                task.add_done_callback(close_result)
                task.cancel()
        raise self.failures.get(DIRECT) or ConnectionRefusedError("no way is open")

    @property
    def is_decided(self) -> bool:
        """Whether enough other entries have found the endpoint unreachable."""
        failures = self.failures.values()
        verdicts = sum(isinstance(e, NoTunnel) and e.is_verdict for e in failures)
        return self.relays > 0 and verdicts >= min(VERDICTS, self.relays)

    def _drop_relays(self) -> None:
        """End the attempts through other entries."""
        self.ways = deque(way for way in self.ways if way == DIRECT)
        for task in [task for task, way in self.running.items() if way != DIRECT]:
            del self.running[task]
            task.add_done_callback(close_result)
            task.cancel()


def close_result(task: asyncio.Task) -> None:
    """Close the socket of an attempt that came too late."""
    if not task.cancelled() and task.exception() is None:
        task.result().close()


class DialedConnector(StrictConnector):
    """Connector whose connections are opened by a `Dialer`."""

    def __init__(self, dialer: Dialer, *arguments, **options):
        super().__init__(*arguments, **options)
        self.dialer = dialer

    async def _wrap_create_connection(
        self,
        *arguments,
        addr_infos,
        req,
        timeout,
        client_error=aiohttp.ClientConnectorError,
        **options,
    ):
        """Open a connection in place of the library."""
        host, port = addr_infos[0][4][:2]
        try:
            connection, way = await self.dialer.open(host, port)
            transport, protocol = await self._loop.create_connection(
                *arguments, **options, sock=connection
            )
        except TimeoutError:
            raise
        except OSError as error:
            raise client_error(req.connection_key, error) from error
        protocol.relay = way
        return transport, protocol
