"""Evidence on a version move: sums per route, version and load that scheduler owners report."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from mulberrygate.core.sums import RequestSums
from mulberrygate.core.wire import message

# Load fractions (running requests divided by slots of the endpoint) at which the buckets start.
LOAD_BUCKETS = (0.0, 0.5, 0.85)
# Sums are sent as integers in thousandths, which take 2 to 5 bytes instead of 9.
SCALE = 1000
# Bounds the cells, routes and runs of a message; cells that don't fit go with the next message.
MAX_CELL_BYTES = 360
CELL_BYTES = 18
MAX_RUNS = 4

# Strong run of a test: route or empty for all, load bucket or -1 for all, index of the fault size,
# value in nats, and number of the run.
StrongRun = tuple[str, int, int, float, int]
# Route, whether it is the new version, and load bucket.
Cell = tuple[str, bool, int]


@message("control.evidence")
@attrs.frozen
class Evidence:
    """Sums of one pool's requests since the sender first saw the move.

    Explanation
    ===========
    Sums are cumulative per sender, so that lost, repeated and reordered messages don't matter and a
    new leader has all the evidence after the next messages.

    Parameters
    ==========
    pool : str
    table_version : int
        Table version that declared the move.
    sender : str
        Instance that owns the pool's scheduler in its failure domain.
    incarnation : int
        Incarnation of the sender; its sums start at 0.
    sequence : int
        Rises with each message of an incarnation.
    routes : tuple[str, ...]
        Routes that the cells refer to.
    cells : tuple[tuple[int, ...], ...]
        Route's index, 1 for the new version, load bucket, requests, errors, and the sum and the
        sum of squares of the logarithm of normalised time of the requests without error, in
        thousandths.
    stopped : str
        Why the sender's guard has stopped the new version; empty if it hasn't.
    runs : tuple[tuple[int, ...], ...]
        Strong runs of the sender's own test, from which a new leader's test starts: index of the
        route or -1 for all, load bucket or -1 for all, index of the fault size, value in
        thousandths, number of the run.
    """

    pool: str
    table_version: int
    sender: str
    incarnation: int
    sequence: int
    routes: tuple[str, ...] = ()
    cells: tuple[tuple[int, ...], ...] = ()
    stopped: str = ""
    runs: tuple[tuple[int, ...], ...] = ()


def load_bucket(load_fraction: float) -> int:
    """Return the number of the load bucket of a load fraction.

    Examples
    ========
    >>> from mulberrygate.control.evidence import load_bucket
    >>> [load_bucket(load) for load in (0.0, 0.5, 1.2)]
    [0, 1, 2]
    """
    return sum(load_fraction >= start for start in LOAD_BUCKETS[1:])


class EvidenceCollector:
    """Adds up the requests of a move's two versions and builds messages from the sums."""

    def __init__(self, pool: str, table_version: int, sender: str, incarnation: int):
        self.pool = pool
        self.table_version = table_version
        self.sender = sender
        self.incarnation = incarnation
        self.sequence = 0
        self.cells: dict[Cell, RequestSums] = {}
        self.unsent_weights: dict[tuple[str, int], float] = {}

    def add(self, cell: Cell, sums: RequestSums) -> None:
        """Add the sums of requests to a cell (route, whether new version, load bucket)."""
        self.cells.setdefault(cell, RequestSums()).add(sums)
        # Requests on the new version are rarer and matter more, so their cells are sent first.
        weight = sums.count * (20.0 if cell[1] else 1.0)
        key = (cell[0], cell[2])
        self.unsent_weights[key] = self.unsent_weights.get(key, 0.0) + weight

    def message(self, stopped: str = "", runs: Sequence[StrongRun] = ()) -> Evidence:
        """Return a message with the cells that changed most since they were last sent.

        Explanation
        ===========
        The cells of both versions for a route and load bucket go together, so that the leader
        compares requests of the same period.
        """
        self.sequence += 1
        routes: dict[str, int] = {}
        packed_runs = []
        for route, bucket, kind, value, number in runs[:MAX_RUNS]:
            index = routes.setdefault(route, len(routes)) if route else -1
            packed_runs.append((index, bucket, kind, round(value * SCALE), number))
        packed = []
        size = CELL_BYTES * len(packed_runs) + sum(len(route.encode()) + 1 for route in routes)
        for route, bucket in sorted(
            self.unsent_weights, key=lambda key: (-self.unsent_weights[key], key)
        ):
            cells = [c for c in ((route, True, bucket), (route, False, bucket)) if c in self.cells]
            size += CELL_BYTES * len(cells) + (0 if route in routes else len(route.encode()) + 1)
            if size > MAX_CELL_BYTES:
                break
            index = routes.setdefault(route, len(routes))
            packed += [_pack(index, cell, self.cells[cell]) for cell in cells]
            del self.unsent_weights[route, bucket]
        return Evidence(
            self.pool,
            self.table_version,
            self.sender,
            self.incarnation,
            self.sequence,
            tuple(routes),
            tuple(packed),
            stopped[:80],
            tuple(packed_runs),
        )


def runs_of(evidence: Evidence) -> list[StrongRun]:
    """Return the strong runs of a message."""
    found = []
    for index, bucket, kind, value, number in evidence.runs[:MAX_RUNS]:
        if index < len(evidence.routes):
            route = evidence.routes[index] if index >= 0 else ""
            found.append((route, bucket, kind, value / SCALE, number))
    return found


def _pack(index: int, cell: Cell, sums: RequestSums) -> tuple[int, ...]:
    total, square = round(sums.log_sum * SCALE), round(sums.log_square_sum * SCALE)
    return (index, int(cell[1]), cell[2], int(sums.count), int(sums.errors), total, square)


class EvidenceIncrements:
    """Turns cumulative messages into increments, from the latest sums of every sender."""

    def __init__(self):
        self.latest_sums: dict[tuple[str, int, Cell], RequestSums] = {}

    def increments(self, evidence: Evidence) -> dict[Cell, RequestSums]:
        """Return what a message adds to each cell; unchanged cells are left out."""
        return self.split_first(evidence)[0]

    def split_first(
        self, evidence: Evidence
    ) -> tuple[dict[Cell, RequestSums], dict[Cell, RequestSums]]:
        """Return what a message adds, and the part in cells that are new from this sender."""
        found: dict[Cell, RequestSums] = {}
        first: dict[Cell, RequestSums] = {}
        for fields in evidence.cells:
            if len(fields) < 7 or not 0 <= fields[0] < len(evidence.routes):
                continue
            index, is_new, bucket, count, errors, total, square = fields[:7]
            cell = (evidence.routes[index], bool(is_new), bucket)
            key = (evidence.sender, evidence.incarnation, cell)
            known = self.latest_sums.get(key)
            latest = RequestSums(count, errors, total / SCALE, square / SCALE)
            if count <= (known.count if known else 0):
                continue
            self.latest_sums[key] = latest
            if known is None:
                found[cell] = first[cell] = latest
            else:
                found[cell] = _difference(latest, known)
        return found, first


def _difference(latest: RequestSums, known: RequestSums) -> RequestSums:
    return RequestSums(
        latest.count - known.count,
        latest.errors - known.errors,
        latest.log_sum - known.log_sum,
        latest.log_square_sum - known.log_square_sum,
    )
