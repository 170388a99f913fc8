"""Test with real processes of a deployment: product settings, and where a request would go."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import sys
import tempfile
import unittest

from mulberrygate.core.http_client import open_session
from mulberrygate.forward.tests.support import REQUEST_ID, Endpoint, document, whole
from mulberrygate.settings.product import FILE_VARIABLE
from mulberrygate.standin.local import free_ports

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.dirname(__file__))))
CONTROL, ENTRY = "127.0.0.31", "127.0.0.41"
STEP_TIMEOUT_S = 60.0


class TestProcesses(unittest.IsolatedAsyncioTestCase):
    """One control process and one entry, started as the platform starts them."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory(prefix="mulberrygate-test-")
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        self.peer_port, self.control_port, self.entry_port, self.ready_port = free_ports(4)
        self.session = open_session()
        self.addAsyncCleanup(self.session.close)

    async def start_process(self, instance, **variables):
        """Start a process, and end it after the test; return it."""
        is_control = instance == CONTROL
        listen = {"control": f"{CONTROL}:{self.control_port}"}
        if not is_control:
            listen = {
                "frontend": f"{ENTRY}:{self.entry_port}",
                "readiness": f"{ENTRY}:{self.ready_port}",
            }
        data = os.path.join(self.folder, instance)
        os.makedirs(data)
        fields = {
            "node": instance,
            "ip": instance,
            "zone": "a",
            "region": "r",
            "zones": {"a": "r"},
            "listen": listen,
            "internalPorts": [self.peer_port, self.peer_port],
            "seeds": [f"{CONTROL}:{self.control_port}"],
            "bootstrap": True,
            "dataDir": data if is_control else None,
            "faultTolerance": {"machines": 0},
        }
        path = f"{data}.json"
        with open(path, "w", encoding="utf-8") as file:
            json.dump(fields, file)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "mulberrygate.daemon.site",
            cwd=ROOT,
            env={**os.environ, "MULBERRYGATE_NODE_FILE": path, **variables},
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
        )
        self.addAsyncCleanup(self.end_process, process)
        return process

    @staticmethod
    async def end_process(process):
        """Kill a process that still runs."""
        if process.returncode is None:
            process.kill()
        await process.wait()

    async def until_status(self, status, method, url, **more):
        """Repeat a call until it has the wanted status; return the last body."""
        async with asyncio.timeout(STEP_TIMEOUT_S):
            while True:
                with contextlib.suppress(OSError):
                    async with self.session.request(method, url, **more) as answer:
                        body = await answer.read()
                        if answer.status == status:
                            return body
                await asyncio.sleep(0.1)

    async def run_command(self, *arguments):
        """Return the exit code and the output of the operators' command in a process."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "mulberrygate.cli.main", *arguments),
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        output, errors = await asyncio.wait_for(process.communicate(), STEP_TIMEOUT_S)
        return process.returncode, (output + errors).decode()

    async def test_explanation_and_request(self):
        """Guards against settings, messages and a command that work only within one process."""
        endpoint = await Endpoint("e1", whole()).start()
        self.addAsyncCleanup(endpoint.close)
        await self.start_process(CONTROL)
        await self.start_process(ENTRY, **{FILE_VARIABLE: "deploy/hedging.json5"})
        control = f"{CONTROL}:{self.control_port}"
        await self.until_status(200, "PUT", f"http://{control}/config", json=document())
        heartbeat = {
            "service": "booking",
            "address": endpoint.address,
            "zone": "a",
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "sequence": 1,
            "born": 1000,
        }
        await self.until_status(200, "PUT", f"http://{control}/instances/e1", json=heartbeat)
        await self.until_status(200, "GET", f"http://{ENTRY}:{self.ready_port}/ready")
        question = (
            "explain-placement",
            *("--control", control, "--host", "a.example", "--path", "/read/1"),
        )
        async with asyncio.timeout(STEP_TIMEOUT_S):
            while True:
                code, text = await self.run_command(*question)
                if "It would be granted e1 at once." in text:
                    break
                await asyncio.sleep(0.2)
        self.assertEqual(code, 0)
        # The entry hedges, so that it has read the file that its variable names.
        self.assertIn("copies      share_left=0.0", text)
        self.assertEqual(endpoint.requests, [])
        headers = {"Host": "a.example", REQUEST_ID: "id-1"}
        url = f"http://{ENTRY}:{self.entry_port}/read/1"
        body = await self.until_status(200, "POST", url, headers=headers)
        self.assertEqual((body, len(endpoint.requests)), (b"done", 1))

    async def test_wrong_product_settings(self):
        """Guards against a process that ignores a file that isn't there."""
        process = await self.start_process(ENTRY, **{FILE_VARIABLE: "deploy/none.json5"})
        _, errors = await asyncio.wait_for(process.communicate(), STEP_TIMEOUT_S)
        self.assertEqual(process.returncode, 2)
        self.assertIn(b"7102 bad_product_settings", errors)


if __name__ == "__main__":
    unittest.main()
