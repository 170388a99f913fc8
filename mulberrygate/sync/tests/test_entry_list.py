"""Tests of the list of live entries that control processes keep."""

from __future__ import annotations

import unittest

from mulberrygate.sync.entry_list import ENTRY_LOST_AFTER_S, LIST_AGE_S, EntryList


class TestEntryList(unittest.TestCase):
    """Entries that follow this process and others."""

    def setUp(self):
        self.entries = EntryList()

    def test_processes_with_the_same_entries_have_the_same_digest(self):
        """Guards against names that are sent again whenever an entry changes its process."""
        other = EntryList()
        self.entries.record_poll("e1", 0.0)
        self.entries.record_update("c2", ("e2",), 0.0)
        other.record_poll("e2", 0.0)
        other.record_update("c1", ("e1",), 0.0)
        self.assertEqual(self.entries.all(1.0), other.all(1.0))
        self.assertEqual(self.entries.all(1.0).names, ("e1", "e2"))

    def test_entry_that_stopped_to_follow_is_removed(self):
        """Guards against deputies that stopped long ago."""
        self.assertTrue(self.entries.record_poll("e1", 0.0))
        self.assertFalse(self.entries.record_poll("e1", 1.0))
        self.assertEqual(self.entries.remove_lost(1.0 + ENTRY_LOST_AFTER_S), [])
        self.assertEqual(self.entries.remove_lost(1.1 + ENTRY_LOST_AFTER_S), ["e1"])
        self.assertEqual(self.entries.all(1.2 + ENTRY_LOST_AFTER_S).names, ())

    def test_entries_of_a_silent_control_process_are_removed(self):
        """Guards against entries that count although their process has stopped."""
        self.entries.record_update("c2", ("e2",), 0.0)
        self.assertEqual(self.entries.all(ENTRY_LOST_AFTER_S / 2).names, ("e2",))
        self.assertEqual(self.entries.all(ENTRY_LOST_AFTER_S).names, ())

    def test_new_entry_is_listed_soon(self):
        """Guards against a merged list that is reused for too long."""
        self.entries.all(0.0)
        self.entries.record_poll("e1", 0.0)
        self.assertEqual(self.entries.all(LIST_AGE_S).names, ("e1",))


if __name__ == "__main__":
    unittest.main()
