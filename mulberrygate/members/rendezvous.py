"""Rendezvous hashing: map a subject, such as a pool, to instances without a shared table."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

WEIGHT_BITS = 64


def weigh(subject: str, name: str) -> int:
    """Return the hash weight of a name for a subject."""
    digest = hashlib.blake2b(f"{subject}\0{name}".encode(), digest_size=WEIGHT_BITS // 8).digest()
    return int.from_bytes(digest, "big")


def rank(subject: str, names: Iterable[str]) -> list[str]:
    """Return the names in descending order of their weight for a subject.

    Examples
    ========
    >>> from mulberrygate.members.rendezvous import rank
    >>> names = ["a", "b", "c"]
    >>> rank("pool", names) == rank("pool", reversed(names))
    True
    """
    return sorted(names, key=lambda name: (weigh(subject, name), name), reverse=True)


def choose(subject: str, names: Iterable[str]) -> str:
    """Return the name with the highest weight for a subject, or an empty string for no names."""
    return max(names, key=lambda name: (weigh(subject, name), name), default="")
