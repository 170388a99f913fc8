"""Model of an engine with continuous batching, at virtual time."""

from __future__ import annotations

import heapq
from collections import OrderedDict, deque

import attrs

from mulberrygate.schedule.messages import PREFIX_TOKENS

# Fraction of its speed that decode or prefill keeps while the other runs at the same time.
DECODE_BESIDE_PREFILL = 0.6
PREFILL_BESIDE_DECODE = 0.7


@attrs.frozen
class Hardware:
    """Hardware generation of an engine.

    A decode step takes ``decode_s``, and ``decode_slope_s`` more for each further request of the
    batch. ``prefill_rate`` is in tokens per second, ``kv_tokens`` is the size of the KV cache.
    """

    name: str
    slots: int
    prefill_rate: float
    decode_s: float
    decode_slope_s: float
    kv_tokens: int


OLD = Hardware("old", 8, 4000, 0.025, 0.0010, 60_000)
MIDDLE = Hardware("middle", 16, 9000, 0.015, 0.0005, 150_000)
NEW = Hardware("new", 24, 20000, 0.009, 0.00025, 300_000)


@attrs.define(eq=False)
class Job:
    """A request at an engine.

    ``tokens_cached_elsewhere`` counts prefix tokens that another engine of the domain had cached.
    """

    request: str
    prompt_tokens: int
    output_tokens: int
    prefixes: tuple[str, ...]
    sent_at: float
    first_token_at: float = 0.0
    prefilled: float = 0.0
    prefill_left: float = -1.0
    cached: int = 0
    tokens_cached_elsewhere: int = 0
    decode_start: float = -1.0
    is_ended: bool = False

    @property
    def tokens(self) -> int:
        """Return the KV-cache tokens that the job needs."""
        return self.prompt_tokens + self.output_tokens


