"""Orders to endpoints with fencing numbers: loads, role changes and drains.

Explanation
===========
Orders of two leaders must reach an endpoint in the sequence of their fencing numbers. An endpoint
that checks the number refuses an old order by itself. For an endpoint that ignores it, three rules
together prevent an old order from arriving late:

* a leader starts to send only while its lease lasts for at least `margin_s` more, by the monotonic
  clock, which it reads again directly before each send (`may_send`);
* an order expires at most `order_life_s` after it was sent: the transport then closes the
  connection, and the order carries its remaining life for the endpoint;
* after its election a new leader sends nothing to such endpoints for the longest lease of the old
  leader plus `order_life_s`.
"""

from __future__ import annotations

import enum
from collections import deque

import attrs
from transitions import Machine

from mulberrygate.core.codes import Code, register_code
from mulberrygate.core.effects import Effect
from mulberrygate.core.invariant import invariant
from mulberrygate.core.wire import message
from mulberrygate.endpoints.model import Announcement

ORDER_REPLACED = register_code(5310, "order_replaced", "A later order replaced this one.", 409)
ORDER_EXPIRED = register_code(
    5311, "order_expired", "The endpoint did not carry out the order in time.", 504
)
ORDER_REFUSED = register_code(5312, "order_refused", "The endpoint refused the order.", 409)
ENDPOINT_GONE = register_code(5313, "endpoint_gone", "The endpoint's lease has ended.", 409)
LEADERSHIP_LOST = register_code(5314, "leadership_lost", "The leader's lease has ended.", 503)

SENT_WITHOUT_LEASE = register_code(9510, "order_without_lease", "An order was sent without lease.")
SENT_TOO_EARLY = register_code(
    9511, "order_too_early", "An order was sent while one of an earlier leader may be in flight."
)
FENCE_NOT_NEWER = register_code(9512, "order_fence_fell", "A fencing number of orders fell.")


class OrderKind(enum.Enum):
    """Action that an order requests."""

    LOAD_VERSION = "load_version"
    LOAD_ADAPTER = "load_adapter"
    CHANGE_ROLE = "change_role"
    DRAIN = "drain"


LOADS = (OrderKind.LOAD_VERSION, OrderKind.LOAD_ADAPTER)


@message("control.order")
@attrs.frozen
class Order:
    """Order to an endpoint.

    Parameters
    ==========
    number : int
        Number of the order within the leader's term.
    kind : str
        Value of an `OrderKind`.
    target : str
        Version, adapter or role.
    fence : int
        Fencing number from the control log; 0 until the order is sent.
    life_s : float
        Seconds after which the endpoint and the transport drop an order that has not started.
    load_bytes : int
        Bytes to load from the weight store; 0 if the order is not a load.
    """

    number: int
    endpoint: str
    kind: str
    target: str
    fence: int = 0
    life_s: float = 0.0
    load_bytes: int = 0


@attrs.frozen
class SendOrder(Effect):
    """Send an order to an endpoint, at once and with a timeout of its `life_s`."""

    endpoint: str
    address: str
    order: Order


@attrs.frozen
class OrderEnded(Effect):
    """Report the end of an order; ``code`` is ``None`` if it was carried out."""

    order: Order
    code: Code | None
    detail: str = ""


@attrs.frozen
class OrderSettings:
    """Settings of the controller.

    Parameters
    ==========
    lease_s : float
        Longest lease that a leader of the control group can hold.
    order_life_s : float
        Longest life of an order in flight.
    margin_s : float
        Remaining lease below which nothing is sent.
    retry_s : float
        Seconds without an answer after which an order is sent again.
    completion_timeout_s : float
        Seconds after the first send after which an order is given up; loads get their load time
        in addition.
    store_bytes_per_s : float
        Bandwidth of the weight store in bytes per second.
    max_loads : int
        Largest number of loads that run at the same time.
    """

    lease_s: float = 3.0
    order_life_s: float = 2.0
    margin_s: float = 0.5
    retry_s: float = 3.0
    completion_timeout_s: float = 120.0
    store_bytes_per_s: float = 1e9
    max_loads: int = 4


STATES = ["waiting", "sent", "accepted", "done", "failed"]
TRANSITIONS = [
    {"trigger": "send", "source": ["waiting", "sent"], "dest": "sent"},
    {"trigger": "accept", "source": ["sent", "accepted"], "dest": "accepted"},
    {"trigger": "complete", "source": ["sent", "accepted"], "dest": "done"},
    {"trigger": "fail", "source": ["waiting", "sent", "accepted"], "dest": "failed"},
]


