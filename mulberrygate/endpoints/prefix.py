"""Hashes of prompt prefixes, to match requests with the prefixes that engines have cached."""

from __future__ import annotations

import hashlib

# A block of 1,024 characters is about 256 tokens: small enough to detect a shared system prompt,
# and large enough that a ticket with a long history stays under 1 KB.
BLOCK_CHARS = 1024
MAX_BLOCKS = 48
CHARS_PER_TOKEN = 4
PREFIX_TOKENS = BLOCK_CHARS // CHARS_PER_TOKEN


def prefix_hashes(text: str) -> tuple[str, ...]:
    """Return the hashes of a prompt's prefixes, shortest first.

    Explanation
    ===========
    The hash of block ``n`` covers all text up to its end, so equal hashes mean equal prefixes. A
    last, incomplete block has no hash.

    Examples
    ========
    >>> from mulberrygate.endpoints.prefix import prefix_hashes
    >>> len(prefix_hashes("x" * 2500))
    2
    """
    digest = hashlib.blake2b(digest_size=8)
    hashes = []
    for start in range(0, min(len(text), MAX_BLOCKS * BLOCK_CHARS) - BLOCK_CHARS + 1, BLOCK_CHARS):
        digest.update(text[start : start + BLOCK_CHARS].encode())
        hashes.append(digest.hexdigest())
    return tuple(hashes)


def estimate_tokens(text: str) -> int:
    """Return the estimated number of tokens of a text, at least 1."""
    return max(1, len(text) // CHARS_PER_TOKEN)
