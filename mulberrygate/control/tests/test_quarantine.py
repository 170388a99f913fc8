"""Tests of the replicated record of calls that crash endpoints."""

import random
import unittest

import msgpack

from mulberrygate.control.catalogs import (
    CatalogStateMachine,
    PutCrashes,
    PutTrial,
    encode_command,
)
from mulberrygate.control.quarantine import (
    MAX_CALLS,
    QUARANTINE_S,
    SUSPECT_S,
    TRIAL_PAUSES_S,
    QuarantineState,
)


def crashes(call, *endpoints):
    """Return reports of crashes of endpoints during one call."""
    return [(call, endpoint, 1) for endpoint in endpoints]


class TestQuarantine(unittest.TestCase):
    """Counting, clearing and forgetting."""

    def setUp(self):
        self.quarantine = QuarantineState()

    def test_third_endpoint_puts_a_call_into_quarantine(self):
        """Guards against running a call that crashed three endpoints, and refusing other calls."""
        self.quarantine.put(crashes("a", "e1", "e2") + crashes("b", "e1"), [], 0.0)
        self.assertEqual((self.quarantine.quarantined, self.quarantine.suspects), ((), ("a",)))
        self.quarantine.put(crashes("a", "e3"), [], 0.0)
        self.assertEqual((self.quarantine.quarantined, self.quarantine.suspects), (("a",), ()))

    def test_repeated_report_counts_once(self):
        """Guards against counting a repeated report as another crash."""
        for _ in range(3):
            self.quarantine.put(crashes("a", "e1"), [], 0.0)
        self.assertEqual((self.quarantine.quarantined, self.quarantine.number), ((), 0))

    def test_restarts_of_one_endpoint_count(self):
        """Guards against running a call that crashes the same endpoint after each restart."""
        self.quarantine.put([("a", "e1", born) for born in (1, 2, 3)], [], 0.0)
        self.assertEqual(self.quarantine.quarantined, ("a",))

    def test_answered_call_is_cleared(self):
        """Guards against quarantine for an innocent call that ran beside crashing ones."""
        self.quarantine.put(crashes("a", "e1", "e2"), [], 0.0)
        self.quarantine.put([], ["a"], 0.0)
        self.quarantine.put(crashes("a", "e3"), [], 0.0)
        self.assertEqual((self.quarantine.quarantined, self.quarantine.suspects), ((), ()))

    def test_number_rises_with_each_change_of_the_same_size(self):
        """Guards against missing a change to a list of the same size."""
        self.quarantine.put(crashes("a", "e1", "e2", "e3"), [], 0.0)
        before = self.quarantine.number
        self.quarantine.put(crashes("b", "e1", "e2", "e3"), ["a"], 0.0)
        self.assertEqual(self.quarantine.quarantined, ("b",))
        self.assertGreater(self.quarantine.number, before)

    def test_old_records_are_forgotten(self):
        """Guards against a quarantine or a suspicion that never ends."""
        self.quarantine.put(crashes("a", "e1", "e2", "e3") + crashes("b", "e1", "e2"), [], 0.0)
        self.assertFalse(self.quarantine.has_expired(SUSPECT_S - 1))
        self.assertTrue(self.quarantine.has_expired(SUSPECT_S))
        self.quarantine.put([], [], SUSPECT_S)
        self.assertEqual((self.quarantine.quarantined, self.quarantine.suspects), (("a",), ()))
        self.quarantine.put([], [], QUARANTINE_S)
        self.assertEqual(self.quarantine.quarantined, ())

    def test_many_lost_calls_release_no_crashing_one(self):
        """Guards against dropping a quarantined call when many endpoints are lost."""
        self.quarantine.put(crashes("a", "e1", "e2", "e3"), [], 0.0)
        calls = [f"c{number}" for number in range(MAX_CALLS)]
        self.quarantine.put([(call, "e4", 1) for call in calls], [], 0.0)
        self.assertEqual(self.quarantine.quarantined, ("a",))

    def test_records_are_bounded(self):
        """Guards against unbounded memory use when ever new calls crash endpoints."""
        calls = [f"c{number}" for number in range(MAX_CALLS + 10)]
        self.quarantine.put([(call, "e1", 1) for call in calls], [], 0.0)
        self.assertEqual(len(self.quarantine.records), MAX_CALLS)


