"""Tests of configurations and deltas."""

import random
import unittest

from mulberrygate.control.configuration import Configuration
from mulberrygate.core.invariant import InvariantError


class ConfigurationTest(unittest.TestCase):
    """Deltas between a source and copies."""

    def setUp(self):
        self.source = Configuration()
        self.source.put("pools", "a", 1, b"1")
        self.source.put("pools", "b", 2, b"2")

    def test_delta_holds_only_changes(self):
        """Guards against sending the whole configuration on every change."""
        delta = self.source.changes_since(1)
        self.assertEqual([entry.name for entry in delta.entries], ["b"])

    def test_removal_reaches_a_copy(self):
        """Guards against a removed entry that stays in force on other instances."""
        copy = Configuration()
        copy.apply(self.source.changes_since(0))
        self.source.remove("pools", "a", 3)
        self.assertTrue(copy.apply(self.source.changes_since(2)))
        self.assertEqual(copy.section("pools"), {"b": b"2"})

    def test_late_delta_changes_nothing(self):
        """Guards against a late delta that restores an old value."""
        copy = Configuration()
        early = self.source.changes_since(0)
        self.source.put("pools", "a", 3, b"3")
        copy.apply(self.source.changes_since(0))
        self.assertFalse(copy.apply(early))
        self.assertEqual(copy.get("pools", "a"), b"3")

    def test_delta_with_a_later_base_does_not_fit(self):
        """Guards against a copy that applies later changes without the ones that it misses."""
        copy = Configuration()
        self.assertFalse(copy.apply(self.source.changes_since(1)))
        self.assertEqual(copy.revision, 0)

    def test_dropped_tombstones_force_a_complete_delta(self):
        """Guards against a removal that never reaches an old copy, as its tombstone was dropped."""
        copy = Configuration()
        copy.apply(self.source.changes_since(0))
        self.source.MAX_TOMBSTONES = 1
        self.source.remove("pools", "a", 3)
        self.source.remove("pools", "b", 4)
        delta = self.source.changes_since(2)
        self.assertEqual(delta.base, 0)
        copy.apply(delta)
        self.assertEqual(copy.section("pools"), {})

    def test_revision_never_falls(self):
        """Guards against a source that returns to an earlier revision (code 9001)."""
        with self.assertRaises(InvariantError):
            self.source.put("pools", "a", 1, b"x")

    def test_random_deltas_in_any_order(self):
        """Guards against a mixture of states after lost, repeated or reordered deltas."""
        for seed in range(200):
            rng = random.Random(seed)
            source, copy = Configuration(), Configuration()
            states, deltas = {0: {}}, []
            for revision in range(1, 30):
                name = rng.choice("abcd")
                if rng.random() < 0.3:
                    source.remove("pools", name, revision)
                else:
                    source.put("pools", name, revision, b"%d" % revision)
                states[revision] = source.section("pools")
                deltas.append(source.changes_since(rng.randrange(revision)))
            rng.shuffle(deltas)
            for delta in deltas:
                copy.apply(delta)
                self.assertEqual(copy.section("pools"), states[copy.revision])
