"""Integration tests of control processes and an entry on loopback addresses."""

from __future__ import annotations

import asyncio
import json
import threading
import unittest

from mulberrygate.daemon.tests.site_support import (
    CONTROLS,
    ENTRY,
    STEP_TIMEOUT_S,
    SiteTestCase,
    unreachable_endpoint,
)
from mulberrygate.forward.tests.support import (
    REQUEST_ID,
    Endpoint,
    document,
    stream,
)


class TestSite(SiteTestCase):
    """Requests through the whole deployment, and failures of control processes."""

    async def test_request_is_served(self):
        """Guards against components that don't work together from registration to answer."""
        await self.deployment.put_document(1)
        await self.start_endpoint()
        await self.start_endpoint("care", stream(3), "e2")
        roster = self.deployment.entry_node.roster
        await self.deployment.until(
            lambda: len(roster.rows) == 2 and self.deployment.entry_node.is_ready
        )
        self.assertEqual(await self.deployment.send_request("/plain/1"), (200, b"done"))
        status, body = await self.deployment.send_request("/stream/1")
        self.assertEqual((status, body.count(b"id: ")), (200, 3))

    async def test_any_process_takes_and_reads_documents(self):
        """Guards against followers that refuse writes, or answer reads with older documents."""
        for version, name in enumerate(CONTROLS, start=1):
            await self.deployment.put_document(version, name)
            for reader in CONTROLS:
                self.assertEqual(await self.deployment.read_version(reader), version)

    async def test_invalid_and_older_documents(self):
        """Guards against applying an invalid document, or not acknowledging an older one."""
        await self.deployment.put_document(5)
        bad = {**document(timeoutMs=0), "version": 9}
        self.assertEqual((await self.deployment.call_control("PUT", "/config", bad))[0], 400)
        cut = json.dumps({**document(), "version": 9}).encode()[:-5]
        self.assertEqual((await self.deployment.call_control("PUT", "/config", cut))[0], 400)
        await self.deployment.put_document(3)
        self.assertEqual(await self.deployment.read_version(CONTROLS[1]), 5)

    async def test_lost_leader(self):
        """Guards against lost documents, or refused new ones, after the loss of the leader."""
        await self.deployment.put_document(1)
        await self.deployment.crash(await self.deployment.find_leader())
        await self.deployment.put_document(2)
        for name in self.deployment.nodes:
            self.assertEqual(await self.deployment.read_version(name), 2)
        follower = self.deployment.entry_node.follower
        await self.deployment.until(lambda: follower.index and follower.index.version == 2)

    async def test_lost_disk(self):
        """Guards against a process with an erased disk that forms a new group or never rejoins."""
        await self.deployment.put_document(1)
        leader = await self.deployment.find_leader()
        lost = next(name for name in CONTROLS if name != leader)
        await self.deployment.crash(lost)
        self.deployment.erase_disk(lost)
        await self.deployment.start_control(lost, is_first=False)
        node = self.deployment.nodes[lost].controller.log.service.node
        await self.deployment.until(lambda: node.is_voter)
        self.assertEqual(await self.deployment.read_version(lost), 1)
        leader = await self.deployment.find_leader()
        other = next(n for n in CONTROLS if n not in (lost, leader))
        await self.deployment.crash(other)
        await self.deployment.put_document(2)
        self.assertEqual(await self.deployment.read_version(lost), 2)

    async def test_full_disk(self):
        """Guards against a voter that stays stopped after its disk was full for a while.

        The group would then lose its majority with the next lost voter.
        """
        await self.deployment.put_document(1)
        leader = await self.deployment.find_leader()
        full = next(name for name in CONTROLS if name != leader)
        controller = self.deployment.nodes[full].controller
        controller.log.service.storage.failure = "no space left"
        await self.deployment.put_document(2)
        await self.deployment.until(lambda: controller.lines.of("voter.reopened"))
        await self.deployment.until(lambda: controller.machine.version == 2)
        leader = await self.deployment.find_leader()
        other = next(n for n in CONTROLS if n not in (full, leader))
        await self.deployment.crash(other)
        await self.deployment.put_document(3)
        self.assertEqual(await self.deployment.read_version(full), 3)

    async def test_all_processes_killed_at_once(self):
        """Guards against the loss of the newest document when all control processes crash."""
        for version in range(1, 30):
            await self.deployment.put_document(version)
        for name in CONTROLS:
            await self.deployment.crash(name)
        for name in CONTROLS:
            await self.deployment.start_control(name, is_first=False)
        self.assertEqual(await self.deployment.read_version(CONTROLS[0]), 29)

    async def test_leaving_endpoint_survives_the_process_that_acknowledged(self):
        """Guards against acknowledging that an endpoint leaves before this is replicated."""
        await self.deployment.put_document(1)
        endpoint = await self.start_endpoint()
        roster = self.deployment.entry_node.roster
        await self.deployment.until(lambda: roster.usable("booking"))
        leader = await self.deployment.find_leader()
        await self.register(endpoint, "booking", sequence=2, state="draining")
        await self.deployment.crash(leader)
        await self.deployment.until(lambda: not roster.usable("booking"))
        machines = [node.controller.machine for node in self.deployment.nodes.values()]
        await self.deployment.until(lambda: all(m.leaving.get("e1") == 1000 for m in machines))

    async def test_entry_behind_a_stalled_disk_obeys_the_newest_document(self):
        """Guards against an entry that keeps an old document if its control's disk hangs."""
        await self.deployment.put_document(1)
        leader = await self.deployment.find_leader()
        stalled = next(name for name in CONTROLS if name != leader)
        follower = self.deployment.entry_node.follower
        await self.deployment.until(lambda: follower.index)
        follower.control = stalled
        controller = self.deployment.nodes[stalled].controller
        await self.deployment.until(lambda: follower.control_incarnation == controller.incarnation)
        storage = controller.log.service.storage
        persist = storage.persist
        is_released = threading.Event()
        self.addCleanup(is_released.set)
        storage.persist = lambda records: is_released.wait() and persist(records)
        await self.deployment.put_document(2, name=leader)
        await self.deployment.until(lambda: follower.index.version == 2)
        self.assertEqual(controller.machine.version, 1)
        is_released.set()

    async def test_restarted_process_is_not_current_before_its_group(self):
        """Guards against a restarted process that reports its old state as current."""
        await self.deployment.put_document(1)
        await self.deployment.find_leader()
        for name in CONTROLS:
            await self.deployment.crash(name)
        await self.deployment.start_control(CONTROLS[0], is_first=False)
        controller = self.deployment.nodes[CONTROLS[0]].controller
        await self.deployment.until(lambda: controller.log.service.node.started_at is not None)
        status, _ = await self.deployment.call_control(
            "PUT", "/instances/e1", self.deployment.heartbeat(unreachable_endpoint(), "booking")
        )
        self.assertFalse(controller.is_current)
        self.assertEqual(status, 503)

    async def test_minority_answers_no_read(self):
        """Guards against a process without a majority that answers reads from its own state."""
        await self.deployment.put_document(1)
        leader = await self.deployment.find_leader()
        alone = next(name for name in CONTROLS if name != leader)
        for name in [name for name in CONTROLS if name != alone]:
            await self.deployment.crash(name)
        status, _ = await self.deployment.call_control("GET", "/config", name=alone)
        self.assertEqual(status, 503)
        bad, _ = await self.deployment.call_control(
            "PUT", "/config", {**document(), "version": 2}, name=alone
        )
        self.assertEqual(bad, 503)

    async def test_strange_calls(self):
        """Guards against internal errors for malformed or unknown requests."""
        await self.deployment.put_document(1)
        # A process refuses with 503 until it holds what its group has committed.
        controller = self.deployment.nodes[CONTROLS[0]].controller
        await self.deployment.until(lambda: controller.is_current)
        calls = [
            ("GET", "/none", None, 404),
            ("PUT", "/instances/e9", b"{", 400),
            ("PUT", "/instances/e9", b"\xff\x00", 400),
            ("DELETE", "/instances/none", None, 200),
            ("POST", "/rollouts", b"[]", 400),
            ("POST", "/rollouts", {"service": "none", "target": "v2", "durationS": 5}, 404),
            ("GET", "/rollouts/none", None, 404),
        ]
        for method, path, body, expected in calls:
            with self.subTest(path=path):
                status = await self.call_until_certain(method, path, body)
                self.assertEqual(status, expected)

    async def call_until_certain(self, method, path, body=None):
        """Repeat a call while no process can answer it for certain; return the other status.

        A process answers 503 while its group elects a leader, as happens beside load.
        """
        async with asyncio.timeout(STEP_TIMEOUT_S):
            while True:
                status, _ = await self.deployment.call_control(method, path, body)
                if status != 503:
                    return status
                await asyncio.sleep(0.05)

    async def test_rollout_is_remembered(self):
        """Guards against a refused repeat of a roll-out, or one unknown to another process."""
        await self.deployment.put_document(1)
        order = {"service": "care", "target": "v2", "durationS": 60}
        for name in CONTROLS:
            self.assertEqual(
                (await self.deployment.call_control("POST", "/rollouts", order, name))[0], 200
            )
        status, fields = await self.deployment.call_control(
            "GET", "/rollouts/care", name=CONTROLS[2]
        )
        self.assertEqual((status, fields), (200, {"state": "running", "target": "v2"}))

    async def test_entry_is_not_ready_while_it_stops(self):
        """Guards against a stopping entry that the load balancer still sees as ready."""
        await self.deployment.put_document(1)
        entry_node = self.deployment.entry_node
        await self.deployment.until(lambda: entry_node.is_ready)
        url = f"http://{ENTRY}:{self.deployment.ready_port}/ready"
        async with self.deployment.session.get(url) as answer:
            self.assertEqual(answer.status, 200)
        stop = asyncio.ensure_future(entry_node.stop())
        await asyncio.sleep(0)
        async with self.deployment.session.get(url) as answer:
            self.assertEqual(answer.status, 503)
        await stop

    async def test_stop_answers_calls_that_wait(self):
        """Guards against a planned stop that cuts off calls that wait for an endpoint.

        Nothing had run, but the callers could not know that they may send the calls again.
        """

        async def stay_silent(_endpoint, reader, _writer, _head):
            await reader.read()

        await self.deployment.put_document(1, timeoutMs=60_000)
        endpoint = await Endpoint("e1", stay_silent).start()
        self.addAsyncCleanup(endpoint.close)
        await self.register(endpoint, "booking", slots=1)
        entry_node = self.deployment.entry_node
        await self.deployment.until(lambda: entry_node.roster.rows)
        asked = [
            asyncio.ensure_future(
                self.deployment.send_request("/plain/1", **{REQUEST_ID: f"id-{number}"})
            )
            for number in range(8)
        ]
        scheduler = entry_node.forwarder.scheduler
        await self.deployment.until(lambda: endpoint.asked.is_set() and scheduler.waiting)
        await entry_node.stop()
        statuses = [status for status, _ in await asyncio.gather(*asked)]
        # Those that reached the endpoint may have run.
        sent = len(endpoint.requests)
        self.assertEqual(sorted(statuses), [503] * (8 - sent) + [504] * sent)
        self.assertLess(sent, 8)


if __name__ == "__main__":
    unittest.main()
