"""Asyncio service that carries out the effects of an `AgreementNode`."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable, Iterable
from typing import Any, Protocol

import attrs

from mulberrygate.agreement.effects import (
    Apply,
    CaughtUp,
    InstallSnapshot,
    InternalEntryCommitted,
    JoinAsked,
    MembersChanged,
    ReadFailed,
    ReadReady,
    Role,
    RoleChanged,
    SaveSnapshot,
    TakeSnapshot,
)
from mulberrygate.agreement.messages import FirstEntry, JoinRequest, Member, Members
from mulberrygate.agreement.node import REPLIES, REQUESTS, AgreementNode
from mulberrygate.agreement.outcomes import (
    ChangeRefused,
    Committed,
    NotLeader,
    NotProposed,
    Proposed,
    ReadOk,
    Undetermined,
    VoterStopped,
)
from mulberrygate.agreement.settings import AgreementSettings
from mulberrygate.agreement.storage import Storage, StorageError
from mulberrygate.core.effects import Effect, Persist, Reply, Send
from mulberrygate.core.invariant import InvariantError
from mulberrygate.observe.logs import logger

log = logger("agreement")

# A call includes the other voter's disk sync. The next heartbeat repeats what a call that timed
# out carried.
CALL_TIMEOUT_S = 2.0
# Limit for each voter. Further messages are dropped; heartbeats repeat what they carried.
MAX_CALLS_IN_FLIGHT = 16
# Longest wait of a planned stop for the queued effects, and then again for the calls in flight.
CLOSE_WAIT_S = 1.0


class StateMachine(Protocol):
    """State machine that is driven by the replicated log."""

    def apply(self, index: int, command: bytes) -> object:
        """Apply a committed command and return its result."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, data: bytes) -> None:
        """Replace the whole state."""


@attrs.frozen
class AgreementStatus:
    """Status of a voter; ``failure`` is the reason for which it has stopped, else empty."""

    voter: str
    disk: str
    cluster: str
    role: str
    term: int
    leader: str
    commit: int
    applied: int
    last_index: int
    snapshot_index: int
    lease_left_s: float
    members: tuple[Member, ...]
    failure: str


@attrs.frozen
class PendingProposal:
    """A proposal of this voter whose entry, of the given term, is not applied yet."""

    term: int
    future: asyncio.Future


def merge_persists(effects: list[Effect]) -> list[Effect]:
    """Merge consecutive `Persist` effects, so that they share one sync."""
    merged: list[Effect] = []
    for effect in effects:
        if isinstance(effect, Persist) and merged and isinstance(merged[-1], Persist):
            merged[-1] = Persist((*merged[-1].records, *effect.records))
        else:
            merged.append(effect)
    return merged


