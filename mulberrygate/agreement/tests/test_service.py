"""Tests of the service with real files and the peer protocol over loopback."""

import asyncio
import os
import random
import shutil
import tempfile
import unittest
from unittest import mock

from mulberrygate.agreement import (
    Committed,
    NotLeader,
    ReadOk,
    Role,
    StorageError,
    Undetermined,
    VoterStopped,
    open_service,
)
from mulberrygate.core import HybridClock, TimerService
from mulberrygate.peers import PeerClient, PeerServer


class ListMachine:
    """State machine that stores the applied commands in a list."""

    def __init__(self):
        self.commands = []

    def apply(self, index, command):
        self.commands.append(command)
        return len(self.commands)

    def snapshot(self):
        return b"\n".join(self.commands)

    def restore(self, data):
        self.commands = data.split(b"\n") if data else []


class ServiceTest(unittest.IsolatedAsyncioTestCase):
    """Tests with three voters in one process."""

    async def asyncSetUp(self):
        self.folder = tempfile.mkdtemp()
        self.addCleanup(shutil.rmtree, self.folder)
        self.errors = []
        self.timers = TimerService(lambda name, error: self.errors.append(error))
        self.servers, self.clients, self.services, addresses = {}, {}, {}, {}
        for name in ("a", "b", "c"):
            clock = HybridClock(lambda: 1000)
            server = self.servers[name] = PeerServer(name, 1, "a-token-for-tests", clock)
            await server.start("127.0.0.1", 0)
            port = server.server._server.sockets[0].getsockname()[1]
            addresses[name] = f"127.0.0.1:{port}"
            self.clients[name] = PeerClient(server, addresses.get)
        self.addresses = addresses
        for name in addresses:
            await self.start(name)
        self.leader = await self.wait_leader()

    async def asyncTearDown(self):
        for service in self.services.values():
            await service.close()
        await self.timers.close()
        for name, client in self.clients.items():
            await client.close()
            await self.servers[name].close()
        self.assertEqual(self.errors, [])

    async def open(self, name, voter):
        """Open the folder of one instance as another voter, or as its own."""
        folder = os.path.join(self.folder, name)
        rng = random.Random(name)
        peers = self.clients[voter]
        return await open_service(
            folder, voter, self.addresses, peers, self.timers, ListMachine(), rng
        )

    async def start(self, name):
        """Start a voter with its folder."""
        self.services[name] = await self.open(name, name)

    async def wait_leader(self):
        """Wait for a leader with a lease and return its service."""
        for _ in range(400):
            for service in self.services.values():
                if service.role is Role.LEADER and service.lease_until > self.timers.now():
                    return service
            await asyncio.sleep(0.05)
        raise AssertionError("no leader")

    async def test_commands_and_reads(self):
        """Guards against results out of order, reads behind commits, and commands to followers."""
        results = [await self.leader.propose(b"x%d" % n, 5.0) for n in range(3)]
        self.assertTrue(all(isinstance(result, Committed) for result in results))
        self.assertEqual([result.result for result in results], [1, 2, 3])
        read = await self.leader.read_barrier(5.0)
        self.assertIsInstance(read, ReadOk)
        self.assertGreaterEqual(read.index, results[-1].index)
        follower = next(s for s in self.services.values() if s is not self.leader)
        outcome = await follower.propose(b"y", 5.0)
        self.assertEqual(outcome, NotLeader(self.leader.node.voter))

    async def test_restart_restores_commands(self):
        """Guards against a restarted voter that lacks what it acknowledged."""
        await self.leader.propose(b"kept", 5.0)
        for service in self.services.values():
            await service.close()
        for name in self.addresses:
            await self.start(name)
        leader = await self.wait_leader()
        self.assertIsInstance(await leader.read_barrier(5.0), ReadOk)
        self.assertEqual(leader.machine.commands, [b"kept"])

    async def test_command_without_majority_is_undetermined(self):
        """Guards against reporting as refused a command that may still be committed."""
        name = self.leader.node.voter
        self.clients[name].blocked.update(n for n in self.addresses if n != name)
        outcome = await self.leader.propose(b"x", 0.2)
        self.assertIsInstance(outcome, Undetermined)
        self.assertIsInstance(await self.leader.read_barrier(0.2), Undetermined)

    async def test_full_disk_stops_only_the_voter(self):
        """Guards against a disk error that ends the process or acknowledges a command."""
        failing = mock.Mock(side_effect=StorageError("disk is full"))
        self.leader.storage.persist = failing
        outcome = await self.leader.propose(b"x", 5.0)
        self.assertEqual(outcome, Undetermined("disk is full"))
        self.assertIs(self.leader.role, Role.STOPPED)
        self.assertEqual(self.leader.status().failure, "disk is full")
        self.assertEqual(await self.leader.propose(b"x", 5.0), NotLeader(""))
        stopped = self.leader
        leader = await self.wait_leader()
        self.assertIsNot(leader, stopped)
        self.assertIsInstance(await leader.propose(b"y", 5.0), Committed)

    async def test_foreign_folder_gives_an_outcome(self):
        """Guards against a daemon that ends because its data folder is not usable."""
        await self.services["c"].close()
        outcome = await self.open("c", "b")
        self.assertIsInstance(outcome, VoterStopped)
        self.assertIn("belongs to voter c", outcome.reason)

    async def test_error_in_the_node_stops_the_voter(self):
        """Guards against a voter that goes on after an error may have lost records to sync."""
        self.leader.node.on_append_reply = mock.Mock(side_effect=KeyError("x"))
        outcome = await self.leader.propose(b"x", 5.0)
        self.assertIsInstance(outcome, Undetermined)
        self.assertIs(self.leader.role, Role.STOPPED)

    async def test_planned_stop_hands_leadership_over(self):
        """Guards against a planned stop after which the group waits for an election timeout."""
        old = self.leader
        await old.close()
        for _ in range(100):
            await asyncio.sleep(0.01)
            roles = [s.node.role for s in self.services.values() if s is not old]
            if Role.LEADER in roles:
                break
        self.assertIn(Role.LEADER, roles)


if __name__ == "__main__":
    unittest.main()
