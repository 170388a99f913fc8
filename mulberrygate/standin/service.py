"""Stand-in for a plain booking service: stock reads, bookings and refunds."""

from __future__ import annotations

import asyncio
import collections
import time

import attrs
from aiohttp import web

from mulberrygate.endpoints.model import Announcement
from mulberrygate.standin.announcer import Announcer
from mulberrygate.standin.engine import parse_options, serve


@attrs.define
class Options:
    """Behaviour of the stand-in; each ``fail_every``-th call fails, none if it is 0."""

    name: str
    listen: str
    entries: list[str]
    token: str
    pool: str
    failure_domain: str
    region: str
    version: str = "v1"
    slots: int = 16
    delay_s: float = 0.01
    fail_every: int = 0


class Service:
    """Booking service that counts how often each call ran."""

    def __init__(self, options: Options):
        self.options = options
        self.incarnation = time.time_ns() // 1_000_000
        self.runs = collections.Counter()
        self.bookings: list[dict] = []
        self.load = 0
        self.is_leaving = False

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_get("/standin", self.report)
        app.router.add_post("/standin", self.adjust)
        app.router.add_route("*", "/{path:[\\s\\S]*}", self.call)
        return app

    async def call(self, request: web.Request) -> web.Response:
        """Run a call; a POST adds a booking."""
        self.load += 1
        try:
            body = (await request.read()).decode("utf-8", "replace")
            self.runs[request.headers.get("X-Request-Id", "")] += 1
            self.runs["total"] += 1
            await asyncio.sleep(self.options.delay_s)
            every = self.options.fail_every
            if every and self.runs["total"] % every == 0:
                return web.json_response({"error": "the call failed"}, status=500)
            if request.method == "POST":
                self.bookings.append(
                    {"path": request.path, "target": request.raw_path, "body": body}
                )
            return web.json_response(
                {
                    "method": request.method,
                    "path": request.path,
                    "target": request.raw_path,
                    "number": len(self.bookings),
                    "served_by": self.options.name,
                }
            )
        finally:
            self.load -= 1

    async def report(self, _request: web.Request) -> web.Response:
        """Return counters for tests."""
        return web.json_response({"runs": dict(self.runs), "bookings": self.bookings})

    async def adjust(self, request: web.Request) -> web.Response:
        """Change the behaviour for tests."""
        for name, value in (await request.json()).items():
            setattr(self if name == "is_leaving" else self.options, name, value)
        return web.json_response({})

    def announcement(self, sequence: int) -> Announcement:
        """Return the state to announce."""
        options = self.options
        return Announcement(
            endpoint=options.name,
            incarnation=self.incarnation,
            sequence=sequence,
            address=options.listen,
            pool=options.pool,
            failure_domain=options.failure_domain,
            region=options.region,
            version=options.version,
            slots=options.slots,
            load=self.load,
            load_at=time.time(),
            leaving=self.is_leaving,
        )


def main() -> None:
    """Run the stand-in service."""
    options = parse_options(Options)
    service = Service(options)
    announcer = Announcer(options.entries, options.token, service.announcement)
    try:
        asyncio.run(serve(service.application(), options.listen, announcer))
    except KeyboardInterrupt:
        pass


if __name__ == "__main__":
    main()
