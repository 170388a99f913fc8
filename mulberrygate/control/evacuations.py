"""Record of the failure domains that operators have evacuated, in the control log."""

from __future__ import annotations

import enum
from typing import Any

import attrs

# Failure domains that are remembered. Beyond that, the earliest withdrawals are dropped.
MAX_FAILURE_DOMAINS = 256


class OrderResult(enum.Enum):
    """Outcome of an order to evacuate a failure domain, or to end that."""

    COMMITTED = "committed"
    UNKNOWN_DOMAIN = "unknown failure domain"
    NOT_CERTAIN = "not certain"


@attrs.frozen
class PutEvacuation:
    """Evacuate a failure domain, or withdraw its evacuation.

    Parameters
    ==========
    at : float
        Unix time in seconds.
    """

    failure_domain: str
    is_evacuated: bool
    at: float


@attrs.frozen
class Evacuation:
    """Whether a failure domain is evacuated.

    Parameters
    ==========
    began_at : float
        Unix time of the last evacuation in seconds.
    ended_at : float
        Unix time at which the last evacuation was withdrawn, 0 if that has not happened.
    """

    is_evacuated: bool
    began_at: float
    ended_at: float = 0.0


class Evacuations:
    """Evacuated failure domains, as a part of the replicated state.

    Explanation
    ===========
    The last order in the log counts, whatever its time says: the clocks of control processes
    differ. An order that states what holds already changes nothing, so it may be sent again.

    Attributes
    ==========
    number : int
        Log index of the last change, 0 without one.
    clock : float
        Latest time in a command that changed something.

    Examples
    ========
    >>> from mulberrygate.control.evacuations import Evacuations, PutEvacuation
    >>> evacuations = Evacuations()
    >>> evacuations.put(PutEvacuation("a", True, 100.0), index=7)
    True
    >>> evacuations.put(PutEvacuation("a", True, 103.0), index=8)
    False
    >>> evacuations.evacuated, evacuations.number
    (('a',), 7)
    """

    def __init__(self):
        self.domains: dict[str, Evacuation] = {}
        self.number = 0
        self.clock = 0.0

    @property
    def evacuated(self) -> tuple[str, ...]:
        """The evacuated failure domains."""
        return tuple(name for name, known in self.domains.items() if known.is_evacuated)

    def put(self, command: PutEvacuation, index: int) -> bool:
        """Apply an order with its log index; return whether it changed something."""
        name = command.failure_domain
        known = self.domains.get(name)
        if command.is_evacuated is (known is not None and known.is_evacuated):
            return False
        self.domains.pop(name, None)
        if command.is_evacuated:
            self.domains[name] = Evacuation(True, command.at)
        else:
            self.domains[name] = Evacuation(False, known.began_at, command.at)
        self.number = index
        self.clock = max(self.clock, command.at)
        self._drop_oldest()
        return True

    def _drop_oldest(self) -> None:
        """Forget the withdrawals that are the longest ago if there are too many failure domains."""
        ended = [name for name, known in self.domains.items() if not known.is_evacuated]
        for name in ended[: max(0, len(self.domains) - MAX_FAILURE_DOMAINS)]:
            del self.domains[name]

    def dump(self) -> list[Any]:
        """Return the state for a snapshot."""
        rows = [[name, *attrs.astuple(known)] for name, known in self.domains.items()]
        return [self.number, self.clock, rows]

    def load(self, values: list[Any]) -> None:
        """Replace the state by that of a snapshot."""
        self.number, self.clock, rows = values
        self.domains = {name: Evacuation(*known) for name, *known in rows}
