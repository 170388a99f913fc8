"""Tests of reading a stream over broken connections."""

import asyncio
import unittest

from aiohttp import web

from mulberrygate.entry import resuming_reader
from mulberrygate.entry.resuming_reader import MAX_RESUMES, ResumingReader, StreamFailure
from mulberrygate.entry.tests.test_stream import WHOLE, end, event
from mulberrygate.entry.upstream import Upstream
from mulberrygate.standin.local import free_ports

HEAD = event(0) + event(1, "é")


class ResumingReaderTest(unittest.IsolatedAsyncioTestCase):
    """Streams of a scripted server that serves one step for each connection.

    A step is a status, or the bytes that are sent before the connection is closed. ``None`` at the
    end of a tuple keeps the connection open.
    """

    async def asyncSetUp(self):
        pause = resuming_reader.RESUME_PAUSE_S
        resuming_reader.RESUME_PAUSE_S = 0.001
        self.addCleanup(setattr, resuming_reader, "RESUME_PAUSE_S", pause)
        self.steps = []
        self.resumed_after = []
        self.silences = 0
        app = web.Application()
        app.router.add_get("/v1/streams/r", self.serve)
        self.runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self.runner.setup()
        (port,) = free_ports(1)
        self.address = f"127.0.0.1:{port}"
        await web.TCPSite(self.runner, "127.0.0.1", port).start()
        self.upstream = Upstream()
        self.addAsyncCleanup(self.runner.cleanup)
        self.addAsyncCleanup(self.upstream.close)

    async def serve(self, request: web.Request) -> web.StreamResponse:
        """Serve the next step, and the last one repeatedly."""
        self.resumed_after.append(request.headers.get("Last-Event-ID"))
        step = self.steps.pop(0) if len(self.steps) > 1 else self.steps[0]
        if isinstance(step, int):
            return web.Response(status=step)
        response = web.StreamResponse()
        await response.prepare(request)
        parts = step if isinstance(step, tuple) else (step,)
        for part in parts:
            if part is None:
                await asyncio.Event().wait()
            await response.write(part)
        # Cut in the middle of the chunked body.
        request.transport.close()
        return response

    def silent(self) -> None:
        """Count a connection that exceeded the silence limit."""
        self.silences += 1

    async def read_stream(
        self, *steps, offset: int = 0
    ) -> tuple[bytes, bool, StreamFailure | None]:
        """Return the bytes, whether the end marker arrived, and the failure."""
        self.steps = list(steps)
        reader = ResumingReader(self.upstream, self.address, "r", offset, self.silent, 0.2, 0.2)
        reader.start(None)
        raw = b""
        try:
            async with asyncio.timeout(60):
                while True:
                    events = await reader.read()
                    if isinstance(events, StreamFailure):
                        return raw, False, events
                    raw += events.raw
                    if events.is_end:
                        return raw, True, None
        finally:
            reader.close()

    async def test_cut_connection_is_resumed_after_the_last_event(self):
        """Guards against lost or repeated text after a broken connection."""
        rest = WHOLE[len(HEAD) :]
        for tail in (b"", rest[:9]):
            with self.subTest(tail):
                self.resumed_after.clear()
                raw, is_end, failed = await self.read_stream(HEAD + tail, 500, rest)
                self.assertEqual((raw, is_end, failed), (WHOLE, True, None))
                self.assertEqual(self.resumed_after, [None, "r:1", "r:1"])

    async def test_engine_that_resumes_too_early_or_too_late(self):
        """Guards against passing on events that an engine repeats or skips when it resumes."""
        raw, is_end, _ = await self.read_stream(HEAD, end(3), WHOLE)
        self.assertEqual((raw, is_end), (WHOLE, True))
        self.assertEqual(self.resumed_after, [None, "r:1", "r:1"])
        raw, is_end, _ = await self.read_stream(WHOLE, offset=2)
        self.assertEqual((raw, is_end), (WHOLE[len(HEAD) :], True))
        self.assertEqual(self.resumed_after[-1], "r:1")

    async def test_silent_connection_is_replaced(self):
        """Guards against a caller that waits for a silent connection."""
        raw, is_end, _ = await self.read_stream((HEAD, None), WHOLE)
        self.assertEqual((raw, is_end, self.silences), (WHOLE, True, 1))

    async def test_answer_without_end_marker_is_never_complete(self):
        """Guards against a truncated answer that is reported as complete."""
        cases = {
            "cut": (WHOLE[:-1],),
            "marker of another": (HEAD + event(2, "c") + end(3, "other"),),
            "gap": (HEAD + end(3),),
            "empty": (b"",),
            "bad offset": (HEAD + b"id: r:x\ndata: [DONE]\n\n",),
        }
        for name, steps in cases.items():
            with self.subTest(name):
                raw, is_end, failed = await self.read_stream(*steps)
                self.assertFalse(is_end)
                self.assertTrue(WHOLE.startswith(raw))
                self.assertEqual(failed.fault, "cut")
        self.assertLessEqual(len(self.resumed_after), len(cases) * (2 * MAX_RESUMES + 2))

    async def test_silent_lost_and_unreachable_streams_have_their_own_faults(self):
        """Guards against asking a restarted engine for a stream again and again."""
        _, _, failed = await self.read_stream((HEAD, None), (b": alive\n\n", None))
        self.assertEqual(failed.fault, "silent")
        self.resumed_after.clear()
        raw, _, failed = await self.read_stream(HEAD, 404)
        self.assertEqual((raw, failed.fault), (HEAD, "lost"))
        self.assertEqual(len(self.resumed_after), 2)
        await self.runner.cleanup()
        _, _, failed = await self.read_stream(HEAD)
        self.assertEqual(failed.fault, "gone")


if __name__ == "__main__":
    unittest.main()
