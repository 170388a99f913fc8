"""Small deployment on loopback addresses: daemons as processes, stand-ins in this process.

Three control processes and some entries run as `deploy/system.toml` starts them. Endpoints, the
operator and the callers are stand-ins written here from the users' pages.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PROGRAM = ["python3", "-m", "mulberrygate.daemon.site"]
HEARTBEAT_S = 1.2
ZONES = {"zone-a": "region-a", "zone-b": "region-b", "zone-c": "region-c"}
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2500,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2500,
    "rollbackSlackMs": 250,
    "maxStretchMs": 5000,
    "strictRevoke": False,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retryBudgetSlack": 56,
    "quotaWindowS": 8,
    "quotaOverage": 0.1,
    "quotaSlack": 140000,
    "exposureShare": 0.1,
    "exposureSlack": 50,
    "rollbackMs": 5000,
    "recoveryS": 12,
    "passMs": 200,
    "retryAfterS": 10,
}
CONTRACTS = "base drain config cost retry recover engine stream tenants quota rollout".split()
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


class CannotRun(Exception):
    """The case could not be set up, so that it says nothing."""


class Record:
    """Log of what was sent, answered and run, one JSON object a line."""

    def __init__(self, path: Path):
        self.began = time.monotonic()
        self.file = path.open("w", encoding="utf-8")

    def write(self, what: str, **fields) -> None:
        """Write one line."""
        line = {"t": round(time.monotonic() - self.began, 3), "what": what, **fields}
        self.file.write(json.dumps(line) + "\n")
        self.file.flush()


def is_free(host: str, port: int) -> bool:
    """Return whether an address can be bound."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


