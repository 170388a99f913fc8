"""Tests of clock, timers, codec and invariants."""

import asyncio
import unittest

import attrs

from mulberrygate.core import HybridClock, Stamp, TimerService
from mulberrygate.core.codes import register_code
from mulberrygate.core.invariant import InvariantError, invariant, on_violation
from mulberrygate.core.tests.call_limit import calls_at_most
from mulberrygate.core.wire import DecodeError, converter, decode, encode, message

BROKEN = register_code(9990, "test_invariant", "Used by a test.")


@message("test.old")
@attrs.frozen
class Old:
    """Message of an older release."""

    name: str


@message("test.new")
@attrs.frozen
class New:
    """The same message of a newer release."""

    name: str
    count: int = 3


class ClockTest(unittest.TestCase):
    """Hybrid timestamps."""

    def test_stamps_rise_while_the_wall_clock_is_set_back(self):
        """Guards against stamps that order an event before its cause."""
        wall = [1000]
        clock = HybridClock(lambda: wall[0])
        first = clock.now()
        wall[0] = 400
        second = clock.now()
        clock.receive(Stamp(5000, 7))
        third = clock.now()
        self.assertLess(first, second)
        self.assertEqual(third, Stamp(5000, 8))

    def test_clock_far_ahead_is_not_followed(self):
        """Guards against one wrong clock that shifts the time line of all processes."""
        clock = HybridClock(lambda: 1000)
        clock.receive(Stamp(1000 + clock.MAX_AHEAD_MS + 1, 0))
        self.assertEqual(clock.now(), Stamp(1000, 0))


class TimersTest(unittest.IsolatedAsyncioTestCase):
    """Timer service."""

    async def asyncSetUp(self):
        self.errors = []
        self.timers = TimerService(lambda name, error: self.errors.append(name))
        self.addAsyncCleanup(self.timers.close)

    async def test_callback_that_raises_goes_on(self):
        """Guards against a periodic task that ends at its first failure."""
        counts = {"plain": 0, "coroutine": 0}
        done = asyncio.Event()

        def fail(name: str) -> None:
            counts[name] += 1
            if min(counts.values()) > 3:
                done.set()
            raise ValueError

        async def fail_later() -> None:
            fail("coroutine")

        self.timers.every(0.001, lambda: fail("plain"), "plain")
        self.timers.every(0.001, fail_later, "coroutine")
        await asyncio.wait_for(done.wait(), 30)
        self.assertEqual(set(self.errors), {"plain", "coroutine"})

    async def test_slow_callback_is_not_started_twice(self):
        """Guards against periodic calls that pile up behind a slow one."""
        log: list[str] = []
        done = asyncio.Event()

        async def slow() -> None:
            log.append("start")
            await asyncio.sleep(0.01)
            log.append("end")
            if len(log) >= 6:
                done.set()

        self.timers.every(0.001, slow, "slow")
        await asyncio.wait_for(done.wait(), 30)
        self.assertEqual(log[:6], ["start", "end"] * 3)

    async def test_cancelled_subscriptions_do_not_fire(self):
        """Guards against a callback that runs after its subscription was cancelled."""
        calls = []
        once = self.timers.after(0.001, lambda: calls.append("once"), "once")
        often = self.timers.every(0.001, lambda: (calls.append("often"), often.cancel()), "often")
        once.cancel()
        done = asyncio.Event()
        self.timers.after(0.05, done.set, "done")
        await done.wait()
        self.assertEqual(calls, ["often"])
        await self.timers.close()
        self.assertTrue(self.timers.after(0.001, done.set, "closed").is_cancelled)


class WireTest(unittest.TestCase):
    """Messages of two releases."""

    def test_unknown_fields_and_defaults(self):
        """Guards against messages that another release can't decode."""
        _, body = encode(New("a", 7))
        self.assertEqual(decode("test.old", body), Old("a"))
        _, body = encode(Old("a"))
        self.assertEqual(decode("test.new", body), New("a", 3))

    def test_malformed_bodies_raise_decode_error(self):
        """Guards against an exception of the codec that ends the stream of a peer."""
        dumps = converter.dumps
        cases = [("test.none", b"")]
        bodies = (b"", b"\xc1", b"\x81", dumps({}), dumps([1]), dumps({"name": "a", "count": "x"}))
        cases += [("test.new", body) for body in bodies]
        for name, body in cases:
            with self.subTest(name, body=body):
                self.assertRaises(DecodeError, decode, name, body)


class InvariantTest(unittest.TestCase):
    """Invariants."""

    def test_violation_raises_and_is_reported(self):
        """Guards against a violation that is missing from metrics and time line."""
        seen = []
        remove = on_violation(lambda code, detail: seen.append((code, detail)))
        invariant(True, BROKEN, "holds")
        with self.assertRaises(InvariantError):
            invariant(False, BROKEN, "x=1")
        remove()
        with self.assertRaises(InvariantError):
            invariant([], BROKEN)
        self.assertEqual(seen, [(BROKEN, "x=1")])


class CallLimitTest(unittest.TestCase):
    """Call limit that other tests rely on."""

    def test_more_calls_than_allowed_fail(self):
        """Guards against a limit that never fails."""
        with calls_at_most(100):
            sorted(range(10))
        with self.assertRaises(AssertionError), calls_at_most(100):
            for number in range(200):
                str.upper(str(number))


if __name__ == "__main__":
    unittest.main()
