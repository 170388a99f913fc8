"""Tagged outcomes that parts return in place of exceptions."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from mulberrygate.core.codes import Code


class Execution(enum.Enum):
    """What is known about the execution of a refused or failed request.

    ``NOT_RUN`` is a promise: no byte of the request can have reached an endpoint.
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
        One sentence on this occurrence.
    execution : Execution
        What is known about the request's execution.
    retry_after_s : float
        Seconds after which another try is sensible; 0 if it is not known.
    """

    code: Code
    detail: str = ""
    execution: Execution = Execution.NOT_RUN
    retry_after_s: float = 0.0