class OrderTrack:
    """One order and its state: waiting, sent, accepted, then done or failed.

    Explanation
    ===========
    The state machine adds the methods ``send``, ``accept``, ``complete`` and ``fail``; each returns
    whether the present state allows the transition.
    """

    def __init__(self, order: Order, now: float):
        self.order = order
        self.sent_at = now
        self.give_up_at = float("inf")
        self.machine = Machine(
            model=self,
            states=STATES,
            transitions=TRANSITIONS,
            initial="waiting",
            auto_transitions=False,
            ignore_invalid_triggers=True,
        )


class LoadPacer:
    """Limits how fast loads start, by the bandwidth of the weight store.

    Explanation
    ===========
    A load counts as running until it ends, and the next one starts only after the store has had
    time to deliver the bytes of the earlier ones. Otherwise many endpoints would load at a fraction
    of the bandwidth and all time out.
    """

    def __init__(self, settings: OrderSettings):
        self.settings = settings
        self.free_at = 0.0
        self.running: set[int] = set()

    def may_start(self, now: float) -> bool:
        """Return whether another load may start."""
        return now >= self.free_at and len(self.running) < self.settings.max_loads

    def start(self, order: Order, now: float) -> None:
        """Record the start of a load."""
        self.running.add(order.number)
        self.free_at = max(now, self.free_at) + order.load_bytes / self.settings.store_bytes_per_s

    def end(self, order: Order) -> None:
        """Record the end of a load."""
        self.running.discard(order.number)


