"""Process tests of crowds of clients that use up memory and connections.

Each test checks what doesn't depend on the speed of the machine: the process lives, its peak
resident memory and its open descriptors stay under the limits of its settings, and one ordinary
request is answered afterwards, while the crowd is still connected.
"""

from __future__ import annotations

import unittest

from mulberrygate.daemon.tests import crowd_support as support

# Run by `bin/run_tests.py` after all other modules and by itself, since memory is measured.
RUNS_ALONE = True
CLIENTS = 80


class TestEntryCrowds(unittest.IsolatedAsyncioTestCase):
    """Crowds at an entry process."""

    async def asyncSetUp(self):
        self.site = await support.CrowdSite().start()
        self.addAsyncCleanup(self.site.close)

    async def check(self, *crowd):
        """Let a crowd press on the entry and check what must hold."""
        await check_process(
            self, self.site, crowd, self.site.entry, self.site.entry_address, self.site.call_entry
        )

    async def test_whole_bodies(self):
        """Guards against bodies of legal size that together take more than the memory."""
        await self.check((support.send_body_short_of_its_end, CLIENTS))

    async def test_chunked_bodies(self):
        """Guards against bodies without a length that together take more than the memory."""
        await self.check((support.send_chunks_without_end, CLIENTS))

    async def test_requests_sent_ahead(self):
        """Guards against requests that are read and kept while one before them is in work."""
        await self.check((support.send_ahead, 24))

    async def test_unread_answers(self):
        """Guards against answers that wait in memory for callers that don't read them."""
        await self.check((support.read_no_answer, CLIENTS))

    async def test_unread_streams(self):
        """Guards against streams that are read on for callers that don't read them."""
        await self.check((support.read_no_stream, 2 * CLIENTS))

    async def test_slow_heads(self):
        """Guards against request heads of any size, which nothing limits as a whole."""
        await self.check((support.send_slow_head, CLIENTS))

    async def test_connections_without_a_byte(self):
        """Guards against connections that take all descriptors."""
        await self.check((support.send_nothing, support.MAX_FDS + CLIENTS))

    async def test_all_together(self):
        """Guards against limits that hold only one by one."""
        await self.check(
            (support.send_body_short_of_its_end, 20),
            (support.send_chunks_without_end, 20),
            (support.send_ahead, 10),
            (support.read_no_answer, 20),
            (support.read_no_stream, 20),
            (support.send_slow_head, 20),
            (support.send_nothing, support.MAX_FDS),
        )


class TestControlCrowds(unittest.IsolatedAsyncioTestCase):
    """Crowds at a control process."""

    async def asyncSetUp(self):
        self.site = await support.CrowdSite().start()
        self.addAsyncCleanup(self.site.close)

    async def check(self, *crowd):
        """Let a crowd press on the control process and check what must hold."""
        await check_process(
            self,
            self.site,
            crowd,
            self.site.control,
            self.site.control_address,
            self.site.read_document,
        )

    async def test_large_documents(self):
        """Guards against configurations that together take more than the memory."""
        await self.check((support.send_large_document, CLIENTS // 2))

    async def test_connections_without_a_byte(self):
        """Guards against connections that take all descriptors."""
        await self.check((support.send_nothing, support.MAX_FDS + CLIENTS))


async def check_process(test, site, crowd, target, address, ask):
    """Let a crowd press on a process and check what must hold."""
    before = target.peak_mb()
    statuses = await site.press(crowd, target, address, ask)
    test.assertTrue(target.is_alive(), "the process has ended")
    peak_mb = target.peak_mb()
    print(
        f"{test.id()}: {before:.0f} MB before, peak {peak_mb:.0f} MB, "
        f"{target.most_descriptors} descriptors, ordinary {statuses}",
        flush=True,
    )
    test.assertLess(peak_mb, support.MEMORY_MB)
    test.assertLess(target.most_descriptors, support.MAX_FDS)
    test.assertEqual(statuses[-1], 200, statuses)


if __name__ == "__main__":
    unittest.main()
