"""Checked texts and numbers of documents and headers from outside.

Explanation
===========
Messages between the system's processes carry Unicode text and whole numbers of 64 bits. A value
beyond that could not be encoded, and neither could any message that holds it. So each value is
checked where it enters the system.
"""

from __future__ import annotations

import json
import math
import re
from typing import Any

# Largest whole number that a message can carry in every field.
MAX_WHOLE = (1 << 63) - 1
# Digits of the largest count that is read from a header.
MAX_COUNT_DIGITS = 15
DECIMAL = re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?|\.[0-9]{1,15}", re.ASCII)


class InvalidValue(ValueError):
    """A text or number can't be used; the text gives the reason."""


def is_unicode(text: str) -> bool:
    """Return whether a text can be encoded, so that it has no half of a surrogate pair.

    Examples
    ========
    >>> is_unicode("care"), is_unicode(chr(0xD800))
    (True, False)
    """
    if text.isascii():
        return True
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def parse_json(body: bytes) -> Any:
    """Return the value of a JSON document, all of whose texts are Unicode.

    Raises
    ======
    InvalidValue
        The document can't be read, or a text in it is no Unicode.
    """
    try:
        # The JSON reader would accept bytes of half a surrogate pair.
        text = body.decode()
        value = json.loads(text)
        # Only an escape can add a character that the document itself does not hold.
        if "\\u" in text:
            json.dumps(value, ensure_ascii=False).encode()
    except (ValueError, RecursionError) as error:
        raise InvalidValue(f"not readable: {error}") from error
    return value


def read_text(fields: dict[str, Any], name: str, default: str | None = None) -> str:
    """Return a text field.

    Raises
    ======
    InvalidValue
        The field is missing and has no default, or is of another type.
    """
    value = fields.get(name, default)
    if not isinstance(value, str):
        raise InvalidValue(f"{name} is no text")
    return value


def read_whole(fields: dict[str, Any], name: str, default: int | None = None) -> int:
    """Return a field that holds a whole number from 0 to `MAX_WHOLE`.

    Raises
    ======
    InvalidValue
        The field is missing and has no default, is of another type, or is out of range.
    """
    value = fields.get(name, default)
    if type(value) is not int:
        raise InvalidValue(f"{name} is no whole number")
    if not 0 <= value <= MAX_WHOLE:
        raise InvalidValue(f"{name} is out of range")
    return value


def read_number(
    fields: dict[str, Any], name: str, default: float | None = None, lowest: float = 0
) -> float:
    """Return a field that holds a number from `lowest` to `MAX_WHOLE`; null counts as missing.

    Raises
    ======
    InvalidValue
        The field is missing and has no default, is of another type, or is out of range.
    """
    value = fields.get(name)
    if value is None:
        value = default
    if isinstance(value, bool) or not isinstance(value, int | float) or math.isnan(value):
        raise InvalidValue(f"{name} is no number")
    if not lowest <= value <= MAX_WHOLE:
        raise InvalidValue(f"{name} is out of range")
    return value


def parse_count(text: str | None) -> int:
    """Return the number in a text of decimal digits, 0 for any other text.

    Raises
    ======
    InvalidValue
        The number has more than `MAX_COUNT_DIGITS` digits.
    """
    if not text or not text.isascii() or not text.isdigit():
        return 0
    digits = text.lstrip("0")
    if len(digits) > MAX_COUNT_DIGITS:
        raise InvalidValue(f"a number of {len(digits)} digits is out of range")
    return int(digits or "0")


def parse_decimal(text: str) -> float:
    """Return the number in a text of decimal digits with at most one point.

    Raises
    ======
    InvalidValue
        The text is no such number, or has more digits than `DECIMAL` allows.

    Examples
    ========
    >>> parse_decimal(" 2.5 "), parse_decimal("3")
    (2.5, 3.0)
    """
    found = DECIMAL.fullmatch(text.strip())
    if found is None:
        raise InvalidValue("no decimal number")
    return float(found[0])
