"""Base of the stand-in endpoints: options, announcements and the process."""

from __future__ import annotations

import argparse
import asyncio
import collections
import time

import attrs
from aiohttp import web

from mulberrygate.endpoints.model import Announcement
from mulberrygate.standin.announcer import Announcer


@attrs.define(kw_only=True)
class EndpointOptions:
    """Location and behaviour of a stand-in endpoint.

    Every ``fail_every``-th request fails with ``fail_status``; none fails if it is 0.
    """

    name: str
    listen: str
    entries: list[str]
    token: str
    pool: str
    failure_domain: str
    region: str
    version: str = "v1"
    slots: int = 4
    fail_every: int = 0
    fail_status: int = 500


class Endpoint:
    """Base of the stand-in endpoints.

    A subclass implements `application` and may extend `announcement`. ``run_counts`` holds the
    number of runs by request identifier, and under ``total`` that of all runs.
    """

    def __init__(self, options: EndpointOptions):
        self.options = options
        self.incarnation = time.time_ns() // 1_000_000
        self.run_counts: collections.Counter[str] = collections.Counter()
        self.load = 0
        self.is_leaving = False

    def application(self) -> web.Application:
        """Return the HTTP application."""
        raise NotImplementedError

    def announcement(self, sequence: int) -> Announcement:
        """Return the state to announce."""
        return self.base_announcement(sequence)

    def base_announcement(self, sequence: int) -> Announcement:
        """Return an announcement with the fields that all endpoints fill in."""
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

    async def adjust(self, request: web.Request) -> web.Response:
        """Change options at the request of a test."""
        for name, value in (await request.json()).items():
            self.adjust_value(name, value)
        return web.json_response({})

    def adjust_value(self, name: str, value: object) -> None:
        """Set one option, or ``is_leaving``."""
        setattr(self if name == "is_leaving" else self.options, name, value)


async def serve(app: web.Application, listen: str, announcer: Announcer) -> None:
    """Serve an application and announce it until cancelled."""
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=1)
    await runner.setup()
    host, _, port = listen.rpartition(":")
    await web.TCPSite(runner, host, int(port)).start()
    try:
        await announcer.run()
    finally:
        await runner.cleanup()


def parse_options(kind: type[EndpointOptions]) -> EndpointOptions:
    """Return the options from the command line, one flag for each field."""
    parser = argparse.ArgumentParser(description=kind.__doc__)
    for field in attrs.fields(kind):
        flag = "--" + field.name.replace("_", "-")
        required = field.default is attrs.NOTHING
        if field.name == "entries":
            parser.add_argument(flag, nargs="+", required=True)
        elif field.name == "token":
            parser.add_argument("--token-file", required=True)
        elif isinstance(field.default, bool):
            parser.add_argument(flag, type=lambda text: text == "true", default=field.default)
        else:
            cast = str if required else type(field.default)
            parser.add_argument(flag, type=cast, required=required, default=field.default)
    values = vars(parser.parse_args())
    with open(values.pop("token_file"), encoding="utf-8") as file:
        values["token"] = file.read().strip()
    return kind(**values)


def run(options_class: type[EndpointOptions], endpoint_class: type[Endpoint]) -> None:
    """Run a stand-in with the options of the command line until it is interrupted."""
    options = parse_options(options_class)
    endpoint = endpoint_class(options)
    announcer = Announcer(options.entries, options.token, endpoint.announcement)
    try:
        asyncio.run(serve(endpoint.application(), options.listen, announcer))
    except KeyboardInterrupt:
        pass
