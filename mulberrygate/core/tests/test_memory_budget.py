"""Tests of the decisions on memory that callers make a process hold."""

import asyncio
import functools
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from mulberrygate.core import memory_gate
from mulberrygate.core.memory_budget import (
    LARGE_FRACTION,
    MOST_PASSED,
    PROGRESS_BYTES,
    SLOW_BYTES_PER_S,
    SLOW_S,
    SMALL_BYTES,
    STALL_S,
    Holder,
    MemoryBudget,
    MemoryPool,
    Verdict,
)
from mulberrygate.core.memory_gate import DEFAULT_MEMORY_BYTES, MemoryGate

MB = 1 << 20


class TestMemoryPool(unittest.TestCase):
    """Grants, waits, refusals and evictions of one pool."""

    def setUp(self):
        self.pool = MemoryPool(8 * MB)

    def ask(self, group, size):
        """Return a new holder that asked, and the verdict."""
        holder = Holder(group)
        return holder, self.pool.ask(holder, size)

    def test_single_holding_larger_than_the_pool(self):
        """Guards against a legal body that a small machine never serves."""
        self.assertIs(self.ask("b", 100)[1], Verdict.GRANTED)
        self.assertIs(self.ask("a", 20 * MB)[1], Verdict.GRANTED)
        self.assertIs(self.ask("a", 1 * MB)[1], Verdict.WAITS)

    def test_small_holdings_beside_large_ones(self):
        """Guards against ordinary requests that wait behind a crowd of large bodies."""
        self.ask("a", 6 * MB)
        self.assertIs(self.ask("a", 1 * MB)[1], Verdict.WAITS)
        self.assertIs(self.ask("b", SMALL_BYTES)[1], Verdict.GRANTED)

    def test_group_that_holds_least_comes_first(self):
        """Guards against one address that takes all turns."""
        first, _ = self.ask("a", 3 * MB)
        self.ask("a", 3 * MB)
        same, _ = self.ask("a", 2 * MB)
        other, _ = self.ask("b", 2 * MB)
        self.pool.release(first)
        self.assertEqual((same.size, other.size), (0, 2 * MB))

    def test_large_holding_gets_its_turn(self):
        """Guards against a large body that waits for ever while smaller ones pass it."""
        first, _ = self.ask("a", 4 * MB)
        large, _ = self.ask("b", 6 * MB)
        self.assertIs(self.ask("c", 1 * MB)[1], Verdict.WAITS)
        self.pool.release(first)
        self.assertEqual(large.size, 6 * MB)

    def test_number_that_waits_is_bounded(self):
        """Guards against waiting connections whose buffers take the memory."""
        self.ask("a", 6 * MB)
        verdicts = [self.ask("a", MB)[1] for _ in range(200)]
        self.assertIn(Verdict.REFUSED, verdicts)
        self.assertEqual(len(self.pool.waiting), verdicts.count(Verdict.WAITS))

    def fill(self):
        """Let a crowd take the large holdings and all places of those that wait."""
        holders = [self.ask("crowd", 4 * MB)[0]]
        while len(self.pool.waiting) < self.pool.most_waiting:
            holders.append(self.ask("crowd", 4 * MB)[0])
        return holders

    def test_place_for_a_group_that_takes_less(self):
        """Guards against a crowd that takes all places, so that a newcomer is refused at once."""
        crowd = self.fill()
        refused = []
        for holder in crowd:
            holder.on_refused = functools.partial(refused.append, holder)
        self.assertIs(self.ask("crowd", 4 * MB)[1], Verdict.REFUSED)
        other, verdict = self.ask("other", 128 << 10)
        self.assertIs(verdict, Verdict.WAITS)
        self.assertEqual((refused, crowd[-1].wanted), ([crowd[-1]], 0))
        self.assertEqual(len(self.pool.waiting), self.pool.most_waiting)
        self.pool.release(crowd[0])
        self.assertEqual(other.size, 128 << 10)

    def test_place_for_a_smaller_holding_of_the_same_group(self):
        """Guards against ordinary requests refused for the large ones of the same account."""
        crowd = self.fill()
        ordinary, verdict = self.ask("crowd", 128 << 10)
        self.assertIs(verdict, Verdict.WAITS)
        self.pool.release(crowd[0])
        self.assertEqual(ordinary.size, 128 << 10)

    def test_larger_holding_of_the_group_gets_its_turn(self):
        """Guards against a large body that waits for ever for smaller ones of its account."""
        first, _ = self.ask("a", 6 * MB)
        large, _ = self.ask("a", 5 * MB)
        small = [self.ask("a", MB)[0] for _ in range(MOST_PASSED + 2)]
        self.pool.release(first)
        for holder in small:
            if large.size:
                break
            self.pool.release(holder)
        self.assertEqual(large.size, 5 * MB)
        self.assertEqual(small[-1].size, 0)

    def test_slow_holder_goes_for_one_that_takes_less(self):
        """Guards against bodies that arrive just fast enough and keep the memory for minutes."""
        for group in ("crowd", "other"):
            with self.subTest(group):
                self.pool = MemoryPool(8 * MB)
                slow = self.fill()[0]
                slow.begin_paced(0.0)
                self.ask(group, 128 << 10)
                allowed_s = SLOW_S + slow.size / SLOW_BYTES_PER_S
                for second in range(int(allowed_s)):
                    slow.moved += PROGRESS_BYTES
                    self.assertEqual(self.pool.list_stalled(float(second)), [])
                slow.moved += PROGRESS_BYTES
                self.assertEqual(self.pool.list_stalled(allowed_s + 1), [slow])

    def test_slow_holder_stays_for_its_equals(self):
        """Guards against a crowd that ends the legal bodies of its own callers in turn."""
        slow = self.fill()[0]
        slow.begin_paced(0.0)
        for second in range(100):
            slow.moved += PROGRESS_BYTES
            self.assertEqual(self.pool.list_stalled(float(second)), [])

    def test_last_to_be_granted_gives_way(self):
        """Guards against a place in the queue that is taken from an ordinary caller."""
        self.ask("a", 6 * MB)
        self.ask("b", 100 << 10)
        waiting = [self.ask(group, MB)[0] for group in ("b", "a")]
        self.assertIs(self.pool.pop_waiting(), waiting[1])
        self.assertEqual(list(self.pool.waiting)[-1], waiting[0])

    def test_stalled_holders_go_only_while_others_wait(self):
        """Guards against a slow caller that is closed in calm, or is never closed."""
        holder, _ = self.ask("a", 6 * MB)
        holder.begin_paced(0.0)
        self.assertEqual(self.pool.list_stalled(STALL_S), [])
        self.ask("b", MB)
        self.assertEqual(self.pool.list_stalled(STALL_S), [holder])

    def test_progress_keeps_a_holder(self):
        """Guards against a caller that is closed although it sends or reads steadily."""
        holder, _ = self.ask("a", 6 * MB)
        holder.begin_paced(0.0)
        self.ask("b", MB)
        for second in range(1, 20):
            holder.moved += PROGRESS_BYTES
            self.assertEqual(self.pool.list_stalled(float(second)), [])
        holder.moved += 100
        self.assertEqual(self.pool.list_stalled(19 + STALL_S), [holder])

    def test_holder_that_does_not_depend_on_its_caller_stays(self):
        """Guards against a request in work at an endpoint that is ended for its silence."""
        self.ask("a", 6 * MB)
        self.ask("b", MB)
        self.assertEqual(self.pool.list_stalled(100.0), [])

    def test_oldest_holder_is_one_that_sends_nothing(self):
        """Guards against a body that arrives and ends before one of which nothing comes."""
        moving, _ = self.ask("a", 1000)
        silent, _ = self.ask("b", 1000)
        waiting, _ = self.ask("c", 1000)
        self.assertIsNone(self.pool.find_oldest())
        moving.begin_paced(1.0)
        silent.begin_paced(2.0)
        self.assertIs(self.pool.find_oldest(), moving)
        moving.moved += 1
        self.assertIs(self.pool.find_oldest(), silent)
        self.assertFalse(waiting.is_paced)

    def test_largest_group_goes_first_and_no_more_than_needed(self):
        """Guards against callers that are closed for the sake of one that holds more."""
        one, _ = self.ask("one", 2 * MB)
        crowd = [self.ask("crowd", 2 * MB)[0] for _ in range(2)]
        for holder in (one, *crowd):
            holder.begin_paced(0.0)
        self.ask("b", MB)
        self.assertEqual(self.pool.list_stalled(STALL_S), [crowd[0]])

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["ask", "release", "shrink"]),
                st.integers(0, 11),
                st.integers(1, 9 * MB),
            ),
            max_size=60,
        )
    )
    def test_any_sequence(self, steps):
        """Guards against sums that drift, and holders that are granted beyond the capacity."""
        pool = MemoryPool(8 * MB)
        holders = [Holder(f"group-{number % 3}") for number in range(12)]
        for action, number, size in steps:
            holder = holders[number]
            if action == "ask" and not holder.wanted:
                pool.ask(holder, size)
            elif action == "release":
                pool.release(holder)
            elif action == "shrink":
                pool.shrink(holder, size)
            held = [item.size for item in holders if item.size]
            self.assertEqual(pool.held, sum(held))
            self.assertEqual(sum(pool.groups.values()), pool.held)
            large = sorted(item for item in held if item > SMALL_BYTES)
            self.assertEqual(len(pool.large), len(large))
            self.assertLessEqual(pool.held, pool.capacity + max(held, default=0))
            if len(large) > 1 and large[-1] <= LARGE_FRACTION * pool.capacity:
                self.assertLessEqual(pool.held, pool.capacity)
        for holder in holders:
            pool.release(holder)
        self.assertEqual((pool.held, pool.groups, pool.waiting), (0, {}, {}))


