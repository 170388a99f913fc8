"""Real control and entry processes with small limits, and crowds of clients that use them up."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import itertools
import json
import os
import socket
import subprocess
import sys
import tempfile

from mulberrygate.forward.tests.support import HOST, REQUEST_ID, SIGNATURE, document, identifier
from mulberrygate.platform.listen import FILE_VARIABLE
from mulberrygate.standin.local import free_ports

CONTROL = "127.0.0.31"
ENTRY = "127.0.0.32"
# Limits of each process. An entry has some 60 MB resident after its start.
MEMORY_MB = 160
MAX_FDS = 400
BODY_BYTES = 4 << 20
# Each client of a crowd comes back when its connection is closed, up to this number of times.
ROUNDS = 3
ROUND_PAUSE_S = 0.2
START_GAP_S = 0.04
# A crowd presses for this time. It then stays connected until the ordinary request is answered.
CROWD_S = 8.0
SAMPLE_S = 0.05
START_TRIES = 400
ORDINARY_TRIES = 60
ORDINARY_PAUSE_S = 0.5
ORDINARY_TIMEOUT_S = 10.0
SMALL_WINDOW_BYTES = 4096
BIG_ANSWER = bytes(5 << 20)
EVENT = b"data: " + b"x" * 16000 + b"\n\n"
EVENTS = 400
# Time that an endpoint needs for a slow call.
SLOW_CALL_S = 4.0
TRICKLE_BYTES = 100
TRICKLE_PAUSE_S = 1.0
ONE_BYTE_CHUNK = b"1\r\nx\r\n"
request_numbers = itertools.count()


class CrowdEndpoint:
    """Endpoint that answers as the path of a request says and keeps nothing of it."""

    def __init__(self, name):
        self.name = name

    async def start(self):
        """Listen on a port that the system chooses."""
        self.server = await asyncio.start_server(self.serve, HOST, 0, backlog=1024)
        self.address = f"{HOST}:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def serve(self, reader, writer):
        """Read one request and answer it."""
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            for line in head.split(b"\r\n"):
                if line.lower().startswith(b"content-length:"):
                    await reader.readexactly(int(line.split(b":")[1]))
            await self.answer(writer, head)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, writer, head):
        """Write a stream, a large answer or a small one."""
        lines = [b"HTTP/1.1 200 OK", identifier(head), SIGNATURE.encode() + b": s"]
        path = head.split(b" ", 2)[1]
        if path.endswith(b"/slow"):
            await asyncio.sleep(SLOW_CALL_S)
        if path.startswith(b"/stream/"):
            lines += [b"Content-Type: text/event-stream", b"Transfer-Encoding: chunked"]
            writer.write(b"\r\n".join(lines) + b"\r\n\r\n")
            for number in range(EVENTS):
                event = b"id: %d\n" % (number + 1) + EVENT
                writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
                await writer.drain()
            writer.write(b"0\r\n\r\n")
        else:
            body = BIG_ANSWER if path.endswith(b"/big") else b"done"
            lines.append(b"Content-Length: %d" % len(body))
            writer.write(b"\r\n".join(lines) + b"\r\n\r\n" + body)
        await writer.drain()

    def close(self):
        """Stop listening."""
        self.server.close()


def head_lines(method, path, *more):
    """Return the head of a request with a new identifier."""
    name = f"request-{next(request_numbers)}"
    lines = [f"{method} {path} HTTP/1.1", "Host: a.example", f"{REQUEST_ID}: {name}", *more]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


plain_head = functools.partial(head_lines, "POST", "/plain/1")
big_answer_head = functools.partial(head_lines, "POST", "/plain/big")
stream_head = functools.partial(head_lines, "POST", "/stream/1")
document_head = functools.partial(head_lines, "PUT", "/config")


async def connect(address, window=None):
    """Return reader and writer of a new connection, with a small receive window if asked for."""
    connection = socket.socket()
    connection.setblocking(False)
    if window:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
    host, _, port = address.rpartition(":")
    try:
        await asyncio.get_running_loop().sock_connect(connection, (host, int(port)))
    except BaseException:
        connection.close()
        raise
    return await asyncio.open_connection(sock=connection, limit=SMALL_WINDOW_BYTES)


async def stay(reader):
    """Wait until a connection is closed by the other side, or answered."""
    await reader.read(1)


# Clients. Each gets the address of the process, and returns when its connection was closed. A
# parameter `head` returns the head of a request with some further lines.


async def send_body_short_of_its_end(address, number, head=plain_head, size=BODY_BYTES):
    """Send a body of legal size with a length, all but its last bytes, and stay."""
    reader, writer = await connect(address)
    try:
        writer.write(head(f"Content-Length: {size}") + bytes(size - 10))
        await writer.drain()
        await stay(reader)
    finally:
        writer.transport.abort()


async def send_chunks_without_end(address, number, head=plain_head):
    """Send a body of legal size in chunks, without the last one, and stay."""
    reader, writer = await connect(address)
    try:
        writer.write(head("Transfer-Encoding: chunked"))
        piece = bytes(65536)
        for _ in range(BODY_BYTES // len(piece) - 1):
            writer.write(b"%x\r\n" % len(piece) + piece + b"\r\n")
            await writer.drain()
        await stay(reader)
    finally:
        writer.transport.abort()


async def send_one_byte_chunks(address, number, head=plain_head):
    """Send a body of legal size in chunks of one byte, without the last one, and stay."""
    reader, writer = await connect(address)
    try:
        writer.write(head("Transfer-Encoding: chunked"))
        pieces = ONE_BYTE_CHUNK * 10_000
        for _ in range(BODY_BYTES // 10_000):
            writer.write(pieces)
            await writer.drain()
        await stay(reader)
    finally:
        writer.transport.abort()


async def send_trickle(address, number, head=plain_head):
    """Send most of a body of legal size, and then some bytes a second."""
    _, writer = await connect(address)
    try:
        writer.write(head(f"Content-Length: {BODY_BYTES}") + bytes(BODY_BYTES * 3 // 4))
        while not writer.is_closing():
            await writer.drain()
            await asyncio.sleep(TRICKLE_PAUSE_S)
            writer.write(bytes(TRICKLE_BYTES))
    finally:
        writer.transport.abort()


async def send_ahead(address, number, head=big_answer_head):
    """Send many requests at once on one connection and read no answer."""
    _, writer = await connect(address, SMALL_WINDOW_BYTES)
    try:
        writer.transport.pause_reading()
        body = bytes(400_000)
        for _ in range(40):
            writer.write(head(f"Content-Length: {len(body)}") + body)
            await writer.drain()
        await asyncio.Event().wait()
    finally:
        writer.transport.abort()


async def send_ahead_of_slow_call(address, number):
    """Send a call that lasts, and behind it most of another one with a body."""
    reader, writer = await connect(address)
    try:
        slow_call = head_lines("POST", "/plain/slow", "Content-Length: 0")
        writer.write(slow_call + plain_head("Content-Length: 400000") + bytes(390_000))
        await writer.drain()
        while await reader.read(SMALL_WINDOW_BYTES):
            pass
    finally:
        writer.transport.abort()


async def read_no_answer(address, number, head=big_answer_head):
    """Ask for a long answer and read none of it.

    The clients come one after the other, so that no answer is given up for those being read.
    """
    await asyncio.sleep(number * START_GAP_S)
    _, writer = await connect(address, SMALL_WINDOW_BYTES)
    try:
        writer.transport.pause_reading()
        writer.write(head("Content-Length: 0"))
        await asyncio.Event().wait()
    finally:
        writer.transport.abort()


async def read_no_stream(address, number):
    """Ask for a long stream and read none of it."""
    await read_no_answer(address, number, stream_head)


async def send_slow_head(address, number, head=plain_head):
    """Send many header lines of legal length and never the end of the head."""
    reader, writer = await connect(address)
    try:
        writer.write(head()[:-2])
        for line in range(100):
            writer.write(b"X-Filler-%d: " % line + b"x" * 15000 + b"\r\n")
            await writer.drain()
        await stay(reader)
    finally:
        writer.transport.abort()


async def send_nothing(address, number):
    """Connect and send no byte."""
    reader, writer = await connect(address)
    try:
        await stay(reader)
    finally:
        writer.transport.abort()


async def send_large_document(address, number, head=document_head):
    """Send a large configuration to a control process, all but its last bytes."""
    await send_body_short_of_its_end(address, number, head, 8 << 20)


async def come_back(client, address, number):
    """Run a client, and again when its connection is closed, for a bounded number of rounds."""
    for _ in range(ROUNDS):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await client(address, number)
        await asyncio.sleep(ROUND_PAUSE_S)


class WatchedProcess:
    """Process whose peak memory and open descriptors are recorded."""

    def __init__(self, process):
        self.process = process
        self.most_descriptors = 0

    def is_alive(self):
        """Return whether the process runs."""
        return self.process.poll() is None

    def peak_mb(self):
        """Return the peak resident memory in MB."""
        with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
            for line in file:
                if line.startswith("VmHWM:"):
                    return int(line.split()[1]) / 1024
        raise ValueError("no VmHWM")

    def sample(self):
        """Record the number of open descriptors."""
        with contextlib.suppress(FileNotFoundError):
            found = len(os.listdir(f"/proc/{self.process.pid}/fd"))
            self.most_descriptors = max(self.most_descriptors, found)

    def close(self):
        """Kill the process."""
        self.process.kill()
        self.process.wait()


def start_site_process(folder, name, fields):
    """Start the site program with its settings in a file."""
    path = os.path.join(folder, f"{name}.json")
    with open(path, "w", encoding="utf-8") as file:
        json.dump(fields, file)
    with open(os.path.join(folder, f"{name}.log"), "wb") as file:
        process = subprocess.Popen(
            [sys.executable, "-m", "mulberrygate.daemon.site"],
            env={**os.environ, FILE_VARIABLE: path},
            stdin=subprocess.DEVNULL,
            stdout=file,
            stderr=file,
            start_new_session=True,
        )
    return WatchedProcess(process)


async def until_done(step):
    """Repeat a call until its status is 200."""
    for _ in range(START_TRIES):
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            if await step() == 200:
                return
        await asyncio.sleep(0.1)
    raise TimeoutError("the system did not start")


async def call(address, head, body=b""):
    """Send a request on a new connection, read the whole answer and return its status."""
    reader, writer = await connect(address)
    try:
        async with asyncio.timeout(ORDINARY_TIMEOUT_S):
            writer.write(head + body)
            answer = bytearray()
            while data := await reader.read(65536):
                answer += data
    finally:
        writer.transport.abort()
    return int(answer.split(b" ", 2)[1]) if answer else 0


async def ask_until_answered(ask):
    """Send an ordinary request as a client that comes back; return the statuses received."""
    statuses = []
    for _ in range(ORDINARY_TRIES):
        try:
            statuses.append(await ask())
        except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError) as error:
            statuses.append(type(error).__name__)
        if statuses[-1] == 200:
            break
        await asyncio.sleep(ORDINARY_PAUSE_S)
    return statuses


async def press(crowd, target, address, ask):
    """Let a crowd press on a process, then send an ordinary request beside it.

    Returns the statuses of the ordinary request.
    """
    tasks = [
        asyncio.ensure_future(come_back(client, address, number))
        for client, count in crowd
        for number in range(count)
    ]
    try:
        loop = asyncio.get_running_loop()
        end = loop.time() + CROWD_S
        while loop.time() < end and target.is_alive():
            target.sample()
            await asyncio.sleep(SAMPLE_S)
        statuses = await ask_until_answered(ask) if target.is_alive() else []
        target.sample()
        return statuses
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def check_process(test, crowd, target, address, ask, memory_mb=MEMORY_MB, max_fds=MAX_FDS):
    """Let a crowd press on a process and check what must hold."""
    before = target.peak_mb()
    statuses = await press(crowd, target, address, ask)
    test.assertTrue(target.is_alive(), "the process has ended")
    peak_mb = target.peak_mb()
    print(
        f"{test.id()}: {before:.0f} MB before, peak {peak_mb:.0f} MB, "
        f"{target.most_descriptors} descriptors, ordinary {statuses}",
        flush=True,
    )
    test.assertLess(peak_mb, memory_mb)
    test.assertLess(target.most_descriptors, max_fds)
    test.assertEqual(statuses[-1], 200, statuses)


class CrowdSite:
    """One control process and one entry, as processes, with endpoints in the test process.

    Parameters
    ==========
    memory_mb, max_fds : int
        Limits of each process.
    padding : int
        Bytes by which the configuration is made longer.
    """

    def __init__(self, memory_mb=MEMORY_MB, max_fds=MAX_FDS, padding=0):
        self.memory_mb = memory_mb
        self.max_fds = max_fds
        self.padding = padding

    async def start(self):
        """Start the processes and wait until an ordinary request is answered."""
        self.folder = tempfile.TemporaryDirectory()
        peer_port, control_port, entry_port, ready_port = free_ports(4)
        self.control_address = f"{CONTROL}:{control_port}"
        self.entry_address = f"{ENTRY}:{entry_port}"
        common = {
            "zone": "a",
            "region": "r",
            "zones": {"a": "r"},
            "internalPorts": [peer_port, peer_port],
            "seeds": [self.control_address],
            "bootstrap": True,
            "limits": {
                "cpuShare": 1,
                "cores": 1,
                "memoryMb": self.memory_mb,
                "maxFds": self.max_fds,
            },
            "faultTolerance": {"machines": 0},
        }
        data = os.path.join(self.folder.name, "data")
        os.mkdir(data)
        self.control = start_site_process(
            self.folder.name,
            "control",
            {
                **common,
                "node": "control",
                "ip": CONTROL,
                "listen": {"control": self.control_address},
                "dataDir": data,
            },
        )
        listen = {"frontend": self.entry_address, "readiness": f"{ENTRY}:{ready_port}"}
        self.entry = start_site_process(
            self.folder.name,
            "entry",
            {**common, "node": "entry", "ip": ENTRY, "listen": listen, "dataDir": None},
        )
        self.service = await CrowdEndpoint("e1").start()
        self.engine = await CrowdEndpoint("e2").start()
        await until_done(self.put_document)
        await until_done(lambda: self.register(self.service, "booking"))
        await until_done(lambda: self.register(self.engine, "care"))
        await until_done(self.call_entry)
        return self

    async def call_control(self, method, path, fields=None):
        """Call the control process and return the status."""
        body = json.dumps(fields).encode() if fields else b""
        more = (f"Content-Length: {len(body)}", "Connection: close")
        return await call(self.control_address, head_lines(method, path, *more), body)

    async def put_document(self):
        """Send the configuration."""
        fields = document(timeoutMs=20000)
        fields["limits"] = {"maxBodyBytes": BODY_BYTES}
        fields["padding"] = "x" * self.padding
        fields["services"][0]["engine"] = {"slots": 200, "stride": 2, "kvCapacityTokens": 10**9}
        return await self.call_control("PUT", "/config", fields)

    async def register(self, endpoint, pool):
        """Send a heartbeat of an endpoint."""
        fields = {
            "service": pool,
            "address": endpoint.address,
            "zone": "a",
            "version": "v1",
            "slots": 200,
            "state": "ready",
            "sequence": 1,
            "born": 1000,
        }
        return await self.call_control("PUT", f"/instances/{endpoint.name}", fields)

    async def call_entry(self):
        """Send one ordinary request to the entry and return the status."""
        body = b"ordinary"
        more = (f"Content-Length: {len(body)}", "Connection: close")
        return await call(self.entry_address, plain_head(*more), body)

    async def read_document(self):
        """Read the configuration from the control process and return the status."""
        return await self.call_control("GET", "/config")

    async def close(self):
        """End the processes."""
        for process in (self.entry, self.control):
            process.close()
        self.service.close()
        self.engine.close()
        self.folder.cleanup()
