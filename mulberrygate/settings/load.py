"""Loading of settings and tables from JSON with comments."""

from __future__ import annotations

import os
from typing import Any, TypeVar, get_origin

import attrs
import cattrs
import pyjson5
from cattrs import ClassValidationError, transform_error
from cattrs.v import format_exception

from mulberrygate.core.codes import register_code
from mulberrygate.core.outcome import Refusal
from mulberrygate.settings.model import Settings
from mulberrygate.settings.positions import (
    LineIndex,
    count_keys,
    count_names,
    find_positions,
    syntax_fault,
)

MALFORMED = register_code(7001, "settings_malformed", "The settings file is not valid JSON.", 400)
INVALID = register_code(7002, "settings_invalid", "The settings have a wrong key or value.", 400)
UNREADABLE = register_code(7003, "settings_unreadable", "A settings file can't be read.", 400)

# Settings with 7 voters and a few seeds take about 2 KB; a file above this limit is a mistake.
MAX_BYTES = 1 << 20
MIN_TOKEN_CHARS = 16

Class = TypeVar("Class")

_converter = cattrs.Converter(forbid_extra_keys=True)


def _structure_exact(kinds: tuple[type, ...], cast: type):
    def structure(value: Any, cls: type) -> Any:
        if isinstance(value, bool) and bool not in kinds or not isinstance(value, kinds):
            raise ValueError(f"expected {cast.__name__}, got {type(value).__name__}")
        return cast(value)

    return structure


# By default cattrs converts 1.5 to 1 and any value to a string; these hooks refuse such values.
_converter.register_structure_hook(int, _structure_exact((int,), int))
_converter.register_structure_hook(float, _structure_exact((int, float), float))
_converter.register_structure_hook(str, _structure_exact((str,), str))
_converter.register_structure_hook(bool, _structure_exact((bool,), bool))


def _structure_list(value: Any, cls: type) -> Any:
    """Structure a list, and refuse a string, which the converter would split into letters."""
    if not isinstance(value, list | tuple):
        raise ValueError(f"expected a list, got {type(value).__name__}")
    return _list_hook(value, cls)


_list_hook = _converter.get_structure_hook(tuple[str, ...])
_converter.register_structure_hook_func(lambda cls: get_origin(cls) is tuple, _structure_list)


def structure(values: Any, cls: type[Class]) -> Class:
    """Return an ``attrs`` object from plain values without implicit conversions.

    Raises
    ======
    cattrs.ClassValidationError, ValueError, TypeError
        A key is unknown or missing, or a value has a wrong type or is out of range.
    """
    return _converter.structure(values, cls)


def describe_errors(error: Exception) -> list[str]:
    """Return one message for each fault in an exception of `structure`."""
    if isinstance(error, ClassValidationError):
        faults = transform_error(error, path="", format_exception=_describe_error)
        return [fault.removesuffix(" @ ") for fault in faults]
    return [str(error) or type(error).__name__]


def _describe_error(error: BaseException, kind: type | None) -> str:
    """Return the message of an error.

    The text of a validator's ``ValueError`` is kept; cattrs would replace it by "invalid value".
    """
    is_plain = isinstance(error, ValueError | OverflowError) and str(error)
    return str(error) if is_plain else format_exception(error, kind)


def load_settings(path: str) -> Settings | Refusal:
    """Read the settings of a daemon from a file.

    Returns
    =======
    Settings or Refusal
        The refusal names every wrong key. Relative paths are resolved against the folder of the
        settings file.
    """
    settings = load_file(path, Settings)
    if isinstance(settings, Refusal):
        return settings
    return _with_absolute_paths(settings, os.path.dirname(os.path.abspath(path)))


def load_file(path: str, cls: type[Class]) -> Class | Refusal:
    """Read a file of JSON with comments as an ``attrs`` object; a refusal names every wrong key."""
    text = _read_text(path)
    if isinstance(text, Refusal):
        return text
    if not text.strip():
        return Refusal(MALFORMED, f"{path}: the file is empty")
    try:
        values = pyjson5.decode(text)
    except pyjson5.Json5Exception as error:
        offset, detail = syntax_fault(error, text)
        line, column = LineIndex(text).position(offset)
        return Refusal(MALFORMED, f"{path}: line {line}, column {column}: {detail}")
    if not isinstance(values, dict):
        return Refusal(INVALID, f"{path}: the settings must be an object")
    duplicates = _duplicate_names(text, values)
    if duplicates:
        return Refusal(INVALID, f"{path}: {'; '.join(duplicates)}")
    try:
        return structure(values, cls)
    except Exception as error:
        return Refusal(INVALID, f"{path}: {'; '.join(describe_errors(error))}")


def _read_text(path: str) -> str | Refusal:
    """Return the text of a file of at most `MAX_BYTES`."""
    try:
        with open(path, "rb") as file:
            content = file.read(MAX_BYTES + 1)
        if len(content) > MAX_BYTES:
            return Refusal(UNREADABLE, f"{path}: the file is over the limit of {MAX_BYTES} bytes")
        return content.decode("utf-8-sig")
    except (OSError, ValueError) as error:
        # A path with a NUL character or an unpaired surrogate raises ValueError.
        return Refusal(UNREADABLE, f"{path!r}: {error}")


def _duplicate_names(text: str, values: dict) -> list[str]:
    """Return a message for each name that occurs twice in one object."""
    if count_names(text) == count_keys(values):
        return []
    lines = LineIndex(text)
    found = []
    for path, offset in find_positions(text).duplicates:
        line, column = lines.position(offset)
        found.append(f"line {line}, column {column}: the name {path[-1]!r} occurs twice")
    return found


def _with_absolute_paths(settings: Settings, folder: str) -> Settings:
    changes = {}
    for name in ("peer_token_file", "operator_token_file", "endpoint_token_file", "data_folder"):
        value = getattr(settings, name)
        if value:
            changes[name] = os.path.join(folder, value)
    return attrs.evolve(settings, **changes)


def read_token(path: str) -> str | Refusal:
    """Read a secret from a file, without the white space around it."""
    text = _read_text(path)
    if isinstance(text, Refusal):
        return text
    token = text.strip()
    if len(token) < MIN_TOKEN_CHARS:
        return Refusal(INVALID, f"{path}: a token has at least {MIN_TOKEN_CHARS} characters")
    if not all("!" <= char <= "~" for char in token):
        # An HTTP header can't carry other characters, so no client could present the token.
        return Refusal(INVALID, f"{path}: a token has visible ASCII characters only")
    return token
