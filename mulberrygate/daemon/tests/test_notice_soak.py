"""Randomized run of endpoints that say in their answers that they leave, need a pause or a limit.

Meanwhile control processes crash together or stop in turn, entries are stopped, and configurations
change. What counts is when requests reach an endpoint after it has answered an entry. The test runs
a few seeds. More are run by hand::

    python -m mulberrygate.daemon.tests.test_notice_soak --seeds 50 --seconds 25
"""

from __future__ import annotations

import asyncio
import itertools
import sys
import time
import unittest

import aiohttp
import attrs

from mulberrygate.daemon.tests.site_support import CONTROLS
from mulberrygate.daemon.tests.test_crash_soak import run_seeds
from mulberrygate.daemon.tests.test_stop_soak import ENTRIES, PATHS, SHORT_S, StopSoak
from mulberrygate.forward.tests.support import REQUEST_ID, Endpoint, stream, whole
from mulberrygate.forward.tests.test_endpoint_notices import (
    LEAVING,
    NOT_EXECUTED,
    with_lines,
)

CI_SEEDS = (0, 1)
CI_SECONDS = 15.0
# The users' bounds: time after which no request may follow an answer that says that its endpoint
# leaves; part of a pause that doesn't count, and requests allowed in the rest; time after which a
# limit counts, its window, and the requests allowed in it.
DRAIN_S = 2.5
PAUSE_GRACE_S = 0.5
MAX_IN_PAUSE = 2
LIMIT_AFTER_S = 3.0
LIMIT_TOLD_S = 0.5
WINDOW_S = 4.0
OVERAGE = 1.5
SLACK = 5


@attrs.define
class Answered:
    """Time of an answer to an entry, with the end of the pause that it asks for."""

    entry: str
    at: float
    until: float = 0.0


@attrs.define
class Life:
    """One incarnation of an endpoint: what it says, and what reached it.

    Attributes
    ==========
    arrivals : list[tuple[str, float, float]]
        Entry, time of arrival, and time at which the caller sent the request.
    """

    name: str
    born: int
    arrivals: list[tuple[str, float, float]] = attrs.field(factory=list)
    is_leaving: bool = False
    busy_until: float = 0.0
    rate: float = 0.0
    limited_from: float = 0.0
    limited_until: float = 0.0
    leaving_told: list[Answered] = attrs.field(factory=list)
    pauses: list[Answered] = attrs.field(factory=list)
    limits_told: list[Answered] = attrs.field(factory=list)


@attrs.frozen
class Report:
    """Result of one run: the cases in which a request reached an endpoint against its word."""

    seed: int
    answered: int
    arrivals: int
    told: int
    drain: tuple[str, ...] = ()
    pause: tuple[str, ...] = ()
    limit: tuple[str, ...] = ()

    @property
    def is_bad(self) -> bool:
        """Whether an entry sent an endpoint what it had been told not to send."""
        return bool(self.drain or self.pause or self.limit)


class NoticeEndpoint(Endpoint):
    """Endpoint that starts again as a new incarnation at the same address."""

    def __init__(self, name, answer):
        super().__init__(name, answer)
        self.lives = [Life(name, 1000)]

    @property
    def life(self):
        """Return the present incarnation."""
        return self.lives[-1]

    def restart(self):
        """Begin a new incarnation, which says nothing of itself."""
        self.lives.append(Life(self.name, self.life.born + 1000))


