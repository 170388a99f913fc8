"""Registry of numbered result codes.

Explanation
===========
Every refusal and error that leaves a process carries one of these numbers. A module registers the
codes that it returns; ``docs/result-codes.md`` is checked against the registry.
"""

from __future__ import annotations

import attrs

_registry: dict[int, Code] = {}


@attrs.frozen
class Code:
    """A numbered result code.

    Parameters
    ==========
    number : int
        Four digits; the first one is the group.
    name : str
        Short name in lower case with underscores.
    meaning : str
        One sentence for operators and callers.
    http_status : int
        Status of an HTTP answer that carries the code.
    """

    number: int
    name: str
    meaning: str
    http_status: int = 500

    def __int__(self) -> int:
        return self.number

    def __str__(self) -> str:
        return f"{self.number} {self.name}"


def register_code(number: int, name: str, meaning: str, http_status: int = 500) -> Code:
    """Register a code and return it.

    Raises
    ======
    ValueError
        The number is taken by another code.

    Examples
    ========
    >>> from mulberrygate.core.codes import code_by_number, register_code
    >>> code = register_code(1999, "example_only", "Used by this example.", 400)
    >>> code_by_number(1999).name
    'example_only'
    """
    code = Code(number, name, meaning, http_status)
    registered = _registry.setdefault(number, code)
    if registered != code:
        raise ValueError(f"code {number} is already registered as {registered.name}")
    return registered


def code_by_number(number: int) -> Code:
    """Return the code registered under a number; unknown numbers get a generic code."""
    return _registry.get(number) or Code(number, "unregistered", "Code of a newer release.")


def all_codes() -> list[Code]:
    """Return all registered codes in order of their numbers."""
    return [_registry[number] for number in sorted(_registry)]
