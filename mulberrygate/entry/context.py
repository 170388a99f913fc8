"""Context of a request in the filter chain, and the components that filters use."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Coroutine
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import attrs
from aiohttp import ClientResponse, web

from mulberrygate.core.memory_budget import Holder
from mulberrygate.core.memory_gate import DEFAULT_MEMORY_BYTES, MemoryGate
from mulberrygate.core.timers import TimerService
from mulberrygate.entry.retry import RetryBudget
from mulberrygate.ledger.messages import Attempt
from mulberrygate.members.view import MembershipView
from mulberrygate.observe.events import EventRing
from mulberrygate.observe.metrics import Metrics
from mulberrygate.schedule.messages import Grant
from mulberrygate.settings.model import Settings
from mulberrygate.tables.model import MODEL, Account, Pool, Route

if TYPE_CHECKING:
    from mulberrygate.control.decoded import DecodedConfiguration
    from mulberrygate.endpoints.directory import Directory
    from mulberrygate.entry.crashes import CrashTracker
    from mulberrygate.entry.tickets import SchedulerClient
    from mulberrygate.entry.upstream import Upstream
    from mulberrygate.ledger.coordinator import Coordinator
    from mulberrygate.ledger.outcomes import OpenAttempt


class BackgroundTasks:
    """Tasks that outlive the request which started them, such as draining an answer."""

    def __init__(self):
        self.tasks: set[asyncio.Task] = set()

    def spawn(self, work: Coroutine) -> asyncio.Task:
        """Start a task and keep a reference to it until it ends."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def wait_shielded(self, work: Coroutine) -> Any:
        """Wait for work that runs to its end even if the waiting task is cancelled."""
        return await asyncio.shield(self.spawn(work))

    async def close(self) -> None:
        """Cancel all tasks and wait for their end."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


@attrs.define(eq=False)
class EntryParts:
    """Components of the daemon that filters use, wired by the composition root."""

    settings: Settings
    in_force: DecodedConfiguration
    directory: Directory
    coordinator: Coordinator
    scheduler: SchedulerClient
    upstream: Upstream
    crashes: CrashTracker
    view: Callable[[], MembershipView]
    metrics: Metrics
    events: EventRing
    timers: TimerService
    background: BackgroundTasks
    retries: RetryBudget = attrs.field(factory=RetryBudget)
    gate: MemoryGate = attrs.field(factory=lambda: MemoryGate(DEFAULT_MEMORY_BYTES))
    is_stopping: bool = False

    def known_domains(self) -> Collection[str]:
        """Return the failure domains that a key's prefix can name.

        Explanation
        ===========
        They come from the configuration. The membership of an instance that has just started may
        lack a domain; this entry would then assign a key to another home than other entries do, and
        the request could run twice.
        """
        return self.in_force.shard_domains

    def is_alive(self, instance: str, incarnation: int) -> bool:
        """Return whether an incarnation of an instance is believed to be alive."""
        return self.coordinator.is_alive(instance, incarnation)


def attempt_stream_id(attempt: Attempt) -> str:
    """Return the identifier of an attempt's stream at its engine.

    Explanation
    ===========
    It is derived from the ledger's record alone, so that any entry can resume the stream.
    """
    return f"{attempt.instance}.{attempt.incarnation:x}.{attempt.number}"


@dataclass(frozen=True)
class RetryElsewhere:
    """Outcome of a dispatch after which another endpoint may be tried.

    Explanation
    ===========
    Either nothing was sent to the endpoint, or the call is idempotent.
    """

    reason: str


@attrs.define(eq=False)
class Result:
    """Result of one dispatch of a request.

    Parameters
    ==========
    fault : str
        Empty, or the kind of fault of the endpoint.
    answer : bytes
        Answer to store in the ledger; empty if it exceeds the size that the ledger keeps.
    first_token_s, total_s : float
        Seconds from dispatch to the first token and to the end.
    is_complete : bool
        Whether the whole answer was received from the endpoint.
    is_reported : bool
        Whether the result was reported. It prevents a second report if the caller closes its
        connection at that moment and the request is cancelled.
    """

    fault: str = ""
    answer: bytes = b""
    output_tokens: int = 0
    received_bytes: int = 0
    first_token_s: float = 0.0
    total_s: float = 0.0
    is_complete: bool = False
    is_cancelled: bool = False
    is_reported: bool = False


@attrs.define(eq=False)
class RequestContext:
    """State of a caller's request while it passes through the filter chain.

    Parameters
    ==========
    key : str
        Key that the caller gave or that was minted; empty for idempotent calls.
    ledger_key, home : str
        Key in the ledger, which is scoped to the client account, and its home failure domain.
    has_caller_key : bool
        Whether the caller gave the key and so may send the request again.
    was_sent : bool
        Whether an endpoint may have received bytes of the request, in this dispatch or an earlier
        one. After that no refusal may say "not run".
    detached : asyncio.Task or None
        Task that goes on with the request after its caller has gone.
    body_holder, answer_holder : Holder
        Hold the memory of body and answer until the request has ended.
    is_dispatching : bool
        Whether the request has a grant and is being sent, or its answer is being relayed.
    deadline_at : float
        Monotonic time in seconds after which the answer is of no use to the caller.
    avoid : tuple of str
        Endpoints of earlier dispatches, which the scheduler should avoid.
    tries : int
        Number of the current dispatch, from 0.
    response : web.StreamResponse or None
        Stream response whose headers were sent; from then on a failure ends the stream with an
        error event.
    """

    http: web.Request
    kind: str
    request_id: str
    received_at: float
    account_name: str = ""
    account: Account | None = None
    route_name: str = ""
    route: Route | None = None
    pool_name: str = ""
    pool: Pool | None = None
    tier: int = 3
    deadline_at: float = 0.0
    body: bytes = b""
    payload: dict[str, Any] = attrs.field(factory=dict)
    prompt_tokens: int = 1
    output_tokens: int = 1
    prefixes: tuple[str, ...] = ()
    fingerprint: str = ""
    key: str = ""
    ledger_key: str = ""
    home: str = ""
    claim_fingerprint: bytes = b""
    has_caller_key: bool = False
    was_sent: bool = False
    detached: asyncio.Task | None = None
    body_holder: Holder = attrs.field(factory=lambda: Holder(""))
    answer_holder: Holder = attrs.field(factory=lambda: Holder(""))
    is_dispatching: bool = False
    is_idempotent: bool = False
    attempt: OpenAttempt | None = None
    tries: int = 0
    avoid: tuple[str, ...] = ()
    grant: Grant | None = None
    granted_at: float = 0.0
    dispatched_at: float = 0.0
    upstream: ClientResponse | None = None
    response: web.StreamResponse | None = None
    result: Result = attrs.field(factory=Result)

    @property
    def is_model(self) -> bool:
        """Whether the request goes to a model pool."""
        return self.kind == MODEL

    @property
    def stream_id(self) -> str:
        """Identifier of the request's stream or call at its endpoint."""
        return attempt_stream_id(self.attempt.attempt) if self.attempt else self.grant.request

    @property
    def wants_stream(self) -> bool:
        """Whether the caller asked for server-sent events."""
        return self.payload.get("stream") is True

    @property
    def outlives_caller(self) -> bool:
        """Whether the request runs on after its caller has gone.

        Explanation
        ===========
        A call that may not be repeated runs to its end so that its outcome is known. So does a
        request under the caller's key, since the caller may send it again and attach.
        """
        return not self.is_idempotent and (self.has_caller_key or not self.is_model)

    def remaining_s(self, now: float) -> float:
        """Return the seconds until the deadline."""
        return self.deadline_at - now