class Daemon:
    """One process of the system."""

    def __init__(self, name: str, ip: str, settings: dict, folder: Path):
        self.name = name
        self.ip = ip
        self.settings = settings
        self.folder = folder
        self.file = folder / f"{name}.json"
        self.log = folder / f"{name}.log"
        self.process: subprocess.Popen | None = None
        self.write_settings()

    def write_settings(self) -> None:
        """Write the settings file."""
        self.file.write_text(json.dumps(self.settings), encoding="utf-8")

    def start(self) -> None:
        """Start the process as the deploy file says."""
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment = {
            **kept,
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "MULBERRYGATE_NODE_FILE": str(self.file),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                PROGRAM, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send(self, number: int) -> None:
        """Send a signal."""
        self.process.send_signal(number)

    def restart(self) -> None:
        """Start again after the process has ended; it is no first start any more."""
        self.process.wait()
        self.settings["bootstrap"] = False
        self.write_settings()
        self.start()

    def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Deployment:
    """Three control processes and some entries."""

    def __init__(self, record: Record, entries: int = 2):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.octet = random.randrange(20, 200)
        base = random.randrange(20000, 50000, 40)
        self.frontend_port, self.readiness_port = base, base + 1
        self.control_port, self.internal = base + 2, [base + 10, base + 25]
        zones = list(ZONES)
        control_ips = [f"127.{self.octet + i}.0.28" for i in range(3)]
        self.endpoint_ips = [f"127.{self.octet + i}.128.9" for i in range(3)]
        seeds = [f"{ip}:{self.control_port}" for ip in control_ips]
        self.controls = [
            self._daemon(f"core-{i}", control_ips[i], zones[i], "core", seeds) for i in range(3)
        ]
        self.entries = [
            self._daemon(
                f"front-{i}",
                f"127.{self.octet + i % 3}.0.{100 + i}",
                zones[i % 3],
                "frontend",
                seeds,
            )
            for i in range(entries)
        ]
        for daemon in self.daemons:
            for port in (base, base + 1, base + 2, base + 10, base + 11):
                if not is_free(daemon.ip, port):
                    raise CannotRun(f"port {port} is taken")

    @property
    def daemons(self) -> list[Daemon]:
        """Return all processes."""
        return [*self.controls, *self.entries]

    def _daemon(self, name: str, ip: str, zone: str, kind: str, seeds: list[str]) -> Daemon:
        is_core = kind == "core"
        listen = (
            {"control": f"{ip}:{self.control_port}"}
            if is_core
            else {
                "frontend": f"{ip}:{self.frontend_port}",
                "readiness": f"{ip}:{self.readiness_port}",
            }
        )
        data = self.folder / f"{name}-data"
        if is_core:
            data.mkdir()
        settings = {
            "node": name,
            "role": "control" if is_core else "entry",
            "machineClass": kind,
            "serves": ["control"] if is_core else ["frontend"],
            "ip": ip,
            "zone": zone,
            "region": ZONES[zone],
            "zones": ZONES,
            "listen": listen,
            "internalPorts": self.internal,
            "seeds": seeds,
            "bootstrap": True,
            "inTolerance": is_core,
            "limits": {
                "cpuShare": 0.6,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4096,
                "linkMbps": 1000.0,
                "diskMb": 128 if is_core else 0,
            },
            "dataDir": str(data) if is_core else None,
            "discovery": "registry",
            "entry": "vip",
            "heartbeatMs": int(HEARTBEAT_S * 1000),
            "contracts": CONTRACTS,
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "configMode": "highest",
        }
        return Daemon(name, ip, settings, self.folder)

    def control_address(self, number: int) -> tuple[str, int]:
        """Return the address of a control process."""
        return self.controls[number].ip, self.control_port

    def entry_address(self, number: int) -> tuple[str, int]:
        """Return the address of an entry for callers."""
        return self.entries[number].ip, self.frontend_port

    def start(self) -> None:
        """Start all processes."""
        for daemon in self.daemons:
            daemon.start()

    def close(self) -> None:
        """End all processes and remove their files."""
        for daemon in self.daemons:
            daemon.end()
        if os.environ.get("KEEP"):
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def put_config(self, document: dict, within_s: float = 20.0) -> int:
        """Send a configuration to the control processes in turn until one answers clearly."""
        body = json.dumps(document).encode()
        end = time.monotonic() + within_s
        number = 0
        while time.monotonic() < end:
            status = await self.put_once(number % 3, body)
            self.record.write("config.put", to=number % 3, version=document["version"], got=status)
            if status in (200, 400, 409, 412, 413, 422):
                return status
            number += 1
            await asyncio.sleep(0.3)
        raise CannotRun("no configuration was accepted")

    async def put_once(self, number: int, body: bytes) -> int:
        """Send a configuration to one control process; return the status, 0 for no answer."""
        head = {"Host": "control", "Content-Type": "application/json"}
        try:
            answer = await exchange(
                self.control_address(number), "PUT", "/config", head, body, wait_s=1.0
            )
        except OSError:
            return 0
        return answer.status

    async def wait_ready(self, within_s: float = 20.0) -> None:
        """Wait until all entries say that they are ready."""
        end = time.monotonic() + within_s
        for entry in self.entries:
            while True:
                try:
                    answer = await exchange(
                        (entry.ip, self.readiness_port), "GET", "/ready", {"Host": "x"}
                    )
                    if answer.status == 200:
                        break
                except OSError:
                    pass
                if time.monotonic() > end:
                    raise CannotRun("the entries did not become ready")
                await asyncio.sleep(0.1)

    async def wait_served(self, ask, within_s: float = 20.0) -> None:
        """Wait until `ask` of each entry returns an answer with status 200."""
        end = time.monotonic() + within_s
        for number in range(len(self.entries)):
            while (await ask(number)).status != 200:
                if time.monotonic() > end:
                    raise CannotRun("the entries did not serve a request")
                await asyncio.sleep(0.2)


class Answer:
    """Answer to a request, status 0 if there was none; `is_complete` tells if its body ended."""

    def __init__(self, status: int = 0, headers: dict | None = None, body: bytes = b""):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.is_complete = False

    def __repr__(self) -> str:
        return f"{self.status} {self.body[:120]!r} complete={self.is_complete}"


def encode_head(first: str, headers: dict) -> bytes:
    """Return the bytes of a head."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict]:
    """Return the first line and the headers, with names in lower case."""
    data = await reader.readuntil(b"\r\n\r\n")
    first, *lines = data.decode("latin-1").split("\r\n")[:-2]
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_chunks(reader: asyncio.StreamReader, body: bytearray) -> bool:
    """Read a body in chunks into `body`; return whether it ended as it should."""
    while True:
        line = await reader.readline()
        if not line.endswith(b"\n"):
            return False
        size = int(line.split(b";")[0], 16)
        if size == 0:
            await reader.readline()
            return True
        body += await reader.readexactly(size)
        await reader.readexactly(2)


async def read_answer(reader: asyncio.StreamReader, method: str = "GET") -> Answer:
    """Read one answer."""
    answer = Answer()
    try:
        first, answer.headers = await read_head(reader)
        answer.status = int(first.split()[1])
        body = bytearray()
        try:
            if answer.headers.get("transfer-encoding", "").lower() == "chunked":
                answer.is_complete = await read_chunks(reader, body)
            elif "content-length" in answer.headers:
                size = int(answer.headers["content-length"]) if method != "HEAD" else 0
                while len(body) < size:
                    piece = await reader.read(size - len(body))
                    if not piece:
                        break
                    body += piece
                answer.is_complete = len(body) == size
            else:
                while piece := await reader.read(65536):
                    body += piece
                answer.is_complete = True
        finally:
            answer.body = bytes(body)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError, IndexError):
        pass
    return answer


async def exchange(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict,
    body: bytes = b"",
    wait_s: float = 20.0,
) -> Answer:
    """Send one request on a new connection and return the answer."""
    reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), 1.0)
    try:
        if body or method in ("POST", "PUT"):
            headers = {**headers, "Content-Length": str(len(body))}
        writer.write(encode_head(f"{method} {target} HTTP/1.1", headers) + body)
        try:
            return await asyncio.wait_for(read_answer(reader, method), wait_s)
        except TimeoutError:
            return Answer()
    finally:
        writer.close()


def new_id() -> str:
    """Return a request identifier."""
    return f"{random.getrandbits(64):016x}"


class Seen:
    """Request as an endpoint read it."""

    def __init__(self, method: str, target: str, headers: dict, body: bytes):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.id = headers.get("x-mulberrygate-request-id", "")


class Endpoint:
    """Stand-in of a replica: it registers, answers as the pages say, and records what it ran.

    `answer(seen, writer)` is a coroutine that writes the answer to one request.
    """

    def __init__(self, deployment: Deployment, service: str, number: int, answer, **fields):
        self.deployment = deployment
        self.record = deployment.record
        self.service = service
        self.id = f"i-{service}-{number}-{random.getrandbits(24):06x}"
        self.ip = deployment.endpoint_ips[number % 3]
        self.zone = list(ZONES)[number % 3]
        self.answer = answer
        self.fields = fields
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.ran: list[Seen] = []
        self.server: asyncio.Server | None = None
        self.task: asyncio.Task | None = None
        self.state = "ready"

    async def start(self) -> None:
        """Listen and begin to send heartbeats."""
        self.server = await asyncio.start_server(self._serve, self.ip, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.task = asyncio.ensure_future(self._beat())

    async def stop(self) -> None:
        """Stop without a word."""
        self.task.cancel()
        self.server.close()

    def registration(self) -> dict:
        """Return the body of the next heartbeat."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": f"{self.ip}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": self.state,
            "coldRemainingMs": 0,
            "born": self.born,
            "sequence": self.sequence,
            **self.fields,
        }

    async def beat_once(self, number: int) -> int:
        """Send one heartbeat to a control process; return the status, 0 for none."""
        body = json.dumps(self.registration()).encode()
        head = {"Host": "control", "Content-Type": "application/json"}
        try:
            address = self.deployment.control_address(number)
            answer = await exchange(address, "PUT", f"/instances/{self.id}", head, body, wait_s=1.0)
        except OSError:
            return 0
        return answer.status

    async def _beat(self) -> None:
        number = random.randrange(3)
        while True:
            for _ in range(3):
                if 200 <= await self.beat_once(number) < 300:
                    break
                number = (number + 1) % 3
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                seen = await self._read(reader)
                if seen is None or not await self._handle(seen, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _read(self, reader: asyncio.StreamReader) -> Seen | None:
        try:
            first, headers = await read_head(reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        method, target, _ = first.split(" ", 2)
        body = bytearray()
        if headers.get("transfer-encoding", "").lower() == "chunked":
            await read_chunks(reader, body)
        else:
            body += await reader.readexactly(int(headers.get("content-length", "0")))
        return Seen(method, target, headers, bytes(body))

    async def _handle(self, seen: Seen, writer: asyncio.StreamWriter) -> bool:
        """Answer a request; return whether the connection is kept."""
        if seen.target == "/health":
            await self.reply(seen, writer, 200, b"", {"X-Mulberrygate-Instance-Id": self.id})
            return True
        if seen.headers.get("x-mulberrygate-expect-instance", self.id) != self.id:
            head = {"X-Mulberrygate-Instance-Id": self.id}
            await self.reply(seen, writer, 421, b"", head)
            return True
        self.ran.append(seen)
        self.record.write(
            "run",
            id=seen.id,
            endpoint=self.id,
            method=seen.method,
            target=seen.target,
            body=len(seen.body),
        )
        return bool(await self.answer(self, seen, writer))

    def signature(self, seen: Seen) -> str:
        """Return the signature of an answer."""
        return hashlib.sha256(f"{self.id}/{seen.id}".encode()).hexdigest()[:24]

    async def reply(
        self, seen: Seen, writer: asyncio.StreamWriter, status: int, body: bytes, more=None
    ) -> bool:
        """Write an answer with a length."""
        headers = {
            "X-Mulberrygate-Request-Id": seen.id,
            "Content-Length": str(len(body)),
            **(more or {}),
        }
        writer.write(encode_head(f"HTTP/1.1 {status} Status", headers) + body)
        await writer.drain()
        return True


async def answer_well(endpoint: Endpoint, seen: Seen, writer: asyncio.StreamWriter) -> bool:
    """Answer a request with success after a short time of work."""
    await asyncio.sleep(0.02)
    body = f"{endpoint.id} {seen.id} ".encode().ljust(800, b".")
    head = {"X-Mulberrygate-Server-Signature": endpoint.signature(seen)}
    return await endpoint.reply(seen, writer, 200, body, head)


def route(name: str, kind: str, service: str, **fields) -> dict:
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": "demo.example",
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 5000,
        "targetLatencyMs": 250,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "anonymous": False,
        "sticky": False,
        "resumable": False,
        **fields,
    }


def service(name: str, **fields) -> dict:
    """Return a plain service of a configuration."""
    return {
        "name": name,
        "healthPath": "/health",
        "maxConnections": 110,
        "protocol": "h1",
        "tls": False,
        **fields,
    }


def configuration(version: int, routes: list[dict], services: list[dict], **fields) -> dict:
    """Return a configuration without client accounts."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": LIMITS,
        "tenants": [],
        **fields,
    }


def request_headers(identifier: str, deadline_ms: int = 3000, **fields) -> dict:
    """Return the headers of a caller's request."""
    return {
        "Host": "demo.example",
        "X-Mulberrygate-Request-Id": identifier,
        "X-Mulberrygate-Request-Deadline": str(deadline_ms),
        **fields,
    }


def has_trouble() -> bool:
    """Return whether the case is to be run with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder: str, case, entries: int = 2, limit_s: float = 110.0) -> None:
    """Run a case, a coroutine function that returns whether the rule held, and exit."""
    record = Record(Path(folder) / "record.txt")

    async def run() -> bool:
        deployment = Deployment(record, entries)
        try:
            deployment.start()
            async with asyncio.timeout(limit_s):
                return await case(deployment, record)
        finally:
            deployment.close()

    try:
        is_kept = asyncio.run(run())
    except (CannotRun, TimeoutError, OSError) as error:
        record.write("cannot run", error=repr(error))
        print(f"cannot run: {error!r}")
        sys.exit(2)
    record.write("result", is_kept=is_kept)
    print("the rule held" if is_kept else "the rule was broken")
    sys.exit(0 if is_kept else 1)
