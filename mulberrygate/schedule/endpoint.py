"""State that the scheduler keeps of one endpoint."""

from __future__ import annotations

import math

from mulberrygate.endpoints.model import EndpointView
from mulberrygate.schedule.cold import ColdLimit
from mulberrygate.schedule.detect import SlownessDetector
from mulberrygate.schedule.failures import FailureShare
from mulberrygate.schedule.memory import HeldTokens
from mulberrygate.schedule.messages import Done, Ticket
from mulberrygate.schedule.rate_limit import EndpointRateLimit
from mulberrygate.schedule.slowdown import Slowdown
from mulberrygate.schedule.speed import EndpointSpeed, GenerationSpeed

LOCAL, OTHER_DOMAIN, OTHER_REGION = range(3)
# Round trip in seconds between entry and endpoint by distance: the larger of two users' figures.
HOP_S = (0.001, 0.002, 0.02)
# Share of its slots that an endpoint judged slow or failing still gets, so that it is probed.
SLOW_SHARE = 0.25
# An endpoint that fails this many requests in a row gets single probes at growing intervals,
# since one that fails fast would otherwise look idle and attract all requests.
FAULTS_TO_BLOCK = 2
# Failure share from which a failing endpoint gets probes only.
MOSTLY_FAILING = 0.5
# Least seconds between two requests that probe whether a failing endpoint has recovered.
PROBE_S = 0.5
# First and longest time for which an endpoint is blocked.
FIRST_BLOCK_S = 0.5
LONGEST_BLOCK_S = 8.0
# Older load reports aren't used to estimate the load from other schedulers.
MAX_LOAD_REPORT_AGE_S = 5.0
# A request is overdue when its first token takes this many times as long as predicted, and at least
# this many seconds, since predictions don't include requests from other schedulers.
OVERDUE_RATIO = 4.0
MIN_OVERDUE_S = 0.8


class GrantedRequest:
    """Request that was granted and has not ended.

    Parameters
    ==========
    cost : float
        Estimated tokens that were charged to the client account.
    uncached : float
        Prompt tokens that were probably not cached.
    output : float
        Expected output tokens.
    wait_s : float
        Predicted wait in the endpoint's queue, for a slot and for the prompts ahead.
    prefill_ahead : float
        Prompt tokens of requests ahead that had not been computed, as far as known.
    waited_for_slot : bool
        Whether all slots were taken at the grant.
    load_integral : float
        The endpoint's load integral at the grant.
    slowdown_integral : float
        Integral of the endpoint's slowdown at the grant.
    first_slowdown, slowdown : float
        Mean slowdown of the endpoint until the first token and until the end; set at the end.
    predicted_first_s : float
        Predicted seconds to the first token.
    is_presented : bool
        Whether an entry reported it after a change of owner, so that its start isn't known.
    """

    __slots__ = (
        "ticket",
        "state",
        "version",
        "granted_at",
        "cost",
        "uncached",
        "cached",
        "output",
        "emitted",
        "wait_s",
        "prefill_ahead",
        "waited_for_slot",
        "load_integral",
        "slowdown_integral",
        "first_slowdown",
        "slowdown",
        "expected_end",
        "predicted_first_s",
        "expires_at",
        "is_presented",
        "share_epoch",
    )

    def __init__(
        self,
        ticket: Ticket,
        state: EndpointState,
        version: str,
        now: float,
        cost: float,
        output: float,
        cached: float,
    ):
        self.ticket = ticket
        self.state = state
        self.version = version
        self.granted_at = self.expected_end = self.expires_at = now
        self.cost = cost
        self.output = output
        self.cached = cached
        self.uncached = ticket.prompt_tokens - cached if ticket.prompt_tokens > cached else 1.0
        self.emitted = 0
        self.wait_s = self.prefill_ahead = self.load_integral = self.predicted_first_s = 0.0
        self.slowdown_integral = 0.0
        self.first_slowdown = self.slowdown = 1.0
        self.waited_for_slot = False
        self.is_presented = False
        # Epoch of the version shares that counted the grant; -1 if none did.
        self.share_epoch = -1

    def is_overdue(self, waited_s: float) -> bool:
        """Return whether the first token takes far longer than predicted."""
        if self.emitted or self.is_presented:
            return False
        return waited_s > max(MIN_OVERDUE_S, OVERDUE_RATIO * self.predicted_first_s)

    @property
    def held_tokens(self) -> float:
        """Tokens for which the endpoint needs memory until the request ends."""
        return self.ticket.prompt_tokens + max(self.output, self.emitted)

    @property
    def was_queued(self) -> bool:
        """Return whether other requests were ahead of it at the endpoint."""
        return self.wait_s > 0


