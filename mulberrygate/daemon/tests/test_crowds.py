"""Process tests of crowds of clients that use up memory and connections.

Each test checks what doesn't depend on the speed of the machine: the process lives, its peak
resident memory and its open descriptors stay under the limits of its settings, and one ordinary
request is answered afterwards, while the crowd is still connected.
"""

from __future__ import annotations

import functools
import unittest

from mulberrygate.daemon.tests import crowd_support as support

# Run by `bin/run_tests.py` after all other modules and by itself, since memory is measured.
RUNS_ALONE = True
CLIENTS = 80

send_documents_ahead = functools.partial(support.send_ahead, head=support.document_head)
read_no_document = functools.partial(
    support.read_no_answer, head=functools.partial(support.head_lines, "GET", "/config")
)


class TestEntryCrowds(unittest.IsolatedAsyncioTestCase):
    """Crowds at an entry process."""

    async def asyncSetUp(self):
        self.site = await support.CrowdSite().start()
        self.addAsyncCleanup(self.site.close)

    async def check(self, *crowd):
        """Let a crowd press on the entry and check what must hold."""
        site = self.site
        await support.check_process(self, crowd, site.entry, site.entry_address, site.call_entry)

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

    async def test_one_byte_chunks(self):
        """Guards against bodies whose pieces cost more time and memory than their bytes."""
        await self.check((support.send_one_byte_chunks, CLIENTS))


class TestCrowdSentAhead(unittest.IsolatedAsyncioTestCase):
    """Many connections at an entry, each within its own limit on what is sent ahead."""

    # Limits and clients with which a peak of 191 MB was reported.
    MEMORY_MB = 152
    MAX_FDS = 1535
    CLIENTS = 600

    async def asyncSetUp(self):
        self.site = await support.CrowdSite(self.MEMORY_MB, self.MAX_FDS).start()
        self.addAsyncCleanup(self.site.close)

    async def test_bodies_behind_slow_calls(self):
        """Guards against bytes sent ahead that are limited for each connection, not as a sum."""
        site = self.site
        await support.check_process(
            self,
            ((support.send_ahead_of_slow_call, self.CLIENTS),),
            site.entry,
            site.entry_address,
            site.call_entry,
            self.MEMORY_MB,
            self.MAX_FDS,
        )


class TestControlCrowds(unittest.IsolatedAsyncioTestCase):
    """Crowds at a control process."""

    async def asyncSetUp(self):
        self.site = await support.CrowdSite().start()
        self.addAsyncCleanup(self.site.close)

    async def check(self, *crowd):
        """Let a crowd press on the control process and check what must hold."""
        site = self.site
        await support.check_process(
            self, crowd, site.control, site.control_address, site.read_document
        )

    async def test_large_documents(self):
        """Guards against configurations that together take more than the memory."""
        await self.check((support.send_large_document, CLIENTS // 2))

    async def test_connections_without_a_byte(self):
        """Guards against connections that take all descriptors."""
        await self.check((support.send_nothing, support.MAX_FDS + CLIENTS))

    async def test_requests_sent_ahead(self):
        """Guards against calls that are read and kept while one before them is in work."""
        await self.check((send_documents_ahead, 24))


class TestControlAnswerCrowds(unittest.IsolatedAsyncioTestCase):
    """Crowds at a control process with a long configuration."""

    async def test_unread_documents(self):
        """Guards against one copy of the configuration for each caller that doesn't read it."""
        site = await support.CrowdSite(padding=4 << 20).start()
        self.addAsyncCleanup(site.close)
        await support.check_process(
            self,
            ((read_no_document, CLIENTS),),
            site.control,
            site.control_address,
            site.read_document,
        )


if __name__ == "__main__":
    unittest.main()
