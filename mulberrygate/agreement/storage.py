"""Files of a voter: identity, log segment and snapshot.

Explanation
===========
Three files are kept in the voter's folder: ``identity``, one log segment ``log-<generation>`` and
``snapshot``. The identity and the snapshot are replaced atomically. A new segment with the entries
that are still needed replaces the old one after each snapshot, so a restart reads at most one
snapshot and a bounded number of entries.

A record at the end of the segment that is shorter than its header says was being written when the
process or machine stopped: it was never acknowledged and is truncated. Any other record that does
not match its checksum is damaged, also the last one, because it may have been acknowledged. A
folder that is damaged or belongs to another voter stops the voter. An emptied folder gets a new
disk identifier, which the group accepts only as a learner.
"""

from __future__ import annotations

import fcntl
import os
import secrets
import struct
import zlib
from collections.abc import Callable, Iterable
from typing import Any

import attrs
import msgpack

from mulberrygate.agreement.effects import EntryRecord, JoinRecord, SaveSnapshot, TermRecord
from mulberrygate.agreement.messages import Entry, EntryKind, Snapshot
from mulberrygate.agreement.state import Identity, StorageState
from mulberrygate.core.wire import converter

# Length of the body, checksum of the length, checksum of the body. The length has its own
# checksum, so that a flipped bit in it is not mistaken for a truncated record.
HEADER = struct.Struct(">III")
BASE, TERM, ENTRY = 0, 1, 2
IDENTITY_FILE = "identity"
SNAPSHOT_FILE = "snapshot"
LOCK_FILE = "lock"
SEGMENT_PREFIX = "log-"
NEW_SUFFIX = ".new"


class StorageError(Exception):
    """The folder is not usable, or a write to it failed."""


def encode_record(body: bytes) -> bytes:
    """Return the record of a body: header and body."""
    length = len(body)
    return HEADER.pack(length, zlib.crc32(struct.pack(">I", length)), zlib.crc32(body)) + body


def decode_records(data: bytes, path: str) -> tuple[list[bytes], int]:
    """Return the bodies of the complete records, and the length of these records.

    Explanation
    ===========
    A truncated record at the end is left out, and so is an end that consists of zeros only.

    Raises
    ======
    StorageError
        A header or a complete record does not match its checksum.
    """
    bodies: list[bytes] = []
    position = 0
    while position < len(data):
        if not any(data[position : position + HEADER.size]) and not any(data[position:]):
            break
        if position + HEADER.size > len(data):
            break
        length, length_sum, body_sum = HEADER.unpack_from(data, position)
        if zlib.crc32(struct.pack(">I", length)) != length_sum:
            raise StorageError(f"{path}: damaged record header at byte {position}")
        start = position + HEADER.size
        if start + length > len(data):
            break
        body = data[start : start + length]
        if zlib.crc32(body) != body_sum:
            raise StorageError(f"{path}: damaged record at byte {position}")
        bodies.append(body)
        position = start + length
    return bodies, position


