"""Account of the tokens that an endpoint holds in its memory."""

from __future__ import annotations

import math

import attrs

# Share of the memory that is left free, since lengths of answers are estimates.
MARGIN = 0.1
# Share of the usable memory from which an endpoint that is lost may have run out of it.
NEARLY_FULL = 0.9


@attrs.frozen
class LostWhileFull:
    """Endpoint that was lost while its memory was nearly used.

    Parameters
    ==========
    held, limit : float
        Tokens that it held, and those that it might hold by the account.
    requests : int
        Number of the requests that it held.
    """

    endpoint: str
    incarnation: int
    held: float
    limit: float
    requests: int


class HeldTokens:
    """Tokens of the requests that an endpoint runs or has queued, against its memory.

    Explanation
    ===========
    An endpoint without stated memory takes any request. A request larger than the memory that may
    be used goes only where nothing else is held: the endpoint itself says whether it takes it.

    Attributes
    ==========
    held : float
        Prompt and expected output tokens of the granted requests; the received ones if they
        are more than expected.
    limit : float
        Tokens that may be held, infinite if the memory isn't known.
    free : float
        Largest request that may be granted, in tokens.

    Examples
    ========
    >>> from mulberrygate.schedule.memory import HeldTokens
    >>> memory = HeldTokens()
    >>> memory.set_capacity(10_000)
    >>> memory.add(6_000)
    >>> memory.free
    3000.0
    >>> memory.clear()
    >>> memory.free
    inf
    """

    __slots__ = ("held", "limit", "free")

    def __init__(self):
        self.held = 0.0
        self.limit = self.free = math.inf

    @property
    def is_nearly_full(self) -> bool:
        """Whether little more fits into the memory."""
        return self.held >= NEARLY_FULL * self.limit

    def set_capacity(self, tokens: int) -> None:
        """Set the memory in tokens, 0 if it isn't known."""
        self.limit = tokens * (1.0 - MARGIN) if tokens > 0 else math.inf
        self._update()

    def add(self, tokens: float) -> None:
        """Add tokens that the endpoint holds, or remove them if they are negative."""
        self.held = max(0.0, self.held + tokens)
        self._update()

    def clear(self) -> None:
        """Remove all tokens, since no request is held."""
        self.held = 0.0
        self._update()

    def _update(self) -> None:
        self.free = self.limit - self.held if self.held else math.inf
