"""Search for the control process that an entry follows."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable

from mulberrygate.core.timers import TimerService
from mulberrygate.sync.messages import CheckCurrent, CheckCurrentResult

# Enough for a reachable process in another region to answer.
SEARCH_S = 0.3
# Calls run longer than the search, so that dead connections are detected and closed.
CHECK_TIMEOUT_S = 0.6
# A process that failed within this time is chosen only if no other one is current.
FAILED_S = 3.0


class ControlSearch:
    """Finds a current control process by asking all of them at the same time.

    Explanation
    ===========
    If they were asked in sequence, each unreachable process would cost its whole timeout; two of
    them would take longer than a change may take until it is in force.

    Parameters
    ==========
    instance : str
        Address of the entry, whose first two parts name its failure domain.
    client : PeerClient
        Client for messages to control processes.

    Attributes
    ==========
    failed_at : dict[str, float]
        When each process last failed to answer, or was not current.
    pending_calls : set[asyncio.Future]
        Calls that nobody waits for any more, kept referenced until they end.
    """

    def __init__(self, instance: str, client, timers: TimerService, rng: random.Random):
        self.domain = instance.rsplit(".", 2)[0]
        self.client = client
        self.timers = timers
        self.rng = rng
        self.failed_at: dict[str, float] = {}
        self.pending_calls: set[asyncio.Future] = set()

    def record_failure(self, name: str) -> None:
        """Record that a process didn't answer or was not current."""
        self.failed_at[name] = self.timers.now()

    def is_remote(self, name: str) -> bool:
        """Return whether a process is in another failure domain."""
        return name.rsplit(".", 2)[0] != self.domain

    def least_recently_failed(self, names: Iterable[str]) -> str:
        """Return the process whose last failure is the oldest; prefer the own failure domain."""
        shuffled = self._shuffled(names)
        return min(
            shuffled,
            key=lambda name: (self.failed_at.get(name, float("-inf")), self.is_remote(name)),
        )

    async def find(self, names: Iterable[str]) -> str:
        """Return a current process, preferably near and without a recent failure; else empty."""
        asked = {self._ask(name): name for name in self._shuffled(names)}
        waiting = set(asked)
        found: list[str] = []
        end = self.timers.now() + SEARCH_S
        while waiting and not any(self._is_best(name) for name in found):
            left_s = max(0.0, end - self.timers.now())
            done, waiting = await asyncio.wait(
                waiting, timeout=left_s, return_when=asyncio.FIRST_COMPLETED
            )
            if not done:
                break
            found += [asked[call] for call in done if is_current(call)]
        return min(found, key=self._rank) if found else ""

    def keep_running(self, call: asyncio.Future) -> None:
        """Let a call run to its end without waiting for it."""
        self.pending_calls.add(call)
        call.add_done_callback(self.pending_calls.discard)

    def _ask(self, name: str) -> asyncio.Future:
        request = self.client.call(name, CheckCurrent(), CHECK_TIMEOUT_S)
        call = asyncio.ensure_future(request)
        self.keep_running(call)
        return call

    def _shuffled(self, names: Iterable[str]) -> list[str]:
        shuffled = list(dict.fromkeys(names))
        self.rng.shuffle(shuffled)
        return shuffled

    def _rank(self, name: str) -> tuple[bool, bool]:
        failed_at = self.failed_at.get(name, float("-inf"))
        return self.timers.now() - failed_at < FAILED_S, self.is_remote(name)

    def _is_best(self, name: str) -> bool:
        return not any(self._rank(name))


def is_current(call: asyncio.Future) -> bool:
    """Return whether a finished call was answered by a process that is current."""
    if call.cancelled() or call.exception() is not None:
        return False
    answer = call.result()
    return isinstance(answer, CheckCurrentResult) and answer.is_current
