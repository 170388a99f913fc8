"""In-memory part of the replicated log."""

from __future__ import annotations

from collections.abc import Iterable

from mulberrygate.agreement.messages import Entry


class Log:
    """Consecutive entries after a base index.

    Parameters
    ==========
    base_index, base_term : int
        Index and term of the last entry that has been compacted away.
    entries : Iterable[Entry]
        Entries from ``base_index + 1`` on.

    Examples
    ========
    >>> from mulberrygate.agreement.log import Log
    >>> Log(7, 2, ()).last_index
    7
    """

    def __init__(self, base_index: int, base_term: int, entries: Iterable[Entry]):
        self.base_index = base_index
        self.base_term = base_term
        self.entries = list(entries)

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at an index, ``None`` if the log does not hold it."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def entry_at(self, index: int) -> Entry:
        """Return the entry at an index, which the log must hold."""
        return self.entries[index - self.base_index - 1]

    def append(self, entry: Entry) -> None:
        """Add the next entry."""
        self.entries.append(entry)

    def truncate(self, first: int) -> None:
        """Drop the entries from ``first`` on."""
        del self.entries[first - self.base_index - 1 :]

    def compact(self, index: int) -> None:
        """Drop the entries up to and including ``index``."""
        term = self.term_at(index)
        if term is None:
            raise ValueError(f"the log holds no entry {index}")
        del self.entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term

    def batch(self, first: int, size: int) -> tuple[Entry, ...]:
        """Return entries from ``first`` on: up to ``size`` bytes of bodies, but at least one."""
        chosen: list[Entry] = []
        for entry in self.entries[first - self.base_index - 1 :]:
            size -= len(entry.body)
            if chosen and size < 0:
                break
            chosen.append(entry)
        return tuple(chosen)

    def bytes_between(self, first: int, last: int) -> int:
        """Return the total size of the bodies of the held entries ``first`` to ``last``."""
        start = max(0, first - self.base_index - 1)
        return sum(len(e.body) for e in self.entries[start : max(0, last - self.base_index)])
