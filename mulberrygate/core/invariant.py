"""Invariants that are checked at run time."""

from __future__ import annotations

from collections.abc import Callable

from mulberrygate.core.codes import Code

Listener = Callable[[Code, str], None]

_listeners: list[Listener] = []


class InvariantError(AssertionError):
    """An invariant of the program is violated.

    Parameters
    ==========
    code : Code
        Code of the 9xxx group.
    detail : str
        Values that violate the invariant.
    """

    def __init__(self, code: Code, detail: str):
        super().__init__(f"{code}: {detail}")
        self.code = code
        self.detail = detail


def on_violation(listener: Listener) -> Callable[[], None]:
    """Call a listener at each violation; return a function that removes it."""
    _listeners.append(listener)
    return lambda: _listeners.remove(listener)


def invariant(condition: object, code: Code, detail: str = "") -> None:
    """Raise `InvariantError` unless the condition holds.

    Explanation
    ===========
    Unlike ``assert``, the check also runs under ``python -O``. Metrics and the time line receive
    violations through `on_violation`.

    Raises
    ======
    InvariantError
        The condition is false.
    """
    if condition:
        return
    for listener in list(_listeners):
        listener(code, detail)
    raise InvariantError(code, detail)
