"""Parsing of the body of a chat completion request."""

from __future__ import annotations

import json
import re
from typing import Any

from mulberrygate.core.outcome import Refusal
from mulberrygate.entry.codes import MALFORMED

# Messages with tool calls nest about ten levels. A body near Python's own limit of 1,000 levels
# could fail only after the begin in the ledger, which would leave the outcome unknown.
MAX_DEPTH = 64
# Largest size of an object of the JSON parser for each character that separates values, with its
# place in a list or an object.
VALUE_BYTES = 80
# Bytes of text for each byte of UTF-8, if one character needs two bytes, or four, in memory.
WIDE_FACTOR = 2
WIDEST_FACTOR = 4
FOUR_BYTE_CHARACTER = re.compile(rb"[\xf0-\xff]")
# Copies of the text that exist while it is parsed: decoded, as values, and as one prompt.
TEXT_COPIES = 3


def parsed_bytes(body: bytes) -> int:
    """Return an upper bound of the memory that a parsed body takes, in bytes.

    Examples
    ========
    >>> from mulberrygate.entry.completion import parsed_bytes
    >>> parsed_bytes(b'{"a": [1, 2]}')
    333
    """
    separators = sum(map(body.count, (b",", b":", b"[", b"{")))
    return _text_bytes(body) + VALUE_BYTES * separators


def parsing_bytes(body: bytes) -> int:
    """Return an upper bound of the memory that parsing a body takes for a moment, in bytes."""
    return parsed_bytes(body) + (TEXT_COPIES - 1) * _text_bytes(body)


def _text_bytes(body: bytes) -> int:
    if body.isascii():
        return len(body)
    factor = WIDEST_FACTOR if FOUR_BYTE_CHARACTER.search(body) else WIDE_FACTOR
    return factor * len(body)


def parse_completion(body: bytes) -> dict[str, Any] | Refusal:
    """Return the members of a chat completion request.

    Examples
    ========
    >>> from mulberrygate.entry.completion import parse_completion
    >>> parse_completion(b'{"model": "lookup", "messages": []}')["model"]
    'lookup'
    >>> parse_completion(b"[]").detail
    'the body is not a JSON object'
    """
    try:
        payload = json.loads(
            body.decode(), parse_constant=_reject_constant, parse_float=_parse_finite
        )
    except (ValueError, RecursionError) as error:
        return Refusal(MALFORMED, f"the body is not JSON: {str(error)[:200]}")
    if not isinstance(payload, dict):
        return Refusal(MALFORMED, "the body is not a JSON object")
    if exceeds_depth(payload, MAX_DEPTH):
        return Refusal(MALFORMED, f"the body is nested deeper than {MAX_DEPTH} levels")
    messages = payload.get("messages")
    if not isinstance(messages, list) or not all(isinstance(m, dict) for m in messages):
        return Refusal(MALFORMED, "messages is not a list of objects")
    if not isinstance(payload.get("model"), str):
        return Refusal(MALFORMED, "model does not name a route")
    if not isinstance(payload.get("stream", False), bool | None):
        return Refusal(MALFORMED, "stream is not true or false")
    if has_surrogate(prompt_text(payload)):
        return Refusal(MALFORMED, "a message has an unpaired surrogate")
    return payload


def prompt_text(payload: dict[str, Any]) -> str:
    """Return the text of all messages, from which length and cached prefixes are estimated."""
    return "\n".join(str(m.get("content", "")) for m in payload["messages"])


def has_surrogate(text: str) -> bool:
    """Return whether a text can't be encoded as UTF-8."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return True
    return False


def exceeds_depth(value: Any, limit: int) -> bool:
    """Return whether objects and lists are nested deeper than a limit."""
    level = [value]
    for _ in range(limit + 1):
        inner: list[Any] = []
        for item in level:
            if isinstance(item, dict):
                inner.extend(item.values())
            elif isinstance(item, list):
                inner.extend(item)
        level = inner
        if not level:
            return False
    return any(isinstance(item, dict | list) for item in level)


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not a JSON number")


def _parse_finite(text: str) -> float:
    number = float(text)
    if number in (float("inf"), float("-inf")):
        raise ValueError(f"the number {text[:40]} is too large")
    return number
