"""Decisions on memory that callers make a process hold: who gets it, who waits and who goes."""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Callable

import attrs

# Holdings up to this size may use all of a pool, larger ones only a part, so that ordinary requests
# are granted beside a crowd of large ones.
SMALL_BYTES = 64 << 10
LARGE_FRACTION = 0.75
# A caller on which a holding depends has to move this many bytes in this time, or the holding may
# be ended while memory is short. That is 11 KB/s.
PROGRESS_BYTES = 32 << 10
STALL_S = 3.0
# Average speed below which a large holding may be ended for one that takes less from the others,
# although its caller makes progress, and the time that it has in any case.
SLOW_BYTES_PER_S = 256 << 10
SLOW_S = 5.0
# What a connection has buffered while its holding waits, and the part of a pool's size that all
# that wait may have buffered together.
WAITING_BYTES = 192 << 10
WAITING_FRACTION = 0.25
MIN_WAITING = 16
# Smaller holdings of the same group that may be granted before one that arrived earlier.
MOST_PASSED = 8


class Verdict(enum.Enum):
    """Answer to a holder that asks for memory."""

    GRANTED = "granted"
    WAITS = "waits"
    REFUSED = "refused"


@attrs.define(eq=False)
class Holder:
    """Memory held for one caller.

    Parameters
    ==========
    group : str
        Client account or address that the memory is counted for.
    on_granted : Callable[[], None]
        Called when a holding that waited is granted.
    on_evicted : Callable[[], None]
        Called when the holding has to end.
    on_refused : Callable[[], None]
        Called when a holding that waits won't be granted.
    size, wanted : int
        Bytes held, and bytes that are waited for in addition.
    is_paced : bool
        Whether the caller decides how fast the holding ends: it sends a body or reads an answer.
    moved : int
        Bytes that the caller has sent or read.
    marked, marked_at : int, float
        Value of ``moved`` at a time from which its progress is judged, and that time.
    paced_at : float
        Time since which the caller decides how fast the holding ends.
    passed : int
        Holdings of the group that were granted before this one since it began to wait, although
        they arrived later.
    """

    group: str
    on_granted: Callable[[], None] = lambda: None
    on_evicted: Callable[[], None] = lambda: None
    on_refused: Callable[[], None] = lambda: None
    size: int = 0
    wanted: int = 0
    is_paced: bool = False
    moved: int = 0
    marked: int = 0
    marked_at: float = 0.0
    paced_at: float = 0.0
    passed: int = 0

    def begin_paced(self, now: float) -> None:
        """Count progress from now on."""
        self.is_paced = True
        self.paced_at = now
        self.marked, self.marked_at = self.moved, now

    def is_slow(self, now: float) -> bool:
        """Return whether the caller of a large holding has taken long for its size."""
        is_large = self.is_paced and not self.wanted and self.size > SMALL_BYTES
        return is_large and now - self.paced_at > SLOW_S + self.size / SLOW_BYTES_PER_S


