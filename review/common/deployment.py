"""Small deployment of the project's own programs on loopback addresses, for the review's scripts.

Explanation
===========
The programs are started with the commands of ``deploy/system.toml`` and one settings file a
process. Only the standard library is used, so that the stand-ins share no code with the project.
"""

from __future__ import annotations

import asyncio
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
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
DEPENDENCIES = ROOT / "target" / "deps"
DEPLOY_FILE = ROOT / "deploy" / "system.toml"
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
RUN_LIMIT_S = 110.0
ZONES = {"dakar-plateau": "dakar", "thies-nord": "thies", "sl-ndar": "saint-louis"}
# Bounds of the deployment `tls-gate` in SYSTEM.md.
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
HEARTBEAT_MS = 1200
FIRST_PORT, LAST_PORT = 20_000, 30_000
PORTS = 32


class NotRun(Exception):
    """The case could not be run; the text gives the reason."""


class Record:
    """Record of what was sent, answered and run, written to ``record.txt`` of a case."""

    def __init__(self, folder: Path):
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.started = time.monotonic()

    def add(self, text: str) -> None:
        """Add a line with the seconds since the start."""
        self.file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")

    def say(self, text: str) -> None:
        """Add a line and print it."""
        self.add(text)
        print(text, flush=True)

    def close(self) -> None:
        """Close the file."""
        self.file.close()


class Machine:
    """Machine with one process of the deploy file."""

    def __init__(self, name: str, machine_class: str, zone: str, ip: str):
        self.name = name
        self.machine_class = machine_class
        self.zone = zone
        self.ip = ip
        self.process: subprocess.Popen | None = None


