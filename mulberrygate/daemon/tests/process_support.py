"""A control group of real processes on loopback addresses, with entries that follow it."""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import sys
import tempfile
import time

import aiohttp
import attrs

from mulberrygate.agreement.messages import EntryKind, Members
from mulberrygate.agreement.storage import Storage, StorageError
from mulberrygate.core.http_client import open_session
from mulberrygate.core.wire import converter
from mulberrygate.daemon.tests.site_support import STEP_TIMEOUT_S
from mulberrygate.forward.tests.support import document
from mulberrygate.platform.listen import FILE_VARIABLE
from mulberrygate.standin.local import free_ports

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.dirname(__file__))))
# Six control processes, one in each failure domain.
CONTROLS = tuple(f"127.0.54.{number}" for number in range(11, 17))
DOMAINS = {"a1": "a", "b1": "b", "c1": "c", "a2": "a", "b2": "b", "c2": "c"}
LOSSES = 2
SEEDS = 3
# The operator gives up a call after this time.
CALL_LIMIT_S = 1.0
# First pause of the operator between two calls, and the longest one.
FIRST_PAUSE_S, LONGEST_PAUSE_S = 0.05, 0.5
KILL_AFTER_S = 8


@attrs.define
class Instance:
    """A machine of the deployment and the process that runs on it.

    Attributes
    ==========
    process : asyncio.subprocess.Process or None
        The running process.
    """

    name: str
    domain: str
    is_control: bool
    process: asyncio.subprocess.Process | None = None


