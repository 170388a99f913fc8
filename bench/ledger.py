"""Cost of the ledger: processor time, bytes and memory per request, and repair of a shard.

Run as ``python bench/ledger.py`` from the root. Messages are encoded and decoded with the codec of
the wire, in one process and without gRPC, whose cost is measured separately. Figures are for
one core.
"""

from __future__ import annotations

import asyncio
import random
import time
import tracemalloc
from collections import Counter

from mulberrygate.core import Send, decode, encode
from mulberrygate.ledger import Coordinator, Replica, ReplicaId, Shard, View
from mulberrygate.ledger.messages import MAX_ANSWER_BYTES, Attempt, Begin, Finish

WALL = 1_700_000_000.0
REQUESTS = 3000


class Peers:
    """Replicas in one process; counts bytes, remote calls and the replicas' processor time."""

    def __init__(self, names):
        self.own = ""
        self.replicas = {name: Replica(name, 1, WALL) for name in names}
        self.counts = Counter()
        self.replica_s = 0.0

    async def call(self, name, message, timeout_s):
        """Deliver a message to a replica; a remote one gets it through the codec."""
        if name == self.own:
            return self.replicas[name].handle(message, self.own, 1.0)[0].message
        kind, body = encode(message)
        start = time.process_time()
        effects = self.replicas[name].handle(decode(kind, body), self.own, 1.0)
        answer = encode(effects[0].message)
        self.replica_s += time.process_time() - start
        self.counts["calls"] += 1
        self.counts["bytes"] += len(kind) + len(body) + len(answer[0]) + len(answer[1])
        return decode(*answer)


def make_cluster(names, own):
    """Return peers with shards installed, and a coordinator on the instance ``own``."""
    peers = Peers(names)
    peers.own = own
    view = View(1, tuple(ReplicaId(name, 1) for name in names[:3]))
    shards = {f"d/{n}": Shard("d", n, view) for n in range(32)}
    for replica in peers.replicas.values():
        replica.install({n: Shard("d", s.number, None, view) for n, s in shards.items()}, 0.0)
        replica.install(shards, 0.0)
    coordinator = Coordinator(
        peers, lambda: shards, own, 1, lambda: WALL, random.Random(1), lambda *_: True
    )
    return peers, coordinator


async def run_requests(coordinator, is_minted, answer):
    """Run requests through claim, begin and finish."""
    for number in range(REQUESTS):
        if is_minted:
            key = coordinator.mint_key("d")
            claimed = coordinator.claim_minted(key, b"0123456789abcdef")
        else:
            key = f"d/order-{number:08d}"
            claimed = await coordinator.claim(key, b"0123456789abcdef", 1.0)
        await coordinator.begin(claimed.attempt, "engine-17", "10.1.2.3:8000")
        await coordinator.finish(claimed.attempt, answer=answer)


def measure_requests(title, own, is_minted, answer):
    """Print the cost per request."""
    names = ["instance-1", "instance-2", "instance-3"]
    peers, coordinator = make_cluster(names, own)
    start = time.process_time()
    asyncio.run(run_requests(coordinator, is_minted, answer))
    total = time.process_time() - start
    calls = peers.counts["calls"]
    print(
        f"{title}: {calls / REQUESTS:.2f} remote calls, "
        f"{peers.counts['bytes'] / REQUESTS:.0f} bytes, "
        f"coordinator {1e6 * (total - peers.replica_s) / REQUESTS:.0f} us, "
        f"replica {1e6 * peers.replica_s / max(1, calls):.0f} us a remote call"
    )


def fill_replica(replica, count, answer=b"", shard="d/0"):
    """Add finished records to a replica, by decoded `Begin` and `Finish` messages."""
    for number in range(count):
        key = f"dakar-1/{1_700_000_000_000 + number}-{number:016x}"
        attempt = Attempt("instance-7", 1, number)
        digest = number.to_bytes(16, "big")
        begin = Begin(shard, 1, key, digest, attempt, "engine-17", "10.1.2.3:8000")
        finish = Finish(shard, 1, key, digest, attempt, "completed", answer)
        for message in (begin, finish):
            replica.handle(decode(*encode(message)), "e", 1.0)


def measure_memory():
    """Print the memory of a record by size of its answer."""
    for size, count in ((0, 20_000), (200, 20_000), (MAX_ANSWER_BYTES, 500)):
        peers, _ = make_cluster(["instance-1"], "")
        tracemalloc.start()
        fill_replica(peers.replicas["instance-1"], count, b"x" * size)
        used, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        print(f"memory per record with an answer of {size} bytes: {used / count:.0f} bytes")


def measure_repair(count):
    """Print the time and bytes to copy a shard to a new replica from two sealed ones."""
    names = ["a", "b", "c", "x"]
    peers, _ = make_cluster(names, "")
    for name in names[:3]:
        fill_replica(peers.replicas[name], count, b"y" * 200)
    base = View(1, tuple(ReplicaId(name, 1) for name in "abc"))
    view = View(2, tuple(ReplicaId(name, 1) for name in "abx"))
    target = peers.replicas["x"]
    start, sent, messages, longest = time.process_time(), 0, 0, 0.0
    queue = target.install({"d/0": Shard("d", 0, base, view)}, 2.0)
    while queue and isinstance(queue[0], Send):
        request = queue.pop(0)
        began = time.process_time()
        if request.to == "x":
            queue += target.handle(request.message, "x", 2.0)
        else:
            part = peers.replicas[request.to].handle(request.message, "x", 2.0)[0].message
            frame = encode(part)
            sent += len(frame[1])
            messages += 2
            queue += target.handle(decode(*frame), request.to, 2.0)
        longest = max(longest, time.process_time() - began)
    assert len(target.shards["d/0"].tables[2].records) == count
    print(
        f"repair of {count} records of 200-byte answers: {time.process_time() - start:.3f} s of "
        f"processor time at all three, {sent / 1e6:.2f} MB in {messages} messages, "
        f"longest step {1e3 * longest:.0f} ms"
    )


def main():
    """Print all figures."""
    answer = b"z" * 200
    measure_requests("caller's key, entry outside", "instance-9", False, answer)
    measure_requests("caller's key, entry is a replica", "instance-1", False, answer)
    measure_requests("minted key, entry outside", "instance-9", True, b"")
    measure_requests("minted key, entry is a replica", "instance-1", True, b"")
    measure_memory()
    for count in (1000, 10_000):
        measure_repair(count)


if __name__ == "__main__":
    main()
