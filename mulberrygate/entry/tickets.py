"""Client of the schedulers: waits for grants and reports progress to the owners of pools."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

import attrs

from mulberrygate.core.codes import code_by_number
from mulberrygate.core.outcome import Refusal
from mulberrygate.core.timers import TimerService
from mulberrygate.entry.codes import DEADLINE_PASSED, STOPPING
from mulberrygate.members.view import MembershipView
from mulberrygate.observe.logs import logger
from mulberrygate.peers.client import PeerClient, Unreachable
from mulberrygate.schedule.messages import (
    Ask,
    Done,
    Grant,
    NotHosted,
    Present,
    Progress,
    Refuse,
    Running,
    Ticket,
    Withdraw,
    pool_subject,
)
from mulberrygate.schedule.slowdown import is_urgent

log = logger("entry")

# Interval at which waiting requests are asked for again, in case a message was lost.
REPEAT_S = 1.0
ASK_TIMEOUT_S = 0.5
# Interval of the reports of received tokens, by which the owner sees which requests advance.
PROGRESS_S = 1.0
# An owner that did not answer is not asked for this time; membership names another one within a few
# seconds.
OWNER_AVOIDANCE_S = 2.0
# An owner gets progress reports for this time after the entry's last request there has ended.
PROGRESS_LINGER_S = 10.0
STOPPING_RETRY_S = 1.0
# Bounds the endpoints whose figures are remembered.
MAX_SLOWDOWNS = 2000


class WaitEnded(Exception):
    """A request can't wait for a grant any longer, for the reason that the refusal states."""

    def __init__(self, refusal: Refusal):
        super().__init__(str(refusal.code))
        self.refusal = refusal


@attrs.define(eq=False)
class WaitingTicket:
    """Ticket that waits for a grant, with the owner that was asked.

    Parameters
    ==========
    owner : str
        Instance that is asked at present.
    since : float
        Monotonic time at which the wait began.
    asked : set[str]
        Instances that may have the ticket queued. An owner ignores a ticket that was withdrawn from
        it, so tickets are withdrawn only after the wait: the pool may return to an earlier owner.
    """

    ticket: Ticket
    deadline_at: float
    answer: asyncio.Future
    owner: str
    since: float = 0.0
    asked: set[str] = attrs.field(factory=set)

    def updated_ticket(self, now: float) -> Ticket:
        """Return the ticket with its deadlines reduced by the time waited."""
        ticket = self.ticket.aged(now - self.since)
        return attrs.evolve(ticket, deadline_s=max(0.0, self.deadline_at - now))

    def is_granted(self, endpoint: str) -> bool:
        """Return whether the answer is a grant of this endpoint."""
        if not self.answer.done() or self.answer.cancelled() or self.answer.exception():
            return False
        answer = self.answer.result()
        return isinstance(answer, Grant) and answer.endpoint == endpoint


@attrs.define(eq=False)
class GrantedRequest:
    """Granted request that has not ended yet.

    Parameters
    ==========
    granted_by, owner : str
        Instance that made the grant, and the one that owns the pool now. Both count the request,
        so its end is reported to both.
    emitted, reported : int
        Tokens received so far, and the number last reported to the owner.
    first_at, last_at : float
        Monotonic time of the first and the last tokens.
    first_tokens : int
        Number of tokens that arrived together first.
    slowdown : float
        Time that work takes relative to the usual time, as the endpoint has stated.
    slowdown_at : float
        Monotonic time of that statement, infinitely long ago without one.
    """

    ticket: Ticket
    grant: Grant
    granted_by: str
    owner: str
    emitted: int = 0
    reported: int = 0
    first_at: float = 0.0
    last_at: float = 0.0
    first_tokens: int = 1
    slowdown: float = 1.0
    slowdown_at: float = -math.inf

    def as_running(self, now: float) -> Running:
        """Return the description of the request for a new owner."""
        emitting_s = self.last_at - self.first_at
        grant = self.grant
        return Running(
            self.ticket,
            grant.endpoint,
            grant.version,
            self.emitted,
            emitting_s,
            self.first_tokens,
            self.slowdown,
            now - self.slowdown_at,
        )


