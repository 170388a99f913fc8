"""HTTP headers of the platform's requests and answers."""

from __future__ import annotations

import math
import re
from typing import Any

from aiohttp import hdrs

from mulberrygate.forward.request import AnswerHead, Call, CallHead, Refused
from mulberrygate.platform.values import (
    InvalidValue,
    is_unicode,
    parse_count,
    parse_decimal,
)

PREFIX = "X-Mulberrygate-"
REQUEST_ID = PREFIX + "Request-Id"
# Milliseconds that the caller waits for the answer.
DEADLINE = PREFIX + "Request-Deadline"
# Number of prompt tokens and largest number of output tokens, separated by a comma.
TOKEN_COUNT = PREFIX + "Token-Count"
# Parts of the prompt in order, as comma-separated ``id:tokens`` entries with hexadecimal ids.
PROMPT_PARTS = PREFIX + "Prefix-Hash"
# Caller's estimate of the output tokens.
LENGTH_HINT = PREFIX + "Length-Hint"
EXPECT_INSTANCE = PREFIX + "Expect-Instance"
# Name of the client account.
TENANT = PREFIX + "Tenant-Id"
SIGNATURE = PREFIX + "Server-Signature"
NOT_EXECUTED = PREFIX + "Not-Executed"
# "1" in each answer of an endpoint that is leaving.
SERVER_LEAVING = "Server-Leaving"
# Requests a second that an endpoint takes from all instances together.
SERVER_LIMIT = "Server-Limit"
# Running requests, waiting requests and slots of an endpoint, separated by commas. Endpoints on
# shared machines add the time that work takes at present, in percent of the usual time.
SERVER_LOAD = PREFIX + "Server-Load"
LAST_EVENT = "Last-Event-Id"
BEARER = "bearer "
MAX_PARTS = 16
PART_ID = re.compile(r"[0-9a-f]{1,64}")

# Hop-by-hop headers, which apply to one connection and are not forwarded.
CONNECTION_HEADERS = frozenset(
    name.lower()
    for name in (
        hdrs.CONNECTION,
        hdrs.KEEP_ALIVE,
        hdrs.PROXY_AUTHENTICATE,
        hdrs.PROXY_AUTHORIZATION,
        "Proxy-Connection",
        hdrs.TE,
        hdrs.TRAILER,
        hdrs.TRANSFER_ENCODING,
        hdrs.UPGRADE,
    )
)
# Headers that are not forwarded from a caller; the system sets those that an endpoint needs.
SYSTEM_HEADERS = frozenset(
    name.lower()
    for name in (
        DEADLINE,
        EXPECT_INSTANCE,
        TENANT,
        hdrs.AUTHORIZATION,
        hdrs.CONTENT_LENGTH,
        hdrs.EXPECT,
        LAST_EVENT,
        PREFIX + "Expect-Version",
        PREFIX + "Hold",
        PREFIX + "Pin-Ms",
        PREFIX + "Kv-Backup",
        "Kv-From",
        "Kv-Fetch",
    )
)
# Headers without the platform's prefix that are decoded from a caller's request.
DECODED_HEADERS = frozenset(n.lower() for n in (hdrs.HOST, hdrs.AUTHORIZATION, LAST_EVENT))
DROPPED_HEADERS = CONNECTION_HEADERS | SYSTEM_HEADERS


def _is_decoded(name: str) -> bool:
    """Return whether a caller's header is decoded here or meant for the platform."""
    lower = name.lower()
    return lower in DECODED_HEADERS or lower.startswith(PREFIX.lower())


def _parse_load(text: str) -> tuple[int | None, float | None]:
    """Return the requests at an endpoint and its slowdown, each ``None`` if missing or unreadable.

    Explanation
    ===========
    The requests are the running and the waiting ones. A slowdown of 1 is usual.
    """
    fields = [field.strip() for field in text.split(",")]
    if len(fields) not in (3, 4):
        return None, None
    try:
        load = parse_count(fields[0]) + parse_count(fields[1])
    except InvalidValue:
        return None, None
    return load, _parse_percent(fields[3]) if len(fields) == 4 else None


def _parse_percent(text: str) -> float | None:
    """Return a positive percentage as a ratio, ``None`` if unreadable."""
    try:
        return parse_decimal(text) / 100 or None
    except InvalidValue:
        return None


def _parse_shared_parts(text: str) -> tuple[str, ...]:
    """Return the identifiers of a prompt's parts without the last, which no other prompt shares.

    Explanation
    ===========
    An entry that can't be read names no part. Only the first `MAX_PARTS` are kept, which bounds
    what is remembered of one call.
    """
    entries = text.lower().split(",")[:-1][:MAX_PARTS]
    found = (PART_ID.fullmatch(entry.partition(":")[0].strip()) for entry in entries)
    return tuple(dict.fromkeys(match[0] for match in found if match))


def _parse_pause_s(text: str | None) -> float | None:
    """Return the seconds of a ``Retry-After`` header, infinite if they can't be read."""
    if text is None:
        return None
    try:
        return parse_decimal(text)
    except InvalidValue:
        return math.inf


def _parse_rate(text: str | None) -> float | None:
    """Return the limit that an answer names, infinite for none and ``None`` if unreadable."""
    if text is None:
        return math.inf
    try:
        return parse_decimal(text)
    except InvalidValue:
        return None