class NoticeSoak(StopSoak):
    """One run: endpoints that say what they take, while processes crash, stop and start."""

    pools = ("booking", "booking", "booking", "care", "care", "care")

    def __init__(self, seed, seconds):
        super().__init__(seed, seconds)
        self.sent_at: dict[str, float] = {}
        # Times at which entries were started again; what they were told before is lost.
        self.restarts: list[Answered] = []

    def make_endpoint(self, name):
        """Return an endpoint that is not started yet."""
        return NoticeEndpoint(name, self.run_call)

    def describe(self, endpoint):
        """Return the fields of an endpoint's heartbeat, which never says that it leaves."""
        return {"slots": 4, "born": endpoint.life.born}

    def disturbances(self):
        """Return the coroutines that disturb the run."""
        notices = (self.change_notices(endpoint) for endpoint in self.endpoints)
        return (self.stop_entries(), self.lose_controls(), self.change_documents(), *notices)

    async def run_call(self, endpoint, reader, writer, head):
        """Answer a call as the present incarnation, with what that says of itself."""
        life, now = endpoint.life, time.monotonic()
        identifier = head.split(REQUEST_ID.encode() + b": ")[1].split(b"\r\n")[0].decode()
        entry = identifier.partition("/")[0]
        life.arrivals.append((entry, now, self.sent_at[identifier]))
        if now < life.busy_until:
            pause_s = life.busy_until - now
            life.pauses.append(Answered(entry, now, life.busy_until))
            retry_after = b"Retry-After: %.3f" % pause_s
            await whole(503, b"", NOT_EXECUTED, retry_after)(endpoint, reader, writer, head)
            return
        lines = []
        if life.is_leaving:
            lines.append(LEAVING)
            life.leaving_told.append(Answered(entry, now))
        if now < life.limited_until:
            lines.append(b"Server-Limit: %.1f" % life.rate)
            life.limits_told.append(Answered(entry, now))
        await asyncio.sleep(SHORT_S)
        answer = stream(3) if b"/stream/" in head else whole()
        await with_lines(answer, *lines)(endpoint, reader, writer, head)

    async def change_notices(self, endpoint):
        """Let an endpoint leave and start again, ask for pauses and name limits, in turn."""
        rng = self.rng
        while not self.is_over():
            await asyncio.sleep(rng.uniform(0.5, 3.0))
            kind = rng.choice(("leave", "pause", "limit"))
            life, now = endpoint.life, time.monotonic()
            if kind == "leave":
                life.is_leaving = True
                await asyncio.sleep(rng.uniform(2.0, 6.0))
                endpoint.restart()
            elif kind == "pause":
                life.busy_until = now + rng.uniform(1.0, 3.0)
            elif now >= life.limited_until:
                life.rate = round(rng.uniform(0.5, 4.0), 1)
                life.limited_from, life.limited_until = now, now + rng.uniform(6.0, 10.0)
                await asyncio.sleep(life.limited_until - now)

    async def lose_controls(self):
        """Crash all control processes at once, or stop them in turn, and start them again."""
        for number in itertools.count():
            await asyncio.sleep(self.rng.uniform(1.0, 4.0))
            if self.is_over():
                break
            names = CONTROLS if self.rng.random() < 0.4 else CONTROLS[number % 3 : number % 3 + 1]
            for name in names:
                await self.deployment.crash(name)
            await asyncio.sleep(self.rng.uniform(0.0, 3.0))
            for name in names:
                await self.deployment.start_control(name, is_first=False)

    async def restart_entry(self, name):
        """Stop an entry as at a SIGTERM, and start it again without what it was told."""
        self.stops += 1
        await self.nodes[name].stop()
        await asyncio.sleep(self.rng.uniform(0.0, 0.5))
        self.restarts.append(Answered(name, time.monotonic()))
        self.nodes[name] = await self.deployment.start_entry(name)

    async def send_calls(self):
        """Send requests one after the other until the end of the run."""
        while not self.is_over():
            ready = [name for name in ENTRIES if self.nodes[name].is_ready]
            entry, path = self.rng.choice(ready or ENTRIES), self.rng.choice(PATHS)
            identifier = f"{entry}/{next(self.numbers)}"
            self.sent_at[identifier] = time.monotonic()
            try:
                self.statuses[identifier], _ = await self.deployment.send_request(
                    path, entry, **{REQUEST_ID: identifier}
                )
            except (OSError, aiohttp.ClientError):
                # The entry has just stopped.
                self.statuses[identifier] = 0
            await asyncio.sleep(self.rng.uniform(0.0, 0.1))

    def has_restarted(self, entry, since, until):
        """Return whether an entry was started again in a span of time."""
        return any(start.entry == entry and since <= start.at <= until for start in self.restarts)

    def find_drain(self, life):
        """Return the requests that followed an answer that says that its endpoint leaves."""
        return [
            f"{life.name}: sent to {entry} {sent - told.at:.2f} s after its answer"
            for told in life.leaving_told
            for entry, at, sent in life.arrivals
            if entry == told.entry and sent > told.at + DRAIN_S
            if not self.has_restarted(entry, told.at, at)
        ]

    def find_pause(self, life):
        """Return the pauses during which more requests came from an entry than are allowed."""
        found = []
        for pause in life.pauses:
            count = sum(
                entry == pause.entry and pause.at + PAUSE_GRACE_S < at < pause.until
                for entry, at, _ in life.arrivals
            )
            is_excused = self.has_restarted(pause.entry, pause.at, pause.until)
            if count > MAX_IN_PAUSE and not is_excused:
                found.append(f"{life.name}: {count} requests of {pause.entry} in a pause")
        return found

    def find_limit(self, life):
        """Return the windows in which an endpoint got more than its limit allows."""
        told_at = {}
        for told in life.limits_told:
            told_at.setdefault(told.entry, told.at)
        times = [
            at
            for entry, at, _ in life.arrivals
            if life.limited_from + LIMIT_AFTER_S <= at < life.limited_until
            and at >= told_at.get(entry, float("inf")) + LIMIT_TOLD_S
            and not self.has_restarted(entry, told_at[entry], at)
        ]
        most = max((sum(at <= t < at + WINDOW_S for t in times) for at in times), default=0)
        if most <= OVERAGE * life.rate * WINDOW_S + SLACK:
            return []
        return [f"{life.name}: {most} requests in {WINDOW_S} s, limit {life.rate}"]

    def report(self):
        """Return what reached endpoints against what they had said."""
        lives = [life for endpoint in self.endpoints for life in endpoint.lives]
        return Report(
            self.seed,
            answered=sum(status == 200 for status in self.statuses.values()),
            arrivals=sum(len(life.arrivals) for life in lives),
            told=sum(
                len(life.leaving_told) + len(life.pauses) + len(life.limits_told) for life in lives
            ),
            drain=tuple(case for life in lives for case in self.find_drain(life)),
            pause=tuple(case for life in lives for case in self.find_pause(life)),
            limit=tuple(case for life in lives for case in self.find_limit(life)),
        )


class TestNoticeSoak(unittest.IsolatedAsyncioTestCase):
    """Short runs with fixed seeds."""

    async def test_endpoints_get_what_their_answers_allow(self):
        """Guards against requests to endpoints that leave, need a pause or have a limit."""
        for seed in CI_SEEDS:
            with self.subTest(seed):
                report = await NoticeSoak(seed, CI_SECONDS).run()
                self.assertEqual((report.drain, report.pause, report.limit), ((), (), ()))
                self.assertGreater(report.answered, 0)
                self.assertGreater(report.told, 0)


if __name__ == "__main__":
    sys.exit(run_seeds(NoticeSoak, __doc__))
