"""Commits to the control log and linearizable reads of it, from any control process."""

from __future__ import annotations

import asyncio

import attrs

from mulberrygate.agreement.effects import Role
from mulberrygate.agreement.outcomes import Committed, NotLeader, ReadOk
from mulberrygate.agreement.service import AgreementService
from mulberrygate.control.catalogs import CatalogStateMachine, encode_command
from mulberrygate.core.timers import TimerService
from mulberrygate.sync.messages import LatestCatalog, Propose, ProposeResult, ReadLatestCatalog

# Callers of control processes give up after a second without an answer.
COMMIT_TIMEOUT_S = 0.85
READ_TIMEOUT_S = 0.85
RETRY_LEADER_S = 0.03


class LogAccess:
    """Commits commands to the replicated log and reads its state, through the leader.

    Parameters
    ==========
    machine : CatalogStateMachine
        State machine that this process's copy of the log has built up.
    peers : PeerClient
        Client for messages to other control processes.

    Attributes
    ==========
    service : AgreementService or None
        Voter of this process; ``None`` if its disk can't be used.
    read_failure : str
        Why the last try of a read failed, for the log.
    """

    def __init__(self, instance: str, machine: CatalogStateMachine, peers, timers: TimerService):
        self.instance = instance
        self.machine = machine
        self.peers = peers
        self.timers = timers
        self.service: AgreementService | None = None
        self.read_failure = ""

    @property
    def is_leader(self) -> bool:
        """Whether this process leads the control group, under a valid lease."""
        return self.service is not None and self.service.role is Role.LEADER

    @property
    def leader(self) -> str:
        """Instance that leads, empty if it is not known."""
        return self.service.leader if self.service is not None else ""

    async def commit(self, command: object) -> bool:
        """Propose a command; return whether it was committed.

        Explanation
        ===========
        ``False`` leaves open whether the command will be committed.
        """
        data = encode_command(command)
        end = self.timers.now() + COMMIT_TIMEOUT_S
        while (left := end - self.timers.now()) > 0:
            if self.is_leader:
                outcome = await self.service.propose(data, left)
                if isinstance(outcome, Committed):
                    return True
                if not isinstance(outcome, NotLeader):
                    return False
            elif self.leader and self.leader != self.instance:
                answer = await self.peers.call(self.leader, Propose(data), left)
                if isinstance(answer, ProposeResult) and answer.is_committed:
                    return True
            await asyncio.sleep(RETRY_LEADER_S)
        return False

    async def on_propose(self, message: Propose, _sender: str) -> ProposeResult:
        """Propose a command on behalf of another process, if this one leads."""
        if not self.is_leader:
            return ProposeResult(False)
        outcome = await self.service.propose(message.command, COMMIT_TIMEOUT_S)
        return ProposeResult(isinstance(outcome, Committed))

    async def read_latest(self) -> LatestCatalog:
        """Return the newest catalog and moves, and whether they are certain to be the newest."""
        end = self.timers.now() + READ_TIMEOUT_S
        while (left := end - self.timers.now()) > 0:
            if self.is_leader:
                latest = await self._read_own(left, -1)
            elif self.leader and self.leader != self.instance:
                latest = await self._read_leader(left)
            else:
                latest = LatestCatalog(False)
                self.read_failure = "no leader is known"
            if latest.is_certain:
                return latest
            await asyncio.sleep(RETRY_LEADER_S)
        return LatestCatalog(False)

    async def _read_own(self, timeout_s: float, known_version: int) -> LatestCatalog:
        outcome = await self.service.read_barrier(timeout_s)
        if not isinstance(outcome, ReadOk):
            self.read_failure = getattr(outcome, "reason", "this process no longer leads")
            return LatestCatalog(False)
        machine = self.machine
        document = b"" if machine.version == known_version else machine.document
        return LatestCatalog(True, machine.version, document, machine.moves_json())

    async def _read_leader(self, timeout_s: float) -> LatestCatalog:
        # Keep the document, because the state may change before the leader's answer arrives.
        version, document = self.machine.version, self.machine.document
        latest = await self.peers.call(self.leader, ReadLatestCatalog(version), timeout_s)
        if not isinstance(latest, LatestCatalog):
            self.read_failure = f"the leader {self.leader or '(lost since)'} doesn't answer"
            return LatestCatalog(False)
        if not latest.is_certain:
            self.read_failure = "the process asked doesn't lead, or no majority confirms it"
            return LatestCatalog(False)
        if latest.catalog_version == version:
            return attrs.evolve(latest, catalog=document)
        return latest

    async def on_read_latest(self, message: ReadLatestCatalog, _sender: str) -> LatestCatalog:
        """Return the newest state to another process, if this one leads."""
        if not self.is_leader:
            return LatestCatalog(False)
        return await self._read_own(READ_TIMEOUT_S, message.catalog_version)
