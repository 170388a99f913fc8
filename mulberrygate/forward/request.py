"""Protocol-independent requests and answers of the forwarding path."""

from __future__ import annotations

import hashlib
from typing import Any, Protocol

import attrs

from mulberrygate.catalog import BackendPool, CatalogIndex, RouteRule
from mulberrygate.control.blame import part_identity
from mulberrygate.core.codes import Code
from mulberrygate.core.memory_budget import Holder
from mulberrygate.core.outcome import Execution
from mulberrygate.quota.local import UnitsReceipt

# Statuses of refusals of calls that may have run.
MAY_HAVE_RUN_STATUSES = (502, 504)


@attrs.frozen
class CallHead:
    """Decoded head of a caller's request.

    Parameters
    ==========
    request : str
        Identifier of the caller's attempt.
    key : str
        API key of a client account, empty if the caller sent none.
    timeout_s : float or None
        Seconds for which the caller will wait, ``None`` if it gave no timeout.
    prompt_tokens, output_tokens : int
        Tokens of a model request, 0 for others; the output tokens are an upper limit.
    expected_tokens : int
        Caller's estimate of the output tokens, 0 for none.
    last_event_id : str
        Identifier of the event after which a stream is to be resumed, empty for its start.
    shared_parts : tuple[str, ...]
        Identifiers of the parts of the prompt that other calls may share, in order.
    fault : str
        Why the head can't be used, empty if it can.
    """

    request: str
    host: str
    method: str
    path: str
    key: str = ""
    timeout_s: float | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    expected_tokens: int = 0
    last_event_id: str = ""
    shared_parts: tuple[str, ...] = ()
    fault: str = ""


@attrs.define
class Call:
    """State of a request while it passes through the forwarding path.

    Parameters
    ==========
    received_at, deadline_at : float
        Monotonic time of the arrival, and the latest time for a final answer.
    units : float
        Units of its client account's limit that the request takes.
    spent : mulberrygate.quota.local.UnitsReceipt
        Units that it has spent.
    sends : int
        Number of sends to endpoints.
    is_trial : bool
        Whether the call is quarantined and may be sent once nevertheless.
    expected_tokens, tokens : int
        Output tokens announced to the scheduler, and received from the last endpoint.
    granted_by : str
        Instance whose scheduler chose the endpoint.
    granted_after_s, first_after_s : float
        Seconds from the arrival to the first grant and to the first byte of an answer, -1 before.
    longest_pause_s : float
        Longest time between two reads of a stream's events that were passed on, in seconds.
    index : CatalogIndex or None
        Latest catalog whose home regions bind the call.
    home_regions : frozenset of str or None
        Regions whose endpoints may get the call by each catalog since its arrival, ``None`` if any.
    hedge : str
        Whether a second copy has ``won`` or ``lost`` against the first send, or both have
        ``failed``; empty without a copy.
    body_holder, answer_holder : Holder or None
        Memory that the body and the answer hold.
    copy_holder : Holder or None
        Memory that the answer of a second copy holds, or that of the first send once the copy has
        answered. Two sends can't wait for memory with one holder.
    """

    head: CallHead
    headers: Any
    received_at: float
    route: RouteRule | None = None
    pool: BackendPool | None = None
    account: str = ""
    tier: int = 2
    body: bytes = b""
    deadline_at: float = 0.0
    units: float = 0.0
    attempts: int = 0
    sends: int = 0
    is_trial: bool = False
    expected_tokens: int = 0
    tokens: int = 0
    endpoint: str = ""
    granted_by: str = ""
    granted_after_s: float = -1.0
    first_after_s: float = -1.0
    longest_pause_s: float = 0.0
    hedge: str = ""
    known_fingerprint: str = ""
    spent: UnitsReceipt = attrs.field(factory=UnitsReceipt)
    index: CatalogIndex | None = None
    home_regions: frozenset[str] | None = None
    body_holder: Holder | None = None
    answer_holder: Holder | None = None
    copy_holder: Holder | None = None

    def exchange_holders(self) -> None:
        """Take the memory that the copy's answer holds for that of the call's answer."""
        self.answer_holder, self.copy_holder = self.copy_holder, self.answer_holder

    @property
    def fingerprint(self) -> str:
        """Digest of method, host, path, client account and body; equal requests have equal ones.

        It is computed once, when the body has been read.
        """
        if not self.known_fingerprint:
            text = f"{self.head.method} {self.head.host} {self.head.path} {self.account} ".encode()
            digest = hashlib.blake2b(text + self.body, digest_size=12)
            self.known_fingerprint = digest.hexdigest()
        return self.known_fingerprint

    @property
    def parts(self) -> tuple[str, ...]:
        """Identities of the shared parts of the prompt; see `mulberrygate.control.blame`."""
        return tuple(part_identity(part) for part in self.head.shared_parts)

    @property
    def identities(self) -> tuple[str, ...]:
        """What may be blamed for a crash: the whole call and the shared parts of its prompt."""
        return (self.fingerprint, *self.parts)


