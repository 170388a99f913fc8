"""Calls that end with the loss of the endpoint that runs them."""

from __future__ import annotations

from collections.abc import Callable

from mulberrygate.forward.request import Call

MOST_SOUND = 4096


class Suspects:
    """Report calls that crash endpoints, and know those that are quarantined.

    Explanation
    ===========
    A call is the same if its path, client account and body are. One that any endpoint has answered
    is not reported, since it ran beside the call that crashed the endpoint.

    Parameters
    ==========
    report : Callable[[str, str, int], None]
        Called with fingerprint, endpoint and incarnation of a call whose endpoint crashed.
    """

    def __init__(self, report: Callable[[str, str, int], None]):
        self.report = report
        self.quarantined: frozenset[str] = frozenset()
        self.sound: dict[str, None] = {}

    def set_quarantined(self, fingerprints: tuple[str, ...]) -> None:
        """Replace the fingerprints that no endpoint may run."""
        self.quarantined = frozenset(fingerprints)

    def is_quarantined(self, call: Call) -> bool:
        """Return whether a call may not be sent to any endpoint."""
        return bool(self.quarantined) and call.fingerprint in self.quarantined

    def note_sound(self, call: Call) -> None:
        """Take note that an endpoint answered a call."""
        self.sound[call.fingerprint] = None
        while len(self.sound) > MOST_SOUND:
            del self.sound[next(iter(self.sound))]

    def note_crash(self, call: Call, endpoint: str, incarnation: int) -> None:
        """Take note that an endpoint was lost while it ran a call."""
        fingerprint = call.fingerprint
        if fingerprint not in self.sound:
            self.report(fingerprint, endpoint, incarnation)