class SchedulerClient:
    """Client that waits for grants from the owners of pools.

    Explanation
    ===========
    The owner of a pool is the live instance of this failure domain with the highest rendezvous
    weight. When it changes, all waiting and running requests are presented to the new one. An
    owner that does not answer is avoided for `OWNER_AVOIDANCE_S`; meanwhile its deputies are asked,
    if there are any. If none answers, the instance schedules its own requests from a small share of
    the endpoints' slots.

    Parameters
    ==========
    ask_timeout_s : float
        Seconds after which an owner counts as unreachable.
    progress_s : float
        Seconds between progress reports.
    owner_check_s : float
        Seconds between checks for a change of owner; with 0 it is checked only when requests are
        asked for again.

    Attributes
    ==========
    known_owners : dict
        Owner of each pool at the last check.
    avoided_until : dict
        Monotonic time until which an unreachable owner is avoided.
    """

    def __init__(
        self,
        instance: str,
        failure_domain: str,
        peers: PeerClient,
        view: Callable[[], MembershipView],
        timers: TimerService,
        ask_timeout_s: float = ASK_TIMEOUT_S,
        progress_s: float = PROGRESS_S,
        owner_check_s: float = 0.0,
    ):
        self.ask_timeout_s = ask_timeout_s
        self.instance = instance
        self.failure_domain = failure_domain
        self.peers = peers
        self.view = view
        self.timers = timers
        self.waiting: dict[str, WaitingTicket] = {}
        self.running: dict[str, GrantedRequest] = {}
        self.known_owners: dict[str, str] = {}
        self.avoided_until: dict[str, float] = {}
        # Owner and pool of recent requests, with the time at which a wait or a request last ended,
        # or at which a request was last seen running.
        self.active_at: dict[tuple[str, str], float] = {}
        # Last figure that each endpoint has stated, the one heard longest ago first.
        self.slowdowns: dict[str, float] = {}
        self.is_stopping = False
        peers.on(Grant, self.on_grant)
        peers.on(Refuse, self.on_refuse)
        timers.every(REPEAT_S, self.ask_again, "tickets.repeat")
        if owner_check_s:
            timers.every(owner_check_s, self.check_owners, "tickets.owners")
        timers.every(progress_s, self.report_progress, "tickets.progress")

    def owner(self, pool: str) -> str:
        """Return the instance that this entry asks for grants of a pool at present."""
        now = self.timers.now()
        for owner in self.view().owners(self.failure_domain, pool_subject(pool)):
            if self.avoided_until.get(owner, 0.0) <= now:
                return owner
        return self.instance

    def count_waiting(self, account: str) -> int:
        """Return how many requests of a client account wait here."""
        return sum(1 for waiting in self.waiting.values() if waiting.ticket.account == account)

    def running_endpoints(self) -> list[str]:
        """Return the endpoint of each request that was granted here and has not ended."""
        return [granted.grant.endpoint for granted in self.running.values()]

    def running_domains(self) -> list[str]:
        """Return the failure domain of each request that was granted here and has not ended."""
        return [granted.grant.failure_domain for granted in self.running.values()]

    async def acquire(
        self, ticket: Ticket, deadline_at: float, give_up_at: float = math.inf
    ) -> Grant | Refusal:
        """Wait for a grant until the deadline.

        Parameters
        ==========
        deadline_at : float
            Monotonic time after which the answer is of no use to the caller.
        give_up_at : float
            Monotonic time at which the wait ends even if the owner has not answered.
        """
        if self.is_stopping:
            return Refusal(STOPPING, retry_after_s=STOPPING_RETRY_S)
        loop = asyncio.get_running_loop()
        owner = self.owner(ticket.pool)
        now = self.timers.now()
        waiting = WaitingTicket(ticket, deadline_at, loop.create_future(), owner, now)
        self.waiting[ticket.request] = waiting
        # Without this, a change of owner before the first `ask_again` would go unnoticed.
        self.known_owners.setdefault(ticket.pool, waiting.owner)
        answer: Grant | Refuse | None = None
        try:
            self._ask(waiting)
            async with asyncio.timeout_at(min(deadline_at, give_up_at)):
                answer = await waiting.answer
        except TimeoutError:
            return Refusal(DEADLINE_PASSED, retry_after_s=1.0)
        except WaitEnded as ended:
            return ended.refusal
        finally:
            self.waiting.pop(ticket.request, None)
            self._withdraw(waiting, answer is not None)
        if isinstance(answer, Refuse):
            code = code_by_number(answer.code)
            return Refusal(code, answer.detail, retry_after_s=answer.retry_after_s)
        self.running[ticket.request] = GrantedRequest(ticket, answer, waiting.owner, waiting.owner)
        return answer

    def end_waits(self) -> None:
        """Refuse all requests that wait, and later ones, since this process stops."""
        self.is_stopping = True
        for waiting in self._unanswered():
            waiting.answer.set_exception(
                WaitEnded(Refusal(STOPPING, retry_after_s=STOPPING_RETRY_S))
            )

    def refuse_waiting(self, pool: str, refusal: Refusal) -> None:
        """Refuse the requests that wait for grants of a pool, and withdraw them from its owner."""
        for waiting in self._unanswered():
            if waiting.ticket.pool == pool:
                waiting.answer.set_exception(WaitEnded(refusal))

    def _withdraw(self, waiting: WaitingTicket, is_taken: bool) -> None:
        """Withdraw the ticket from all instances except the owner whose answer was used.

        Explanation
        ===========
        An answer that arrives just as the caller disconnects is not used. Without a withdrawal, its
        grant would occupy a slot until it expires.
        """
        holders = waiting.asked | {waiting.owner}
        for owner in holders:
            self._record_active(owner, waiting.ticket.pool)
        if is_taken:
            holders.discard(waiting.owner)
        for owner in holders:
            self.peers.send(owner, Withdraw(waiting.ticket.pool, waiting.ticket.request))

    def _record_active(self, owner: str, pool: str) -> None:
        """Record that an owner may count requests of this entry, so that reports go to it."""
        self.active_at[owner, pool] = self.timers.now()

    def _ask(self, waiting: WaitingTicket) -> None:
        waiting.asked.add(waiting.owner)
        ticket = waiting.updated_ticket(self.timers.now())
        self.timers.spawn(self._ask_owner(waiting, ticket))

    async def _ask_owner(self, waiting: WaitingTicket, ticket: Ticket) -> None:
        owner = waiting.owner
        answer = await self.peers.call(owner, Ask(ticket), self.ask_timeout_s)
        if not isinstance(answer, Unreachable | NotHosted) or owner == self.instance:
            return
        self.avoided_until[owner] = self.timers.now() + OWNER_AVOIDANCE_S
        log.warning("A pool's owner does not answer.", owner=owner, pool=ticket.pool)
        if ticket.request in self.waiting and not waiting.answer.done():
            waiting.owner = self.owner(ticket.pool)
            self._ask(waiting)

    def on_grant(self, grant: Grant, sender: str) -> None:
        """Deliver a grant to its waiting request, or withdraw a grant that no request waits for."""
        waiting = self.waiting.get(grant.request)
        if waiting is not None and not waiting.answer.done():
            waiting.owner = sender
            waiting.answer.set_result(grant)
            return
        if waiting is not None and waiting.is_granted(grant.endpoint) and waiting.owner == sender:
            # Duplicate of the grant that the waiting request has not picked up yet.
            return
        dispatched = self.running.get(grant.request)
        if dispatched is None or dispatched.grant.endpoint != grant.endpoint:
            self.peers.send(sender, Withdraw(grant.pool, grant.request))

    def on_refuse(self, refuse: Refuse, sender: str) -> None:
        """Deliver a refusal by the current owner; ignore one by another instance."""
        waiting = self.waiting.get(refuse.request)
        if waiting is not None and not waiting.answer.done() and waiting.owner == sender:
            waiting.answer.set_result(refuse)

    def granted_by(self, request: str) -> str:
        """Return the instance that granted a running request, empty if it is not running."""
        dispatched = self.running.get(request)
        return dispatched.granted_by if dispatched is not None else ""

    def record_emitted(self, request: str, tokens: int) -> None:
        """Record the number of tokens received so far."""
        dispatched = self.running.get(request)
        if dispatched is None:
            return
        dispatched.last_at = self.timers.now()
        if not dispatched.first_at:
            dispatched.first_at = dispatched.last_at
            dispatched.first_tokens = tokens
        dispatched.emitted = tokens

    def report_slowdown(self, request: str, slowdown: float) -> None:
        """Record what the endpoint of a request states, and report a changed figure at once.

        Explanation
        ===========
        The figure is worth a fraction of a second, so it doesn't wait for the next progress
        report. One that hasn't changed is reported at the end of the request.
        """
        dispatched = self.running.get(request)
        if dispatched is None:
            return
        dispatched.slowdown, dispatched.slowdown_at = slowdown, self.timers.now()
        endpoint = dispatched.grant.endpoint
        known = self.slowdowns.pop(endpoint, 1.0)
        self.slowdowns[endpoint] = slowdown
        if len(self.slowdowns) > MAX_SLOWDOWNS:
            del self.slowdowns[next(iter(self.slowdowns))]
        if is_urgent(slowdown, known):
            slowdowns = {endpoint: slowdown}
            message = Progress(dispatched.ticket.pool, {}, slowdowns=slowdowns)
            self._send_to_owners(dispatched, message)

    def return_grant(self, request: str) -> None:
        """Return an unused grant to the owners."""
        dispatched = self.running.pop(request, None)
        if dispatched is not None:
            self._send_to_owners(dispatched, Withdraw(dispatched.ticket.pool, request))

    def report_done(self, done: Done) -> None:
        """Report that a granted request has ended."""
        dispatched = self.running.pop(done.request, None)
        if dispatched is not None:
            self._send_to_owners(dispatched, done)

    def _send_to_owners(
        self, dispatched: GrantedRequest, message: Done | Progress | Withdraw
    ) -> None:
        for owner in {dispatched.granted_by, dispatched.owner}:
            self._record_active(owner, dispatched.ticket.pool)
            self.peers.send(owner, message)

    def check_owners(self) -> None:
        """Present the requests of each pool to its new owner, if it changed, and ask that one."""
        pools = {w.ticket.pool for w in self.waiting.values()}
        pools |= {d.ticket.pool for d in self.running.values()}
        changed = set()
        for pool in pools:
            owner = self.owner(pool)
            if self.known_owners.get(pool, owner) != owner:
                self._present(pool, owner)
                changed.add(pool)
            self.known_owners[pool] = owner
        for waiting in self._unanswered():
            if waiting.ticket.pool in changed:
                waiting.owner = self.known_owners[waiting.ticket.pool]
                self._ask(waiting)

    def ask_again(self) -> None:
        """Ask the current owners again for requests that still wait."""
        self.check_owners()
        for waiting in self._unanswered():
            waiting.owner = self.known_owners[waiting.ticket.pool]
            self._ask(waiting)

    def _unanswered(self) -> list[WaitingTicket]:
        """Return the waiting tickets without an answer; an answered one keeps its owner."""
        return [w for w in self.waiting.values() if not w.answer.done()]

    def _present(self, pool: str, owner: str) -> None:
        running = [d for d in self.running.values() if d.ticket.pool == pool]
        for dispatched in running:
            dispatched.owner = owner
        now = self.timers.now()
        waiting = tuple(w.updated_ticket(now) for w in self._unanswered() if w.ticket.pool == pool)
        presented = tuple(dispatched.as_running(now) for dispatched in running)
        log.info(
            "Presenting requests to a new owner.", pool=pool, owner=owner, waiting=len(waiting)
        )
        self.peers.send(owner, Present(pool, waiting, presented))

    def report_progress(self) -> None:
        """Send owners the received tokens and the list of requests, one message for each pool.

        Explanation
        ===========
        The end of a request is reported only once. If that message is lost, the owner learns from
        the list that the slot is free; so reports go on for `PROGRESS_LINGER_S` after the last
        request.
        """
        now = self.timers.now()
        for dispatched in self.running.values():
            for owner in {dispatched.granted_by, dispatched.owner}:
                self._record_active(owner, dispatched.ticket.pool)
        for key in [key for key, at in self.active_at.items() if now - at > PROGRESS_LINGER_S]:
            del self.active_at[key]
        for owner, pool in self.active_at:
            self.peers.send(owner, self._progress(owner, pool))

    def _progress(self, owner: str, pool: str) -> Progress:
        running = {
            request: dispatched
            for request, dispatched in self.running.items()
            if dispatched.ticket.pool == pool and owner in (dispatched.owner, dispatched.granted_by)
        }
        emitted = {}
        for request, dispatched in running.items():
            if dispatched.owner == owner and dispatched.emitted != dispatched.reported:
                dispatched.reported = dispatched.emitted
                emitted[request] = dispatched.emitted
        waiting = [r for r, waiting in self.waiting.items() if waiting.ticket.pool == pool]
        return Progress(pool, emitted, (*running, *waiting), True)
