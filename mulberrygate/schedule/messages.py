"""Messages between entries and the owner of a pool's scheduler."""

from __future__ import annotations

import math

import attrs

from mulberrygate.core.wire import message

# Prompt tokens covered by each further hash of `Ticket.prefixes`.
PREFIX_TOKENS = 256


def pool_subject(pool: str) -> str:
    """Return the subject of the rendezvous hash that names the owner of a pool's scheduler."""
    return f"pool/{pool}"


@attrs.frozen
class EndpointNotice:
    """What an endpoint has said of itself in an answer to an entry.

    Parameters
    ==========
    incarnation : int
        Incarnation that has said it; it doesn't apply to later ones.
    is_leaving : bool
        Whether it leaves and takes no new work.
    pause_s : float
        Seconds from the moment the message is sent for which it wants no request of the entry.
    age_s : float
        Seconds from the answer to the moment the message is sent.
    rate : float
        Requests a second that it takes from all instances, infinite without a limit.
    rate_age_s : float
        Seconds from the answer that named this rate or none, infinite if nothing is known of it.
    """

    endpoint: str
    incarnation: int
    is_leaving: bool = False
    age_s: float = 0.0
    pause_s: float = 0.0
    rate: float = math.inf
    rate_age_s: float = math.inf

    def is_barred(self, waited_s: float) -> bool:
        """Return whether the endpoint may get no request of the entry some seconds later."""
        return self.is_leaving or waited_s < self.pause_s

    def aged(self, seconds: float) -> EndpointNotice:
        """Return the notice as it is to be sent some seconds later."""
        pause_s = max(0.0, self.pause_s - seconds)
        return attrs.evolve(
            self,
            age_s=self.age_s + seconds,
            pause_s=pause_s,
            rate_age_s=self.rate_age_s + seconds,
        )


@attrs.frozen
class Ticket:
    """Request that waits for an endpoint.

    Parameters
    ==========
    request : str
        Identifier of the attempt, unique in the system.
    entry : str
        Instance that the caller is connected to.
    weight : float
        Weight of the client account in fair sharing.
    tier : int
        0 is the most urgent.
    prompt_tokens, output_tokens : int
        Estimates in tokens; 1 each for plain services.
    prefixes : tuple[str, ...]
        Hashes of the prompt's prefixes, shortest first, one for each `PREFIX_TOKENS` tokens.
    deadline_s : float
        Seconds from the moment the message is sent until the answer is of no more use.
    idempotent : bool
        Whether the request may be dispatched again after a failure.
    attempt : int
        Number of earlier dispatches of the request; over 0 only for idempotent ones.
    avoid : tuple[str, ...]
        Endpoints that failed earlier dispatches, and known ones to which the entry may not send the
        request or its copy. One of them is used if there is no other, except for a copy.
    first_by_s : float
        Seconds from the moment the message is sent within which the first token is on time.
    start_by_s : float
        Seconds from the same moment after which the caller stops waiting for the first token.
    is_isolated : bool
        Whether it may crash its endpoint, and so goes where the fewest others run.
    notices : tuple[EndpointNotice, ...]
        What endpoints of the pool have said to the entry.
    home_regions : tuple[str, ...]
        Regions whose endpoints may get the request, none for any.
    is_spare : bool
        Whether it is for a second copy of a request that runs at the last endpoint of ``avoid``. It
        is granted at once from room to spare or refused; see `mulberrygate.schedule.spare`. An
        owner of an earlier release queues it, and the entry withdraws it.
    failure_domain, region : str
        Location of the entry, empty from entries of earlier releases.
    """

    request: str
    entry: str
    pool: str
    route: str
    account: str
    weight: float
    tier: int
    prompt_tokens: int
    output_tokens: int
    prefixes: tuple[str, ...]
    deadline_s: float
    idempotent: bool = False
    attempt: int = 0
    avoid: tuple[str, ...] = ()
    first_by_s: float = math.inf
    start_by_s: float = math.inf
    is_isolated: bool = False
    notices: tuple[EndpointNotice, ...] = ()
    home_regions: tuple[str, ...] = ()
    is_spare: bool = False
    failure_domain: str = ""
    region: str = ""

    def may_run_in(self, region: str) -> bool:
        """Return whether the endpoints of a region may get the request."""
        return not self.home_regions or region in self.home_regions

    def may_use(self, endpoint: str, incarnation: int, waited_s: float) -> bool:
        """Return whether the request may go to an endpoint after what that has said.

        Parameters
        ==========
        waited_s : float
            Seconds since the ticket was sent.
        """
        return not any(
            notice.endpoint == endpoint
            and incarnation <= notice.incarnation
            and notice.is_barred(waited_s)
            for notice in self.notices
        )

    def aged(self, seconds: float) -> Ticket:
        """Return the ticket as it is to be sent some seconds later."""
        return attrs.evolve(
            self,
            deadline_s=max(0.0, self.deadline_s - seconds),
            first_by_s=max(0.0, self.first_by_s - seconds),
            start_by_s=max(0.0, self.start_by_s - seconds),
            notices=tuple(notice.aged(seconds) for notice in self.notices),
        )