class TestTrials(unittest.TestCase):
    """Trials of quarantined calls."""

    def setUp(self):
        self.quarantine = QuarantineState()
        self.quarantine.put(crashes("a", "e1", "e2", "e3"), [], 0.0)

    def test_pause_before_the_first_trial(self):
        """Guards against a trial while the endpoints that failed together are still down."""
        self.assertFalse(self.quarantine.begin_trial("a", "first", TRIAL_PAUSES_S[0] / 2))
        self.assertTrue(self.quarantine.begin_trial("a", "first", TRIAL_PAUSES_S[0]))
        self.assertEqual(self.quarantine.records["a"].trial_holder, "first")

    def test_one_trial_at_a_time(self):
        """Guards against two entries that send a quarantined call at the same time."""
        at = TRIAL_PAUSES_S[0]
        self.assertTrue(self.quarantine.begin_trial("a", "first", at))
        self.assertFalse(self.quarantine.begin_trial("a", "second", at))
        self.assertEqual(self.quarantine.records["a"].trial_holder, "first")

    def test_trials_of_a_crashing_call_are_limited(self):
        """Guards against a crashing call that costs an endpoint after each pause."""
        granted = 0
        for second in range(int(QUARANTINE_S) - 1):
            if self.quarantine.begin_trial("a", f"{second}", float(second)):
                granted += 1
                self.quarantine.put(crashes("a", f"trial-{second}"), [], float(second))
        self.assertEqual(granted, len(TRIAL_PAUSES_S))
        # The users allow three retries; see BUDGET in their rules.
        self.assertLess(granted, 3)

    def test_answered_trial_ends_the_quarantine(self):
        """Guards against an innocent call that is refused after it was answered."""
        self.quarantine.begin_trial("a", "first", TRIAL_PAUSES_S[0])
        self.quarantine.put([], ["a"], TRIAL_PAUSES_S[0])
        self.assertEqual(self.quarantine.quarantined, ())

    def test_no_trial_of_a_call_that_is_not_quarantined(self):
        """Guards against trials that are counted for calls that may be sent anyway."""
        self.quarantine.put(crashes("b", "e1", "e2"), [], 0.0)
        self.assertFalse(self.quarantine.begin_trial("b", "first", 100.0))
        self.assertFalse(self.quarantine.begin_trial("c", "first", 100.0))

    def test_values_without_trials_have_the_earlier_form(self):
        """Guards against a snapshot that an earlier release can't read during an upgrade."""
        self.assertEqual(len(self.quarantine.dump()), 2)
        self.quarantine.begin_trial("a", "first", TRIAL_PAUSES_S[0])
        copy = QuarantineState()
        copy.load(msgpack.unpackb(msgpack.packb(self.quarantine.dump())))
        self.assertEqual(copy.records, self.quarantine.records)


class TestReplicas(unittest.TestCase):
    """Replicas of the state that the log builds up."""

    def test_copies_agree_whenever_they_were_restored(self):
        """Guards against a restarted process that counts other crashes than the rest."""
        for seed in range(20):
            rng = random.Random(seed)
            commands = [encode_command(random_command(rng)) for _ in range(60)]
            whole, restored = CatalogStateMachine(), CatalogStateMachine()
            for index, command in enumerate(commands):
                whole.apply(index, command)
                restored.apply(index, command)
                if rng.random() < 0.2:
                    copy = CatalogStateMachine()
                    copy.restore(restored.snapshot())
                    restored = copy
                pair = whole.quarantine, restored.quarantine
                self.assertEqual(pair[0].dump(), pair[1].dump(), seed)
                self.assertEqual(pair[0].quarantined, pair[1].quarantined, seed)
                self.assertEqual(pair[0].suspects, pair[1].suspects, seed)

    def test_snapshot_of_an_earlier_release(self):
        """Guards against a voter that can't start from a snapshot of an earlier release."""
        machine = CatalogStateMachine()
        machine.restore(msgpack.packb([3, b"text", {}, {}]))
        self.assertEqual((machine.version, machine.quarantine.number), (3, 0))


def random_command(rng):
    """Return a report about a few calls, or a trial of one."""
    if rng.random() < 0.2:
        return PutTrial(f"c{rng.randrange(4)}", "entry/1", rng.choice((0.0, 500.0, 1500.0)))
    reports = [(f"c{rng.randrange(4)}", f"e{rng.randrange(5)}", rng.randrange(2)) for _ in range(2)]
    cleared = (f"c{rng.randrange(4)}",) if rng.random() < 0.2 else ()
    return PutCrashes(tuple(reports), cleared, rng.choice((0.0, 500.0, 1500.0)))


if __name__ == "__main__":
    unittest.main()
