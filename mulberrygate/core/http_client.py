"""HTTP client sessions that send each request once."""

from __future__ import annotations

from typing import Any

import aiohttp


def open_session(**options: Any) -> aiohttp.ClientSession:
    """Return a client session that never repeats a request by itself.

    Explanation
    ===========
    By default the library sends a GET, HEAD, OPTIONS, TRACE, PUT or DELETE once more when its
    connection breaks before the answer. The first copy may have run, and the caller of the session
    would not learn of it: neither a limit on runs, nor the retry budget, nor the detection of
    crashed endpoints would apply to the second copy. Whether a request may be repeated is decided
    by the code that sends it.

    The session must be created inside a running event loop.

    Parameters
    ==========
    options : Any
        Options of `aiohttp.ClientSession`.
    """
    session = aiohttp.ClientSession(**options)
    # The library has no public option for this.
    session._retry_connection = False
    return session
