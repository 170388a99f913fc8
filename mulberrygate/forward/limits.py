"""Rate limits of client accounts, as one entry enforces them."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from mulberrygate.catalog import ClientAccount
from mulberrygate.forward import codes
from mulberrygate.forward.request import Refused
from mulberrygate.quota import GrantHistory, LocalUnits
from mulberrygate.quota.local import LeaderlessTime, UnitsReceipt
from mulberrygate.sync.messages import AskUnits, ReturnUnits, Units

ASK_TIMEOUT_S = 0.3
# After a call without an answer a leader is asked by one request in this time, so that the others
# don't wait for it.
AVOID_LEADER_S = 0.5
# After a call without an answer a deputy is not asked for this time.
AVOID_DEPUTY_S = 2.0
NO_SHARE_RETRY_S = 0.6
MAX_SHAPING_S = 0.6
# Fraction of a limit's slack that all entries together may hold in advance.
ADVANCE_FRACTION = 0.4


class AccountLimits:
    """Rate limiter that spends units granted by the leader of the control group.

    Explanation
    ===========
    While the leader doesn't answer, a deputy among the entries grants units. If that doesn't answer
    either, the entry spends its former share of the limit.

    Parameters
    ==========
    peers : SitePeers
        Transport to the leader.
    find_leader : Callable[[], str]
        Returns the leader's instance, empty if it is not known.
    find_deputies : Callable[[], tuple[str, ...]]
        Returns the entries to ask in turn while the leader doesn't answer.
    slack : float
        Units by which an account may exceed its limit in a window.
    clock : Callable[[], float]
        Returns seconds on a clock that also counts suspended time.

    Attributes
    ==========
    entries : int
        Number of entries that share the limits.
    unreachable_leader : str
        Leader that did not answer the last call, empty if it did.
    avoided_until : dict[str, float]
        Time until which an instance that did not answer is not asked.
    history : GrantHistory
        What leaders have granted to this entry.
    epoch : int
        Epoch of the leader that granted units last.
    """

    def __init__(
        self,
        instance: str,
        peers,
        find_leader: Callable[[], str],
        slack: float,
        clock: Callable[[], float],
        find_deputies: Callable[[], tuple[str, ...]] = tuple,
    ):
        self.instance = instance
        self.peers = peers
        self.find_leader = find_leader
        self.find_deputies = find_deputies
        self.clock = clock
        self.units = LocalUnits()
        self.slack = slack
        self.entries = 1
        self.unreachable_leader = ""
        self.avoided_until: dict[str, float] = {}
        self.leaderless = LeaderlessTime()
        self.history = GrantHistory()
        self.epoch = 0

    @property
    def max_units(self) -> float:
        """Units of one account that this entry may hold in advance."""
        return self.slack * ADVANCE_FRACTION / max(self.entries, 1)

    async def spend(
        self,
        account: ClientAccount,
        units: float,
        max_wait_s: float = 0.0,
        spent: UnitsReceipt | None = None,
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
        spent : UnitsReceipt or None
            Filled with what was spent and who granted it, for `refund`.
        """
        spent = spent if spent is not None else UnitsReceipt()
        end = self.clock() + min(max_wait_s, MAX_SHAPING_S)
        while True:
            refused = await self._spend_now(account, units, spent)
            if refused is None:
                spent.units = units
                return None
            if self.clock() + refused.retry_after_s > end:
                return refused
            await asyncio.sleep(refused.retry_after_s)

    async def _spend_now(
        self, account: ClientAccount, units: float, spent: UnitsReceipt
    ) -> Refused | None:
        now = self.clock()
        spent.epoch = 0
        if self.units.spend(account.name, units, now):
            return None
        leader = self.find_leader()
        if leader and not self._is_avoided(leader):
            answer = await self._ask_leader(leader, account, units)
            if answer is not None:
                spent.epoch = answer.epoch
                return self._spend_granted(answer, account, units)
        return await self._spend_without_leader(account, units)

    def _is_avoided(self, instance: str) -> bool:
        return self.clock() < self.avoided_until.get(instance, -math.inf)

    async def _ask_leader(self, leader: str, account: ClientAccount, units: float) -> Units | None:
        """Ask the leader for units; return its answer, or ``None`` if it does not lead or answer.

        Explanation
        ===========
        A leader that did not answer the last call is avoided before the next one, so that only one
        request waits for it.
        """
        if leader == self.unreachable_leader:
            self.avoided_until[leader] = self.clock() + AVOID_LEADER_S
        advance = self._useful_advance(account.name, units)
        question = AskUnits(self.instance, account.name, units, advance)
        answer = await self.peers.client.call(leader, question, ASK_TIMEOUT_S)
        if not isinstance(answer, Units):
            self.unreachable_leader = leader
            self.avoided_until[leader] = self.clock() + AVOID_LEADER_S
            return None
        self.unreachable_leader = ""
        self.avoided_until.pop(leader, None)
        if not answer.is_leader:
            return None
        self.leaderless.record_answer(self.clock())
        return answer

    def _useful_advance(self, account: str, units: float) -> float:
        """Return the units to ask for in advance of requests like one that needs some units.

        Explanation
        ===========
        Units that are too few for a request, or exceed what may be held, would expire unused and be
        lost to the account. With many entries that is the usual case.
        """
        if units > self.max_units:
            return 0.0
        return max(0.0, self.max_units - self.units.available(account, self.clock()))

    def _spend_granted(self, answer: Units, account: ClientAccount, units: float) -> Refused | None:
        """Spend what the leader granted, and keep the units granted in advance."""
        self.epoch = answer.epoch
        if answer.units:
            self.history.add(account.name, answer.units, answer.epoch, self.clock())
        if answer.units < units:
            return Refused(codes.OVER_LIMIT, account.name, answer.wait_s)
        extra = answer.units - units
        self.units.add_grant(account.name, extra, answer.share, self.max_units, self.clock())
        return None

    async def _spend_without_leader(self, account: ClientAccount, units: float) -> Refused | None:
        """Spend units that a deputy grants, or of the local share if no deputy answers."""
        leaderless_s = self.leaderless.record_failure(self.clock())
        for deputy in self.find_deputies():
            if self._is_avoided(deputy):
                continue
            question = AskUnits(self.instance, account.name, units, 0.0, leaderless_s)
            answer = await self.peers.client.call(deputy, question, ASK_TIMEOUT_S)
            if not isinstance(answer, Units) or not answer.is_leader:
                self.avoided_until[deputy] = self.clock() + AVOID_DEPUTY_S
            elif answer.units >= units:
                return None
            else:
                return Refused(codes.NO_SHARE, account.name, answer.wait_s)
        if self.units.spend_without_leader(account.name, units, account.rate, self.clock()):
            return None
        return Refused(codes.NO_SHARE, account.name, NO_SHARE_RETRY_S)

    def refund(self, account: str, spent: UnitsReceipt) -> None:
        """Return the units of a request that did not run.

        Explanation
        ===========
        Units of the present leader go back to it, so that any entry can spend them; in an overload
        the refused requests of an account would otherwise use up its limit. Others are kept here.
        """
        if not spent.units:
            return
        leader = self.find_leader()
        if leader and spent.epoch and spent.epoch == self.epoch:
            self.peers.client.send(leader, ReturnUnits(account, spent.units, spent.epoch))
            self.history.add(account, -spent.units, spent.epoch, self.clock())
        else:
            self.units.refund(account, spent.units, self.max_units, self.clock())
