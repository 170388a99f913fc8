"""Forwarding path: the steps of a request from its arrival to the final answer."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable, Sequence
from typing import Any

from aiohttp import web

from mulberrygate.catalog import CatalogIndex, ClientAccount, RetryPolicy
from mulberrygate.core.codes import Code
from mulberrygate.core.memory_budget import Holder
from mulberrygate.core.memory_gate import BodySlow, BodyTooLarge, MemoryGate, MemoryShort
from mulberrygate.core.outcome import Refusal
from mulberrygate.core.paced_response import send_if_long, write_stream
from mulberrygate.core.timers import TimerService
from mulberrygate.endpoints.roster import Row
from mulberrygate.entry.tickets import SchedulerClient
from mulberrygate.forward import codes
from mulberrygate.forward.crash_detection import CrashDetector
from mulberrygate.forward.delivery import Delivery
from mulberrygate.forward.dialer import Dialer
from mulberrygate.forward.exchange import EndpointClient
from mulberrygate.forward.hedging import Hedging
from mulberrygate.forward.homes import HomeRegions
from mulberrygate.forward.limits import AccountLimits
from mulberrygate.forward.notices import EndpointNotices
from mulberrygate.forward.paths import Paths
from mulberrygate.forward.prior_wait import PriorWaitEstimator
from mulberrygate.forward.quarantine_gate import QuarantineGate
from mulberrygate.forward.request import Call, Dialect, Refused
from mulberrygate.forward.stopping import StopLimits
from mulberrygate.forward.suspects import Standing, Suspects
from mulberrygate.observe.jsonlines import JsonLines, rounded_age
from mulberrygate.observe.metrics import Metrics
from mulberrygate.quota import RetryBudget
from mulberrygate.schedule.messages import Grant, Ticket
from mulberrygate.sync.trials import TrialClient

# Longest wait for the first catalog, in seconds and as a fraction of the caller's timeout.
NO_CATALOG_WAIT_S = 1.5
NO_CATALOG_WAIT_FRACTION = 0.5
NO_CATALOG_RETRY_S = 0.5
# A catalog counts as current for this time. A control process is polled twice a second, and hears
# from its leader eight times a second.
CATALOG_CURRENT_S = 1.5
UNCERTAIN_RETRY_S = 0.5
# Other entries can take the call at once; the pause only keeps callers from returning together.
STOPPING_RETRY_S = 0.1
# A withdrawal is in force at all entries within a round trip to a control process.
EVACUATED_RETRY_S = 1.0
MEMORY_RETRY_S = 1.0
# Fraction of the caller's timeout that a stream may wait for an endpoint; the rest is for its run.
ENDPOINT_WAIT_FRACTION = 0.8
REFUSAL_GRACE_S = 0.1
# Fraction of the caller's timeout that a request may wait for units of its account.
SHAPING_FRACTION = 0.25


class Forwarder:
    """Handler that forwards callers' requests to endpoints and returns their answers.

    Explanation
    ===========
    The steps are `choose_route`, `authenticate`, `HomeRegions.refuse`, `read_body`,
    `QuarantineGate.check` and `spend_units`. Then a `Delivery` waits for a grant, sends the request
    and relays the answer, and retries where the kind of the request allows it.

    Parameters
    ==========
    dialect : Dialect
        Protocol of callers and endpoints.
    placement : Placement
        Pools in force and the endpoints of the roster; see `mulberrygate.daemon.placement`.
    seed : int or None
        Seed of the random choices.
    hedging : Hedging or None
        Decides about second copies of slow requests, ``None`` to send none.
    memory : MemoryGate or None
        Memory budget of the process.

    Attributes
    ==========
    catalog_current_at : float
        Same as ``current_at`` of `mulberrygate.sync.follower.Follower`.
    entries : int
        Number of entries that share the retry budgets.
    active : int
        Requests that are being answered.
    list_relays : Callable[[], Sequence[str]]
        Returns the entries through which endpoints may be reached.
    gate : QuarantineGate
        Holds back calls that may crash endpoints. The gate of the memory budget is ``memory``.
    homes : HomeRegions
        Check of calls and grants against home regions.
    """

    def __init__(
        self,
        site,
        dialect: Dialect,
        placement: Any,
        scheduler: SchedulerClient,
        limits: AccountLimits,
        suspects: Suspects,
        trials: TrialClient,
        timers: TimerService,
        lines: JsonLines,
        metrics: Metrics,
        seed: int | None = None,
        hedging: Hedging | None = None,
        memory: MemoryGate | None = None,
    ):
        self.hedging = hedging
        self.memory = memory or MemoryGate(site.limits.memory_bytes)
        self.site = site
        self.dialect = dialect
        self.placement = placement
        self.scheduler = scheduler
        self.limits = limits
        self.suspects = suspects
        self.timers = timers
        self.lines = lines
        self.metrics = metrics
        roster = placement.directory.roster
        self.paths = Paths(site.instance, random.Random(seed))
        self.list_relays: Callable[[], Sequence[str]] = tuple
        self.dialer = Dialer(
            self.paths,
            lambda: self.list_relays(),
            site.tunnel_port,
            timers.now,
            self._log_way,
        )
        self.endpoints = EndpointClient(dialect, self.dialer, self.memory)
        metrics.gauge("endpoints_reached_through_entries", self.paths.count_relayed)
        self.notices = EndpointNotices(roster, random.Random(seed))
        metrics.gauge("endpoints_leaving", self.notices.count_leaving)
        metrics.gauge("endpoints_rate_limited", self.notices.count_rate_limited)
        metrics.gauge("endpoints_paused", lambda: self.notices.count_paused(timers.now()))
        self.homes = HomeRegions(placement.directory)
        self.crash_detector = CrashDetector(
            roster, self.endpoints, suspects, self.notices, timers, lines
        )
        self.gate = QuarantineGate(
            suspects, trials, self.crash_detector.monitor.sends, timers, lines
        )
        self.index: CatalogIndex | None = None
        self.has_index = asyncio.Event()
        self.retry_budgets: dict[str, RetryBudget] = {}
        self.entries = 1
        self.prior_waits = PriorWaitEstimator()
        self.catalog_current_at = -math.inf
        self.is_closing = False
        self.stop_limits = StopLimits()
        self.active = 0
        self.idle = asyncio.Event()

    def _log_way(self, address: str, relay: str) -> None:
        """Log that an endpoint is reached on another way than before."""
        self.metrics.count("endpoint_way_changes_total")
        self.lines.log("endpoint.way", address=address, through=relay)

    def set_index(self, index: CatalogIndex) -> None:
        """Put a catalog in force for requests that arrive from now on."""
        self.index = index
        self.has_index.set()
        self.placement.set_pools(index.pools)
        if self.hedging is not None:
            routes = {route.name for route in index.catalog.routes}
            self.hedging.retain(routes, set(index.pools))

    def set_entries(self, entries: int) -> None:
        """Set the number of entries that share the retry budgets."""
        self.entries = entries
        for budget in self.retry_budgets.values():
            budget.set_entries(entries)

    def retry_budget(self, pool: str) -> RetryBudget:
        """Return the retry budget of a pool."""
        found = self.retry_budgets.get(pool)
        if found is None:
            bounds = self.site.bounds
            found = RetryBudget(bounds.retry_ratio, bounds.retry_slack, self.entries)
            self.retry_budgets[pool] = found
        return found

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request and return its response."""
        self.active += 1
        call = Call(self.dialect.call_head(request), request.headers, self.timers.now())
        try:
            response = await self._respond(call, request)
            # A stream that began before the stop has told its caller that the connection is kept.
            # The next request on it is answered and closes it.
            if self.is_closing and not response.prepared:
                response.force_close()
            await send_if_long(response, request, call.answer_holder)
            return response
        finally:
            self._release_memory(call)
            self.active -= 1
            if not self.active:
                self.idle.set()

    async def _respond(self, call: Call, request: web.BaseRequest) -> web.StreamResponse:
        try:
            return await self._answer(call, request)
        except asyncio.CancelledError:
            self._log_request(call, "request.left", 0)
            raise
        except Exception as error:
            self.lines.log("request.failed", id=call.head.request, error=repr(error))
            return self.refuse(call, Refused(codes.PATH_FAILED))

    def _release_memory(self, call: Call) -> None:
        """Give back the memory that a call holds."""
        if call.known_fingerprint:
            # Checks of endpoints may keep the call for some time, and need no more than this.
            call.body = b""
        if call.body_holder is not None:
            self.memory.budget.bodies.release(call.body_holder)
        for holder in (call.answer_holder, call.copy_holder):
            if holder is not None:
                self.memory.budget.answers.release(holder)

    async def write_events(
        self, call: Call, request: web.BaseRequest, response: web.StreamResponse, events: bytes
    ) -> None:
        """Write events of a stream; a caller that doesn't keep up holds memory meanwhile."""
        await write_stream(self.memory, call.answer_holder, request, response, events)

    async def _answer(self, call: Call, request: web.BaseRequest) -> web.StreamResponse:
        try:
            async with self.stop_limits.before_send() as limit:
                refused = await self._admit(call, request)
        except TimeoutError:
            if not limit.expired():
                raise
            refused = self.refuse_stopping()
        if refused is not None:
            return self.refuse(call, refused)
        delivery = Delivery(self, call, request)
        response = await delivery.run()
        if isinstance(response, Refused):
            if not delivery.attempts.may_have_run:
                self.limits.refund(call.account, call.spent)
            return self.refuse(call, response)
        return response

    async def _admit(self, call: Call, request: web.BaseRequest) -> Refused | None:
        """Run the steps before scheduling; return the refusal, if any."""
        if call.head.fault:
            return Refused(codes.UNREADABLE_HEAD, call.head.fault)
        index = self.index or await self.wait_for_catalog(call)
        if index is None:
            return Refused(codes.NO_CATALOG, retry_after_s=NO_CATALOG_RETRY_S)
        refused = (
            self.choose_route(call, index)
            or self.authenticate(call, index)
            or self.homes.refuse(call, index)
        )
        if refused is None:
            refused = await self.read_body(call, request, index)
        if refused is None:
            refused = await self.gate.check(call)
        if refused is None:
            refused = await self.spend_units(call, index)
        return refused

    async def wait_for_catalog(self, call: Call) -> CatalogIndex | None:
        """Wait for the first catalog; return ``None`` after a timeout.

        Explanation
        ===========
        This covers a restart of the whole system: the catalog arrives within a second, and a caller
        that is told to retry may not do so in time.
        """
        timeout_s = call.head.timeout_s or NO_CATALOG_WAIT_S
        try:
            async with asyncio.timeout(
                min(NO_CATALOG_WAIT_S, NO_CATALOG_WAIT_FRACTION * timeout_s)
            ):
                await self.has_index.wait()
        except TimeoutError:
            return None
        return self.index

    def choose_route(self, call: Call, index: CatalogIndex) -> Refused | None:
        """Find the route and the pool."""
        route = index.route(call.head.host, call.head.path)
        if route is None:
            return self.refuse_unknown(codes.NO_ROUTE, call.head.host)
        call.route = route
        call.pool = index.pools[index.choose_pool(route, call.head.request)]
        call.tier = index.tier(route, None)
        timeout_s = route.timeout_s
        if call.head.timeout_s is not None:
            timeout_s = min(timeout_s, call.head.timeout_s)
        call.deadline_at = call.received_at + timeout_s
        return None

    def authenticate(self, call: Call, index: CatalogIndex) -> Refused | None:
        """Find the client account."""
        if not index.needs_keys:
            return None
        account = index.account(call.head.key) if call.head.key else None
        if account is None:
            return None if call.route.is_anonymous else self.refuse_unknown(codes.UNKNOWN_KEY)
        call.account = account.name
        call.tier = index.tier(call.route, account)
        return None

    def refuse_stopping(self) -> Refused:
        """Return the refusal of a call that was not sent before this entry stops."""
        return Refused(codes.STOPPING, retry_after_s=STOPPING_RETRY_S)

    def refuse_unknown(self, code: Code, detail: str = "") -> Refused:
        """Return the refusal for a route or key that the catalog in force doesn't have.

        Explanation
        ===========
        Callers don't retry after such a refusal, so it must be correct. An entry that has not
        recently confirmed that its catalog is the newest asks them to retry instead.
        """
        if self.timers.now() - self.catalog_current_at > CATALOG_CURRENT_S:
            return Refused(codes.CATALOG_UNCERTAIN, str(code), UNCERTAIN_RETRY_S)
        return Refused(code, detail)

    async def read_body(
        self, call: Call, request: web.BaseRequest, index: CatalogIndex
    ) -> Refused | None:
        """Read the whole body, up to the limit."""
        limit = index.catalog.limits.max_body_bytes
        group = call.account or request.remote or ""
        call.body_holder, call.answer_holder = Holder(group), Holder(group)
        try:
            call.body = await self.memory.read_body(request, limit, call.body_holder)
        except BodyTooLarge:
            return Refused(codes.BODY_TOO_LARGE)
        except BodySlow:
            return Refused(codes.BODY_SLOW)
        except MemoryShort:
            return Refused(codes.MEMORY_SHORT, retry_after_s=MEMORY_RETRY_S)
        return None

    async def spend_units(self, call: Call, index: CatalogIndex) -> Refused | None:
        """Spend the request's units of its client account; return the refusal, if any."""
        account = index.accounts.get(call.account)
        if account is None or account.rate <= 0:
            return None
        call.units = self.count_units(call, account)
        max_wait_s = SHAPING_FRACTION * (call.deadline_at - call.received_at)
        return await self.limits.spend(account, call.units, max_wait_s, call.spent)

    @staticmethod
    def count_units(call: Call, account: ClientAccount) -> float:
        """Return the units of an account's limit that a request takes."""
        if not account.counts_tokens:
            return 1.0
        return call.head.prompt_tokens + call.head.output_tokens or account.default_tokens

    def make_ticket(
        self, call: Call, number: int, earlier_sends: int, avoid: tuple[str, ...]
    ) -> Ticket:
        """Return the ticket with which a request waits for a grant.

        Parameters
        ==========
        number : int
            Number of the ticket, which makes its identifier unique.
        """
        head, pool, route = call.head, call.pool, call.route
        waited_s = self.timers.now() - call.received_at
        waited_before_s = self.prior_waits.estimate_s(route.name, head.timeout_s)
        is_stream = route.retry_policy is RetryPolicy.STREAM
        max_wait_s = math.inf
        if is_stream:
            # The caller's timeout may be shorter than the route's, as it is at a retry.
            max_wait_s = ENDPOINT_WAIT_FRACTION * min(
                route.event_timeout_s, call.deadline_at - call.received_at
            )
        output = head.expected_tokens or head.output_tokens
        if pool.is_engine and head.output_tokens:
            output = min(output, head.output_tokens)
        call.expected_tokens = output
        return Ticket(
            request=f"{head.request or id(call)}.{number}",
            entry=self.site.instance,
            pool=pool.name,
            route=route.name,
            account=call.account,
            weight=1.0,
            tier=call.tier,
            prompt_tokens=max(1, head.prompt_tokens) if pool.is_engine else 1,
            output_tokens=max(1, output) if pool.is_engine else 1,
            prefixes=(),
            deadline_s=max(0.001, call.deadline_at - self.timers.now()),
            idempotent=route.may_retry,
            attempt=earlier_sends,
            avoid=avoid,
            first_by_s=max(0.0, route.target_first_s - waited_before_s - waited_s),
            start_by_s=max(0.0, max_wait_s - waited_s),
            is_isolated=self.suspects.find(call).standing is not Standing.CLEAR,
            notices=self.notices.for_ticket(pool.name, self.timers.now()),
            home_regions=tuple(sorted(call.home_regions or ())),
            failure_domain=self.site.failure_domain,
            region=self.site.region,
        )

    async def acquire_grant(self, call: Call, ticket: Ticket) -> Grant | Refusal:
        """Wait for a grant of an endpoint."""
        # The owner refuses a request that was not started in time; this limit applies if that
        # refusal is lost.
        give_up_at = self.timers.now() + ticket.start_by_s + REFUSAL_GRACE_S
        outcome = await self.scheduler.acquire(ticket, call.deadline_at, give_up_at)
        if isinstance(outcome, Grant):
            call.endpoint = outcome.endpoint
            call.granted_by = self.scheduler.granted_by(ticket.request)
            if call.granted_after_s < 0:
                call.granted_after_s = self.timers.now() - call.received_at
        return outcome

    def may_use(self, grant: Grant) -> bool:
        """Return whether a call may be sent on a grant now."""
        if self.placement.directory.is_evacuated(grant.endpoint, grant.failure_domain):
            self.metrics.count("grants_evacuated_total")
            return False
        return self.notices.may_use(grant, self.timers.now())

    def may_get(self, call: Call, row: Row) -> bool:
        """Return whether an endpoint is at home and not evacuated, so that it may get a call."""
        is_evacuated = self.placement.directory.is_row_evacuated(row)
        return not is_evacuated and self.homes.is_home(call, row)

    def evacuated_refusal(self) -> Refusal:
        """Return the refusal of a call to a pool without endpoints outside evacuated domains."""
        return Refusal(codes.ENDPOINTS_EVACUATED, retry_after_s=EVACUATED_RETRY_S)

    def refuse_evacuated(self) -> None:
        """Refuse the waiting calls to pools all of whose endpoints are evacuated."""
        for pool in self.index.pools if self.index is not None else ():
            if self.placement.directory.is_pool_evacuated(pool):
                self.scheduler.refuse_waiting(pool, self.evacuated_refusal())

    def refuse(self, call: Call, refused: Refused) -> web.Response:
        """Log a refusal and return the response for it."""
        code = refused.code
        self.metrics.count("forward_refused_total", code=str(code.number))
        detail = refused.detail
        self._log_request(call, "request.refused", code.http_status, code=str(code), detail=detail)
        headers = self.dialect.refusal_headers(call, refused)
        response = web.json_response(
            {
                "code": code.number,
                "title": code.name,
                "outcome": refused.execution.value,
                "detail": refused.detail or code.meaning,
            },
            status=code.http_status,
            headers=headers,
        )
        if code in (codes.MEMORY_SHORT, codes.BODY_SLOW):
            # The rest of the body is still on its way.
            response.force_close()
        return response

    def record_answer(self, call: Call, status: int, fault: str = "") -> None:
        """Record the end of a request that was answered by an endpoint, in metrics and log."""
        self.metrics.count("forward_answers_total", route=call.route.name, status=str(status))
        total_s = self.timers.now() - call.received_at
        self.metrics.observe("forward_seconds", total_s, kind=call.route.retry_policy.value)
        self._log_request(call, "request.answered", status, fault=fault)

    def _log_request(self, call: Call, event: str, status: int, **fields: Any) -> None:
        now = self.timers.now()
        if call.hedge:
            fields["hedge"] = call.hedge
        self.lines.log(
            event,
            id=call.head.request,
            status=status,
            route=call.route.name if call.route else "",
            pool=call.pool.name if call.pool else "",
            tier=call.tier,
            account=call.account,
            parts=",".join(call.head.shared_parts),
            units=call.units,
            patience_s=call.head.timeout_s,
            catalog=self.index.version if self.index else -1,
            catalog_age_s=rounded_age(now - self.catalog_current_at),
            endpoint=call.endpoint,
            granted_by=call.granted_by,
            sends=call.sends,
            expected_tokens=call.expected_tokens,
            tokens=call.tokens,
            granted_s=round(call.granted_after_s, 4),
            first_s=round(call.first_after_s, 4),
            pause_s=round(call.longest_pause_s, 4),
            total_s=round(now - call.received_at, 4),
            **fields,
        )

    def begin_stop(self, send_until: float, answer_until: float) -> None:
        """Close kept connections with their next answers, and limit the calls in progress.

        Parameters
        ==========
        send_until, answer_until : float
            As in `mulberrygate.forward.stopping.StopLimits`.
        """
        self.is_closing = True
        self.stop_limits.begin(send_until, answer_until)

    async def wait_idle(self, timeout_s: float) -> None:
        """Wait until no request is being answered, up to a timeout."""
        try:
            async with asyncio.timeout(max(0.0, timeout_s)):
                while self.active:
                    self.idle.clear()
                    await self.idle.wait()
        except TimeoutError:
            self.lines.log("process.unfinished", active=self.active)

    async def close(self) -> None:
        """Close the connections to endpoints."""
        await self.endpoints.close()
