"""Early read of the listening addresses in the settings file.

This module imports little, so that it can run before the rest of the program is loaded."""

from __future__ import annotations

import json
import os

FILE_VARIABLE = "MULBERRYGATE_NODE_FILE"
ENTRY = "frontend"
READINESS = "readiness"
CONTROL = "control"


def settings_path() -> str:
    """Return the path of the settings file from the environment, empty if it is not set."""
    return os.environ.get(FILE_VARIABLE, "")


def served_addresses(path: str) -> tuple[str, ...]:
    """Return the addresses for callers, the balancer, endpoints and operators.

    Explanation
    ===========
    The result is empty for a file that can't be read; `mulberrygate.platform.settings.load_site`
    reports the fault.
    """
    try:
        with open(path, encoding="utf-8") as file:
            listen = json.load(file)["listen"]
        found = [listen.get(name, "") for name in (ENTRY, READINESS, CONTROL)]
    except (OSError, ValueError, KeyError, TypeError, AttributeError):
        return ()
    return tuple(address for address in found if isinstance(address, str) and address)
