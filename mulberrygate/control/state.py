"""State machine of the control log: tables, shards, moves, evacuations and fencing numbers."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import attrs
import msgpack

from mulberrygate.control.commands import (
    AdvanceMove,
    ApplyTable,
    CommandResult,
    ConfigEntry,
    EvacuationState,
    MoveState,
    PutShards,
    SetEvacuation,
    TableState,
    TakeFence,
)
from mulberrygate.control.configuration import Configuration, Delta
from mulberrygate.core.codes import Code, register_code
from mulberrygate.core.invariant import invariant
from mulberrygate.core.wire import converter
from mulberrygate.ledger.views import Shard, View
from mulberrygate.tables.check import check_table
from mulberrygate.tables.model import Account, Pool, PoolsTable, Route, RoutesTable
from mulberrygate.tables.parse import POOLS, ROUTES, Fault, ParsedTable, parse_table

VERSION_CONFLICT = register_code(
    4020,
    "table_version_conflict",
    "Another table with this version was accepted; nothing changed.",
    409,
)
VERSION_OLD = register_code(
    4021, "table_version_old", "The version is lower than the one in force.", 409
)
VERSION_SKIPPED = register_code(
    4022, "table_version_skipped", "The version is not the next one after the one in force.", 409
)
VERSION_FORGOTTEN = register_code(
    4023,
    "table_version_forgotten",
    "The version is so old that its content is not remembered; nothing changed.",
    409,
)
DIGEST_MISMATCH = register_code(
    4024, "table_digest_mismatch", "The digest does not belong to the table's content.", 400
)
VERSION_WITHDRAWN = register_code(
    4017, "version_withdrawn", "Without its move the pool would serve a withdrawn version.", 409
)
SHARDS_CHANGED = register_code(
    5300, "shards_changed", "Some shards changed meanwhile and were left alone.", 409
)
MOVE_UNKNOWN = register_code(
    5301, "move_unknown", "No move of that pool and table version is in force.", 409
)
VERDICT_FINAL = register_code(5302, "verdict_final", "The move has another verdict.", 409)
MOVE_STEP_REFUSED = register_code(
    5303, "move_step_refused", "The step is not allowed at the move's stage.", 409
)
TERM_OLD = register_code(5304, "term_old", "A later term has taken a fencing number.", 409)
UNKNOWN_COMMAND = register_code(5305, "unknown_command", "The command is not known.", 500)

ACCEPTED_TWICE = register_code(
    9500, "version_accepted_twice", "A table version was accepted twice with other content."
)
VERDICT_FLIPPED = register_code(9501, "verdict_flipped", "The verdict of a move changed.")
SHARE_TOO_LARGE = register_code(
    9502, "early_share_exceeded", "A move passed its largest early share before the evidence."
)
FENCE_FELL = register_code(9503, "fence_fell", "A fencing number did not rise.")
INDEX_FELL = register_code(9504, "log_index_fell", "A log index was applied twice.")

DONE = "done"
WITHDRAWN = "withdrawn"
LATE = "late"
VERDICTS = (DONE, WITHDRAWN, LATE)

# In the early stages of a move the new version gets at most the largest early share. The last stage
# is reached only with evidence at each of the stages before it.
EARLY_STAGES = 2
LAST_STAGE = 4
# Share from which a move may be done. The previous version keeps the rest until the watch period
# ends, since only a comparison distinguishes a late fault from a slowdown of the whole pool.
WATCH_SHARE = 0.9

# Remembered versions of each table. With 3,300 changes a day at the target size, a table that is
# sent again is recognised for more than a day.
MAX_HISTORY = 4096
SNAPSHOT_FORMAT = 1


@attrs.frozen
class AcceptedVersion:
    """Digest and revision of an accepted table version, for operators that send it again."""

    digest: str
    revision: int


def encode_value(value: Any) -> bytes:
    """Return the body of a configuration entry."""
    return converter.dumps(value)


# Class of the values of each section of the configuration.
SECTIONS: dict[str, type] = {
    "routes": Route,
    "accounts": Account,
    "pools": Pool,
    "tables": TableState,
    "shards": Shard,
    "moves": MoveState,
    "evacuations": EvacuationState,
}


def decode_value(section: str, body: bytes) -> Any:
    """Return the value of an entry of a section."""
    return converter.loads(body, SECTIONS[section])


class ControlState:
    """Replicated state machine; its state depends only on the commands and their log indices.

    Explanation
    ===========
    All voters apply the same commands at the same indices and so have the same configuration. The
    index of a command is the revision of the entries that it changes.

    Examples
    ========
    >>> from mulberrygate.control.commands import ApplyTable
    >>> from mulberrygate.control.state import ControlState
    >>> from mulberrygate.tables import parse_table
    >>> text = b'{"table": "pools", "version": 1, "pools": {"lamp": {"version": "a"}}}'
    >>> digest = parse_table(text, "pools").digest
    >>> state = ControlState()
    >>> state.apply(1, ApplyTable("pools", 1, text, digest, "ana", 0.0)).code
    0
    >>> state.pools()["lamp"].version
    'a'
    """

    def __init__(self):
        self.configuration = Configuration()
        self.applied = 0
        self.fence = 0
        self.fence_term = 0
        self.history: dict[str, dict[int, AcceptedVersion]] = {ROUTES: {}, POOLS: {}}

    def routes(self) -> dict[str, Route]:
        """Return the routes in force."""
        return self._section("routes")

    def accounts(self) -> dict[str, Account]:
        """Return the client accounts in force."""
        return self._section("accounts")

    def pools(self) -> dict[str, Pool]:
        """Return the pools in force."""
        return self._section("pools")

    def tables(self) -> dict[str, TableState]:
        """Return the versions of the tables in force."""
        return self._section("tables")

    def shards(self) -> dict[str, Shard]:
        """Return the shards of the ledger."""
        return self._section("shards")

    def moves(self) -> dict[str, MoveState]:
        """Return the version moves by pool."""
        return self._section("moves")

    def evacuations(self) -> dict[str, EvacuationState]:
        """Return the evacuated failure domains."""
        return self._section("evacuations")

    def _section(self, section: str) -> dict[str, Any]:
        bodies = self.configuration.section(section)
        return {name: decode_value(section, body) for name, body in bodies.items()}

    def apply(self, index: int, command: Any) -> CommandResult:
        """Apply the command of a log index."""
        invariant(index > self.applied, INDEX_FELL, f"index {index} after {self.applied}")
        self.applied = index
        if isinstance(command, ApplyTable):
            return self._apply_table(index, command)
        if isinstance(command, PutShards):
            return self._put_shards(index, command)
        if isinstance(command, AdvanceMove):
            return self._advance_move(index, command)
        if isinstance(command, TakeFence):
            return self._take_fence(index, command)
        if isinstance(command, SetEvacuation):
            return self._set_evacuation(index, command)
        return _refused(UNKNOWN_COMMAND, f"unknown command {type(command).__name__}")

    def _apply_table(self, index: int, command: ApplyTable) -> CommandResult:
        parsed = parse_table(command.content, command.table)
        if not isinstance(parsed, ParsedTable):
            return _refused(parsed.faults[0].code, str(parsed))
        if parsed.digest != command.digest or parsed.table.version != command.version:
            return _refused(DIGEST_MISMATCH, "version or digest differs from the content")
        in_force = self.tables().get(command.table)
        current = in_force.version if in_force else 0
        if command.version <= current:
            return self._reply_to_known_version(command, in_force)
        if command.version > current + 1:
            return _refused(VERSION_SKIPPED, f"next is {current + 1}; {_describe(in_force)}")
        faults = self._validate(parsed)
        if faults:
            return _refused(faults[0].code, "; ".join(str(fault) for fault in faults))
        self._accept(index, command, parsed)
        return CommandResult(0, index, f"{command.table} version {command.version} accepted")

    def _reply_to_known_version(self, command: ApplyTable, in_force: TableState) -> CommandResult:
        accepted = self.history[command.table].get(command.version)
        if accepted is None:
            return _refused(VERSION_FORGOTTEN, _describe(in_force))
        if accepted.digest == command.digest:
            detail = f"{command.table} version {command.version} accepted"
            return CommandResult(0, accepted.revision, detail)
        if command.version == in_force.version:
            return _refused(VERSION_CONFLICT, _describe(in_force))
        return _refused(VERSION_OLD, _describe(in_force))

    def _validate(self, parsed: ParsedTable) -> list[Fault]:
        if isinstance(parsed.table, RoutesTable):
            return check_table(parsed, pools=self.pools())
        serving = {
            name: self._serving_versions(name, old)
            for name, old in self.pools().items()
            if name in parsed.table.pools and parsed.table.pools[name].version != old.version
        }
        faults = check_table(parsed, routes=self.routes(), serving=serving)
        return faults + list(self._withdrawn_versions(parsed))

    def _withdrawn_versions(self, parsed: ParsedTable) -> Iterator[Fault]:
        """Yield a fault for each pool that keeps a withdrawn version but drops its move.

        Explanation
        ===========
        A pool without a move sends all traffic to its version, so removing the move after its
        traffic was withdrawn would give all traffic to a faulty version.
        """
        for name, move in sorted(self.moves().items()):
            pool = parsed.table.pools.get(name)
            is_withdrawn = move.verdict and move.share == 0
            if is_withdrawn and pool and pool.move is None and pool.version == move.version:
                detail = f"version {move.version!r} is withdrawn; set {move.previous!r}"
                yield parsed.fault_at(("pools", name), detail, VERSION_WITHDRAWN)

    def _serving_versions(self, name: str, pool: Pool) -> tuple[str, ...]:
        """Return the versions that may be serving a pool now, from which a move may start."""
        move = self.moves().get(name)
        if move is None or not pool.version:
            return (pool.version,) if pool.version else ()
        return (move.previous,) if move.share == 0 else (pool.version, move.previous)

    def _accept(self, index: int, command: ApplyTable, parsed: ParsedTable) -> None:
        history = self.history[command.table]
        invariant(
            command.version not in history, ACCEPTED_TWICE, f"{command.table} {command.version}"
        )
        history[command.version] = AcceptedVersion(command.digest, index)
        while len(history) > MAX_HISTORY:
            del history[min(history)]
        if isinstance(parsed.table, RoutesTable):
            self._replace("accounts", index, parsed.table.accounts)
            self._replace("routes", index, parsed.table.routes)
        else:
            self._update_moves(index, command.at, parsed.table)
            self._replace("pools", index, parsed.table.pools)
        state = TableState(
            command.table, command.version, command.digest, command.operator, command.at
        )
        self.configuration.put("tables", command.table, index, encode_value(state))

    def _replace(self, section: str, index: int, values: dict[str, Any]) -> None:
        known = self.configuration.section(section)
        for name in sorted(known.keys() - values.keys()):
            self.configuration.remove(section, name, index)
        for name in sorted(values):
            body = encode_value(values[name])
            if known.get(name) != body:
                self.configuration.put(section, name, index, body)

    def _update_moves(self, index: int, at: float, table: PoolsTable) -> None:
        """Start, keep or remove moves; call this before the new pools replace the old ones.

        Explanation
        ===========
        A pool whose version and previous version stay the same keeps its move with stage and
        verdict, so that an unrelated change neither restarts a move nor undoes a verdict.
        """
        old = self.pools()
        moves = self.moves()
        for name in sorted(moves.keys() - {n for n, pool in table.pools.items() if pool.move}):
            self.configuration.remove("moves", name, index)
        for name in sorted(table.pools):
            pool = table.pools[name]
            if pool.move is None:
                continue
            known = moves.get(name)
            if known and (known.version, known.previous) == (pool.version, pool.move.previous):
                continue
            if name in old and old[name].version == pool.version:
                continue
            move = MoveState(name, table.version, pool.move.previous, pool.version, started_at=at)
            self.configuration.put("moves", name, index, encode_value(move))

    def _advance_move(self, index: int, command: AdvanceMove) -> CommandResult:
        move = self.moves().get(command.pool)
        if move is None or move.table_version != command.table_version:
            return _refused(MOVE_UNKNOWN, f"pool {command.pool}, table {command.table_version}")
        after = attrs.evolve(
            move,
            stage=command.stage,
            share=command.share,
            verdict=command.verdict,
            reason=command.reason,
        )
        if after == move:
            body = self.configuration.entries["moves", command.pool]
            return CommandResult(0, body.revision, "unchanged")
        early_share = self.pools()[command.pool].move.largest_early_share
        refusal = _check_step(move, after, early_share)
        if refusal is not None:
            return refusal
        self._put_move(index, move, after, early_share)
        return CommandResult(0, index, f"move of {command.pool} at stage {after.stage}")

    def _put_move(self, index: int, before: MoveState, after: MoveState, early: float) -> None:
        invariant(
            not before.verdict or after.verdict == before.verdict,
            VERDICT_FLIPPED,
            f"{after.pool}: {before.verdict} to {after.verdict}",
        )
        invariant(
            after.share <= early or after.stage >= EARLY_STAGES and after.verdict != LATE,
            SHARE_TOO_LARGE,
            f"{after.pool}: share {after.share} at stage {after.stage}",
        )
        self.configuration.put("moves", after.pool, index, encode_value(after))

    def _put_shards(self, index: int, command: PutShards) -> CommandResult:
        if len(command.shards) != len(command.expected):
            return _refused(SHARDS_CHANGED, "each shard needs its expected view numbers")
        known = self.shards()
        skipped = []
        for shard, expected in zip(command.shards, command.expected, strict=True):
            name = shard.name()
            if _view_numbers(known.get(name)) != tuple(expected):
                skipped.append(name)
                continue
            body = encode_value(shard)
            if self.configuration.get("shards", name) != body:
                self.configuration.put("shards", name, index, body)
                known[name] = shard
        changed = len(command.shards) - len(skipped)
        if skipped:
            detail = f"left alone: {', '.join(skipped[:10])}"
            return CommandResult(SHARDS_CHANGED.number, index, detail, changed)
        return CommandResult(0, index, "", changed)

    def _set_evacuation(self, index: int, command: SetEvacuation) -> CommandResult:
        """Evacuate a failure domain or withdraw that; an order that holds already changes nothing.

        Explanation
        ===========
        The revision of an order that changes nothing is the current one, which has its effect.
        """
        name = command.failure_domain
        configuration = self.configuration
        if command.is_evacuated is bool(configuration.get("evacuations", name)):
            return CommandResult(0, configuration.revision, "unchanged")
        if command.is_evacuated:
            state = EvacuationState(name, command.operator, command.at)
            configuration.put("evacuations", name, index, encode_value(state))
            return CommandResult(0, index, f"{name} is evacuated")
        configuration.remove("evacuations", name, index)
        return CommandResult(0, index, f"{name} is no longer evacuated")

    def _take_fence(self, index: int, command: TakeFence) -> CommandResult:
        if command.term < self.fence_term:
            return _refused(TERM_OLD, f"term {command.term} after term {self.fence_term}")
        self._set_fence(self.fence + 1)
        self.fence_term = command.term
        return CommandResult(0, index, f"taken by {command.leader}", self.fence)

    def _set_fence(self, fence: int) -> None:
        invariant(fence > self.fence, FENCE_FELL, f"from {self.fence} to {fence}")
        self.fence = fence

    def snapshot(self) -> bytes:
        """Return the whole state; equal states give equal bytes."""
        configuration = self.configuration
        return msgpack.packb(
            {
                "format": SNAPSHOT_FORMAT,
                "applied": self.applied,
                "fence": [self.fence, self.fence_term],
                "revision": configuration.revision,
                "oldest_delta": configuration.oldest_delta,
                "entries": [_pack(entry) for _, entry in sorted(configuration.entries.items())],
                "tombstones": [_pack(entry) for entry in configuration.tombstones.values()],
                "history": {
                    table: [[v, a.digest, a.revision] for v, a in sorted(versions.items())]
                    for table, versions in self.history.items()
                },
            }
        )

    def restore(self, data: bytes) -> None:
        """Replace the whole state by that of a snapshot.

        Raises
        ======
        ValueError
            The bytes are not a snapshot of a known format; the state is unchanged.
        """
        values = msgpack.unpackb(data)
        if not isinstance(values, dict) or values.get("format") != SNAPSHOT_FORMAT:
            raise ValueError("not a snapshot of the control state")
        configuration = Configuration()
        configuration.revision = values["revision"]
        configuration.oldest_delta = values["oldest_delta"]
        entries = [ConfigEntry(*fields) for fields in values["entries"]]
        configuration.entries = {(entry.section, entry.name): entry for entry in entries}
        tombstones = [ConfigEntry(*fields) for fields in values["tombstones"]]
        configuration.tombstones = {(entry.section, entry.name): entry for entry in tombstones}
        history = {
            table: {
                version: AcceptedVersion(digest, revision) for version, digest, revision in versions
            }
            for table, versions in values["history"].items()
        }
        self.configuration = configuration
        self.applied = values["applied"]
        self.fence, self.fence_term = values["fence"]
        self.history = history

    def changes_since(self, revision: int) -> Delta:
        """Return the changes of the configuration since a revision."""
        return self.configuration.changes_since(revision)


def _check_step(move: MoveState, after: MoveState, early_share: float) -> CommandResult | None:
    if not 0 <= after.share <= 1 or after.verdict not in ("", *VERDICTS):
        return _refused(MOVE_STEP_REFUSED, f"share {after.share}, verdict {after.verdict!r}")
    if move.verdict:
        return _check_step_after_verdict(move, after)
    if not move.stage <= after.stage <= min(move.stage + 1, LAST_STAGE):
        return _refused(MOVE_STEP_REFUSED, f"stage {after.stage} after {move.stage}")
    is_early = after.stage < EARLY_STAGES or after.verdict == LATE
    if is_early and after.share > early_share:
        return _refused(MOVE_STEP_REFUSED, f"share {after.share} is over {early_share}")
    if after.verdict == DONE and (move.stage != LAST_STAGE or after.share < WATCH_SHARE):
        return _refused(MOVE_STEP_REFUSED, f"done at stage {move.stage}, share {after.share}")
    if after.verdict == WITHDRAWN and after.share != 0:
        return _refused(MOVE_STEP_REFUSED, f"withdrawn with share {after.share}")
    return None


def _check_step_after_verdict(move: MoveState, after: MoveState) -> CommandResult | None:
    if after.verdict != move.verdict:
        return _refused(VERDICT_FINAL, f"the verdict is {move.verdict}: {move.reason}")
    ends_watch = move.verdict == DONE and move.share >= WATCH_SHARE
    if after.stage != move.stage or after.share > move.share and not ends_watch:
        return _refused(MOVE_STEP_REFUSED, f"after {move.verdict} the share can only fall")
    return None


def _view_numbers(shard: Shard | None) -> tuple[int, int]:
    return (_number(shard.active), _number(shard.preparing)) if shard else (0, 0)


def _number(view: View | None) -> int:
    return view.number if view else 0


def _describe(in_force: TableState | None) -> str:
    if in_force is None:
        return "no version is in force"
    return (
        f"version {in_force.version} with digest {in_force.digest} by {in_force.operator} "
        "is in force"
    )


def _pack(entry: ConfigEntry) -> list:
    return [entry.section, entry.name, entry.revision, entry.body]


def _refused(code: Code, detail: str) -> CommandResult:
    return CommandResult(code.number, 0, detail)