class TestMemoryBudget(unittest.TestCase):
    """Parts of the memory that is left."""

    def test_parts_are_less_than_the_whole(self):
        """Guards against limits that each hold and together exceed the memory."""
        for left_mb in (24, 60, 100, 145, 245, 457, 4000):
            with self.subTest(left_mb):
                budget = MemoryBudget(left_mb * MB)
                self.assertTrue(budget.is_enough)
                self.assertLessEqual(budget.worst_bytes, left_mb * MB)
                self.assertGreaterEqual(budget.most_connections, budget.MIN_CONNECTIONS)

    def test_machine_that_is_too_small(self):
        """Guards against a machine that can't hold the smallest budget and says nothing."""
        lines = mock.Mock()
        with mock.patch.object(memory_gate, "resident_bytes", lambda: 55 * MB):
            gate = MemoryGate(65 * MB, lines)
            self.assertEqual(gate.limit_connections(1000), gate.budget.MIN_CONNECTIONS)
        events = [call.args[0] for call in lines.log.call_args_list]
        self.assertEqual(events, ["memory.insufficient", "connections.limited"])

    def test_machine_that_is_large_enough(self):
        """Guards against log lines and limits where nothing is short."""
        lines = mock.Mock()
        self.assertEqual(MemoryGate(4000 * MB, lines).limit_connections(1000), 1000)
        lines.log.assert_not_called()