class Deployment:
    """Processes of a deployment with three core machines and some frontend machines."""

    def __init__(self, record: Record, frontends: int = 2):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        network = f"127.{random.randrange(32, 250)}"
        zones = list(ZONES)
        self.cores = [
            Machine(f"core-{zone}-1", "core", zone, f"{network}.{number}.10")
            for number, zone in enumerate(zones, 1)
        ]
        self.frontends = [
            Machine(
                f"frontend-{zones[n % 3]}-{n // 3 + 1}",
                "frontend",
                zones[n % 3],
                f"{network}.{n % 3 + 1}.{20 + n}",
            )
            for n in range(frontends)
        ]
        base = self._find_ports()
        self.entry_port, self.ready_port, self.control_port = base, base + 1, base + 2
        self.internal_ports = [base + 3, base + 18]
        self.seeds = [f"{core.ip}:{self.control_port}" for core in self.cores]

    def _find_ports(self) -> int:
        """Return the first of some ports that are free on all addresses."""
        for _ in range(50):
            base = random.randrange(FIRST_PORT, LAST_PORT - PORTS)
            if all(
                is_free(machine.ip, port)
                for machine in (*self.cores, *self.frontends)
                for port in range(base, base + 4)
            ):
                return base
        raise NotRun("no free ports")

    def _settings(self, machine: Machine, is_first: bool) -> dict:
        is_core = machine.machine_class == "core"
        if is_core:
            listen = {"control": f"{machine.ip}:{self.control_port}"}
        else:
            listen = {
                "frontend": f"{machine.ip}:{self.entry_port}",
                "readiness": f"{machine.ip}:{self.ready_port}",
            }
        data_folder = self.folder / machine.name
        if is_core:
            data_folder.mkdir(exist_ok=True)
        return {
            "node": machine.name,
            "role": "control" if is_core else "entry",
            "machineClass": machine.machine_class,
            "serves": ["control" if is_core else "frontend"],
            "ip": machine.ip,
            "zone": machine.zone,
            "region": ZONES[machine.zone],
            "zones": ZONES,
            "listen": listen,
            "internalPorts": self.internal_ports,
            "seeds": self.seeds,
            "bootstrap": is_first,
            "inTolerance": is_core,
            "limits": {
                "cpuShare": 0.645 if is_core else 0.537,
                "cores": 2,
                "memoryMb": 296 if is_core else 300,
                "maxFds": 4096 if is_core else 4100,
                "linkMbps": 1000.0,
                "diskMb": 128 if is_core else 0,
            },
            "dataDir": str(data_folder) if is_core else None,
            "discovery": "registry",
            "entry": "vip",
            "heartbeatMs": HEARTBEAT_MS,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover"]
            + ["engine", "stream", "tenants", "quota", "rollout"],
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "configMode": "highest",
        }

    def start_machine(self, machine: Machine, is_first: bool = True) -> None:
        """Start the process of a machine with the command of the deploy file."""
        settings = self.folder / f"{machine.name}.json"
        settings.write_text(json.dumps(self._settings(machine, is_first)), encoding="utf-8")
        roles = tomllib.loads(DEPLOY_FILE.read_text(encoding="utf-8"))["roles"]
        command = next(r["run"] for r in roles.values() if r["on"] == machine.machine_class)
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment["PYTHONPATH"] = str(DEPENDENCIES)
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["MULBERRYGATE_NODE_FILE"] = str(settings)
        with (self.folder / f"{machine.name}.log").open("ab") as log:
            machine.process = subprocess.Popen(
                command.split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.record.add(f"process {machine.name} starts")

    def signal_machine(self, machine: Machine, number: int) -> None:
        """Send a signal to the process of a machine."""
        self.record.add(f"process {machine.name} gets {signal.Signals(number).name}")
        machine.process.send_signal(number)

    async def start(self) -> None:
        """Start all machines."""
        if not DEPENDENCIES.is_dir():
            raise NotRun("target/deps is missing: run the build of the deploy file first")
        for machine in (*self.cores, *self.frontends):
            self.start_machine(machine)

    async def wait_ready(self, limit_s: float = 40.0) -> None:
        """Wait until all frontends answer the readiness check with 200."""
        end = time.monotonic() + limit_s
        for machine in self.frontends:
            while True:
                answer = await ask(machine.ip, self.ready_port, "GET", "/ready", limit_s=1.0)
                if answer is not None and answer.status == 200:
                    break
                if time.monotonic() > end:
                    raise NotRun(f"{machine.name} is not ready after {limit_s:g} s")
                await asyncio.sleep(0.1)
        self.record.add("all frontends are ready")

    async def apply(self, document: dict, limit_s: float = 30.0) -> float:
        """Send a configuration until it is acknowledged; return the monotonic time of that."""
        body = json.dumps(document).encode()
        end = time.monotonic() + limit_s
        number = 0
        while time.monotonic() < end:
            core = self.cores[number % len(self.cores)]
            number += 1
            answer = await ask(core.ip, self.control_port, "PUT", "/config", body, limit_s=1.0)
            status = answer.status if answer else "no answer"
            self.record.add(f"PUT /config version {document['version']} at {core.name}: {status}")
            if answer is not None and answer.status == 200:
                return time.monotonic()
            if answer is not None and 400 <= answer.status < 500:
                raise NotRun(f"the configuration is refused with {answer.status}")
            await asyncio.sleep(0.2)
        raise NotRun("the configuration is not acknowledged")

    def stop(self) -> None:
        """End all processes that were started, and remove the temporary folder."""
        machines = [*self.cores, *self.frontends]
        for machine in machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
        for machine in machines:
            if machine.process is not None:
                machine.process.wait()
        if os.environ.get("KEEP_LOGS") == "1":
            print(f"logs are kept in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def is_free(ip: str, port: int) -> bool:
    """Return whether a port of an address can be bound."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


class Answer:
    """Complete HTTP answer."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes):
        self.status = status
        self.headers = headers
        self.body = body


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line of a message and its headers, with lower-case names."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str], until_close: bool
) -> bytes:
    """Return the whole body of a message."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                return body
            body += chunk[:-2]
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if until_close else b""


async def ask(
    ip: str,
    port: int,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    limit_s: float = 5.0,
) -> Answer | None:
    """Send a request on a new connection; return its complete answer, ``None`` without one."""
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(ip, port)
            lines = [f"{method} {path} HTTP/1.1"]
            fields = {"Host": f"{ip}:{port}", "Content-Length": str(len(body)), **(headers or {})}
            lines += [f"{name}: {value}" for name, value in fields.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            first, answered = await read_head(reader)
            status = int(first.split()[1])
            return Answer(status, answered, await read_body(reader, answered, True))
    except (OSError, EOFError, ValueError, TimeoutError, asyncio.LimitOverrunError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Run:
    """Request that a server began to work on."""

    def __init__(self, server: str, method: str, path: str, headers: dict[str, str], body: bytes):
        self.server = server
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.at = time.monotonic()

    @property
    def request(self) -> str:
        """Identifier of the client's attempt."""
        return self.headers.get("x-mulberrygate-request-id", "")


class Server:
    """Sound replica of a plain service: registers itself, sends heartbeats and runs requests."""

    def __init__(
        self,
        deployment: Deployment,
        name: str,
        service: str,
        zone: str,
        slots: int = 6,
        work_s: float = 0.02,
    ):
        self.deployment = deployment
        self.record = deployment.record
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.arrivals: set[str] = set()
        self.runs: list[Run] = []
        self.active = 0
        self.free = asyncio.Semaphore(slots)
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.tasks: list[asyncio.Task] = []
        self.listener: asyncio.Server | None = None
        self.ip = deployment.cores[list(ZONES).index(zone)].ip.rsplit(".", 1)[0] + ".100"

    async def start(self) -> None:
        """Listen, and begin to send heartbeats."""
        self.listener = await asyncio.start_server(self._serve, self.ip, 0)
        port = self.listener.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{port}"
        self.tasks.append(asyncio.create_task(self._beat_forever()))

    async def stop(self) -> None:
        """Stop listening and sending heartbeats."""
        for task in self.tasks:
            task.cancel()
        if self.listener is not None:
            self.listener.close()

    def registration(self) -> dict:
        """Return the body of the next heartbeat."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def beat(self) -> bool:
        """Send a heartbeat to one control daemon after the other; return whether one accepts."""
        body = json.dumps(self.registration()).encode()
        cores = self.deployment.cores
        first = list(ZONES).index(self.zone)
        for number in range(len(cores)):
            core = cores[(first + number) % len(cores)]
            answer = await ask(
                core.ip,
                self.deployment.control_port,
                "PUT",
                f"/instances/{self.name}",
                body,
                limit_s=1.0,
            )
            if answer is not None and 200 <= answer.status < 300:
                return True
        return False

    async def _beat_forever(self) -> None:
        while True:
            accepted = await self.beat()
            await asyncio.sleep(HEARTBEAT_MS / 1000 if accepted else 0.3)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, headers = await read_head(reader)
                method, path, _ = first.split(" ", 2)
                if "100-continue" in headers.get("expect", ""):
                    writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
                body = await read_body(reader, headers, False)
                run = Run(self.name, method, path, headers, body)
                self.arrivals.add(run.request)
                self.record.add(f"{self.name} has received {run.request}")
                if not await self.handle(run, writer):
                    return
        except (OSError, EOFError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    async def handle(self, run: Run, writer: asyncio.StreamWriter) -> bool:
        """Run a request and answer it; return whether the connection may go on."""
        if run.headers.get("x-mulberrygate-expect-instance", self.name) != self.name:
            return self.answer(run, writer, 421, b"", is_run=False)
        if not run.request:
            return self.answer(run, writer, 400, b"", is_run=False)
        if self.active >= 2 * self.slots:
            return self.answer(run, writer, 503, b"", is_run=False)
        self.active += 1
        try:
            async with self.free:
                if writer.transport.is_closing():
                    return False
                self.runs.append(run)
                self.record.add(f"{self.name} runs {run.request}: {run.method} {run.path}")
                await asyncio.sleep(self.work_s)
        finally:
            self.active -= 1
        return self.answer_run(run, writer)

    def load(self) -> str:
        """Return the running and the waiting requests and the slots, as answers report them."""
        running = min(self.active, self.slots)
        return f"{running},{self.active - running},{self.slots}"

    def answer_run(self, run: Run, writer: asyncio.StreamWriter) -> bool:
        """Answer a request that ran."""
        return self.answer(run, writer, 200, b"done " + run.request.encode(), is_run=True)

    def answer(
        self, run: Run, writer: asyncio.StreamWriter, status: int, body: bytes, is_run: bool
    ) -> bool:
        """Write an answer; return whether the connection may go on."""
        lines = [f"HTTP/1.1 {status} {'OK' if status == 200 else 'Refused'}"]
        lines.append(f"X-Mulberrygate-Request-Id: {run.request}")
        lines.append(f"X-Mulberrygate-Server-Signature: {self.name}.{len(self.runs)}")
        lines.append(f"X-Mulberrygate-Server-Load: {self.load()}")
        if not is_run:
            lines.append("X-Mulberrygate-Not-Executed: 1")
        lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        self.record.add(f"{self.name} answers {run.request}: {status}")
        return True


class Engine(Server):
    """Sound model replica: streams events, and lets requests wait while its slots are taken."""

    def __init__(self, *arguments, events: int = 76, gap_s: float = 0.15, **fields):
        super().__init__(*arguments, **fields)
        self.events = events
        self.gap_s = gap_s

    def registration(self) -> dict:
        """Return the body of the next heartbeat."""
        models = [{"name": "m", "version": 1, "adapters": []}]
        return {**super().registration(), "stage": "colocated", "models": models}

    async def handle(self, run: Run, writer: asyncio.StreamWriter) -> bool:
        """Run a request and stream its events; return whether the connection may go on."""
        if run.headers.get("x-mulberrygate-expect-instance", self.name) != self.name:
            return self.answer(run, writer, 421, b"", is_run=False)
        async with self.free:
            if writer.transport.is_closing():
                return False
            self.runs.append(run)
            self.record.add(f"{self.name} runs {run.request}: {run.method} {run.path}")
            lines = ["HTTP/1.1 200 OK", f"X-Mulberrygate-Request-Id: {run.request}"]
            lines.append(f"X-Mulberrygate-Server-Signature: {self.name}.{len(self.runs)}")
            lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
            for number in range(1, self.events + 1):
                event = f"id: {number}\ndata: tokens of {run.request}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                if writer.transport.is_closing():
                    return False
                await asyncio.sleep(self.gap_s)
            writer.write(b"0\r\n\r\n")
            self.record.add(f"{self.name} has ended {run.request}")
            return True


def service(name: str) -> dict:
    """Return a plain service of a configuration."""
    return {
        "name": name,
        "healthPath": "/health",
        "maxConnections": 110,
        "protocol": "h1",
        "tls": False,
    }


def engine_service(name: str, slots: int) -> dict:
    """Return a service of model replicas of a configuration, with the figures of PROTOCOL.md."""
    engine = {
        "slots": slots,
        "kvCapacityTokens": 954524,
        "kvTokenBytes": 18432,
        "linkMbps": 370000.0,
        "moves": True,
        "backups": True,
        "stride": 5,
        "most": 12,
        "pinMs": 4000.0,
        "holdMs": 2000.0,
        "handleS": 5.0,
        "models": [{"name": "m"}],
    }
    return {**service(name), "maxConnections": 620, "engine": engine}


def route(name: str, prefix: str, kind: str, service_name: str, **fields: object) -> dict:
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": "salon.example",
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 1000,
        "targetLatencyMs": 120,
        "priority": 2,
        "service": service_name,
        "maxAttempts": 1 if kind == "non_idempotent" else 2,
        "anonymous": False,
        "sticky": False,
        "resumable": False,
        **fields,
    }


def document(
    version: int, routes: list[dict], services: list[str | dict], **fields: object
) -> dict:
    """Return a complete configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": [item if isinstance(item, dict) else service(item) for item in services],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {
                "name": "hule930",
                "apiKeys": ["i9n73hh2b9wu3fexd9dn"],
                "priority": 1,
                "unit": "tokens",
                "plainTokens": 200,
                "ratePerS": 182644,
                "burst": 182644,
            }
        ],
        **fields,
    }