@attrs.frozen
class AnswerHead:
    """Decoded head of an endpoint's answer.

    Parameters
    ==========
    is_turned_down : bool
        Whether the endpoint states that it did not run the request. A status alone states nothing.
    is_genuine : bool
        Whether it is the endpoint's own answer to this request and may be passed on.
    load : int or None
        Number of requests that run or wait at the endpoint.
    slowdown : float or None
        Time that work takes on the endpoint's machine at present, relative to the usual time.
    is_events : bool
        Whether the body is a stream of server-sent events.
    is_leaving : bool
        Whether the endpoint says that it leaves and takes no new work.
    pause_s : float or None
        Seconds for which the endpoint, which turned the request away, wants no other of this
        instance; ``None`` if it doesn't say so, infinite if the number can't be read.
    rate : float or None
        Requests a second that the endpoint takes from all instances together; infinite if it names
        no limit, ``None`` if the number can't be read or the answer isn't the endpoint's.
    """

    status: int
    is_turned_down: bool
    is_genuine: bool
    load: int | None = None
    is_events: bool = False
    is_leaving: bool = False
    pause_s: float | None = None
    rate: float | None = None
    slowdown: float | None = None

    @property
    def is_success(self) -> bool:
        """Whether the endpoint answered with success."""
        return 200 <= self.status < 300


@attrs.frozen
class Refused:
    """Refusal that the forwarding path returns instead of an endpoint's answer.

    Parameters
    ==========
    code : Code
        Numbered result code; its HTTP status says whether the request may have run.
    retry_after_s : float
        Seconds after which the caller should retry, 0 to give no hint.
    """

    code: Code
    detail: str = ""
    retry_after_s: float = 0.0

    @property
    def execution(self) -> Execution:
        """What is known about the execution of the request."""
        may_have_run = self.code.http_status in MAY_HAVE_RUN_STATUSES
        return Execution.UNKNOWN if may_have_run else Execution.NOT_RUN


class Dialect(Protocol):
    """Codec for the header names and formats of one protocol of callers and endpoints."""

    def call_head(self, request: Any) -> CallHead:
        """Decode the head of a caller's request."""

    def endpoint_headers(
        self, call: Call, endpoint: str, left_s: float, last_event_id: str
    ) -> list[tuple[str, str]]:
        """Return the headers of a request to an endpoint."""

    def answer_head(self, call: Call, response: Any) -> AnswerHead:
        """Decode the head of an endpoint's answer."""

    def answer_headers(self, response: Any) -> list[tuple[str, str]]:
        """Return the headers of an endpoint's answer to pass on to the caller."""

    def refusal_headers(self, call: Call | None, refusal: Refused) -> list[tuple[str, str]]:
        """Return the headers of a refusal."""
