"""Simulation of entries, directory and engines around a scheduler at virtual time."""

from __future__ import annotations

import heapq
import itertools
import random

import attrs

from bench.engine_model import MIDDLE, NEW, OLD, Engine, Hardware, Job
from bench.workload import Request, Shape, draw_tokens
from mulberrygate.endpoints.model import EndpointView
from mulberrygate.schedule.effects import ObservedRequest
from mulberrygate.schedule.messages import Done, Grant, Progress, Refuse, Ticket
from mulberrygate.tables.model import TIERS, Pool

MESSAGE_S = 0.001
ANNOUNCE_S = 1.0
REPORT_LAG_S = (0.2, 1.0)
LOST_EVENTS = 0.1
LEASE_S = 3.0
PROGRESS_S = 0.5
TICK_S = 0.1
BYTES_PER_PROMPT_TOKEN = 4
BYTES_PER_OUTPUT_TOKEN = 150
DRAIN_S = 150.0
LOCAL_ENGINES = (OLD, OLD, MIDDLE, MIDDLE, NEW, NEW)


@attrs.frozen
class Faults:
    """Times of a slowdown and of a crash of an engine; a negative start means none."""

    slow_engine: int = 5
    slow_from: float = 40.0
    slow_to: float = 160.0
    slow_factor: float = 3.0
    dead_engine: int = 3
    dead_from: float = 80.0
    dead_to: float = 140.0


NO_FAULTS = Faults(slow_from=-1.0, dead_from=-1.0)


@attrs.define
class Totals:
    """Figures of one run; lists are by tier, ``refused`` is by code and tier.

    Wasted prefill, in tokens, is that of requests that failed or missed their deadline
    (``wasted_failed``) and that of prefixes which another engine of the domain had cached.
    """

    asked: list = attrs.field(factory=lambda: [0] * TIERS)
    good: list = attrs.field(factory=lambda: [0] * TIERS)
    burst_asked: list = attrs.field(factory=lambda: [0] * TIERS)
    burst_good: list = attrs.field(factory=lambda: [0] * TIERS)
    deadlines_missed: list = attrs.field(factory=lambda: [0] * TIERS)
    refused: dict = attrs.field(factory=dict)
    lost: int = 0
    wasted_failed: float = 0.0
    wasted_recomputed: float = 0.0
    prefilled: float = 0.0
    region_bytes: int = 0
    domain_bytes: int = 0

    @property
    def wasted(self) -> float:
        """Return the wasted prefill in tokens."""
        return self.wasted_failed + self.wasted_recomputed