def client_headers(request: str, key: str = "i9n73hh2b9wu3fexd9dn") -> dict[str, str]:
    """Return the headers of a client's request to a plain service."""
    return {
        "Host": "salon.example",
        "X-Mulberrygate-Request-Id": request,
        "X-Mulberrygate-Request-Deadline": "2000",
        "Authorization": f"Bearer {key}",
    }


def model_headers(request: str, output_tokens: int, deadline_ms: int) -> dict[str, str]:
    """Return the headers of a client's request to a model replica."""
    return {
        **client_headers(request),
        "X-Mulberrygate-Request-Deadline": str(deadline_ms),
        "X-Mulberrygate-Model": "m",
        "X-Mulberrygate-Token-Count": f"100,{output_tokens}",
        "X-Mulberrygate-Prefix-Hash": f"5c1e07a2:60,{abs(hash(request)):x}:40",
    }


def run_case(folder: Path, case) -> int:
    """Run a case and return the exit code; ``case(record, has_trouble)`` returns if it held."""
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.say(f"disruption: {'yes' if has_trouble else 'no'}")

    async def limited() -> bool:
        async with asyncio.timeout(RUN_LIMIT_S):
            return await case(record, has_trouble)

    try:
        held = asyncio.run(limited())
    except NotRun as error:
        record.say(f"not run: {error}")
        return EXIT_NOT_RUN
    except Exception as error:
        record.say(f"not run: {type(error).__name__}: {error}")
        return EXIT_NOT_RUN
    finally:
        sys.stdout.flush()
    record.say("the rule held" if held else "the rule was broken")
    record.close()
    return EXIT_HELD if held else EXIT_BROKEN
