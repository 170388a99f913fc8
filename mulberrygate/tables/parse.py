"""Strict parser of tables, JSON with comments, which reports the position of every fault."""

from __future__ import annotations

import hashlib
import json
import math
import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import cached_property
from typing import Any

import pyjson5
from cattrs import ClassValidationError, IterableValidationError
from cattrs.errors import ForbiddenExtraKeysError

from mulberrygate.core.codes import Code, register_code
from mulberrygate.settings.load import structure
from mulberrygate.settings.positions import (
    LineIndex,
    Positions,
    ValuePath,
    count_keys,
    count_names,
    find_positions,
    syntax_fault,
)
from mulberrygate.tables.model import PoolsTable, RoutesTable

TOO_LARGE = register_code(4001, "table_too_large", "The table is larger than the limit.", 413)
NOT_UTF8 = register_code(4002, "table_not_utf8", "The table is not valid UTF-8.", 400)
MALFORMED = register_code(4003, "table_malformed", "The table is not valid JSON.", 400)
INVALID = register_code(4004, "table_invalid", "The table has a wrong key or value.", 400)
DUPLICATE = register_code(4005, "table_duplicate_name", "A name occurs twice in one object.", 400)
EMPTY = register_code(4006, "table_empty", "The table is empty.", 400)
UNKNOWN_KIND = register_code(4007, "table_unknown", "The kind of table is not known.", 400)

ROUTES = "routes"
POOLS = "pools"
SECTIONS = {"routes", "accounts", "pools"}
LIST_FIELDS = {"token_sha256", "idempotent_methods", "accounts"}
TABLES: dict[str, type] = {ROUTES: RoutesTable, POOLS: PoolsTable}

# 1,700 client accounts with two token hashes each take about 450 KB; a table above this limit is a
# mistake.
MAX_BYTES = 2 << 20
# A longer list would not help the operator and could make the answer to a broken table larger than
# the table.
MAX_FAULTS = 50
# Larger integers are not exact in every JSON library that may write a table.
MAX_INTEGER = 2**53

_SURROGATE = re.compile("[\ud800-\udfff]")
_FIRST_WORD = re.compile(r"\w+")


@dataclass(frozen=True)
class Fault:
    """Fault of a table.

    Parameters
    ==========
    line, column : int
        Position in the text, from 1.
    path : str
        Path of the faulty value, such as ``routes.care.pool``.
    """

    line: int
    column: int
    path: str
    detail: str
    code: Code

    def __str__(self) -> str:
        place = f" {self.path}:" if self.path else ""
        return f"line {self.line}, column {self.column}:{place} {self.detail}"


@dataclass(frozen=True)
class Faults:
    """List of faults because of which a table is refused."""

    faults: tuple[Fault, ...]

    def __str__(self) -> str:
        return "; ".join(str(fault) for fault in self.faults)


class Source:
    """Text of a table, with positions of names and values that are computed on first use.

    Explanation
    ===========
    Computing the positions takes as long as the rest of the parser, and only faults need them. The
    control state machine parses every accepted table on the event loop.
    """

    def __init__(self, text: str):
        self.text = text

    @cached_property
    def lines(self) -> LineIndex:
        """Line index of the text."""
        return LineIndex(self.text)

    @cached_property
    def positions(self) -> Positions:
        """Positions of all names and values in the text."""
        return find_positions(self.text)

    def fault_at(self, path: ValuePath, detail: str, code: Code) -> Fault:
        """Return a fault with the position of a path."""
        return self.fault(self.positions.offset(path), path, detail, code)

    def fault(self, offset: int, path: ValuePath, detail: str, code: Code) -> Fault:
        """Return a fault at an offset in the text."""
        line, column = self.lines.position(offset)
        return Fault(line, column, ".".join(str(part) for part in path), detail, code)


@dataclass(frozen=True)
class ParsedTable:
    """Parsed table with the digest of its values, its kind and its text."""

    table: RoutesTable | PoolsTable
    digest: str
    kind: str
    source: Source = field(compare=False, repr=False)

    def fault_at(self, path: ValuePath, detail: str, code: Code) -> Fault:
        """Return a fault with the position of a path."""
        return self.source.fault_at(path, detail, code)


def parse_table(text: str | bytes, name: str) -> ParsedTable | Faults:
    """Parse a table and check its names, types and ranges.

    Explanation
    ===========
    All faults are reported together, except that the ranges of an object are only checked once its
    names and types are valid.

    Parameters
    ==========
    text : str or bytes
        Content of the file.
    name : str
        ``routes`` or ``pools`` if the caller expects one of them, else empty.

    Examples
    ========
    >>> from mulberrygate.tables.parse import parse_table
    >>> parse_table('{"table": "pools", "version": 2, "pools": {"lamp": {}}}', "pools").kind
    'pools'
    >>> print(parse_table('{"table": "pools",\\n "version": "2"}', "pools"))
    line 2, column 2: version: expected int, got str
    """
    decoded = _decode(text)
    if isinstance(decoded, Faults):
        return decoded
    source = Source(decoded)
    values = _read_values(source)
    if isinstance(values, Faults):
        return values
    if count_names(decoded) != count_keys(values):
        faults = [
            source.fault(offset, path, f"the name {path[-1]!r} occurs twice", DUPLICATE)
            for path, offset in source.positions.duplicates
        ]
        if faults:
            return Faults(tuple(faults[:MAX_FAULTS]))
    return _structure(values, name, source)