@attrs.frozen
class Running:
    """Request that an entry has dispatched, as presented to a new owner.

    Parameters
    ==========
    emitting_s : float
        Seconds from its first tokens to its last ones, from which the owner learns the speed of the
        endpoint.
    first_tokens : int
        Tokens that came together with the first one.
    slowdown : float
        Time that work took relative to the usual time, as stated in the head of the answer.
    slowdown_age_s : float
        Seconds from the head to the moment the message is sent, infinite if it stated nothing.
    """

    ticket: Ticket
    endpoint: str
    version: str
    emitted_tokens: int
    emitting_s: float = 0.0
    first_tokens: int = 1
    slowdown: float = 1.0
    slowdown_age_s: float = math.inf


@message("schedule.ask")
@attrs.frozen
class Ask:
    """Entry to owner: a request waits for an endpoint. Repeating it changes nothing."""

    ticket: Ticket


@message("schedule.not_hosted")
@attrs.frozen
class NotHosted:
    """Answer to an `Ask`: the instance doesn't know the pool, so another one has to be asked."""

    pool: str


@message("schedule.withdraw")
@attrs.frozen
class Withdraw:
    """Entry to owner: the request does not wait any more or will not use its grant."""

    pool: str
    request: str


@message("schedule.progress")
@attrs.frozen
class Progress:
    """Entry to owner: tokens received so far of running requests, and what the entry holds.

    Parameters
    ==========
    held : tuple[str, ...]
        All requests of the pool that wait or run at the entry, if ``is_whole``.
    slowdowns : dict[str, float]
        Time that work takes relative to the usual time, by endpoint, as stated in an answer that
        the entry has just received.
    """

    pool: str
    emitted: dict[str, int]
    held: tuple[str, ...] = ()
    is_whole: bool = False
    slowdowns: dict[str, float] = attrs.field(factory=dict)


@message("schedule.done")
@attrs.frozen
class Done:
    """Entry to owner: a granted request has ended.

    Parameters
    ==========
    first_token_s, total_s : float
        Seconds from dispatch to the first token and to the end.
    fault : str
        Empty, or the kind of fault of the endpoint: ``refused``, ``error``, ``cut``, ``silent``.
        A cancellation by the caller is not a fault; see ``cancelled``.
    first_tokens : int
        Tokens that came together with the first one, when an event holds several.
    slowdown : float
        Time that work took relative to the usual time, as stated in the head of the answer.
    slowdown_age_s : float
        Seconds from the head to the moment the message is sent, infinite if it stated nothing.
    """

    pool: str
    request: str
    endpoint: str
    version: str
    route: str
    prompt_tokens: int
    output_tokens: int
    first_token_s: float
    total_s: float
    fault: str = ""
    cancelled: bool = False
    first_tokens: int = 1
    slowdown: float = 1.0
    slowdown_age_s: float = math.inf


@message("schedule.present")
@attrs.frozen
class Present:
    """Entry to a new owner: all its waiting and running requests of the pool."""

    pool: str
    waiting: tuple[Ticket, ...]
    running: tuple[Running, ...]


@message("schedule.grant")
@attrs.frozen
class Grant:
    """Owner to entry: dispatch the request to this endpoint.

    Parameters
    ==========
    incarnation : int
        Incarnation of the endpoint, 0 from owners of earlier releases.
    is_rate_limited : bool
        Whether the owner knows a limit of the endpoint, so that it has to hear when that is over.
    failure_domain : str
        Failure domain of the endpoint, empty from owners of earlier releases.
    """

    pool: str
    request: str
    endpoint: str
    address: str
    version: str
    region: str = ""
    incarnation: int = 0
    is_rate_limited: bool = False
    failure_domain: str = ""


@message("schedule.refuse")
@attrs.frozen
class Refuse:
    """Owner to entry: the request is shed.

    Parameters
    ==========
    code : int
        Number of a result code.
    detail : str
        State of the queue that explains the refusal, for the log.
    """

    pool: str
    request: str
    code: int
    retry_after_s: float
    detail: str = ""


@message("schedule.explain")
@attrs.frozen
class Explain:
    """Entry to owner: where would this request go now? Nothing is granted or queued."""

    ticket: Ticket


@message("schedule.explained")
@attrs.frozen
class Explained:
    """Owner to entry: answer to an `Explain`.

    Parameters
    ==========
    text : str
        JSON object for operators; its fields differ among releases.
    """

    pool: str
    text: str
