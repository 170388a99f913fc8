"""Settings file that the platform writes for each process, and its decoder."""

from __future__ import annotations

import json
from typing import Any

import attrs

from mulberrygate.core.codes import register_code
from mulberrygate.core.outcome import Refusal
from mulberrygate.daemon.sockets import FILE_DESCRIPTORS
from mulberrygate.platform.listen import CONTROL, ENTRY, FILE_VARIABLE, READINESS

MIN_SOCKETS = 128

BAD_SITE = register_code(7101, "bad_site_settings", "The platform's settings file is not usable.")


@attrs.frozen
class Bounds:
    """Limits that the platform sets for a deployment.

    Parameters
    ==========
    kill_after_s : float
        Seconds from SIGTERM to SIGKILL.
    retry_ratio, retry_slack : float
        Retry budget of a pool: in a window, all entries together may send this share of its
        requests, plus the slack, again.
    quota_slack : float
        Units by which a client account may exceed its limit in a window.
    exposure_share : float
        Largest share of a pool's requests that a faulty version may get in a move.
    """

    kill_after_s: float = 8.0
    retry_ratio: float = 0.2
    retry_slack: float = 20.0
    quota_slack: float = 0.0
    exposure_share: float = 0.1


@attrs.frozen
class MachineLimits:
    """Limits of the machine on which a process runs.

    Parameters
    ==========
    memory_bytes : int
        Memory beyond which the process is killed.
    sockets : int
        Descriptors for sockets.
    """

    memory_bytes: int = 512 << 20
    sockets: int = 4096 - FILE_DESCRIPTORS


@attrs.frozen
class Site:
    """Settings of one process.

    Parameters
    ==========
    instance : str
        IP address of the instance, which is also its name in the system.
    node : str
        Name of the machine, for logs.
    entry_address, readiness_address, control_address : str
        Addresses that the process serves: for callers, for the balancer's readiness checks, and for
        endpoints and operators. Empty if it does not serve them.
    peer_port : int
        Port of the peer protocol, the same on all instances.
    seeds : tuple[str, ...]
        Instances that run control processes.
    is_first_start : bool
        Whether the system as a whole starts for the first time, with empty disks.
    data_folder : str
        Folder on the instance's disk, empty if it has none.
    voters : int
        Number of voters that tolerates the losses of machines that the deployment must survive.
    tunnel_port : int or None
        Port at which each entry opens connections to endpoints for other entries.
    """

    instance: str
    node: str
    failure_domain: str
    region: str
    regions: dict[str, str]
    entry_address: str
    readiness_address: str
    control_address: str
    peer_port: int
    seeds: tuple[str, ...]
    is_first_start: bool
    data_folder: str
    voters: int
    bounds: Bounds
    limits: MachineLimits = MachineLimits()
    tunnel_port: int | None = None

    @property
    def is_entry(self) -> bool:
        """Whether the process serves callers."""
        return bool(self.entry_address)

    @property
    def is_control(self) -> bool:
        """Whether the process serves endpoints and operators."""
        return bool(self.control_address)

    @property
    def peer_address(self) -> str:
        """Address of the process in the peer protocol."""
        return self.address_of(self.instance)

    def address_of(self, instance: str) -> str:
        """Return the peer address of an instance."""
        return f"{instance}:{self.peer_port}"


def load_site(path: str) -> Site | Refusal:
    """Read and check the settings file."""
    try:
        with open(path, encoding="utf-8") as file:
            return decode_site(json.load(file))
    except (OSError, ValueError, KeyError, TypeError, AttributeError) as error:
        return Refusal(BAD_SITE, f"{path or FILE_VARIABLE}: {type(error).__name__}: {error}")


def decode_site(fields: dict[str, Any]) -> Site:
    """Return the settings from the decoded JSON of the file.

    Raises
    ======
    KeyError, TypeError, ValueError
        A field is missing or has a wrong type.
    """
    listen = fields["listen"]
    ports = fields["internalPorts"]
    return Site(
        instance=_text(fields, "ip"),
        node=_text(fields, "node"),
        failure_domain=_text(fields, "zone"),
        region=_text(fields, "region"),
        regions=dict(fields["zones"]),
        entry_address=listen.get(ENTRY, ""),
        readiness_address=listen.get(READINESS, ""),
        control_address=listen.get(CONTROL, ""),
        peer_port=int(ports[0]),
        # The file gives the control addresses of seeds. Only the host is used, since the peer port
        # is the same on all instances.
        seeds=tuple(str(seed).rpartition(":")[0] for seed in fields["seeds"]),
        is_first_start=fields.get("bootstrap") is True,
        data_folder=fields.get("dataDir") or "",
        voters=2 * int(fields.get("faultTolerance", {}).get("machines", 1)) + 1,
        bounds=_decode_bounds(fields.get("bounds", {})),
        limits=_decode_limits(fields.get("limits") or {}),
        tunnel_port=int(ports[0]) + 1 if int(ports[1]) > int(ports[0]) else None,
    )


def _decode_bounds(fields: dict[str, Any]) -> Bounds:
    default = Bounds()
    return Bounds(
        kill_after_s=float(fields.get("graceS", default.kill_after_s)),
        retry_ratio=float(fields.get("retryBudgetRatio", default.retry_ratio)),
        retry_slack=float(fields.get("retryBudgetSlack", default.retry_slack)),
        quota_slack=float(fields.get("quotaSlack", default.quota_slack)),
        exposure_share=float(fields.get("exposureShare", default.exposure_share)),
    )


def _decode_limits(fields: dict[str, Any]) -> MachineLimits:
    default = MachineLimits()
    memory_mb = float(fields.get("memoryMb") or 0)
    descriptors = int(fields.get("maxFds") or 0)
    return MachineLimits(
        memory_bytes=int(memory_mb * (1 << 20)) if memory_mb > 0 else default.memory_bytes,
        sockets=(
            max(MIN_SOCKETS, descriptors - FILE_DESCRIPTORS) if descriptors > 0 else default.sockets
        ),
    )


def _text(fields: dict[str, Any], name: str) -> str:
    value = fields[name]
    if not isinstance(value, str):
        raise TypeError(f"{name} is no text")
    return value
