"""Live entries of the fleet, as control processes know them together."""

from __future__ import annotations

import zlib

import attrs

# An entry polls twice a second, so one that was silent for this time has probably stopped.
ENTRY_LOST_AFTER_S = 6.0
# The merged list is reused for this time: it is part of each answer to each entry.
LIST_AGE_S = 0.1


@attrs.frozen
class NamedEntries:
    """Sorted names of the live entries, with a digest by which copies are compared."""

    names: tuple[str, ...] = ()
    digest: int = 0


def named_entries(names: set[str]) -> NamedEntries:
    """Return the sorted names with their digest.

    Examples
    ========
    >>> from mulberrygate.sync.entry_list import named_entries
    >>> named_entries({"b", "a"}) == named_entries({"a", "b"})
    True
    """
    ordered = tuple(sorted(names))
    return NamedEntries(ordered, zlib.crc32("\n".join(ordered).encode()))


class EntryList:
    """Entries that follow this or another control process.

    Attributes
    ==========
    seen_at : dict[str, float]
        Monotonic time of the last request of each entry that follows this process.
    of_controls : dict[str, tuple[float, tuple[str, ...]]]
        Time of the last update of each other control process, and the entries that follow it.
    """

    def __init__(self):
        self.seen_at: dict[str, float] = {}
        self.of_controls: dict[str, tuple[float, tuple[str, ...]]] = {}
        self.listed = NamedEntries()
        self.listed_at = float("-inf")

    def record_poll(self, entry: str, now: float) -> bool:
        """Record a request of an entry; return whether it has just begun to follow."""
        is_new = entry not in self.seen_at
        self.seen_at[entry] = now
        return is_new

    def record_update(self, control: str, entries: tuple[str, ...], now: float) -> None:
        """Record the entries that follow another control process."""
        self.of_controls[control] = (now, entries)

    def remove_lost(self, now: float) -> list[str]:
        """Remove and return the entries that have stopped to follow this process."""
        lost = [name for name, at in self.seen_at.items() if at < now - ENTRY_LOST_AFTER_S]
        for name in lost:
            del self.seen_at[name]
        return lost

    def own(self, now: float) -> tuple[str, ...]:
        """Return the entries that follow this process."""
        limit = now - ENTRY_LOST_AFTER_S
        return tuple(name for name, at in self.seen_at.items() if at > limit)

    def all(self, now: float) -> NamedEntries:
        """Return the entries that follow any control process."""
        if now - self.listed_at >= LIST_AGE_S:
            names = set(self.own(now))
            for at, entries in self.of_controls.values():
                if now - at < ENTRY_LOST_AFTER_S:
                    names.update(entries)
            self.listed = named_entries(names)
            self.listed_at = now
        return self.listed
