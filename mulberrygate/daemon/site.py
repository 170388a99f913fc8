"""Main program and composition root of control and entry processes on the users' platform.

Explanation
===========
Outside its own folder, the platform's adapter is imported only here. Signal handlers are installed
before the slow imports, because the platform may signal a process that has just started. Sockets
also listen before them, because callers reconnect as soon as the instance runs.
"""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
import time

SETTINGS_CHECK_INTERVAL_S = 1.0
EXIT_BAD_SETTINGS = 2
# Time reserved between the end of a stop and the moment at which the platform kills the process.
KILL_MARGIN_S = 0.4
# Net allocations before a collection of the youngest generation.
GC_THRESHOLD = 20_000


class Signals:
    """Signal handlers that record requests to stop and to reload the settings.

    Attributes
    ==========
    wake : Callable[[], None]
        Called after each signal.
    """

    def __init__(self):
        self.is_stop_requested = False
        self.is_reload_requested = False
        self.wake = lambda: None

    def install(self) -> None:
        """Install the handlers before there is an event loop."""
        signal.signal(signal.SIGTERM, self._on_stop)
        signal.signal(signal.SIGINT, self._on_stop)
        signal.signal(signal.SIGHUP, self._on_reload)

    def _on_stop(self, _number: int, _frame: object) -> None:
        self.is_stop_requested = True
        self.wake()

    def _on_reload(self, _number: int, _frame: object) -> None:
        self.is_reload_requested = True
        self.wake()

    def attach_to_loop(self, loop: asyncio.AbstractEventLoop, wake) -> None:
        """Let an event loop run the handlers, and call `wake` after each signal."""
        self.wake = wake
        for number, handler in (
            (signal.SIGTERM, self._on_stop),
            (signal.SIGINT, self._on_stop),
            (signal.SIGHUP, self._on_reload),
        ):
            loop.add_signal_handler(number, handler, number, None)


class SettingsFileWatcher:
    """Detects changes of the settings file by its modification time and size.

    Explanation
    ===========
    The file may change without a signal to the process.
    """

    def __init__(self, path: str):
        self.path = path
        self.signature = self._read_signature()

    def _read_signature(self) -> tuple[int, int]:
        try:
            status = os.stat(self.path)
        except OSError:
            return 0, 0
        return status.st_mtime_ns, status.st_size

    def has_changed(self) -> bool:
        """Return whether the file has changed since the last call."""
        before, self.signature = self.signature, self._read_signature()
        return self.signature != before


def create_node(site, lines, started_at: float, listeners, product):
    """Return the control or entry process of the settings, with the platform's adapter.

    Parameters
    ==========
    started_at : float
        Monotonic time at which the process started.
    listeners : mulberrygate.daemon.sockets.Listeners
        Sockets that already listen.
    product : mulberrygate.settings.product.ProductSettings
        Settings that the operators have chosen.
    """
    from mulberrygate.platform.documents import decode_document

    if site.is_control:
        from mulberrygate.daemon.control_node import ControlNode
        from mulberrygate.platform.operator_api import OperatorApi

        return ControlNode(site, lines, decode_document, OperatorApi, started_at, listeners)
    from mulberrygate.daemon.entry_node import EntryNode
    from mulberrygate.platform.headers import PlatformDialect

    return EntryNode(
        site,
        lines,
        PlatformDialect(),
        decode_document,
        listeners,
        product=product,
        started_at=started_at,
    )


async def serve(
    site, path: str, signals: Signals, lines, started_at: float, listeners, product
) -> None:
    """Run the control or entry process until a stop is requested, then exit."""
    from mulberrygate.core.outcome import Refusal
    from mulberrygate.platform.settings import load_site

    woken = asyncio.Event()
    signals.attach_to_loop(asyncio.get_running_loop(), woken.set)
    watcher = SettingsFileWatcher(path)
    node = create_node(site, lines, started_at, listeners, product)
    await node.start()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD, 20, 50)
    gc.enable()
    lines.log("process.started", instance=site.instance, is_control=site.is_control)
    while not signals.is_stop_requested:
        woken.clear()
        try:
            await asyncio.wait_for(woken.wait(), SETTINGS_CHECK_INTERVAL_S)
        except TimeoutError:
            pass
        if watcher.has_changed() or signals.is_reload_requested:
            signals.is_reload_requested = False
            changed = load_site(path)
            is_bad = isinstance(changed, Refusal)
            lines.log("settings.reloaded", is_bad=is_bad)
            if not is_bad:
                node.set_seeds(changed.seeds)
    lines.log("process.stopping")
    try:
        async with asyncio.timeout(site.bounds.kill_after_s - KILL_MARGIN_S):
            await node.stop()
    except TimeoutError:
        lines.log("process.stop_timed_out")
    lines.log("process.stopped")
    lines.flush()
    # A normal exit would wait for threads, also for one that is blocked by a hanging disk.
    os._exit(0)


def reduce_import_cost() -> None:
    """Turn off work during imports that the program doesn't need."""
    # Imported objects stay alive, so collecting garbage now only delays the start.
    gc.disable()
    # TLS is not used, but the HTTP library would load the system's certificates on import.
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)


def main() -> int:
    """Install signal handlers, open sockets and run; return the exit code."""
    started_at = time.monotonic()
    signals = Signals()
    signals.install()
    reduce_import_cost()
    from mulberrygate.daemon.sockets import Listeners
    from mulberrygate.platform.listen import served_addresses, settings_path

    path = settings_path()
    listeners = Listeners(served_addresses(path))
    return run(path, signals, started_at, listeners)


def run(path: str, signals: Signals, started_at: float, listeners) -> int:
    """Import the program and run it with the settings of a file; return the exit code."""
    from mulberrygate.core.outcome import Refusal
    from mulberrygate.observe.jsonlines import JsonHandler, JsonLines
    from mulberrygate.platform.settings import load_site
    from mulberrygate.settings.product import load_product_settings, product_settings_path

    site = load_site(path)
    product = load_product_settings(product_settings_path())
    for loaded in (site, product):
        if isinstance(loaded, Refusal):
            print(f"{loaded.code}: {loaded.detail}", file=sys.stderr)
            return EXIT_BAD_SETTINGS
    lines = JsonLines(site.node)
    JsonHandler(lines).push_application()
    for address, error in listeners.bind_errors.items():
        lines.log("listen.failed", address=address, error=repr(error))
    asyncio.run(serve(site, path, signals, lines, started_at, listeners, product))
    return 0


if __name__ == "__main__":
    sys.exit(main())
