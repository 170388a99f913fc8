"""Request keys: home failure domain, minting, and the time at which a key was minted."""

from __future__ import annotations

import random
import re
from collections.abc import Collection

# Assumed maximum difference between the wall clocks of two instances.
MAX_CLOCK_SKEW_S = 60.0

_MINTED = re.compile(r"[^/]+/(\d{13})-[0-9a-f]{16}")


def home_domain(
    key: str, account_home: str, own_domain: str, known_domains: Collection[str] = ()
) -> str:
    """Return the home failure domain of a key.

    Explanation
    ===========
    This is the prefix of the key if it names a known failure domain, else the client account's
    home, else the entry's own domain. All entries must get the same result for a key, so the home
    of an account must not change while its keys are retained.

    Examples
    ========
    >>> from mulberrygate.ledger.keys import home_domain
    >>> home_domain("dakar-2/order-7", "dakar-1", "dakar-3", {"dakar-1", "dakar-2"})
    'dakar-2'
    >>> home_domain("order-7", "dakar-1", "dakar-3", {"dakar-1", "dakar-2"})
    'dakar-1'
    """
    prefix, separator, _ = key.partition("/")
    if separator and prefix in known_domains:
        return prefix
    return account_home or own_domain


def mint(own_domain: str, wall_s: float, rng: random.Random) -> str:
    """Return a new key, ``<failure domain>/<unix ms>-<random>``."""
    return f"{own_domain}/{int(wall_s * 1000):013d}-{rng.getrandbits(64):016x}"


def minted_at(key: str, wall_s: float) -> float:
    """Return the Unix time at which a key was minted, or 0 if it is unknown.

    Explanation
    ===========
    A time in the future can't come from an entry and counts as unknown.

    Examples
    ========
    >>> from mulberrygate.ledger.keys import minted_at
    >>> minted_at("dakar-1/1700000000500-00000000000000ff", 1700000001.0)
    1700000000.5
    >>> minted_at("order-7", 1700000001.0)
    0.0
    """
    found = _MINTED.fullmatch(key)
    minted = int(found[1]) / 1000 if found else 0.0
    return minted if minted <= wall_s + MAX_CLOCK_SKEW_S else 0.0


def is_minted(key: str) -> bool:
    """Return whether a key has the form of minted keys.

    Examples
    ========
    >>> from mulberrygate.ledger.keys import is_minted
    >>> is_minted("dakar-1/1700000000500-00000000000000ff"), is_minted("order-7")
    (True, False)
    """
    return _MINTED.fullmatch(key) is not None
