"""Integration tests of values from outside that no message between processes can carry."""

from __future__ import annotations

import asyncio
import json
import unittest

from mulberrygate.daemon.tests.site_support import (
    CONTROLS,
    ENTRY,
    STEP_TIMEOUT_S,
    SiteTestCase,
    unreachable_endpoint,
)
from mulberrygate.endpoints.roster import Registration
from mulberrygate.forward.tests.support import document

# Half of a surrogate pair: valid in a JSON escape, but no Unicode text.
SURROGATE = "\ud800"
TOO_LARGE = 1 << 70
STRAY = "/instances/i-stray"


async def stay_silent(_endpoint, reader, _writer, _head):
    """Go on running without an answer until the connection is closed."""
    await reader.read()


class TestOutsideValues(SiteTestCase):
    """Heartbeats, configurations, version moves and requests with such values."""

    async def put_stray(self, path=STRAY, **changes):
        """Send a changed heartbeat to each control process; return the statuses."""
        heartbeat = self.deployment.heartbeat(unreachable_endpoint(), "booking", **changes)
        return [
            (await self.deployment.call_control("PUT", path, heartbeat, name))[0]
            for name in CONTROLS
        ]

    async def assert_configuration_arrives(self, version):
        """Check that the entry puts a configuration in force, and that no message failed."""
        await self.deployment.put_document(version)
        entry_node = self.deployment.entry_node
        await self.deployment.until(lambda: entry_node.forwarder.index is not None)
        await self.deployment.until(lambda: entry_node.forwarder.index.version == version)
        left = [line["reason"] for line in entry_node.lines.of("control.left")]
        self.assertEqual([reason for reason in left if "Error" in reason], [])

    async def test_heartbeat_with_a_text_that_is_no_unicode(self):
        """Guards against a heartbeat that keeps all entries from new configurations.

        A control process could not encode its answers to entries as long as it listed the endpoint.
        """
        await self.assert_configuration_arrives(1)
        for version, field in enumerate(("service", "zone", "version", "address"), 2):
            with self.subTest(field):
                text = SURROGATE + ":80" if field == "address" else SURROGATE
                self.assertEqual(await self.put_stray(**{field: text}), [400] * 3)
                await self.assert_configuration_arrives(version)

    async def test_heartbeat_with_raw_bytes_that_are_no_unicode(self):
        """Guards against bytes of half a surrogate pair, which a lenient JSON reader accepts."""
        await self.assert_configuration_arrives(1)
        heartbeat = self.deployment.heartbeat(unreachable_endpoint(), "X")
        body = json.dumps(heartbeat).encode().replace(b'"X"', b'"\xed\xa0\x80"')
        status, _ = await self.deployment.call_control("PUT", STRAY, body)
        self.assertEqual(status, 400)
        await self.assert_configuration_arrives(2)

    async def test_heartbeat_with_a_number_that_is_too_large(self):
        """Guards against a number over 64 bits in a heartbeat, which stops configurations too."""
        await self.assert_configuration_arrives(1)
        for version, field in enumerate(("slots", "sequence", "born", "coldRemainingMs"), 2):
            with self.subTest(field):
                self.assertEqual(await self.put_stray(**{field: TOO_LARGE}), [400] * 3)
                await self.assert_configuration_arrives(version)

    async def test_registration_that_cannot_be_encoded(self):
        """Guards against a roster in which one endpoint makes all answers to entries fail.

        The decoder refuses such a heartbeat; this one is passed on as if it had missed it.
        """
        await self.assert_configuration_arrives(1)
        for registration in (
            Registration("i-stray", 1, 1, SURROGATE, "127.0.0.1:1", "a"),
            Registration("i-stray", 1, 1, "booking", "127.0.0.1:1", "a", slots=TOO_LARGE),
        ):
            for node in self.deployment.nodes.values():
                self.assertFalse(await node.controller.reports.record_heartbeat(registration))
        await self.assert_configuration_arrives(2)

    async def test_version_move_with_a_text_that_is_no_unicode(self):
        """Guards against a version move whose target no answer to entries can carry."""
        await self.assert_configuration_arrives(1)
        for fields in (
            {"service": "care", "target": SURROGATE, "durationS": 12},
            {"service": SURROGATE, "target": "v2", "durationS": 12},
            {"service": "care", "target": "v2", "durationS": TOO_LARGE},
        ):
            with self.subTest(fields):
                status, _ = await self.deployment.call_control("POST", "/rollouts", fields)
                self.assertEqual(status, 400)
        await self.assert_configuration_arrives(2)

    async def test_configuration_with_a_text_that_is_no_unicode(self):
        """Guards against a configuration whose names no message between processes can carry."""
        await self.assert_configuration_arrives(1)
        fields = {**document(), "version": 2}
        fields["routes"].append({**fields["routes"][0], "name": SURROGATE, "pathPrefix": "/x/"})
        status, _ = await self.deployment.call_control("PUT", "/config", fields)
        self.assertEqual(status, 400)
        await self.assert_configuration_arrives(3)

    async def send_head(self, *lines):
        """Send a request with raw header lines to the entry and return the status."""
        reader, writer = await asyncio.open_connection(ENTRY, self.deployment.entry_port)
        head = (b"POST /stream/1 HTTP/1.1", b"Host: a.example", b"Content-Length: 0", *lines)
        writer.write(b"\r\n".join(head) + b"\r\n\r\n")
        async with asyncio.timeout(STEP_TIMEOUT_S):
            line = await reader.readline()
        writer.close()
        return int(line.split()[1])

    async def test_request_with_a_header_that_is_no_unicode(self):
        """Guards against a request that keeps the entry from reporting on all others of its pool.

        The owner of the pool is told the identifiers of all requests in one message.
        """
        await self.assert_configuration_arrives(1)
        await self.start_endpoint("care", stay_silent)
        entry_node = self.deployment.entry_node
        await self.deployment.until(lambda: entry_node.roster.rows)
        sound = asyncio.create_task(self.deployment.send_request("/stream/1"))
        self.addCleanup(sound.cancel)
        await self.deployment.until(lambda: entry_node.forwarder.scheduler.running)
        scheduler = entry_node.forwarder.scheduler
        statuses = await asyncio.gather(
            self.send_head(b"X-Mulberrygate-Request-Id: \xff"),
            self.send_head(b"X-Mulberrygate-Token-Count: " + b"9" * 24 + b",1"),
            self.send_head(b"X-Mulberrygate-Token-Count: " + b"9" * 5000 + b",1"),
        )
        self.assertEqual(statuses, [400] * 3)
        scheduler.report_progress()
        failed = entry_node.lines.of("timer.failed") + entry_node.lines.of("request.failed")
        self.assertEqual(failed, [])


if __name__ == "__main__":
    unittest.main()
