"""Configuration in force on an instance, as entries with revisions, and deltas of it."""

from __future__ import annotations

import attrs

from mulberrygate.control.commands import ConfigEntry
from mulberrygate.core.codes import register_code
from mulberrygate.core.invariant import invariant
from mulberrygate.core.wire import message

REVISION_FELL = register_code(9001, "revision_fell", "A configuration revision fell.")

Key = tuple[str, str]


@message("control.delta")
@attrs.frozen
class Delta:
    """Changes of the configuration between two revisions.

    Parameters
    ==========
    base : int
        Lowest revision of the receiver that the delta can be applied to; 0 for a complete
        configuration.
    revision : int
        Revision after the changes.
    entries : tuple[ConfigEntry, ...]
        Changed entries; an entry with an empty body was removed.
    """

    base: int
    revision: int
    entries: tuple[ConfigEntry, ...]


class Configuration:
    """Entries of the configuration up to a revision.

    Explanation
    ===========
    The control state machine writes entries with `put` and `remove`; every other instance applies
    deltas with `apply`. Removed entries stay as tombstones, so that deltas can include removals. A
    delta from revision 0 is complete and replaces everything.

    Examples
    ========
    >>> from mulberrygate.control.configuration import Configuration
    >>> source, copy = Configuration(), Configuration()
    >>> source.put("pools", "lamp", 7, b"x")
    >>> copy.apply(source.changes_since(copy.revision))
    True
    >>> copy.revision
    7
    """

    # Tombstones beyond this number are dropped, oldest first; receivers with an older revision than
    # a dropped tombstone get the complete configuration.
    MAX_TOMBSTONES = 4096

    def __init__(self):
        self.revision = 0
        self.entries: dict[Key, ConfigEntry] = {}
        self.tombstones: dict[Key, ConfigEntry] = {}
        self.oldest_delta = 0

    def put(self, section: str, name: str, revision: int, body: bytes) -> None:
        """Set an entry at a revision."""
        self._raise_revision(revision)
        self.tombstones.pop((section, name), None)
        self.entries[section, name] = ConfigEntry(section, name, revision, body)

    def remove(self, section: str, name: str, revision: int) -> None:
        """Remove an entry at a revision."""
        self._raise_revision(revision)
        self.entries.pop((section, name), None)
        self.tombstones.pop((section, name), None)
        self.tombstones[section, name] = ConfigEntry(section, name, revision, b"")
        while len(self.tombstones) > self.MAX_TOMBSTONES:
            oldest = next(iter(self.tombstones))
            self.oldest_delta = max(self.oldest_delta, self.tombstones.pop(oldest).revision)

    def _raise_revision(self, revision: int) -> None:
        invariant(revision >= self.revision, REVISION_FELL, f"from {self.revision} to {revision}")
        self.revision = revision

    def changes_since(self, revision: int) -> Delta:
        """Return the delta that updates a copy at a revision to the current revision."""
        base = revision if self.oldest_delta <= revision <= self.revision else 0
        changed = [entry for entry in self.entries.values() if entry.revision > base]
        if base:
            changed += [entry for entry in self.tombstones.values() if entry.revision > base]
        changed.sort(key=lambda entry: (entry.revision, entry.section, entry.name))
        return Delta(base, self.revision, tuple(changed))

    def apply(self, delta: Delta) -> bool:
        """Apply a delta if it is newer and its base fits; return whether it was applied.

        Explanation
        ===========
        A delta that ends at or before the current revision changes nothing, so that late and
        repeated deltas can't restore an old state.
        """
        if delta.revision <= self.revision or delta.base > self.revision:
            return False
        if delta.base == 0:
            self.entries = {}
            self.tombstones = {}
            self.oldest_delta = delta.revision
        for entry in delta.entries:
            key = (entry.section, entry.name)
            known = self.entries.get(key) or self.tombstones.get(key)
            if known is not None and known.revision >= entry.revision:
                continue
            self.tombstones.pop(key, None)
            if entry.body:
                self.entries[key] = entry
            else:
                self.entries.pop(key, None)
                self.tombstones[key] = entry
        self._raise_revision(delta.revision)
        return True

    def section(self, section: str) -> dict[str, bytes]:
        """Return the bodies of a section by name."""
        return {name: entry.body for (kind, name), entry in self.entries.items() if kind == section}

    def get(self, section: str, name: str) -> bytes:
        """Return the body of an entry, or empty bytes."""
        entry = self.entries.get((section, name))
        return entry.body if entry is not None else b""