@attrs.define
class Segment:
    """Contents of the log segment."""

    base_index: int = 0
    base_term: int = 0
    term: int = 0
    voted_for: str = ""
    entries: list[Entry] = attrs.field(factory=list)

    def add_record(self, body: bytes) -> None:
        """Add the body of the next record."""
        kind, *values = msgpack.unpackb(body)
        if kind == BASE:
            self.base_index, self.base_term = values
        elif kind == TERM:
            self.term, self.voted_for = values
        else:
            entry = Entry(values[0], values[1], EntryKind(values[2]), values[3])
            position = entry.index - self.base_index - 1
            if not 0 <= position <= len(self.entries):
                raise ValueError(f"entry {entry.index} does not follow the log")
            del self.entries[position:]
            self.entries.append(entry)

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at an index, ``None`` if the segment does not hold it."""
        position = index - self.base_index - 1
        if position == -1:
            return self.base_term
        return self.entries[position].term if 0 <= position < len(self.entries) else None


def pack_entry(entry: Entry) -> bytes:
    """Return the body of the record of an entry."""
    return msgpack.packb([ENTRY, entry.index, entry.term, int(entry.kind), entry.body])


def sync_folder(path: str) -> None:
    """Make the names in a folder durable."""
    folder = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


class Storage:
    """Files of one voter.

    Explanation
    ===========
    After a failed write or sync every further call fails: what is on the disk after a failed sync
    is unknown until the folder is read again.

    Parameters
    ==========
    folder : str
        Folder of this voter, on a local disk.
    new_disk_id : Callable[[], str]
        Returns a random identifier for a new disk.
    """

    def __init__(self, folder: str, new_disk_id: Callable[[], str] | None = None):
        self.folder = folder
        self.new_disk_id = new_disk_id or (lambda: secrets.token_hex(8))
        self.identity: Identity | None = None
        self.generation = 0
        self.segment_fd = -1
        self.lock_fd = -1
        self.failure = ""
        self.synced_bytes = 0

    def load(self, voter: str) -> StorageState:
        """Open the folder, or create it, and return the stored state.

        Raises
        ======
        StorageError
            The folder is in use, damaged, belongs to another voter, or can't be read or written.
        """
        return self.guard(lambda: self.load_files(voter))

    def persist(self, records: Iterable[Any]) -> None:
        """Write records and sync them to disk.

        Raises
        ======
        StorageError
            Writing failed; the voter must stop.
        """
        self.guard(lambda: self.write_records(records))

    def save_snapshot(self, effect: SaveSnapshot) -> None:
        """Save a snapshot and drop the log up to ``effect.base_index``.

        Raises
        ======
        StorageError
            Writing failed; the voter must stop.
        """
        self.guard(lambda: self.write_snapshot(effect))

    def close(self) -> None:
        """Close the files and release the lock."""
        for fd in (self.segment_fd, self.lock_fd):
            if fd >= 0:
                os.close(fd)
        self.segment_fd = self.lock_fd = -1
        self.failure = self.failure or "the storage is closed"

    def guard(self, action: Callable[[], Any]) -> Any:
        """Run an action; raise `StorageError` on failure, and again on every later call."""
        if self.failure:
            raise StorageError(self.failure)
        try:
            return action()
        except StorageError as error:
            self.failure = str(error)
            raise
        except (OSError, ValueError, TypeError, KeyError) as error:
            self.failure = f"{self.folder}: {error}"
            raise StorageError(self.failure) from error

    def path(self, name: str) -> str:
        """Return the path of a file in the folder."""
        return os.path.join(self.folder, name)

    def load_files(self, voter: str) -> StorageState:
        """Lock the folder and read all its files."""
        os.makedirs(self.folder, exist_ok=True)
        # Without this a loss of power may take a new folder with all that is synced in it.
        sync_folder(os.path.dirname(os.path.abspath(self.folder)))
        self.lock()
        self.remove_unfinished()
        self.identity = self.read_identity(voter)
        segment = self.read_segment()
        snapshot = self.read_snapshot()
        return self.combine(segment, snapshot)

    def lock(self) -> None:
        """Lock the folder, so that no other process uses it."""
        self.lock_fd = os.open(self.path(LOCK_FILE), os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self.lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            raise StorageError(f"{self.folder}: in use by another process") from error

    def remove_unfinished(self) -> None:
        """Remove files whose atomic replacement was interrupted."""
        for name in os.listdir(self.folder):
            if name.endswith(NEW_SUFFIX):
                os.unlink(self.path(name))

    def segment_generations(self) -> list[int]:
        """Return the generations of the log segments in ascending order."""
        names = os.listdir(self.folder)
        return sorted(
            int(name[len(SEGMENT_PREFIX) :]) for name in names if name.startswith(SEGMENT_PREFIX)
        )

    def read_identity(self, voter: str) -> Identity:
        """Read the identity, or create one in an empty folder."""
        if not os.path.exists(self.path(IDENTITY_FILE)):
            if os.path.exists(self.path(SNAPSHOT_FILE)) or self.segment_generations() not in (
                [],
                [1],
            ):
                raise StorageError(f"{self.folder}: the identity file is missing")
            return self.make_folder(voter)
        identity = converter.loads(self.read_single_record(IDENTITY_FILE), Identity)
        if identity.voter != voter:
            raise StorageError(f"{self.folder}: belongs to voter {identity.voter}, not {voter}")
        return identity

    def make_folder(self, voter: str) -> Identity:
        """Initialise an empty folder; the identity file is written last."""
        if self.segment_generations() and self.has_entries():
            raise StorageError(f"{self.folder}: the identity file is missing")
        identity = Identity(voter, self.new_disk_id())
        self.write_segment(1, Segment())
        self.replace_file(IDENTITY_FILE, encode_record(converter.dumps(identity)))
        return identity

    def has_entries(self) -> bool:
        """Return whether the first segment holds more than an empty log."""
        with open(self.path(f"{SEGMENT_PREFIX}{1:08d}"), "rb") as file:
            bodies, _ = decode_records(file.read(), self.folder)
        return len(bodies) > 2

    def read_single_record(self, name: str) -> bytes:
        """Return the only record of a file that is always replaced as a whole."""
        with open(self.path(name), "rb") as file:
            data = file.read()
        bodies, length = decode_records(data, self.path(name))
        if len(bodies) != 1 or length != len(data):
            raise StorageError(f"{self.path(name)}: damaged")
        return bodies[0]

    def read_segment(self) -> Segment:
        """Read the newest log segment, truncate a torn tail, and remove older segments."""
        generations = self.segment_generations()
        if not generations:
            raise StorageError(f"{self.folder}: the log is missing")
        self.generation = generations[-1]
        path = self.path(f"{SEGMENT_PREFIX}{self.generation:08d}")
        self.segment_fd = os.open(path, os.O_RDWR)
        with open(path, "rb") as file:
            data = file.read()
        bodies, length = decode_records(data, path)
        if len(bodies) < 2:
            raise StorageError(f"{path}: the start of the log is missing")
        segment = Segment()
        for body in bodies:
            segment.add_record(body)
        if length < len(data):
            os.ftruncate(self.segment_fd, length)
            os.fsync(self.segment_fd)
        os.lseek(self.segment_fd, 0, os.SEEK_END)
        for generation in generations[:-1]:
            os.unlink(self.path(f"{SEGMENT_PREFIX}{generation:08d}"))
        return segment

    def read_snapshot(self) -> Snapshot | None:
        """Read the snapshot, if there is one."""
        if not os.path.exists(self.path(SNAPSHOT_FILE)):
            return None
        return converter.loads(self.read_single_record(SNAPSHOT_FILE), Snapshot)

    def combine(self, segment: Segment, snapshot: Snapshot | None) -> StorageState:
        """Return the state of the log segment and the snapshot together."""
        if segment.base_index > (snapshot.index if snapshot else 0):
            raise StorageError(f"{self.folder}: the snapshot is missing or too old for the log")
        if snapshot and segment.term_at(snapshot.index) != snapshot.term:
            # The process stopped after saving an installed snapshot and before saving its log.
            segment.base_index, segment.base_term = snapshot.index, snapshot.term
            segment.entries = []
        return StorageState(
            self.identity,
            segment.term,
            segment.voted_for,
            snapshot,
            segment.base_index,
            segment.base_term,
            tuple(segment.entries),
        )

    def write_records(self, records: Iterable[Any]) -> None:
        """Write records, with a single sync for the log segment."""
        parts: list[bytes] = []
        for record in records:
            if isinstance(record, JoinRecord):
                self.identity = attrs.evolve(self.identity, cluster=record.cluster)
                self.replace_file(IDENTITY_FILE, encode_record(converter.dumps(self.identity)))
            elif isinstance(record, TermRecord):
                parts.append(encode_record(msgpack.packb([TERM, record.term, record.voted_for])))
            elif isinstance(record, EntryRecord):
                parts.append(encode_record(pack_entry(record.entry)))
            else:
                raise TypeError(f"unknown record {type(record).__name__}")
        if parts:
            self.write_all(self.segment_fd, b"".join(parts))
            os.fsync(self.segment_fd)

    def write_all(self, fd: int, data: bytes) -> None:
        """Write all bytes to an open file."""
        self.synced_bytes += len(data)
        view = memoryview(data)
        while view:
            view = view[os.write(fd, view) :]

    def write_snapshot(self, effect: SaveSnapshot) -> None:
        """Replace the snapshot, then the log segment."""
        snapshot = effect.snapshot
        self.replace_file(SNAPSHOT_FILE, encode_record(converter.dumps(snapshot)))
        segment = self.reread_segment()
        keeps_log = segment.term_at(snapshot.index) == snapshot.term
        first = max(0, effect.base_index - segment.base_index)
        segment.entries = segment.entries[first:] if keeps_log else []
        segment.base_index, segment.base_term = effect.base_index, effect.base_term
        old = self.generation
        os.close(self.segment_fd)
        self.segment_fd = -1
        self.write_segment(old + 1, segment)
        self.generation = old + 1
        path = self.path(f"{SEGMENT_PREFIX}{self.generation:08d}")
        self.segment_fd = os.open(path, os.O_RDWR | os.O_APPEND)
        os.unlink(self.path(f"{SEGMENT_PREFIX}{old:08d}"))

    def reread_segment(self) -> Segment:
        """Read the current log segment again."""
        path = self.path(f"{SEGMENT_PREFIX}{self.generation:08d}")
        with open(path, "rb") as file:
            bodies, _ = decode_records(file.read(), path)
        segment = Segment()
        for body in bodies:
            segment.add_record(body)
        return segment

    def write_segment(self, generation: int, segment: Segment) -> None:
        """Write a new log segment; it always starts with a base record and a term record."""
        parts = [
            encode_record(msgpack.packb([BASE, segment.base_index, segment.base_term])),
            encode_record(msgpack.packb([TERM, segment.term, segment.voted_for])),
            *(encode_record(pack_entry(entry)) for entry in segment.entries),
        ]
        self.replace_file(f"{SEGMENT_PREFIX}{generation:08d}", b"".join(parts))

    def replace_file(self, name: str, data: bytes) -> None:
        """Replace a file in the folder atomically and sync the folder."""
        path = self.path(name)
        fd = os.open(path + NEW_SUFFIX, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            self.write_all(fd, data)
            os.fsync(fd)
        finally:
            os.close(fd)
        os.rename(path + NEW_SUFFIX, path)
        sync_folder(self.folder)