class TestMemoryGate(unittest.IsolatedAsyncioTestCase):
    """Waits of coroutines for memory."""

    async def test_cancelled_wait_takes_no_memory(self):
        """Guards against a send that is cancelled and still keeps other callers waiting."""
        gate = MemoryGate(DEFAULT_MEMORY_BYTES)
        pool = gate.budget.answers
        first, cancelled, other = Holder("a"), Holder("b"), Holder("c")
        self.assertIs(pool.ask(first, pool.capacity // 2), Verdict.GRANTED)
        wait = asyncio.ensure_future(gate.reserve(pool, cancelled, pool.capacity, None))
        await asyncio.sleep(0)
        self.assertIs(pool.ask(other, 2 * SMALL_BYTES), Verdict.WAITS)
        wait.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await wait
        self.assertEqual((cancelled.size, cancelled.wanted, list(pool.waiting)), (0, 0, []))
        self.assertEqual(other.size, 2 * SMALL_BYTES)

    async def test_answer_that_gave_way_is_granted_later(self):
        """Guards against an answer that is read without memory after it lost its place."""
        gate = MemoryGate(DEFAULT_MEMORY_BYTES)
        pool = gate.budget.answers
        first, holder = Holder("a"), Holder("b")
        pool.ask(first, pool.capacity)
        wait = asyncio.ensure_future(gate.reserve(pool, holder, pool.capacity // 2, None))
        await asyncio.sleep(0)
        self.assertIs(pool.pop_waiting(), holder)
        holder.on_refused()
        await asyncio.sleep(0.01)
        self.assertFalse(wait.done())
        pool.release(first)
        self.assertTrue(await wait)
        self.assertEqual(holder.size, pool.capacity // 2)


if __name__ == "__main__":
    unittest.main()
