"""Randomized run of calls that share a part of their prompts which crashes endpoints.

The tests run a few seeds. More are run by hand, each for longer::

    python -m mulberrygate.daemon.tests.test_crashing_parts --seeds 50 --seconds 30
"""

from __future__ import annotations

import asyncio
import itertools
import random
import sys
import time
import unittest

import aiohttp
import attrs

from mulberrygate.daemon.tests.site_support import CONTROLS, ENTRY, OTHER_ENTRY, Deployment
from mulberrygate.daemon.tests.test_crash_soak import CONTACT_S, FragileEndpoint, Soak, run_seeds
from mulberrygate.forward.tests.support import REQUEST_ID, SIGNATURE, identifier, stream

CI_SEEDS = (1, 2)
CI_SECONDS = 14.0
# Bound of the users' rule BUDGET: calls with the part that end endpoints later than `CONTACT_S`
# after the fifth end.
MAX_LATE_CALLS = 3
CRASHES_KNOWN = 5
PROMPT_PARTS = "X-Mulberrygate-Prefix-Hash"
CRASHING_PART = "dead0001"
SHARED_PARTS = ("aaaa0001", "aaaa0002")
CALL_INTERVAL_S = 0.1


@attrs.frozen
class Report:
    """Result of one run.

    Parameters
    ==========
    ends : int
        Endpoints that ended under calls with the part.
    late_ends : int
        Those of them later than `CONTACT_S` after the fifth.
    served_before, served_late : float
        Share of the sound calls that were served before the first end, and from two `CONTACT_S`
        after the fifth end, or the last if there are fewer.
    """

    seed: int
    ends: int
    late_ends: int
    served_before: float
    served_late: float

    @property
    def is_bad(self) -> bool:
        """Whether the calls reached too many endpoints, or sound ones were refused with them."""
        is_starved = self.served_late < self.served_before / 2
        return self.late_ends > MAX_LATE_CALLS or is_starved


class PartEndpoint(FragileEndpoint):
    """Endpoint that ends when it begins to answer a call with the crashing part."""

    async def serve_call(self, endpoint, reader, writer, head):
        """Answer an ordinary call, or send the head of an answer and end."""
        await asyncio.sleep(self.soak.prefill_s)
        if writer.transport.is_closing():
            return
        if CRASHING_PART.encode() not in head:
            await stream(3)(endpoint, reader, writer, head)
            return
        lines = [b"HTTP/1.1 200 OK", identifier(head), SIGNATURE.encode() + b": s"]
        lines += [b"Content-Type: text/event-stream", b"Transfer-Encoding: chunked"]
        if self.soak.sends_head:
            writer.write(b"\r\n".join(lines) + b"\r\n\r\n")
            await writer.drain()
            await asyncio.sleep(0.02)
        if self.is_up:
            self.soak.end(self)


