"""Tests of calls to endpoints whose failure domains are evacuated while they wait or run."""

from __future__ import annotations

import asyncio
import unittest

import attrs

from mulberrygate.endpoints.roster import Registration
from mulberrygate.forward import codes
from mulberrygate.forward.explain import PlacementExplainer
from mulberrygate.forward.request import AnswerHead
from mulberrygate.forward.tests.support import Endpoint, Entry, stream, whole
from mulberrygate.sync.messages import ExplainPlacement

STEP_TIMEOUT_S = 20.0
SLOTS = 4


class TestEvacuatedEndpoints(unittest.IsolatedAsyncioTestCase):
    """One entry with an endpoint in each of the failure domains a and b."""

    async def start(self, pool="booking", **answers):
        """Start the entry and an endpoint for each failure domain that has an answer function."""
        self.entry = await Entry().start()
        self.addAsyncCleanup(self.entry.close)
        self.endpoints = {}
        for domain, answer in answers.items():
            endpoint = await Endpoint(f"e-{domain}", answer).start()
            self.addAsyncCleanup(endpoint.close)
            registration = attrs.evolve(endpoint.registration(pool), failure_domain=domain)
            self.entry.roster.record_report(registration, self.entry.timers.now())
            self.endpoints[domain] = endpoint
        self.number = 0
        self.entry.placement.refresh()

    def evacuate(self, *domains):
        """Evacuate exactly some failure domains, as an entry does that learns it."""
        self.number += 1
        evacuations = self.entry.placement.directory.evacuations
        evacuations.update(self.number, domains, (), True, self.entry.timers.now())
        self.entry.placement.refresh()
        self.entry.forwarder.refuse_evacuated()

    async def call(self, path="/read/1", identifier="id-1"):
        """Send a call and return the status, the code of a refusal and the body."""
        async with asyncio.timeout(STEP_TIMEOUT_S):
            async with self.entry.request(path, identifier=identifier) as answer:
                body = await answer.read()
                code = (await answer.json())["code"] if "json" in answer.content_type else 0
                return answer.status, code, body

    def counts(self):
        """Return the number of requests that each endpoint has received."""
        return {domain: len(endpoint.requests) for domain, endpoint in self.endpoints.items()}

    async def test_evacuation_between_grant_and_send(self):
        """Guards against a call that is sent on a grant from before the evacuation.

        A call with a grant may wait for its trial or for its stop limit.
        """
        await self.start(a=whole(), b=whole())
        gate = self.entry.forwarder.gate
        granted = []

        async def evacuate_first(call, _may_have_run):
            if not granted:
                self.evacuate(call.endpoint[-1])
            granted.append(call.endpoint)
            return True

        gate.may_send = evacuate_first
        self.assertEqual((await self.call())[0], 200)
        evacuated = granted[0][-1]
        self.assertEqual(self.counts()[evacuated], 0)
        self.assertEqual(sum(self.counts().values()), 1)
        scheduler = self.entry.placement.host.hosted["booking"].scheduler
        self.assertEqual(scheduler.running, {})
        self.assertEqual(self.entry.forwarder.metrics.value("grants_evacuated_total"), 1)

    async def test_explanation(self):
        """Guards against an explanation of a wait for a call that would be refused at once."""
        await self.start(a=whole())
        self.evacuate("a")
        explainer = PlacementExplainer(self.entry.forwarder, None)
        found = await explainer.explain(ExplainPlacement("a.example", "/read/1"))
        self.assertEqual(found.get("code"), codes.ENDPOINTS_EVACUATED.number, found)

    async def test_pause_of_the_other_endpoints(self):
        """Guards against a wait until the deadline since an evacuated endpoint wants no pause."""
        await self.start(a=whole(), b=whole())
        self.evacuate("a")
        notices, now = self.entry.forwarder.notices, self.entry.timers.now()
        paused = AnswerHead(503, is_turned_down=True, is_genuine=True, pause_s=60.0)
        notices.record("e-b", 1, "booking", paused, now)
        status, code, _ = await self.call()
        self.assertEqual((status, code), (503, codes.ENDPOINTS_PAUSED.number))
        self.assertLess(self.entry.timers.now() - now, 1.0)

    async def test_running_calls_end_in_peace(self):
        """Guards against an evacuation that breaks off the calls which run in the domain."""
        hold = asyncio.Event()

        async def answer(*arguments):
            await hold.wait()
            await whole()(*arguments)

        await self.start(a=answer)
        call = asyncio.create_task(self.call())
        await self.endpoints["a"].asked.wait()
        self.evacuate("a")
        hold.set()
        self.assertEqual((await call)[0], 200)

    async def test_waiting_calls_without_an_endpoint_left(self):
        """Guards against calls that wait for their timeout when nothing can serve them."""
        hold = asyncio.Event()

        async def answer(*arguments):
            await hold.wait()
            await whole()(*arguments)

        await self.start(a=answer)
        calls = [asyncio.create_task(self.call(identifier=f"id-{n}")) for n in range(2 * SLOTS + 4)]
        waiting = self.entry.forwarder.scheduler.waiting
        async with asyncio.timeout(STEP_TIMEOUT_S):
            while not waiting or not self.counts()["a"]:  # noqa: ASYNC110 (no event of its own)
                await asyncio.sleep(0.02)
        self.evacuate("a")
        done, _ = await asyncio.wait(calls, timeout=0.5)
        refused = {(task.result()[0], task.result()[1]) for task in done}
        self.assertEqual(refused, {(503, codes.ENDPOINTS_EVACUATED.number)})
        self.assertEqual(len(done) + self.counts()["a"], len(calls))
        hold.set()
        statuses = [(await call)[0] for call in calls]
        self.assertEqual(statuses.count(200), self.counts()["a"])

    async def test_retry_after_an_evacuation(self):
        """Guards against a retry that goes to a failure domain which is evacuated by then."""
        await self.start(b=whole(500))

        async def fail(*arguments):
            self.evacuate("b")
            await whole(500)(*arguments)

        self.endpoints["b"].answer = fail
        status, _, body = await self.call()
        # The endpoint's own answer is passed on, since no other endpoint may be asked.
        self.assertEqual((status, body), (500, b"done"))
        self.assertEqual(self.counts(), {"b": 1})

    async def test_resumed_stream_after_an_evacuation(self):
        """Guards against a stream that is resumed in a failure domain evacuated by then."""
        await self.start("care", b=stream(2, end=False), a=stream(2, first=3))
        self.evacuate("a")
        broken = self.endpoints["b"].answer

        async def break_off(*arguments):
            self.evacuate("b")
            await broken(*arguments)

        self.endpoints["b"].answer = break_off
        fields = self.entry.document
        fields["routes"][2]["resumable"] = True
        self.entry.put(fields)
        status, _, _ = await self.call("/stream/1")
        self.assertEqual(status, 200)
        self.assertEqual(self.counts(), {"a": 1, "b": 1})

    async def test_no_endpoint_left(self):
        """Guards against a wait or a wrong code when all endpoints of a pool are evacuated."""
        await self.start(a=whole())
        self.evacuate("a")
        status, code, _ = await self.call()
        self.assertEqual((status, code), (503, codes.ENDPOINTS_EVACUATED.number))
        self.evacuate()
        self.assertEqual((await self.call(identifier="id-2"))[0], 200)


