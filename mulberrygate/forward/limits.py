"""Rate limits of client accounts, as one entry enforces them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from mulberrygate.catalog import ClientAccount
from mulberrygate.forward import codes
from mulberrygate.forward.request import Refused
from mulberrygate.quota import LocalUnits
from mulberrygate.sync.messages import AskUnits, Units

ASK_TIMEOUT_S = 0.3
# After a call without an answer the leader is not asked for this time, so that requests don't wait
# for it.
AVOID_LEADER_S = 0.5
NO_SHARE_RETRY_S = 0.6
MAX_SHAPING_S = 0.6
# Fraction of a limit's slack that all entries together may hold in advance.
ADVANCE_FRACTION = 0.4


class AccountLimits:
    """Rate limiter that spends units granted by the leader of the control group.

    Parameters
    ==========
    peers : SitePeers
        Transport to the leader.
    find_leader : Callable[[], str]
        Returns the leader's instance, empty if it is not known.
    slack : float
        Units by which an account may exceed its limit in a window.
    clock : Callable[[], float]
        Returns seconds on a clock that also counts suspended time.

    Attributes
    ==========
    entries : int
        Number of entries that share the limits.
    avoid_until : float
        Time until which the leader is not asked.
    """

    def __init__(
        self,
        instance: str,
        peers,
        find_leader: Callable[[], str],
        slack: float,
        clock: Callable[[], float],
    ):
        self.instance = instance
        self.peers = peers
        self.find_leader = find_leader
        self.clock = clock
        self.units = LocalUnits()
        self.slack = slack
        self.entries = 1
        self.avoid_until = float("-inf")

    @property
    def max_units(self) -> float:
        """Units of one account that this entry may hold in advance."""
        return self.slack * ADVANCE_FRACTION / max(self.entries, 1)

    async def spend(
        self, account: ClientAccount, units: float, max_wait_s: float = 0.0
    ) -> Refused | None:
        """Spend units of an account; return the refusal if it has too few.

        Explanation
        ===========
        After a restart, all callers of an account arrive at once. A request that would be within
        the limit a moment later is delayed instead of refused.

        Parameters
        ==========
        max_wait_s : float
            Seconds for which the request may wait for units, at most `MAX_SHAPING_S`.
        """
        end = self.clock() + min(max_wait_s, MAX_SHAPING_S)
        while True:
            refused = await self._spend_now(account, units)
            if refused is None or refused.code is not codes.OVER_LIMIT:
                return refused
            if self.clock() + refused.retry_after_s > end:
                return refused
            await asyncio.sleep(refused.retry_after_s)

    async def _spend_now(self, account: ClientAccount, units: float) -> Refused | None:
        now = self.clock()
        if self.units.spend(account.name, units, now):
            return None
        leader = self.find_leader()
        if not leader or now < self.avoid_until:
            return self._spend_without_leader(account, units)
        return await self._ask(leader, account, units)

    async def _ask(self, leader: str, account: ClientAccount, units: float) -> Refused | None:
        """Ask the leader for the units of a request; without an answer use the local share."""
        question = AskUnits(self.instance, account.name, units, self.max_units)
        answer = await self.peers.client.call(leader, question, ASK_TIMEOUT_S)
        now = self.clock()
        if not isinstance(answer, Units) or not answer.is_leader:
            if not isinstance(answer, Units):
                self.avoid_until = now + AVOID_LEADER_S
            return self._spend_without_leader(account, units)
        if answer.units < units:
            return Refused(codes.OVER_LIMIT, account.name, answer.wait_s)
        extra = answer.units - units
        self.units.add_grant(account.name, extra, answer.share, self.max_units, now)
        return None

    def _spend_without_leader(self, account: ClientAccount, units: float) -> Refused | None:
        if self.units.spend_without_leader(account.name, units, account.rate, self.clock()):
            return None
        return Refused(codes.NO_SHARE, account.name, NO_SHARE_RETRY_S)

    def refund(self, account: str, units: float) -> None:
        """Return the units of a request that did not run."""
        if units:
            self.units.refund(account, units, self.max_units, self.clock())
