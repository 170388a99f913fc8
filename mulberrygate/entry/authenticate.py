"""Filter: authenticate the client account and read the idempotency key."""

from __future__ import annotations

import hashlib

from mulberrygate.core.outcome import Refusal
from mulberrygate.entry.codes import BAD_KEY, UNAUTHORIZED
from mulberrygate.entry.context import EntryParts, RequestContext

SCHEME = "Bearer "
MAX_KEY_CHARS = 200


class Authenticate:
    """Find the client account by the bearer token, and validate the caller's key."""

    def __init__(self, parts: EntryParts):
        self.parts = parts

    async def __call__(self, request: RequestContext, proceed):
        header = request.http.headers.get("Authorization", "")
        if not header.startswith(SCHEME):
            return Refusal(UNAUTHORIZED)
        # aiohttp decodes header bytes that are not UTF-8 as surrogates.
        token = header[len(SCHEME) :].strip().encode("utf-8", "surrogateescape")
        digest = hashlib.sha256(token).hexdigest()
        name = self.parts.in_force.account_by_token.get(digest)
        if name is None:
            return Refusal(UNAUTHORIZED)
        request.account_name = name
        request.account = self.parts.in_force.accounts[name]
        keys = request.http.headers.getall("Idempotency-Key", ())
        if keys:
            key = keys[0]
            if len(keys) > 1 or not is_valid_key(key):
                return Refusal(BAD_KEY)
            request.key = key
            request.has_caller_key = True
        return await proceed()


def is_valid_key(key: str) -> bool:
    """Return whether a text is a valid idempotency key of a caller.

    Examples
    ========
    >>> from mulberrygate.entry.authenticate import is_valid_key
    >>> is_valid_key("dakar-a/order-17"), is_valid_key(""), is_valid_key("a b")
    (True, False, False)
    """
    return 0 < len(key) <= MAX_KEY_CHARS and all("!" <= char <= "~" for char in key)
