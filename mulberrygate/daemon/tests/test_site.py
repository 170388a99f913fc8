"""Integration tests of control processes and an entry on loopback addresses."""

from __future__ import annotations

import asyncio
import itertools
import json
import shutil
import socket
import tempfile
import threading
import unittest

import aiohttp

from mulberrygate.daemon.control_node import ControlNode
from mulberrygate.daemon.entry_node import EntryNode
from mulberrygate.forward.tests.support import (
    REQUEST_ID,
    Endpoint,
    Lines,
    crash,
    document,
    stream,
    whole,
)
from mulberrygate.platform.documents import decode_document
from mulberrygate.platform.headers import PlatformDialect
from mulberrygate.platform.operator_api import OperatorApi
from mulberrygate.platform.settings import Bounds, Site

# Ends a test that would otherwise wait for a condition for ever.
STEP_TIMEOUT_S = 60.0
CONTROLS = ("127.0.0.11", "127.0.0.12", "127.0.0.13")
ENTRY = "127.0.0.21"
OTHER_ENTRY = "127.0.0.22"
BOUNDS = Bounds(stop_s=1.2)


def free_ports(count):
    """Return ports that are free on all local addresses."""
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind(("0.0.0.0", 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


def unreachable_endpoint():
    """Return an endpoint at an address on which nothing listens."""
    endpoint = Endpoint("e1", whole())
    endpoint.address = "127.0.0.1:1"
    return endpoint


class Deployment:
    """Three control processes and an entry, run in the test process."""

    def __init__(self):
        self.peer_port, self.control_port, self.entry_port, self.ready_port = free_ports(4)
        self.folders = {name: tempfile.mkdtemp() for name in CONTROLS}
        self.nodes: dict[str, ControlNode] = {}
        self.entry_node: EntryNode | None = None
        self.entry_nodes: list[EntryNode] = []
        self.seeds = CONTROLS

    def make_settings(self, instance, is_first=True):
        """Return the settings of an instance."""
        is_control = instance in CONTROLS
        return Site(
            instance=instance,
            node=instance,
            failure_domain="a",
            region="r",
            regions={"a": "r"},
            entry_address="" if is_control else f"{instance}:{self.entry_port}",
            ready_address="" if is_control else f"{instance}:{self.ready_port}",
            control_address=f"{instance}:{self.control_port}" if is_control else "",
            peer_port=self.peer_port,
            seeds=self.seeds,
            is_first_start=is_first,
            data_folder=self.folders.get(instance, ""),
            voters=3,
            bounds=BOUNDS,
        )

    async def start_control(self, name, is_first=True):
        """Start a control process with the present contents of its data folder."""
        node = ControlNode(
            self.make_settings(name, is_first), Lines(), decode_document, OperatorApi
        )
        self.nodes[name] = node
        await node.start()

    async def start(self):
        """Start the control processes and one entry."""
        self.session = aiohttp.ClientSession()
        for name in CONTROLS:
            await self.start_control(name)
        self.entry_node = await self.start_entry(ENTRY)
        return self

    async def start_entry(self, name):
        """Start an entry."""
        entry_node = EntryNode(
            self.make_settings(name), Lines(), PlatformDialect(), decode_document
        )
        self.entry_nodes.append(entry_node)
        await entry_node.start()
        return entry_node

    async def crash(self, name):
        """Stop a control process abruptly, without a message to the others."""
        node = self.nodes.pop(name)
        controller = node.controller
        node.http.listener.close()
        await node.http.close()
        service = controller.log.service
        service.is_closed = True
        service.subscription.cancel()
        service.worker.cancel()
        await controller.timers.close()
        await controller.peers.close()
        service.storage.close()

    def erase_disk(self, name):
        """Replace the data folder of a control process by an empty one."""
        shutil.rmtree(self.folders[name])
        self.folders[name] = tempfile.mkdtemp()

    def leader(self):
        """Return the name of the leader, empty if there is none."""
        found = [name for name, node in self.nodes.items() if node.controller.is_leader]
        return found[0] if found else ""

    async def find_leader(self):
        """Wait until there is a leader, and return its name."""
        await self.until(self.leader)
        return self.leader()

    async def until(self, condition):
        """Wait until a condition holds."""
        async with asyncio.timeout(STEP_TIMEOUT_S):
            while not condition():  # noqa: ASYNC110 (conditions have no event of their own)
                await asyncio.sleep(0.02)

    async def call_control(self, method, path, body=None, name=None):
        """Send a request to a control process and return status and decoded body."""
        name = name or next(iter(self.nodes))
        url = f"http://{name}:{self.control_port}{path}"
        data = body if isinstance(body, bytes) else json.dumps(body).encode() if body else None
        async with self.session.request(method, url, data=data) as answer:
            text = await answer.read()
            return answer.status, json.loads(text) if text else {}

    async def put_document(self, version, name=None, **route):
        """Send a catalog document until it is acknowledged."""
        fields = {**document(**route), "version": version}
        async with asyncio.timeout(STEP_TIMEOUT_S):
            while True:
                status, _ = await self.call_control("PUT", "/config", fields, name)
                if status == 200:
                    return
                await asyncio.sleep(0.05)

    async def read_version(self, name):
        """Return the catalog version that a control process answers once it is certain."""
        async with asyncio.timeout(STEP_TIMEOUT_S):
            while True:
                status, fields = await self.call_control("GET", "/config", name=name)
                if status == 200:
                    return fields["version"]
                await asyncio.sleep(0.05)

    def heartbeat(self, endpoint, pool, sequence=1, **changes):
        """Return the body of an endpoint's heartbeat."""
        return {
            "service": pool,
            "address": endpoint.address,
            "zone": "a",
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "sequence": sequence,
            "born": 1000,
            **changes,
        }

    async def send_request(self, path, entry=ENTRY, **headers):
        """Send a caller's request to an entry and return status and body."""
        url = f"http://{entry}:{self.entry_port}{path}"
        values = {"Host": "a.example", REQUEST_ID: "id-1", **headers}
        async with self.session.post(url, headers=values) as answer:
            return answer.status, await answer.read()

    async def close(self):
        """Stop all processes and delete their data folders."""
        await self.session.close()
        for entry_node in self.entry_nodes:
            if not entry_node.is_stopping:
                await entry_node.stop()
        await asyncio.gather(*(node.stop() for node in self.nodes.values()))
        for folder in self.folders.values():
            shutil.rmtree(folder, ignore_errors=True)


class TestSite(unittest.IsolatedAsyncioTestCase):
    """Requests through the whole deployment, and failures of control processes."""

    async def asyncSetUp(self):
        self.deployment = await Deployment().start()
        self.addAsyncCleanup(self.deployment.close)

    async def start_endpoint(self, pool="booking", answer=None, name="e1"):
        """Start an endpoint that is registered at a control process."""
        endpoint = await Endpoint(name, answer or whole()).start()
        self.addAsyncCleanup(endpoint.close)
        await self.register(endpoint, pool)
        return endpoint

    async def register(self, endpoint, pool, **changes):
        """Send a heartbeat until it is acknowledged."""
        heartbeat = self.deployment.heartbeat(endpoint, pool, **changes)
        async with asyncio.timeout(STEP_TIMEOUT_S):
            while True:
                path = f"/instances/{endpoint.name}"
                if (await self.deployment.call_control("PUT", path, heartbeat))[0] == 200:
                    return
                await asyncio.sleep(0.05)

    async def send_until_received(self, endpoint):
        """Repeat the same call until an endpoint has received it."""
        async with asyncio.timeout(STEP_TIMEOUT_S):
            for number in itertools.count():
                attempt = f"{endpoint.name}-{number}"
                await self.deployment.send_request("/plain/1", **{REQUEST_ID: attempt})
                if endpoint.asked.is_set():
                    return
                await asyncio.sleep(0.05)

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

    async def test_crashing_call_is_refused_after_a_restart_of_all_control_processes(self):
        """Guards against a quarantine that is lost when all control processes restart.

        New entries would then send calls again that crash endpoints.
        """
        await self.deployment.put_document(1)
        suspects = self.deployment.entry_node.suspects
        for number in range(1, 4):
            endpoint = await self.start_endpoint(answer=crash(), name=f"e{number}")
            await self.send_until_received(endpoint)
        await self.deployment.until(lambda: suspects.quarantined)
        for name in CONTROLS:
            await self.deployment.crash(name)
        for name in CONTROLS:
            await self.deployment.start_control(name, is_first=False)
        other = await self.deployment.start_entry(OTHER_ENTRY)
        await self.deployment.until(lambda: other.suspects.quarantined)
        sound = await self.start_endpoint(name="e4")
        await self.deployment.until(lambda: "e4" in other.roster.rows)
        self.assertEqual((await self.deployment.send_request("/plain/1", OTHER_ENTRY))[0], 503)
        self.assertEqual(sound.requests, [])

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
                status, _ = await self.deployment.call_control(method, path, body)
                self.assertEqual(status, expected)

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


if __name__ == "__main__":
    unittest.main()