class ProcessGroup:
    """Control processes and entries, each started as the platform starts it.

    Parameters
    ==========
    entries : int
        Number of entries that follow the control processes.
    folder : str
        Folder for settings, disks and logs. It is kept; without one a temporary folder is used.

    Attributes
    ==========
    timeline : list[tuple[float, str]]
        What was done to the processes, by Unix time as in their logs.
    """

    def __init__(self, entries: int = 0, folder: str = ""):
        self.is_temporary = not folder
        self.folder = folder or tempfile.mkdtemp(prefix="mulberrygate-test-")
        self.peer_port, self.control_port, self.entry_port, self.ready_port = free_ports(4)
        self.seeds = CONTROLS[:SEEDS]
        domains = list(DOMAINS)
        self.instances = {
            name: Instance(name, domain, True)
            for name, domain in zip(CONTROLS, domains, strict=True)
        }
        for number in range(entries):
            name = f"127.0.55.{11 + number}"
            self.instances[name] = Instance(name, domains[number % len(domains)], False)
        self.timeline: list[tuple[float, str]] = []
        self.versions = 0
        self.acknowledged = 0

    async def __aenter__(self):
        self.session = open_session(connector=aiohttp.TCPConnector(force_close=True))
        for name in self.instances:
            os.makedirs(self.data_folder(name))
        self.note("start")
        await self.start(*self.instances, is_first=True)
        return self

    async def __aexit__(self, *_error):
        await self.session.close()
        await self.kill(*self.instances)
        if self.is_temporary:
            shutil.rmtree(self.folder, ignore_errors=True)

    def note(self, text):
        """Add a line to the timeline."""
        self.timeline.append((time.time(), text))

    def data_folder(self, name):
        """Return the folder that stands for the disk of an instance."""
        return os.path.join(self.folder, name)

    def log_path(self, name):
        """Return the file with the log of all processes of an instance."""
        return os.path.join(self.folder, f"{name}.log")

    def write_settings(self, name, is_first):
        """Write the settings file of an instance and return its path."""
        instance = self.instances[name]
        listen = {"control": f"{name}:{self.control_port}"}
        if not instance.is_control:
            listen = {
                "frontend": f"{name}:{self.entry_port}",
                "readiness": f"{name}:{self.ready_port}",
            }
        fields = {
            "node": name,
            "ip": name,
            "zone": instance.domain,
            "region": DOMAINS[instance.domain],
            "zones": DOMAINS,
            "listen": listen,
            "internalPorts": [self.peer_port, self.peer_port],
            "seeds": [f"{seed}:{self.control_port}" for seed in self.seeds],
            "bootstrap": is_first,
            "dataDir": self.data_folder(name) if instance.is_control else None,
            "faultTolerance": {"machines": LOSSES},
            "bounds": {"graceS": KILL_AFTER_S},
        }
        path = os.path.join(self.folder, f"{name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(fields, file)
        return path

    async def start(self, *names, is_first=False):
        """Start the processes of instances at once."""
        await asyncio.gather(*(self.start_one(name, is_first) for name in names))

    async def start_one(self, name, is_first):
        """Start the process of an instance."""
        path = self.write_settings(name, is_first)
        with open(self.log_path(name), "ab") as log:
            self.instances[name].process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "mulberrygate.daemon.site",
                cwd=ROOT,
                env={**os.environ, FILE_VARIABLE: path},
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number, *names):
        """Send a signal to the running processes of instances."""
        for name in names:
            process = self.instances[name].process
            if process is not None and process.returncode is None:
                process.send_signal(number)

    async def wait_ended(self, *names):
        """Wait until the processes of instances have ended."""
        for name in names:
            if self.instances[name].process is not None:
                await self.instances[name].process.wait()
                self.instances[name].process = None

    async def kill(self, *names):
        """Kill the processes of instances at once."""
        self.send_signal(signal.SIGKILL, *names)
        await self.wait_ended(*names)

    async def stop(self, name):
        """Stop the process of an instance as planned."""
        self.send_signal(signal.SIGTERM, name)
        try:
            await asyncio.wait_for(self.instances[name].process.wait(), KILL_AFTER_S)
        except TimeoutError:
            await self.kill(name)
        await self.wait_ended(name)

    async def erase_disks(self, *names):
        """Kill the processes of instances and empty their disks."""
        await self.kill(*names)
        for name in names:
            shutil.rmtree(self.data_folder(name))
            os.makedirs(self.data_folder(name))

    def exchange_seeds(self, seeds):
        """Replace the seeds in all settings files, and tell the running processes."""
        self.seeds = tuple(seeds)
        for name in self.instances:
            self.write_settings(name, False)
        self.send_signal(signal.SIGHUP, *self.instances)

    def running(self):
        """Return the control processes that run."""
        return [name for name in CONTROLS if self.instances[name].process is not None]

    async def call(self, name, method, path, body=None):
        """Send a request to a control process; return status and body, 0 for no answer."""
        url = f"http://{name}:{self.control_port}{path}"
        data = None if body is None else json.dumps(body).encode()
        limit = aiohttp.ClientTimeout(total=CALL_LIMIT_S)
        try:
            async with self.session.request(method, url, data=data, timeout=limit) as answer:
                text = await answer.read()
                return answer.status, json.loads(text) if text else {}
        except (TimeoutError, OSError, aiohttp.ClientError):
            return 0, {}

    async def put_document(self, rng):
        """Send a new version until a process acknowledges it; return that process."""
        self.versions += 1
        version = self.versions
        async with asyncio.timeout(STEP_TIMEOUT_S):
            while True:
                name = rng.choice(self.running() or CONTROLS)
                fields = {**document(), "version": version}
                if (await self.call(name, "PUT", "/config", fields))[0] == 200:
                    self.acknowledged = max(self.acknowledged, version)
                    return name
                await asyncio.sleep(FIRST_PAUSE_S)

    async def read_document(self, rng, within_s):
        """Return the version that the operator reads back, ``None`` if it does not come in time.

        Explanation
        ===========
        The operator moves on to another process after each call, and waits longer each time.
        """
        end = time.monotonic() + within_s
        pause_s = FIRST_PAUSE_S
        names = rng.sample(CONTROLS, len(CONTROLS))
        while time.monotonic() < end:
            names.append(names.pop(0))
            status, fields = await self.call(names[-1], "GET", "/config")
            self.note(f"operator reads from {names[-1]}: status {status}")
            if status == 200:
                return fields["version"]
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, LONGEST_PAUSE_S)
        return None

    async def is_current(self, name):
        """Return whether a control process says that it holds all committed state."""
        return (await self.call(name, "GET", "/quarantine"))[0] == 200

    async def wait_current(self, *names, within_s=STEP_TIMEOUT_S):
        """Return the control processes that do not become current in time."""
        end = time.monotonic() + within_s
        behind = list(names)
        while behind and time.monotonic() < end:
            answers = await asyncio.gather(*(self.is_current(name) for name in behind))
            behind = [
                name for name, is_current in zip(behind, answers, strict=True) if not is_current
            ]
            await asyncio.sleep(FIRST_PAUSE_S)
        return behind

    def records(self, name):
        """Return the records of an instance's log."""
        found = []
        with open(self.log_path(name), encoding="utf-8", errors="replace") as file:
            for line in file:
                try:
                    found.append(json.loads(line))
                except ValueError:
                    # Not a whole record: the process was killed, or wrote a traceback.
                    continue
        return found

    def elections(self, since=0.0):
        """Return the changes of role since a Unix time: time, process, role and term."""
        return sorted(
            (record["at"], name, record["role"], record["term"])
            for name in CONTROLS
            for record in self.records(name)
            if record.get("event") == "control.role" and record["at"] >= since
        )

    def leader(self):
        """Return the running process that was elected last by its log, empty if it has ended."""
        roles = {}
        for _, name, role, term in self.elections():
            roles[name] = (term, role)
        leading = [(term, n) for n, (term, role) in roles.items() if role == "leader"]
        name = max(leading)[1] if leading else ""
        return name if name in self.running() else ""

    async def find_leader(self):
        """Wait until there is a leader that confirms reads, and return its name."""
        async with asyncio.timeout(STEP_TIMEOUT_S):
            while True:
                name = self.leader()
                if name and (await self.call(name, "GET", "/config"))[0] == 200:
                    return name
                await asyncio.sleep(FIRST_PAUSE_S)

    def state_on_disk(self, name):
        """Return the state that a control process has on its disk, ``None`` if it has none."""
        with tempfile.TemporaryDirectory() as folder:
            copy = os.path.join(folder, "voter")
            storage = Storage(copy)
            try:
                shutil.copytree(os.path.join(self.data_folder(name), "voter"), copy)
                return storage.load(name)
            except (OSError, StorageError):
                # The disk is empty, or the process was just replacing a file.
                return None
            finally:
                storage.close()

    def voters(self):
        """Return the names of the voters by the leader's disk."""
        name = self.leader()
        state = self.state_on_disk(name) if name else None
        return [m.name for m in read_members(state) if m.is_voter] if state else []

    def note_disks(self):
        """Add to the timeline which voters each disk knows, and how many of them are left."""
        states = {name: self.state_on_disk(name) for name in CONTROLS}
        disks = {state.identity.disk for state in states.values() if state}
        for name, state in states.items():
            voters = [m for m in read_members(state) if m.is_voter] if state else []
            left = [m.name for m in voters if m.disk in disks]
            last = state.entries[-1] if state and state.entries else None
            self.note(
                f"disk of {name}: {len(left)} of {len(voters)} voters are left: {' '.join(left)};"
                f" last entry {last.index if last else 0} of term {last.term if last else 0}"
            )

    async def wait_voters(self, count):
        """Wait until the group has a number of voters."""
        async with asyncio.timeout(STEP_TIMEOUT_S):
            while len(self.voters()) < count:  # noqa: ASYNC110 (the disk has no event)
                await asyncio.sleep(0.2)

    async def form(self, rng):
        """Wait until the group has all its voters and a document, and all processes are current."""
        await self.put_document(rng)
        await self.wait_voters(2 * LOSSES + 1)
        behind = await self.wait_current(*CONTROLS)
        if behind:
            raise TimeoutError(f"not current after the first start: {behind}")

    def describe(self, since=0.0):
        """Return the timeline with the changes of role, as lines with seconds from its start."""
        first = self.timeline[0][0]
        lines = [(at, text) for at, text in self.timeline if at >= since]
        lines += [
            (at, f"{name}: {role} in term {term}") for at, name, role, term in self.elections(since)
        ]
        return "\n".join(f"{at - first:8.2f} {text}" for at, text in sorted(lines))


def read_members(state):
    """Return the members in the log or snapshot of a voter's state."""
    for entry in reversed(state.entries):
        if entry.kind is EntryKind.MEMBERS:
            return converter.loads(entry.body, Members).members
    return state.snapshot.members.members if state.snapshot else ()
