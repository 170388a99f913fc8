"""Stand-in for a model engine that batches continuously.

Explanation
===========
It serves the chat-completions API with server-sent events. The id of each event is
``<request>:<offset>``. ``GET /v1/streams/<request>`` with ``Last-Event-ID`` resumes a stream and
``DELETE`` cancels it. Requests are admitted in arrival order.
"""

from __future__ import annotations

import asyncio
import collections
import json
import os

import attrs
from aiohttp import web

from mulberrygate.endpoints.model import Announcement
from mulberrygate.endpoints.prefix import PREFIX_TOKENS, estimate_tokens, prefix_hashes
from mulberrygate.standin.endpoint import Endpoint, EndpointOptions, run

CRASH_MARK = "[[crash engine]]"
WORDS = "check the ballast then the starter and swap both tubes before the next session".split()


@attrs.define
class Stream:
    """Server-sent events generated for one request, kept so that a stream can be resumed."""

    request: str
    body: bytes
    events: list[bytes] = attrs.field(factory=list)
    is_complete: bool = False
    is_cancelled: bool = False
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def add(self, event: bytes) -> None:
        """Append an event and wake the tasks that send the stream."""
        self.events.append(event)
        self.wake()

    def wake(self) -> None:
        """Wake the tasks that send the stream."""
        self.changed.set()
        self.changed = asyncio.Event()


@attrs.define(kw_only=True)
class Options(EndpointOptions):
    """Options of the stand-in engine."""

    model: str = "care"
    hardware: str = "gen-2"
    slots: int = 4
    kv_tokens: int = 200_000
    prefill_tokens_s: float = 20_000.0
    decode_tokens_s: float = 100.0
    checks_fence: bool = True


