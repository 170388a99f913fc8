"""Rate limits of client accounts, enforced by the leader of the control group."""

from __future__ import annotations

import math
from collections.abc import Container

import attrs

from mulberrygate.quota.limit import Limit
from mulberrygate.quota.takeover import Takeover, initial_level

# Maximum fraction of the remaining units that one entry gets in advance.
ADVANCE_FRACTION = 0.1
# Time constant of the exponential decay of each entry's usage.
USAGE_DECAY_S = 8.0
# Bounds of the wait that is returned when an account has no units left.
MIN_WAIT_S = 0.2
MAX_WAIT_S = 5.0


@attrs.frozen
class GrantedUnits:
    """Result of one request for units.

    Parameters
    ==========
    units : float
        Units that the entry may spend.
    wait_s : float
        Seconds until units are expected for the request, behind those that were told a time before;
        0 if it got some.
    share : float
        The entry's share of the account's recent usage over all entries.
    """

    units: float
    wait_s: float
    share: float


@attrs.define
class AccountBucket:
    """Token bucket of one account, and the decaying usage of each entry.

    Parameters
    ==========
    restored : float
        Level that the bucket had at the change of leader, as far as entries have reported.
    reports : int
        Number of reports that ``restored`` takes into account.
    expected : float
        Units of requests that got none and are expected back, less the units since then.
    """

    limit: Limit
    level: float
    updated_at: float
    restored: float = 0.0
    reports: int = 0
    expected: float = 0.0
    usage: dict[str, float] = attrs.field(factory=dict)
    usage_updated_at: float = 0.0


class CentralLimits:
    """Grants units of client accounts to entries within the limits of the accounts.

    Explanation
    ===========
    Each account has a token bucket. While its level is above 0, a request is granted in full and
    may make the level negative, since one request may need more than the burst.

    Parameters
    ==========
    epoch : int
        Identifier of this leadership. Units of an earlier one can't be returned.

    Examples
    ========
    >>> from mulberrygate.quota import CentralLimits, Limit
    >>> limits = CentralLimits()
    >>> limits.set_limits({"salons": Limit(rate=100.0, burst=200.0)}, now=0.0)
    >>> limits.grant("entry-1", "salons", need=150.0, advance=0.0, now=0.0).units
    150.0
    >>> limits.grant("entry-2", "salons", need=10.0, advance=0.0, now=0.0)
    GrantedUnits(units=0.0, wait_s=1.0, share=0.0)
    """

    def __init__(self, epoch: int = 0):
        self.epoch = epoch
        self.accounts: dict[str, AccountBucket] = {}
        self.takeover: Takeover | None = None
        # Number of reports of earlier grants, and of live entries at the last one.
        self.reports = 0
        self.live_entries = 0

    def set_limits(self, limits: dict[str, Limit], now: float) -> None:
        """Replace the limits; the level of each account is kept, up to the new burst."""
        if self.takeover is None:
            self.takeover = Takeover(self.epoch, now)
        self.remove_others(limits)
        for name, limit in limits.items():
            self.set_limit(name, limit, now)

    def remove_others(self, names: Container[str]) -> None:
        """Remove all accounts except the named ones."""
        for name in [name for name in self.accounts if name not in names]:
            del self.accounts[name]

    def set_limit(self, name: str, limit: Limit, now: float, fills_increase: bool = False) -> None:
        """Set the limit of an account.

        Parameters
        ==========
        fills_increase : bool
            Whether a higher limit adds to the level what a new bucket of it would hold more.
        """
        account = self.accounts.get(name)
        if account is None:
            level = initial_level(limit)
            self.accounts[name] = AccountBucket(limit, level, now, level, self.reports)
            return
        self._refill(account, now)
        added = initial_level(limit) - initial_level(account.limit) if fills_increase else 0.0
        account.limit = limit
        account.level = min(account.level + max(0.0, added), limit.burst)

    def record_spent(
        self,
        entry: str,
        spent: dict[str, list[tuple[float, float, int]]],
        up_s: float,
        entries: int,
        now: float,
    ) -> None:
        """Take over what an entry was granted by earlier leaders; see `Takeover.record`.

        Explanation
        ===========
        The level of an account is restored at its next grant. After a change of leader all entries
        report within a second; computing all levels at each report would stop the leader.

        Parameters
        ==========
        entries : int
            Number of live entries.
        """
        if self.takeover is not None and self.takeover.record(entry, spent, up_s, now):
            self.reports += 1
            self.live_entries = entries

    def _restore(self, name: str, account: AccountBucket) -> None:
        """Correct the level of an account by the reports since its last grant."""
        if self.takeover is None or account.reports == self.reports:
            return
        account.reports = self.reports
        restored = self.takeover.restored_level(name, account.limit, self.live_entries)
        account.level = min(account.limit.burst, account.level + restored - account.restored)
        account.restored = restored

    def put_back(self, name: str, units: float, now: float) -> None:
        """Take back granted units of a request that did not run."""
        account = self.accounts.get(name)
        if account is not None:
            self._refill(account, now)
            account.level = min(account.limit.burst, account.level + units)

    def grant(self, entry: str, name: str, need: float, advance: float, now: float) -> GrantedUnits:
        """Grant units for waiting requests of an entry, and some in advance.

        Parameters
        ==========
        need : float
            Units of requests that wait at the entry.
        advance : float
            Units that the entry asks for in advance of further requests.
        """
        account = self.accounts.get(name)
        if account is None:
            return GrantedUnits(0.0, MAX_WAIT_S, 0.0)
        self._refill(account, now)
        self._restore(name, account)
        self._decay(account, now)
        units = 0.0
        if account.level > 0:
            units = need
            account.level -= need
            extra = max(0.0, min(advance, account.level * ADVANCE_FRACTION))
            units += extra
            account.level -= extra
        account.usage[entry] = account.usage.get(entry, 0.0) + units
        total = sum(account.usage.values())
        share = account.usage[entry] / total if total > 0 else 0.0
        return GrantedUnits(units, 0.0 if units else self._add_expected(account, need), share)

    def _add_expected(self, account: AccountBucket, need: float) -> float:
        """Return the seconds until there are units for a request that got none.

        Explanation
        ===========
        The load that this answers: an account several times over its limit. If each of its requests
        were told the time until the first units, all would come back then and most would get none
        again. So a request is told to come after those that came before it, and one that comes too
        late for that is refused at once with a time at which there is room.
        """
        if account.limit.rate <= 0:
            return MAX_WAIT_S
        wait_s = (account.expected - account.level) / account.limit.rate
        if wait_s < MAX_WAIT_S:
            account.expected += need
        return min(MAX_WAIT_S, max(MIN_WAIT_S, wait_s))

    def _refill(self, account: AccountBucket, now: float) -> None:
        units = account.limit.rate * max(0.0, now - account.updated_at)
        account.level = min(account.limit.burst, account.level + units)
        account.expected = max(0.0, account.expected - units)
        account.updated_at = now

    def _decay(self, account: AccountBucket, now: float) -> None:
        keep = math.exp(-max(0.0, now - account.usage_updated_at) / USAGE_DECAY_S)
        account.usage = {
            name: units * keep for name, units in account.usage.items() if units > 0.01
        }
        account.usage_updated_at = now
