"""Sends orders to endpoints while this voter leads the control group."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
import attrs

from mulberrygate.agreement import AgreementService
from mulberrygate.control.commands import CommandResult, TakeFence
from mulberrygate.control.decoded import DecodedConfiguration
from mulberrygate.control.loading import EndpointRow, EndpointsAnswer, EndpointsQuery, plan_loads
from mulberrygate.control.orders import OrderController, OrderEnded, OrderKind, SendOrder
from mulberrygate.core.effects import Effect
from mulberrygate.core.http_client import open_session
from mulberrygate.core.timers import TimerService
from mulberrygate.endpoints.model import Announcement
from mulberrygate.members.view import MembershipView
from mulberrygate.observe.events import EventRing
from mulberrygate.observe.logs import logger
from mulberrygate.peers.client import PeerClient
from mulberrygate.schedule.messages import pool_subject

log = logger("orders")

# Interval of querying the endpoints of pools with declared loads. Six failure domains with 100
# endpoints each answer with about 6 KB, so that the leader stays within 8 KB/s.
ENDPOINT_QUERY_INTERVAL_S = 5.0
QUERY_TIMEOUT_S = 2.0
Propose = Callable[[Any], Awaitable[Any]]


class OrderSender:
    """Order endpoints to load versions, under a fencing number from the control log.

    Explanation
    ===========
    The fencing number is taken once in each term. The controller decides when an order may be sent;
    directly before it is written to the connection the lease is checked again on a fresh reading of
    the clock.
    """

    def __init__(
        self,
        instance: str,
        service: AgreementService,
        propose: Propose,
        peers: PeerClient,
        view: Callable[[], MembershipView],
        in_force: DecodedConfiguration,
        timers: TimerService,
        events: EventRing,
    ):
        self.instance = instance
        self.service = service
        self.propose = propose
        self.peers = peers
        self.view = view
        self.in_force = in_force
        self.timers = timers
        self.events = events
        self.controller = OrderController()
        self.fenced_term = 0
        self.queried_at = float("-inf")
        self.rows: dict[str, EndpointRow] = {}

    async def tick(self) -> None:
        """Plan loads and send due orders, as the leader; to be called a few times a second."""
        now = self.timers.now()
        if now + self.controller.settings.margin_s > self.service.lease_until:
            return
        if not any(pool.load for pool in self.in_force.pools.values()):
            return
        if not await self._take_fence():
            return
        self.controller.renew_lease(self.service.lease_until)
        if now >= self.queried_at + ENDPOINT_QUERY_INTERVAL_S:
            self.queried_at = now
            await self._request_loads()
        self._run_effects(self.controller.tick(self.timers.now()))

    def stop_leading(self) -> None:
        """End all orders, since this voter no longer leads."""
        self._run_effects(self.controller.stop_leading())
        self.rows.clear()

    async def _take_fence(self) -> bool:
        term = self.service.term
        if self.fenced_term == term:
            return True
        elected_at = self.timers.now()
        result = await self.propose(TakeFence(self.instance, term))
        if not isinstance(result, CommandResult) or result.code:
            return False
        self.fenced_term = term
        self.controller.start_leading(result.value, self.service.lease_until, elected_at)
        self.events.add("orders.fence", f"number {result.value}", instance=self.instance)
        return True

    async def _request_loads(self) -> None:
        """Query the endpoints of pools with declared loads and request the planned loads."""
        found: dict[str, EndpointRow] = {}
        for name, pool in self.in_force.pools.items():
            if pool.load is None:
                continue
            rows = await self._query_endpoints(name)
            found.update({row.endpoint: row for row in rows})
            for row in rows:
                self._update_endpoint(name, row)
            for load in plan_loads(pool, self.in_force.moves.get(name), rows):
                effects = self.controller.request(
                    load.endpoint,
                    OrderKind.LOAD_VERSION,
                    load.version,
                    self.timers.now(),
                    pool.load.weight_bytes,
                )
                self._run_effects(effects)
        for endpoint in self.rows.keys() - found.keys():
            self._run_effects(self.controller.remove_endpoint(endpoint))
        self.rows = found

    async def _query_endpoints(self, pool: str) -> list[EndpointRow]:
        view = self.view()
        owners = {view.owner(domain, pool_subject(pool)) for domain in view.domains}
        answers = await asyncio.gather(
            *(self.peers.call(o, EndpointsQuery(pool), QUERY_TIMEOUT_S) for o in sorted(owners))
        )
        return [row for a in answers if isinstance(a, EndpointsAnswer) for row in a.rows]

    def _update_endpoint(self, pool: str, row: EndpointRow) -> None:
        """Pass an endpoint's state to the controller, and complete the order that it fulfils."""
        self.controller.update_endpoint(
            Announcement(
                endpoint=row.endpoint,
                incarnation=row.incarnation,
                sequence=0,
                address=row.address,
                pool=pool,
                failure_domain="",
                region="",
                version=row.version,
                checks_fence=row.checks_fence,
            )
        )
        track = self.controller.open.get(row.endpoint)
        if track is not None and track.order.target == row.version:
            self._run_effects(self.controller.handle_completion(track.order))

    def _run_effects(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SendOrder):
                self.timers.spawn(self._send(effect))
            elif isinstance(effect, OrderEnded):
                order = effect.order
                outcome = str(effect.code) if effect.code else "carried out"
                self.events.add(
                    "orders.ended",
                    f"{order.kind} {order.target}: {outcome}",
                    endpoint=order.endpoint,
                )

    async def _send(self, effect: SendOrder) -> None:
        order = effect.order
        timeout = aiohttp.ClientTimeout(total=self.controller.settings.order_life_s)
        async with open_session(timeout=timeout) as session:
            # The process may have been paused since the controller decided.
            if not self.controller.may_send(effect, self.timers.now()):
                return
            self.events.add(
                "orders.sent",
                f"{order.kind} {order.target}, number {order.fence}",
                endpoint=order.endpoint,
            )
            try:
                url = f"http://{effect.address}/orders"
                async with session.post(url, json=order_body(effect)) as answer:
                    accepted = answer.status < 300
            except (TimeoutError, aiohttp.ClientError, OSError) as error:
                log.warning(
                    "An endpoint did not answer an order.",
                    endpoint=order.endpoint,
                    error=repr(error),
                )
                return
        self._run_effects(self.controller.handle_answer(order, accepted, self.timers.now()))


def order_body(effect: SendOrder) -> dict[str, Any]:
    """Return the JSON body of an order."""
    order = effect.order
    values = attrs.asdict(order)
    return {
        "action": order.kind,
        "version": order.target,
        "number": values["number"],
        "fence": order.fence,
        "life_s": values["life_s"],
    }