class Engine(Endpoint):
    """Model engine with a limited number of slots and a prefix cache."""

    def __init__(self, options: Options):
        super().__init__(options)
        self.slots = asyncio.Semaphore(options.slots)
        self.streams: collections.OrderedDict[str, Stream] = collections.OrderedDict()
        self.prefixes: collections.OrderedDict[str, None] = collections.OrderedDict()
        self.newly_cached: list[str] = []
        self.newly_evicted: list[str] = []
        self.cache_sequence = 0
        self.prefill_tokens = 0
        self.highest_fence = 0
        self.orders: list[dict] = []
        self.silence_count = 0
        self.tasks: set[asyncio.Task] = set()

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=64 << 20)
        app.router.add_post("/v1/chat/completions", self.complete)
        app.router.add_get("/v1/streams/{request}", self.resume)
        app.router.add_delete("/v1/streams/{request}", self.cancel)
        app.router.add_post("/orders", self.receive_order)
        app.router.add_get("/standin", self.report)
        app.router.add_post("/standin", self.adjust)
        return app

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Start a request and stream its events."""
        body = await request.read()
        name = request.headers["X-Request-Id"]
        self.run_counts[name] += 1
        self.run_counts["total"] += 1
        payload = json.loads(body)
        text = "\n".join(str(m.get("content", "")) for m in payload["messages"])
        if CRASH_MARK in text:
            os._exit(70)
        every = self.options.fail_every
        if every and self.run_counts["total"] % every == 0:
            return web.json_response(
                {"error": "model worker failed"}, status=self.options.fail_status
            )
        stream = self.streams[name] = Stream(name, body)
        while len(self.streams) > 1000:
            self.streams.popitem(last=False)
        task = asyncio.ensure_future(self.generate(stream, text, payload))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return await self.send_events(request, stream, 0)

    async def generate(self, stream: Stream, text: str, payload: dict) -> None:
        """Wait for a slot and generate all tokens of a request."""
        self.load += 1
        try:
            async with self.slots:
                await asyncio.sleep(self.update_prefix_cache(text) / self.options.prefill_tokens_s)
                count = int(payload.get("max_tokens") or 64)
                for offset in range(count):
                    if stream.is_cancelled:
                        return
                    word = WORDS[offset % len(WORDS)]
                    stream.add(self.make_event(stream, offset, f"{word} ", payload, None))
                    await asyncio.sleep(1 / self.options.decode_tokens_s)
                stream.add(self.make_event(stream, count, "", payload, "stop"))
                stream.add(f"id: {stream.request}:{count + 1}\ndata: [DONE]\n\n".encode())
                stream.is_complete = True
        finally:
            self.load -= 1
            stream.wake()

    def update_prefix_cache(self, text: str) -> int:
        """Add the prompt's prefixes to the cache and return the number of tokens to prefill."""
        hashes = prefix_hashes(text)
        cached = 0
        for number, prefix in enumerate(hashes, 1):
            if prefix in self.prefixes:
                cached = number * PREFIX_TOKENS
                self.prefixes.move_to_end(prefix)
            else:
                self.prefixes[prefix] = None
                self.newly_cached.append(prefix)
        while len(self.prefixes) * PREFIX_TOKENS > self.options.kv_tokens:
            self.newly_evicted.append(self.prefixes.popitem(last=False)[0])
        tokens = max(1, estimate_tokens(text) - cached)
        self.prefill_tokens += tokens
        return tokens

    def make_event(
        self, stream: Stream, offset: int, word: str, payload: dict, finish: str | None
    ) -> bytes:
        """Return one server-sent event."""
        chunk = {
            "id": stream.request,
            "object": "chat.completion.chunk",
            "model": payload.get("model", ""),
            "choices": [{"index": 0, "delta": {"content": word}, "finish_reason": finish}],
        }
        data = json.dumps(chunk, separators=(",", ":"))
        return f"id: {stream.request}:{offset}\ndata: {data}\n\n".encode()

    async def send_events(
        self, request: web.Request, stream: Stream, position: int
    ) -> web.StreamResponse:
        """Send the events of a stream, starting at a position."""
        answer = web.StreamResponse(
            headers={"Content-Type": "text/event-stream", "X-Engine-Version": self.options.version}
        )
        await answer.prepare(request)
        initial_silence_count = self.silence_count
        while initial_silence_count == self.silence_count:
            changed = stream.changed
            while position < len(stream.events):
                await answer.write(stream.events[position])
                position += 1
            if stream.is_cancelled or stream.is_complete:
                return answer
            await changed.wait()
        # Simulates a firewall that dropped the connection's state: it stays open without data.
        await asyncio.Event().wait()
        return answer

    async def resume(self, request: web.Request) -> web.StreamResponse:
        """Resume a stream after the offset that the reader already has."""
        stream = self.streams.get(request.match_info["request"])
        if stream is None:
            return web.json_response({"error": "unknown stream"}, status=404)
        last = request.headers.get("Last-Event-ID", "")
        position = int(last.rpartition(":")[2]) + 1 if last else 0
        return await self.send_events(request, stream, position)

    async def cancel(self, request: web.Request) -> web.Response:
        """Cancel a stream."""
        stream = self.streams.get(request.match_info["request"])
        if stream is not None and not stream.is_complete:
            stream.is_cancelled = True
            stream.wake()
        return web.json_response({})

    async def receive_order(self, request: web.Request) -> web.Response:
        """Carry out an order; an old fencing token is refused if the engine checks tokens."""
        order = await request.json()
        fence = int(order.get("fence", 0))
        if self.options.checks_fence and fence < self.highest_fence:
            return web.json_response({"error": "old fencing token"}, status=409)
        self.highest_fence = max(self.highest_fence, fence)
        self.orders.append(order)
        if order.get("action") == "load_version":
            self.options.version = order["version"]
        if order.get("action") == "drain":
            self.is_leaving = True
        return web.json_response({"fence": fence})

    async def report(self, _request: web.Request) -> web.Response:
        """Return counters for tests."""
        return web.json_response(
            {
                "runs": dict(self.run_counts),
                "prefill_tokens": self.prefill_tokens,
                "load": self.load,
                "orders": self.orders,
                "streams": {name: stream.is_cancelled for name, stream in self.streams.items()},
            }
        )

    def adjust_value(self, name: str, value: object) -> None:
        """Set one option; ``silence_connections`` stops sending on all open streams."""
        if name != "silence_connections":
            super().adjust_value(name, value)
            return
        self.silence_count += 1
        for stream in self.streams.values():
            stream.wake()

    def announcement(self, sequence: int) -> Announcement:
        """Return the state to announce."""
        options = self.options
        self.cache_sequence += len(self.newly_cached) + len(self.newly_evicted)
        cached, self.newly_cached = self.newly_cached, []
        evicted, self.newly_evicted = self.newly_evicted, []
        return attrs.evolve(
            self.base_announcement(sequence),
            model=options.model,
            hardware=options.hardware,
            kv_tokens=options.kv_tokens,
            checks_fence=options.checks_fence,
            cached_prefixes=tuple(cached),
            evicted_prefixes=tuple(evicted),
            cache_sequence=self.cache_sequence,
        )


def main() -> None:
    """Run the stand-in engine."""
    run(Options, Engine)


if __name__ == "__main__":
    main()
