"""Messages between the endpoint directories of the instances."""

from __future__ import annotations

import attrs

from mulberrygate.core.wire import message
from mulberrygate.endpoints.model import Announcement


@message("endpoints.forwarded")
@attrs.frozen
class Forwarded:
    """New or changed endpoint, sent to all entries of the domain; receivers don't forward it.

    Parameters
    ==========
    age : int
        Age of the announcement in units of `AGE_UNIT_S`, since the sender may have been paused
        between receiving and handling it.
    """

    announcement: Announcement
    age: int = 0


@message("endpoints.redirected")
@attrs.frozen
class Redirected:
    """Announcement for the endpoint's own failure domain, where it is handled as a direct one."""

    announcement: Announcement


@message("endpoints.renewals")
@attrs.frozen
class Renewals:
    """Ages of the last announcements of all endpoints of the domain; answered by another one.

    Parameters
    ==========
    digest : int
        Digest of the endpoints and their properties.
    ages : bytes
        One byte for each endpoint, sorted by name, in units of `AGE_UNIT_S`; applies only if the
        receiver has the same digest.
    named : bytes
        Replaces ``ages`` if the digests differ: rows of name, incarnation, sequence, age and
        fingerprint.
    is_answer : bool
        Whether this is the answer to another message.
    is_return : bool
        Whether the sender requests the receiver's rows, having found that the digests differ.
    """

    digest: int
    ages: bytes = b""
    named: bytes = b""
    is_answer: bool = False
    is_return: bool = False


@message("endpoints.pull_rows")
@attrs.frozen
class PullRows:
    """Request for the announcements of endpoints; the answer is `Rows`."""

    names: tuple[str, ...]


@message("endpoints.rows")
@attrs.frozen
class Rows:
    """Announcements of endpoints with the ages of the last ones, in units of `AGE_UNIT_S`."""

    announcements: tuple[Announcement, ...]
    ages: bytes


@message("endpoints.reports")
@attrs.frozen
class Reports:
    """Loads and cache events of announcements, sent to the owner of a pool's scheduler.

    Parameters
    ==========
    rows : bytes
        Rows of name, incarnation, sequence, age in units of `AGE_UNIT_S`, load, age of the load
        in milliseconds, cache sequence, cached prefixes, evicted prefixes and fingerprint.
    """

    rows: bytes


@message("endpoints.summary")
@attrs.frozen
class Summary:
    """Endpoints of one pool and domain, sent to the pool's owner in another failure domain.

    Parameters
    ==========
    failure_domain, pool : str
        Failure domain and pool whose endpoints are listed.
    digest : int
        Digest of all endpoints of the pool in that domain.
    announcements : tuple[Announcement, ...]
        All endpoints, unless the receiver has acknowledged this digest.
    names : tuple[str, ...]
        Sorted names of all endpoints, only together with announcements.
    ages, loads : bytes
        One byte for each endpoint, sorted by name.
    """

    failure_domain: str
    pool: str
    digest: int
    announcements: tuple[Announcement, ...] = ()
    names: tuple[str, ...] = ()
    ages: bytes = b""
    loads: bytes = b""


@message("endpoints.summary_held")
@attrs.frozen
class SummaryAck:
    """Acknowledges a `Summary` with the digest of the receiver's table."""

    failure_domain: str
    pool: str
    digest: int
