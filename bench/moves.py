"""Simulate version moves at virtual time under the move controller and a baseline.

Run with ``python bench/moves.py --moves 210 --seed 1``. Every move runs the control state machine,
the leader's controller, three failure domains with a guard each, message delays and, in a third of
the moves, a leader change during the move.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import json
import math
import os
import random
import sys
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor

import attrs

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from mulberrygate.control.commands import AdvanceMove, ApplyTable, MoveState
from mulberrygate.control.evidence import Evidence, EvidenceIncrements, load_bucket
from mulberrygate.control.guard import LEADER_BUDGET, VersionGuard
from mulberrygate.control.moves import MoveController
from mulberrygate.control.state import DONE, LATE, WITHDRAWN, ControlState
from mulberrygate.control.versiontest import VersionTest
from mulberrygate.core.sums import request_sums
from mulberrygate.tables import Move, parse_table

GOOD_KINDS = ("none", "none_burst")
BAD_KINDS = ("once_fail", "once_slow", "later_fail", "later_slow", "load", "route", "late_done")
# Requests per second, and deadline of the move in seconds. At the early share, the first two give
# about 60 and 300 requests within the deadline, too few for evidence; the others give at least 750.
LOADS = (
    (2.0, 600.0),
    (10.0, 600.0),
    (2.0, 9000.0),
    (10.0, 1800.0),
    (25.0, 600.0),
    (60.0, 600.0),
)
LOW_LOADS = LOADS[:2]
ROUTES = {"writeup": 0.45, "care": 0.3, "lookup": 0.19, "tags": 0.06}
DOMAINS = ("north", "south", "east")
WATCH_S = 300.0
EARLY_SHARE = 0.05
MESSAGE_S = 0.05
COMMIT_S = 0.1
DELIVERY_S = 0.3
BASE_ERROR_RATE = 0.002
LATENCY_SIGMA = 0.35


@attrs.define
class Case:
    """Parameters of a move to be simulated; ``kind`` names the fault of the new version."""

    number: int
    kind: str
    rate: float
    seed: int
    policy: str
    deadline_s: float


@attrs.define
class Outcome:
    """Result of a move, with times in virtual seconds.

    Explanation
    ===========
    The counts concern requests on the bad version. ``before`` and ``after`` count them relative to
    ``onset``, the first request that showed the fault; ``bad_answers`` counts those that showed it.
    ``evidence_at`` is when a guard, or a reference test that sees every request at once, first had
    the evidence; ``shown_at`` is when the system had it. ``too_late`` and ``too_late_shown`` count
    the requests that started more than 2 s after them. These three times are -1 if the event didn't
    happen. ``unproved_share`` is the highest share of traffic before ``evidence_at``, for faults
    that show from the start.
    """

    case: Case
    verdict: str = ""
    decided_at: float = 0.0
    traffic_ended: bool = False
    onset: float = -1.0
    before: int = 0
    after: int = 0
    bad_answers: int = 0
    too_late: int = 0
    evidence_at: float = -1.0
    shown_at: float = -1.0
    too_late_shown: int = 0
    unproved_share: float = 0.0
    reason: str = ""


class FixedThreshold:
    """Baseline: the share grows with time alone; a fixed threshold on the sums withdraws."""

    STAGE_S = 60.0
    SHARES = (0.0125, EARLY_SHARE, 0.25, 0.5, 0.9)
    MIN_COUNT = 20

    def __init__(self):
        self.state: MoveState | None = None
        self.move: Move | None = None
        self.evidence_increments = EvidenceIncrements()
        self.sums = {False: request_sums(1, 1, False), True: request_sums(1, 1, False)}
        self.stage_at = 0.0

    def update(self, moves, pools, now, unix_now) -> None:
        """Adopt the state of the move."""
        state = moves["lamp"]
        if self.state is None or state.stage != self.state.stage:
            self.stage_at = now
        self.state, self.move = state, pools["lamp"].move

    def observe(self, evidence: Evidence, now: float) -> None:
        """Add new evidence to the sums."""
        for cell, sums in self.evidence_increments.increments(evidence).items():
            self.sums[cell[1]].add(sums)

    def tick(self, now: float) -> list[AdvanceMove]:
        """Return the command of the next step, if one is due."""
        state, stage = self.state, self.state.stage
        if state.verdict == DONE and self._is_bad() and state.share:
            return [AdvanceMove("lamp", state.table_version, stage, 0.0, DONE, "threshold")]
        if state.verdict:
            return []
        if self._is_bad():
            return [AdvanceMove("lamp", state.table_version, stage, 0.0, WITHDRAWN, "threshold")]
        if state.share == 0:
            return [AdvanceMove("lamp", state.table_version, 0, self.SHARES[0])]
        if now - self.stage_at < self.STAGE_S:
            return []
        if stage == len(self.SHARES) - 1:
            return [AdvanceMove("lamp", state.table_version, stage, 1.0, DONE)]
        return [AdvanceMove("lamp", state.table_version, stage + 1, self.SHARES[stage + 1])]

    def _is_bad(self) -> bool:
        old, new = self.sums[False], self.sums[True]
        if new.count < self.MIN_COUNT:
            return False
        excess = new.errors / new.count - old.errors / old.count
        slower = new.log_sum / max(new.timed_count(), 1) - old.log_sum / max(old.timed_count(), 1)
        return excess > self.move.max_error_excess or slower > math.log(self.move.max_slowdown)


class PassiveGuard(VersionGuard):
    """Guard that reports evidence and never stops the version by itself."""

    def observe(self, route, version, load_fraction, expected_s, total_s, is_error, now):
        """Add a completed request to the evidence."""
        cell = (route, version == self.state.version, load_bucket(load_fraction))
        self.collector.add(cell, request_sums(expected_s, total_s, is_error))
        return False


POLICIES: dict[str, tuple[Callable, Callable]] = {
    "sequential": (MoveController, VersionGuard),
    "fixed": (FixedThreshold, PassiveGuard),
}


@attrs.define
class Fault:
    """Fault of a version: extra error rate and slowdown, limited by time, route and load."""

    errors: float = 0.0
    slowdown: float = 1.0
    onset: float = 0.0
    route: str = ""
    min_load: float = 0.0


def draw_fault(case: Case, rng: random.Random) -> Fault | None:
    """Return the fault of a case; ``None`` for a good version."""
    if case.kind in GOOD_KINDS:
        return None
    fails = case.kind.endswith("fail") or case.kind in ("load", "route", "late_done")
    if case.kind in ("load", "route", "late_done"):
        fails = rng.random() < 0.5
    fault = Fault(errors=rng.uniform(0.04, 0.4)) if fails else Fault()
    if not fails:
        fault.slowdown = rng.uniform(1.5, 3.0)
    if case.kind.startswith("later"):
        fault.onset = rng.uniform(0.05, 0.5) * case.deadline_s
    if case.kind == "late_done":
        fault.onset = math.inf
    if case.kind == "load":
        fault.min_load = 0.7
    if case.kind == "route":
        fault.route = rng.choice(list(ROUTES))
    return fault


class Simulation:
    """Discrete-event simulation of one move."""

    def __init__(self, case: Case):
        self.case = case
        self.rng = random.Random(case.seed)
        self.make_controller, make_guard = POLICIES[case.policy]
        self.fault = draw_fault(case, self.rng)
        self.outcome = Outcome(case)
        self.state = ControlState()
        self.index = 0
        self.queue: list = []
        self.order = itertools.count()
        self.now = 0.0
        self.guards = {name: make_guard("lamp", name, 1) for name in DOMAINS}
        self.controller = self.make_controller()
        self.is_leading = True
        self.end = case.deadline_s + 30.0
        self.phase = self.rng.uniform(0, 240)
        self.bursts = [self.rng.uniform(0, 900) for _ in range(3)]
        self.reference_test: VersionTest | None = None
        self.is_fault_seen = False

    def schedule(self, seconds: float, action: Callable, *arguments) -> None:
        """Schedule an action after a delay in seconds."""
        heapq.heappush(self.queue, (self.now + seconds, next(self.order), action, arguments))

    def run(self) -> Outcome:
        """Run the move to its end and return the result."""
        self.apply_pools(1, {"version": "a"})
        move = {
            "previous": "a",
            "deadline_s": self.case.deadline_s,
            "largest_early_share": EARLY_SHARE,
            "watch_s": WATCH_S,
        }
        self.apply_pools(2, {"version": "b", "move": move})
        self.reference_test = VersionTest(self.state.pools()["lamp"].move, LEADER_BUDGET)
        self.update_guards()
        self.controller.update(self.state.moves(), self.state.pools(), 0.0, 0.0)
        for number, guard in enumerate(self.guards.values()):
            self.schedule(number / 3, self.report, guard)
        self.schedule(1.0, self.tick)
        self.schedule(0.0, self.arrive)
        if self.rng.random() < 1 / 3:
            self.schedule(self.rng.uniform(20, 0.7 * self.case.deadline_s), self.stop_leader)
        while self.queue:
            when, _, action, arguments = heapq.heappop(self.queue)
            if when > self.end:
                break
            self.now = when
            action(*arguments)
        return self.finish()

    def apply_pools(self, version: int, pool: dict) -> None:
        """Accept a pools table."""
        text = json.dumps({"table": "pools", "version": version, "pools": {"lamp": pool}})
        digest = parse_table(text, "pools").digest
        self.index += 1
        command = ApplyTable("pools", version, text.encode(), digest, "bench", 0.0)
        result = self.state.apply(self.index, command)
        assert result.code == 0, result

    def load(self) -> float:
        """Return the load fraction of the endpoints now."""
        wave = 0.5 + 0.5 * math.sin((self.now + self.phase) * 2 * math.pi / 240)
        top = 0.5 if self.case.rate < 5 else 1.0
        return top * (0.25 + 0.7 * wave) + self.rng.gauss(0, 0.05)

    def arrive(self) -> None:
        """Dispatch a request and schedule the next arrival."""
        load = self.load()
        self.schedule(self.rng.expovariate(self.case.rate), self.arrive)
        guard = self.guards[self.rng.choice(DOMAINS)]
        share = guard.shares().get("b", 0.0)
        version = "b" if self.rng.random() < share else "a"
        route = self.rng.choices(list(ROUTES), list(ROUTES.values()))[0]
        expected = math.exp(self.rng.uniform(math.log(0.3), math.log(6.0)))
        errors, factor = BASE_ERROR_RATE, 1.0
        if self.case.kind == "none_burst" and any(0 < self.now - b < 60 for b in self.bursts):
            factor = 1.6
        if version == "b" and self.fault is not None:
            self.count_bad_version_request(route, load)
            if self.is_faulty(route, load):
                errors += self.fault.errors
                factor *= self.fault.slowdown
        total = expected * factor * math.exp(self.rng.gauss(0, LATENCY_SIGMA))
        is_error = self.rng.random() < errors
        delay = total * self.rng.random() if is_error else total
        self.schedule(delay, self.complete, guard, route, version, load, expected, total, is_error)

    def is_faulty(self, route: str, load: float) -> bool:
        """Return whether the fault shows for a request that starts now."""
        fault = self.fault
        if self.now < fault.onset or load < fault.min_load:
            return False
        return not fault.route or route == fault.route

    def count_bad_version_request(self, route: str, load: float) -> None:
        """Update the counts for a request that starts on the bad version."""
        outcome = self.outcome
        if self.is_faulty(route, load):
            if not self.is_fault_seen:
                self.is_fault_seen = True
                outcome.onset = self.now
            outcome.bad_answers += 1
        if self.is_fault_seen:
            outcome.after += 1
        else:
            outcome.before += 1
        if 0 <= outcome.evidence_at < self.now - 2.0:
            outcome.too_late += 1
        if 0 <= outcome.shown_at < self.now - 2.0:
            outcome.too_late_shown += 1

    def complete(self, guard, route, version, load, expected, total, is_error) -> None:
        """Report the end of a request to the reference test and to its guard."""
        if self.fault is not None and self.outcome.evidence_at < 0:
            cell = (route, version == "b", load_bucket(load))
            self.reference_test.add([(cell, request_sums(expected, total, is_error))], self.now)
            if self.reference_test.detect_fault():
                self.outcome.evidence_at = self.now
        if guard.observe(route, version, load, expected, total, is_error, self.now):
            if self.outcome.evidence_at < 0:
                self.outcome.evidence_at = self.now
            self.record_system_evidence()
            self.send(guard)

    def record_system_evidence(self) -> None:
        """Record the first time at which the system itself has the evidence."""
        if self.outcome.shown_at < 0:
            self.outcome.shown_at = self.now

    def report(self, guard) -> None:
        """Send a guard's evidence, and again every second."""
        self.schedule(1.0, self.report, guard)
        self.send(guard)

    def send(self, guard) -> None:
        """Send a guard's evidence; 1% of the messages are lost."""
        message = guard.evidence()
        if self.rng.random() > 0.01:
            self.schedule(MESSAGE_S, self.receive, message)

    def receive(self, message: Evidence) -> None:
        """Deliver evidence to the leader, if there is one."""
        if self.is_leading:
            self.controller.observe(message, self.now)
            self.step()

    def tick(self) -> None:
        """Run the leader's periodic tick."""
        self.schedule(1.0, self.tick)
        if self.is_leading:
            self.step()

    def step(self) -> None:
        """Propose the controller's commands."""
        for command in self.controller.tick(self.now):
            if command.share == 0:
                self.record_system_evidence()
            self.schedule(COMMIT_S, self.commit, command)

    def commit(self, command: AdvanceMove) -> None:
        """Apply a committed command and deliver the new state to the guards."""
        before = self.state.moves()["lamp"]
        self.index += 1
        self.state.apply(self.index, command)
        after = self.state.moves()["lamp"]
        self.controller.update(self.state.moves(), self.state.pools(), self.now, self.now)
        if after != before:
            self.schedule(DELIVERY_S, self.update_guards)
        if after.verdict and not before.verdict:
            self.record_verdict(after)
        if after.verdict == DONE and after.share == 0 and before.share:
            self.outcome.traffic_ended = True
            self.outcome.reason = after.reason
            self.end = min(self.end, self.now + 30.0)
        if self.fault and self.outcome.evidence_at < 0 and self.fault.onset == 0:
            self.outcome.unproved_share = max(self.outcome.unproved_share, after.share)

    def record_verdict(self, after: MoveState) -> None:
        """Record the verdict and set the end of the simulation."""
        self.outcome.verdict, self.outcome.decided_at = after.verdict, self.now
        self.outcome.reason = after.reason
        if self.fault is not None and self.fault.onset == math.inf:
            self.fault.onset = self.now + self.rng.uniform(5, 150)
        self.end = self.now + (WATCH_S if after.verdict != WITHDRAWN else 30.0)

    def update_guards(self) -> None:
        """Deliver the state of the move to the guards."""
        state, pool = self.state.moves()["lamp"], self.state.pools()["lamp"]
        for guard in self.guards.values():
            guard.set_move(state, pool.move)

    def stop_leader(self) -> None:
        """Stop the leader, which loses its memory; a new leader starts 2 s later."""
        self.is_leading = False
        self.schedule(2.0, self.start_leader)

    def start_leader(self) -> None:
        """Start a new leader with an empty controller."""
        self.is_leading = True
        self.controller = self.make_controller()
        self.controller.update(self.state.moves(), self.state.pools(), self.now, self.now)

    def finish(self) -> Outcome:
        """Return the result; a move withdrawn or late without traffic has ended its traffic."""
        outcome = self.outcome
        if outcome.verdict in (WITHDRAWN, LATE) and self.state.moves()["lamp"].share == 0:
            outcome.traffic_ended = True
        return outcome


