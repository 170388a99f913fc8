"""Voter of the control group, and the periodic duties of the group's leader."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgpack

from mulberrygate.agreement import (
    AgreementNode,
    AgreementService,
    Committed,
    NotLeader,
    Role,
    Storage,
    StorageError,
)
from mulberrygate.control.client import UNDETERMINED
from mulberrygate.control.commands import ApplyTable, CommandResult, SetEvacuation
from mulberrygate.control.decoded import DecodedConfiguration
from mulberrygate.control.evidence import Evidence
from mulberrygate.control.messages import (
    ApplyRequest,
    ControlAnswer,
    EvacuationRequest,
    FindLeader,
    ReadTable,
    TableText,
)
from mulberrygate.control.moves import MoveController
from mulberrygate.control.state import ControlState
from mulberrygate.control.views import ViewPlanner
from mulberrygate.core.codes import register_code
from mulberrygate.core.timers import TimerService
from mulberrygate.core.wire import decode, encode
from mulberrygate.daemon.order_sender import OrderSender
from mulberrygate.ledger.messages import CopyReport
from mulberrygate.members.view import MembershipView, Status
from mulberrygate.observe.events import EventRing
from mulberrygate.observe.logs import logger
from mulberrygate.peers.client import PeerClient
from mulberrygate.settings.model import CONTROL, EVACUATIONS, Settings
from mulberrygate.tables.model import PoolsTable, RoutesTable
from mulberrygate.tables.parse import ROUTES, Faults, parse_table
from mulberrygate.tables.render import render_table

log = logger("control")

NO_TABLE = register_code(5004, "no_table", "No version of the table is in force.", 404)

UNKNOWN_DOMAIN = register_code(
    4025, "unknown_failure_domain", "No instance of this failure domain is known.", 422
)
EARLIER_RELEASE = register_code(
    5005, "earlier_release", "A voter of an earlier release can't apply this; nothing changed.", 503
)

PROPOSE_TIMEOUT_S = 6.0
READ_TIMEOUT_S = 4.0
LEADER_TICK_S = 0.25
# Planning the views of 192 shards takes 3.3 ms, which would be 1.3% of a core at every leader tick.
# Changes of membership or shards and copy reports cause a plan at the next tick; expired delays are
# noticed within this interval.
PLAN_INTERVAL_S = 2.0


class ControlStateMachine:
    """Replicated state machine that applies encoded commands to the control state."""

    def __init__(self, on_change: Callable[[], None]):
        self.state = ControlState()
        self.on_change = on_change

    def apply(self, index: int, command: bytes) -> CommandResult:
        """Apply a command of the log."""
        kind, body = msgpack.unpackb(command)
        result = self.state.apply(index, decode(kind, body))
        self.on_change()
        return result

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return self.state.snapshot()

    def restore(self, data: bytes) -> None:
        """Replace the whole state."""
        self.state.restore(data)
        self.on_change()


def encode_command(command: Any) -> bytes:
    """Encode a command for the log."""
    return msgpack.packb(list(encode(command)))


@dataclass(frozen=True)
class ProposalFailure:
    """Result of a proposal that did not enter the log, or for which this is unknown."""

    leader: str
    code: int
    detail: str


class ControlVoter:
    """Voter of the control group on this instance.

    Explanation
    ===========
    The leader's duties read the decoded configuration of this instance, which is updated with each
    change of the control state. Decoding 192 shards at every tick would cost 5% of a core.

    Parameters
    ==========
    on_change : Callable[[ControlState], None]
        Called after each change of the control state on this voter.
    on_leadership_change : Callable[[bool], None]
        Called when this voter starts or stops leading.
    """

    def __init__(
        self,
        settings: Settings,
        peers: PeerClient,
        view: Callable[[], MembershipView],
        in_force: DecodedConfiguration,
        timers: TimerService,
        events: EventRing,
        rng: random.Random,
        on_change: Callable[[ControlState], None],
        on_leadership_change: Callable[[bool], None],
    ):
        self.settings = settings
        self.peers = peers
        self.view = view
        self.in_force = in_force
        self.timers = timers
        self.events = events
        self.rng = rng
        self.on_leadership_change = on_leadership_change
        self.failure = ""
        self.service: AgreementService | None = None
        self.machine = ControlStateMachine(lambda: on_change(self.machine.state))
        self.planner = ViewPlanner()
        self.moves = MoveController()
        self.is_proposing = False
        self.planned_inputs: tuple[Any, Any] = (None, None)
        self.planned_at = float("-inf")
        self.has_copy_report = False
        self.orders: OrderSender | None = None

    def start(self) -> None:
        """Load the data folder and join the group; on a storage error only the voter stays down."""
        storage = Storage(self.settings.data_folder)
        try:
            state = storage.load(self.settings.instance)
        except StorageError as error:
            self.failure = str(error)
            log.error("The data folder can't be used; this voter does not start.", reason=error)
            self.events.add("control.disk_failed", str(error), instance=self.settings.instance)
            self.peers.on(FindLeader, lambda _message, _sender: ControlAnswer(False))
            return
        node = AgreementNode(
            self.settings.instance,
            self.settings.voters,
            state,
            self.rng,
            address=self.settings.peer_address,
        )
        self.service = AgreementService(node, storage, self.peers, self.timers, self.machine)
        self.service.on_role.append(self._on_role)
        self.peers.on(ApplyRequest, self.on_apply_request)
        self.peers.on(EvacuationRequest, self.on_evacuation_request)
        self.peers.on(ReadTable, self.on_read_table)
        self.peers.on(FindLeader, self.on_find_leader)
        self.peers.on(CopyReport, self.on_copy_report)
        self.peers.on(Evidence, self.on_evidence)
        self.orders = OrderSender(
            self.settings.instance,
            self.service,
            self.propose,
            self.peers,
            self.view,
            self.in_force,
            self.timers,
            self.events,
        )
        self.timers.every(LEADER_TICK_S, self.run_leader_duties, "control.duties")
        self.timers.every(LEADER_TICK_S, self.send_orders, "control.orders")

    @property
    def is_leader(self) -> bool:
        """Whether this voter leads under a lease that still holds."""
        return self.service is not None and self.service.role is Role.LEADER

    def _on_role(self, role: Role, term: int) -> None:
        is_leader = role is Role.LEADER
        self.events.add(
            "control.role", f"{role.value} in term {term}", instance=self.settings.instance
        )
        if is_leader:
            self.planner = ViewPlanner()
            self.moves = MoveController()
        else:
            self.orders.stop_leading()
        self.on_leadership_change(is_leader)

    def on_find_leader(self, _message: FindLeader, _sender: str) -> ControlAnswer:
        """Return whether this voter leads, or else which voter it knows as the leader."""
        if self.is_leader:
            return ControlAnswer(True, self.settings.instance)
        return ControlAnswer(False, self.service.leader)

    async def on_apply_request(self, request: ApplyRequest, _sender: str) -> ControlAnswer:
        """Validate a table and commit it, if this voter leads."""
        if not self.is_leader:
            return ControlAnswer(False, self.service.leader)
        parsed = await asyncio.to_thread(parse_table, request.content, request.table)
        if isinstance(parsed, Faults):
            return ControlAnswer(True, code=parsed.faults[0].code.number, detail=str(parsed))
        version = parsed.table.version
        command = ApplyTable(
            request.table, version, request.content, parsed.digest, request.operator, time.time()
        )
        result = await self.propose(command)
        if isinstance(result, ProposalFailure):
            return ControlAnswer(not result.leader, result.leader, result.code, 0, result.detail)
        self.events.add(
            "control.table",
            f"version {version}: {result.detail}" if not result.code else f"refused {result.code}",
            table=request.table,
            operator=request.operator,
        )
        return ControlAnswer(True, "", result.code, result.revision, result.detail)

    async def on_evacuation_request(
        self, request: EvacuationRequest, _sender: str
    ) -> ControlAnswer:
        """Evacuate a failure domain or withdraw that, if this voter leads."""
        if not self.is_leader:
            return ControlAnswer(False, self.service.leader)
        name = request.failure_domain
        if name not in self.view().regions and name not in self.in_force.evacuations:
            return ControlAnswer(True, code=UNKNOWN_DOMAIN.number, detail=name)
        if not self._can_all_apply():
            return ControlAnswer(True, code=EARLIER_RELEASE.number)
        command = SetEvacuation(name, request.is_evacuated, request.operator, time.time())
        result = await self.propose(command)
        if isinstance(result, ProposalFailure):
            return ControlAnswer(not result.leader, result.leader, result.code, 0, result.detail)
        self.events.add(
            "control.evacuation", result.detail, failure_domain=name, operator=request.operator
        )
        return ControlAnswer(True, "", result.code, result.revision, result.detail)

    def _can_all_apply(self) -> bool:
        """Return whether all known voters can apply the command that evacuates.

        Explanation
        ===========
        A voter stops at a command that it doesn't know.
        """
        voters = (m for m in self.view().members.values() if CONTROL in m.roles)
        return all(EVACUATIONS in m.roles for m in voters if m.status is not Status.DEAD)

    async def propose(self, command: Any) -> CommandResult | ProposalFailure:
        """Propose a command and wait for its result."""
        outcome = await self.service.propose(encode_command(command), PROPOSE_TIMEOUT_S)
        if isinstance(outcome, Committed):
            return outcome.result
        if isinstance(outcome, NotLeader):
            return ProposalFailure(outcome.leader or "?", 0, "another voter leads")
        return ProposalFailure("", UNDETERMINED.number, outcome.reason)

    async def on_read_table(self, request: ReadTable, _sender: str) -> TableText:
        """Return a table in force after a majority has confirmed the leader (linearizable read)."""
        outcome = await self.service.read_barrier(READ_TIMEOUT_S)
        if isinstance(outcome, NotLeader):
            return TableText(False, outcome.leader)
        if not hasattr(outcome, "index"):
            return TableText(True, code=UNDETERMINED.number, detail=outcome.reason)
        state = self.machine.state
        table_state = state.tables().get(request.table)
        if table_state is None:
            return TableText(True, code=NO_TABLE.number)
        if request.table == ROUTES:
            table = RoutesTable(table_state.version, state.routes(), state.accounts())
        else:
            table = PoolsTable(table_state.version, state.pools())
        text = render_table(table).encode()
        return TableText(True, version=table_state.version, content=text)

    def on_copy_report(self, report: CopyReport, _sender: str) -> None:
        """Record that a replica has completed its copy of a ledger shard."""
        self.planner.add_copy_report(report)
        self.has_copy_report = True

    def on_evidence(self, evidence: Evidence, _sender: str) -> None:
        """Pass evidence on a version move to the move controller, if this voter leads."""
        if self.is_leader:
            self.moves.observe(evidence, self.timers.now())
            if evidence.stopped:
                # The verdict must not wait for the next tick: 2 s after the evidence no request may
                # go to the version, in any failure domain.
                self.timers.spawn(self.run_leader_duties())

    async def send_orders(self) -> None:
        """Send due orders to endpoints, while this voter leads."""
        if self.is_leader:
            await self.orders.tick()

    async def run_leader_duties(self) -> None:
        """Plan ledger views and advance version moves, while this voter leads."""
        if not self.is_leader or self.is_proposing:
            return
        now, wall_time = self.timers.now(), time.time()
        in_force = self.in_force
        commands: list[Any] = []
        if self._is_plan_due(now):
            plan = self.planner.plan(self.view(), in_force.shards, now, wall_time)
            commands += [plan] if plan.shards else []
        if in_force.moves or self.moves.tracks:
            self.moves.update(in_force.moves, in_force.pools, now, wall_time)
            commands += self.moves.tick(now)
        self.is_proposing = True
        try:
            for command in commands:
                result = await self.propose(command)
                self._record_command(command, result)
        finally:
            self.is_proposing = False

    def _is_plan_due(self, now: float) -> bool:
        """Return whether to plan the ledger's views now; if so, the triggers are reset."""
        inputs = (self.view(), self.in_force.shards)
        is_changed = any(
            new is not old for new, old in zip(inputs, self.planned_inputs, strict=True)
        )
        if not is_changed and not self.has_copy_report and now < self.planned_at + PLAN_INTERVAL_S:
            return False
        self.planned_inputs, self.planned_at, self.has_copy_report = inputs, now, False
        return True

    def _record_command(self, command: Any, result: CommandResult | ProposalFailure) -> None:
        """Add a command of the leader to the timeline."""
        if isinstance(result, ProposalFailure):
            log.warning(
                "A command of the leader is not known to be committed.", reason=result.detail
            )
            return
        pool = getattr(command, "pool", "")
        if pool and not result.code:
            verdict = command.verdict or f"stage {command.stage}, share {command.share:.3f}"
            self.events.add("moves.step", f"{verdict} {command.reason}".strip(), move=pool)
        elif not pool:
            shards = [shard.name() for shard in command.shards]
            self.events.add("ledger.views", f"{len(shards)} shards from {shards[0]}")

    def status(self) -> dict:
        """Return the voter's state for operators."""
        if self.service is None:
            return {"role": "stopped", "failure": self.failure}
        status = self.service.status()
        return {
            "role": status.role,
            "term": status.term,
            "leader": status.leader,
            "commit": status.commit,
            "disk": status.disk,
            "voters": {m.disk: m.name for m in status.members if m.is_voter},
            "learners": {m.disk: m.name for m in status.members if not m.is_voter},
            "failure": status.failure,
        }

    async def close(self) -> None:
        """Hand over leadership and close the log."""
        if self.service is not None:
            await self.service.close()
