"""Tests of a voter's files: restarts, damage and loss."""

import os
import random
import shutil
import tempfile
import unittest
from unittest import mock

from mulberrygate.agreement.effects import EntryRecord, JoinRecord, SaveSnapshot, TermRecord
from mulberrygate.agreement.messages import Entry, EntryKind, Members, Snapshot
from mulberrygate.agreement.node import AgreementNode
from mulberrygate.agreement.settings import AgreementSettings
from mulberrygate.agreement.storage import Storage, StorageError
from mulberrygate.agreement.tests.cluster import Cluster


def entry(index: int, term: int = 1, body: bytes = b"command") -> EntryRecord:
    """Return the record of a command."""
    return EntryRecord(Entry(index, term, EntryKind.COMMAND, body))


class StorageTest(unittest.TestCase):
    """Tests of a folder with a few records."""

    def setUp(self):
        self.folder = tempfile.mkdtemp()
        self.addCleanup(shutil.rmtree, self.folder)
        self.storages = []
        self.addCleanup(lambda: [storage.close() for storage in self.storages])

    def open(self, voter="a", folder=None):
        """Close all storages and load a folder, as after a restart."""
        for storage in self.storages:
            storage.close()
        storage = Storage(folder or self.folder)
        self.storages = [storage]
        return storage, storage.load(voter)

    def fill(self, count=3):
        """Write records and return the path of the log segment."""
        storage, _ = self.open()
        storage.persist((JoinRecord("g"), TermRecord(4, "x")))
        for index in range(1, count + 1):
            storage.persist((entry(index),))
        return os.path.join(self.folder, "log-00000001")

    def change(self, path, position, new):
        """Overwrite bytes of a file."""
        with open(path, "r+b") as file:
            file.seek(position, os.SEEK_SET if position >= 0 else os.SEEK_END)
            file.write(new)

    def assert_refused(self, text, **options):
        with self.assertRaises(StorageError) as caught:
            self.open(**options)
        self.assertIn(text, str(caught.exception))

    def test_restart_returns_what_was_written(self):
        """Guards against losing a term, vote, entry or identity in a restart."""
        self.fill()
        disk = self.storages[0].identity.disk
        _, state = self.open()
        self.assertEqual((state.identity.cluster, state.identity.disk), ("g", disk))
        self.assertEqual((state.term, state.voted_for), (4, "x"))
        self.assertEqual([e.index for e in state.entries], [1, 2, 3])

    def test_replaced_entries_stay_replaced(self):
        """Guards against a restart that restores replaced entries of a former leader."""
        self.fill()
        self.storages[0].persist((entry(2, 5, b"new"),))
        _, state = self.open()
        self.assertEqual([(e.index, e.term) for e in state.entries], [(1, 1), (2, 5)])

    def test_torn_tail_is_cut_off_at_every_length(self):
        """Guards against a voter that can't start after a crash during a write."""
        path = self.fill(2)
        complete = os.path.getsize(path)
        self.storages[0].persist((entry(3),))
        last = os.path.getsize(path)
        with open(path, "rb") as file:
            data = file.read()
        for length in range(complete, last):
            with self.subTest(length=length):
                with open(path, "wb") as file:
                    file.write(data[:length])
                storage, state = self.open()
                self.assertEqual(len(state.entries), 2)
                storage.persist((entry(3, 2),))
                self.assertEqual(len(self.open()[1].entries), 3)

    def test_every_flipped_byte_is_detected(self):
        """Guards against damage that is mistaken for a torn tail or read as other contents."""
        path = self.fill()
        self.storages[0].close()
        with open(path, "rb") as file:
            data = file.read()
        for position in range(len(data)):
            with self.subTest(position=position):
                self.change(path, position, bytes([data[position] ^ 0x40]))
                self.assert_refused("damaged")
                self.change(path, position, data[position : position + 1])
        self.assertEqual(len(self.open()[1].entries), 3)

    def test_damaged_snapshot_and_identity_are_detected(self):
        """Guards against a voter that starts on damaged state."""
        self.fill()
        snapshot = Snapshot(2, 1, Members(), b"state")
        self.storages[0].save_snapshot(SaveSnapshot(snapshot, 2, 1))
        for name in ("identity", "snapshot"):
            path = os.path.join(self.folder, name)
            with open(path, "rb") as file:
                data = file.read()
            self.change(path, -1, bytes([data[-1] ^ 1]))
            self.assert_refused("damaged")
            self.change(path, -1, data[-1:])

    def test_full_disk_stops_the_storage(self):
        """Guards against an acknowledgement after a failed write, now or later."""
        self.fill()
        for name in ("write", "fsync"):
            with self.subTest(call=name):
                storage, _ = self.open()
                with mock.patch(f"os.{name}", side_effect=OSError(28, "No space left on device")):
                    with self.assertRaises(StorageError):
                        storage.persist((entry(4),))
                with self.assertRaises(StorageError):
                    storage.persist((entry(4),))

    def test_partly_written_record_is_dropped_after_a_full_disk(self):
        """Guards against a voter that can't start again after its disk was full."""
        self.fill()
        real = os.write
        storage, _ = self.open()
        replies = [lambda n, d: real(n, d[:5]), OSError(28, "No space left on device")]
        with mock.patch("os.write") as write:
            write.side_effect = lambda n, d: replies.pop(0)(n, d)
            with self.assertRaises(StorageError):
                storage.persist((entry(4),))
        self.assertEqual(len(self.open()[1].entries), 3)

    def test_folder_of_another_voter_is_refused(self):
        """Guards against swapped disks that vote under each other's identity."""
        self.fill()
        self.assert_refused("belongs to voter a", voter="b")

    def test_emptied_folder_gets_another_identity(self):
        """Guards against an emptied disk that keeps its former identity."""
        self.fill()
        before = self.storages[0].identity.disk
        for name in os.listdir(self.folder):
            os.unlink(os.path.join(self.folder, name))
        _, state = self.open()
        self.assertNotEqual(state.identity.disk, before)
        self.assertEqual((state.identity.cluster, state.term), ("", 0))

    def test_new_folder_is_durable_before_it_is_used(self):
        """Guards against a loss of power that takes a voter's folder with all that is synced."""
        parent = os.stat(self.folder)
        synced = []
        fsync = os.fsync

        def record(fd):
            status = os.fstat(fd)
            synced.append((status.st_dev, status.st_ino))
            fsync(fd)

        storage = Storage(os.path.join(self.folder, "voter"))
        self.addCleanup(storage.close)
        with mock.patch("os.fsync", record):
            storage.load("v0")
        self.assertEqual(synced[0], (parent.st_dev, parent.st_ino))

    def test_missing_files_are_noticed(self):
        """Guards against a second vote in a term after some files were lost."""
        path = self.fill()
        self.storages[0].save_snapshot(SaveSnapshot(Snapshot(2, 1, Members(), b"s"), 2, 1))
        path = os.path.join(self.folder, "log-00000002")
        for name, text in ((path, "log is missing"), ("snapshot", "snapshot is missing")):
            name = os.path.join(self.folder, name)
            os.rename(name, name + ".away")
            os.rename(name + ".away", self.folder + ".away")
            self.assert_refused(text)
            os.rename(self.folder + ".away", name)
        os.unlink(os.path.join(self.folder, "identity"))
        self.assert_refused("identity file is missing")

    def test_emptied_log_is_noticed(self):
        """Guards against a second vote in a term after the log was emptied."""
        path = self.fill()
        self.storages[0].close()
        os.truncate(path, 0)
        self.assert_refused("start of the log is missing")

    def test_second_process_is_refused(self):
        """Guards against two processes that vote with the same folder."""
        self.fill()
        with self.assertRaises(StorageError):
            Storage(self.folder).load("a")

    def test_crash_between_snapshot_and_log_is_survived(self):
        """Guards against keeping old entries after an installed snapshot."""
        self.fill()
        snapshot = Snapshot(2, 9, Members(), b"state")
        with mock.patch.object(Storage, "write_segment", side_effect=OSError("ended here")):
            with self.assertRaises(StorageError):
                self.storages[0].save_snapshot(SaveSnapshot(snapshot, 2, 9))
        _, state = self.open()
        self.assertEqual((state.snapshot, state.base_index, state.entries), (snapshot, 2, ()))

    def test_restart_after_many_entries_is_bounded_by_the_snapshot(self):
        """Guards against a restart that reads the whole history."""
        cluster = Cluster(1, 1)
        settings = AgreementSettings()
        storage, state = self.open("v0")
        node = AgreementNode("v0", cluster.first_voters, state, random.Random(1), settings)
        instance = cluster.instances["v0"]
        instance.node = node
        instance.disk.persist = storage.persist
        instance.disk.save_snapshot = storage.save_snapshot
        cluster.run(3.0)
        for _ in range(700):
            cluster.propose("v0")
            cluster.flush(instance)
        state = self.open("v0")[1]
        self.assertGreaterEqual(state.snapshot.index, 512)
        self.assertLessEqual(len(state.entries), settings.snapshot_entries + settings.keep_entries)
        self.assertEqual(state.base_index + len(state.entries), node.log.last_index)


if __name__ == "__main__":
    unittest.main()