class AgreementService:
    """Service that runs a voter of the replicated log in a daemon.

    Explanation
    ===========
    All effects pass through one queue and are carried out strictly in order; files are written in
    a thread. When the disk fails, this voter stops, and pending proposals and reads get
    `Undetermined`; the process goes on.

    Parameters
    ==========
    node : AgreementNode
        Node made from the state that ``storage.load`` returned.
    storage : Storage
        Loaded storage of the voter.
    peers : PeerClient
        Client for messages to other instances; it must resolve the names in `addresses`.
    timers : TimerService
        Source of ticks and of the monotonic clock.
    machine : StateMachine
        State machine; the constructor restores it from the snapshot.

    Attributes
    ==========
    on_role : list[Callable[[Role, int], None]]
        Called with role and term after each change.
    caught_up_at : float
        Latest monotonic time for which the state machine is known to hold everything that was
        committed by then. Minus infinity before the first such time.
    """

    def __init__(
        self,
        node: AgreementNode,
        storage: Storage,
        peers: Any,
        timers: Any,
        machine: StateMachine,
    ):
        self.node = node
        self.storage = storage
        self.peers = peers
        self.timers = timers
        self.machine = machine
        self.on_role: list[Callable[[Role, int], None]] = []
        self.failure = ""
        self.caught_up_at = float("-inf")
        self.is_closed = False
        self.queue: deque[tuple[list[Effect], asyncio.Future | None]] = deque()
        self.has_work = asyncio.Event()
        self.pending_proposals: dict[int, PendingProposal] = {}
        self.pending_reads: dict[int, asyncio.Future] = {}
        self.calls: set[asyncio.Task] = set()
        self.in_flight: dict[str, int] = {}
        if node.snapshot is not None:
            machine.restore(node.snapshot.data)
        for cls in REQUESTS:
            peers.on(cls, self.on_message)
        self.log_members(
            "Opened the disk.",
            node.members,
            disk=node.disk,
            cluster=node.cluster,
            last_index=node.log.last_index,
        )
        self.subscription = timers.every(node.settings.tick_s, self.tick, "agreement")
        self.worker = asyncio.ensure_future(self.work())

    @property
    def role(self) -> Role:
        """Current role; a leader whose lease has expired counts as a follower."""
        if self.node.role is Role.LEADER and self.node.is_lease_expired(self.timers.now()):
            return Role.FOLLOWER
        return self.node.role

    @property
    def leader(self) -> str:
        """Name of the leader, empty if it is not known."""
        if self.node.role is Role.LEADER and self.role is not Role.LEADER:
            return ""
        return self.node.leader

    @property
    def term(self) -> int:
        """Current term."""
        return self.node.term

    @property
    def lease_until(self) -> float:
        """End of the leader's lease on the monotonic clock, minus infinity without a lease."""
        return self.node.lease_until if self.node.role is Role.LEADER else float("-inf")

    def addresses(self) -> dict[str, str]:
        """Return the known peer addresses of voters and other members, by name."""
        return self.node.addresses()

    def add_contacts(self, names: Iterable[str]) -> None:
        """Add instances that may know the group, which a voter asks when it hears no leader."""
        self.node.contacts.update(names)

    def status(self) -> AgreementStatus:
        """Return the status of this voter."""
        node = self.node
        left = max(0.0, self.lease_until - self.timers.now())
        return AgreementStatus(
            node.voter,
            node.disk,
            node.cluster,
            self.role.value,
            node.term,
            self.leader,
            node.commit,
            node.applied,
            node.log.last_index,
            node.snapshot.index if node.snapshot else 0,
            left,
            node.members.members,
            self.failure,
        )

    async def propose(
        self, command: bytes, timeout_s: float
    ) -> Committed | NotLeader | Undetermined:
        """Propose a command and wait until it is durable on a majority and applied here."""
        outcome = self.step(lambda now: self.node.propose(command, now))
        return await self.wait_committed(outcome, timeout_s)

    async def add_voter(
        self, name: str, timeout_s: float
    ) -> Committed | ChangeRefused | NotLeader | Undetermined:
        """Add an instance that asked to join as a learner; it is promoted when caught up."""
        outcome = self.step(lambda now: self.node.add_voter(name, now))
        return await self.wait_committed(outcome, timeout_s)

    async def remove_voter(
        self, name: str, timeout_s: float
    ) -> Committed | ChangeRefused | NotLeader | Undetermined:
        """Remove a voter or a learner, and wait until that is committed."""
        outcome = self.step(lambda now: self.node.remove_voter(name, now))
        return await self.wait_committed(outcome, timeout_s)

    async def wait_committed(self, outcome: Any, timeout_s: float) -> Any:
        """Wait until the entry of a proposal is applied; return any other outcome as it is."""
        if not isinstance(outcome, Proposed):
            return outcome
        future = asyncio.get_running_loop().create_future()
        self.pending_proposals[outcome.index] = PendingProposal(outcome.term, future)
        try:
            return await asyncio.wait_for(future, timeout_s)
        except TimeoutError:
            return Undetermined(f"not committed within {timeout_s:g} s")
        finally:
            if self.pending_proposals.get(outcome.index, None) == PendingProposal(
                outcome.term, future
            ):
                del self.pending_proposals[outcome.index]

    async def read_barrier(self, timeout_s: float) -> ReadOk | NotLeader | Undetermined:
        """Wait until this voter has applied everything committed before the call."""
        outcome = self.step(lambda now: self.node.read_index(now))
        if isinstance(outcome, NotLeader | Undetermined):
            return outcome
        future = asyncio.get_running_loop().create_future()
        self.pending_reads[outcome.number] = future
        try:
            return await asyncio.wait_for(future, timeout_s)
        except TimeoutError:
            return Undetermined(f"no majority confirmed this leader within {timeout_s:g} s")
        finally:
            self.pending_reads.pop(outcome.number, None)

    def step(self, action: Callable[[float], Any]) -> Any:
        """Call a method of the node that returns an outcome, and queue its effects."""
        if self.is_closed or self.failure:
            return NotLeader("")
        try:
            outcome = action(self.timers.now())
        except Exception as error:
            self.fail(describe(error))
            return Undetermined(self.failure)
        self.submit(outcome.effects)
        if isinstance(outcome, NotProposed):
            return NotLeader(outcome.leader)
        return outcome

    def tick(self) -> None:
        """Run the periodic step of the node."""
        self.run_node(lambda now: self.node.tick(now), None)

    async def on_message(self, message: Any, sender: str) -> Any:
        """Handle a message from another instance; the reply waits for the effects before it."""
        if self.is_closed or self.failure:
            return None
        reply = asyncio.get_running_loop().create_future()
        self.run_node(lambda now: self.node.handle(message, sender, now), reply)
        return await reply

    def run_node(
        self, action: Callable[[float], list[Effect]], reply: asyncio.Future | None
    ) -> None:
        """Call a method of the node that returns effects, and queue them."""
        if self.is_closed or self.failure:
            return
        try:
            effects = action(self.timers.now())
        except Exception as error:
            # The node may have changed its state without returning the records to persist.
            effects = []
            self.fail(describe(error))
        self.submit(effects, reply)

    def submit(self, effects: list[Effect], reply: asyncio.Future | None = None) -> None:
        """Queue effects, with the future that takes their `Reply`."""
        if self.failure:
            resolve_future(reply, None)
        elif effects or reply is not None:
            self.queue.append((merge_persists(effects), reply))
            self.has_work.set()

    async def work(self) -> None:
        """Carry out queued effects in order, without end."""
        while True:
            while self.queue:
                effects, reply = self.queue.popleft()
                try:
                    for effect in effects:
                        await self.carry_out(effect, reply)
                except Exception as error:
                    self.fail(describe(error))
                resolve_future(reply, None)
            self.has_work.clear()
            await self.has_work.wait()

    async def carry_out(self, effect: Effect, reply: asyncio.Future | None) -> None:
        """Carry out one effect, unless the voter has stopped."""
        if self.failure:
            return
        if isinstance(effect, Persist):
            await asyncio.to_thread(self.storage.persist, effect.records)
        elif isinstance(effect, SaveSnapshot):
            await asyncio.to_thread(self.storage.save_snapshot, effect)
        elif isinstance(effect, Send):
            self.send(effect.to, effect.message)
        elif isinstance(effect, Reply):
            resolve_future(reply, effect.message)
        elif isinstance(effect, RoleChanged):
            self.notify_role(effect)
        else:
            self.carry_out_on_machine(effect)

    def carry_out_on_machine(self, effect: Effect) -> None:
        """Carry out an effect on the state machine, or on pending proposals and reads."""
        if isinstance(effect, Apply):
            result = self.machine.apply(effect.index, effect.command)
            self.complete_proposal(effect.index, effect.term, result)
        elif isinstance(effect, InternalEntryCommitted):
            self.complete_proposal(effect.index, effect.term, None)
        elif isinstance(effect, CaughtUp):
            self.caught_up_at = effect.at
        elif isinstance(effect, MembersChanged):
            self.log_members("Members changed.", effect.members, index=effect.index)
        elif isinstance(effect, JoinAsked):
            names = ",".join(effect.names)
            log.info("Asking to join the group.", disk=self.node.disk, asked=names)
        elif isinstance(effect, TakeSnapshot):
            data = self.machine.snapshot()
            self.submit(self.node.snapshot_taken(effect.index, data))
        elif isinstance(effect, InstallSnapshot):
            self.machine.restore(effect.snapshot.data)
            self.fail_covered_proposals(effect.snapshot.index)
        elif isinstance(effect, ReadReady):
            resolve_future(self.pending_reads.get(effect.number), ReadOk(effect.index))
        elif isinstance(effect, ReadFailed):
            resolve_future(self.pending_reads.get(effect.number), NotLeader(self.node.leader))

    def log_members(self, text: str, members: Members, **fields: object) -> None:
        """Log which disks vote and which learn."""
        voters = ",".join(f"{m.name}/{m.disk}" for m in members.voters())
        learners = ",".join(f"{m.name}/{m.disk}" for m in members.learners())
        log.info(text, **fields, term=self.node.term, voters=voters, learners=learners)

    def complete_proposal(self, index: int, term: int, result: object) -> None:
        """Complete the pending proposal at an index that is now committed."""
        proposal = self.pending_proposals.pop(index, None)
        if proposal is None:
            return
        if proposal.term == term:
            resolve_future(proposal.future, Committed(index, result))
        else:
            # An entry of another term is committed at this index, so the proposal never will be.
            resolve_future(proposal.future, NotLeader(self.node.leader))

    def fail_covered_proposals(self, index: int) -> None:
        """Complete proposals up to an index, which an installed snapshot covers."""
        for known in [known for known in self.pending_proposals if known <= index]:
            reason = "the entry's place is covered by a snapshot"
            resolve_future(self.pending_proposals.pop(known).future, Undetermined(reason))

    def notify_role(self, effect: RoleChanged) -> None:
        """Log a role change and notify the listeners."""
        log.info("Role changed.", voter=self.node.voter, role=effect.role.value, term=effect.term)
        for listener in list(self.on_role):
            listener(effect.role, effect.term)

    def send(self, to: str, message: Any) -> None:
        """Send a message; its reply, if it has one, goes back to the node."""
        if isinstance(message, FirstEntry | JoinRequest):
            self.peers.send(to, message)
            return
        if self.in_flight.get(to, 0) >= MAX_CALLS_IN_FLIGHT:
            return
        self.in_flight[to] = self.in_flight.get(to, 0) + 1
        task = asyncio.ensure_future(self.call(to, message))
        self.calls.add(task)
        task.add_done_callback(self.calls.discard)

    async def call(self, to: str, message: Any) -> None:
        """Send a message and pass its reply to the node."""
        try:
            answer = await self.peers.call(to, message, CALL_TIMEOUT_S)
        finally:
            self.in_flight[to] -= 1
        if isinstance(answer, REPLIES):
            self.run_node(lambda now: self.node.handle(answer, to, now), None)

    def fail(self, reason: str) -> None:
        """Stop this voter after a failure; the process goes on."""
        if self.failure:
            return
        self.failure = reason
        log.error("The voter has stopped.", voter=self.node.voter, reason=reason)
        self.node.stop(self.timers.now())
        self.subscription.cancel()
        self.fail_all_pending(reason)
        for listener in list(self.on_role):
            listener(Role.STOPPED, self.node.term)

    def fail_all_pending(self, reason: str) -> None:
        """Complete all pending replies, and proposals and reads as `Undetermined`."""
        for _, reply in self.queue:
            resolve_future(reply, None)
        self.queue.clear()
        for proposal in self.pending_proposals.values():
            resolve_future(proposal.future, Undetermined(reason))
        for future in self.pending_reads.values():
            resolve_future(future, Undetermined(reason))

    async def close(self) -> None:
        """Transfer leadership, carry out queued effects, and close the files."""
        if self.is_closed:
            return
        if not self.failure:
            self.run_node(lambda now: self.node.transfer_leadership(now), None)
        self.is_closed = True
        self.subscription.cancel()
        drained = asyncio.get_running_loop().create_future()
        self.submit([], drained)
        await asyncio.wait([drained], timeout=CLOSE_WAIT_S)
        if self.calls:
            await asyncio.wait(set(self.calls), timeout=CLOSE_WAIT_S)
        for task in [self.worker, *self.calls]:
            task.cancel()
        await asyncio.gather(self.worker, *self.calls, return_exceptions=True)
        self.fail_all_pending("the voter was closed")
        await asyncio.to_thread(self.storage.close)


