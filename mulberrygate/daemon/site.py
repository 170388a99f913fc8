"""Entry point of the programs on the users' platform, and their composition root.

Explanation
===========
The platform's adapter is imported here and nowhere else outside its folder. Handlers of signals are
set before the slow imports, because the platform may signal a process that has just started, and
sockets listen before them, because callers come back the moment an instance is up.
"""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
import time

# Periods in seconds.
SETTINGS_CHECK_S = 1.0
BAD_SETTINGS = 2
# Time before the platform kills a process that was asked to stop.
KILL_MARGIN_S = 0.4
COLLECT_AFTER = 20_000


class Signals:
    """Signals that came since the start."""

    def __init__(self):
        self.is_asked_to_stop = False
        self.is_asked_to_reload = False
        self.wake = lambda: None

    def install(self) -> None:
        """Set the handlers."""
        signal.signal(signal.SIGTERM, self._on_stop)
        signal.signal(signal.SIGINT, self._on_stop)
        signal.signal(signal.SIGHUP, self._on_reload)

    def _on_stop(self, _number: int, _frame: object) -> None:
        self.is_asked_to_stop = True
        self.wake()

    def _on_reload(self, _number: int, _frame: object) -> None:
        self.is_asked_to_reload = True
        self.wake()

    def take_over(self, loop: asyncio.AbstractEventLoop, wake) -> None:
        """Let the event loop handle signals from now on."""
        self.wake = wake
        for number, handler in (
            (signal.SIGTERM, self._on_stop),
            (signal.SIGINT, self._on_stop),
            (signal.SIGHUP, self._on_reload),
        ):
            loop.add_signal_handler(number, handler, number, None)


class SettingsWatch:
    """Notice changes of the settings file, with and without a signal."""

    def __init__(self, path: str):
        self.path = path
        self.stamp = self._read_stamp()

    def _read_stamp(self) -> tuple[int, int]:
        try:
            found = os.stat(self.path)
        except OSError:
            return 0, 0
        return found.st_mtime_ns, found.st_size

    def is_changed(self) -> bool:
        """Return whether the file changed since the last call."""
        before, self.stamp = self.stamp, self._read_stamp()
        return self.stamp != before


def compose(site, lines, started_at: float, listeners):
    """Return the part that the settings ask for, wired to the platform's adapter.

    Parameters
    ==========
    started_at : float
        Monotonic time at which the process started.
    listeners : mulberrygate.daemon.sockets.Listeners
        Sockets that listen already.
    """
    from mulberrygate.platform.documents import decode_document

    if site.is_control:
        from mulberrygate.daemon.control_node import ControlNode
        from mulberrygate.platform.operator_api import OperatorApi

        return ControlNode(site, lines, decode_document, OperatorApi, started_at, listeners)
    from mulberrygate.daemon.gateway import Gateway
    from mulberrygate.platform.headers import PlatformDialect

    return Gateway(site, lines, PlatformDialect(), decode_document, listeners)


async def serve(site, path: str, signals: Signals, lines, started_at: float, listeners) -> None:
    """Run a process until it is asked to stop."""
    from mulberrygate.core.outcome import Refusal
    from mulberrygate.platform.settings import load_site

    woken = asyncio.Event()
    signals.take_over(asyncio.get_running_loop(), woken.set)
    watch = SettingsWatch(path)
    part = compose(site, lines, started_at, listeners)
    await part.start()
    gc.freeze()
    gc.set_threshold(COLLECT_AFTER, 20, 50)
    gc.enable()
    lines.log("process.started", instance=site.instance, is_control=site.is_control)
    while not signals.is_asked_to_stop:
        woken.clear()
        try:
            await asyncio.wait_for(woken.wait(), SETTINGS_CHECK_S)
        except TimeoutError:
            pass
        if watch.is_changed() or signals.is_asked_to_reload:
            signals.is_asked_to_reload = False
            changed = load_site(path)
            is_bad = isinstance(changed, Refusal)
            lines.log("settings.reloaded", is_bad=is_bad)
            if not is_bad:
                part.set_seeds(changed.seeds)
    lines.log("process.stopping")
    try:
        async with asyncio.timeout(site.bounds.kill_after_s - KILL_MARGIN_S):
            await part.stop()
    except TimeoutError:
        lines.log("process.stop_timed_out")
    lines.log("process.stopped")
    lines.flush()
    # A thread that waits for a disk that hangs would keep the process until it is killed.
    os._exit(0)


def shorten_load() -> None:
    """Leave out work that loading the libraries does by default and that no part needs."""
    # What is loaded stays, so searching it for garbage only delays the start.
    gc.disable()
    # No part speaks TLS; the HTTP library would read the system's certificates when it is loaded.
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)


def main() -> int:
    """Run the process and return its exit code."""
    started_at = time.monotonic()
    signals = Signals()
    signals.install()
    shorten_load()
    from mulberrygate.daemon.sockets import Listeners
    from mulberrygate.platform.listen import served_addresses, settings_path

    path = settings_path()
    listeners = Listeners(served_addresses(path))
    return run(path, signals, started_at, listeners)


def run(path: str, signals: Signals, started_at: float, listeners) -> int:
    """Load the program and run it with the settings of a file; return the exit code."""
    from mulberrygate.core.outcome import Refusal
    from mulberrygate.observe.jsonlines import JsonHandler, JsonLines
    from mulberrygate.platform.settings import load_site

    site = load_site(path)
    if isinstance(site, Refusal):
        print(f"{site.code}: {site.detail}", file=sys.stderr)
        return BAD_SETTINGS
    lines = JsonLines(site.node)
    JsonHandler(lines).push_application()
    for address, error in listeners.failures.items():
        lines.log("listen.failed", address=address, error=repr(error))
    asyncio.run(serve(site, path, signals, lines, started_at, listeners))
    return 0


if __name__ == "__main__":
    sys.exit(main())
