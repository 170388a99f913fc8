"""Answers of endpoints that failed a call, and the final answer that is made from them."""

from __future__ import annotations

import math

import attrs

from mulberrygate.core.outcome import Execution
from mulberrygate.core.promises import keeps_promise
from mulberrygate.forward import codes
from mulberrygate.forward.request import AnswerHead, Refused


@attrs.frozen
class WholeAnswer:
    """Complete answer of an endpoint, held in memory."""

    head: AnswerHead
    headers: list[tuple[str, str]]
    body: bytes

    @property
    def status(self) -> int:
        """HTTP status."""
        return self.head.status

    @property
    def is_ambiguous(self) -> bool:
        """Whether its status promises "not run", which the endpoint did not state."""
        return not keeps_promise(self.head.status, Execution.UNKNOWN)


class Failures:
    """Error answers to one call from endpoints that may have run it.

    Parameters
    ==========
    may_retry : bool
        Whether the caller may send the call again although it may have run.

    Attributes
    ==========
    last : WholeAnswer or None
        Latest one that may be passed on.
    ambiguous : AnswerHead or None
        Head of the latest one that may not be passed on, since its status would promise the caller
        that the call has not run.

    Examples
    ========
    >>> from mulberrygate.forward.failures import Failures, WholeAnswer
    >>> from mulberrygate.forward.request import AnswerHead
    >>> failures = Failures(may_retry=False)
    >>> failures.record(WholeAnswer(AnswerHead(503, False, True), [], b""))
    >>> failures.final_answer().code.name
    'ambiguous_rejection'
    >>> failures.record(WholeAnswer(AnswerHead(500, False, True), [], b""))
    >>> failures.final_answer().head.status
    500
    """

    def __init__(self, may_retry: bool):
        self.may_retry = may_retry
        self.last: WholeAnswer | None = None
        self.ambiguous: AnswerHead | None = None

    def record(self, answer: WholeAnswer) -> None:
        """Record the answer to one send."""
        if answer.is_ambiguous:
            self.ambiguous = answer.head
        else:
            self.last = answer

    def final_answer(self) -> WholeAnswer | Refused | None:
        """Return the answer to the caller if no send succeeds, ``None`` if there was no answer."""
        if self.last is not None or self.ambiguous is None:
            return self.last
        head = self.ambiguous
        # Only callers who may repeat the call are told when its endpoint takes calls again.
        has_pause = self.may_retry and head.pause_s is not None and head.pause_s < math.inf
        return Refused(
            codes.AMBIGUOUS_REJECTION,
            f"an endpoint answered {head.status}; the call may have run",
            head.pause_s if has_pause else 0.0,
        )
