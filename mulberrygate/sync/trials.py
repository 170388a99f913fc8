"""Requests of an entry for trials of suspected and quarantined calls."""

from __future__ import annotations

from collections.abc import Callable, Collection

from mulberrygate.core.timers import TimerService
from mulberrygate.sync.messages import TrialRequest, TrialResult

# A leader commits within this time or answers that it could not.
REQUEST_TIMEOUT_S = 0.5
# Time until the next request after one that was granted or not answered.
RETRY_S = 1.0


class TrialClient:
    """Asks the leader of the control group whether a listed call may be sent once.

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
    next_at : dict[tuple[str, ...], float]
        Monotonic time before which no trial is requested, by the listed identities of a call.
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
        self.next_at: dict[tuple[str, ...], float] = {}

    def wait_s(self, listed: tuple[str, ...]) -> float:
        """Return the seconds until a trial of a call with these listed identities may be asked."""
        return max(0.0, self.next_at.get(listed, 0.0) - self.timers.now())

    def retain(self, listed: Collection[str]) -> None:
        """Forget the times of calls with identities that are no longer listed."""
        self.next_at = {
            names: at for names, at in self.next_at.items() if all(name in listed for name in names)
        }

    async def request(
        self, fingerprint: str, parts: tuple[str, ...], listed: tuple[str, ...]
    ) -> bool:
        """Request a trial of a call; return whether this entry may send it once.

        Parameters
        ==========
        listed : tuple[str, ...]
            Identities of the call that are suspected or quarantined.
        """
        self.next_at[listed] = self.timers.now() + RETRY_S
        leader = self.leader()
        if not leader:
            return False
        self.number += 1
        holder = f"{self.instance}/{self.incarnation}/{self.number}"
        request = TrialRequest(fingerprint, holder, parts)
        result = await self.client.call(leader, request, REQUEST_TIMEOUT_S)
        if not isinstance(result, TrialResult):
            return False
        if not result.is_granted:
            self.next_at[listed] = self.timers.now() + result.wait_s
        return result.is_granted
