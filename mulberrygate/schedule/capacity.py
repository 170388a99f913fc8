"""Endpoints with free capacity for another request, by distance."""

from __future__ import annotations

from mulberrygate.schedule.endpoint import LOCAL, EndpointState

# Requests are matched to the cached prefixes of endpoints with free capacity only while at most
# this many have any.
FEW_ENDPOINTS = 8


class AvailableEndpoints:
    """Set of endpoints with constant-time insertion and removal, and a stable order."""

    __slots__ = ("items", "versions")

    def __init__(self):
        self.items: list[EndpointState] = []
        # Number of endpoints by version, so that the versions are known without a scan.
        self.versions: dict[str, int] = {}

    def add(self, state: EndpointState) -> None:
        """Add an endpoint that is in no other set."""
        state.available_in = self
        state.position = len(self.items)
        self.items.append(state)
        self.versions[state.available_version] = self.versions.get(state.available_version, 0) + 1

    def remove(self, state: EndpointState) -> None:
        """Remove an endpoint; the last one takes its position."""
        last = self.items.pop()
        if last is not state:
            last.position = state.position
            self.items[state.position] = last
        state.position = -1
        state.available_in = None
        self.versions[state.available_version] -= 1
        if not self.versions[state.available_version]:
            del self.versions[state.available_version]


class FreeCapacity:
    """Free slots and free queue positions of the pool.

    Parameters
    ==========
    slots : list[AvailableEndpoints]
        Endpoints with a free slot, by distance.
    queues : AvailableEndpoints
        Local endpoints whose slots are taken and that have a free queue position.
    free_slots : list[int]
        Free slots by distance.
    """

    def __init__(self):
        self.slots = [AvailableEndpoints(), AvailableEndpoints(), AvailableEndpoints()]
        self.queues = AvailableEndpoints()
        self.free_slots = [0, 0, 0]

    def update(self, state: EndpointState) -> None:
        """Move an endpoint to the list that fits its load and limits."""
        free = max(0, state.slots - state.used)
        counted = state.free_counted[0]
        if free != counted:
            self.free_slots[state.distance] += free - counted
            state.free_counted = (free, 0)
        if free:
            wanted = self.slots[state.distance]
        elif state.distance == LOCAL and state.used < state.slots + state.queue_limit:
            wanted = self.queues
        else:
            wanted = None
        version = state.view.version
        if state.available_in is not wanted or state.available_version != version:
            if state.available_in is not None:
                state.available_in.remove(state)
            if wanted is not None:
                state.available_version = version
                wanted.add(state)

    def few_available(self) -> list[EndpointState]:
        """Return the local endpoints with free capacity if they are few, else none.

        Endpoints with a free slot come first; those with a free queue position are returned only
        if no slot is free.
        """
        slots = self.slots[LOCAL].items
        items = slots or self.queues.items
        return items if len(items) <= FEW_ENDPOINTS else []

    def remove(self, state: EndpointState) -> None:
        """Remove an endpoint that is gone."""
        state.slots = state.queue_limit = 0
        self.update(state)
