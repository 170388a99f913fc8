"""Tests of the start of an entry whose control processes lack the newest state."""

from __future__ import annotations

import json
import unittest
import zlib
from unittest import mock

import attrs

from mulberrygate.daemon.entry_node import CURRENT_STATE_WAIT_S, EntryNode
from mulberrygate.forward.tests.support import Lines, document
from mulberrygate.platform.documents import decode_document
from mulberrygate.platform.headers import PlatformDialect
from mulberrygate.platform.settings import Bounds, Site
from mulberrygate.sync.messages import FollowResult

BOUNDS = Bounds()
SITE = Site(
    "entry", "entry-1", "a", "r", {"a": "r"}, "", "", "", 0, (), False, "", 3, BOUNDS
)  # fmt: skip


def result(version, quarantine=0, quarantined=(), is_current=True, **account):
    """Return an answer of a control process with a catalog and a quarantine."""
    fields = {**document(), "version": version}
    if account:
        fields["tenants"] = [{"name": "hule", "apiKeys": [account["key"]]}]
    return FollowResult(
        control_incarnation=1,
        changes=0,
        catalog_version=version,
        is_current=is_current,
        catalog=zlib.compress(json.dumps(fields).encode()),
        quarantine=quarantine,
        quarantined=quarantined,
        revision=version,
    )


class TestEntryStart(unittest.IsolatedAsyncioTestCase):
    """An entry that gets the answers of control processes, without a network."""

    async def asyncSetUp(self):
        self.entry = EntryNode(SITE, Lines(), PlatformDialect(), decode_document)
        self.addAsyncCleanup(self.entry.timers.close)
        self.entry._create_components()
        self.addAsyncCleanup(self.entry.forwarder.close)
        self.now = 100.0
        patch = mock.patch.object(self.entry.timers, "now", lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)

    async def test_number_of_entries_of_a_process_without_its_group_is_not_used(self):
        """Guards against limits that are exceeded as each part of a fleet takes itself for all.

        A control process that is cut off from its group forgets the entries that follow others.
        """
        names = ("e1", "e2", "e3", "e4")
        self.receive(attrs.evolve(result(1), entries=4, entry_names=names, entries_digest=9))
        cut_off = attrs.evolve(result(1, is_current=False), entries=1, entries_digest=5)
        self.receive(attrs.evolve(cut_off, entry_names=names[:1]))
        self.assertEqual(self.entry.deputies.entries, names)
        self.assertEqual(self.entry.forwarder.entries, 4)
        self.assertEqual(self.entry.limits.entries, 4)
        self.assertEqual(self.entry.follower.entries_digest, 9)

    def receive(self, answer):
        """Apply an answer of the followed control process."""
        self.entry.follower._apply_result(answer)

    def evacuated(self):
        """Return the evacuated failure domains that the entry knows."""
        return sorted(self.entry.evacuations.evacuated)

    async def test_evacuations_are_known_before_the_first_request(self):
        """Guards against a restarted entry that sends to an evacuated failure domain.

        A control process that was restored from its disk lacks the evacuation.
        """
        known = {}
        self.entry.forwarder.has_index.set = lambda: known.update(domains=self.evacuated())
        self.receive(attrs.evolve(result(1, is_current=False), evacuations=0))
        self.assertFalse(self.entry.is_ready)
        self.receive(attrs.evolve(result(1), evacuations=9, evacuated=("b",), evacuated_s=(4.0,)))
        self.assertEqual(known, {"domains": ["b"]})
        self.assertEqual(
            self.entry.lines.of("evacuation.in_force"), [{"failure_domain": "b", "age_s": 4.0}]
        )

    async def test_evacuation_is_not_forgotten(self):
        """Guards against a process that is behind, or of an earlier release, which ends one."""
        self.receive(attrs.evolve(result(1), evacuations=9, evacuated=("b",), evacuated_s=(4.0,)))
        self.now += 60.0
        self.receive(attrs.evolve(result(1, is_current=False), evacuations=3))
        self.receive(attrs.evolve(result(1), evacuations=-1))
        self.assertEqual(self.evacuated(), ["b"])
        withdrawn = (("b", 1.5),)
        self.receive(attrs.evolve(result(1), evacuations=12, withdrawn=withdrawn))
        self.assertEqual(self.evacuated(), [])
        self.assertEqual(
            self.entry.lines.of("evacuation.ended"), [{"failure_domain": "b", "age_s": 1.5}]
        )

    async def test_catalog_of_a_process_that_is_behind_is_not_put_in_force(self):
        """Guards against a withdrawn key that is valid again at an entry that starts anew.

        A control process that was restored from its disk has an older catalog and quarantine.
        """
        self.receive(result(3, is_current=False, key="withdrawn"))
        self.assertFalse(self.entry.is_ready)
        self.receive(result(4, 7, ("part-bad",), key="valid"))
        self.assertTrue(self.entry.is_ready)
        self.assertIsNone(self.entry.forwarder.index.account("withdrawn"))
        self.assertEqual(set(self.entry.suspects.quarantined), {"part-bad"})

    async def test_newest_known_state_is_used_if_no_process_is_current(self):
        """Guards against entries that serve nobody while the control group has no majority."""
        self.receive(result(3, is_current=False))
        self.now += CURRENT_STATE_WAIT_S
        self.receive(result(3, is_current=False))
        self.assertTrue(self.entry.is_ready)

    async def test_older_quarantine_of_a_process_that_is_behind(self):
        """Guards against releasing a part because an entry followed a process that lags."""
        self.receive(result(4, 7, ("part-bad",)))
        self.receive(result(4, 6, (), is_current=False))
        self.assertEqual(set(self.entry.suspects.quarantined), {"part-bad"})
        self.receive(result(4, 8, ("part-bad", "part-other"), is_current=False))
        self.assertEqual(set(self.entry.suspects.quarantined), {"part-bad", "part-other"})


if __name__ == "__main__":
    unittest.main()
