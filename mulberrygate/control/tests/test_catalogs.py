"""Tests of the replicated state of a deployment and of verdicts on version moves."""

from __future__ import annotations

import random
import unittest

from mulberrygate.control.catalogs import (
    DONE,
    ROLLED_BACK,
    RUNNING,
    CatalogMachine,
    Move,
    PutCatalog,
    PutLeaving,
    PutMove,
    encode_command,
)
from mulberrygate.control.rollouts import RolloutJudge
from mulberrygate.core.invariant import InvariantError
from mulberrygate.sync.messages import VersionEvidence


def apply(machine, command):
    """Apply a command and return whether it changed the state."""
    return machine.apply(0, encode_command(command))


class TestCatalogs(unittest.TestCase):
    """Versions, leaving endpoints and moves in the log."""

    def test_highest_version_counts_in_any_order(self):
        """An older change that arrived again came into force."""
        for seed in range(20):
            machine = CatalogMachine()
            versions = [random.Random(seed).randrange(30) for _ in range(20)]
            for version in versions:
                apply(machine, PutCatalog(version, b"%d" % version))
            self.assertEqual(machine.version, max(versions))
            self.assertEqual(machine.document, b"%d" % max(versions))

    def test_other_content_under_the_version_held(self):
        """A second document of the same version replaced the first."""
        machine = CatalogMachine()
        self.assertTrue(apply(machine, PutCatalog(3, b"first")))
        self.assertFalse(apply(machine, PutCatalog(3, b"second")))
        self.assertEqual(machine.document, b"first")

    def test_snapshot_holds_everything(self):
        """After a restart from a snapshot an endpoint that had left was used again."""
        machine, other = CatalogMachine(), CatalogMachine()
        apply(machine, PutCatalog(3, b"document"))
        apply(machine, PutLeaving("e1", 5))
        apply(machine, PutMove("care", "v2", RUNNING, 1.0, 11.0))
        other.restore(machine.snapshot())
        self.assertEqual(other.leaving, {"e1": 5})
        self.assertEqual(other.moves, {"care": Move("v2", RUNNING, 1.0, 11.0)})
        self.assertFalse(apply(other, PutLeaving("e1", 4)))

    def test_snapshot_of_an_older_state(self):
        """A state was replaced by an older one."""
        machine, old = CatalogMachine(), CatalogMachine()
        apply(machine, PutCatalog(3, b"document"))
        with self.assertRaises(InvariantError):
            machine.restore(old.snapshot())

    def test_verdict_is_final(self):
        """A repeated order began a move again that had been withdrawn."""
        machine = CatalogMachine()
        apply(machine, PutMove("care", "v2", RUNNING, 1.0, 11.0))
        apply(machine, PutMove("care", "v2", ROLLED_BACK))
        self.assertFalse(apply(machine, PutMove("care", "v2", RUNNING, 2.0, 12.0)))
        self.assertFalse(apply(machine, PutMove("care", "v2", DONE)))
        self.assertEqual(machine.moves["care"].state, ROLLED_BACK)


class TestRollouts(unittest.TestCase):
    """Verdicts from evidence."""

    def verdict(self, now, *reports):
        """Return the verdict on a move from 0 s to 10 s."""
        judge = RolloutJudge(0.1)
        for number, (version, total, bad) in enumerate(reports):
            judge.observe(VersionEvidence("e", 1, number, "care", version, total, bad))
        return judge.verdict("care", Move("v2", RUNNING, 0.0, 10.0), now)

    def test_good_version(self):
        """A good version wasn't done by its deadline."""
        self.assertEqual(self.verdict(2.0, ("v1", 300, 3), ("v2", 20, 0)), "")
        self.assertEqual(self.verdict(7.0, ("v1", 300, 3), ("v2", 20, 0)), DONE)

    def test_bad_version(self):
        """A version that fails part of its requests took over."""
        self.assertEqual(self.verdict(2.0, ("v1", 300, 3), ("v2", 20, 8)), ROLLED_BACK)

    def test_failures_of_both_versions(self):
        """A version was withdrawn for failures that the former one shows as well."""
        self.assertEqual(self.verdict(2.0, ("v1", 300, 120), ("v2", 20, 8)), "")

    def test_report_that_comes_twice(self):
        """A report that was sent again counted twice."""
        judge = RolloutJudge(0.1)
        for _ in range(5):
            judge.observe(VersionEvidence("e", 1, 1, "care", "v2", 4, 4))
        self.assertEqual(judge.counts["care"]["v2"].total, 4)


if __name__ == "__main__":
    unittest.main()
