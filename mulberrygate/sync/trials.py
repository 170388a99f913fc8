"""Requests of an entry for trials of quarantined calls."""

from __future__ import annotations

from collections.abc import Callable, Collection

from mulberrygate.core.timers import TimerService
from mulberrygate.sync.messages import TrialRequest, TrialResult

# A leader commits within this time or answers that it could not.
REQUEST_TIMEOUT_S = 0.5
# Time until the next request after one that was granted or not answered.
RETRY_S = 1.0


class TrialClient:
    """Asks the leader of the control group whether a quarantined call may be sent once.

    Parameters
    ==========
    instance : str
        Name of this entry.
    incarnation : int
        Incarnation of this entry.
    client : PeerClient
        Client for messages to control processes.
    leader : Callable[[], str]
        Returns the leader, empty if it is not known.

    Attributes
    ==========
    next_at : dict[str, float]
        Monotonic time before which no trial of a call is requested, by fingerprint.
    """

    def __init__(
        self,
        instance: str,
        incarnation: int,
        client,
        timers: TimerService,
        leader: Callable[[], str],
    ):
        self.instance = instance
        self.incarnation = incarnation
        self.client = client
        self.timers = timers
        self.leader = leader
        self.number = 0
        self.next_at: dict[str, float] = {}

    def wait_s(self, call: str) -> float:
        """Return the seconds until a trial of a call may be requested."""
        return max(0.0, self.next_at.get(call, 0.0) - self.timers.now())

    def retain(self, quarantined: Collection[str]) -> None:
        """Forget the times of calls that are no longer quarantined."""
        self.next_at = {call: at for call, at in self.next_at.items() if call in quarantined}

    async def request(self, call: str) -> bool:
        """Request a trial of a call; return whether this entry may send it once."""
        self.next_at[call] = self.timers.now() + RETRY_S
        leader = self.leader()
        if not leader:
            return False
        self.number += 1
        holder = f"{self.instance}/{self.incarnation}/{self.number}"
        result = await self.client.call(leader, TrialRequest(call, holder), REQUEST_TIMEOUT_S)
        if not isinstance(result, TrialResult):
            return False
        if not result.is_granted:
            self.next_at[call] = self.timers.now() + result.wait_s
        return result.is_granted
