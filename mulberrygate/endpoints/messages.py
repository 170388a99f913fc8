"""Messages between the endpoint directories of the instances."""

from __future__ import annotations

import attrs

from mulberrygate.core.wire import message
from mulberrygate.endpoints.model import Announcement


@message("endpoints.forwarded")
@attrs.frozen
class Forwarded:
    """To all entries of the domain: an endpoint is new or changed; never forwarded again.

    Parameters
    ==========
    age : int
        Age of the announcement in units of `AGE_UNIT_S`, since the sender may have been paused
        before it handled it.
    """

    announcement: Announcement
    age: int = 0


@message("endpoints.redirected")
@attrs.frozen
class Redirected:
    """To an instance of the endpoint's failure domain: handle as if it was announced there."""

    announcement: Announcement


@message("endpoints.renewals")
@attrs.frozen
class Renewals:
    """Ages of the last announcements of all endpoints of the domain; the answer is another one.

    Parameters
    ==========
    digest : int
        Digest of the endpoints and their properties.
    ages : bytes
        One byte for each endpoint in order of their names, in units of `AGE_UNIT_S`; applies only
        where the digest is the same.
    named : bytes
        In place of ages if the digests differ: rows of name, incarnation, sequence, age and
        fingerprint.
    is_answer, is_return : bool
        The message answers another one, or was sent because the digests differed.
    """

    digest: int
    ages: bytes = b""
    named: bytes = b""
    is_answer: bool = False
    is_return: bool = False


@message("endpoints.pull_rows")
@attrs.frozen
class PullRows:
    """Ask for the announcements of endpoints; the answer is `Rows`."""

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
    """To the owner of a pool's scheduler: loads and cache events of announcements.

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
    """To the owner of the pool's scheduler in another domain: endpoints of this domain.

    Parameters
    ==========
    failure_domain, pool : str
        What the summary is about.
    digest : int
        Digest of all endpoints of the pool in that domain.
    announcements : tuple[Announcement, ...]
        Those that the receiver has not acknowledged yet.
    names : tuple[str, ...]
        All endpoints in order, only together with announcements.
    ages, loads : bytes
        One byte for each endpoint in order of their names.
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
    """Answer to a `Summary`: the digest that the receiver holds now."""

    failure_domain: str
    pool: str
    digest: int
