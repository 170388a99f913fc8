"""Decoder of the registrations that endpoints send to the control processes."""

from __future__ import annotations

import json
from typing import Any

from mulberrygate.endpoints.roster import Registration

READY = "ready"
DRAINING = "draining"
MAX_REGISTRATION_BYTES = 64 << 10


class InvalidRegistration(ValueError):
    """A registration is malformed or describes no usable endpoint."""


def decode_registration(endpoint: str, body: bytes) -> Registration:
    """Return the registration that a body holds.

    Raises
    ======
    InvalidRegistration
        The body is malformed, or a field is missing or has a wrong type.
    """
    try:
        fields = json.loads(body)
        if not isinstance(fields, dict):
            raise InvalidRegistration("no object")
        state = _field(fields, "state", str)
        if state not in (READY, DRAINING):
            raise InvalidRegistration(f"unknown state {state!r}")
        return Registration(
            endpoint=endpoint,
            # Start of the endpoint in Unix milliseconds; an older format lacks the field.
            incarnation=_field(fields, "born", int, 0),
            sequence=_field(fields, "sequence", int),
            pool=_field(fields, "service", str),
            address=_address(fields),
            failure_domain=_field(fields, "zone", str),
            version=_field(fields, "version", str, ""),
            slots=_field(fields, "slots", int),
            is_leaving=state == DRAINING,
            # Remaining milliseconds for which the endpoint is slow after its start.
            warmup_s=float(_field(fields, "coldRemainingMs", (int, float), 0)) / 1000,
        )
    except (ValueError, RecursionError) as error:
        raise InvalidRegistration(str(error)) from error


def _field(fields: dict[str, Any], name: str, kind: Any, default: Any = None) -> Any:
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, kind):
        raise InvalidRegistration(f"{name} is missing or of another type")
    return value


def _address(fields: dict[str, Any]) -> str:
    address = _field(fields, "address", str)
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise InvalidRegistration("address is no host and port")
    return address
