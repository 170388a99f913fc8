"""Outgoing side of a stream, which sends all frames that are ready in one batch."""

from __future__ import annotations

import asyncio
from typing import Any

from mulberrygate.core.clock import HybridClock
from mulberrygate.peers.peer_pb2 import Batch, Frame

# Limit on the frames that wait for a stream, which bounds the memory if a peer does not read.
MAX_FRAMES = 4096


class Outbox:
    """Bounded queue of frames to be written to one stream.

    Parameters
    ==========
    instance : str
        Name of this instance.
    incarnation : int
        Incarnation of this process.
    clock : HybridClock
        Source of the timestamps of batches.
    """

    def __init__(self, instance: str, incarnation: int, clock: HybridClock):
        self.instance = instance
        self.incarnation = incarnation
        self.clock = clock
        self.frames: list[Frame] = []
        self.has_frames = asyncio.Event()

    def add(self, frame: Frame) -> bool:
        """Add a frame unless the queue is full; return whether it was added."""
        if len(self.frames) >= MAX_FRAMES:
            return False
        self.frames.append(frame)
        self.has_frames.set()
        return True

    async def write_to(self, stream: Any) -> None:
        """Write batches to a stream until cancelled."""
        while True:
            await self.has_frames.wait()
            self.has_frames.clear()
            frames, self.frames = self.frames, []
            stamp = self.clock.now()
            await stream.send_message(
                Batch(
                    sender=self.instance,
                    incarnation=self.incarnation,
                    stamp_wall_ms=stamp.wall_ms,
                    stamp_count=stamp.count,
                    frames=frames,
                )
            )
