"""Tests of the platform's programs together: control processes and an entry on loopback."""

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
from mulberrygate.daemon.gateway import Gateway
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

# Steps wait for conditions; this only ends a test that would hang.
LIMIT_S = 60.0
CONTROLS = ("127.0.0.11", "127.0.0.12", "127.0.0.13")
ENTRY = "127.0.0.21"
OTHER_ENTRY = "127.0.0.22"
BOUNDS = Bounds(kill_after_s=1.2)


def free_ports(count):
    """Return ports that are free on all addresses of the loopback."""
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind(("0.0.0.0", 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


def absent_endpoint():
    """Return an endpoint that doesn't run."""
    endpoint = Endpoint("e1", whole())
    endpoint.address = "127.0.0.1:1"
    return endpoint


class Deployment:
    """Three control processes and one entry, in this process."""

    def __init__(self):
        self.peer_port, self.control_port, self.entry_port, self.ready_port = free_ports(4)
        self.folders = {name: tempfile.mkdtemp() for name in CONTROLS}
        self.nodes: dict[str, ControlNode] = {}
        self.gateway: Gateway | None = None
        self.gateways: list[Gateway] = []
        self.seeds = CONTROLS

    def site(self, instance, is_first=True):
        """Return the settings of an instance."""
        is_control = instance in CONTROLS
        return Site(
            instance=instance,
            node=instance,
            failure_domain="a",
            region="r",
            regions={"a": "r"},
            entry_address="" if is_control else f"{instance}:{self.entry_port}",
            readiness_address="" if is_control else f"{instance}:{self.ready_port}",
            control_address=f"{instance}:{self.control_port}" if is_control else "",
            peer_port=self.peer_port,
            seeds=self.seeds,
            is_first_start=is_first,
            data_folder=self.folders.get(instance, ""),
            voters=3,
            bounds=BOUNDS,
        )

    async def start_control(self, name, is_first=True):
        """Start a control process on what its folder holds."""
        node = ControlNode(self.site(name, is_first), Lines(), decode_document, OperatorApi)
        self.nodes[name] = node
        await node.start()

    async def start(self):
        """Start everything."""
        self.session = aiohttp.ClientSession()
        for name in CONTROLS:
            await self.start_control(name)
        self.gateway = await self.start_entry(ENTRY)
        return self

    async def start_entry(self, name):
        """Start an entry."""
        gateway = Gateway(self.site(name), Lines(), PlatformDialect(), decode_document)
        self.gateways.append(gateway)
        await gateway.start()
        return gateway

    async def crash(self, name):
        """End a control process without any notice to the others."""
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

    def wipe(self, name):
        """Replace the disk of a control process by an empty one."""
        shutil.rmtree(self.folders[name])
        self.folders[name] = tempfile.mkdtemp()

    def leader(self):
        """Return the name of the control process that leads, empty if none does."""
        found = [name for name, node in self.nodes.items() if node.controller.is_leader]
        return found[0] if found else ""

    async def find_leader(self):
        """Wait until a control process leads, and return its name."""
        await self.until(self.leader)
        return self.leader()

    async def until(self, condition):
        """Wait until a condition holds."""
        async with asyncio.timeout(LIMIT_S):
            while not condition():  # noqa: ASYNC110 (conditions have no event of their own)
                await asyncio.sleep(0.02)

    async def control(self, method, path, body=None, name=None):
        """Call a control process and return status and fields."""
        name = name or next(iter(self.nodes))
        url = f"http://{name}:{self.control_port}{path}"
        data = body if isinstance(body, bytes) else json.dumps(body).encode() if body else None
        async with self.session.request(method, url, data=data) as answer:
            text = await answer.read()
            return answer.status, json.loads(text) if text else {}

    async def put(self, version, name=None, **route):
        """Put a document in force, again until it is acknowledged."""
        fields = {**document(**route), "version": version}
        async with asyncio.timeout(LIMIT_S):
            while True:
                status, _ = await self.control("PUT", "/config", fields, name)
                if status == 200:
                    return
                await asyncio.sleep(0.05)

    async def read(self, name):
        """Return the version that a control process reads, waiting until it is certain."""
        async with asyncio.timeout(LIMIT_S):
            while True:
                status, fields = await self.control("GET", "/config", name=name)
                if status == 200:
                    return fields["version"]
                await asyncio.sleep(0.05)

    def beat(self, endpoint, pool, sequence=1, **changes):
        """Return an endpoint's heartbeat."""
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

    async def ask(self, path, entry=ENTRY, **headers):
        """Send a caller's request to an entry and return status and body."""
        url = f"http://{entry}:{self.entry_port}{path}"
        values = {"Host": "a.example", REQUEST_ID: "id-1", **headers}
        async with self.session.post(url, headers=values) as answer:
            return answer.status, await answer.read()

    async def close(self):
        """Stop everything."""
        await self.session.close()
        for gateway in self.gateways:
            if not gateway.is_stopping:
                await gateway.stop()
        await asyncio.gather(*(node.stop() for node in self.nodes.values()))
        for folder in self.folders.values():
            shutil.rmtree(folder, ignore_errors=True)


class TestSite(unittest.IsolatedAsyncioTestCase):
    """Whole paths, with faults of control processes."""

    async def asyncSetUp(self):
        self.site = await Deployment().start()
        self.addAsyncCleanup(self.site.close)

    async def endpoint(self, pool="booking", answer=None, name="e1"):
        """Start an endpoint that is registered at a control process."""
        endpoint = await Endpoint(name, answer or whole()).start()
        self.addAsyncCleanup(endpoint.close)
        await self.register(endpoint, pool)
        return endpoint

    async def register(self, endpoint, pool, **changes):
        """Send a heartbeat until it is acknowledged."""
        beat = self.site.beat(endpoint, pool, **changes)
        async with asyncio.timeout(LIMIT_S):
            while True:
                path = f"/instances/{endpoint.name}"
                if (await self.site.control("PUT", path, beat))[0] == 200:
                    return
                await asyncio.sleep(0.05)

    async def ask_until_asked(self, endpoint):
        """Send the same call until it has reached an endpoint."""
        async with asyncio.timeout(LIMIT_S):
            for number in itertools.count():
                attempt = f"{endpoint.name}-{number}"
                await self.site.ask("/plain/1", **{REQUEST_ID: attempt})
                if endpoint.asked.is_set():
                    return
                await asyncio.sleep(0.05)

    async def test_request_is_served(self):
        """Some part between operator, endpoint and caller did not fit to the others."""
        await self.site.put(1)
        await self.endpoint()
        await self.endpoint("care", stream(3), "e2")
        roster = self.site.gateway.roster
        await self.site.until(lambda: len(roster.rows) == 2 and self.site.gateway.is_ready)
        self.assertEqual(await self.site.ask("/plain/1"), (200, b"done"))
        status, body = await self.site.ask("/stream/1")
        self.assertEqual((status, body.count(b"id: ")), (200, 3))

    async def test_any_process_takes_and_reads_documents(self):
        """Only the leader could be asked, or another one answered with an older document."""
        for version, name in enumerate(CONTROLS, start=1):
            await self.site.put(version, name)
            for reader in CONTROLS:
                self.assertEqual(await self.site.read(reader), version)

    async def test_invalid_and_older_documents(self):
        """A refused document came into force, or an older one was not acknowledged."""
        await self.site.put(5)
        bad = {**document(timeoutMs=0), "version": 9}
        self.assertEqual((await self.site.control("PUT", "/config", bad))[0], 400)
        cut = json.dumps({**document(), "version": 9}).encode()[:-5]
        self.assertEqual((await self.site.control("PUT", "/config", cut))[0], 400)
        await self.site.put(3)
        self.assertEqual(await self.site.read(CONTROLS[1]), 5)

    async def test_lost_leader(self):
        """After the leader's end documents were lost, or no further one was taken."""
        await self.site.put(1)
        await self.site.crash(await self.site.find_leader())
        await self.site.put(2)
        for name in self.site.nodes:
            self.assertEqual(await self.site.read(name), 2)
        follower = self.site.gateway.follower
        await self.site.until(lambda: follower.index and follower.index.version == 2)

    async def test_lost_disk(self):
        """A process with an emptied disk formed a group of its own, or took no part any more."""
        await self.site.put(1)
        leader = await self.site.find_leader()
        lost = next(name for name in CONTROLS if name != leader)
        await self.site.crash(lost)
        self.site.wipe(lost)
        await self.site.start_control(lost, is_first=False)
        node = self.site.nodes[lost].controller.log.service.node
        await self.site.until(lambda: node.is_voter)
        self.assertEqual(await self.site.read(lost), 1)
        leader = await self.site.find_leader()
        other = next(n for n in CONTROLS if n not in (lost, leader))
        await self.site.crash(other)
        await self.site.put(2)
        self.assertEqual(await self.site.read(lost), 2)

    async def test_full_disk(self):
        """A voter whose disk was full for a while stayed out; the next loss was one too many."""
        await self.site.put(1)
        leader = await self.site.find_leader()
        full = next(name for name in CONTROLS if name != leader)
        controller = self.site.nodes[full].controller
        controller.log.service.storage.failure = "no space left"
        await self.site.put(2)
        await self.site.until(lambda: controller.lines.of("voter.reopened"))
        await self.site.until(lambda: controller.machine.version == 2)
        leader = await self.site.find_leader()
        other = next(n for n in CONTROLS if n not in (full, leader))
        await self.site.crash(other)
        await self.site.put(3)
        self.assertEqual(await self.site.read(full), 3)

    async def test_all_processes_killed_at_once(self):
        """After the end of all control processes the newest document was gone."""
        for version in range(1, 30):
            await self.site.put(version)
        for name in CONTROLS:
            await self.site.crash(name)
        for name in CONTROLS:
            await self.site.start_control(name, is_first=False)
        self.assertEqual(await self.site.read(CONTROLS[0]), 29)

    async def test_leaving_endpoint_survives_the_process_that_acknowledged(self):
        """An endpoint's leaving was known only to the process that died after acknowledging it."""
        await self.site.put(1)
        endpoint = await self.endpoint()
        roster = self.site.gateway.roster
        await self.site.until(lambda: roster.usable("booking"))
        leader = await self.site.find_leader()
        await self.register(endpoint, "booking", sequence=2, state="draining")
        await self.site.crash(leader)
        await self.site.until(lambda: not roster.usable("booking"))
        machines = [node.controller.machine for node in self.site.nodes.values()]
        await self.site.until(lambda: all(m.leaving.get("e1") == 1000 for m in machines))

    async def test_entry_behind_a_stalled_disk_obeys_the_newest_document(self):
        """An entry stayed on an old document while the disk of its control process hung."""
        await self.site.put(1)
        leader = await self.site.find_leader()
        stalled = next(name for name in CONTROLS if name != leader)
        follower = self.site.gateway.follower
        await self.site.until(lambda: follower.index)
        follower.control = stalled
        controller = self.site.nodes[stalled].controller
        await self.site.until(lambda: follower.control_incarnation == controller.incarnation)
        storage = controller.log.service.storage
        persist = storage.persist
        is_released = threading.Event()
        self.addCleanup(is_released.set)
        storage.persist = lambda records: is_released.wait() and persist(records)
        await self.site.put(2, name=leader)
        await self.site.until(lambda: follower.index.version == 2)
        self.assertEqual(controller.machine.version, 1)
        is_released.set()

    async def test_restarted_process_is_not_current_before_its_group(self):
        """A process that had just restarted told entries that its old state was the newest."""
        await self.site.put(1)
        await self.site.find_leader()
        for name in CONTROLS:
            await self.site.crash(name)
        await self.site.start_control(CONTROLS[0], is_first=False)
        controller = self.site.nodes[CONTROLS[0]].controller
        await self.site.until(lambda: controller.log.service.node.started_at is not None)
        status, _ = await self.site.control(
            "PUT", "/instances/e1", self.site.beat(absent_endpoint(), "booking")
        )
        self.assertFalse(controller.is_current)
        self.assertEqual(status, 503)

    async def test_crashing_call_is_refused_after_a_restart_of_all_control_processes(self):
        """A restart forgot which calls crash endpoints, and new entries sent them again."""
        await self.site.put(1)
        suspects = self.site.gateway.suspects
        for number in range(1, 4):
            endpoint = await self.endpoint(answer=crash(), name=f"e{number}")
            await self.ask_until_asked(endpoint)
        await self.site.until(lambda: suspects.quarantined)
        for name in CONTROLS:
            await self.site.crash(name)
        for name in CONTROLS:
            await self.site.start_control(name, is_first=False)
        other = await self.site.start_entry(OTHER_ENTRY)
        await self.site.until(lambda: other.suspects.quarantined)
        sound = await self.endpoint(name="e4")
        await self.site.until(lambda: "e4" in other.roster.rows)
        self.assertEqual((await self.site.ask("/plain/1", OTHER_ENTRY))[0], 503)
        self.assertEqual(sound.requests, [])

    async def test_minority_answers_no_read(self):
        """A process that was alone answered a read with what it had."""
        await self.site.put(1)
        leader = await self.site.find_leader()
        alone = next(name for name in CONTROLS if name != leader)
        for name in [name for name in CONTROLS if name != alone]:
            await self.site.crash(name)
        status, _ = await self.site.control("GET", "/config", name=alone)
        self.assertEqual(status, 503)
        bad, _ = await self.site.control("PUT", "/config", {**document(), "version": 2}, name=alone)
        self.assertEqual(bad, 503)

    async def test_strange_calls(self):
        """A call of another form ended in an error of the program."""
        await self.site.put(1)
        # A process refuses with 503 until it holds what its group has committed.
        controller = self.site.nodes[CONTROLS[0]].controller
        await self.site.until(lambda: controller.is_current)
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
                status, _ = await self.site.control(method, path, body)
                self.assertEqual(status, expected)

    async def test_rollout_is_remembered(self):
        """A repeated order was refused, or its state was unknown to another process."""
        await self.site.put(1)
        order = {"service": "care", "target": "v2", "durationS": 60}
        for name in CONTROLS:
            self.assertEqual((await self.site.control("POST", "/rollouts", order, name))[0], 200)
        status, fields = await self.site.control("GET", "/rollouts/care", name=CONTROLS[2])
        self.assertEqual((status, fields), (200, {"state": "running", "target": "v2"}))

    async def test_entry_is_not_ready_while_it_stops(self):
        """The balancer sent new callers to an entry that was stopping."""
        await self.site.put(1)
        gateway = self.site.gateway
        await self.site.until(lambda: gateway.is_ready)
        url = f"http://{ENTRY}:{self.site.ready_port}/ready"
        async with self.site.session.get(url) as answer:
            self.assertEqual(answer.status, 200)
        stop = asyncio.ensure_future(gateway.stop())
        await asyncio.sleep(0)
        async with self.site.session.get(url) as answer:
            self.assertEqual(answer.status, 503)
        await stop


if __name__ == "__main__":
    unittest.main()