class EndpointState:
    """Outstanding grants, learned speed and limits of one endpoint.

    Parameters
    ==========
    external_load : int
        Estimated number of requests from other schedulers.
    used : int
        Number of own running requests, plus `external_load`.
    peak_running, previous_peak_running : int
        Most own requests at a time since the last load report, and in the interval before it.
    pending_prefill, pending_output : float
        Prompt and output tokens of the own requests that are expected to be left to compute.
    load_integral : float
        Integral of `used` over time, until `load_integral_at`.
    slots, queue_limit : int
        Slots and queue positions that the scheduler may use at present.
    """

    def __init__(self, view: EndpointView, distance: int, generation: GenerationSpeed):
        self.view = view
        self.name = view.endpoint
        self.distance = distance
        self.hop_s = HOP_S[distance]
        self.generation = generation
        self.speed = EndpointSpeed()
        self.slowdown = Slowdown()
        self.detector = SlownessDetector()
        self.running: dict[str, GrantedRequest] = {}
        self.memory = HeldTokens()
        self.memory.set_capacity(view.kv_tokens)
        self.external_load = 0
        self.used = self.grant_count = 0
        self.peak_running = self.previous_peak_running = 0
        self.pending_prefill = 0.0
        self.pending_output = 0.0
        self.load_integral = 0.0
        self.load_integral_at = 0.0
        self.consecutive_faults = 0
        self.failures = FailureShare()
        self.is_failing = False
        self.longest_block_s = LONGEST_BLOCK_S
        # Whether an endpoint that fails most requests gets single probes only.
        self.probes_failing = False
        self.max_load_report_age_s = MAX_LOAD_REPORT_AGE_S
        # Whether an endpoint that is judged slow gets fewer slots; false for plain services, since
        # the times of their calls can't be predicted.
        self.limits_slow = True
        self.blocked_until = 0.0
        # Time of the last tokens or answer from the endpoint, and whether it has stopped answering.
        self.last_answer_at = -math.inf
        self.granted_at = -math.inf
        self.is_silent = False
        self.silent_since = -math.inf
        # Times of the endpoint's last report, and of its last answer that said that it leaves.
        self.reported_at = -math.inf
        self.left_at = -math.inf
        self.rate_limit = EndpointRateLimit()
        self.cold_limit = ColdLimit()
        self.slots = 0
        self.queue_limit = 0
        # Position in the set of endpoints with free capacity; -1 when it is in none.
        self.position = -1
        self.available_in = None
        self.available_version = ""
        self.free_counted = (0, 0)
        self.refresh_speed()

    def refresh_speed(self) -> None:
        """Recompute the seconds per token used for predictions."""
        generation, speed, usual = self.generation, self.speed, self.slowdown.usual
        self.overhead_s = generation.overhead_s * usual
        self.prefill_s = generation.prefill_s * speed.prefill_factor * usual
        self.decode_s = generation.decode_s * speed.decode_factor * usual
        self.slope_s = generation.slope_s * speed.decode_factor * usual
        self._refresh()

    def _refresh(self) -> None:
        """Recompute the parts of the prediction that do not depend on the request."""
        slots = self.view.slots
        concurrent = self.used if self.used < slots else slots - 1
        self.token_s = self.decode_s + self.slope_s * concurrent
        self.wait_s = self._queue_wait_s() if self.used >= slots else 0.0
        self.start_s = (
            self.hop_s + self.overhead_s + self.wait_s + self.pending_prefill * self.prefill_s
        )

    def is_blocked(self, now: float) -> bool:
        """Return whether the endpoint gets no request now, but will after some time."""
        if now < self.blocked_until or not self.has_token(now):
            return True
        return self.probes_failing and self.is_mostly_failing and now < self.granted_at + PROBE_S

    @property
    def is_limited(self) -> bool:
        """Whether the endpoint takes a limited number of requests a second."""
        return self.rate_limit.is_limited or self.cold_limit.is_limited

    def has_token(self, now: float) -> bool:
        """Return whether the limits of requests a second allow one now."""
        return self.rate_limit.has_token(now) and self.cold_limit.has_token(now)

    def take_token(self, now: float) -> None:
        """Count a request for the limits."""
        self.rate_limit.take(now)
        self.cold_limit.take(now)

    def put_back_token(self, granted: GrantedRequest) -> None:
        """Uncount a granted request that was not sent, if its grant was counted here."""
        if granted.is_presented:
            return
        self.rate_limit.put_back(granted.granted_at)
        self.cold_limit.put_back(granted.granted_at)

    @property
    def accepts_work(self) -> bool:
        """Whether the endpoint takes new work, by its reports and by its answers.

        Explanation
        ===========
        That an answer says that it leaves holds until its next report, so that a mistaken or
        outdated notice of one entry keeps a sound endpoint from the others only for a short time.
        """
        return self.view.accepts_work and self.left_at <= self.reported_at

    def set_limits(self, engine_queue: int, now: float) -> None:
        """Recompute how many requests the endpoint may have."""
        view = self.view
        self.slots = self.queue_limit = 0
        if not self.accepts_work or self.is_blocked(now):
            return
        if self.consecutive_faults >= FAULTS_TO_BLOCK or self.is_silent:
            self.slots = 1
        elif self.is_failing or (self.limits_slow and self.detector.is_slow):
            # Load from other schedulers is added, since it must not use up the probes.
            probes = max(1, int(view.slots * SLOW_SHARE))
            self.slots = min(view.slots, self.external_load + probes)
        else:
            self.slots = view.slots
            self.queue_limit = engine_queue if self.distance == LOCAL else 0

    def estimate_external_load(self) -> None:
        """Estimate the load from other schedulers from the endpoint's last load report.

        Explanation
        ===========
        The report may be older than the latest own grants, so only load beyond the peak of own
        requests since the previous report is attributed to others.
        """
        own_peak = max(self.peak_running, self.previous_peak_running)
        self.previous_peak_running, self.peak_running = self.peak_running, len(self.running)
        is_usable = self.view.load_age_s <= self.max_load_report_age_s
        self.external_load = max(0, self.view.load - own_peak) if is_usable else 0
        self.used = len(self.running) + self.external_load
        self._refresh()

    def extend_load_integral(self, now: float) -> None:
        """Extend the integral of the load to now."""
        if now > self.load_integral_at:
            self.load_integral += self.used * (now - self.load_integral_at)
            self.load_integral_at = now

    def add(self, granted: GrantedRequest, now: float) -> None:
        """Add a granted request to the endpoint's load."""
        self.extend_load_integral(now)
        granted.load_integral = self.load_integral
        # The figure itself decays between grants only: what an endpoint was predicted to take has
        # to stay true for the requests that were examined before.
        granted.slowdown_integral = self.slowdown.integral_at(now)
        self.grant_count += 1
        self.granted_at = now
        self.running[granted.ticket.request] = granted
        self.used = len(self.running) + self.external_load
        self.peak_running = max(self.peak_running, len(self.running))
        self.pending_prefill += granted.uncached
        self.pending_output += granted.output
        self.memory.add(granted.held_tokens)
        self._refresh()

    def remove(self, granted: GrantedRequest, now: float) -> None:
        """Remove an ended request from the endpoint's load."""
        self.extend_load_integral(now)
        self.slowdown.advance(now)
        del self.running[granted.ticket.request]
        self.used = len(self.running) + self.external_load
        if not self.running:
            self.pending_prefill = self.pending_output = 0.0
            self.memory.clear()
        else:
            self.memory.add(-granted.held_tokens)
            if not granted.emitted:
                self.pending_prefill -= granted.uncached
            self.pending_output -= max(0.0, granted.output - granted.emitted)
        self._refresh()

    def progress(self, granted: GrantedRequest, emitted: int) -> None:
        """Record the output tokens received so far of a request."""
        if emitted <= granted.emitted:
            return
        if not granted.emitted:
            self.pending_prefill -= granted.uncached
        left = max(0.0, granted.output - granted.emitted)
        held_tokens = granted.held_tokens
        granted.emitted = emitted
        self.memory.add(granted.held_tokens - held_tokens)
        self.pending_output -= left - max(0.0, granted.output - emitted)
        self._refresh()

    @property
    def is_mostly_failing(self) -> bool:
        """Return whether the endpoint is failing and at least half of its requests fail."""
        return self.is_failing and self.failures.share >= MOSTLY_FAILING

    def update_silence(self, now: float) -> bool:
        """Update whether the endpoint is silent; return whether that has changed.

        Explanation
        ===========
        It is silent if a request is overdue and the endpoint has sent nothing at all since that
        request was granted. The missing answer is the only sign of an endpoint that accepts
        requests and never answers them.
        """
        was_silent = self.is_silent
        if self.last_answer_at > self.silent_since:
            self.is_silent = False
        for granted in self.running.values():
            if granted.granted_at > self.last_answer_at and granted.is_overdue(
                now - granted.granted_at
            ):
                self.is_silent = True
                self.silent_since = now
                break
        return self.is_silent != was_silent

    def mean_load(self, granted: GrantedRequest, now: float) -> float:
        """Return the mean load since a grant."""
        self.extend_load_integral(now)
        seconds = now - granted.granted_at
        return (
            (self.load_integral - granted.load_integral) / seconds
            if seconds > 1e-9
            else float(self.used)
        )

    def report_slowdown(self, figure: float, heard_at: float, now: float) -> None:
        """Take over a figure that the endpoint has stated, and predict by it."""
        self.slowdown.report(figure, heard_at, now)
        self.refresh_speed()

    def set_slowdown(self, granted: GrantedRequest, done: Done, now: float) -> None:
        """Take over what the answer to an ended request states, and set its mean slowdown."""
        self.slowdown.advance(now)
        is_stated = done.slowdown_age_s < math.inf
        if is_stated:
            self.report_slowdown(done.slowdown, now - done.slowdown_age_s, now)
        granted.slowdown = granted.first_slowdown = self.slowdown.mean_since(
            granted.slowdown_integral, now - granted.granted_at
        )
        if is_stated:
            granted.first_slowdown = self.slowdown.mean_before(done.slowdown, done.first_token_s)

    def _queue_wait_s(self) -> float:
        """Return the predicted wait until the next request gets a slot."""
        slots = self.view.slots
        mean_left = self.pending_output / max(len(self.running), 1) * self.token_s
        return (self.used - slots + 1) * mean_left / slots

    def finish_s(self, uncached: float, output: float) -> float:
        """Return the predicted seconds to the end of a request granted now."""
        usual_s = self.start_s + uncached * self.prefill_s + output * self.token_s
        return usual_s + self.slowdown.delay_s(usual_s)

    def first_s(self, uncached: float) -> float:
        """Return the predicted seconds to the first token of a request granted now."""
        usual_s = self.start_s + uncached * self.prefill_s
        return usual_s + self.slowdown.delay_s(usual_s)

    def record_fault(self, now: float) -> None:
        """Count a failed request; block the endpoint with exponential back-off."""
        self.consecutive_faults += 1
        if self.consecutive_faults >= FAULTS_TO_BLOCK:
            power = min(self.consecutive_faults - FAULTS_TO_BLOCK, 10)
            self.blocked_until = now + min(self.longest_block_s, FIRST_BLOCK_S * 2**power)
