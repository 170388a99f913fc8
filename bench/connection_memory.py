"""Measure the memory that one connection costs an entry and a daemon of the product.

Run it as ``python -m bench.connection_memory`` with nothing beside it. Each line gives the growth
of the peak of a process, divided by the number of connections.
"""

from __future__ import annotations

import asyncio
import functools

from mulberrygate.daemon.tests import crowd_support, own_crowd_support

CONNECTIONS = 600
MEMORY_MB = 400
MAX_FDS = 3000
READ_BYTES = 4096


async def send_slow_call(address: str, number: int, head) -> None:
    """Send a call that lasts some seconds, and read its answer."""
    reader, writer = await crowd_support.connect(address)
    try:
        writer.write(head("Content-Length: 0"))
        while await reader.read(READ_BYTES):
            pass
    finally:
        writer.transport.abort()


async def measure(name: str, client, target, address: str, ask) -> None:
    """Let clients connect to a process and print what each costs it."""
    before = target.peak_mb()
    await crowd_support.press(((client, CONNECTIONS),), target, address, ask)
    growth_kb = (target.peak_mb() - before) * 1024
    print(f"{name}: {growth_kb / CONNECTIONS:.1f} KB, {target.most_descriptors} descriptors")


async def measure_entry(name: str, client) -> None:
    """Measure the cost at an entry."""
    site = await crowd_support.CrowdSite(MEMORY_MB, MAX_FDS).start()
    try:
        await measure(name, client, site.entry, site.entry_address, site.call_entry)
    finally:
        await site.close()


async def measure_daemon(name: str, client) -> None:
    """Measure the cost at a daemon of the product."""
    daemon = await own_crowd_support.CrowdDaemon(MEMORY_MB, MAX_FDS).start()
    try:
        await measure(name, client, daemon.process, daemon.address, daemon.call_service)
    finally:
        await daemon.close()


async def main() -> None:
    """Print the cost of idle connections and of connections with a call in work."""
    entry_head = functools.partial(crowd_support.head_lines, "POST", "/plain/slow")
    daemon_head = functools.partial(own_crowd_support.service_head, "slow")
    await measure_entry("entry, idle", crowd_support.send_nothing)
    await measure_entry("entry, call", functools.partial(send_slow_call, head=entry_head))
    await measure_daemon("daemon, idle", crowd_support.send_nothing)
    await measure_daemon("daemon, call", functools.partial(send_slow_call, head=daemon_head))


if __name__ == "__main__":
    asyncio.run(main())
