"""Process tests of crowds of clients at a daemon of the product.

They check the same as those of `mulberrygate.daemon.tests.test_crowds`.
"""

from __future__ import annotations

import asyncio
import functools
import unittest

from mulberrygate.daemon.tests import crowd_support
from mulberrygate.daemon.tests import own_crowd_support as support

# Run by `bin/run_tests.py` after all other modules and by itself, since memory is measured.
RUNS_ALONE = True
CLIENTS = 80

send_whole_body = functools.partial(
    crowd_support.send_body_short_of_its_end, head=support.visit_head
)
send_chunks = functools.partial(crowd_support.send_chunks_without_end, head=support.visit_head)
send_trickle = functools.partial(crowd_support.send_trickle, head=support.visit_head)
send_ahead = functools.partial(crowd_support.send_ahead, head=support.big_answer_head)
read_no_answer = functools.partial(crowd_support.read_no_answer, head=support.big_answer_head)
send_slow_head = functools.partial(crowd_support.send_slow_head, head=support.visit_head)
send_large_table = functools.partial(
    crowd_support.send_body_short_of_its_end, head=support.table_head, size=support.TABLE_BYTES
)
send_large_announcement = functools.partial(
    crowd_support.send_body_short_of_its_end,
    head=support.announcement_head,
    size=support.TABLE_BYTES,
)


class TestOwnCrowds(unittest.IsolatedAsyncioTestCase):
    """Crowds at a daemon of the product."""

    async def asyncSetUp(self):
        self.daemon = await support.CrowdDaemon().start()
        self.addAsyncCleanup(self.daemon.close)

    async def check(self, *crowd):
        """Let a crowd press on the daemon and check what must hold."""
        daemon = self.daemon
        await crowd_support.check_process(
            self, crowd, daemon.process, daemon.address, daemon.call_service
        )

    async def test_whole_bodies(self):
        """Guards against bodies of legal size that together take more than the memory."""
        await self.check((send_whole_body, CLIENTS))

    async def test_chunked_bodies(self):
        """Guards against bodies without a length that together take more than the memory."""
        await self.check((send_chunks, CLIENTS))

    async def test_bodies_that_trickle(self):
        """Guards against bodies that are kept as long as some bytes of them arrive."""
        await self.check((send_trickle, CLIENTS))

    async def test_requests_sent_ahead(self):
        """Guards against requests that are read and kept while one before them is in work."""
        await self.check((send_ahead, 24))

    async def test_unread_answers(self):
        """Guards against answers that wait in memory for callers that don't read them."""
        await self.check((read_no_answer, CLIENTS))

    async def test_unread_streams(self):
        """Guards against streams that are read on for callers that don't read them."""
        await self.check((support.read_no_stream, 2 * CLIENTS))

    async def test_slow_heads(self):
        """Guards against request heads of any size, which nothing limits as a whole."""
        await self.check((send_slow_head, CLIENTS))

    async def test_connections_without_a_byte(self):
        """Guards against connections that take all descriptors."""
        await self.check((crowd_support.send_nothing, crowd_support.MAX_FDS + CLIENTS))

    async def test_bodies_that_grow_when_parsed(self):
        """Guards against model requests that take many times their size once parsed."""
        await self.check((support.send_many_values, CLIENTS // 2))

    async def test_large_tables(self):
        """Guards against tables that together take more than the memory."""
        await self.check((send_large_table, CLIENTS // 2))

    async def test_large_announcements(self):
        """Guards against announcements that are read beyond their limit."""
        await self.check((send_large_announcement, CLIENTS // 2))

    async def test_stop_beside_bodies_that_trickle(self):
        """Guards against a planned stop that lasts as long as its callers like."""
        daemon = self.daemon
        tasks = [
            asyncio.ensure_future(send_trickle(daemon.address, number)) for number in range(CLIENTS)
        ]
        try:
            await asyncio.sleep(crowd_support.CROWD_S)
            daemon.process.process.terminate()
            self.assertEqual(await daemon.system.wait_ended(support.NAME), 0)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def test_all_together(self):
        """Guards against limits that hold only one by one."""
        await self.check(
            (send_whole_body, 20),
            (send_chunks, 20),
            (send_ahead, 10),
            (read_no_answer, 20),
            (support.read_no_stream, 20),
            (send_slow_head, 20),
            (support.send_many_values, 10),
            (send_large_table, 5),
            (crowd_support.send_nothing, crowd_support.MAX_FDS),
        )


if __name__ == "__main__":
    unittest.main()
