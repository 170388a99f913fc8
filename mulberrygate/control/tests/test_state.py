"""Tests of single commands and invariants of the control state machine."""

import json
import unittest
from unittest import mock

from mulberrygate.control import state as state_module
from mulberrygate.control.commands import (
    AdvanceMove,
    ApplyTable,
    MoveState,
    PutShards,
    TakeFence,
)
from mulberrygate.control.state import (
    ACCEPTED_TWICE,
    DIGEST_MISMATCH,
    FENCE_FELL,
    INDEX_FELL,
    MOVE_STEP_REFUSED,
    MOVE_UNKNOWN,
    SHARDS_CHANGED,
    SHARE_TOO_LARGE,
    TERM_OLD,
    VERDICT_FINAL,
    VERDICT_FLIPPED,
    VERSION_CONFLICT,
    VERSION_FORGOTTEN,
    VERSION_OLD,
    VERSION_SKIPPED,
    VERSION_WITHDRAWN,
    ControlState,
)
from mulberrygate.core import InvariantError
from mulberrygate.ledger.views import Shard, View
from mulberrygate.tables import parse_table
from mulberrygate.tables.check import MISSING_POOL, WRONG_PREVIOUS


def table(kind, version, section, operator="ana"):
    name = {"routes": "routes", "pools": "pools"}[kind]
    text = json.dumps({"table": kind, "version": version, name: section})
    return ApplyTable(kind, version, text.encode(), parse_table(text, kind).digest, operator, 5.0)


def pools(version, operator="ana", **section):
    return table("pools", version, section, operator)


def pool_with_move(version, previous="a", to="b", **options):
    move = {"previous": previous, "largest_early_share": 0.1, **options}
    return pools(version, lamp={"version": to, "move": move})


class StateCase(unittest.TestCase):
    def setUp(self):
        self.state = ControlState()

    def apply(self, command):
        return self.state.apply(self.state.applied + 1, command)

    def code(self, command):
        return self.apply(command).code

    def accept(self, *commands):
        for command in commands:
            self.assertEqual(self.apply(command).code, 0)

    def advance(self, stage, share, verdict="", version=2):
        return AdvanceMove("lamp", version, stage, share, verdict, "x")

    def reach_done(self, share=0.9):
        self.accept(pools(1, lamp={"version": "a"}), pool_with_move(2))
        for stage, part in enumerate((0.02, 0.1, 0.3, 0.5, 0.9)):
            self.accept(self.advance(stage, part))
        self.accept(self.advance(4, share, "done"))


class TableTest(StateCase):
    def test_next_version_once(self):
        """Guards against accepting two different tables with the same version."""
        self.accept(pools(1, lamp={}))
        result = self.apply(pools(1, wash={}, operator="ben"))
        self.assertEqual(result.code, VERSION_CONFLICT.number)
        for part in ("version 1", pools(1, lamp={}).digest, "ana"):
            self.assertIn(part, result.detail)
        self.assertEqual(list(self.state.pools()), ["lamp"])

    def test_resent_table_gets_its_acceptance_again(self):
        """Guards against a conflict or a step back when a lost answer makes an operator repeat."""
        first = pools(1, lamp={})
        result = self.apply(first)
        self.accept(pools(2, lamp={}, wash={}))
        again = self.apply(first)
        self.assertEqual(again, result)
        self.assertEqual(list(self.state.pools()), ["lamp", "wash"])
        self.assertEqual(self.state.configuration.revision, 2)

    def test_wrong_versions(self):
        """Guards against versions that are skipped or go back."""
        self.accept(pools(1, lamp={}), pools(2, wash={}))
        self.assertEqual(self.code(pools(4, lamp={})), VERSION_SKIPPED.number)
        self.assertEqual(self.code(pools(1, other={})), VERSION_OLD.number)
        command = pools(3, lamp={})
        forged = ApplyTable("pools", 3, command.content, "0" * 64, "ana", 0.0)
        self.assertEqual(self.code(forged), DIGEST_MISMATCH.number)

    def test_history_is_bounded(self):
        """Guards against a history of versions that grows without bound."""
        with mock.patch.object(state_module, "MAX_HISTORY", 3):
            for version in range(1, 6):
                self.accept(pools(version, lamp={"max_waiting": version}))
            self.assertEqual(len(self.state.history["pools"]), 3)
            forgotten = self.code(pools(1, lamp={"max_waiting": 1}))
        self.assertEqual(forgotten, VERSION_FORGOTTEN.number)
        self.assertEqual(self.state.pools()["lamp"].max_waiting, 5)

    def test_pool_of_a_route(self):
        """Guards against a route without pool, in either order of the changes."""
        route = table("routes", 1, {"care": {"pool": "lamp"}})
        self.assertEqual(self.code(route), MISSING_POOL.number)
        self.accept(pools(1, lamp={}), route)
        self.assertEqual(self.code(pools(2, wash={})), MISSING_POOL.number)
        self.accept(table("routes", 2, {}), pools(2, wash={}))
        self.assertEqual(self.state.routes(), {})

    def test_only_changed_entries_get_the_revision(self):
        """Guards against delivering a whole table for one changed pool."""
        self.accept(pools(1, lamp={}, wash={}), pools(2, lamp={}, wash={"max_waiting": 7}))
        changed = {(e.section, e.name) for e in self.state.changes_since(1).entries}
        self.assertEqual(changed, {("pools", "wash"), ("tables", "pools")})