class Engine:
    """Engine that admits in arrival order, prefills one request at a time and decodes a batch.

    ``event_generation`` invalidates events that were scheduled before the last change.

    Parameters
    ==========
    is_cached_elsewhere : Callable[[Engine, str], bool]
        Returns whether another engine has a prefix cached, to count redundant prefill.
    """

    def __init__(self, name, hardware: Hardware, domain, region, is_cached_elsewhere):
        self.name = name
        self.hardware = hardware
        self.domain = domain
        self.region = region
        self.is_cached_elsewhere = is_cached_elsewhere
        self.slow_factor = 1.0
        self.incarnation = 1
        self.is_alive = True
        self.event_generation = 0
        self.clear()

    def clear(self) -> None:
        """Drop all jobs and the cache."""
        self.updated_at = 0.0
        self.waiting: deque[Job] = deque()
        self.prefilling: deque[Job] = deque()
        self.decoding: dict[str, Job] = {}
        self.jobs: dict[str, Job] = {}
        self.decode_ends: list[tuple[float, str]] = []
        self.decode_position = 0.0
        self.cache: OrderedDict[str, None] = OrderedDict()
        self.kv_used = 0
        self.cached_events: list[str] = []
        self.evicted_events: list[str] = []

    @property
    def load(self) -> int:
        """Return the number of running and waiting requests."""
        return len(self.jobs)

    def rates(self) -> tuple[float, float]:
        """Return the tokens per second of prefill, and of decoding for each request."""
        hardware, decoding = self.hardware, len(self.decoding)
        prefill = decode = 0.0
        if self.prefilling:
            share = PREFILL_BESIDE_DECODE if decoding else 1.0
            prefill = hardware.prefill_rate * share / self.slow_factor
        if decoding:
            share = DECODE_BESIDE_PREFILL if self.prefilling else 1.0
            step = hardware.decode_s + hardware.decode_slope_s * (decoding - 1)
            decode = share / step / self.slow_factor
        return prefill, decode

    def advance(self, now: float) -> None:
        """Update the progress of the jobs to the current time, without completing any."""
        prefill, decode = self.rates()
        passed = now - self.updated_at
        self.updated_at = now
        if prefill:
            done = min(self.prefilling[0].prefill_left, prefill * passed)
            self.prefilling[0].prefill_left -= done
            self.prefilling[0].prefilled += done
        self.decode_position += decode * passed

    def next_event(self) -> float:
        """Return the time at which the next prefill or job completes."""
        prefill, decode = self.rates()
        times = []
        if prefill:
            times.append(self.prefilling[0].prefill_left / prefill)
        while self.decode_ends and self.decode_ends[0][1] not in self.decoding:
            heapq.heappop(self.decode_ends)
        if decode:
            times.append(max(0.0, self.decode_ends[0][0] - self.decode_position) / decode)
        return self.updated_at + min(times) if times else float("inf")

    def add(self, job: Job, now: float) -> None:
        """Enqueue a job."""
        self.advance(now)
        self.jobs[job.request] = job
        self.waiting.append(job)
        self.admit()

    def admit(self) -> None:
        """Admit waiting jobs in arrival order while slots and memory allow."""
        hardware = self.hardware
        while self.waiting:
            job = self.waiting[0]
            running = len(self.prefilling) + len(self.decoding)
            fits = self.kv_used + job.tokens <= hardware.kv_tokens or not running
            if running >= hardware.slots or not fits:
                return
            self.waiting.popleft()
            self.kv_used += job.tokens
            self._evict()
            self.prefilling.append(job)
            if len(self.prefilling) == 1:
                self._start_prefill(job)

    def _start_prefill(self, job: Job) -> None:
        hits = 0
        for prefix in job.prefixes:
            if prefix not in self.cache:
                break
            self.cache.move_to_end(prefix)
            hits += 1
        job.cached = min(hits * PREFIX_TOKENS, job.prompt_tokens - 1)
        job.prefill_left = float(job.prompt_tokens - job.cached)
        for prefix in job.prefixes[hits:]:
            if not self.is_cached_elsewhere(self, prefix):
                break
            job.tokens_cached_elsewhere += PREFIX_TOKENS

    def _evict(self) -> None:
        capacity = max(0, self.hardware.kv_tokens - self.kv_used) // PREFIX_TOKENS
        while len(self.cache) > capacity:
            self.evicted_events.append(self.cache.popitem(last=False)[0])

    def step(self, now: float) -> list[Job]:
        """Process due completions and return the completed jobs."""
        self.advance(now)
        if self.prefilling and self.prefilling[0].prefill_left <= 1e-6:
            self._end_prefill(self.prefilling.popleft(), now)
        ended = []
        while self.decode_ends and self.decode_ends[0][0] <= self.decode_position + 1e-6:
            job = self.decoding.pop(heapq.heappop(self.decode_ends)[1], None)
            if job is not None:
                ended.append(job)
                self._release(job)
        self.admit()
        return ended

    def _end_prefill(self, job: Job, now: float) -> None:
        job.first_token_at = now
        job.decode_start = self.decode_position
        self.decoding[job.request] = job
        heapq.heappush(self.decode_ends, (self.decode_position + job.output_tokens, job.request))
        for prefix in job.prefixes:
            if prefix not in self.cache:
                self.cached_events.append(prefix)
            self.cache[prefix] = None
            self.cache.move_to_end(prefix)
        self._evict()
        if self.prefilling:
            self._start_prefill(self.prefilling[0])

    def _release(self, job: Job) -> None:
        job.is_ended = True
        self.jobs.pop(job.request, None)
        self.kv_used -= job.tokens

    def cancel(self, request: str, now: float) -> Job | None:
        """Remove a job and return it, or ``None`` if it isn't at this engine."""
        job = self.jobs.get(request)
        if job is None:
            return None
        self.advance(now)
        if job in self.waiting:
            self.waiting.remove(job)
            self.kv_used += job.tokens
        elif request in self.decoding:
            del self.decoding[request]
        else:
            is_first = self.prefilling[0] is job
            self.prefilling.remove(job)
            if is_first and self.prefilling:
                self._start_prefill(self.prefilling[0])
        self._release(job)
        self.admit()
        return job

    def emitted_tokens(self, job: Job) -> int:
        """Return the number of tokens that a job has emitted."""
        return int(self.decode_position - job.decode_start) + 1 if job.decode_start >= 0 else 0

    def crash(self, now: float) -> list[Job]:
        """Stop the engine and return the jobs that it loses."""
        self.advance(now)
        lost = list(self.jobs.values())
        self.clear()
        self.is_alive = False
        self.updated_at = now
        return lost

    def restart(self, now: float) -> None:
        """Restart with an empty cache and a new incarnation."""
        self.clear()
        self.updated_at = now
        self.is_alive = True
        self.incarnation += 1