class Simulation:
    """One run of a scheduler over a trace."""

    def __init__(self, make, trace: list[Request], shape: Shape, faults: Faults, seed: int):
        self.rng = random.Random(f"simulation {seed}")
        self.shape = shape
        self.faults = faults
        self.trace = trace
        self.events: list = []
        self.numbers = itertools.count()
        self.engines: dict[str, Engine] = {}
        for number, hardware in enumerate(LOCAL_ENGINES):
            self._add_engine(f"e{number}", hardware, "d1", "r1")
        self._add_engine("near0", MIDDLE, "d2", "r1")
        self._add_engine("near1", OLD, "d2", "r1")
        self._add_engine("far0", NEW, "d3", "r2")
        self._add_engine("far1", MIDDLE, "d3", "r2")
        self.views: dict[str, EndpointView] = {}
        self.announced_at: dict[str, float] = {}
        self.requests: dict[str, Request] = {}
        self.engine_by_request: dict[str, Engine] = {}
        self.unfinished: set[str] = set()
        self.observations: list[tuple[float, ObservedRequest]] = []
        self.totals = Totals()
        self.now = 0.0
        self.scheduler = make("d1", "r1", Pool(), random.Random(f"scheduler {seed}"))

    def _add_engine(self, name: str, hardware: Hardware, domain: str, region: str) -> None:
        self.engines[name] = Engine(name, hardware, domain, region, self._is_cached_elsewhere)

    def _is_cached_elsewhere(self, engine: Engine, prefix: str) -> bool:
        return any(
            prefix in other.cache
            for other in self.engines.values()
            if other is not engine and other.is_alive and other.domain == engine.domain
        )

    def schedule(self, when: float, action, *arguments) -> None:
        """Schedule an action at an absolute time."""
        heapq.heappush(self.events, (when, next(self.numbers), action, arguments))

    def run(self) -> Totals:
        """Run the trace to its end and return its figures."""
        for engine in self.engines.values():
            self._announce(engine)
            self.schedule(self.rng.random() * ANNOUNCE_S, self._announce_periodically, engine)
            if engine.domain != "d1":
                self.schedule(0.0, self._background, engine, 0)
        for request in self.trace:
            self.schedule(request.at, self._arrive, request)
        self._plan_faults()
        self.schedule(0.0, self._tick)
        self.schedule(PROGRESS_S, self._progress)
        end = self.shape.length_s + DRAIN_S
        while self.events and self.events[0][0] <= end:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        return self.totals

    # Faults and background load of the engines

    def _plan_faults(self) -> None:
        faults = self.faults
        if faults.slow_from >= 0:
            slow = self.engines[f"e{faults.slow_engine}"]
            self.schedule(faults.slow_from, self._set_speed, slow, faults.slow_factor)
            self.schedule(faults.slow_to, self._set_speed, slow, 1.0)
        if faults.dead_from >= 0:
            dead = self.engines[f"e{faults.dead_engine}"]
            self.schedule(faults.dead_from, self._crash_engine, dead)
            self.schedule(faults.dead_to, self._restart_engine, dead)

    def _set_speed(self, engine: Engine, factor: float) -> None:
        engine.advance(self.now)
        engine.slow_factor = factor
        self._reschedule(engine)

    def _crash_engine(self, engine: Engine) -> None:
        for job in engine.crash(self.now):
            if job.request in self.requests:
                self.totals.lost += 1
                self._finish(job, engine, fault="cut")
        self._reschedule(engine)

    def _restart_engine(self, engine: Engine) -> None:
        engine.restart(self.now)

    def _background(self, engine: Engine, number: int) -> None:
        """Load an engine of another failure domain to about half of its capacity."""
        if self.now > self.shape.length_s:
            return
        output = draw_tokens(self.rng, 120, 0.8, 10, 2000)
        name = f"other {engine.name} {number}"
        engine.add(Job(name, 600, output, (), self.now), self.now)
        self._reschedule(engine)
        step = engine.hardware.decode_s + engine.hardware.decode_slope_s * engine.hardware.slots
        rate = 0.5 * engine.hardware.slots / (step * 165)
        self.schedule(self.now + self.rng.expovariate(rate), self._background, engine, number + 1)

    # Announcements of the engines and the scheduler's view of them

    def _announce_periodically(self, engine: Engine) -> None:
        self._announce(engine)
        if self.now < self.shape.length_s + DRAIN_S:
            self.schedule(self.now + ANNOUNCE_S, self._announce_periodically, engine)

    def _announce(self, engine: Engine) -> None:
        if not engine.is_alive:
            return
        cached, evicted = engine.cached_events, engine.evicted_events
        engine.cached_events, engine.evicted_events = [], []
        if self.rng.random() < LOST_EVENTS:
            cached, evicted = [], []
        lag = self.rng.uniform(*REPORT_LAG_S) if self.now else 0.0
        self.schedule(
            self.now + lag,
            self._receive_announcement,
            engine,
            engine.incarnation,
            engine.load,
            self.now,
            cached,
            evicted,
        )

    def _receive_announcement(self, engine, incarnation, load, load_at, cached, evicted) -> None:
        known = self.views.get(engine.name)
        prefixes = frozenset()
        if known is not None and known.incarnation == incarnation:
            prefixes = known.prefixes
        if cached or evicted:
            prefixes = (prefixes | frozenset(cached)) - frozenset(evicted)
        self.announced_at[engine.name] = self.now
        hardware = engine.hardware
        self.views[engine.name] = EndpointView(
            endpoint=engine.name,
            incarnation=incarnation,
            address=f"{engine.name}:1",
            pool="care",
            failure_domain=engine.domain,
            region=engine.region,
            version="v1",
            hardware=hardware.name,
            slots=hardware.slots,
            kv_tokens=hardware.kv_tokens,
            accepts_work=True,
            load=load,
            load_age_s=self.now - load_at,
            prefixes=prefixes,
        )

    def _tick(self) -> None:
        tick_number = round(self.now / TICK_S)
        if tick_number % 5 == 0:
            views = [
                attrs.evolve(view, accepts_work=self.now - self.announced_at[name] < LEASE_S)
                for name, view in self.views.items()
            ]
            self._apply_effects(self.scheduler.set_endpoints(views, self.now))
        else:
            self._apply_effects(self.scheduler.tick(self.now))
        if self.now < self.shape.length_s + DRAIN_S:
            self.schedule((tick_number + 1) * TICK_S, self._tick)

    # Requests between the entry, the scheduler and the engines

    def _arrive(self, request: Request) -> None:
        totals = self.totals
        totals.asked[request.tier] += 1
        if self._is_in_burst(request):
            totals.burst_asked[request.tier] += 1
        self.requests[request.name] = request
        self.unfinished.add(request.name)
        self.schedule(request.at + request.deadline_s, self._expire, request)
        ticket = Ticket(
            request=request.name,
            entry="entry",
            pool="care",
            route=request.route,
            account=request.account,
            weight=1.0,
            tier=request.tier,
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.estimate,
            prefixes=request.prefixes,
            deadline_s=request.deadline_s,
        )
        self.schedule(self.now + MESSAGE_S, self._call_scheduler, "ask", ticket)

    def _is_in_burst(self, request: Request) -> bool:
        return self.shape.burst_from <= request.at < self.shape.burst_to

    def _call_scheduler(self, name: str, *arguments) -> None:
        self._apply_effects(getattr(self.scheduler, name)(*arguments, self.now))

    def _apply_effects(self, effects) -> None:
        for effect in effects:
            if isinstance(effect, ObservedRequest):
                self.observations.append((self.now, effect))
            elif isinstance(effect.message, Grant):
                self.schedule(self.now + MESSAGE_S, self._dispatch, effect.message)
            elif isinstance(effect.message, Refuse):
                code = effect.message.code
                request = self.requests[effect.message.request]
                key = (code, request.tier)
                self.totals.refused[key] = self.totals.refused.get(key, 0) + 1
                self.unfinished.discard(effect.message.request)

    def _dispatch(self, grant: Grant) -> None:
        request = self.requests[grant.request]
        engine = self.engines[grant.endpoint]
        if grant.request not in self.unfinished or grant.request in self.engine_by_request:
            return
        job = Job(
            request.name, request.prompt_tokens, request.output_tokens, request.prefixes, self.now
        )
        if not engine.is_alive:
            self._finish(job, engine, fault="refused")
            return
        self.engine_by_request[request.name] = engine
        if engine.domain != "d1":
            volume = request.prompt_tokens * BYTES_PER_PROMPT_TOKEN
            volume += request.output_tokens * BYTES_PER_OUTPUT_TOKEN
            if engine.region != "r1":
                self.totals.region_bytes += volume
            else:
                self.totals.domain_bytes += volume
        engine.add(job, self.now)
        self._reschedule(engine)

    def _expire(self, request: Request) -> None:
        """Cancel a request at its deadline."""
        if request.name not in self.unfinished:
            return
        self.totals.deadlines_missed[request.tier] += 1
        engine = self.engine_by_request.get(request.name)
        job = engine.cancel(request.name, self.now) if engine is not None else None
        if job is None:
            self.unfinished.discard(request.name)
            self.schedule(self.now + MESSAGE_S, self._call_scheduler, "withdraw", request.name)
            return
        self._reschedule(engine)
        self._finish(job, engine, is_cancelled=True)

    def _finish(
        self, job: Job, engine: Engine, fault: str = "", is_cancelled: bool = False
    ) -> None:
        request = self.requests[job.request]
        self.unfinished.discard(request.name)
        totals = self.totals
        totals.prefilled += job.prefilled
        if fault or is_cancelled:
            totals.wasted_failed += job.prefilled
        else:
            totals.wasted_recomputed += min(job.tokens_cached_elsewhere, job.prefilled)
            totals.good[request.tier] += 1
            totals.burst_good[request.tier] += self._is_in_burst(request)
        emitted = request.output_tokens
        if fault or is_cancelled:
            emitted = engine.emitted_tokens(job) if engine.is_alive else 0
        done = Done(
            pool="care",
            request=request.name,
            endpoint=engine.name,
            version="v1",
            route=request.route,
            prompt_tokens=request.prompt_tokens,
            output_tokens=emitted,
            first_token_s=max(0.0, job.first_token_at - job.sent_at),
            total_s=self.now - job.sent_at,
            fault=fault,
            cancelled=is_cancelled,
        )
        self.schedule(self.now + MESSAGE_S, self._call_scheduler, "done", done)

    def _progress(self) -> None:
        emitted = {}
        for engine in self.engines.values():
            engine.advance(self.now)
            for name, job in engine.decoding.items():
                if name in self.requests:
                    emitted[name] = engine.emitted_tokens(job)
        self._call_scheduler("progress", Progress("care", emitted), "entry")
        if self.now < self.shape.length_s + DRAIN_S:
            self.schedule(self.now + PROGRESS_S, self._progress)

    def _reschedule(self, engine: Engine) -> None:
        engine.event_generation += 1
        when = engine.next_event()
        if when < float("inf"):
            self.schedule(when, self._step, engine, engine.event_generation)

    def _step(self, engine: Engine, event_generation: int) -> None:
        if event_generation != engine.event_generation:
            return
        for job in engine.step(self.now):
            if job.request in self.requests:
                self._finish(job, engine)
        self._reschedule(engine)
