"""Headers and target of a caller's request that are forwarded to a plain service."""

from __future__ import annotations

from yarl import URL

PASSED_HEADERS = ("Content-Type", "Accept", "Accept-Language", "Content-Encoding", "If-Match")


def service_target(url: URL) -> str:
    """Return the path and query for the endpoint, exactly as the caller encoded them.

    Explanation
    ===========
    Decoding the path would turn an encoded slash into a separator and ``%3F`` into a query.

    Examples
    ========
    >>> from yarl import URL
    >>> from mulberrygate.entry.service_call import service_target
    >>> service_target(URL("/services/booking/a%2Fb/../c?x=%26", encoded=True))
    '/a%2Fb/../c?x=%26'
    """
    path = "/" + url.raw_path.split("/", 3)[3]
    return f"{path}?{url.raw_query_string}" if url.raw_query_string else path
