"""Client of the control leader, for any instance."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from mulberrygate.control.messages import ControlAnswer, FindLeader
from mulberrygate.core.codes import register_code
from mulberrygate.members.view import MembershipView
from mulberrygate.peers.client import PeerClient, Unreachable

NO_LEADER = register_code(
    5001, "no_leader", "No control leader can be reached; tables can't change now.", 503
)
ANSWER_LOST = register_code(
    5002,
    "answer_lost",
    "The leader gave no answer; the change may be in force. Repeat it.",
    504,
)
UNDETERMINED = register_code(
    5003, "undetermined", "The change may or may not be in force. Send it again.", 504
)

CALL_TIMEOUT_S = 8.0
FIND_TIMEOUT_S = 1.0
LEADER_CACHE_S = 1.0
# Longest wait for a leader. An election usually ends within a second, a contested one takes more.
LEADER_WAIT_S = 3.0
RETRY_S = 0.1


class ControlClient:
    """Finds the control leader among the voters and sends it requests.

    Parameters
    ==========
    voters : Callable[[], list[str]]
        Names of the instances that may lead.
    """

    def __init__(
        self,
        peers: PeerClient,
        view: Callable[[], MembershipView],
        voters: Callable[[], list[str]],
    ):
        self.peers = peers
        self.view = view
        self.voters = voters
        self.leader = ""
        self.confirmed_at = float("-inf")

    async def find_leader(self) -> str:
        """Return the leader's name, or an empty string.

        Explanation
        ===========
        A leader that was confirmed within the last `LEADER_CACHE_S` seconds is returned without
        asking it again; a lease lasts about as long.
        """
        now = asyncio.get_running_loop().time()
        if self.leader and now < self.confirmed_at + LEADER_CACHE_S:
            return self.leader
        candidates = [self.leader, *self.voters()] if self.leader else self.voters()
        tried: set[str] = set()
        while candidates:
            voter = candidates.pop(0)
            if voter in tried or not voter:
                continue
            tried.add(voter)
            answer = await self.peers.call(voter, FindLeader(), FIND_TIMEOUT_S)
            if isinstance(answer, ControlAnswer):
                if answer.is_leader:
                    self.leader = voter
                    self.confirmed_at = now
                    return voter
                if answer.leader:
                    candidates.insert(0, answer.leader)
        self.leader = ""
        return ""

    async def request(self, message: Any) -> Any | Unreachable:
        """Send a request to the leader, and wait for the end of an election if there is none.

        Returns
        =======
        message or Unreachable
            ``Unreachable`` with an empty instance means that no leader was found and nothing was
            sent; with the leader's name, that the leader's answer was lost.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + LEADER_WAIT_S
        while True:
            answer = await self._request_once(message)
            # Only a request that no leader has got may be sent again here.
            if not isinstance(answer, Unreachable) or answer.instance or loop.time() >= end:
                return answer
            await asyncio.sleep(RETRY_S)

    async def _request_once(self, message: Any) -> Any | Unreachable:
        leader = await self.find_leader()
        if not leader:
            return Unreachable("", "no voter knows a leader")
        answer = await self.peers.call(leader, message, CALL_TIMEOUT_S)
        if isinstance(answer, Unreachable):
            self.leader = ""
            return Unreachable(leader, answer.reason)
        if answer.is_leader:
            return answer
        self.leader = answer.leader
        self.confirmed_at = float("-inf")
        return Unreachable("", "the leader changed")
