"""Requests and answers as the forwarding path sees them, without names of any protocol."""

from __future__ import annotations

import hashlib
from typing import Any, Protocol

import attrs

from mulberrygate.catalog import BackendPool, RouteRule
from mulberrygate.core.codes import Code


@attrs.frozen
class CallHead:
    """What the head of a caller's request says.

    Parameters
    ==========
    request : str
        Identifier of the caller's attempt.
    key : str
        Key of a client account, empty if the caller sent none.
    timeout_s : float or None
        Seconds for which the caller waits.
    prompt_tokens, output_tokens : int
        Size of a model request, 0 for others; the output is an upper limit.
    expected_tokens : int
        Caller's estimate of the output tokens, 0 for none.
    last_event_id : str
        Event after which a stream is to go on, empty for its start.
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


@attrs.define
class Call:
    """Request on its way through the filters.

    Parameters
    ==========
    received_at, deadline_at : float
        Monotonic time of its arrival, and of its last moment for a final answer.
    units : float
        What it takes from the limit of its client account.
    expected_tokens, tokens : int
        Output tokens that the scheduler was told, and that came.
    granted_by : str
        Instance whose scheduler chose the endpoint.
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
    expected_tokens: int = 0
    tokens: int = 0
    endpoint: str = ""
    granted_by: str = ""
    granted_after_s: float = -1.0
    first_after_s: float = -1.0

    @property
    def fingerprint(self) -> str:
        """Digest of what makes two requests the same, apart from their identifiers."""
        text = f"{self.head.method} {self.head.host} {self.head.path} {self.account} ".encode()
        return hashlib.blake2b(text + self.body, digest_size=12).hexdigest()


@attrs.frozen
class AnswerHead:
    """What the head of an endpoint's answer says.

    Parameters
    ==========
    has_run : bool
        False if the endpoint says that it did not run the request.
    is_genuine : bool
        Whether it is the endpoint's own answer to this request, so that it may be passed on.
    load : int or None
        Requests that run and wait at the endpoint.
    is_events : bool
        Whether the body is a series of events.
    """

    status: int
    has_run: bool
    is_genuine: bool
    load: int | None = None
    is_events: bool = False

    @property
    def is_success(self) -> bool:
        """Whether the endpoint answered with success."""
        return 200 <= self.status < 300


@attrs.frozen
class Refused:
    """Answer of this system instead of an endpoint's.

    Parameters
    ==========
    code : Code
        Numbered result code; its HTTP status says whether the request may have run.
    retry_after_s : float
        Seconds after which another try is sensible; 0 to say nothing.
    """

    code: Code
    detail: str = ""
    retry_after_s: float = 0.0


class Dialect(Protocol):
    """Names and formats of a protocol between callers and endpoints."""

    def call_head(self, request: Any) -> CallHead:
        """Decode the head of a caller's request."""

    def endpoint_headers(
        self, call: Call, endpoint: str, left_s: float, last_event_id: str
    ) -> list[tuple[str, str]]:
        """Return the headers of a request to an endpoint."""

    def answer_head(self, call: Call, response: Any) -> AnswerHead:
        """Decode the head of an endpoint's answer."""

    def answer_headers(self, response: Any) -> list[tuple[str, str]]:
        """Return the headers of an answer to the caller."""

    def refusal_headers(self, call: Call | None, refusal: Refused) -> list[tuple[str, str]]:
        """Return the headers of a refusal."""
