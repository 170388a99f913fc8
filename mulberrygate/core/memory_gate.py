"""Waiting for memory of the budget, and ending the holdings that have to go."""

from __future__ import annotations

import asyncio
import math
import os
from typing import Any

from mulberrygate.core.memory_budget import SMALL_BYTES, Holder, MemoryBudget, MemoryPool, Verdict

# Longest wait of a request body; other instances may have room.
BODY_WAIT_S = 5.0
SWEEP_INTERVAL_S = 0.5
LOG_INTERVAL_S = 1.0
# Memory of a machine whose settings don't say it.
DEFAULT_MEMORY_BYTES = 512 << 20
# Data without a length takes memory in steps that grow by this factor.
GROWTH = 4
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class BodyError(Exception):
    """A body was not read in full."""


class BodyTooLarge(BodyError):
    """A body is over its limit."""


class BodySlow(BodyError):
    """A body stopped arriving, or arrived too slowly while memory was short."""


class MemoryShort(BodyError):
    """There was no memory for a body in time."""


def resident_bytes() -> int:
    """Return the resident memory of this process, 0 if the system doesn't say it."""
    try:
        with open("/proc/self/statm", "rb") as file:
            return int(file.read().split()[1]) * PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0


class MemoryGate:
    """Memory budget of a process, as its coroutines use it.

    Parameters
    ==========
    memory_bytes : int
        Memory of the machine.
    lines : JsonLines or None
        Log for what was refused or closed, at most one line a second.
    metrics : Metrics or None
        Metrics of the process.

    Attributes
    ==========
    counts : dict[str, int]
        What was refused, closed or paused so far, by kind.
    logged : dict[str, int]
        Value of ``counts`` at the last log line.
    is_crowded : bool
        Whether connections have been short since the last sweep, or the process stops. The sweep
        then ends all holdings that make no progress.
    """

    def __init__(self, memory_bytes: int, lines: Any = None, metrics: Any = None):
        self.budget = MemoryBudget(memory_bytes - resident_bytes())
        self.lines = lines
        self.metrics = metrics
        self.counts: dict[str, int] = {}
        self.logged: dict[str, int] = {}
        self.logged_at = 0.0
        self.is_crowded = False
        if metrics is not None:
            metrics.gauge("memory_bodies_bytes", lambda: self.budget.bodies.held)
            metrics.gauge("memory_answers_bytes", lambda: self.budget.answers.held)

    def limit_connections(self, wanted: int) -> int:
        """Return how many connections of outsiders may be open, and log if there are fewer.

        Parameters
        ==========
        wanted : int
            Connections that the descriptors of the process allow.
        """
        budget = self.budget
        allowed = min(wanted, budget.most_connections)
        if self.lines is None:
            return allowed
        if not budget.is_enough:
            self.lines.log(
                "memory.insufficient",
                left_bytes=budget.left_bytes,
                needed_bytes=budget.worst_bytes,
            )
        if allowed < wanted:
            self.lines.log(
                "connections.limited",
                wanted=wanted,
                allowed=allowed,
                left_bytes=budget.left_bytes,
                connection_bytes=budget.CONNECTION_BYTES,
            )
        return allowed

    def count(self, kind: str) -> None:
        """Count something that was refused, closed or paused."""
        self.counts[kind] = self.counts.get(kind, 0) + 1
        if self.metrics is not None:
            self.metrics.count("memory_limited_total", kind=kind)

    async def reserve(
        self, pool: MemoryPool, holder: Holder, size: int, wait_s: float | None
    ) -> bool:
        """Wait until a holder may hold further bytes; return whether it may.

        Parameters
        ==========
        wait_s : float or None
            Longest wait in seconds; ``None`` to wait without a limit, also while the queue is full.
        """
        while True:
            verdict = pool.ask(holder, size)
            if verdict is Verdict.GRANTED:
                return True
            if verdict is Verdict.WAITS and await self._wait_granted(pool, holder, wait_s):
                return True
            if wait_s is not None:
                return False
            await asyncio.sleep(SWEEP_INTERVAL_S)

    @staticmethod
    async def _wait_granted(pool: MemoryPool, holder: Holder, wait_s: float | None) -> bool:
        """Wait until a holder is granted or refused, or the time is over; return if granted."""
        granted = asyncio.Event()
        holder.on_granted = granted.set
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(wait_s) as limit:
                holder.on_refused = lambda: limit.reschedule(loop.time())
                await granted.wait()
        except TimeoutError:
            return granted.is_set()
        finally:
            if not granted.is_set():
                pool.stop_waiting(holder)
        return True

    def refuse_waiting_body(self) -> bool:
        """Refuse a body that waits for memory, since connections are short; return if there is one.

        Bodies that make no progress are ended with the next sweep.
        """
        self.is_crowded = True
        holder = self.budget.bodies.pop_waiting()
        if holder is not None:
            holder.on_refused()
        return holder is not None

    def end_oldest_body(self, before: float = math.inf) -> bool:
        """End the body that has made no progress for longest; return if there is one.

        Parameters
        ==========
        before : float
            Monotonic time in seconds before which its last progress has to be.
        """
        holder = self.budget.bodies.find_oldest()
        if holder is None or holder.marked_at >= before:
            return False
        holder.is_paced = False
        self.count("body_closed")
        holder.on_evicted()
        return True

    async def read_body(
        self, request: Any, limit: int, holder: Holder, silence_s: float | None = None
    ) -> bytes:
        """Return the body of a request; the holder then holds its size.

        Parameters
        ==========
        limit : int
            Bytes that the body may have.
        silence_s : float or None
            Seconds without a byte after which the body is given up, ``None`` for no limit.

        Raises
        ======
        BodyTooLarge, BodySlow, MemoryShort
            The body was not read in full. The holder is to be released in any case.
        """
        length = request.content_length
        if (length or 0) > limit:
            raise BodyTooLarge
        if not request.can_read_body:
            return b""
        pool = self.budget.bodies
        size = min(length if length is not None else SMALL_BYTES, limit)
        if not await self.reserve(pool, holder, size, BODY_WAIT_S):
            self.count("body_refused")
            raise MemoryShort
        content = request.content
        if content.is_eof() and content.total_bytes <= size:
            body = await content.read(-1)
        else:
            body = await self._read_pieces(content, limit, holder, silence_s)
        if len(body) > limit:
            raise BodyTooLarge
        pool.shrink(holder, len(body))
        return body

    async def _read_pieces(
        self, content: Any, limit: int, holder: Holder, silence_s: float | None
    ) -> bytes:
        """Read a body that hasn't arrived yet, or is larger than what is held for it."""
        loop = asyncio.get_running_loop()
        body = bytearray()
        allowed = asyncio.timeout(None)
        holder.on_evicted = lambda: allowed.reschedule(loop.time())
        holder.begin_paced(loop.time())
        try:
            async with allowed:
                while chunk := await self._read_piece(content, silence_s):
                    holder.moved += len(chunk)
                    if len(body) + len(chunk) > limit:
                        raise BodyTooLarge
                    if len(body) + len(chunk) > holder.size:
                        await self._reserve_rest(limit, holder)
                    body += chunk
        except TimeoutError:
            if not allowed.expired():
                raise
            raise BodySlow from None
        finally:
            holder.is_paced = False
        return bytes(body)

    @staticmethod
    async def _read_piece(content: Any, silence_s: float | None) -> bytes:
        """Return the next bytes of a body, empty at its end."""
        if silence_s is None:
            return await content.readany()
        try:
            async with asyncio.timeout(silence_s):
                return await content.readany()
        except TimeoutError:
            raise BodySlow from None

    async def _reserve_rest(self, limit: int, holder: Holder) -> None:
        """Let a body without a length grow up to its limit."""
        holder.is_paced = False
        is_granted = await self.reserve(
            self.budget.bodies, holder, limit - holder.size, BODY_WAIT_S
        )
        if not is_granted:
            self.count("body_refused")
            raise MemoryShort
        holder.begin_paced(asyncio.get_running_loop().time())

    def sweep(self, now: float) -> None:
        """End holdings that make no progress while others wait; call it regularly."""
        for name, pool in (("body", self.budget.bodies), ("answer", self.budget.answers)):
            # Called also while nothing waits: it marks progress, so that callers which moved data
            # until a shortage begins don't count as stalled in it.
            for holder in pool.list_stalled(now, self.is_crowded):
                holder.is_paced = False
                self.count(f"{name}_closed")
                holder.on_evicted()
        self.is_crowded = False
        self._log(now)

    def _log(self, now: float) -> None:
        if self.lines is None or self.counts == self.logged:
            return
        if now - self.logged_at < LOG_INTERVAL_S:
            return
        new = {kind: count - self.logged.get(kind, 0) for kind, count in self.counts.items()}
        self.logged, self.logged_at = dict(self.counts), now
        budget = self.budget
        self.lines.log(
            "memory.limited",
            bodies_bytes=budget.bodies.held,
            answers_bytes=budget.answers.held,
            capacity_bytes=budget.bodies.capacity,
            waiting=len(budget.bodies.waiting) + len(budget.answers.waiting),
            **{kind: count for kind, count in new.items() if count},
        )


class GrowingHold:
    """Memory of an answer, which is asked for before the answer is read.

    Parameters
    ==========
    gate : MemoryGate or None
        Memory budget of the process, ``None`` if there is none.
    holder : Holder or None
        Holds the memory of the answer.

    Attributes
    ==========
    size : int
        Bytes that were asked for so far.
    """

    def __init__(self, gate: MemoryGate | None, holder: Holder | None):
        self.gate = gate
        self.holder = holder
        self.size = 0

    async def cover(self, size: int) -> None:
        """Wait until there is memory for a number of bytes, without a limit on the time."""
        if size <= self.size:
            return
        wanted = max(size, GROWTH * self.size)
        if self.gate is not None:
            pool = self.gate.budget.answers
            await self.gate.reserve(pool, self.holder, wanted - self.size, None)
        self.size = wanted
