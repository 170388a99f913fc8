"""Commits to the control log and linearizable reads of it, from any control process."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

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
# Longest wait for the answer of a leader before the other control processes are asked as well: it
# may be gone, and its successor may not have reached this process yet.
LEADER_ANSWER_S = 0.3
RETRY_READ_S = 0.1


class LogAccess:
    """Commits commands to the replicated log and reads its state, through the leader.

    Parameters
    ==========
    machine : CatalogStateMachine
        State machine that this process's copy of the log has built up.
    peers : PeerClient
        Client for messages to other control processes.
    others : Callable[[], Iterable[str]]
        Returns the other control processes that are known.

    Attributes
    ==========
    service : AgreementService or None
        Voter of this process; ``None`` if its disk can't be used.
    read_failure : str
        Why the last try of a read failed, for the log.
    """

    def __init__(
        self,
        instance: str,
        machine: CatalogStateMachine,
        peers,
        timers: TimerService,
        others: Callable[[], Iterable[str]] = tuple,
    ):
        self.instance = instance
        self.machine = machine
        self.peers = peers
        self.timers = timers
        self.others = others
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
                answer = await self._propose_to(self.leader, Propose(data), left)
                if isinstance(answer, ProposeResult) and answer.is_committed:
                    return True
            await asyncio.sleep(RETRY_LEADER_S)
        return False

    async def _propose_to(self, leader: str, message: Propose, timeout_s: float) -> object:
        """Return a leader's answer, or ``None`` once another process leads.

        Explanation
        ===========
        A leader that is gone doesn't answer, and its successor is known long before the timeout.
        """
        end = self.timers.now() + timeout_s
        call = asyncio.ensure_future(self.peers.call(leader, message, timeout_s))
        try:
            while self.leader in ("", leader) and self.timers.now() < end:
                await asyncio.wait({call}, timeout=RETRY_LEADER_S)
                if call.done():
                    return call.result()
        finally:
            call.cancel()
        return None

    async def on_propose(self, message: Propose, _sender: str) -> ProposeResult:
        """Propose a command on behalf of another process, if this one leads."""
        if not self.is_leader:
            return ProposeResult(False)
        outcome = await self.service.propose(message.command, COMMIT_TIMEOUT_S)
        return ProposeResult(isinstance(outcome, Committed))

    async def read_latest(self) -> LatestCatalog:
        """Return the newest catalog and moves, and whether they are certain to be the newest.

        Explanation
        ===========
        A process whose leader doesn't answer, or that knows none because its disk is new, asks all
        control processes that it knows, and the leader that they name.
        """
        end = self.timers.now() + READ_TIMEOUT_S
        names = {self.leader}
        calls: dict[asyncio.Future, str] = {}
        try:
            while (left := end - self.timers.now()) > 0:
                if self.is_leader:
                    latest = await self._read_own(left, -1)
                    if latest.is_certain:
                        return latest
                for name in names - {"", self.instance, *calls.values()}:
                    calls[asyncio.ensure_future(self._read_from(name, left))] = name
                answers = await self._take_answers(calls, min(left, LEADER_ANSWER_S))
                for latest in answers:
                    if latest.is_certain:
                        return latest
                await asyncio.sleep(RETRY_READ_S)
                names = {self.leader, *self.others(), *(latest.leader for latest in answers)}
        finally:
            for call in calls:
                call.cancel()
        if not names - {"", self.instance, *self.others()}:
            self.read_failure = f"no leader is known ({self.read_failure})"
        return LatestCatalog(False)

    async def _take_answers(
        self, calls: dict[asyncio.Future, str], wait_s: float
    ) -> list[LatestCatalog]:
        """Wait until a call ends; remove the calls that have ended and return their answers.

        Parameters
        ==========
        wait_s : float
            Longest wait in seconds. Calls that last longer go on.
        """
        if not calls:
            self.read_failure = "no leader is known"
            return []
        done, _ = await asyncio.wait(calls, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED)
        for call in done:
            del calls[call]
        return [call.result() for call in done]

    async def _read_own(self, timeout_s: float, known_version: int) -> LatestCatalog:
        outcome = await self.service.read_barrier(timeout_s)
        if not isinstance(outcome, ReadOk):
            self.read_failure = getattr(outcome, "reason", "this process no longer leads")
            return LatestCatalog(False)
        machine = self.machine
        document = b"" if machine.version == known_version else machine.document
        return LatestCatalog(True, machine.version, document, machine.moves_json())

    async def _read_from(self, name: str, timeout_s: float) -> LatestCatalog:
        # Keep the document, because the state may change before the answer arrives.
        version, document = self.machine.version, self.machine.document
        latest = await self.peers.call(name, ReadLatestCatalog(version), timeout_s)
        if not isinstance(latest, LatestCatalog):
            self.read_failure = f"{name} doesn't answer"
            return LatestCatalog(False)
        if not latest.is_certain:
            self.read_failure = f"{name} doesn't lead, or no majority confirms it"
            return latest
        if latest.catalog_version == version:
            return attrs.evolve(latest, catalog=document)
        return latest

    async def on_read_latest(self, message: ReadLatestCatalog, _sender: str) -> LatestCatalog:
        """Return the newest state to another process, if this one leads."""
        if not self.is_leader:
            return LatestCatalog(False, leader=self.leader)
        return await self._read_own(READ_TIMEOUT_S, message.catalog_version)
