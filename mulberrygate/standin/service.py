"""Stand-in for a plain booking service: stock reads, bookings and refunds."""

from __future__ import annotations

import asyncio

import attrs
from aiohttp import web

from mulberrygate.standin.endpoint import Endpoint, EndpointOptions, run


@attrs.define(kw_only=True)
class Options(EndpointOptions):
    """Options of the stand-in service."""

    slots: int = 16
    delay_s: float = 0.01


class Service(Endpoint):
    """Booking service that counts how often each call ran."""

    def __init__(self, options: Options):
        super().__init__(options)
        self.bookings: list[dict] = []

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_get("/standin", self.report)
        app.router.add_post("/standin", self.adjust)
        app.router.add_route("*", "/{path:[\\s\\S]*}", self.call)
        return app

    async def call(self, request: web.Request) -> web.Response:
        """Answer a call; a POST adds a booking."""
        self.load += 1
        try:
            body = (await request.read()).decode("utf-8", "replace")
            self.run_counts[request.headers.get("X-Request-Id", "")] += 1
            self.run_counts["total"] += 1
            await asyncio.sleep(self.options.delay_s)
            every = self.options.fail_every
            if every and self.run_counts["total"] % every == 0:
                return web.json_response(
                    {"error": "the call failed"}, status=self.options.fail_status
                )
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
        return web.json_response({"runs": dict(self.run_counts), "bookings": self.bookings})


def main() -> None:
    """Run the stand-in service."""
    run(Options, Service)


if __name__ == "__main__":
    main()
