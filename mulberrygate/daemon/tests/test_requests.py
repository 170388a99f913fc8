"""Process tests of the request path under failures."""

import asyncio
import json
import unittest

import aiohttp

from mulberrygate.core.promises import NOT_RUN_STATUSES
from mulberrygate.daemon.tests.base import SystemTest
from mulberrygate.standin.engine import CRASH_MARK
from mulberrygate.standin.local import token_of, wait_for

LONG_ANSWER_TOKENS = 400


class ResendTest(SystemTest):
    """Requests that are sent again."""

    async def test_booking_sent_everywhere_at_once_runs_once(self):
        """Guards against a duplicate dispatch when all entries get one key at the same time."""
        entries = list(self.instances) * 3
        answers = await asyncio.gather(*(self.book(entry, "a/visit-1") for entry in entries))
        self.assertEqual(await self.bookings(), 1)
        self.assertEqual({status for status, _ in answers}, {200})
        self.assertEqual({answer["number"] for _, answer in answers}, {1})

    async def test_key_of_another_account_is_another_request(self):
        """Guards against an answer that goes to another client account with the same key."""
        await self.book("a1", "visit-2")
        status, _, _ = await self.system.call(
            "a1",
            "POST",
            "/services/booking/visits",
            token_of("salons"),
            {"Idempotency-Key": "visit-2"},
            {"salon": "Ngor"},
        )
        self.assertEqual(status, 200)
        self.assertEqual(await self.bookings(), 2)

    async def test_key_with_other_content_is_a_conflict(self):
        """Guards against the answer to one booking being given for another one."""
        await self.book("a1", "visit-3")
        status, answer = await self.book("a2", "visit-3", body={"salon": "Yoff"})
        self.assertEqual((status, answer["code"]), (409, 3001))
        self.assertEqual(await self.bookings(), 1)

    async def test_resend_attaches_to_running_stream_at_another_entry(self):
        """Guards against a second run of a model request whose caller lost its connection."""
        first = asyncio.ensure_future(self.complete("a1", tokens=LONG_ANSWER_TOKENS, key="case-1"))
        await wait_for(self.has_stream, "the request runs")
        status, answer = await self.complete("b2", tokens=LONG_ANSWER_TOKENS, key="case-1")
        self.assertEqual(status, 200)
        self.assertEqual((await first)[1]["choices"], answer["choices"])
        self.assertEqual((await self.engine_state())["runs"]["total"], 1)

    async def test_resend_after_the_entry_died_attaches(self):
        """Guards against a second run, or no answer, after the entry of a running request died."""
        first = asyncio.ensure_future(self.complete("a2", tokens=LONG_ANSWER_TOKENS, key="case-2"))
        await wait_for(self.has_stream, "the request runs")
        await self.system.kill("a2")
        with self.assertRaises(aiohttp.ClientError):
            await first
        status, answer = await self.complete("a1", tokens=LONG_ANSWER_TOKENS, key="case-2")
        self.assertEqual(status, 200, answer)
        self.assertEqual((status, answer["usage"]["completion_tokens"]), (200, LONG_ANSWER_TOKENS))
        self.assertEqual((await self.engine_state())["runs"]["total"], 1)

    async def test_stream_continues_after_the_last_event_that_the_caller_has(self):
        """Guards against repeated or missing tokens when a caller resumes its stream."""
        whole = await self.stream("a1", key="case-3")
        first_part = whole[: len(whole) // 2]
        last_id = first_part[-1].split(b"\n")[0].removeprefix(b"id: ").decode()
        rest = await self.stream("b1", key="case-3", **{"Last-Event-ID": last_id})
        self.assertEqual(first_part + rest, whole)

    async def stream(self, entry: str, key: str, **headers: str) -> list[bytes]:
        """Return the events of a streamed completion."""
        body = {"model": "write-up", "max_tokens": 30, "stream": True}
        body["messages"] = [{"role": "user", "content": "stream"}]
        headers["Idempotency-Key"] = key
        _, answer, _ = await self.system.call(
            entry, "POST", "/v1/chat/completions", token_of("field"), headers, body
        )
        return answer.split(b"\n\n")[:-1]


class GracePeriodTest(SystemTest):
    """A planned stop whose grace period ends while requests wait."""

    settings = {"stop_grace_s": 0.3}

    def pools(self):
        return {**super().pools(), "diagnosis": {"version": "v1", "engine_queue": 0}}

    def add_endpoints(self):
        self.system.add_endpoint(
            "engine", "engine-a", "diagnosis", "a", slots=1, decode_tokens_s=50
        )

    async def test_waiting_requests_are_refused_as_not_run(self):
        """Guards against closing the connections of requests that no engine has seen."""
        running = asyncio.ensure_future(self.complete("a1", tokens=300))
        await wait_for(self.has_stream, "the engine is busy")
        waiting = [asyncio.ensure_future(self.complete("a2", tokens=5)) for _ in range(3)]
        await asyncio.sleep(0.3)
        self.system.terminate("a2")
        answers = await asyncio.gather(*waiting)
        found = [(status, answer["code"], answer["outcome"]) for status, answer in answers]
        self.assertEqual(found, [(503, 1010, "not_run")] * 3)
        running.cancel()


class WaitingTest(SystemTest):
    """Requests that wait while an instance dies."""

    def pools(self):
        # Without a queue at the engine, what does not run waits in the scheduler.
        return {**super().pools(), "diagnosis": {"version": "v1", "engine_queue": 0}}

    def add_endpoints(self):
        self.system.add_endpoint(
            "engine", "engine-a", "diagnosis", "a", slots=1, decode_tokens_s=100
        )
        self.system.add_endpoint("service", "booking-a", "booking", "a")

    async def test_waiting_requests_survive_the_death_of_the_pool_scheduler(self):
        """Guards against waiting requests that are lost with the owner of their pool."""
        await self.complete("a1", tokens=1)
        await self.complete("a2", tokens=1)
        status = await self.system.json("a1", "/admin/status")
        pools = {n: s["pools"].get("diagnosis", {}) for n, s in status["instances"].items()}
        owner = next(n for n in ("a1", "a2") if pools[n].get("owner"))
        other = "a2" if owner == "a1" else "a1"
        requests = [asyncio.ensure_future(self.complete(other, tokens=40)) for _ in range(8)]
        await wait_for(self.has_stream, "the first request runs")
        await self.system.kill(owner)
        answers = await asyncio.gather(*requests)
        self.assertEqual([status for status, _ in answers], [200] * 8, answers)
        self.assertEqual((await self.engine_state())["runs"]["total"], 10)

    async def test_claim_of_a_waiting_request_is_taken_over_when_its_entry_died(self):
        """Guards against a key that stays blocked by a request that never ran."""
        running = asyncio.ensure_future(self.complete("a1", tokens=300))
        await wait_for(self.has_stream, "the engine is busy")
        waiting = asyncio.ensure_future(self.complete("b1", tokens=5, key="case-4"))
        await asyncio.sleep(0.3)
        await self.system.kill("b1")
        with self.assertRaises(aiohttp.ClientError):
            await waiting
        status, answer = await self.complete("a2", tokens=5, key="case-4")
        self.assertEqual(status, 200, answer)
        await running

    async def test_graceful_stop_cuts_off_no_request(self):
        """Guards against a planned stop that cuts running or waiting requests off."""
        requests = [asyncio.ensure_future(self.complete("a2", tokens=60)) for _ in range(4)]
        await wait_for(self.has_stream, "the first request runs")
        await asyncio.sleep(0.3)
        self.system.terminate("a2")
        await wait_for(self.is_not_ready, "readiness falls")
        answers = await asyncio.gather(*requests)
        self.assertEqual([status for status, _ in answers], [200] * 4)
        self.assertEqual(await self.system.wait_ended("a2"), 0)

    async def is_not_ready(self) -> bool:
        """Return whether the stopping instance reports that it is not ready."""
        return not await self.system.is_ready("a2")

    async def test_waiting_request_of_a_gone_caller_does_not_run(self):
        """Guards against running requests whose callers disconnected while they waited."""
        running = asyncio.ensure_future(self.complete("a1", tokens=100))
        await wait_for(self.has_stream, "the engine is busy")
        waiting = asyncio.ensure_future(self.complete("a1", tokens=5))
        await asyncio.sleep(0.3)
        waiting.cancel()
        await running
        status, _ = await self.complete("a1", tokens=1)
        self.assertEqual(status, 200)
        self.assertEqual((await self.engine_state())["runs"]["total"], 2)


class EndpointTest(SystemTest):
    """Endpoints that leave, die, go silent or crash."""

    def add_endpoints(self):
        self.system.add_endpoint("engine", "engine-a", "diagnosis", "a", decode_tokens_s=100)
        self.system.add_endpoint("engine", "engine-b", "diagnosis", "b", decode_tokens_s=100)
        self.system.add_endpoint("service", "booking-a", "booking", "a")

    async def test_silent_connection_is_resumed_over_a_new_one(self):
        """Guards against an answer that never ends because its connection went silent."""
        request = asyncio.ensure_future(self.complete("a1", tokens=150))
        await wait_for(self.has_stream, "the request runs")
        await self.set_behaviour("engine-a", silence_connections=True)
        status, answer = await request
        self.assertEqual((status, answer["usage"]["completion_tokens"]), (200, 150))
        self.assertEqual((await self.engine_state())["runs"]["total"], 1)

    async def test_answer_cut_by_a_dead_engine_is_an_explicit_error(self):
        """Guards against a truncated answer that is returned as complete."""
        request = asyncio.ensure_future(self.complete("a1", tokens=LONG_ANSWER_TOKENS))
        await wait_for(self.has_stream, "the request runs")
        await self.system.kill("engine-a")
        status, answer = await request
        self.assertEqual((status, answer["code"], answer["outcome"]), (502, 6101, "unknown"))

    async def test_leaving_endpoint_gets_no_new_work(self):
        """Guards against new work for an endpoint a few seconds after it said that it leaves."""
        await self.wait_known_elsewhere()
        await self.set_behaviour("engine-a", is_leaving=True)

        async def is_closed() -> bool:
            states = (await self.system.json("a1", "/admin/status"))["instances"]
            return not any(
                e["accepts_work"]
                for s in states.values()
                for e in s["endpoints"]
                if e["endpoint"] == "engine-a"
            )

        await wait_for(is_closed, "no entry sends work to the leaving endpoint")
        before = (await self.engine_state())["runs"].get("total", 0)
        answers = await asyncio.gather(*(self.complete(e, tokens=2) for e in ("a1", "a2", "b1")))
        self.assertEqual([status for status, _ in answers], [200] * 3, answers)
        self.assertEqual((await self.engine_state())["runs"].get("total", 0), before)

    async def wait_known_elsewhere(self) -> None:
        """Wait until the pool's owner in domain a knows the engine of domain b."""

        async def is_known() -> bool:
            states = (await self.system.json("a1", "/admin/status"))["instances"]
            seen = [e for n in ("a1", "a2") for e in states[n]["endpoints"] if e["accepts_work"]]
            return any(e["endpoint"] == "engine-b" for e in seen)

        await wait_for(is_known, "domain a knows the engine of domain b")

    async def test_disconnected_caller_cancels_its_stream(self):
        """Guards against an engine that goes on generating for a disconnected caller."""
        request = asyncio.ensure_future(self.complete("a1", tokens=4000))
        await wait_for(self.has_stream, "the request runs")
        request.cancel()

        async def is_cancelled() -> bool:
            return all((await self.engine_state())["streams"].values())

        await wait_for(is_cancelled, "the engine cancelled the stream")

    async def test_read_that_was_sent_is_not_refused_as_not_run(self):
        """Guards against "not run" after attempts that reached an endpoint."""
        await self.set_behaviour("booking-a", fail_every=1, fail_status=503)
        status, answer, _ = await self.system.call(
            "a1", "GET", "/services/booking/stock", token_of("field")
        )
        self.assertGreater(await self.count_runs(), 1)
        self.assertEqual(status, 502)
        self.assertEqual(json.loads(answer)["outcome"], "unknown", answer)

    async def test_status_of_a_service_is_no_promise(self):
        """A booking that a service had run was answered 408, 421, 429 or 503, also as a replay."""
        for status in sorted(NOT_RUN_STATUSES):
            await self.set_behaviour("booking-a", fail_every=1, fail_status=status)
            for entry, runs in (("a1", 1), ("a1", 0), ("a2", 0)):
                with self.subTest(status=status, entry=entry, runs=runs):
                    before = await self.count_runs()
                    code, answer = await self.book(entry, f"visit-{status}")
                    self.assertEqual((code, answer["outcome"]), (502, "unknown"), answer)
                    self.assertEqual(answer["title"], "ambiguous_answer")
                    self.assertEqual(await self.count_runs() - before, runs)

    async def count_runs(self) -> int:
        """Return how many calls the plain service has run."""
        return (await self.system.json("booking-a", "/standin"))["runs"].get("total", 0)

    async def test_refused_connection_goes_to_another_endpoint(self):
        """Guards against an error for a request of which no byte was sent."""
        await self.system.kill("engine-a")
        status, _ = await self.complete("a1", tokens=2, text="first after the death")
        self.assertEqual(status, 200)

    async def test_crashing_content_is_refused_and_others_are_not(self):
        """Guards against content that crashes endpoint after endpoint under new keys."""
        codes = []
        for number in range(10):
            for engine in ("engine-a", "engine-b"):
                self.system.start_endpoint(engine)
            await self.system.wait_endpoints("a1", "engine-a")
            await self.system.wait_endpoints("b1", "engine-b")
            ordinary = asyncio.ensure_future(self.complete("a1", "ordinary question", 30))
            status, answer = await self.complete("a1", CRASH_MARK, key=f"crash-{number}")
            codes.append(answer.get("code"))
            await ordinary
            if status == 422:
                self.assertEqual(answer["outcome"], "not_run")
                break
        self.assertEqual(codes[-1], 1007, codes)
        await self.system.wait_endpoints("a1", "engine-a")
        status, _ = await self.complete("a1", "ordinary question", 2)
        self.assertEqual(status, 200)


if __name__ == "__main__":
    unittest.main()