def describe(error: Exception) -> str:
    """Return the failure text of a voter that an error stops."""
    if isinstance(error, StorageError | InvariantError):
        return str(error)
    return f"{type(error).__name__}: {error}"


async def open_service(
    folder: str,
    voter: str,
    voters: dict[str, str],
    peers: Any,
    timers: Any,
    machine: StateMachine,
    rng: random.Random,
    settings: AgreementSettings | None = None,
    address: str = "",
    silent_since: float | None = None,
) -> AgreementService | VoterStopped:
    """Open the folder of a voter and start the voter.

    Parameters
    ==========
    folder : str
        This voter's own folder, inside the data folder.
    voter, voters, address, silent_since
        As ``voter``, ``peers``, ``address`` and ``silent_since`` of `AgreementNode`.

    Returns
    =======
    AgreementService | VoterStopped
        `VoterStopped` if the folder is not usable; the daemon goes on without a voter.
    """
    storage = Storage(folder)
    try:
        state = await asyncio.to_thread(storage.load, voter)
    except StorageError as error:
        log.error("The voter can't start.", voter=voter, reason=str(error))
        storage.close()
        return VoterStopped(str(error))
    node = AgreementNode(voter, voters, state, rng, settings, address, silent_since)
    return AgreementService(node, storage, peers, timers, machine)


def resolve_future(future: asyncio.Future | None, result: object) -> None:
    """Set the result of a future, if there is one and it is still pending."""
    if future is not None and not future.done():
        future.set_result(result)