def digest_of(values: Any) -> str:
    """Return the SHA-256 of plain values, independent of the order of names and of white space."""
    text = json.dumps(_canonical(values), sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(text.encode("utf-8", "surrogatepass")).hexdigest()


def _canonical(value: Any) -> Any:
    if isinstance(value, dict):
        return {name: _canonical(item) for name, item in value.items()}
    if isinstance(value, list):
        return [_canonical(item) for item in value]
    if isinstance(value, float) and value.is_integer():
        return int(value)
    return value


def _decode(text: str | bytes) -> str | Faults:
    if len(text) > MAX_BYTES:
        return _one_fault(f"{len(text)} bytes are over the limit of {MAX_BYTES}", TOO_LARGE)
    if isinstance(text, str):
        return text.removeprefix("\ufeff") if text.strip() else _one_fault("empty table", EMPTY)
    try:
        decoded = text.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        before = text[: error.start].decode("utf-8", "replace")
        line, column = LineIndex(before).position(len(before))
        byte = text[error.start]
        return Faults((Fault(line, column, "", f"byte 0x{byte:02x} is not UTF-8", NOT_UTF8),))
    return decoded if decoded.strip() else _one_fault("empty table", EMPTY)


def _one_fault(detail: str, code: Code) -> Faults:
    return Faults((Fault(1, 1, "", detail, code),))


def _read_values(source: Source) -> dict[str, Any] | Faults:
    try:
        values = pyjson5.decode(source.text)
    except pyjson5.Json5Exception as error:
        offset, detail = syntax_fault(error, source.text)
        return Faults((source.fault(offset, (), detail, MALFORMED),))
    if not isinstance(values, dict):
        return _one_fault("a table is an object", INVALID)
    return values


def _structure(values: dict[str, Any], name: str, source: Source) -> ParsedTable | Faults:
    kind = values.get("table")
    if not isinstance(kind, str) or kind not in TABLES or name and kind != name:
        expected = name or " or ".join(TABLES)
        detail = f"table must be {expected}, not {kind!r}"[:200]
        code = INVALID if isinstance(kind, str) and kind in TABLES else UNKNOWN_KIND
        return Faults((source.fault_at(("table",), detail, code),))
    content = {key: value for key, value in values.items() if key != "table"}
    found = list(_value_faults(content, ())) + list(_shape_faults(content))
    if not found:
        try:
            table = structure(content, TABLES[kind])
            return ParsedTable(table, digest_of(values), kind, source)
        except Exception as error:
            found = list(_error_details(error, ()))
    faults = [_fault_at_name(path, detail, source) for path, detail in found[:MAX_FAULTS]]
    return Faults(tuple(faults))


def _value_faults(value: Any, path: ValuePath) -> Iterator[tuple[ValuePath, str]]:
    """Yield faults of values that JSON5 allows but the codec between instances can't encode."""
    if isinstance(value, dict):
        for key, item in value.items():
            yield from _value_faults(key, path)
            yield from _value_faults(item, path + (key,))
    elif isinstance(value, list):
        for index, item in enumerate(value):
            yield from _value_faults(item, path + (index,))
    elif isinstance(value, str):
        if not value.isascii() and _SURROGATE.search(value):
            yield path, "the text has an unpaired surrogate"
    elif isinstance(value, float) and not math.isfinite(value):
        yield path, "the number is not finite"
    elif isinstance(value, int) and abs(value) > MAX_INTEGER:
        yield path, "the number is too large"


def _shape_faults(content: dict[str, Any]) -> Iterator[tuple[ValuePath, str]]:
    """Yield faults of containers that the converter would accept or report badly.

    The converter would split a string in place of a list into letters, and has no clear message for
    other values in place of an object.
    """
    for section in sorted(SECTIONS & content.keys()):
        items = content[section]
        if not isinstance(items, dict):
            yield (section,), "expected an object"
            continue
        for name, item in items.items():
            yield from _item_faults((section, name), item)


def _item_faults(path: ValuePath, item: Any) -> Iterator[tuple[ValuePath, str]]:
    if not isinstance(item, dict):
        yield path, "expected an object"
        return
    for key in sorted(LIST_FIELDS & item.keys()):
        if not isinstance(item[key], list):
            yield path + (key,), "expected a list of strings"
    if not isinstance(item.get("move"), dict | None):
        yield path + ("move",), "expected an object"


def _fault_at_name(path: ValuePath, detail: str, source: Source) -> Fault:
    """Return a fault of an object, at the field that the detail begins with if there is one.

    Messages of validators begin with the name of their field.
    """
    word = _FIRST_WORD.match(detail)
    if word and path + (word.group(),) in source.positions.keys:
        path = path + (word.group(),)
    return source.fault_at(path, detail, INVALID)


def _error_details(error: BaseException, path: ValuePath) -> Iterator[tuple[ValuePath, str]]:
    """Yield path and message of each single error in an error group of the converter."""
    if isinstance(error, ForbiddenExtraKeysError):
        for key in sorted(error.extra_fields):
            yield path + (key,), f"unknown name {key!r}"
        return
    if isinstance(error, KeyError):
        yield path, f"{path[-1] if path else error.args[0]} is missing"
        return
    if not isinstance(error, ClassValidationError | IterableValidationError):
        yield path, str(error)
        return
    for cause in error.exceptions:
        yield from _error_details(cause, path + _path_part_of(cause))


def _path_part_of(error: BaseException) -> ValuePath:
    """Return the field name or list index that the converter noted on an error."""
    for note in getattr(error, "__notes__", ()):
        if hasattr(note, "name"):
            return (note.name,)
        if hasattr(note, "index"):
            return (note.index,)
    return ()
