"""Waiting requests of a pool: strict tiers, weighted fair sharing among client accounts."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterator

from mulberrygate.schedule.messages import Ticket
from mulberrygate.tables.model import TIERS

# Seconds by which each expected output token puts a request behind others of its account. Under
# overload some requests have to miss their deadline, and short ones cost less to serve.
LENGTH_PENALTY_S = 0.06
# Part of the time to the first token that a request may wait; the rest is for the endpoint.
QUEUE_TIME_SHARE = 0.6
# Added to the sort key of late requests, which puts them behind all others; exceeds any deadline.
LATE_KEY_OFFSET_S = 100_000.0


class WaitingRequest:
    """Request that waits for a grant.

    Parameters
    ==========
    cost : float
        Estimated tokens, the unit of fair sharing.
    deadline : float
        Monotonic seconds after which the answer is of no use.
    sequence : int
        Number of the ask in the scheduler's sequence of asks and grants.
    output : float
        Expected output tokens.
    first_by : float
        Monotonic seconds until which the first token is on time.
    on_time_until : float
        Latest time of a grant at which the first token can be on time; then the request becomes
        late.
    start_by : float
        Monotonic seconds after which the caller doesn't wait for the first token any more.
    """

    __slots__ = (
        "ticket",
        "cost",
        "deadline",
        "sequence",
        "asked_at",
        "output",
        "unusable_endpoints",
        "is_removed",
        "cached",
        "cached_at",
        "overtaken_count",
        "first_by",
        "on_time_until",
        "start_by",
        "key",
        "is_late",
        "late_since",
        "skipped_in_dispatch",
    )

    def __init__(
        self, ticket: Ticket, cost: float, deadline: float, sequence: int, now: float, output: float
    ):
        self.ticket = ticket
        self.cost = cost
        self.deadline = deadline
        self.sequence = sequence
        self.asked_at = now
        self.output = output
        # Number of the last grant to a lower tier, by endpoint at which this request couldn't run.
        self.unusable_endpoints: dict[str, int] | None = None
        self.is_removed = False
        # Prompt tokens that are probably cached, by endpoint, as of `cached_at`.
        self.cached: dict[str, int] = {}
        self.cached_at = -math.inf
        self.overtaken_count = 0
        self.first_by = now + ticket.first_by_s
        self.on_time_until = now + QUEUE_TIME_SHARE * ticket.first_by_s
        self.start_by = now + ticket.start_by_s
        # Sort key in the account's heap; a heap entry with another key is stale.
        self.key = 0.0
        self.is_late = False
        # Number of the first grant after it became late.
        self.late_since = math.inf
        # Number of the last dispatch that skipped the request.
        self.skipped_in_dispatch = -1

    def __lt__(self, other: WaitingRequest) -> bool:
        return self.sequence < other.sequence


def is_current(entry: tuple[float, int, WaitingRequest]) -> bool:
    """Return whether a heap entry is valid: its request waits and has this key."""
    return not entry[2].is_removed and entry[0] == entry[2].key


class AccountQueue:
    """Requests of one client account in one tier, earliest deadline first.

    Parameters
    ==========
    virtual_time : float
        Virtual time: tokens served so far, divided by the account's weight.
    """

    __slots__ = ("name", "weight", "virtual_time", "heap_virtual_time", "heap", "count")

    def __init__(self, name: str):
        self.name = name
        self.weight = 1.0
        self.virtual_time = 0.0
        # Virtual time of the valid entry in the tier's heap; negative if there is none.
        self.heap_virtual_time = -1.0
        self.heap: list[tuple[float, int, WaitingRequest]] = []
        self.count = 0

    def first(self) -> WaitingRequest | None:
        """Return the next request, or None when none waits."""
        while self.heap and not is_current(self.heap[0]):
            heapq.heappop(self.heap)
        return self.heap[0][2] if self.heap else None

    def in_order(self, limit: int) -> list[WaitingRequest]:
        """Return up to ``limit`` requests in the order in which they are due."""
        first = self.first()
        if limit == 1 or first is None:
            return [first] if first else []
        if limit >= self.count:
            return [entry[2] for entry in sorted(filter(is_current, self.heap))]
        heap, size, found = self.heap, len(self.heap), []
        frontier = [(heap[0], 0)]
        while frontier and len(found) < limit:
            entry, index = heapq.heappop(frontier)
            if is_current(entry):
                found.append(entry[2])
            for child in (2 * index + 1, 2 * index + 2):
                if child < size:
                    heapq.heappush(frontier, (heap[child], child))
        return found


class TierQueue:
    """Requests of one tier, shared fairly by tokens among client accounts.

    Explanation
    ===========
    Start-time fair queueing. The account with the least virtual time is next. An account that
    becomes active starts at the tier's virtual time, so idle time earns no credit.
    """

    # Idle accounts are forgotten beyond this number; their virtual time is then the tier's.
    MAX_IDLE_ACCOUNTS = 4096

    def __init__(
        self, length_penalty_s: float = LENGTH_PENALTY_S, max_length_penalty_s: float = math.inf
    ):
        self.length_penalty_s = length_penalty_s
        self.max_length_penalty_s = max_length_penalty_s
        self.accounts: dict[str, AccountQueue] = {}
        self.active: dict[str, AccountQueue] = {}
        self.account_heap: list[tuple[float, str, AccountQueue]] = []
        self.virtual_time = 0.0
        self.count = 0
        # Number of waiting requests that can't be on time any more.
        self.late = 0
        # Number of waiting requests by route.
        self.routes: dict[str, int] = {}

    def add(self, waiting: WaitingRequest) -> None:
        """Add a request."""
        ticket = waiting.ticket
        account = self.accounts.get(ticket.account)
        if account is None:
            account = self.accounts[ticket.account] = AccountQueue(ticket.account)
        account.weight = max(ticket.weight, 1e-3)
        if not account.count:
            account.virtual_time = max(account.virtual_time, self.virtual_time)
            self.active[account.name] = account
            self._push_account(account)
        waiting.key = self.sort_key(waiting)
        heapq.heappush(account.heap, (waiting.key, waiting.sequence, waiting))
        account.count += 1
        self.count += 1
        self.routes[ticket.route] = self.routes.get(ticket.route, 0) + 1

    def sort_key(self, waiting: WaitingRequest) -> float:
        """Return the time that orders an account's requests: the deadline, later for long ones."""
        penalty_s = min(self.max_length_penalty_s, self.length_penalty_s * waiting.output)
        return waiting.deadline + penalty_s

    def demote(self, waiting: WaitingRequest) -> None:
        """Move a request that can't be on time any more behind the others of its account."""
        account = self.accounts[waiting.ticket.account]
        self.late += 1
        waiting.is_late = True
        waiting.key += LATE_KEY_OFFSET_S
        heapq.heappush(account.heap, (waiting.key, waiting.sequence, waiting))

    def remove(self, waiting: WaitingRequest) -> None:
        """Remove a request that was granted, shed or withdrawn."""
        waiting.is_removed = True
        account = self.accounts[waiting.ticket.account]
        account.count -= 1
        self.count -= 1
        self.late -= waiting.is_late
        route = waiting.ticket.route
        self.routes[route] -= 1
        if not self.routes[route]:
            del self.routes[route]
        if not account.count:
            account.heap.clear()
            del self.active[account.name]
            self._forget_idle()
        elif len(account.heap) > 2 * account.count + 16:
            account.heap = [entry for entry in account.heap if is_current(entry)]
            heapq.heapify(account.heap)

    def _forget_idle(self) -> None:
        if len(self.accounts) - len(self.active) > self.MAX_IDLE_ACCOUNTS:
            self.accounts = {
                name: account
                for name, account in self.accounts.items()
                if account.count or account.virtual_time > self.virtual_time
            }

    def _push_account(self, account: AccountQueue) -> None:
        """Push an account at its virtual time; its earlier heap entry becomes invalid."""
        if account.heap_virtual_time != account.virtual_time:
            account.heap_virtual_time = account.virtual_time
            heapq.heappush(self.account_heap, (account.virtual_time, account.name, account))

    def _least_served(self) -> AccountQueue | None:
        """Return the least served account with waiting requests, and drop invalid entries."""
        heap = self.account_heap
        while heap:
            virtual_time, _, account = heap[0]
            if account.heap_virtual_time == virtual_time and account.count:
                return account
            heapq.heappop(heap)
            if account.heap_virtual_time == virtual_time:
                account.heap_virtual_time = -1.0
        return None

    def accounts_in_order(self) -> Iterator[AccountQueue]:
        """Yield the accounts with waiting requests, least served first."""
        passed = []
        try:
            while (account := self._least_served()) is not None:
                passed.append(heapq.heappop(self.account_heap))
                yield account
        finally:
            for entry in passed:
                heapq.heappush(self.account_heap, entry)

    def charge(self, account_name: str, tokens: float) -> None:
        """Charge an account for a grant; negative tokens undo a charge."""
        account = self.accounts.get(account_name)
        if account is None:
            return
        if account.count:
            least = self._least_served()
            if tokens > 0 and least is not None:
                self.virtual_time = max(self.virtual_time, least.virtual_time)
        account.virtual_time = max(0.0, account.virtual_time + tokens / account.weight)
        if account.count:
            self._push_account(account)

    def all(self) -> Iterator[WaitingRequest]:
        """Yield all waiting requests, in no particular order."""
        for account in self.active.values():
            for entry in account.heap:
                if is_current(entry):
                    yield entry[2]

    def shed_candidate(self) -> WaitingRequest:
        """Return a request to shed, of the account with most waiting requests for its weight.

        Explanation
        ===========
        The end of a heap holds requests with large sort keys, though not always the largest.
        Comparing a few of them is enough and keeps shedding cheap while the queue is full.
        """
        account = max(self.active.values(), key=lambda item: (item.count / item.weight, item.name))
        for size in (16, len(account.heap)):
            live = [entry for entry in account.heap[-size:] if is_current(entry)]
            if live:
                break
        return max(live)[2]