class MoveTest(StateCase):
    def test_changed_version_starts_a_move(self):
        """Guards against a changed version without a move."""
        self.accept(pools(1, lamp={"version": "a"}), pool_with_move(2))
        expected = MoveState("lamp", 2, "a", "b", started_at=5.0)
        self.assertEqual(self.state.moves(), {"lamp": expected})

    def test_unrelated_change_keeps_the_move(self):
        """Guards against a verdict that an unrelated table version undoes."""
        self.reach_done()
        before = self.state.moves()
        self.accept(pool_with_move(3, deadline_s=700))
        self.assertEqual(self.state.moves(), before)

    def test_new_version_needs_the_serving_one_as_previous(self):
        """Guards against returning traffic to a version that never served."""
        self.accept(pools(1, lamp={"version": "a"}))
        self.assertEqual(self.code(pool_with_move(2, previous="x")), WRONG_PREVIOUS.number)
        self.accept(pool_with_move(2), self.advance(0, 0.05), pool_with_move(3, "b", "c"))
        self.assertEqual(self.state.moves()["lamp"].table_version, 3)

    def test_verdict_is_final(self):
        """Guards against a verdict that flips without a new table version."""
        self.accept(pools(1, lamp={"version": "a"}), pool_with_move(2))
        self.accept(self.advance(0, 0.0, "withdrawn"))
        self.assertEqual(self.code(self.advance(0, 0.05)), VERDICT_FINAL.number)
        self.assertEqual(self.code(self.advance(0, 0.05, "late")), VERDICT_FINAL.number)
        step = self.advance(0, 0.05, "withdrawn")
        self.assertEqual(self.code(step), MOVE_STEP_REFUSED.number)

    def test_dropping_the_move_of_a_withdrawn_version(self):
        """Guards against all traffic on a version that was found faulty."""
        for verdict in ("withdrawn", "late"):
            self.setUp()
            self.accept(pools(1, lamp={"version": "a"}), pool_with_move(2))
            self.accept(self.advance(0, 0.0, verdict))
            drop = pools(3, lamp={"version": "b"})
            self.assertEqual(self.code(drop), VERSION_WITHDRAWN.number)
            self.assertEqual(self.code(pool_with_move(3, "b", "c")), WRONG_PREVIOUS.number)
            self.accept(pools(3, lamp={"version": "a"}))
            self.assertEqual(self.state.moves(), {})

    def test_steps(self):
        """Guards against skipped stages and shares beyond the stage."""
        self.accept(pools(1, lamp={"version": "a"}), pool_with_move(2))
        refused = ((2, 0.3, ""), (0, 0.2, ""), (1, 0.2, ""), (0, 1.0, "done"), (0, 2.0, ""))
        for step in (*refused, (0, 0.1, "withdrawn"), (0, 0.2, "late"), (0, 0.1, "good")):
            self.assertEqual(self.code(self.advance(*step)), MOVE_STEP_REFUSED.number, step)
        self.assertEqual(self.code(self.advance(0, 0.1, version=1)), MOVE_UNKNOWN.number)
        self.accept(self.advance(0, 0.1), self.advance(1, 0.1))
        self.assertEqual(self.code(self.advance(0, 0.1)), MOVE_STEP_REFUSED.number)

    def test_resent_step_gets_the_same_revision(self):
        """Guards against a new revision for each step that a new leader repeats."""
        self.accept(pools(1, lamp={"version": "a"}), pool_with_move(2), self.advance(0, 0.1))
        self.assertEqual(self.apply(self.advance(0, 0.1)).revision, 3)

    def test_late_fault_returns_the_traffic(self):
        """Guards against a completed move whose traffic can't be withdrawn in the watch period."""
        self.reach_done()
        self.accept(self.advance(4, 0.0, "done"))
        self.assertEqual(self.state.moves()["lamp"].verdict, "done")
        refused = self.code(self.advance(4, 0.9, "done"))
        self.assertEqual(refused, MOVE_STEP_REFUSED.number)

    def test_watch_period_ends_with_all_traffic(self):
        """Guards against a previous version that keeps some traffic forever."""
        self.reach_done()
        self.accept(self.advance(4, 1.0, "done"))


