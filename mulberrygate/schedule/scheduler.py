"""Scheduler of one pool in one failure domain."""

from __future__ import annotations

import collections
import math
import random
from collections.abc import Callable

from mulberrygate.core.effects import Effect, Send
from mulberrygate.core.invariant import invariant
from mulberrygate.schedule.capacity import FreeCapacity
from mulberrygate.schedule.choose import Chooser
from mulberrygate.schedule.codes import (
    NO_ENDPOINT,
    NO_HOME_ENDPOINT,
    QUEUE_OVER_LIMIT,
)
from mulberrygate.schedule.demand import MEMORY_S, Demand
from mulberrygate.schedule.endpoint import (
    FAULTS_TO_BLOCK,
    OTHER_REGION,
    EndpointState,
    GrantedRequest,
)
from mulberrygate.schedule.endpoint_set import EndpointSet
from mulberrygate.schedule.fair_queue import (
    LENGTH_PENALTY_S,
    FairQueue,
    WaitingRequest,
)
from mulberrygate.schedule.health import EndpointHealth
from mulberrygate.schedule.learn import (
    is_unanswered,
    learn,
    learn_reference,
    observe_request,
)
from mulberrygate.schedule.memory import LostWhileFull
from mulberrygate.schedule.messages import (
    Done,
    Progress,
    Ticket,
)
from mulberrygate.schedule.precedence import STRICT
from mulberrygate.schedule.prefix import PrefixIndex
from mulberrygate.schedule.rate import Rate
from mulberrygate.schedule.recently_ended import RecentlyEnded
from mulberrygate.schedule.running import RunningRequests
from mulberrygate.schedule.selection import (
    LOOK_AHEAD,
    LOST_DONE_S,
    MAX_SKIPPED,
    WIDE_LOOK_AHEAD,
    WIDE_MAX_SKIPPED,
    Selection,
)
from mulberrygate.schedule.served import ServedShares
from mulberrygate.schedule.shares import VersionShares
from mulberrygate.schedule.shed_checks import (
    GrantLog,
    LatestStartQueue,
)
from mulberrygate.schedule.shedding import Shedding
from mulberrygate.schedule.spare import SpareGrants
from mulberrygate.schedule.speed import (
    DEFAULT_PRIOR,
    REFERENCE_MAX_SLOPE_SHARE,
    GenerationSpeed,
    LengthModel,
)
from mulberrygate.schedule.wide import (
    FAST_RATE_MEMORY_S,
    FAULTS_AFTER_ACCEPT,
    FAULTS_WITH_RESPONSE,
    WIDE_LENGTH_PENALTY_S,
    WIDE_MAX_LENGTH_PENALTY_S,
    WIDE_MEMORY_S,
    WIDE_PAUSE_PER_PAIR_S,
    WIDE_SCHEDULE_INTERVAL_S,
    WIDE_TIERS,
)
from mulberrygate.tables.model import TIERS, Pool

# Time without any endpoint after which waiting requests are refused. A new owner knows no endpoints
# until their announcements arrive, which are sent every second.
NO_ENDPOINT_WAIT_S = 2.5
# Time without an endpoint in its home regions after which a request is refused. Entries refuse such
# requests themselves unless they know endpoints that this process doesn't, so it is shorter.
NO_HOME_WAIT_S = 0.3
# Intervals of work that isn't repeated for each message.
MAINTENANCE_PERIOD_S = 0.5
EXPIRY_PERIOD_S = 3.0
DEMAND_PERIOD_S = 0.05
HOMES_CHECK_PERIOD_S = 0.1
# Scheduling is deferred after a dispatch that skipped more requests than this.
DEFER_ABOVE_SKIPPED = 16
# Bounds the lost endpoints that are kept for the log.
MAX_LOST = 64