class OrderController:
    """Sends the orders of the control group's leader and tracks their state.

    Explanation
    ===========
    An endpoint has at most one open (sent) order; a later one waits, and replaces an earlier one
    that is still waiting. All orders end with the leadership; the next leader requests those that
    are still needed.

    Parameters
    ==========
    settings : OrderSettings
    """

    def __init__(self, settings: OrderSettings | None = None):
        self.settings = settings or OrderSettings()
        self.pacer = LoadPacer(self.settings)
        self.fence = 0
        self.unfenced_sends_from = float("inf")
        self.lease_until = -float("inf")
        self.last_number = 0
        self.endpoints: dict[str, Announcement] = {}
        self.open: dict[str, OrderTrack] = {}
        self.waiting: deque[OrderTrack] = deque()

    def start_leading(self, fence: int, lease_until: float, now: float) -> None:
        """Start to send orders with a fencing number that was taken from the log in this term.

        Parameters
        ==========
        fence : int
            Value of the `TakeFence` result.
        lease_until : float
            End of the own lease on the monotonic clock.
        now : float
            Time of this leader's election or later, on the monotonic clock.
        """
        invariant(fence > self.fence, FENCE_NOT_NEWER, f"{self.fence} to {fence}")
        self.fence = fence
        self.lease_until = lease_until
        self.unfenced_sends_from = now + self.settings.lease_s + self.settings.order_life_s

    def renew_lease(self, lease_until: float) -> None:
        """Extend the lease; an earlier end than the present one changes nothing."""
        self.lease_until = max(self.lease_until, lease_until)

    def stop_leading(self) -> list[Effect]:
        """Stop sending; all orders fail with `LEADERSHIP_LOST`."""
        self.lease_until = -float("inf")
        self.unfenced_sends_from = float("inf")
        tracks = [*self.open.values(), *self.waiting]
        self.open, self.waiting = {}, deque()
        self.pacer = LoadPacer(self.settings)
        return [self._fail(track, LEADERSHIP_LOST) for track in tracks]

    def update_endpoint(self, announcement: Announcement) -> None:
        """Record the latest announcement of an endpoint."""
        self.endpoints[announcement.endpoint] = announcement

    def remove_endpoint(self, endpoint: str) -> list[Effect]:
        """Remove an endpoint whose lease has ended; its orders fail with `ENDPOINT_GONE`."""
        self.endpoints.pop(endpoint, None)
        tracks = [track for track in self.waiting if track.order.endpoint == endpoint]
        self.waiting = deque(t for t in self.waiting if t.order.endpoint != endpoint)
        if endpoint in self.open:
            tracks.append(self.open.pop(endpoint))
        return [self._fail(track, ENDPOINT_GONE) for track in tracks]

    def request(
        self, endpoint: str, kind: OrderKind, target: str, now: float, load_bytes: int = 0
    ) -> list[Effect]:
        """Queue an order; do nothing if the endpoint's last order is the same and has not ended."""
        current = self.open.get(endpoint)
        waiting = [track for track in self.waiting if track.order.endpoint == endpoint]
        last = waiting[-1] if waiting else current
        if last and (last.order.kind, last.order.target) == (kind.value, target):
            return []
        self.last_number += 1
        order = Order(self.last_number, endpoint, kind.value, target, load_bytes=load_bytes)
        self.waiting = deque(track for track in self.waiting if track not in waiting)
        self.waiting.append(OrderTrack(order, now))
        return [self._fail(track, ORDER_REPLACED) for track in waiting]

    def tick(self, now: float) -> list[Effect]:
        """Send the orders that may be sent, and give up those that are overdue."""
        effects = self._expire(now)
        for track in self.open.values():
            if track.state == "sent" and now >= track.sent_at + self.settings.retry_s:
                effects += self._send(track, now)
        kept: deque[OrderTrack] = deque()
        for track in self.waiting:
            sent = [] if track.order.endpoint in self.open else self._send(track, now)
            effects += sent
            if not sent:
                kept.append(track)
        self.waiting = kept
        return effects

    def handle_answer(self, order: Order, accepted: bool, now: float) -> list[Effect]:
        """Handle an endpoint's answer: it accepts the order or refuses it."""
        track = self._open_track(order)
        if track is None:
            return []
        if accepted:
            track.accept()
            return []
        self._close(track)
        return [self._fail(track, ORDER_REFUSED)]

    def handle_completion(self, order: Order) -> list[Effect]:
        """Handle the report that an endpoint has carried out an order."""
        track = self._open_track(order)
        if track is None or not track.complete():
            return []
        self._close(track)
        return [OrderEnded(track.order, None)]

    def may_send(self, effect: SendOrder, now: float) -> bool:
        """Return whether an order may still be sent.

        Explanation
        ===========
        Call this with a fresh reading of the monotonic clock directly before the bytes are written,
        since the process may have been paused after `tick`.
        """
        is_current = effect.order.fence == self.fence
        return is_current and self._may_send_to(self.endpoints.get(effect.endpoint), now)

    def _may_send_to(self, announcement: Announcement | None, now: float) -> bool:
        if announcement is None or now + self.settings.margin_s > self.lease_until:
            return False
        return announcement.checks_fence or now >= self.unfenced_sends_from

    def _send(self, track: OrderTrack, now: float) -> list[Effect]:
        order = track.order
        announcement = self.endpoints.get(order.endpoint)
        if not self._may_send_to(announcement, now):
            return []
        is_load = OrderKind(order.kind) in LOADS
        if is_load and track.state == "waiting":
            if not self.pacer.may_start(now):
                return []
            self.pacer.start(order, now)
        self._check_send(announcement, now)
        if track.state == "waiting":
            load_s = order.load_bytes / self.settings.store_bytes_per_s * self.settings.max_loads
            track.give_up_at = now + self.settings.completion_timeout_s + load_s
        track.send()
        track.sent_at = now
        track.order = attrs.evolve(order, fence=self.fence, life_s=self.settings.order_life_s)
        self.open[order.endpoint] = track
        return [SendOrder(order.endpoint, announcement.address, track.order)]

    def _check_send(self, announcement: Announcement, now: float) -> None:
        rest = self.lease_until - now
        invariant(rest >= self.settings.margin_s, SENT_WITHOUT_LEASE, f"lease left: {rest:.3f} s")
        invariant(
            announcement.checks_fence or now >= self.unfenced_sends_from,
            SENT_TOO_EARLY,
            f"{announcement.endpoint}: {self.unfenced_sends_from - now:.3f} s too early",
        )

    def _expire(self, now: float) -> list[Effect]:
        overdue = [track for track in self.open.values() if now >= track.give_up_at]
        for track in overdue:
            self._close(track)
        return [self._fail(track, ORDER_EXPIRED) for track in overdue]

    def _open_track(self, order: Order) -> OrderTrack | None:
        track = self.open.get(order.endpoint)
        return track if track and track.order.number == order.number else None

    def _close(self, track: OrderTrack) -> None:
        self.open.pop(track.order.endpoint, None)
        self.pacer.end(track.order)

    def _fail(self, track: OrderTrack, code: Code) -> OrderEnded:
        track.fail()
        self.pacer.end(track.order)
        return OrderEnded(track.order, code)
