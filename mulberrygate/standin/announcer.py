"""Announcements of a stand-in endpoint to entry instances, as a real endpoint sends them."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable

import aiohttp
import attrs

from mulberrygate.core.http_client import open_session
from mulberrygate.endpoints.model import Announcement

PERIOD_S = 1.0


class Announcer:
    """Send announcements to the first entry instance that accepts them.

    Parameters
    ==========
    entries : list[str]
        ``host:port`` of entry instances.
    token : str
        Bearer token of endpoints.
    make_announcement : Callable[[int], Announcement]
        Returns the announcement for a sequence number.
    """

    def __init__(
        self, entries: list[str], token: str, make_announcement: Callable[[int], Announcement]
    ):
        self.entries = entries
        self.token = token
        self.make_announcement = make_announcement
        self.sequence = itertools.count(1)
        self.accepted = 0

    async def announce(self, session: aiohttp.ClientSession) -> bool:
        """Send one announcement; return whether an entry instance accepted it."""
        body = attrs.asdict(self.make_announcement(next(self.sequence)))
        headers = {"Authorization": f"Bearer {self.token}"}
        for _ in range(len(self.entries)):
            url = f"http://{self.entries[0]}/endpoints/announce"
            try:
                async with session.post(
                    url, json=body, headers=headers, timeout=aiohttp.ClientTimeout(total=2)
                ) as answer:
                    if answer.status == 200:
                        self.accepted += 1
                        return True
            except (TimeoutError, aiohttp.ClientError, OSError):
                pass
            self.entries.append(self.entries.pop(0))
        return False

    async def run(self) -> None:
        """Announce every `PERIOD_S` until cancelled."""
        async with open_session() as session:
            while True:
                await self.announce(session)
                await asyncio.sleep(PERIOD_S)