class TestDirectory(unittest.IsolatedAsyncioTestCase):
    """Endpoints as the schedulers see them."""

    async def asyncSetUp(self):
        self.entry = await Entry().start()
        self.addAsyncCleanup(self.entry.close)
        self.directory = self.entry.placement.directory
        self.now = self.entry.timers.now()

    def add(self, name, domain, warmup_s=0.0):
        """Add an endpoint of the pool ``booking``."""
        registration = Registration(
            name, 1, 1, "booking", f"10.0.0.{len(self.entry.roster.rows)}:1", domain,
            warmup_s=warmup_s,
        )  # fmt: skip
        self.entry.roster.record_report(registration, self.now)

    def accepting(self):
        """Return the endpoints that accept work, of all that are listed."""
        views = self.directory.views("booking", self.now)
        return {view.endpoint: view.accepts_work for view in views}

    async def test_evacuated_endpoints_are_listed(self):
        """Guards against a scheduler that forgets what runs at an evacuated endpoint."""
        self.add("e1", "a")
        self.add("e2", "b")
        self.directory.evacuations.update(1, ("b",), (), True, self.now)
        self.assertEqual(self.accepting(), {"e1": True, "e2": False})

    async def test_grant_of_an_endpoint_that_is_not_known_here(self):
        """Guards against a send to an endpoint that only the owner of the pool knows yet."""
        self.directory.evacuations.update(1, ("b",), (), True, self.now)
        self.assertTrue(self.directory.is_evacuated("e9", "b"))
        self.assertFalse(self.directory.is_evacuated("e9", "a"))
        self.assertFalse(self.directory.is_evacuated("e9", ""))

    async def test_silent_endpoints_instead_of_evacuated_ones(self):
        """Guards against a pool without endpoints while some are silent and others evacuated."""
        self.add("e1", "a")
        self.add("e2", "b")
        self.directory.silent_endpoints = frozenset(["e1"])
        self.directory.evacuations.update(1, ("b",), (), True, self.now)
        self.assertEqual(self.accepting(), {"e1": True, "e2": False})

    async def test_cold_after_the_withdrawal(self):
        """Guards against endpoints that turned cold while they were evacuated and count as warm."""
        self.add("e1", "a", warmup_s=1.0)
        self.add("e2", "b")
        self.directory.pools = {"booking": ColdPool()}
        known = self.directory.evacuations
        known.update(1, ("b",), (), True, self.now)
        known.update(2, (), (("b", 9.0),), True, self.now)
        for later_s, expected in ((0.0, [1.0, 3.0]), (2.0, [0.0, 1.0]), (4.0, [0.0, 0.0])):
            views = self.directory.views("booking", self.now + later_s)
            self.assertEqual([round(view.cold_s, 6) for view in views], expected)


@attrs.frozen
class ColdPool:
    """Settings of a pool whose endpoints are cold for some seconds."""

    cold_start_s: float = 3.0
    kv_tokens: int = 0
    cold_rate: float = 0.0


if __name__ == "__main__":
    unittest.main()
