"""Reading of a model engine's stream to its end marker, over new connections if needed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import aiohttp

from mulberrygate.core.codes import Code
from mulberrygate.entry.codes import ANSWER_CUT, ENDPOINT_SILENT
from mulberrygate.entry.stream import EventReader, Events, StreamError
from mulberrygate.entry.upstream import Connected, NotSent, Upstream

# An engine may need this long for a prompt of 100,000 tokens before it sends the first event.
FIRST_SILENCE_S = 30.0
# At the target speed an event comes every 78 ms, so seconds of silence mean a lost connection.
SILENCE_S = 5.0
MAX_RESUMES = 4
RESUME_PAUSE_S = 0.25
RESUME_TIMEOUT_S = 5.0


@dataclass(frozen=True)
class StreamFailure:
    """Reason why a stream can't be read to its end.

    Parameters
    ==========
    fault : str
        ``cut``, ``silent``, ``gone`` (no connection) or ``lost`` (the engine doesn't know the
        stream, because it has restarted).
    """

    fault: str
    code: Code
    detail: str


class ResumingReader:
    """Reader of the events of one stream, in order, that reconnects after a failure.

    Explanation
    ===========
    A connection that breaks or stays silent is replaced by a new one that resumes after the last
    event. One timer compares the time of the last event with the silence limit, which costs less
    per token than a timeout around each read.

    Parameters
    ==========
    upstream : Upstream
        HTTP client for endpoints.
    address : str
        ``host:port`` of the engine.
    request : str
        Identifier of the stream at the engine.
    offset : int
        Offset of the first event to return.
    on_silence : Callable[[], None]
        Called for each connection that exceeded the silence limit.
    first_silence_s, silence_s : float
        Longest silence in seconds before the first event and between later ones.
    """

    def __init__(
        self,
        upstream: Upstream,
        address: str,
        request: str,
        offset: int = 0,
        on_silence: Callable[[], None] = lambda: None,
        first_silence_s: float = FIRST_SILENCE_S,
        silence_s: float = SILENCE_S,
    ):
        self.upstream = upstream
        self.address = address
        self.request = request
        self.reader = EventReader(request, offset)
        self.on_silence = on_silence
        self.first_silence_s = first_silence_s
        self.silence_s = silence_s
        self.response: aiohttp.ClientResponse | None = None
        self.resumes = 0
        self.fault = "cut"
        self.has_events = False
        self.last_event_at = 0.0
        self.silence_timer: asyncio.TimerHandle | None = None

    def start(self, response: aiohttp.ClientResponse | None) -> None:
        """Use an open connection; without one the first read opens a connection itself."""
        self.response = response
        self.reader.restart()
        if response is not None:
            self.last_event_at = asyncio.get_running_loop().time()
            self._schedule_check()

    async def read(self) -> Events | StreamFailure:
        """Return the next events, or why the stream can't be read further."""
        while True:
            if self.response is None:
                failed = await self._resume()
                if failed is not None:
                    return failed
            try:
                data = await self.response.content.readany()
                events = self.reader.feed(data) if data else None
            except (aiohttp.ClientError, OSError, StreamError):
                events = None
            if events is None:
                self._disconnect()
                continue
            if events.has_gap:
                self.fault = "cut"
                self._disconnect()
            if events.count:
                self.last_event_at = asyncio.get_running_loop().time()
                self.resumes = 0
                self.has_events = True
                return events

    def _silence_limit_s(self) -> float:
        return self.silence_s if self.has_events else self.first_silence_s

    def _schedule_check(self) -> None:
        """Schedule the check for the time at which the silence limit would be reached."""
        loop = asyncio.get_running_loop()
        if self.silence_timer is not None:
            self.silence_timer.cancel()
        self.silence_timer = loop.call_at(
            self.last_event_at + self._silence_limit_s(), self._check_silence
        )

    def _check_silence(self) -> None:
        self.silence_timer = None
        if self.response is None:
            return
        if asyncio.get_running_loop().time() < self.last_event_at + self._silence_limit_s():
            self._schedule_check()
            return
        self.fault = "silent"
        self.on_silence()
        # Closing the connection wakes the pending read.
        self.response.close()

    def _disconnect(self) -> None:
        if self.response is not None:
            self.response.close()
            self.response = None
        self.reader.restart()

    async def _resume(self) -> StreamFailure | None:
        """Open a new connection that resumes after the last event; return why that failed."""
        while self.resumes < MAX_RESUMES:
            self.resumes += 1
            if self.resumes > 1:
                await asyncio.sleep(RESUME_PAUSE_S * self.resumes)
            headers = {}
            if self.reader.offset:
                headers["Last-Event-ID"] = f"{self.request}:{self.reader.offset - 1}"
            opened = await self.upstream.open(
                "GET",
                f"http://{self.address}/v1/streams/{self.request}",
                headers,
                None,
                RESUME_TIMEOUT_S,
            )
            if isinstance(opened, Connected):
                if opened.response.status == 200:
                    self.start(opened.response)
                    return None
                opened.response.close()
                if opened.response.status == 404:
                    return StreamFailure(
                        "lost", ANSWER_CUT, "the endpoint does not know the stream"
                    )
            elif isinstance(opened, NotSent):
                self.fault = "gone"
        code = ENDPOINT_SILENT if self.fault == "silent" else ANSWER_CUT
        return StreamFailure(self.fault, code, f"{MAX_RESUMES} new connections did not help")

    def close(self) -> None:
        """Stop the timer and close the connection."""
        if self.silence_timer is not None:
            self.silence_timer.cancel()
            self.silence_timer = None
        self._disconnect()
