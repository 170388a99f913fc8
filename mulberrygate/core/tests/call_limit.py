"""Bound on the work of a block in a test, counted in calls instead of time."""

from __future__ import annotations

import contextlib
import sys
from collections.abc import Iterator


@contextlib.contextmanager
def calls_at_most(limit: int) -> Iterator[None]:
    """Fail if a block makes more calls of Python and C functions than a limit.

    Explanation
    ===========
    The count does not depend on the machine or its load. A loop inside one C function is not
    counted; the time limit of the test runner ends it.

    Raises
    ======
    AssertionError
        The block made more calls than the limit.
    """
    count = 0

    def count_call(_frame, event: str, _argument) -> None:
        nonlocal count
        count += event in ("call", "c_call")

    previous = sys.getprofile()
    sys.setprofile(count_call)
    try:
        yield
    finally:
        sys.setprofile(previous)
    if count > limit:
        raise AssertionError(f"{count} calls, at most {limit} are allowed")
