"""Requests that still run in evacuated failure domains, as entries report them."""

from __future__ import annotations

from collections import Counter

Counts = tuple[tuple[str, int], ...]

# Entries report with each poll, which takes up to a second, and control processes tell each other
# twice a second. Later than this a report doesn't count: the entry may follow another process.
REPORT_AGE_S = 2.0


class RunningCounts:
    """Sums the requests that run in each evacuated failure domain, over all entries.

    Explanation
    ===========
    Each entry reports to the control process that it follows, and control processes tell each
    other the sums over their entries.

    Examples
    ========
    >>> from mulberrygate.sync.running_counts import RunningCounts
    >>> counts = RunningCounts()
    >>> counts.record_poll("entry-1", (("a", 2),), now=0.0)
    >>> counts.record_update("control-2", (("a", 3),), now=0.5)
    >>> counts.totals(1.0), counts.totals(2.2)
    ({'a': 5}, {'a': 3})
    """

    def __init__(self):
        self.polls: dict[str, tuple[Counts, float]] = {}
        self.updates: dict[str, tuple[Counts, float]] = {}

    def record_poll(self, entry: str, running: Counts, now: float) -> None:
        """Record the counts of an entry that follows this process."""
        self._record(self.polls, entry, running, now)

    def record_update(self, control: str, running: Counts, now: float) -> None:
        """Record the sums over the entries of another control process."""
        self._record(self.updates, control, running, now)

    def _record(self, known: dict, sender: str, running: Counts, now: float) -> None:
        if running:
            known[sender] = (running, now)
        else:
            known.pop(sender, None)

    def own(self, now: float) -> Counts:
        """Return the sums over the entries that follow this process."""
        return tuple(self._sum(self.polls, now).items())

    def totals(self, now: float) -> dict[str, int]:
        """Return the sums over all entries."""
        return dict(self._sum(self.polls, now) + self._sum(self.updates, now))

    def _sum(self, known: dict[str, tuple[Counts, float]], now: float) -> Counter:
        sums: Counter = Counter()
        for running, at in known.values():
            if now - at <= REPORT_AGE_S:
                sums.update(dict(running))
        return sums