class FairQueue:
    """All waiting requests of a pool.

    Parameters
    ==========
    length_penalty_s : float
        Seconds by which each expected output token puts a request behind others of its account.
    tiers : int
        Number of tiers.
    max_length_penalty_s : float
        Most seconds by which its expected length puts a request behind others.
    """

    def __init__(
        self,
        length_penalty_s: float = LENGTH_PENALTY_S,
        tiers: int = TIERS,
        max_length_penalty_s: float = math.inf,
    ):
        self.tiers = tuple(TierQueue(length_penalty_s, max_length_penalty_s) for _ in range(tiers))
        self.by_request: dict[str, WaitingRequest] = {}
        # Heap of the requests by the latest time of a grant at which they can be on time.
        self.on_time: list[tuple[float, int, WaitingRequest]] = []

    def __len__(self) -> int:
        return len(self.by_request)

    def add(self, waiting: WaitingRequest) -> None:
        """Add a request."""
        self.by_request[waiting.ticket.request] = waiting
        self.tiers[waiting.ticket.tier].add(waiting)
        if waiting.on_time_until < math.inf:
            heapq.heappush(self.on_time, (waiting.on_time_until, waiting.sequence, waiting))

    def demote_late(self, now: float, sequence: int) -> list[WaitingRequest]:
        """Move requests that can't be on time any more behind those that can.

        Explanation
        ===========
        In order of arrival, a backlog makes all requests late by the same time. In this order,
        requests that arrive during an overload are still answered on time while late ones wait.

        Parameters
        ==========
        sequence : int
            Number of the next grant.

        Returns
        =======
        list[WaitingRequest]
            Requests that were moved.
        """
        late = []
        while self.on_time and self.on_time[0][0] <= now:
            waiting = heapq.heappop(self.on_time)[2]
            if not waiting.is_removed:
                self.tiers[waiting.ticket.tier].demote(waiting)
                waiting.late_since = sequence
                late.append(waiting)
        return late

    def remove(self, waiting: WaitingRequest) -> None:
        """Remove a request."""
        del self.by_request[waiting.ticket.request]
        self.tiers[waiting.ticket.tier].remove(waiting)

    def charge(self, ticket: Ticket, tokens: float) -> None:
        """Charge the ticket's account in its tier."""
        self.tiers[ticket.tier].charge(ticket.account, tokens)

    def lowest_tier(self) -> int:
        """Return the least urgent tier with a waiting request; -1 when none waits."""
        for tier in range(len(self.tiers) - 1, -1, -1):
            if self.tiers[tier].count:
                return tier
        return -1

    def of_entry(self, instance: str) -> list[WaitingRequest]:
        """Return the requests that wait at one entry instance."""
        return [item for item in self.by_request.values() if item.ticket.entry == instance]