class OtherCommandTest(StateCase):
    def test_shards_are_compared_with_the_expected_views(self):
        """Guards against a planner that overwrites a newer view."""
        one = Shard("a", 1, preparing=View(1, ()))
        self.accept(PutShards((one,), ((0, 0),)))
        two = Shard("a", 1, active=View(1, ()))
        stale = PutShards((two, Shard("a", 2)), ((0, 0), (0, 0)))
        result = self.apply(stale)
        self.assertEqual((result.code, result.value), (SHARDS_CHANGED.number, 1))
        self.assertEqual(self.state.shards()["a/1"], one)
        self.accept(PutShards((two,), ((0, 1),)))

    def test_fence_rises_with_each_take(self):
        """Guards against two leaders with one fencing number."""
        values = [self.apply(TakeFence("x", term)).value for term in (3, 3, 5)]
        self.assertEqual(values, [1, 2, 3])
        self.assertEqual(self.code(TakeFence("y", 4)), TERM_OLD.number)

    def test_snapshot(self):
        """Guards against a state that a restart from a snapshot changes."""
        self.reach_done()
        self.accept(TakeFence("x", 1), pools(3, wash={}))
        copy = ControlState()
        copy.restore(self.state.snapshot())
        self.assertEqual(copy.snapshot(), self.state.snapshot())
        self.assertEqual(copy.changes_since(1), self.state.changes_since(1))
        with self.assertRaises(ValueError):
            copy.restore(b"\x80")


class MutantTest(StateCase):
    """Each invariant detects a mutant that leaves out one rule."""

    def assert_invariant(self, code, command, index=None):
        with self.assertRaises(InvariantError) as caught:
            self.state.apply(index or self.state.applied + 1, command)
        self.assertEqual(caught.exception.code, code)

    def test_version_accepted_twice(self):
        """Guards against an invariant that can't fail."""
        self.accept(pools(1, lamp={}))
        with mock.patch.object(ControlState, "tables", return_value={}):
            self.assert_invariant(ACCEPTED_TWICE, pools(1, wash={}))

    def test_verdict_flips(self):
        """Guards against an invariant that can't fail."""
        self.reach_done()
        with mock.patch.object(state_module, "_check_step", return_value=None):
            self.assert_invariant(VERDICT_FLIPPED, self.advance(4, 0.0, "withdrawn"))

    def test_early_share_is_passed(self):
        """Guards against an invariant that can't fail."""
        self.accept(pools(1, lamp={"version": "a"}), pool_with_move(2))
        with mock.patch.object(state_module, "_check_step", return_value=None):
            self.assert_invariant(SHARE_TOO_LARGE, self.advance(1, 0.3))

    def test_fence_stays(self):
        """Guards against an invariant that can't fail."""
        self.accept(TakeFence("x", 1))
        with self.assertRaises(InvariantError) as caught:
            self.state._set_fence(self.state.fence)
        self.assertEqual(caught.exception.code, FENCE_FELL)

    def test_index_repeats(self):
        """Guards against an invariant that can't fail."""
        self.accept(TakeFence("x", 1))
        self.assert_invariant(INDEX_FELL, TakeFence("x", 1), index=1)
