"""Decoder of the registrations that endpoints send to the control processes."""

from __future__ import annotations

import ipaddress
from typing import Any

from mulberrygate.endpoints.roster import Registration
from mulberrygate.platform.values import (
    MAX_WHOLE,
    InvalidValue,
    is_unicode,
    parse_json,
    read_number,
    read_text,
    read_whole,
)

READY = "ready"
DRAINING = "draining"
MAX_REGISTRATION_BYTES = 64 << 10
MAX_PORT = 65535


class InvalidRegistration(ValueError):
    """A registration is malformed or describes no usable endpoint."""


def decode_registration(endpoint: str, body: bytes) -> Registration:
    """Return the registration that a body holds.

    Raises
    ======
    InvalidRegistration
        The body is malformed, or a field is missing, of a wrong type or out of range.
    """
    if not is_name(endpoint):
        raise InvalidRegistration("the name can't be sent in a header")
    try:
        fields = parse_json(body)
        if not isinstance(fields, dict):
            raise InvalidRegistration("no object")
        state = read_text(fields, "state")
        if state not in (READY, DRAINING):
            raise InvalidRegistration(f"unknown state {state!r}")
        return Registration(
            endpoint=endpoint,
            # Start of the endpoint in Unix milliseconds; an older format lacks the field.
            incarnation=read_whole(fields, "born", 0),
            sequence=read_whole(fields, "sequence"),
            pool=read_text(fields, "service"),
            address=_address(fields),
            failure_domain=read_text(fields, "zone"),
            version=read_text(fields, "version", ""),
            slots=read_whole(fields, "slots"),
            is_leaving=state == DRAINING,
            # Remaining milliseconds for which it is cold; an older format lacks the field.
            warmup_s=max(0.0, read_number(fields, "coldRemainingMs", 0, -MAX_WHOLE) / 1000),
            states_warmup=fields.get("coldRemainingMs") is not None,
        )
    except InvalidValue as error:
        raise InvalidRegistration(str(error)) from error


def is_name(endpoint: str) -> bool:
    """Return whether a text can be the name of an endpoint, which requests carry in a header."""
    return is_unicode(endpoint) and not any(char < " " or char == "\x7f" for char in endpoint)


def _address(fields: dict[str, Any]) -> str:
    """Return the address of an endpoint, an IP address and a port."""
    address = read_text(fields, "address")
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        is_port = port.isascii() and 0 < int(port) <= MAX_PORT
    except ValueError:
        is_port = False
    if not is_port:
        raise InvalidRegistration("address is no IP address and port")
    return address
