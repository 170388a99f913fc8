"""Stateful test of the control state machine: random commands, repetitions and restarts."""

import json

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from mulberrygate.control.commands import (
    AdvanceMove,
    ApplyTable,
    PutShards,
    SetEvacuation,
    TakeFence,
)
from mulberrygate.control.state import LAST_STAGE, VERDICTS, ControlState
from mulberrygate.ledger.views import Shard, View
from mulberrygate.tables import parse_table

POOLS = (
    {"lamp": {"version": "a"}},
    {"lamp": {"version": "a"}, "wash": {}},
    {"lamp": {"version": "b", "move": {"previous": "a"}}},
    {"lamp": {"version": "c", "move": {"previous": "b"}}, "wash": {}},
    {"wash": {}},
)
ROUTES = (
    {},
    {"care": {"pool": "lamp"}},
    {"care": {"pool": "wash"}, "quick": {"pool": "lamp"}},
    {"care": {"pool": "none"}},
)


class ControlStateMachine(RuleBasedStateMachine):
    @initialize()
    def start(self):
        self.state = ControlState()
        self.log = []
        self.accepted = {}
        self.verdicts = {}
        self.fence = 0
        self.evacuated = set()

    def apply(self, command):
        index = self.state.applied + 1
        self.log.append((index, command))
        return self.state.apply(index, command)

    def version_in_force(self, kind):
        tables = self.state.tables()
        return tables[kind].version if kind in tables else 0

    @rule(
        kind=st.sampled_from(("pools", "routes")),
        number=st.integers(0, 4),
        step=st.sampled_from((-1, 0, 1, 1, 1, 2)),
        operator=st.sampled_from(("ana", "ben")),
    )
    def apply_table(self, kind, number, step, operator):
        contents = POOLS if kind == "pools" else ROUTES
        current = self.version_in_force(kind)
        version = max(1, current + step)
        content = contents[number % len(contents)]
        text = json.dumps({"table": kind, "version": version, kind: content})
        digest = parse_table(text, kind).digest
        command = ApplyTable(kind, version, text.encode(), digest, operator, float(len(self.log)))
        result = self.apply(command)
        known = self.accepted.get((kind, version))
        if result.code:
            assert self.version_in_force(kind) == current
            assert known is None or known[0].digest != digest
        elif known is not None:
            assert known[0].digest == digest and result.revision == known[1]
        else:
            assert version == current + 1
            self.accepted[kind, version] = (command, result.revision)

    @rule(number=st.integers(0, 1000))
    def send_again(self, number):
        """An accepted table that is sent again gets its first revision and changes nothing."""
        if self.accepted:
            command, revision = list(self.accepted.values())[number % len(self.accepted)]
            before = self.state.configuration.revision
            result = self.apply(command)
            assert (result.code, result.revision) == (0, revision)
            assert self.state.configuration.revision == before

    @rule(
        change=st.integers(-1, 2),
        share=st.sampled_from((0.0, 0.01, 0.05, 0.3, 0.9, 1.0)),
        verdict=st.sampled_from(("", "", "", *VERDICTS)),
    )
    def advance(self, change, share, verdict):
        for pool, move in self.state.moves().items():
            stage = max(0, move.stage + change)
            self.apply(AdvanceMove(pool, move.table_version, stage, share, verdict, ""))

    @rule(steps=st.integers(1, 7), verdict=st.sampled_from(("", "withdrawn", "late")))
    def advance_as_allowed(self, steps, verdict):
        for pool, move in self.state.moves().items():
            stage, share = move.stage, move.share
            for _ in range(0 if move.verdict else steps):
                is_last = stage == LAST_STAGE and share > 0
                stage = min(stage + 1, LAST_STAGE) if share else 0
                share = (0.0125, 0.05, 0.25, 0.5, 0.9)[stage]
                step = AdvanceMove(pool, move.table_version, stage, share, "done" * is_last, "")
                assert self.apply(step).code == 0
                if is_last:
                    break
            else:
                share = 0.0 if verdict == "withdrawn" else min(share, 0.05)
                if verdict and not move.verdict:
                    step = AdvanceMove(pool, move.table_version, stage, share, verdict, "")
                    assert self.apply(step).code == 0

    @rule(active=st.integers(0, 3), expected=st.integers(0, 3))
    def put_shards(self, active, expected):
        before = self.state.shards().get("a/1")
        shard = Shard("a", 1, active=View(active, ()))
        result = self.apply(PutShards((shard,), ((expected, 0),)))
        number = before.active.number if before else 0
        assert (result.code == 0) == (number == expected)

    @rule(domain=st.sampled_from("ab"), is_evacuated=st.booleans())
    def set_evacuation(self, domain, is_evacuated):
        """The last order counts; one that holds already changes nothing."""
        before = self.state.configuration.revision
        is_known = is_evacuated is (domain in self.evacuated)
        result = self.apply(SetEvacuation(domain, is_evacuated, "ana", 1.0))
        (self.evacuated.add if is_evacuated else self.evacuated.discard)(domain)
        assert result.code == 0
        assert result.revision == self.state.configuration.revision
        assert (self.state.configuration.revision == before) is is_known

    @invariant()
    def last_evacuations_hold(self):
        assert self.state.evacuations().keys() == self.evacuated

    @rule(term=st.integers(1, 5))
    def take_fence(self, term):
        result = self.apply(TakeFence("x", term))
        if result.code == 0:
            assert result.value > self.fence
            self.fence = result.value

    @rule()
    def restart_from_snapshot(self):
        restored = ControlState()
        restored.restore(self.state.snapshot())
        self.state = restored

    @invariant()
    def replay_gives_the_same_state(self):
        if len(self.log) % 5 == 0:
            replayed = ControlState()
            for index, command in self.log:
                replayed.apply(index, command)
            assert replayed.snapshot() == self.state.snapshot()

    @invariant()
    def verdicts_do_not_change(self):
        for pool, move in self.state.moves().items():
            key = (pool, move.table_version)
            assert self.verdicts.get(key) in (None, move.verdict)
            if move.verdict:
                self.verdicts[key] = move.verdict

    @invariant()
    def routes_have_pools(self):
        names = self.state.pools()
        assert all(route.pool in names for route in self.state.routes().values())


ControlStateMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, derandomize=True, deadline=None, database=None
)
ControlStateTest = ControlStateMachine.TestCase
