"""Control processes and an entry on loopback addresses, for integration tests."""

from __future__ import annotations

import asyncio
import itertools
import json
import shutil
import tempfile
import unittest

from mulberrygate.core.http_client import open_session
from mulberrygate.daemon.control_node import ControlNode
from mulberrygate.daemon.entry_node import EntryNode
from mulberrygate.forward.tests.support import (
    REQUEST_ID,
    Endpoint,
    Lines,
    document,
    whole,
)
from mulberrygate.platform.documents import decode_document
from mulberrygate.platform.headers import PlatformDialect
from mulberrygate.platform.operator_api import OperatorApi
from mulberrygate.platform.settings import Bounds, Site
from mulberrygate.standin.local import free_ports

# Ends a test that would otherwise wait for a condition for ever.
STEP_TIMEOUT_S = 60.0
CONTROLS = ("127.0.0.11", "127.0.0.12", "127.0.0.13")
ENTRY = "127.0.0.21"
OTHER_ENTRY = "127.0.0.22"
BOUNDS = Bounds(kill_after_s=1.2)


def unreachable_endpoint():
    """Return an endpoint at an address on which nothing listens."""
    endpoint = Endpoint("e1", whole())
    endpoint.address = "127.0.0.1:1"
    return endpoint


class Deployment:
    """Three control processes and an entry, run in the test process."""

    def __init__(self):
        ports = free_ports(5)
        self.peer_port, self.control_port, self.entry_port, self.ready_port = ports[:4]
        self.tunnel_port = ports[4]
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
            readiness_address="" if is_control else f"{instance}:{self.ready_port}",
            control_address=f"{instance}:{self.control_port}" if is_control else "",
            peer_port=self.peer_port,
            seeds=self.seeds,
            is_first_start=is_first,
            data_folder=self.folders.get(instance, ""),
            voters=3,
            bounds=BOUNDS,
            tunnel_port=self.tunnel_port,
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
        self.session = open_session()
        for name in CONTROLS:
            await self.start_control(name)
        self.entry_node = await self.start_entry(ENTRY)
        return self

    async def start_entry(self, name, product=None):
        """Start an entry."""
        entry_node = EntryNode(
            self.make_settings(name), Lines(), PlatformDialect(), decode_document, product=product
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

    async def send_request(self, path, entry=ENTRY, method="POST", **headers):
        """Send a caller's request to an entry and return status and body."""
        url = f"http://{entry}:{self.entry_port}{path}"
        values = {"Host": "a.example", REQUEST_ID: "id-1", **headers}
        async with self.session.request(method, url, headers=values) as answer:
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


class SiteTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts a deployment before each test and stops it after it."""

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

    async def send_until_received(self, endpoint, path="/plain/1", method="POST"):
        """Repeat the same call until an endpoint has received it."""
        async with asyncio.timeout(STEP_TIMEOUT_S):
            for number in itertools.count():
                attempt = f"{endpoint.name}-{number}"
                await self.deployment.send_request(path, method=method, **{REQUEST_ID: attempt})
                if endpoint.asked.is_set():
                    return
                await asyncio.sleep(0.05)
