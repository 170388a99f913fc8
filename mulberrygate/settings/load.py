"""Loading of settings and tables from JSON with comments."""

from __future__ import annotations

import os
from dataclasses import dataclass
from typing import Any, TypeVar

import attrs
import cattrs
import pyjson5
from cattrs import ClassValidationError, transform_error

from mulberrygate.core.codes import register_code
from mulberrygate.core.outcome import Refusal
from mulberrygate.settings.model import Settings

MALFORMED = register_code(7001, "settings_malformed", "The settings file is not valid JSON.", 400)
INVALID = register_code(7002, "settings_invalid", "The settings have a wrong key or value.", 400)
UNREADABLE = register_code(7003, "settings_unreadable", "A settings file can't be read.", 400)

Class = TypeVar("Class")

_converter = cattrs.Converter(forbid_extra_keys=True)


def _structure_exact(kinds: tuple[type, ...], cast: type):
    def structure(value: Any, cls: type) -> Any:
        if isinstance(value, bool) and bool not in kinds or not isinstance(value, kinds):
            raise ValueError(f"expected {cast.__name__}, got {type(value).__name__}")
        return cast(value)

    return structure


# cattrs would turn 1.5 into 1 and any value into a string; a table with such a value is refused.
_converter.register_structure_hook(int, _structure_exact((int,), int))
_converter.register_structure_hook(float, _structure_exact((int, float), float))
_converter.register_structure_hook(str, _structure_exact((str,), str))
_converter.register_structure_hook(bool, _structure_exact((bool,), bool))


@dataclass(frozen=True)
class Loaded:
    """Value that was read from a file."""

    value: Any


def structure(values: Any, cls: type[Class]) -> Class:
    """Return an ``attrs`` object from plain values, strictly.

    Raises
    ======
    cattrs.ClassValidationError, ValueError, TypeError
        A key is unknown or missing, or a value has the wrong type or size.
    """
    return _converter.structure(values, cls)


def explain(error: Exception) -> list[str]:
    """Return one sentence for each fault that `structure` found."""
    if isinstance(error, ClassValidationError):
        return transform_error(error, path="")
    return [str(error)]


def load_settings(path: str) -> Settings | Refusal:
    """Read the settings of a daemon from a file.

    Returns
    =======
    Settings or Refusal
        The refusal names every key that is wrong. Relative paths are taken from the settings file.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        return Refusal(UNREADABLE, f"{path}: {error}")
    try:
        values = pyjson5.decode(text)
    except pyjson5.Json5Exception as error:
        return Refusal(MALFORMED, f"{path}: {error.args[0] if error.args else error}")
    if not isinstance(values, dict):
        return Refusal(INVALID, f"{path}: the settings must be an object")
    try:
        settings = structure(values, Settings)
    except Exception as error:
        return Refusal(INVALID, f"{path}: {'; '.join(explain(error))}")
    return _with_absolute_paths(settings, os.path.dirname(os.path.abspath(path)))


def _with_absolute_paths(settings: Settings, folder: str) -> Settings:
    changes = {}
    for name in ("peer_token_file", "operator_token_file", "endpoint_token_file", "data_folder"):
        value = getattr(settings, name)
        if value:
            changes[name] = os.path.join(folder, value)
    return attrs.evolve(settings, **changes)


def read_token(path: str) -> str | Refusal:
    """Read a secret from a file; white space around it does not count."""
    try:
        with open(path, encoding="utf-8") as file:
            token = file.read().strip()
    except (OSError, UnicodeDecodeError) as error:
        return Refusal(UNREADABLE, f"{path}: {error}")
    if len(token) < 16:
        return Refusal(INVALID, f"{path}: a token has at least 16 characters")
    return token