def _named_by_connection(headers: Any) -> set[str]:
    """Return the names in a message's ``Connection`` header, in lower case."""
    names: set[str] = set()
    for value in headers.getall(hdrs.CONNECTION, ()):
        names.update(name.strip().lower() for name in value.split(","))
    return names


class PlatformDialect:
    """Conversion between the platform's HTTP headers and `mulberrygate.forward.request`."""

    def call_head(self, request: Any) -> CallHead:
        """Decode the head of a caller's request; its ``fault`` says why it can't be used."""
        try:
            return self._decode_head(request)
        except InvalidValue as error:
            identifier = request.headers.get(REQUEST_ID, "")
            return CallHead(
                request=identifier if is_unicode(identifier) else "",
                host="",
                method=request.method,
                path="",
                fault=str(error),
            )

    def _decode_head(self, request: Any) -> CallHead:
        """Decode the head of a caller's request.

        Raises
        ======
        InvalidValue
            The path or a header of the platform is no Unicode text, or a number is out of range.
        """
        headers = request.headers
        if not is_unicode(request.raw_path):
            raise InvalidValue("the path is no Unicode text")
        for name, value in headers.items():
            if not value.isascii() and _is_decoded(name) and not is_unicode(value):
                raise InvalidValue(f"{name} is no Unicode text")
        prompt, _, output = headers.get(TOKEN_COUNT, "").partition(",")
        authorization = headers.get(hdrs.AUTHORIZATION, "")
        is_bearer = authorization[: len(BEARER)].lower() == BEARER
        deadline = headers.get(DEADLINE)
        return CallHead(
            request=headers.get(REQUEST_ID, ""),
            host=headers.get(hdrs.HOST, "").partition(":")[0],
            method=request.method,
            path=request.raw_path,
            key=authorization[len(BEARER) :].strip() if is_bearer else "",
            timeout_s=parse_count(deadline) / 1000 if deadline else None,
            prompt_tokens=parse_count(prompt.strip()),
            output_tokens=parse_count(output.strip()),
            expected_tokens=parse_count(headers.get(LENGTH_HINT)),
            last_event_id=headers.get(LAST_EVENT, ""),
            shared_parts=_parse_shared_parts(headers.get(PROMPT_PARTS, "")),
        )

    def endpoint_headers(
        self, call: Call, endpoint: str, left_s: float, last_event_id: str
    ) -> list[tuple[str, str]]:
        """Return the headers of a request that is forwarded to an endpoint."""
        dropped = DROPPED_HEADERS | _named_by_connection(call.headers)
        headers = [item for item in call.headers.items() if item[0].lower() not in dropped]
        headers.append((DEADLINE, str(max(1, int(left_s * 1000)))))
        headers.append((EXPECT_INSTANCE, endpoint))
        if call.account:
            headers.append((TENANT, call.account))
        if last_event_id:
            headers.append((LAST_EVENT, last_event_id))
        return headers

    def answer_head(self, call: Call, response: Any) -> AnswerHead:
        """Decode the head of an endpoint's answer."""
        headers = response.headers
        is_other_request = headers.get(REQUEST_ID, call.head.request) != call.head.request
        is_success = 200 <= response.status < 300
        is_encoded = hdrs.CONTENT_ENCODING in headers
        is_signed = SIGNATURE in headers
        # A statement in an answer to another request says nothing of this one.
        states_not_run = NOT_EXECUTED in headers and not is_other_request
        # Another process than the endpoint that was meant answers 421, and says nothing of it.
        is_endpoint = not is_other_request and response.status != 421
        is_turned_away = is_endpoint and response.status == 503
        load, slowdown = _parse_load(headers.get(SERVER_LOAD, ""))
        return AnswerHead(
            status=response.status,
            is_turned_down=states_not_run,
            is_genuine=not is_other_request and not is_encoded and (is_signed or not is_success),
            load=load,
            slowdown=slowdown if is_endpoint else None,
            is_events=headers.get(hdrs.CONTENT_TYPE, "").startswith("text/event-stream"),
            is_leaving=is_endpoint and headers.get(SERVER_LEAVING, "").strip() == "1",
            pause_s=_parse_pause_s(headers.get(hdrs.RETRY_AFTER)) if is_turned_away else None,
            rate=_parse_rate(headers.get(SERVER_LIMIT)) if is_endpoint else None,
        )

    def answer_headers(self, response: Any) -> list[tuple[str, str]]:
        """Return the headers of an endpoint's answer that is forwarded to the caller."""
        dropped = CONNECTION_HEADERS | _named_by_connection(response.headers)
        dropped |= {hdrs.CONTENT_LENGTH.lower()}
        return [item for item in response.headers.items() if item[0].lower() not in dropped]

    def refusal_headers(self, call: Call | None, refusal: Refused) -> list[tuple[str, str]]:
        """Return the headers of a refusal by the entry."""
        headers = []
        if call is not None and call.head.request:
            headers.append((REQUEST_ID, call.head.request))
        if refusal.retry_after_s > 0:
            headers.append((hdrs.RETRY_AFTER, f"{refusal.retry_after_s:.2f}"))
        return headers