class MemoryPool:
    """Memory for one kind of holding.

    Explanation
    ===========
    A large holding is granted when there is no other large one, so that a single legal request is
    served on any machine, also beside small ones. Holdings that wait are granted in the order of
    what their group holds, then of how many of it wait, then of their arrival; a large one that
    comes next keeps later large ones waiting, so that it gets its turn. In a group, the smaller
    ones come first, up to `MOST_PASSED`. When too many wait, the one whose group takes most gives
    way to a holding of a group that takes less, or to a smaller one of its group.

    Parameters
    ==========
    capacity : int
        Bytes.

    Attributes
    ==========
    held : int
        Bytes of all holdings.
    groups : dict[str, int]
        Bytes held by each group of holders.
    holders, large, waiting : dict[Holder, None]
        Holders that hold something, those that hold more than `SMALL_BYTES`, and those that wait,
        in the order of their arrival.
    most_waiting : int
        Holders that may wait at a time.

    Examples
    ========
    >>> from mulberrygate.core.memory_budget import Holder, MemoryPool
    >>> pool = MemoryPool(4 << 20)
    >>> large, other, small = Holder("a"), Holder("b"), Holder("a")
    >>> pool.ask(large, 3 << 20).value, pool.ask(other, 2 << 20).value, pool.ask(small, 100).value
    ('granted', 'waits', 'granted')
    >>> pool.release(large)
    >>> other.size == 2 << 20
    True
    """

    def __init__(self, capacity: int):
        self.capacity = capacity
        self.held = 0
        self.groups: dict[str, int] = {}
        self.holders: dict[Holder, None] = {}
        self.large: dict[Holder, None] = {}
        self.waiting: dict[Holder, None] = {}
        self.most_waiting = max(MIN_WAITING, int(capacity * WAITING_FRACTION) // WAITING_BYTES)

    def ask(self, holder: Holder, size: int) -> Verdict:
        """Ask for further bytes for a holder."""
        if self._fits(holder, size) and not (size > SMALL_BYTES and self._large_waits()):
            self._grant(holder, size)
            return Verdict.GRANTED
        if len(self.waiting) >= self.most_waiting and not self._make_place(holder, size):
            return Verdict.REFUSED
        holder.wanted = size
        holder.passed = 0
        self.waiting[holder] = None
        return Verdict.WAITS

    def _make_place(self, holder: Holder, size: int) -> bool:
        """Refuse one that waits for the sake of another holder; return whether there was one."""
        demand = dict(self.groups)
        for item in self.waiting:
            demand[item.group] = demand.get(item.group, 0) + item.wanted
        last = max(reversed(self.waiting), key=lambda item: (demand[item.group], item.wanted))
        if last.group == holder.group:
            gives_way = last.wanted > size
        else:
            gives_way = demand[last.group] > demand.get(holder.group, 0) + size
        if gives_way:
            del self.waiting[last]
            last.wanted = 0
            last.on_refused()
        return gives_way

    def _fits(self, holder: Holder, size: int) -> bool:
        is_small = holder.size + size <= SMALL_BYTES
        if not is_small and self.large.keys() <= {holder}:
            return True
        limit = self.capacity if is_small else LARGE_FRACTION * self.capacity
        return self.held + size <= limit

    def _large_waits(self) -> bool:
        return any(holder.wanted > SMALL_BYTES for holder in self.waiting)

    def _grant(self, holder: Holder, size: int) -> None:
        holder.size += size
        holder.wanted = 0
        self.held += size
        self.groups[holder.group] = self.groups.get(holder.group, 0) + size
        self.holders[holder] = None
        if holder.size > SMALL_BYTES:
            self.large[holder] = None

    def shrink(self, holder: Holder, size: int) -> None:
        """Give back all but some bytes of a holding."""
        if size < holder.size:
            self._give_back(holder, holder.size - size)
            self._grant_waiting()

    def stop_waiting(self, holder: Holder) -> None:
        """Wait for no further bytes for a holder; what it holds is kept."""
        holder.wanted = 0
        if holder in self.waiting:
            del self.waiting[holder]
            self._grant_waiting()

    def release(self, holder: Holder) -> None:
        """Give back all of a holding and stop waiting for more."""
        self.waiting.pop(holder, None)
        self.holders.pop(holder, None)
        holder.wanted = 0
        if holder.size:
            self._give_back(holder, holder.size)
        if self.waiting:
            self._grant_waiting()

    def _give_back(self, holder: Holder, size: int) -> None:
        holder.size -= size
        self.held -= size
        if holder.size <= SMALL_BYTES:
            self.large.pop(holder, None)
        left = self.groups[holder.group] - size
        if left:
            self.groups[holder.group] = left
        else:
            del self.groups[holder.group]

    def _grant_waiting(self) -> None:
        """Grant what fits, small holdings first."""
        is_large_blocked = False
        for holder in self._in_order():
            is_small = holder.wanted <= SMALL_BYTES
            if is_large_blocked and not is_small:
                continue
            if self._fits(holder, holder.wanted):
                self._count_passed(holder)
                del self.waiting[holder]
                self._grant(holder, holder.wanted)
                holder.on_granted()
            elif not is_small:
                is_large_blocked = True

    def _in_order(self) -> list[Holder]:
        """Return the holders that wait, the next to be granted first."""
        arrived: dict[str, int] = {}
        counts = Counter(holder.group for holder in self.waiting)
        for number, holder in enumerate(self.waiting):
            arrived.setdefault(holder.group, number)

        def order(holder: Holder) -> tuple:
            group = holder.group
            size = 0 if holder.passed >= MOST_PASSED else holder.wanted
            is_large = holder.wanted > SMALL_BYTES
            return is_large, self.groups.get(group, 0), counts[group], arrived[group], size

        return sorted(self.waiting, key=order)

    def _count_passed(self, granted: Holder) -> None:
        """Count a grant for the holders of its group that arrived before it."""
        for holder in self.waiting:
            if holder is granted:
                return
            if holder.group == granted.group:
                holder.passed += 1

    def pop_waiting(self) -> Holder | None:
        """Return a holder that doesn't wait any longer, the last to be granted; None if none."""
        if not self.waiting:
            return None
        holder = self._in_order()[-1]
        del self.waiting[holder]
        holder.wanted = 0
        return holder

    def list_stalled(self, now: float, is_crowded: bool = False) -> list[Holder]:
        """Return the holders to end so that those that wait can be granted; mark progress.

        Parameters
        ==========
        is_crowded : bool
            Whether all that make no progress have to go, since connections are short.
        """
        stalled = [holder for holder in self.holders if self._update_stalled(holder, now)]
        needed = sum(holder.wanted for holder in self.waiting)
        stalled.sort(key=self._taken, reverse=True)
        found: list[Holder] = []
        for holder in stalled:
            if needed <= 0 and not is_crowded:
                break
            found.append(holder)
            needed -= holder.size
        return found or self._list_slow(now)

    def find_oldest(self) -> Holder | None:
        """Return the holder whose data hasn't moved for longest, first one that has sent none."""
        paced = [holder for holder in self.holders if holder.is_paced and not holder.wanted]
        has_moved = {holder: holder.moved > holder.marked for holder in paced}
        return min(paced, key=lambda holder: (has_moved[holder], holder.marked_at), default=None)

    def _list_slow(self, now: float) -> list[Holder]:
        """Return the slow holders to end for the next that waits, which takes less than they do.

        Explanation
        ===========
        A crowd whose bodies arrive just fast enough would otherwise keep the memory for minutes.
        Equal holdings of one group never end each other.
        """
        if not self.waiting:
            return []
        following = self._in_order()[0]
        taken = self.groups.get(following.group, 0) + following.wanted
        found: list[Holder] = []
        freed = 0
        for holder in sorted(self.holders, key=self._taken, reverse=True):
            if freed >= following.wanted:
                break
            if holder.group == following.group:
                takes_more = holder.size > following.wanted
            else:
                takes_more = self.groups[holder.group] > taken
            if takes_more and holder.is_slow(now):
                found.append(holder)
                freed += holder.size
        return found

    def _taken(self, holder: Holder) -> tuple[int, int]:
        """Return the sort key of a holder that has to go: what its group and it itself hold."""
        return self.groups[holder.group], holder.size

    def _update_stalled(self, holder: Holder, now: float) -> bool:
        """Mark the progress of a holder's caller; return whether it makes none."""
        if not holder.is_paced or not holder.size or holder.wanted:
            return False
        if holder.moved - holder.marked >= PROGRESS_BYTES:
            holder.marked, holder.marked_at = holder.moved, now
        return now - holder.marked_at >= STALL_S


class MemoryBudget:
    """Memory that outsiders can make a process hold, by what they make it hold it for.

    Explanation
    ===========
    Of the memory that is left, the pools of bodies and answers take `COUNTED_FRACTION`. With one
    pool, requests that hold their bodies could all wait for room for their answers; the two never
    lend to each other. Unfinished heads, what is sent ahead, and what waits in transports take
    `CONNECTION_FRACTION` each, bodies that wait `WAITING_FRACTION` of their pool. What then is left
    but for `SPARE_FRACTION` bounds the number of connections. The spare part is for copies and
    fragmentation.

    Parameters
    ==========
    left_bytes : int
        Memory of the machine that the program itself doesn't use.

    Attributes
    ==========
    connection_bytes : int
        Bound on unfinished heads, on what is sent ahead, and on what waits in transports, each of
        all connections together.
    most_connections : int
        Connections that may be open at a time.
    is_enough : bool
        Whether the memory suffices for the smallest budget.

    Examples
    ========
    >>> from mulberrygate.core.memory_budget import MemoryBudget
    >>> budget = MemoryBudget(240 << 20)
    >>> budget.most_connections, budget.worst_bytes <= 240 << 20
    (691, True)
    """

    COUNTED_FRACTION = 0.5
    CONNECTION_FRACTION = 0.05
    SPARE_FRACTION = 0.04
    # A connection with a request in work and its connection to an endpoint, with the part of an
    # answer that is buffered while it waits for memory.
    CONNECTION_BYTES = 88 << 10
    MIN_CONNECTIONS = 32
    MIN_BYTES = 16 << 20

    def __init__(self, left_bytes: int):
        usable_bytes = max(left_bytes, self.MIN_BYTES)
        pool_bytes = int(usable_bytes * self.COUNTED_FRACTION) // 2
        self.left_bytes = left_bytes
        self.bodies = MemoryPool(pool_bytes)
        self.answers = MemoryPool(pool_bytes)
        self.connection_bytes = int(usable_bytes * self.CONNECTION_FRACTION)
        spare_bytes = int(left_bytes * self.SPARE_FRACTION)
        open_bytes = left_bytes - spare_bytes - self.worst_bytes_of(0)
        self.most_connections = max(self.MIN_CONNECTIONS, open_bytes // self.CONNECTION_BYTES)
        self.is_enough = self.worst_bytes <= left_bytes

    @property
    def worst_bytes(self) -> int:
        """Memory that the most connections can make the process hold, in bytes."""
        return self.worst_bytes_of(self.most_connections)

    def worst_bytes_of(self, connections: int) -> int:
        """Return the memory that a number of connections can make the process hold, in bytes."""
        pools = self.bodies.capacity + self.answers.capacity
        waiting = self.bodies.most_waiting * WAITING_BYTES
        return pools + waiting + 3 * self.connection_bytes + connections * self.CONNECTION_BYTES