def simulate(case: Case) -> Outcome:
    """Simulate one move."""
    return Simulation(case).run()


def make_cases(moves: int, seed: int, policy: str) -> list[Case]:
    """Return the cases of a run: about half good, the others bad, over all rates."""
    kinds = list(GOOD_KINDS) * 3 + list(BAD_KINDS)
    pairs = [(kind, load) for load in LOADS for kind in kinds]
    cases = []
    for number in range(moves):
        kind, (rate, deadline_s) = pairs[number % len(pairs)]
        cases.append(Case(number, kind, rate, seed * 100_003 + number, policy, deadline_s))
    return cases


def _format_share(found: list[Outcome], is_met: Callable[[Outcome], bool]) -> str:
    met = sum(1 for outcome in found if is_met(outcome))
    return f"{met}/{len(found)} ({100 * met / len(found):.1f}%)" if found else "none"


def is_bad_version_kept(outcome: Outcome) -> bool:
    """Return whether a move got the verdict done and its version kept its traffic."""
    return outcome.verdict == DONE and not outcome.traffic_ended


def is_late_with_early_share(outcome: Outcome) -> bool:
    """Return whether a move got the verdict late and its version kept the early share."""
    return outcome.verdict == LATE and not outcome.traffic_ended


def lost_traffic_unwithdrawn(outcome: Outcome) -> bool:
    """Return whether a version lost its traffic although the verdict isn't withdrawn."""
    return outcome.verdict != WITHDRAWN and outcome.traffic_ended


