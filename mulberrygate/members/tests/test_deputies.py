"""Tests of the choice of deputies among entries."""

from __future__ import annotations

import collections
import unittest

from mulberrygate.members.deputies import CANDIDATES, ENTRIES_PER_DEPUTY, Deputies

NAMES = tuple(f"10.0.{number // 100}.{number % 100}" for number in range(200))


def make_deputies(instance, names=NAMES):
    """Return the choice of an entry that knows these entries."""
    deputies = Deputies(instance)
    deputies.set_entries(names)
    return deputies


class TestDeputies(unittest.TestCase):
    """A fleet of 200 entries."""

    def test_entries_agree_on_one_deputy_for_limits(self):
        """Guards against several buckets of one account."""
        found = {make_deputies(name).for_limits() for name in NAMES}
        self.assertEqual(len(found), 1)
        self.assertEqual(len(found.pop()), CANDIDATES)

    def test_pool_deputies_get_requests_of_a_bounded_number_of_entries(self):
        """Guards against one small instance that orders the requests of the whole fleet."""
        counts = collections.Counter(make_deputies(name).for_pool("pool/care")[0] for name in NAMES)
        self.assertEqual(len(counts), -(-len(NAMES) // ENTRIES_PER_DEPUTY))
        self.assertLess(max(counts.values()), 1.5 * ENTRIES_PER_DEPUTY)

    def test_loss_of_other_entries_changes_no_deputy(self):
        """Guards against deputies that change with each entry that joins or leaves."""
        names = NAMES[:ENTRIES_PER_DEPUTY]
        first = make_deputies(names[0], names)
        deputies = first.for_pool("pool/care")
        others = tuple(name for name in names if name not in (*deputies, names[7]))
        first.set_entries(tuple(sorted((*deputies, *others))))
        self.assertEqual(first.for_pool("pool/care"), deputies)

    def test_without_a_list_there_are_no_deputies(self):
        """Guards against an entry that asks nobody before it knows the others."""
        self.assertEqual(Deputies("10.0.0.1").for_pool("pool/care"), ())
        self.assertEqual(Deputies("10.0.0.1").for_limits(), ())


if __name__ == "__main__":
    unittest.main()
