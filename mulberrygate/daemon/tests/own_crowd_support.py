"""A daemon of the product with small limits, and the requests of crowds at it."""

from __future__ import annotations

import asyncio
import functools
import json
import tempfile
import time

from mulberrygate.daemon.tests import crowd_support
from mulberrygate.daemon.tests.crowd_support import CrowdEndpoint, WatchedProcess
from mulberrygate.standin.local import (
    ENDPOINT_TOKEN,
    OPERATOR_TOKEN,
    LocalSystem,
    pools_table,
    routes_table,
    token_of,
)

NAME = "one"
DOMAIN = "a"
ACCOUNT = "field"
SLOTS = 1000
LEASE_S = 30.0
ANNOUNCE_INTERVAL_S = 1.0
TABLE_BYTES = 8 << 20
# A body of 1 MB with 340,000 empty objects, which take more than twenty times that once parsed.
MANY_VALUES = b"[" + b"{}," * 340_000 + b"{}]"
CHAT_PATH = "/v1/chat/completions"


def own_head(method, path, token, *more):
    """Return the head of a request with a bearer token."""
    lines = [f"{method} {path} HTTP/1.1", "Host: a.example", f"Authorization: Bearer {token}"]
    return "\r\n".join([*lines, *more]).encode() + b"\r\n\r\n"


def service_head(path, *more):
    """Return the head of a call of the service."""
    return own_head("POST", f"/services/booking/{path}", token_of(ACCOUNT), *more)


visit_head = functools.partial(service_head, "visits")
big_answer_head = functools.partial(service_head, "big")
announcement_head = functools.partial(own_head, "POST", "/endpoints/announce", ENDPOINT_TOKEN)
table_head = functools.partial(own_head, "POST", "/admin/tables/routes", OPERATOR_TOKEN)


def chat_request(is_stream, metadata=b"{}"):
    """Return a chat completion request with its body."""
    message = {"role": "user", "content": "hello"}
    fields = json.dumps({"model": "advice", "messages": [message], "stream": is_stream}).encode()
    body = fields[:-1] + b', "metadata": ' + metadata + b"}"
    head = own_head("POST", CHAT_PATH, token_of(ACCOUNT), f"Content-Length: {len(body)}")
    return head + body


class OwnCrowdEndpoint(CrowdEndpoint):
    """Endpoint that speaks the product's own protocol; its streams have no end marker."""

    async def answer(self, writer, head):
        """Write a stream, a large answer or a small one."""
        if not head.startswith(b"POST " + CHAT_PATH.encode()):
            await super().answer(writer, head)
            return
        lines = [b"HTTP/1.1 200 OK", b"Content-Type: text/event-stream"]
        writer.write(b"\r\n".join([*lines, b"Connection: close"]) + b"\r\n\r\n")
        request = next(
            line.split(b":", 1)[1].strip()
            for line in head.split(b"\r\n")
            if line.lower().startswith(b"x-request-id:")
        )
        for number in range(crowd_support.EVENTS):
            writer.write(b"id: %s:%d\n" % (request, number) + crowd_support.EVENT)
            await writer.drain()
        await asyncio.Event().wait()


async def send_many_values(address, number):
    """Send a whole body that takes many times its size once it is parsed, and stay."""
    reader, writer = await crowd_support.connect(address)
    try:
        writer.write(chat_request(False, MANY_VALUES))
        await writer.drain()
        await crowd_support.stay(reader)
    finally:
        writer.transport.abort()


async def read_no_stream(address, number):
    """Ask for a long stream and read none of it."""
    await asyncio.sleep(number * crowd_support.START_GAP_S)
    _, writer = await crowd_support.connect(address, crowd_support.SMALL_WINDOW_BYTES)
    try:
        writer.transport.pause_reading()
        writer.write(chat_request(True))
        await asyncio.Event().wait()
    finally:
        writer.transport.abort()


class CrowdDaemon:
    """One daemon of the product, as a process, with endpoints in the test process.

    Parameters
    ==========
    memory_mb, max_fds : int
        Limits of the daemon.
    """

    def __init__(self, memory_mb=crowd_support.MEMORY_MB, max_fds=crowd_support.MAX_FDS):
        self.memory_mb = memory_mb
        self.max_fds = max_fds

    async def start(self):
        """Start the daemon and wait until an ordinary request is answered."""
        self.folder = tempfile.TemporaryDirectory()
        self.system = LocalSystem(self.folder.name)
        self.system.add_daemons(
            {NAME: ("west", DOMAIN)},
            (NAME,),
            memory_mb=self.memory_mb,
            max_descriptors=self.max_fds,
        )
        self.service = await OwnCrowdEndpoint("service-1").start()
        self.engine = await OwnCrowdEndpoint("engine-1").start()
        await self.system.start()
        self.address = self.system.daemons[NAME].http_address
        pools = {"booking": {"kind": "service"}, "care": {"version": "v1"}}
        limit = {"max_body_bytes": crowd_support.BODY_BYTES}
        routes = {
            "booking": {"pool": "booking", "deadline_s": 30, **limit},
            "advice": {"pool": "care", **limit},
        }
        table = routes_table(1, {ACCOUNT: DOMAIN}, routes, **{ACCOUNT: {"max_waiting": 1000}})
        await self.system.apply_and_wait(NAME, pools_table(1, pools))
        await self.system.apply_and_wait(NAME, table)
        await self.system.wait_ready()
        self.announcing = asyncio.ensure_future(self.announce())
        await crowd_support.until_done(self.call_service)
        self.process = WatchedProcess(self.system.daemons[NAME].process)
        return self

    async def announce(self):
        """Announce the endpoints until cancelled."""
        sequence = 0
        while True:
            sequence += 1
            for endpoint, pool, kv_tokens in (
                (self.service, "booking", 0),
                (self.engine, "care", 10**9),
            ):
                fields = {
                    "endpoint": endpoint.name,
                    "incarnation": 1,
                    "sequence": sequence,
                    "address": endpoint.address,
                    "pool": pool,
                    "failure_domain": DOMAIN,
                    "region": "west",
                    "version": "v1",
                    "slots": SLOTS,
                    "kv_tokens": kv_tokens,
                    "lease_s": LEASE_S,
                    "load_at": time.time(),
                }
                body = json.dumps(fields).encode()
                head = announcement_head(f"Content-Length: {len(body)}", "Connection: close")
                try:
                    await crowd_support.call(self.address, head, body)
                except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
                    pass
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    async def call_service(self):
        """Send one ordinary call and return its status."""
        body = b"ordinary"
        head = visit_head(f"Content-Length: {len(body)}", "Connection: close")
        return await crowd_support.call(self.address, head, body)

    async def close(self):
        """End the daemon."""
        self.announcing.cancel()
        await self.system.close()
        self.service.close()
        self.engine.close()
        self.folder.cleanup()
