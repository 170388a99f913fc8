"""Entries that take over duties of the control leader while it doesn't answer."""

from __future__ import annotations

import math

from mulberrygate.members.rendezvous import rank, weigh

# Requests of this many entries are ordered by one deputy; an entry has far less processor time than
# a control process.
ENTRIES_PER_DEPUTY = 64
# Deputies that an entry tries in turn; the first one may have stopped as well.
CANDIDATES = 2


class Deputies:
    """Choose deputies among the live entries by rendezvous hashing.

    Explanation
    ===========
    Entries that know the same entries agree on the deputies without a message. Limits of client
    accounts have one deputy for all entries, since each further bucket of an account may exceed its
    level by a request. Pools have one for each group of `ENTRIES_PER_DEPUTY` entries.

    Parameters
    ==========
    instance : str
        This process.

    Attributes
    ==========
    entries : tuple[str, ...]
        Live entries as control processes listed them last, empty before.

    Examples
    ========
    >>> from mulberrygate.members.deputies import Deputies
    >>> one, other = Deputies("10.0.0.1"), Deputies("10.0.0.2")
    >>> for deputies in (one, other):
    ...     deputies.set_entries(("10.0.0.1", "10.0.0.2", "10.0.0.3"))
    >>> one.for_pool("pool/care") == other.for_pool("pool/care")
    True
    """

    def __init__(self, instance: str):
        self.instance = instance
        self.entries: tuple[str, ...] = ()
        # Caches: hashing 200 names costs 0.4 ms, and deputies are looked up for every request.
        self.ranked: dict[str, tuple[str, ...]] = {}

    def set_entries(self, entries: tuple[str, ...]) -> None:
        """Replace the live entries."""
        if entries != self.entries:
            self.entries = entries
            self.ranked.clear()

    def for_limits(self) -> tuple[str, ...]:
        """Return the entries to ask for units of client accounts, the first choice first."""
        return self._candidates("deputy/limits")

    def for_pool(self, subject: str) -> tuple[str, ...]:
        """Return the entries to ask for grants of a pool, the first choice first."""
        return self._candidates(f"deputy/{subject}/{self._group()}")

    def _group(self) -> int:
        groups = math.ceil(len(self.entries) / ENTRIES_PER_DEPUTY)
        return weigh("deputy/group", self.instance) % groups if groups else 0

    def _candidates(self, subject: str) -> tuple[str, ...]:
        if subject not in self.ranked:
            self.ranked[subject] = tuple(rank(subject, self.entries)[:CANDIDATES])
        return self.ranked[subject]
