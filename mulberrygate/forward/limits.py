"""Limits of client accounts at an entry."""

from __future__ import annotations

from collections.abc import Callable

from mulberrygate.catalog import CatalogIndex, ClientAccount
from mulberrygate.forward import codes
from mulberrygate.forward.request import Refused
from mulberrygate.quota import AccountBuckets
from mulberrygate.sync.messages import AskRates, Rates

NO_SHARE_RETRY_S = 0.6


class AccountLimits:
    """Spend the shares of client accounts' limits that the control group leases.

    Parameters
    ==========
    clock : Callable[[], float]
        Seconds on a clock that counts suspended time.
    """

    def __init__(self, clock: Callable[[], float]):
        self.clock = clock
        self.buckets = AccountBuckets()
        self.index: CatalogIndex | None = None

    def set_index(self, index: CatalogIndex) -> None:
        """Take the limits of a catalog."""
        self.index = index
        now = self.clock()
        for name, bucket in self.buckets.buckets.items():
            account = index.accounts.get(name)
            if account is not None and 0 < account.rate < bucket.rate:
                # A lower limit binds before the leader's next answer.
                self.buckets.grant(
                    name, account.rate, account.rate, account.burst, bucket.valid_until, now
                )

    def take(self, account: ClientAccount, units: float) -> Refused | None:
        """Spend units of an account; return why that is refused."""
        now = self.clock()
        if self.buckets.take(account.name, units, now):
            return None
        if not self.buckets.is_valid(account.name, now):
            return Refused(codes.NO_SHARE, account.name, NO_SHARE_RETRY_S)
        retry_after_s = self.buckets.retry_after_s(account.name, now)
        return Refused(codes.OVER_LIMIT, account.name, retry_after_s)

    def give_back(self, account: str, units: float) -> None:
        """Return the units of a request that did not run."""
        if units:
            self.buckets.give_back(account, units)

    def question(self, instance: str, incarnation: int) -> AskRates:
        """Return the question to the leader."""
        now = self.clock()
        return AskRates(instance, incarnation, self.buckets.demand(now), self.buckets.held(now))

    def take_rates(self, rates: Rates, asked_at: float) -> None:
        """Take the leader's answer; the lease counts from before the question was sent."""
        if self.index is None:
            return
        now = self.clock()
        for name, rate in rates.rates.items():
            account = self.index.accounts.get(name)
            if account is not None and account.rate > 0:
                until = asked_at + rates.valid_s
                self.buckets.grant(name, rate, account.rate, account.burst, until, now)
