"""Settings of one daemon."""

from __future__ import annotations

import math
import re

import attrs

ENTRY = "entry"
CONTROL = "control"
PARTS = (ENTRY, CONTROL)
# Further role that members name, see `mulberrygate.members.view.Member`.
EVACUATIONS = "evacuations"
# The program alone has some 55 MB resident, and each instance has connections to others.
MIN_MEMORY_MB = 128
MIN_DESCRIPTORS = 384
LOG_LEVELS = ("DEBUG", "INFO", "NOTICE", "WARNING", "ERROR", "CRITICAL")


_ADDRESS = re.compile(r"([A-Za-z0-9._-]+|\[[0-9A-Fa-f:.]+\]):(?P<port>[0-9]{1,5})")
_NAME = re.compile(r"[A-Za-z0-9._-]{1,64}")


def is_address(value: str) -> bool:
    """Return whether a text is ``host:port``.

    Examples
    ========
    >>> from mulberrygate.settings.model import is_address
    >>> is_address("10.0.0.1:80"), is_address("[::1]:80"), is_address("h:80/x"), is_address("h")
    (True, True, False, False)
    """
    match = _ADDRESS.fullmatch(value)
    return match is not None and 0 < int(match["port"]) < 65536


def _check_address(instance, attribute, value: str) -> None:
    if not is_address(value):
        raise ValueError(f"{attribute.name} must be host:port, not {value!r}")


def _check_addresses(instance, attribute, value) -> None:
    for address in value.values() if isinstance(value, dict) else value:
        _check_address(instance, attribute, address)


def _check_level(instance, attribute, value: str) -> None:
    if value not in LOG_LEVELS:
        raise ValueError(f"{attribute.name} must be one of {', '.join(LOG_LEVELS)}, not {value!r}")


def _check_duration(instance, attribute, value: float) -> None:
    if not math.isfinite(value) or value < 0:
        raise ValueError(f"{attribute.name} must be a number of seconds from 0, not {value!r}")


def _check_memory(instance, attribute, value: float) -> None:
    if not math.isfinite(value) or value < MIN_MEMORY_MB:
        raise ValueError(
            f"{attribute.name} must be a number of MB from {MIN_MEMORY_MB}, not {value!r}"
        )


def _check_descriptors(instance, attribute, value: int) -> None:
    if value < MIN_DESCRIPTORS:
        raise ValueError(f"{attribute.name} must be at least {MIN_DESCRIPTORS}, not {value!r}")


def _check_name(instance, attribute, value: str) -> None:
    if not _NAME.fullmatch(value):
        raise ValueError(
            f"{attribute.name} must be 1 to 64 letters, digits, '-', '_' or '.', not {value!r}"
        )


def _check_parts(instance, attribute, value: tuple[str, ...]) -> None:
    for part in value:
        if part not in PARTS:
            raise ValueError(f"unknown part {part!r}; the parts are {', '.join(PARTS)}")


@attrs.frozen
class Settings:
    """Settings of a daemon.

    Parameters
    ==========
    instance : str
        Name of the instance, unique in the system.
    region, failure_domain : str
        Location of the instance.
    peer_address, http_address : str
        ``host:port`` on which the daemon listens for other daemons and for HTTP.
    seeds : tuple[str, ...]
        Peer addresses of a few other instances.
    peer_token_file, operator_token_file, endpoint_token_file : str
        Files with the shared secrets of the daemons, of operators and of endpoints.
    parts : tuple[str, ...]
        Roles to run: ``entry``, and ``control`` on an instance with a data folder.
    data_folder : str
        Folder of the control group's replicated log; needed by ``control`` only.
    voters : dict[str, str]
        Initial voters of the control group, name to peer address, equal on all instances.
    drain_notice_s : float
        Seconds in a planned stop between the failing readiness check and the refusal of new
        requests; more than the load balancer's interval of health checks.
    stop_grace_s : float
        Seconds that a planned stop waits for running requests before it reports those that are
        left.
    memory_mb : float
        Memory of the process in MB (2**20 bytes) that it stays under. What callers make it hold is
        bounded by what its program and state don't need of this.
    max_descriptors : int
        Descriptors that the process may have open. A lower limit of the operating system applies
        as well.
    partition_switch : bool
        Whether tests may simulate a network partition of this instance through its HTTP server.
    """

    instance: str = attrs.field(validator=_check_name)
    region: str = attrs.field(validator=_check_name)
    failure_domain: str = attrs.field(validator=_check_name)
    peer_address: str = attrs.field(validator=_check_address)
    http_address: str = attrs.field(validator=_check_address)
    peer_token_file: str
    operator_token_file: str
    endpoint_token_file: str
    seeds: tuple[str, ...] = attrs.field(default=(), validator=_check_addresses)
    parts: tuple[str, ...] = attrs.field(default=(ENTRY,), validator=_check_parts)
    data_folder: str = ""
    voters: dict[str, str] = attrs.field(factory=dict, validator=_check_addresses)
    log_level: str = attrs.field(default="INFO", validator=_check_level)
    drain_notice_s: float = attrs.field(default=5.0, validator=_check_duration)
    stop_grace_s: float = attrs.field(default=3600.0, validator=_check_duration)
    memory_mb: float = attrs.field(default=512.0, validator=_check_memory)
    max_descriptors: int = attrs.field(default=4096, validator=_check_descriptors)
    partition_switch: bool = False

    def __attrs_post_init__(self) -> None:
        if CONTROL in self.parts and not self.data_folder:
            raise ValueError("the part control needs a data_folder")
        if CONTROL in self.parts and not self.voters:
            raise ValueError("the part control needs voters")