class PoolScheduler(EndpointSet, RunningRequests, Selection, SpareGrants, Shedding, EndpointHealth):
    """Order the requests of a pool and grant them endpoints.

    Explanation
    ===========
    Each method returns the effects to carry out: `Send` of `Grant` and `Refuse` to entries, and
    `ObservedRequest` after a `Done`. A repeated ask gets the same grant or refusal again, since
    the first one may have been lost; other repeated and late messages change nothing.

    Parameters
    ==========
    failure_domain, region : str
        Location of the scheduler; endpoints elsewhere are used only when the backlog justifies it.
    pool : Pool
        Settings of the pool.
    rng : random.Random
        Used to sample endpoints in large pools.
    is_wide : bool
        Whether endpoints of all failure domains are used on equal terms, with the hop counted into
        the predicted finish. For pools whose endpoints differ more in speed than a hop costs.
    """

    def __init__(
        self,
        failure_domain: str,
        region: str,
        pool: Pool,
        rng: random.Random,
        is_wide: bool = False,
    ):
        self.failure_domain = failure_domain
        self.region = region
        self.is_wide = is_wide
        self.pool = pool
        self.rng = rng
        self.tiers = WIDE_TIERS if is_wide else TIERS
        weight_s = WIDE_LENGTH_PENALTY_S if is_wide else LENGTH_PENALTY_S
        max_length_penalty_s = WIDE_MAX_LENGTH_PENALTY_S if is_wide else math.inf
        self.queue = FairQueue(weight_s, self.tiers, max_length_penalty_s)
        self.running: dict[str, GrantedRequest] = {}
        self.running_by_entry: dict[str, dict[str, GrantedRequest]] = {}
        self.ended = RecentlyEnded()
        self.states: dict[str, EndpointState] = {}
        # Endpoints that are gone but have running requests; one that is only silent may come back.
        self.absent: dict[str, EndpointState] = {}
        # Endpoints lost since the last log line.
        self.lost_while_full: collections.deque[LostWhileFull] = collections.deque(maxlen=MAX_LOST)
        self.generations: dict[str, GenerationSpeed] = {}
        # Mean speed of a wide pool's endpoints, except those that serve a version under a move.
        self.reference = (
            GenerationSpeed(DEFAULT_PRIOR, REFERENCE_MAX_SLOPE_SHARE) if is_wide else None
        )
        self.lengths = LengthModel()
        self.capacity = FreeCapacity()
        self.prefixes = PrefixIndex()
        self.shares = VersionShares()
        self.chooser = Chooser(self.capacity, self.prefixes, self.shares, rng)
        self.chooser.states = self.states
        self.chooser.is_fast_expected = self._is_fast_expected
        self.chooser.spreads_canaries = self.chooser.probes_failing = is_wide
        self.fast_completions = Rate(FAST_RATE_MEMORY_S)
        # By tier, seconds until fast endpoints have taken the timely requests of it and the tiers
        # above.
        self.fast_wait_s = [math.inf] * self.tiers
        self.max_skipped = WIDE_MAX_SKIPPED if is_wide else MAX_SKIPPED
        self.look_ahead = WIDE_LOOK_AHEAD if is_wide else LOOK_AHEAD
        # Number of the last dispatch, and how many requests it skipped.
        self.dispatch_number = self.skipped_count = 0
        self.scheduled_at = -math.inf
        self.schedule_pause_s = WIDE_SCHEDULE_INTERVAL_S
        self.is_deferred = False
        self.demand = Demand(WIDE_MEMORY_S if is_wide else MEMORY_S, self.tiers)
        self.latest_starts = LatestStartQueue(uses_predictions=not is_wide)
        self.grant_log = GrantLog(self.tiers)
        self.served = ServedShares(self.tiers)
        self.precedence = STRICT
        # Number of the latest ask or grant.
        self.sequence = 0
        # By tier, free local slots that it has to leave to the tiers above it.
        self.reserved = [0] * self.tiers
        # Most urgent tier that sent requests recently or has any waiting; tier of the latest ask.
        self.top_tier = self.newest_tier = 0
        self.local_slots = 0
        self.without_endpoint_since: float | None = None
        # Endpoints that get no requests until their back-off time is over.
        self.blocked: dict[str, EndpointState] = {}
        # Returns the part of an endpoint's named limit that this scheduler may use.
        self.find_rate_part: Callable[[str, float], float] = lambda _endpoint, _rate: 1.0
        # Same for the limit of a cold endpoint.
        self.find_cold_part: Callable[[str, float], float] = lambda _endpoint, _rate: 1.0
        self.maintained_at = self.expired_at = self.demand_at = self.homes_checked_at = -math.inf

    def ask(self, ticket: Ticket, now: float) -> list[Effect]:
        """Queue a request, then grant and shed waiting requests as needed."""
        request = ticket.request
        if request in self.queue.by_request:
            return []
        granted = self.running.get(request)
        if granted is not None:
            return [] if granted.emitted or granted.is_presented else [self._grant_message(granted)]
        if request in self.ended:
            refusal = self.ended.refusal(request)
            return [Send(ticket.entry, refusal)] if refusal is not None else []
        if ticket.is_spare:
            return [self._ask_spare(ticket, now)]
        self._enqueue(ticket, now)
        return self._schedule(now)

    def withdraw(self, request: str, now: float) -> list[Effect]:
        """Remove a request that doesn't wait any more or won't use its grant."""
        waiting = self.queue.by_request.get(request)
        granted = self.running.get(request)
        self.ended.add(request, None, now)
        if waiting is not None:
            self.queue.remove(waiting)
        if granted is None:
            return []
        self._release(granted, now)
        granted.state.put_back_token(granted)
        self.shares.undo_count(granted.ticket.route, granted.version, granted.share_epoch)
        self.queue.charge(granted.ticket, -granted.cost)
        return self._schedule(now)

    def progress(self, message: Progress, sender: str, now: float) -> list[Effect]:
        """Record tokens received by running requests, and release those that have ended."""
        for request, emitted in message.emitted.items():
            granted = self.running.get(request)
            if granted is not None:
                granted.state.progress(granted, emitted)
                granted.state.last_answer_at = now
                granted.expires_at = max(granted.expires_at, now + LOST_DONE_S)
        for endpoint, slowdown in message.slowdowns.items():
            state = self.states.get(endpoint)
            if state is not None:
                state.report_slowdown(slowdown, now, now)
        if message.is_whole and self._release_ended(sender, frozenset(message.held), now):
            return self._schedule(now)
        return []

    def done(self, message: Done, now: float) -> list[Effect]:
        """Release a granted request that has ended, learn from it, and grant freed capacity."""
        granted = self.running.get(message.request)
        if granted is None:
            return self._done_without_grant(message, now)
        state = granted.state
        load = state.mean_load(granted, now)
        state.set_slowdown(granted, message, now)
        evidence = observe_request(granted, message, load)
        self._release(granted, now)
        self.ended.add(message.request, None, now)
        actual = float(message.prompt_tokens + message.output_tokens)
        self.queue.charge(granted.ticket, actual - granted.cost)
        if self.is_wide and state.token_s <= self.chooser.fast_token_s:
            self.fast_completions.add(now)
        before = (state.consecutive_faults, state.detector.is_slow)
        if message.fault in FAULTS_WITH_RESPONSE and not message.cancelled:
            state.last_answer_at = now
        has_failed = message.fault in FAULTS_AFTER_ACCEPT or is_unanswered(granted, message)
        if self.is_wide and has_failed:
            self._record_failure(state, now)
        elif message.fault:
            state.record_fault(now)
        elif not message.cancelled:
            if state.consecutive_faults >= FAULTS_TO_BLOCK:
                self._suspect_cold(state, now)
            state.consecutive_faults = 0
            state.failures.observe(False)
            is_reference = self._is_reference(message.version)
            learns_generation = is_reference or self.is_wide
            learn(granted, message, evidence, self.lengths, learns_generation, self.is_wide)
            if is_reference and self.reference is not None:
                learn_reference(self.reference, granted, message, load)
        if (state.consecutive_faults, state.detector.is_slow) != before:
            self._update_limits(state, now)
        if self.reference is not None:
            evidence = observe_request(granted, message, load, self.reference)
        return [evidence, *self._schedule(now)]

    def set_shares(self, shares: dict[str, float], now: float) -> list[Effect]:
        """Set the share of each route's traffic that each version may get; empty for any."""
        self.shares.set(shares, self.pool.move.previous if self.pool.move else "")
        return self._schedule(now)

    def set_pool(self, pool: Pool, now: float) -> list[Effect]:
        """Replace the settings of the pool."""
        self.pool = pool
        self.shares.set(self.shares.shares, pool.move.previous if pool.move else "")
        for state in self.states.values():
            self._update_limits(state, now)
        return self._schedule(now)

    def forget_entry(self, instance: str, now: float) -> list[Effect]:
        """Drop the waiting requests of an entry that died.

        Explanation
        ===========
        Its running requests go on at their endpoints, so they are counted until they would have
        ended.
        """
        for waiting in self.queue.of_entry(instance):
            self.queue.remove(waiting)
        for granted in self.running.values():
            if granted.ticket.entry == instance:
                granted.expires_at = min(granted.expires_at, granted.expected_end)
        return self._schedule(now)

    def tick(self, now: float) -> list[Effect]:
        """Drop lost grants, shed requests that are too late, and update limits and reserves."""
        self._refresh_cold(now)
        for state in list(self.blocked.values()):
            self._update_limits(state, now)
        if self.is_wide:
            self._update_silence(now)
        if now >= self.maintained_at + MAINTENANCE_PERIOD_S:
            self._maintain(now)
        return self._schedule(now)

    def _maintain(self, now: float) -> None:
        """Drop lost grants and update the state that is only refreshed periodically."""
        self.maintained_at = now
        if now >= self.expired_at + EXPIRY_PERIOD_S:
            self._expire(now)
        if any(state.accepts_work for state in self.states.values()):
            self.without_endpoint_since = None
        elif self.without_endpoint_since is None:
            self.without_endpoint_since = now
        self.latest_starts.update_speed(list(self.states.values()))
        if self.is_wide:
            self._update_all_failing(now)
            self._update_fast_threshold()
        self.latest_starts.compact(len(self.queue))
        self.ended.forget_old(now)
        self._update_demand(now)

    def _schedule(self, now: float) -> list[Effect]:
        """Grant what can be granted and shed what has to be shed.

        Explanation
        ===========
        After a dispatch that skipped many requests, scheduling is deferred for a short interval,
        longer after much work: one more message changes little, and examining all requests at each
        message would make the owner too slow to answer. When a quarter of the endpoints crashed
        beside a long queue, the leader lost its lease. The first message after the interval
        schedules what arrived in it; without such a message, `schedule_deferred` does.
        """
        if (
            self.is_wide
            and self.skipped_count > DEFER_ABOVE_SKIPPED
            and now < self.scheduled_at + self.schedule_pause_s
        ):
            self.is_deferred = True
            return []
        self.scheduled_at = now
        self.is_deferred = False
        self.skipped_count = 0
        before = self.chooser.comparison_count
        effects = self._schedule_now(now)
        examined = self.skipped_count + self.chooser.comparison_count - before
        self.schedule_pause_s = max(WIDE_SCHEDULE_INTERVAL_S, examined * WIDE_PAUSE_PER_PAIR_S)
        return effects

    def schedule_deferred(self, now: float) -> list[Effect]:
        """Run a deferred scheduling pass, unless a later message has done so."""
        return self._schedule(now) if self.is_deferred else []

    def _schedule_now(self, now: float) -> list[Effect]:
        if now >= self.demand_at + DEMAND_PERIOD_S:
            self._update_demand(now)
        waiting = self.queue.by_request
        if not waiting:
            return []
        late = self.queue.demote_late(now, self.sequence + 1)
        effects = self._shed_long_waits(late, now)
        effects += self._shed_past_deadline(now) if self.latest_starts.is_due(now) else []
        if self.without_endpoint_since is not None and self._is_without_endpoint(now):
            return effects + self._shed_all(NO_ENDPOINT, now)
        effects += self._dispatch(now)
        if now >= self.homes_checked_at + HOMES_CHECK_PERIOD_S:
            effects += self._shed_without_home(now)
        if len(waiting) > self.pool.max_waiting:
            effects += self._shed_excess(now)
        invariant(len(waiting) <= self.pool.max_waiting, QUEUE_OVER_LIMIT)
        return effects

    def _shed_without_home(self, now: float) -> list[Effect]:
        """Shed the requests that no endpoint in their home regions can take, lowest tier first.

        Explanation
        ===========
        Without any endpoint all requests wait for `NO_ENDPOINT_WAIT_S`, with or without homes.
        """
        self.homes_checked_at = now
        regions = {state.view.region for state in self.states.values() if state.accepts_work}
        if not regions:
            return []
        unserved = [
            waiting
            for waiting in self.queue.by_request.values()
            if waiting.ticket.home_regions
            and now - waiting.asked_at >= NO_HOME_WAIT_S
            and regions.isdisjoint(waiting.ticket.home_regions)
        ]
        unserved.sort(key=lambda waiting: -waiting.ticket.tier)
        effects: list[Effect] = []
        for waiting in unserved:
            self.grant_log.check_shed(waiting)
            effects.append(self._refuse(waiting, NO_HOME_ENDPOINT, now))
        return effects

    def _update_demand(self, now: float) -> None:
        self.demand_at = now
        waiting = (tier for tier in range(self.tiers) if self.queue.tiers[tier].count)
        self.top_tier = min(self.demand.top_tier(now), next(waiting, self.tiers))
        self.chooser.top_tier = self.top_tier
        if not self.is_wide:
            self.reserved = self.demand.reserved(self.local_slots, now)
        self.chooser.max_distance = (
            self.demand.max_distance(len(self.queue), self.local_slots)
            if self.local_slots
            else OTHER_REGION
        )

    def make_waiting(self, ticket: Ticket, sequence: int, now: float) -> WaitingRequest:
        """Return a request that waits from now on, with its expected output and its cost."""
        output = self.lengths.output_tokens(ticket.route, ticket.output_tokens)
        cost = ticket.prompt_tokens + output
        return WaitingRequest(ticket, cost, now + ticket.deadline_s, sequence, now, output)

    def _enqueue(self, ticket: Ticket, now: float) -> None:
        self._apply_notices(ticket, now)
        self.sequence += 1
        waiting = self.make_waiting(ticket, self.sequence, now)
        self.queue.add(waiting)
        self.newest_tier = ticket.tier
        self.demand.count_ask(ticket.tier, now)
        self.served.count_ask(ticket.tier, now)
        if ticket.tier < self.top_tier:
            # The reserved slots are recomputed at once when a more urgent tier appears.
            self.top_tier = self.chooser.top_tier = ticket.tier
            self.demand_at = -math.inf
        # The latest start as if the whole prompt were cached; the actual cached prefix is looked up
        # only once that time has passed.
        self.latest_starts.add(waiting, float(ticket.prompt_tokens) if ticket.prefixes else 0.0)

    def _most_cached(self, waiting: WaitingRequest, now: float) -> float:
        """Return the most prompt tokens that are probably cached at an endpoint."""
        if not waiting.ticket.prefixes:
            return 0.0
        return max(self.chooser.prefix_hits(waiting, now).values(), default=0)

    def _is_without_endpoint(self, now: float) -> bool:
        since = self.without_endpoint_since
        return since is not None and now - since >= NO_ENDPOINT_WAIT_S

    def _is_reference(self, version: str) -> bool:
        if self.is_wide:
            return version not in self.shares.limited
        return self.pool.move is None or version != self.pool.version
