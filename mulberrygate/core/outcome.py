"""Outcomes that components return instead of raising exceptions."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from mulberrygate.core.codes import Code


class Execution(enum.Enum):
    """What is known about the execution of a refused or failed request.

    ``NOT_RUN`` guarantees that no byte of the request can have reached an endpoint.
    """

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    COMPLETED = "completed"


@dataclass(frozen=True)
class Refusal:
    """Refusal of a request or a change.

    Parameters
    ==========
    code : Code
        Numbered result code.
    detail : str
        One sentence about this occurrence.
    execution : Execution
        Whether the request may have run at an endpoint.
    retry_after_s : float
        Seconds after which the caller should retry; 0 if unknown.
    """

    code: Code
    detail: str = ""
    execution: Execution = Execution.NOT_RUN
    retry_after_s: float = 0.0