def print_summary(outcomes: list[Outcome]) -> None:
    """Print the figures of one policy."""
    by_load: dict[str, list[Outcome]] = {}
    for outcome in outcomes:
        load = (outcome.case.rate, outcome.case.deadline_s)
        group = "all thin loads" if load in LOW_LOADS else "all other loads"
        for name in (f"{load[0]:g}/s, {load[1]:g} s", group):
            by_load.setdefault(name, []).append(outcome)
    for name, chosen in sorted(by_load.items()):
        good = [o for o in chosen if o.case.kind in GOOD_KINDS]
        bad = [o for o in chosen if o.case.kind in BAD_KINDS]
        shown = [o for o in bad if o.bad_answers]
        print(
            f"  {name}: good done in time {_format_share(good, lambda o: o.verdict == DONE)},"
            f" late {_format_share(good, lambda o: o.verdict == LATE)},"
            f" withdrawn {_format_share(good, lambda o: o.verdict == WITHDRAWN)},"
            f" done or late without traffic {_format_share(good, lost_traffic_unwithdrawn)};"
            f" bad without traffic at the end {_format_share(shown, lambda o: o.traffic_ended)},"
            f" of them late {sum(o.verdict == LATE for o in shown if o.traffic_ended)},"
            f" bad late at the early share {_format_share(shown, is_late_with_early_share)},"
            f" bad done and kept {_format_share(shown, is_bad_version_kept)}"
        )
    for kind in BAD_KINDS:
        found = [o for o in outcomes if o.case.kind == kind and o.bad_answers]
        if not found:
            continue
        after = sorted(o.after for o in found)
        print(
            f"  {kind}: ended {_format_share(found, lambda o: o.traffic_ended)};"
            f" requests on the bad version before its faults showed: mean"
            f" {sum(o.before for o in found) / len(found):.0f}, after: median"
            f" {after[len(after) // 2]}, largest {after[-1]};"
            f" over the early share without evidence"
            f" {_format_share(found, lambda o: o.unproved_share > EARLY_SHARE)};"
            f" new requests over 2 s after the system's evidence:"
            f" {sum(o.too_late_shown for o in found)}, after that of a test that sees every request"
            f" at once: {sum(o.too_late for o in found)}"
        )


def main() -> None:
    """Run all moves under both policies."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--moves", type=int, default=234)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--workers", type=int, default=4)
    parser.add_argument("--policy", choices=list(POLICIES), action="append")
    parser.add_argument("--failures", action="store_true", help="list moves that miss the goals")
    options = parser.parse_args()
    for policy in options.policy or list(POLICIES):
        with ProcessPoolExecutor(options.workers) as pool:
            cases = make_cases(options.moves, options.seed, policy)
            outcomes = list(pool.map(simulate, cases, chunksize=2))
        print(f"{policy}: {len(outcomes)} moves, seed {options.seed}")
        print_summary(outcomes)
        for outcome in outcomes if options.failures else ():
            is_good = outcome.case.kind in GOOD_KINDS
            if outcome.verdict != DONE if is_good else not outcome.traffic_ended:
                print(f"    {outcome}")


if __name__ == "__main__":
    main()