class PartSoak(Soak):
    """Deployment with calls that crash endpoints, no two alike, among sound ones."""

    def __init__(self, seed, seconds):
        super().__init__(seed, seconds)
        self.rng = random.Random(seed)
        self.route, self.pool = "stream", "care"
        self.silent_share = self.rng.choice((0.0, 0.0, 0.5))
        # A control process is killed and started again on its data, the leader if it is known.
        self.kill_at_s = self.rng.choice((None, 2.0, 4.0))
        self.prefill_s = self.rng.choice((0.05, 0.2))
        self.sends_head = self.rng.random() < 0.8
        # The part may stand anywhere but at the end.
        self.position = self.rng.choice((0, 1))
        self.crashing_every = self.rng.choice((4, 10))
        self.sound: list[tuple[float, bool]] = []

    async def run(self):
        """Run until the end and return the report."""
        self.deployment = await Deployment().start()
        try:
            await self.deployment.put_document(1, resumable=True)
            await self.deployment.start_entry(OTHER_ENTRY)
            for number in range(5):
                self.endpoints.append(await PartEndpoint(number, self).start())
            self.spawn(self.send_heartbeats())
            await self.wait_served("/stream/first")
            if self.kill_at_s is not None:
                self.spawn(self.restart_control())
            await self.send_calls()
            return self.report(0.0)
        finally:
            self.is_over = True
            for task in list(self.tasks):
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)
            for endpoint in self.endpoints:
                await endpoint.close()
            await self.deployment.close()

    async def restart_control(self):
        """Kill the leader, or any control process, and start it again."""
        await asyncio.sleep(self.kill_at_s)
        name = self.deployment.leader() or CONTROLS[0]
        await self.deployment.crash(name)
        await asyncio.sleep(self.rng.uniform(0.5, 2.0))
        await self.deployment.start_control(name, is_first=False)

    async def send_calls(self):
        """Send sound calls, and after a while crashing ones among them."""
        started_at = time.monotonic()
        for number in itertools.count():
            elapsed_s = time.monotonic() - started_at
            if elapsed_s > self.seconds:
                return
            if elapsed_s > 1.0 and number % self.crashing_every == 0:
                self.spawn(self.send_with_part(number))
            self.spawn(self.send_sound(number))
            await asyncio.sleep(CALL_INTERVAL_S)

    def headers(self, number, *parts):
        """Return the headers of a call whose prompt has these parts and one of its own."""
        names = [*parts, f"{number:08x}"]
        return {
            REQUEST_ID: f"id-{next(self.numbers)}",
            PROMPT_PARTS: ",".join(f"{name}:60" for name in names),
        }

    async def send_with_part(self, number):
        """Send a call with the crashing part; its caller repeats it once."""
        parts = [self.rng.choice(SHARED_PARTS)]
        parts.insert(self.position, CRASHING_PART)
        for _ in range(2):
            status = await self.request(f"/stream/with-{number}", self.headers(number, *parts))
            if status == 200:
                return

    async def send_sound(self, number):
        """Send a sound call and record whether it was served."""
        headers = self.headers(number, self.rng.choice(SHARED_PARTS))
        sent_at = time.monotonic()
        status = await self.request(f"/stream/sound-{number}", headers)
        self.sound.append((sent_at, status == 200))

    async def request(self, path, headers):
        """Send a request to some entry; return its status, 0 if it was broken off."""
        entry = self.rng.choice((ENTRY, OTHER_ENTRY))
        try:
            async with asyncio.timeout(4.0):
                return (await self.deployment.send_request(path, entry, **headers))[0]
        except (TimeoutError, OSError, aiohttp.ClientError):
            return 0

    def served_share(self, begin, end):
        """Return the share of the sound calls sent within a time that were served."""
        found = [is_served for at, is_served in self.sound if begin <= at < end]
        return sum(found) / len(found) if found else 1.0

    def report(self, _unserved_s):
        """Return what the endpoints and callers have seen."""
        ended_at = sorted(self.ended_at)
        known_at = ended_at[:CRASHES_KNOWN][-1] if ended_at else 0.0
        is_known = len(ended_at) >= CRASHES_KNOWN
        late = sum(is_known and at > known_at + CONTACT_S for at in ended_at)
        first_at = ended_at[0] if ended_at else float("inf")
        return Report(
            self.seed,
            len(ended_at),
            late,
            self.served_share(0.0, first_at),
            self.served_share(known_at + 2 * CONTACT_S, float("inf")),
        )


class TestCrashingPart(unittest.IsolatedAsyncioTestCase):
    """Short runs with fixed seeds."""

    async def test_part_that_crashes_endpoints_is_refused_and_sound_calls_are_not(self):
        """Guards against calls with a crashing part that reach one endpoint after the other."""
        for seed in CI_SEEDS:
            report = await PartSoak(seed, CI_SECONDS).run()
            self.assertGreaterEqual(report.ends, 1)
            self.assertFalse(report.is_bad, report)


if __name__ == "__main__":
    sys.exit(run_seeds(PartSoak, __doc__))
